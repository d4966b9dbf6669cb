//! Carries one request: places it, sends it, takes it elsewhere where that can do no harm, and gives exactly one answer.
use crate::balancer::Ended;
use crate::events::{Scanned, Scanner};
use crate::exchange::{ask, next, written, Broke, Waited};
use crate::placement::{Placed, HOLD};
use crate::pool::{connect, Connection};
use crate::request::ProxyRequest;
use crate::shared::Shared;
use crate::upstreams::Load;
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_core::message::{self, Flow, Head};
use sandtrack_net::http::Part;
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::write_within;
use sandtrack_protocol::codes::{self, Code};
use sandtrack_tiers::Millis;
use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// While no upstream has room it is looked again this often, in ms.
const LOOK_AGAIN: Millis = 10.0;
/// A connection that does not come up within this, and twice the upstream's probe time, is given up, in ms (ours).
const CONNECT_PATIENCE: Millis = 400.0;
/// A pause of this part of the longest that is in time makes an upstream suspect in the middle of a stream (ours).
const PAUSE: f64 = 0.6;
/// The longest pause that is in time where the route does not say, in ms.
const GAP_AIM: Millis = 500.0;
/// While an upstream is suspected it is looked this often whether it was found dead, in ms.
const SUSPECT_LOOK: Millis = 100.0;
/// A client that takes nothing for so long is gone.
const CLIENT_PATIENCE: Duration = Duration::from_secs(5);
/// A whole answer may be so long; a longer one is no answer of these services.
const ANSWER_MAX: usize = 8 << 20;

/// A send that is out; tells the balancer when it is over, whatever becomes of it.
struct Sent<'a> {
    shared: &'a Shared,
    place: usize,
    ended: Ended,
}

impl Drop for Sent<'_> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.balancer.borrow_mut().ended(now, self.place, self.ended);
    }
}

/// What one send came to.
enum Began<'a> {
    /// A stream began: its head, and the first part of its body.
    Stream(Box<Stream<'a>>, Part),
    /// A whole answer that is to be passed on.
    Whole(Head, Vec<u8>),
    /// It has not run, and will not.
    NotRun,
    /// It was never sent: nothing was written.
    NotSent,
    /// It may have run.
    Failed,
    /// An answer of the upstream's own that says it failed; it has run.
    Error(Head, Vec<u8>),
    /// Its time is over.
    Late,
}

impl Began<'_> {
    fn is_answer(&self) -> bool {
        matches!(self, Began::Stream(..) | Began::Whole(..) | Began::Late)
    }
}

/// What was passed on of a stream.
#[derive(Default)]
struct Passed {
    begun: bool,
    scanner: Scanner,
}

/// One request on its way.
struct Carried<'a> {
    shared: &'a Rc<Shared>,
    request: &'a ProxyRequest,
    client: &'a Async<TcpStream>,
    close: bool,
    /// Upstreams that it was at.
    tried: RefCell<Vec<usize>>,
    sends: Cell<u32>,
    may_have_run: Cell<bool>,
}

/// Carries the request and answers on `client`; whether that connection can be used on.
pub async fn carry(
    shared: &Rc<Shared>, request: &ProxyRequest, client: &Async<TcpStream>, close: bool,
) -> bool {
    shared.balancer.borrow_mut().came(shared.clock.now(), request);
    let carried = Carried {
        shared,
        request,
        client,
        close,
        tried: RefCell::new(Vec::new()),
        sends: Cell::new(0),
        may_have_run: Cell::new(false),
    };
    carried.run().await
}

impl<'a> Carried<'a> {
    async fn run(&self) -> bool {
        let mut passed = Passed::default();
        let mut error: Option<(Head, Vec<u8>)> = None;
        let why = loop {
            let place = match self.wait_for_place(&passed).await {
                Ok(place) => place,
                Err(why) => break why,
            };
            match self.begin(place, &passed).await {
                Began::Whole(head, body) if !passed.begun => {
                    return answer_with(self.client, &head, &body, self.close).await && !self.close;
                }
                Began::Stream(stream, first) => {
                    match self.pass_on(*stream, first, &mut passed).await {
                        Passing::Done => return !self.close,
                        Passing::Cut => return false,
                        Passing::Late => break codes::DEADLINE,
                        // Events without ids can't be taken up.
                        Passing::Broke if passed.begun && passed.scanner.last_id().is_none() => return false,
                        Passing::Broke => self.may_have_run.set(true),
                    }
                }
                Began::Late => {
                    self.may_have_run.set(true);
                    break codes::DEADLINE;
                }
                Began::Error(head, body) => error = Some((head, body)),
                // A stream can't be taken up with a whole answer.
                Began::Whole(..) | Began::NotRun | Began::NotSent | Began::Failed => {}
            }
        };
        if passed.begun {
            // An answer that ends early must not look complete.
            return false;
        }
        let (request, may_have_run) = (self.request, self.may_have_run.get());
        log::debug!("request {} given up: E{}", request.id, why.0);
        match error {
            // Under another status it is no longer the upstream's answer, and does not bear its seal.
            Some((head, _)) if is_promise(head.status) => {
                refuse(self.client, request, may_have_run, codes::UPSTREAM_FAILED, self.close).await
                    && !self.close
            }
            Some((head, body)) => answer_with(self.client, &head, &body, self.close).await && !self.close,
            None => refuse(self.client, request, may_have_run, why, self.close).await && !self.close,
        }
    }

    /// One more send is allowed by the route and by what may run twice.
    fn may_send(&self) -> Result<(), Code> {
        let (sends, may_have_run) = (self.sends.get(), self.may_have_run.get());
        let more = sends < self.request.route.attempts || sends == 0;
        let again = !may_have_run || self.request.is_idempotent();
        match (more && again, may_have_run) {
            (true, _) => Ok(()),
            (false, true) => Err(codes::UPSTREAM_FAILED),
            (false, false) => Err(codes::NO_ROOM),
        }
    }

    /// Where it goes next, waiting for room for a while. Counts a send beyond the first against the budget.
    async fn wait_for_place(&self, passed: &Passed) -> Result<usize, Code> {
        let request = self.request;
        let hold = (request.route.target_latency_ms * HOLD).min(request.left(request.arrived) * HOLD);
        let refuse_at = request.arrived + hold;
        loop {
            let now = self.shared.clock.now();
            if now >= request.deadline {
                return Err(codes::DEADLINE);
            }
            self.may_send()?;
            if let Some(place) = self.place() {
                if self.sends.get() > 0
                    && !self.shared.balancer.borrow_mut().may_repeat(now, &request.service)
                {
                    return Err(if self.may_have_run.get() {
                        codes::UPSTREAM_FAILED
                    } else {
                        codes::NO_ROOM
                    });
                }
                return Ok(place);
            }
            // What has run and may run again waits as long as it has; what has not is refused early.
            if now >= refuse_at && !passed.begun && !self.may_have_run.get()
                || now + LOOK_AGAIN >= request.deadline
            {
                return Err(codes::NO_ROOM);
            }
            sleep(LOOK_AGAIN).await;
        }
    }

    fn place(&self) -> Option<usize> {
        let now = self.shared.clock.now();
        match self.shared.balancer.borrow_mut().place(now, self.request, &self.tried.borrow()) {
            Placed::Send(place) => Some(place),
            Placed::Wait | Placed::None => None,
        }
    }

    /// Sends it to `place`; where that is silent and it may run twice, to another one as well: the first that answers
    /// counts, and the other is dropped.
    async fn begin(&self, place: usize, passed: &Passed) -> Began<'a> {
        let last_event = if passed.begun { passed.scanner.last_id() } else { None };
        let mut first = pin!(self.once(place, last_event));
        let started = Cell::new(false);
        let mut second = pin!(async {
            let patience = self.shared.balancer.borrow().patience(self.request, place);
            self.until_silent(place, patience).await;
            let other = loop {
                if let Some(other) = self.spare(place) {
                    break other;
                }
                sleep(SUSPECT_LOOK).await;
            };
            started.set(true);
            self.once(other, last_event).await
        });
        let came =
            future::or(async { (true, first.as_mut().await) }, async { (false, second.as_mut().await) });
        match came.await {
            (_, began) if began.is_answer() => began,
            (true, began) if started.get() => {
                let other = second.await;
                if other.is_answer() {
                    other
                } else {
                    began
                }
            }
            (true, began) => began,
            (false, _) => first.await,
        }
    }

    /// Another upstream for a request whose first one is silent, if it may go there too.
    fn spare(&self, silent: usize) -> Option<usize> {
        let now = self.shared.clock.now();
        self.shared.balancer.borrow_mut().suspect(now, silent);
        if !self.request.is_idempotent() || self.sends.get() >= self.request.route.attempts {
            return None;
        }
        let mut tried = self.tried.borrow().clone();
        tried.push(silent);
        let placed = self.shared.balancer.borrow_mut().place(now, self.request, &tried);
        let Placed::Send(place) = placed else { return None };
        let allowed =
            place != silent && self.shared.balancer.borrow_mut().may_repeat(now, &self.request.service);
        allowed.then_some(place)
    }

    /// Waits for `patience` ms, or until the upstream was found dead.
    async fn until_silent(&self, place: usize, patience: Millis) {
        let until = self.shared.clock.now() + patience;
        loop {
            let left = until - self.shared.clock.now();
            if left <= 0.0 || !self.shared.balancer.borrow().upstreams.get(place).run.is_healthy() {
                return;
            }
            sleep(left.min(SUSPECT_LOOK)).await;
        }
    }

    /// Sends it to one upstream, up to the first part of a streamed body or the whole of another. It counts from its start,
    /// so that two that are out together are two.
    async fn once(&self, place: usize, last_event: Option<u64>) -> Began<'a> {
        self.sends.set(self.sends.get() + 1);
        let began = self.attempt(place, last_event).await;
        self.tried.borrow_mut().push(place);
        match began {
            Began::NotSent => self.sends.set(self.sends.get() - 1),
            Began::NotRun => {}
            _ => self.may_have_run.set(true),
        }
        began
    }

    async fn attempt(&self, place: usize, last_event: Option<u64>) -> Began<'a> {
        let (shared, request, clock) = (self.shared, self.request, self.shared.clock);
        let (identifier, address, average, share) = {
            let mut balancer = shared.balancer.borrow_mut();
            balancer.sent(place);
            let share = balancer.connection_share(place);
            let upstream = balancer.upstreams.get(place);
            let average = upstream.average.get().unwrap_or(0.0);
            (upstream.entry.identifier.clone(), upstream.entry.address.clone(), average, share)
        };
        let mut sent = Sent { shared, place, ended: Ended::GivenUp };
        // A connection may be closed by its upstream while the request is written: what may run once goes on a new one.
        let idle = request.is_idempotent().then(|| shared.pool.borrow_mut().take(&identifier, clock.now()));
        let mut connection = match idle.flatten() {
            Some(connection) => connection,
            None => {
                let full = shared.pool.borrow().open(&identifier) >= share;
                if full && !shared.pool.borrow_mut().drop_idle(&identifier) {
                    sent.ended = Ended::TurnedAway;
                    return Began::NotSent;
                }
                let patience = (CONNECT_PATIENCE + 2.0 * average).min(request.left(clock.now()));
                match connect(&shared.pool, &identifier, &address, patience).await {
                    Ok(connection) => connection,
                    Err(error) => {
                        log::debug!("request {}: no connection to {identifier}: {error}", request.id);
                        sent.ended = Ended::Broken;
                        return Began::NotSent;
                    }
                }
            }
        };
        let asked = clock.now();
        let bytes = written(request, &identifier, request.left(asked), last_event);
        if !ask(&connection, &bytes, request.left(asked)).await {
            sent.ended = Ended::Broken;
            return Began::Failed;
        }
        let wait = Wait { shared, request };
        let head = match wait.part(&mut connection).await {
            Ok(Part::Head(head)) => head,
            Ok(_) => return Began::Failed,
            Err(failed) => {
                // A connection that stood idle and broke without a word says nothing of its upstream.
                let reused = connection.reused && failed == Waiting::Broke(Broke::Connection);
                sent.ended = if reused { Ended::GivenUp } else { failed.ended() };
                return if failed == Waiting::Late { Began::Late } else { Began::Failed };
            }
        };
        let not_run = head.headers.get("not-executed").is_some() || head.status == 421;
        let success = (200..300).contains(&head.status);
        let ours = match head.headers.get("request-id") {
            Some(id) => id == request.id,
            // One that turns a request away before it looks at it may leave the id out; nothing else is on a new connection.
            None => not_run && !connection.reused,
        };
        if !ours || success && head.headers.get("server-seal").is_none() {
            log::info!("request {}: {identifier} sent what is no answer to it", request.id);
            sent.ended = Ended::Faulty;
            return Began::Failed;
        }
        let load = head.headers.get("server-load").and_then(Load::parse);
        let cold = head.headers.get("cold-remaining").and_then(|value| value.trim().parse().ok());
        shared.balancer.borrow_mut().told(clock.now(), place, load, cold);
        if request.is_stream() && head.status == 200 {
            return match wait.part(&mut connection).await {
                Ok(first) => {
                    shared.balancer.borrow_mut().paced(request, place, clock.now() - asked);
                    let stream = Stream { sent, connection, identifier, head };
                    Began::Stream(Box::new(stream), first)
                }
                Err(failed) => {
                    sent.ended = failed.ended();
                    if failed == Waiting::Late {
                        Began::Late
                    } else {
                        Began::Failed
                    }
                }
            };
        }
        let body = match whole(&wait, &mut connection).await {
            Ok(body) => body,
            Err(failed) => {
                sent.ended = failed.ended();
                return match failed {
                    _ if not_run => Began::NotRun,
                    Waiting::Late => Began::Late,
                    _ => Began::Failed,
                };
            }
        };
        shared.pool.borrow_mut().give(&identifier, connection, &head, clock.now());
        if not_run {
            sent.ended = Ended::TurnedAway;
            return Began::NotRun;
        }
        if head.status >= 500 || matches!(head.status, 408 | 429) {
            sent.ended = Ended::Faulty;
            return Began::Error(head, body);
        }
        sent.ended = Ended::Answered;
        shared.balancer.borrow_mut().paced(request, place, clock.now() - asked);
        Began::Whole(head, body)
    }

    /// Passes a stream's events on as they come, whole.
    async fn pass_on(&self, mut stream: Stream<'a>, first: Part, passed: &mut Passed) -> Passing {
        passed.scanner.resume();
        let wait = Wait { shared: self.shared, request: self.request };
        let mut part = first;
        loop {
            let (bytes, over, spoilt) = match part {
                Part::Data(data) => match passed.scanner.push(&data) {
                    Scanned::Events(events) => (events, false, false),
                    Scanned::Spoilt(events) => (events, false, true),
                },
                Part::End => (passed.scanner.rest(), true, false),
                Part::Head(_) => return Passing::Broke,
            };
            let mut out = Vec::new();
            if !bytes.is_empty() || over {
                if !passed.begun {
                    passed.begun = true;
                    let headers = stream.head.headers.end_to_end();
                    out = message::response_head(stream.head.status, headers, Flow::Chunks, self.close);
                }
                if !bytes.is_empty() {
                    out.extend(message::chunk(&bytes));
                }
                if over {
                    out.extend(message::chunk(b""));
                }
            }
            if !out.is_empty() && !write(self.client, out).await {
                return Passing::Cut;
            }
            if spoilt {
                stream.sent.ended = Ended::Faulty;
                return Passing::Broke;
            }
            if over {
                stream.sent.ended = Ended::Answered;
                let now = self.shared.clock.now();
                self.shared.pool.borrow_mut().give(&stream.identifier, stream.connection, &stream.head, now);
                return Passing::Done;
            }
            part = match self.next_part(&wait, &mut stream, passed).await {
                Ok(part) => part,
                Err(failed) => {
                    stream.sent.ended = failed.ended();
                    return if failed == Waiting::Late { Passing::Late } else { Passing::Broke };
                }
            };
        }
    }

    /// The next part of a stream. Where its upstream is silent and the stream may be resumed, another takes it up; whichever
    /// has something first goes on.
    async fn next_part(
        &self, wait: &Wait<'_>, stream: &mut Stream<'a>, passed: &mut Passed,
    ) -> Result<Part, Waiting> {
        let last_event = passed.scanner.last_id();
        let place = stream.sent.place;
        let aim = self.request.route.gap_aim_ms.unwrap_or(GAP_AIM);
        let won = {
            let other = async {
                self.until_silent(place, aim * PAUSE + 2.0 * self.average(place)).await;
                loop {
                    if let Some(other) = self.spare(place) {
                        let began = self.once(other, last_event).await;
                        if matches!(began, Began::Stream(..)) {
                            return Err(began);
                        }
                    }
                    sleep(SUSPECT_LOOK).await;
                }
            };
            future::or(async { Ok(wait.part(&mut stream.connection).await) }, other).await
        };
        match won {
            Ok(part) => part,
            Err(Began::Stream(other, first)) => {
                // The head that the client has stays the first one's.
                let Stream { sent, connection, identifier, .. } = *other;
                (stream.sent, stream.connection, stream.identifier) = (sent, connection, identifier);
                passed.scanner.resume();
                Ok(first)
            }
            Err(_) => Err(Waiting::Broke(Broke::Connection)),
        }
    }

    fn average(&self, place: usize) -> Millis {
        self.shared.balancer.borrow().upstreams.get(place).average.get().unwrap_or(0.0)
    }
}

/// A stream that is being passed on.
struct Stream<'a> {
    sent: Sent<'a>,
    connection: Connection,
    identifier: String,
    head: Head,
}

/// What became of a stream.
enum Passing {
    Done,
    /// Its client takes nothing.
    Cut,
    Late,
    /// Its upstream broke off.
    Broke,
}

/// Why nothing more came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiting {
    Broke(Broke),
    /// The request's time is over.
    Late,
}

impl Waiting {
    /// What it says of the upstream.
    fn ended(self) -> Ended {
        match self {
            Waiting::Broke(Broke::Spoilt) => Ended::Faulty,
            Waiting::Broke(Broke::Connection) => Ended::Broken,
            Waiting::Late => Ended::GivenUp,
        }
    }
}

/// Waits for the parts of an answer until the request's time is over.
struct Wait<'a> {
    shared: &'a Shared,
    request: &'a ProxyRequest,
}

impl Wait<'_> {
    /// The next part. A silent upstream is no reason to give up here: another one may be tried beside it.
    async fn part(&self, connection: &mut Connection) -> Result<Part, Waiting> {
        match next(connection, self.shared.clock, self.request.deadline).await {
            Waited::Part(part) => Ok(part),
            Waited::Broke(broke) => Err(Waiting::Broke(broke)),
            Waited::Time => Err(Waiting::Late),
        }
    }
}

async fn whole(wait: &Wait<'_>, connection: &mut Connection) -> Result<Vec<u8>, Waiting> {
    let mut body = Vec::new();
    loop {
        match wait.part(connection).await? {
            Part::Data(data) => body.extend(data),
            Part::End => return Ok(body),
            Part::Head(_) => return Err(Waiting::Broke(Broke::Spoilt)),
        }
        if body.len() > ANSWER_MAX {
            return Err(Waiting::Broke(Broke::Spoilt));
        }
    }
}

async fn write(client: &Async<TcpStream>, bytes: Vec<u8>) -> bool {
    let mut output = Ring::new(bytes.len());
    output.push(&bytes) && write_within(client, &mut output, CLIENT_PATIENCE).await
}

/// A status that promises a client that its request has not run and never will.
fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Passes an upstream's answer on.
async fn answer_with(client: &Async<TcpStream>, head: &Head, body: &[u8], close: bool) -> bool {
    write(client, message::response(head.status, head.headers.end_to_end(), body, close)).await
}

/// This process's own final answer.
pub async fn refuse(
    client: &Async<TcpStream>, request: &ProxyRequest, may_have_run: bool, why: Code, close: bool,
) -> bool {
    let status = match why {
        codes::DEADLINE if may_have_run => 504,
        _ if may_have_run => 502,
        _ => 503,
    };
    let again = (request.route.target_latency_ms * 0.1).clamp(20.0, 500.0) / 1000.0;
    let again = (!may_have_run).then(|| format!("{again:.3}"));
    own_answer(client, status, &request.id, again.as_deref(), why, close).await
}

/// An answer of this process's own, with its numbered code.
pub async fn own_answer(
    client: &Async<TcpStream>, status: u16, id: &str, again: Option<&str>, why: Code, close: bool,
) -> bool {
    let text = codes::TABLE.iter().find(|(code, _, _)| *code == why).map_or("", |(_, _, text)| *text);
    let body = format!("{{\"code\":{},\"what\":\"{text}\"}}", why.0);
    let id = (!id.is_empty()).then_some(("Request-Id", id));
    let again = again.map(|again| ("Retry-After", again));
    let headers = [("Content-Type", "application/json")].into_iter().chain(id).chain(again);
    write(client, message::response(status, headers, body.as_bytes(), close)).await
}

async fn sleep(time: Millis) {
    Timer::after(Duration::from_secs_f64(time / 1000.0)).await;
}
