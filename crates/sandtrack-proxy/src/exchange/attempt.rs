//! One send of a request to one upstream: opens or takes a connection, writes the request and reads the answer, a step at a
//! time. What a step's outcome means is decided in `exchange_state`.
use crate::context::ProxyContext;
use crate::exchange::state::{AnswerId, HeadFacts, SendEvent, Terms};
use crate::placement::balancer::Ended;
use crate::placement::prefill::Estimate;
use crate::placement::upstreams::Load;
use crate::policy::Policy;
use crate::request::ProxyRequest;
use crate::upstream_connections::pool::{connect, kept_for, Connection};
use crate::upstream_connections::response_error::ResponseError;
use crate::upstream_connections::wire::{ask, next, written_head, Asked, Waited};
use sandtrack_net::byte_budget::Held;
use sandtrack_net::http::Part;
use sandtrack_sidecar_core::message::Head;
use sandtrack_tiers::Millis;

/// A whole answer may be so long; a longer one is no answer of these services.
const ANSWER_MAX: usize = 8 << 20;

/// Tells the balancer when a send is over, whatever becomes of it.
struct Reported<'a> {
    context: &'a ProxyContext,
    place: usize,
    ended: Ended,
}

impl Drop for Reported<'_> {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        self.context
            .balancer
            .borrow_mut()
            .ended(now, self.place, self.ended);
    }
}

/// What a send needs to know of its upstream.
struct Upstream {
    identifier: String,
    address: String,
    /// Connections that this proxy may hold to it.
    connection_share: usize,
}

pub struct Attempt<'a> {
    context: &'a ProxyContext,
    request: &'a ProxyRequest,
    terms: Terms,
    upstream: Upstream,
    /// An idle connection will do.
    reuse: bool,
    resume: Option<u64>,
    // Closed before the balancer is told.
    connection: Option<Connection>,
    reported: Reported<'a>,
    /// How long its prompt was to take there, where it is long.
    estimate: Option<Estimate>,
    /// When the request was begun to be written.
    asked: Option<Millis>,
    written: bool,
    head: Option<Head>,
    /// The body so far of an answer that is collected.
    body: Body,
}

/// A body that is collected, with its room in the budget of the process.
pub struct Body {
    pub bytes: Vec<u8>,
    held: Held,
}

impl Body {
    /// One of which nothing has come.
    fn of(context: &ProxyContext) -> Body {
        Body {
            bytes: Vec::new(),
            held: context.memory.answers.message(),
        }
    }

    /// Takes a piece; no where it is too long, or the process has no room for it.
    fn take(&mut self, piece: &[u8]) -> Result<(), ResponseError> {
        if self.bytes.len() + piece.len() > ANSWER_MAX {
            return Err(ResponseError::Malformed);
        }
        match self.held.extend(&mut self.bytes, piece) {
            true => Ok(()),
            false => Err(ResponseError::OutOfMemory),
        }
    }
}

impl<'a> Attempt<'a> {
    /// Counts from here on as a send at its upstream.
    pub fn new(
        context: &'a ProxyContext,
        request: &'a ProxyRequest,
        terms: Terms,
        place: usize,
        reuse: bool,
        resume: Option<u64>,
    ) -> Attempt<'a> {
        let mut balancer = context.balancer.borrow_mut();
        balancer.sent(place);
        let estimate = balancer.prompt_sent(context.clock.now(), request, place);
        let connection_share = balancer.connection_share(place);
        if estimate.is_some() {
            context.tell_news();
        }
        let known = balancer.upstreams.get(place);
        let upstream = Upstream {
            identifier: known.entry.identifier.clone(),
            address: known.entry.address.clone(),
            connection_share,
        };
        Attempt {
            context,
            request,
            terms,
            upstream,
            reuse,
            resume,
            connection: None,
            reported: Reported {
                context,
                place,
                ended: Ended::GivenUp,
            },
            estimate,
            asked: None,
            written: false,
            head: None,
            body: Body::of(context),
        }
    }

    /// Who it is at.
    pub fn identifier(&self) -> &str {
        &self.upstream.identifier
    }

    pub fn place(&self) -> usize {
        self.reported.place
    }

    /// When the request was begun to be written.
    pub fn asked(&self) -> Option<Millis> {
        self.asked
    }

    /// Whether its upstream is in another region.
    pub fn is_far(&self) -> bool {
        let balancer = self.context.balancer.borrow();
        balancer.upstreams.get(self.reported.place).region != balancer.region
    }

    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// The collected answer.
    pub fn take_answer(&mut self) -> Option<(Head, Body)> {
        let head = self.head.take()?;
        Some((
            head,
            std::mem::replace(&mut self.body, Body::of(self.context)),
        ))
    }

    /// The next thing that happens.
    pub async fn step(&mut self) -> SendEvent {
        if self.connection.is_none() {
            self.connect().await
        } else if !self.written {
            self.write().await
        } else {
            self.read().await
        }
    }

    /// The upstream's load and its coldness, as the head tells them.
    pub fn heed(&self) {
        let Some(head) = &self.head else { return };
        let load = head.headers.get("server-load").and_then(Load::parse);
        let cold = head
            .headers
            .get("cold-remaining")
            .and_then(|value| value.trim().parse().ok());
        self.context
            .balancer
            .borrow_mut()
            .told(self.context.clock.now(), self.place(), load, cold);
    }

    /// How long the first part of the answer took.
    pub fn note_pace(&self) {
        if let Some(asked) = self.asked {
            let elapsed = self.context.clock.now() - asked;
            self.context.balancer.borrow_mut().paced(
                self.request,
                self.place(),
                elapsed,
                self.estimate.as_ref(),
            );
        }
    }

    /// Ends it, and closes its connection.
    pub fn close(mut self, ended: Ended) {
        self.reported.ended = ended;
    }

    /// Ends it, and leaves its connection to the next request.
    pub fn pool(&mut self, ended: Ended) {
        self.reported.ended = ended;
        if let (Some(connection), Some(head)) = (self.connection.take(), &self.head) {
            let now = self.context.clock.now();
            self.context
                .pool
                .borrow_mut()
                .give(&self.upstream.identifier, connection, head, now);
        }
    }

    async fn connect(&mut self) -> SendEvent {
        let (context, clock) = (self.context, self.context.clock);
        let identifier = self.upstream.identifier.as_str();
        let now = clock.now();
        let reuse = self.reuse
            || context
                .balancer
                .borrow()
                .is_proven_alive(now, self.reported.place);
        let idle = reuse
            .then(|| context.pool.borrow_mut().take(identifier, now))
            .flatten();
        if let Some(connection) = idle {
            let reused = connection.reused;
            self.connection = Some(connection);
            return SendEvent::Connected { reused };
        }
        let full = context.pool.borrow().open(identifier) >= self.upstream.connection_share;
        if full && !context.pool.borrow_mut().drop_idle(identifier) {
            return SendEvent::NoConnection { share_full: true };
        }
        let place = self.reported.place;
        let patience = context
            .balancer
            .borrow()
            .connect_timeout(self.request, place);
        let patience = patience.min(self.request.left(now));
        match connect(&context.pool, identifier, &self.upstream.address, patience).await {
            Ok(connection) => {
                self.connection = Some(connection);
                let elapsed = clock.now() - now;
                context
                    .balancer
                    .borrow_mut()
                    .note_trip(clock.now(), place, elapsed);
                SendEvent::Connected { reused: false }
            }
            Err(error) => {
                log::debug!(
                    "request {}: no connection to {identifier}: {error}",
                    self.request.id
                );
                if error.kind() == std::io::ErrorKind::TimedOut {
                    context
                        .balancer
                        .borrow_mut()
                        .connect_timed_out(clock.now(), place);
                }
                SendEvent::NoConnection { share_full: false }
            }
        }
    }

    async fn write(&mut self) -> SendEvent {
        let Some(connection) = &self.connection else {
            return SendEvent::WriteFailed;
        };
        let now = self.context.clock.now();
        self.asked = Some(now);
        let left = self.request.left(now);
        let head = written_head(
            self.request,
            &self.upstream.identifier,
            left,
            self.resume,
            self.context.policy.urgency,
        );
        match ask(connection, &head, &self.request.body, left).await {
            Asked::Written => {
                self.written = true;
                SendEvent::Written
            }
            Asked::Broke => SendEvent::WriteFailed,
            Asked::Time => SendEvent::TimeOver,
        }
    }

    /// The next part of the answer; of one that is collected, its head or its end.
    async fn read(&mut self) -> SendEvent {
        loop {
            let Some(connection) = &mut self.connection else {
                return SendEvent::Broke(ResponseError::ConnectionLost);
            };
            let waited = next(connection, self.context.clock, self.request.deadline).await;
            if matches!(waited, Waited::Part(_)) {
                self.context
                    .balancer
                    .borrow_mut()
                    .heard(self.context.clock.now(), self.reported.place);
            }
            let is_wordless = connection.reused && self.head.is_none();
            if is_wordless && matches!(waited, Waited::Broke(ResponseError::ConnectionLost)) {
                let now = self.context.clock.now();
                self.context
                    .balancer
                    .borrow_mut()
                    .idle_connection_broke(now, self.reported.place);
            }
            match waited {
                Waited::Broke(broke) => return SendEvent::Broke(broke),
                Waited::Time => return SendEvent::TimeOver,
                Waited::Part(Part::Head(_)) if self.head.is_some() => {
                    return SendEvent::Broke(ResponseError::Malformed)
                }
                Waited::Part(Part::Head(head)) => return SendEvent::Head(self.took_head(head)),
                Waited::Part(Part::End) => {
                    return SendEvent::End {
                        surplus: !connection.input.is_empty(),
                    };
                }
                Waited::Part(Part::Data(data)) if self.is_relayed() => {
                    return SendEvent::Data(data)
                }
                Waited::Part(Part::Data(data)) => {
                    if let Err(broke) = self.body.take(&data) {
                        return SendEvent::Broke(broke);
                    }
                }
            }
        }
    }

    fn is_relayed(&self) -> bool {
        self.head
            .as_ref()
            .is_some_and(|head| self.terms.relays(head.status))
    }

    fn took_head(&mut self, head: Head) -> HeadFacts {
        let facts = head_facts(&head, &self.request.id, &self.context.policy);
        let turned_away = facts.not_executed || facts.status == 421;
        let is_anothers = match facts.id {
            AnswerId::Own => false,
            AnswerId::Other => true,
            AnswerId::Missing => !turned_away,
        };
        if is_anothers || facts.is_success() && !facts.sealed {
            let identifier = &self.upstream.identifier;
            log::info!(
                "request {}: {identifier} sent what is no answer to it",
                self.request.id
            );
        }
        self.head = Some(head);
        facts
    }
}

/// What counts of an answer's head for the request of this id.
pub fn head_facts(head: &Head, request_id: &str, policy: &Policy) -> HeadFacts {
    HeadFacts {
        id: match head.headers.get("request-id") {
            Some(id) if id == request_id => AnswerId::Own,
            Some(_) => AnswerId::Other,
            None => AnswerId::Missing,
        },
        status: head.status,
        not_executed: head.headers.get("not-executed").is_some(),
        sealed: head.headers.get("server-seal").is_some(),
        keeps_open: kept_for(head, policy).is_some(),
    }
}
