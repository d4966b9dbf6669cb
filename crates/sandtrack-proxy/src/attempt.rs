//! One send of a request to one upstream: opens or takes a connection, writes the request and reads the answer, a step at a
//! time. What a step's outcome means is decided in `exchange_state`.
use crate::exchange::{ask, next, written_head, Asked, Waited};
use crate::exchange_state::{AnswerId, Broke, HeadFacts, SendEvent, Terms};
use crate::placement::balancer::SendOutcome;
use crate::placement::prefill_queue::PrefillEstimate;
use crate::placement::upstreams::ServerLoad;
use crate::policy::Policy;
use crate::pool::{connect, kept_for, Connection};
use crate::request::ProxyRequest;
use crate::shared::Shared;
use sandtrack_net::byte_budget::Held;
use sandtrack_net::http::Part;
use sandtrack_sidecar_core::message::Head;
use sandtrack_tiers::Millis;

/// A whole answer may be so long; a longer one is no answer of these services.
const ANSWER_MAX: usize = 8 << 20;

/// Tells the balancer when a send is over, whatever becomes of it.
struct Reported<'a> {
    shared: &'a Shared,
    place: usize,
    ended: SendOutcome,
}

impl Drop for Reported<'_> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared
            .balancer
            .borrow_mut()
            .send_finished(now, self.place, self.ended);
    }
}

/// What a send needs to know of its upstream.
struct Upstream {
    identifier: String,
    address: String,
    /// Connections that this proxy may hold to it.
    connection_quota: usize,
}

pub struct Attempt<'a> {
    shared: &'a Shared,
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
    estimate: Option<PrefillEstimate>,
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
    fn of(shared: &Shared) -> Body {
        Body {
            bytes: Vec::new(),
            held: shared.memory.answers.message(),
        }
    }

    /// Takes a piece; no where it is too long, or the process has no room for it.
    fn take(&mut self, piece: &[u8]) -> Result<(), Broke> {
        if self.bytes.len() + piece.len() > ANSWER_MAX {
            return Err(Broke::Spoilt);
        }
        match self.held.extend(&mut self.bytes, piece) {
            true => Ok(()),
            false => Err(Broke::NoMemory),
        }
    }
}

impl<'a> Attempt<'a> {
    /// Counts from here on as a send at its upstream.
    pub fn new(
        shared: &'a Shared,
        request: &'a ProxyRequest,
        terms: Terms,
        place: usize,
        reuse: bool,
        resume: Option<u64>,
    ) -> Attempt<'a> {
        let mut balancer = shared.balancer.borrow_mut();
        balancer.send_started(place);
        let estimate = balancer.long_prompt_sent(shared.clock.now(), request, place);
        let connection_quota = balancer.connection_quota(place);
        if estimate.is_some() {
            shared.tell_news();
        }
        let known = balancer.upstreams.get(place);
        let upstream = Upstream {
            identifier: known.entry.identifier.clone(),
            address: known.entry.address.clone(),
            connection_quota,
        };
        Attempt {
            shared,
            request,
            terms,
            upstream,
            reuse,
            resume,
            connection: None,
            reported: Reported {
                shared,
                place,
                ended: SendOutcome::Cancelled,
            },
            estimate,
            asked: None,
            written: false,
            head: None,
            body: Body::of(shared),
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
        let balancer = self.shared.balancer.borrow();
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
            std::mem::replace(&mut self.body, Body::of(self.shared)),
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
        let load = head.headers.get("server-load").and_then(ServerLoad::parse);
        let cold = head
            .headers
            .get("cold-remaining")
            .and_then(|value| value.trim().parse().ok());
        self.shared.balancer.borrow_mut().load_reported(
            self.shared.clock.now(),
            self.place(),
            load,
            cold,
        );
    }

    /// How long the first part of the answer took.
    pub fn note_pace(&self) {
        if let Some(asked) = self.asked {
            let elapsed = self.shared.clock.now() - asked;
            self.shared.balancer.borrow_mut().first_byte_received(
                self.request,
                self.place(),
                elapsed,
                self.estimate.as_ref(),
            );
        }
    }

    /// Ends it, and closes its connection.
    pub fn close(mut self, ended: SendOutcome) {
        self.reported.ended = ended;
    }

    /// Ends it, and leaves its connection to the next request.
    pub fn pool(&mut self, ended: SendOutcome) {
        self.reported.ended = ended;
        if let (Some(connection), Some(head)) = (self.connection.take(), &self.head) {
            let now = self.shared.clock.now();
            self.shared
                .pool
                .borrow_mut()
                .give(&self.upstream.identifier, connection, head, now);
        }
    }

    async fn connect(&mut self) -> SendEvent {
        let (shared, clock) = (self.shared, self.shared.clock);
        let identifier = self.upstream.identifier.as_str();
        let now = clock.now();
        let reuse = self.reuse
            || shared
                .balancer
                .borrow()
                .trusts_idle_connections(now, self.reported.place);
        let idle = reuse
            .then(|| shared.pool.borrow_mut().take(identifier, now))
            .flatten();
        if let Some(connection) = idle {
            let reused = connection.reused;
            self.connection = Some(connection);
            return SendEvent::Connected { reused };
        }
        let full = shared.pool.borrow().open(identifier) >= self.upstream.connection_quota;
        if full && !shared.pool.borrow_mut().drop_idle(identifier) {
            return SendEvent::NoConnection { share_full: true };
        }
        let place = self.reported.place;
        let patience = shared
            .balancer
            .borrow()
            .connect_timeout(self.request, place);
        let patience = patience.min(self.request.time_left(now));
        match connect(&shared.pool, identifier, &self.upstream.address, patience).await {
            Ok(connection) => {
                self.connection = Some(connection);
                let elapsed = clock.now() - now;
                shared
                    .balancer
                    .borrow_mut()
                    .record_round_trip(clock.now(), place, elapsed);
                SendEvent::Connected { reused: false }
            }
            Err(error) => {
                log::debug!(
                    "request {}: no connection to {identifier}: {error}",
                    self.request.id
                );
                if error.kind() == std::io::ErrorKind::TimedOut {
                    shared
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
        let now = self.shared.clock.now();
        self.asked = Some(now);
        let left = self.request.time_left(now);
        let head = written_head(
            self.request,
            &self.upstream.identifier,
            left,
            self.resume,
            self.shared.policy.send_urgency,
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
                return SendEvent::Broke(Broke::Connection);
            };
            let waited = next(connection, self.shared.clock, self.request.deadline).await;
            if matches!(waited, Waited::Part(_)) {
                self.shared
                    .balancer
                    .borrow_mut()
                    .upstream_seen(self.shared.clock.now(), self.reported.place);
            }
            let is_wordless = connection.reused && self.head.is_none();
            if is_wordless && matches!(waited, Waited::Broke(Broke::Connection)) {
                let now = self.shared.clock.now();
                self.shared
                    .balancer
                    .borrow_mut()
                    .idle_connection_failed(now, self.reported.place);
            }
            match waited {
                Waited::Broke(broke) => return SendEvent::Broke(broke),
                Waited::Time => return SendEvent::TimeOver,
                Waited::Part(Part::Head(_)) if self.head.is_some() => {
                    return SendEvent::Broke(Broke::Spoilt)
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
        let facts = head_facts(&head, &self.request.id, &self.shared.policy);
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
