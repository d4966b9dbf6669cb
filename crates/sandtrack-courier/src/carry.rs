//! Carries one request: places it, sends it, takes it elsewhere where that can do no harm, and gives exactly one answer.
use crate::errand::Errand;
use crate::events::{Scanned, Scanner};
use crate::exchange::{ask, next, written, Broke, Waited};
use crate::office::Ended;
use crate::placement::{Placed, HOLD};
use crate::pool::{connect, Connection};
use crate::program::Shared;
use crate::upstreams::Load;
use async_io::{Async, Timer};
use sandtrack_core::message::{self, Flow, Head};
use sandtrack_postmark::codes::{self, Code};
use sandtrack_sidecar::http::Part;
use sandtrack_sidecar::net::write_within;
use sandtrack_sidecar::ring::Ring;
use sandtrack_tiers::Millis;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// While no upstream has room it is looked again this often, in ms.
const LOOK_AGAIN: Millis = 10.0;
/// A connection that does not come up within this, and twice the upstream's probe time, is given up, in ms (ours).
const CONNECT_PATIENCE: Millis = 400.0;
/// An upstream that is silent for so long is suspected and probed at once, in ms, besides its probe time and the time to
/// read the prompt (ours).
const SILENCE: Millis = 300.0;
/// Prompt tokens read in a ms, at least (ours: half of what the slowest known engine reads).
const TOKENS_PER_MS: f64 = 25.0;
/// While an upstream is suspected it is looked this often whether it was found dead, in ms.
const SUSPECT_LOOK: Millis = 100.0;
/// A client that takes nothing for so long is gone.
const CLIENT_PATIENCE: Duration = Duration::from_secs(5);
/// A whole answer may be so long; a longer one is no answer of these services.
const ANSWER_MAX: usize = 8 << 20;

/// A send that is out; tells the office when it is over, whatever becomes of it.
struct Sent<'a> {
    shared: &'a Shared,
    place: usize,
    ended: Ended,
}

impl Drop for Sent<'_> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.office.borrow_mut().ended(now, self.place, self.ended);
    }
}

/// What one send came to.
enum Outcome {
    /// Answered whole to the client.
    Done,
    /// It has not run, and will not.
    NotRun,
    /// It was never sent: nothing was written.
    NotSent,
    /// It may have run.
    Failed,
    /// An answer of the upstream's own that says it failed; it has run.
    Error(Head, Vec<u8>),
    /// The client takes nothing, or its answer can't go on: its connection is to be closed.
    Cut,
    /// Its time is over.
    Late,
}

/// A stream whose head was passed on.
#[derive(Default)]
struct Passed {
    begun: bool,
    scanner: Scanner,
}

/// Carries the request and answers on `client`; whether that connection can be used on.
pub async fn carry(shared: &Rc<Shared>, errand: &Errand, client: &Async<TcpStream>, close: bool) -> bool {
    let mut tried: Vec<usize> = Vec::new();
    let mut may_have_run = false;
    let mut sends = 0;
    let mut passed = Passed::default();
    let mut error: Option<(Head, Vec<u8>)> = None;
    shared.office.borrow_mut().came(shared.clock.now(), errand);
    let refuse_at =
        errand.arrived + (errand.route.target_latency_ms * HOLD).min(errand.left(errand.arrived) * HOLD);
    let why = loop {
        let now = shared.clock.now();
        if now >= errand.deadline {
            break codes::DEADLINE;
        }
        let more = sends < errand.route.attempts || sends == 0;
        let again = !may_have_run || errand.is_idempotent();
        if !more || !again {
            break if may_have_run { codes::UPSTREAM_FAILED } else { codes::NO_ROOM };
        }
        let placed = shared.office.borrow_mut().place(now, errand, &tried);
        let place = match placed {
            Placed::Send(place) => place,
            Placed::Wait | Placed::None => {
                // What has run and may run again waits as long as it has; what has not is refused early.
                if now >= refuse_at && !passed.begun && !may_have_run || now + LOOK_AGAIN >= errand.deadline {
                    break codes::NO_ROOM;
                }
                sleep(LOOK_AGAIN).await;
                continue;
            }
        };
        if sends > 0 && !shared.office.borrow_mut().may_repeat(now, &errand.service) {
            break if may_have_run { codes::UPSTREAM_FAILED } else { codes::NO_ROOM };
        }
        match send(shared, errand, client, close, place, &mut passed).await {
            Outcome::Done => return !close,
            Outcome::Cut => return false,
            Outcome::Late => {
                may_have_run = true;
                break codes::DEADLINE;
            }
            Outcome::NotSent => tried.push(place),
            Outcome::NotRun => {
                sends += 1;
                tried.push(place);
            }
            Outcome::Failed => {
                (sends, may_have_run) = (sends + 1, true);
                tried.push(place);
            }
            Outcome::Error(head, body) => {
                (sends, may_have_run) = (sends + 1, true);
                tried.push(place);
                error = Some((head, body));
            }
        }
        if tried.len() > 8 {
            tried.remove(0);
        }
    };
    if passed.begun {
        // An answer that ends early must not look complete.
        return false;
    }
    log::debug!("request {} given up: E{}", errand.id, why.0);
    match error {
        Some((head, body)) => answer_with(client, &head, &body, close).await && !close,
        None => refuse(client, errand, may_have_run, why, close).await && !close,
    }
}

/// Sends the request to one upstream and passes the answer on as far as it goes.
async fn send(
    shared: &Rc<Shared>, errand: &Errand, client: &Async<TcpStream>, close: bool, place: usize,
    passed: &mut Passed,
) -> Outcome {
    let clock = shared.clock;
    let (identifier, address, average, share) = {
        let mut office = shared.office.borrow_mut();
        office.sent(place);
        let share = office.connection_share(place);
        let upstream = office.upstreams.get(place);
        let average = upstream.average.get().unwrap_or(0.0);
        (upstream.entry.identifier.clone(), upstream.entry.address.clone(), average, share)
    };
    let mut sent = Sent { shared, place, ended: Ended::GivenUp };
    // A connection may be closed by its upstream while the request is written: what may run once goes on a new one.
    let idle =
        errand.is_idempotent().then(|| shared.pool.borrow_mut().take(&identifier, clock.now())).flatten();
    let mut connection = match idle {
        Some(connection) => connection,
        None => {
            if shared.pool.borrow().open(&identifier) >= share
                && !shared.pool.borrow_mut().drop_idle(&identifier)
            {
                sent.ended = Ended::TurnedAway;
                return Outcome::NotSent;
            }
            let patience = (CONNECT_PATIENCE + 2.0 * average).min(errand.left(clock.now()));
            match connect(&shared.pool, &identifier, &address, patience).await {
                Ok(connection) => connection,
                Err(error) => {
                    log::debug!("request {}: no connection to {identifier}: {error}", errand.id);
                    sent.ended = Ended::Broken;
                    return Outcome::NotSent;
                }
            }
        }
    };
    let now = clock.now();
    let last_event = if passed.begun { passed.scanner.last_id() } else { None };
    let bytes = written(errand, &identifier, errand.left(now), last_event);
    if !ask(&connection, &bytes, errand.left(now)).await {
        sent.ended = Ended::Broken;
        return Outcome::Failed;
    }
    let prompt = errand.tokens.map_or(0.0, |(prompt, _)| prompt as f64) / TOKENS_PER_MS;
    let mut wait = Wait { shared, errand, place, silence: SILENCE + 2.0 * average + prompt, heard: now };
    let head = match wait.part(&mut connection).await {
        Ok(Part::Head(head)) => head,
        Ok(_) => return Outcome::Failed,
        Err(failed) => {
            // A connection that stood idle and broke without a word says nothing of its upstream.
            sent.ended = match failed {
                Waiting::Broke(Broke::Spoilt) => Ended::Faulty,
                Waiting::Broke(Broke::Connection) if connection.reused => Ended::GivenUp,
                Waiting::Broke(Broke::Connection) | Waiting::Dead => Ended::Broken,
                Waiting::Late => Ended::GivenUp,
            };
            return if failed == Waiting::Late { Outcome::Late } else { Outcome::Failed };
        }
    };
    if head.headers.get("request-id") != Some(errand.id.as_str()) && head.headers.get("request-id").is_some()
    {
        log::info!("request {}: an answer to another request came from {identifier}", errand.id);
        sent.ended = Ended::Faulty;
        return Outcome::Failed;
    }
    {
        let load = head.headers.get("server-load").and_then(Load::parse);
        let cold = head.headers.get("cold-remaining").and_then(|value| value.trim().parse().ok());
        shared.office.borrow_mut().told(clock.now(), place, load, cold);
    }
    let not_run = head.headers.get("not-executed").is_some() || head.status == 421;
    let stream = errand.is_stream() && head.status == 200;
    if !stream {
        let body = match whole(&mut wait, &mut connection).await {
            Ok(body) => body,
            Err(failed) => {
                sent.ended = if failed == Waiting::Late { Ended::GivenUp } else { Ended::Broken };
                return match failed {
                    _ if not_run => Outcome::NotRun,
                    Waiting::Late => Outcome::Late,
                    _ => Outcome::Failed,
                };
            }
        };
        shared.pool.borrow_mut().give(&identifier, connection, &head, clock.now());
        if not_run {
            sent.ended = Ended::TurnedAway;
            return Outcome::NotRun;
        }
        if head.status >= 500 || matches!(head.status, 408 | 429) {
            sent.ended = Ended::Faulty;
            return Outcome::Error(head, body);
        }
        sent.ended = Ended::Answered;
        if passed.begun {
            // It can't be taken up with this.
            return Outcome::Failed;
        }
        return if answer_with(client, &head, &body, close).await { Outcome::Done } else { Outcome::Cut };
    }
    passed.scanner.resume();
    wait.silence = errand.route.gap_aim_ms.unwrap_or(SILENCE).max(SILENCE) + 2.0 * average;
    loop {
        let part = match wait.part(&mut connection).await {
            Ok(part) => part,
            Err(failed) => {
                sent.ended = match failed {
                    Waiting::Broke(Broke::Spoilt) => Ended::Faulty,
                    Waiting::Broke(Broke::Connection) | Waiting::Dead => Ended::Broken,
                    Waiting::Late => Ended::GivenUp,
                };
                return if failed == Waiting::Late { Outcome::Late } else { Outcome::Failed };
            }
        };
        let (bytes, over, spoilt) = match part {
            Part::Data(data) => match passed.scanner.push(&data) {
                Scanned::Events(events) => (events, false, false),
                Scanned::Spoilt(events) => (events, false, true),
            },
            Part::End => (passed.scanner.rest(), true, false),
            Part::Head(_) => return Outcome::Failed,
        };
        let mut out = Vec::new();
        if !bytes.is_empty() || over {
            if !passed.begun {
                passed.begun = true;
                out = message::response_head(head.status, head.headers.end_to_end(), Flow::Chunks, close);
            }
            if !bytes.is_empty() {
                out.extend(message::chunk(&bytes));
            }
            if over {
                out.extend(message::chunk(b""));
            }
        }
        if !out.is_empty() && !write(client, out).await {
            return Outcome::Cut;
        }
        if spoilt {
            sent.ended = Ended::Faulty;
            return Outcome::Failed;
        }
        if over {
            sent.ended = Ended::Answered;
            shared.pool.borrow_mut().give(&identifier, connection, &head, clock.now());
            return Outcome::Done;
        }
    }
}

/// Why nothing more came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiting {
    Broke(Broke),
    /// Its upstream was found dead by probes, and the request may run elsewhere.
    Dead,
    /// The request's time is over.
    Late,
}

/// Waits for the parts of an answer, and has a silent upstream probed.
struct Wait<'a> {
    shared: &'a Shared,
    errand: &'a Errand,
    place: usize,
    silence: Millis,
    heard: Millis,
}

impl Wait<'_> {
    async fn part(&mut self, connection: &mut Connection) -> Result<Part, Waiting> {
        let clock = self.shared.clock;
        let mut look = self.heard + self.silence;
        loop {
            match next(connection, clock, look.min(self.errand.deadline)).await {
                Waited::Part(part) => {
                    self.heard = clock.now();
                    return Ok(part);
                }
                Waited::Broke(broke) => return Err(Waiting::Broke(broke)),
                Waited::Time => {
                    let now = clock.now();
                    if now >= self.errand.deadline {
                        return Err(Waiting::Late);
                    }
                    let mut office = self.shared.office.borrow_mut();
                    if self.errand.is_idempotent() && !office.upstreams.get(self.place).run.is_healthy() {
                        return Err(Waiting::Dead);
                    }
                    office.suspect(now, self.place);
                    look = now + SUSPECT_LOOK;
                }
            }
        }
    }
}

async fn whole(wait: &mut Wait<'_>, connection: &mut Connection) -> Result<Vec<u8>, Waiting> {
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

/// Passes an upstream's answer on. One that would promise that the request has not run, though it may have, does not.
async fn answer_with(client: &Async<TcpStream>, head: &Head, body: &[u8], close: bool) -> bool {
    let status = if matches!(head.status, 408 | 421 | 429 | 503) { 502 } else { head.status };
    write(client, message::response(status, head.headers.end_to_end(), body, close)).await
}

/// This process's own final answer.
pub async fn refuse(
    client: &Async<TcpStream>, errand: &Errand, may_have_run: bool, why: Code, close: bool,
) -> bool {
    let status = match why {
        codes::DEADLINE if may_have_run => 504,
        _ if may_have_run => 502,
        _ => 503,
    };
    let again = (errand.route.target_latency_ms * 0.1).clamp(20.0, 500.0) / 1000.0;
    let again = (!may_have_run).then(|| format!("{again:.3}"));
    own_answer(client, status, &errand.id, again.as_deref(), why, close).await
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
