//! Clients' connections: reads one request after another and has each carried. It owns those sockets.
use crate::context::ProxyContext;
use crate::exchange::client_response::Client;
use crate::exchange::forward::carry;
use crate::exchange::request_log::refused;
use crate::exchange::state::is_promise;
use crate::request::{held_at_most, ProxyRequest, Refused};
use crate::socket_read::read_some;
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_net::byte_budget::Held;
use sandtrack_net::http::{take_expectation, Bad, Parser, Part, Side, CONTINUE};
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::{has_left, linger, no_delay, write_within};
use sandtrack_protocol::codes;
use sandtrack_sidecar_core::message::Head;
use sandtrack_tiers::Millis;
use std::cell::Cell;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// How often it is looked whether a client is still there while its bytes are not read.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// After this process was told to stop, an idle connection is kept so long for what its client has on the way, in ms.
const LEAVING_IDLE: Millis = 1500.0;
/// Until a configuration says otherwise.
const HEAD_MAX: usize = 16 * 1024;
const BODY_MAX: usize = 4 << 20;
const IDLE: Millis = 15_000.0;
/// The buffer of a connection holds twice this many bytes at least (ours).
const INPUT_MIN: usize = 8192;
const HEAD_TIME: Millis = 3_000.0;
/// A body may take this many times as long as a head, counted as [`BODY_HEAD_TIME`] at least, and not over the time that the
/// request may be held (ours).
const BODY_TIMES: f64 = 4.0;
const BODY_HEAD_TIME: Millis = 5_000.0;
/// One that was refused before it was carried may come back after so many seconds (ours).
const COME_BACK: &str = "0.2";

/// Accepts until the listener is told to stop (the sender of `stop` is closed).
pub async fn accept(
    context: Rc<ProxyContext>,
    listener: Async<TcpListener>,
    stop: async_channel::Receiver<()>,
) {
    loop {
        let stopped = async {
            let _ = stop.recv().await;
            None
        };
        match future::or(async { Some(listener.accept().await) }, stopped).await {
            None => return,
            Some(Ok((stream, _))) => {
                let serving = context.clone();
                context
                    .executor
                    .spawn(async move { serve(serving, stream).await })
                    .detach();
                future::yield_now().await;
            }
            Some(Err(_)) => {
                Timer::after(Duration::from_millis(5)).await;
            }
        }
    }
}

/// What reading came to.
enum Came {
    /// Its head, its body with its room in the budget of the process, and when its first byte was there.
    Request(Head, Vec<u8>, Held, Millis),
    /// It is refused: with this status, code, and the request's id where it is proper so far.
    Bad(u16, codes::Code, String),
    /// The connection is over.
    Ended,
}

/// The operator's limits for clients: sizes in bytes, times in ms.
struct Limits {
    head: usize,
    body: usize,
    idle: Millis,
    head_time: Millis,
}

impl Limits {
    /// The buffer that a connection is read into holds a whole head and what came with it.
    fn input(&self) -> usize {
        2 * self.head.max(INPUT_MIN)
    }
}

/// Those of the configuration in force.
fn limits(context: &ProxyContext) -> Limits {
    let balancer = context.balancer.borrow();
    let limits = balancer
        .configuration
        .as_ref()
        .map(|configuration| &configuration.limits);
    Limits {
        head: limits.map_or(HEAD_MAX, |limits| limits.header_size_bytes),
        body: limits.map_or(BODY_MAX, |limits| limits.body_size_bytes),
        idle: limits.map_or(IDLE, |limits| limits.idle_timeout_ms),
        head_time: limits.map_or(HEAD_TIME, |limits| limits.header_timeout_ms),
    }
}

async fn serve(context: Rc<ProxyContext>, stream: Async<TcpStream>) {
    no_delay(&stream);
    context.connections.set(context.connections.get() + 1);
    let _count = Counted(context.clone());
    let before = limits(&context);
    let mut input = Ring::new(before.input());
    let mut parser = Parser::with_head_max(Side::Request, before.head);
    // When the first byte of the next request came while the last one was carried.
    let early = Cell::new(None);
    loop {
        let came = read(&context, &stream, &mut parser, &mut input, early.take()).await;
        let (head, body, _held, arrived) = match came {
            Came::Ended => return,
            Came::Bad(status, why, id) => {
                refused(&context, &id, status, why);
                let again = is_promise(status).then_some(COME_BACK);
                Client {
                    stream: &stream,
                    close: true,
                }
                .own(status, &id, again, why)
                .await;
                return linger(&stream).await;
            }
            Came::Request(head, body, held, arrived) => (head, body, held, arrived),
        };
        let close = !head.keep_alive || context.balancer.borrow().leaving;
        let id = request_id(&head);
        let decoded = {
            let mut balancer = context.balancer.borrow_mut();
            let draw = balancer.draw_fraction();
            match balancer.configuration.clone() {
                None => Err(Refused(503, codes::NO_CONFIGURATION)),
                Some(configuration) => {
                    ProxyRequest::decode(&configuration, head, body, arrived, draw)
                }
            }
        };
        let open = match decoded {
            Err(Refused(status, why)) => {
                refused(&context, &id, status, why);
                let again = is_promise(status).then_some(COME_BACK);
                Client {
                    stream: &stream,
                    close,
                }
                .own(status, &id, again, why)
                .await
                    && !close
            }
            Ok(request) => {
                context.open(1);
                let _open = OpenRequest(context.clone());
                let gone = async {
                    gone(&context, &stream, &mut input, &early).await;
                    false
                };
                future::or(
                    gone,
                    carry(
                        &context,
                        &request,
                        Client {
                            stream: &stream,
                            close,
                        },
                    ),
                )
                .await
            }
        };
        if !open {
            return linger(&stream).await;
        }
    }
}

struct Counted(Rc<ProxyContext>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

struct OpenRequest(Rc<ProxyContext>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open(-1);
    }
}

/// Returns once the client is gone. What it sends meanwhile waits, and its time counts from then (`early`).
async fn gone(
    context: &ProxyContext,
    stream: &Async<TcpStream>,
    input: &mut Ring,
    early: &Cell<Option<Millis>>,
) {
    if !input.is_empty() {
        early.set(Some(context.clock.now()));
    }
    while input.room() > 0 {
        match read_some(stream, input).await {
            Ok(count) if count > 0 => early.set(early.get().or(Some(context.clock.now()))),
            _ => return,
        }
    }
    while !has_left(stream) {
        Timer::after(LOOK_EVERY).await;
    }
}

/// A request that is not there whole.
struct Begun {
    head: Head,
    /// When its first byte was there.
    arrived: Millis,
    /// When the whole of it must be there.
    until: Millis,
}

/// Until when a request is waited for whose head is there and whose body is not.
fn body_until(context: &ProxyContext, head: &Head, arrived: Millis, head_time: Millis) -> Millis {
    let balancer = context.balancer.borrow();
    let held = balancer
        .configuration
        .as_ref()
        .and_then(|configuration| held_at_most(configuration, head));
    let most = BODY_TIMES * head_time.max(BODY_HEAD_TIME);
    arrived + held.map_or(most, |held| held.min(most))
}

/// Reads the next request whole. `early`: its first bytes were read at that time. The limits are those in force when its head
/// comes, also on a connection that has rested since before a change of them.
async fn read(
    context: &ProxyContext,
    stream: &Async<TcpStream>,
    parser: &mut Parser,
    input: &mut Ring,
    early: Option<Millis>,
) -> Came {
    let mut limits = limits(context);
    let clock = context.clock;
    let began = clock.now();
    let mut first_byte = early;
    let mut begun: Option<Begun> = None;
    let (mut body, mut held) = (Vec::new(), context.memory.requests.message());
    loop {
        if begun.is_none() {
            limits = self::limits(context);
            parser.set_head_max(limits.head);
            input.set_bound(limits.input());
        }
        match parser.next(input) {
            Ok(Some(Part::Head(mut next))) => {
                let told = told_length(&next).filter(|length| *length <= limits.body);
                if !told.is_none_or(|length| held.grow_to(length)) {
                    return Came::Bad(503, codes::NO_MEMORY, request_id(&next));
                }
                body.reserve_exact(told.unwrap_or(0));
                if take_expectation(&mut next) {
                    let mut output = Ring::new(CONTINUE.len());
                    if !output.push(CONTINUE)
                        || !write_within(stream, &mut output, LOOK_EVERY).await
                    {
                        return Came::Ended;
                    }
                }
                let arrived = first_byte.unwrap_or_else(|| clock.now());
                begun = Some(Begun {
                    head: next,
                    arrived,
                    until: f64::INFINITY,
                });
                continue;
            }
            Ok(Some(Part::Data(data))) => {
                if body.len() + data.len() > limits.body {
                    return Came::Bad(413, codes::TOO_LARGE, String::new());
                }
                if !held.extend(&mut body, &data) {
                    return Came::Bad(503, codes::NO_MEMORY, id_of(&begun));
                }
                continue;
            }
            Ok(Some(Part::End)) => {
                return match begun {
                    Some(Begun { head, arrived, .. }) => Came::Request(head, body, held, arrived),
                    None => Came::Bad(400, codes::MALFORMED, String::new()),
                };
            }
            Ok(None) => {}
            Err(bad) => {
                let why = if bad == Bad::Malformed {
                    codes::MALFORMED
                } else {
                    codes::TOO_LARGE
                };
                return Came::Bad(bad.status(), why, String::new());
            }
        }
        let within = parser.within(input);
        if within && first_byte.is_none() {
            first_byte = Some(clock.now());
        }
        let until = match (first_byte, &mut begun) {
            (None, None) => began + limits.idle,
            (Some(at), None) => at.max(began) + limits.head_time,
            (_, Some(begun)) => {
                if begun.until.is_infinite() {
                    begun.until = body_until(context, &begun.head, begun.arrived, limits.head_time);
                }
                begun.until
            }
        };
        let read = async { Some(read_some(stream, input).await) };
        let late = async {
            if within {
                Timer::at(clock.at(until)).await;
                return None;
            }
            // An idle connection ends soon after this process was told to stop.
            let leaving = async {
                let _ = context.left.recv().await;
                Timer::after(Duration::from_secs_f64(LEAVING_IDLE / 1000.0)).await;
            };
            let idle = async {
                Timer::at(clock.at(until)).await;
            };
            future::or(leaving, idle).await;
            None
        };
        match future::or(read, late).await {
            Some(Ok(count)) if count > 0 => {}
            Some(_) => return Came::Ended,
            None if within => return Came::Bad(408, codes::DEADLINE, id_of(&begun)),
            // The time to rest may have grown meanwhile.
            None if clock.now() < began + self::limits(context).idle
                && !context.balancer.borrow().leaving => {}
            None => return Came::Ended,
        }
    }
}

/// The id of a request whose head is there.
fn id_of(begun: &Option<Begun>) -> String {
    begun
        .as_ref()
        .map(|begun| request_id(&begun.head))
        .unwrap_or_default()
}

fn request_id(head: &Head) -> String {
    head.headers
        .get("request-id")
        .unwrap_or_default()
        .to_owned()
}

/// The length of the body that a head announces; none of one in chunks.
fn told_length(head: &Head) -> Option<usize> {
    head.headers.get("content-length")?.trim().parse().ok()
}

/// The platform's own check: whether this process takes traffic.
pub async fn readiness(context: Rc<ProxyContext>, listener: Async<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let checked = context.clone();
                context
                    .executor
                    .spawn(async move { check(checked, stream).await })
                    .detach();
            }
            Err(_) => {
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn check(context: Rc<ProxyContext>, stream: Async<TcpStream>) {
    let mut input = Ring::new(HEAD_MAX);
    let mut parser = Parser::new(Side::Request);
    while let Came::Request(head, ..) = read(&context, &stream, &mut parser, &mut input, None).await
    {
        let ready = context.balancer.borrow().is_ready();
        let (status, body): (u16, &[u8]) = match (head.target.as_str(), ready) {
            ("/v1/readiness", true) => (200, b"{\"ready\":true}"),
            ("/v1/readiness", false) => (503, b"{\"ready\":false}"),
            _ => (404, b"{}"),
        };
        let headers = [("Content-Type", "application/json")].into_iter();
        let bytes =
            sandtrack_sidecar_core::message::response(status, headers, body, !head.keep_alive);
        let mut output = Ring::new(bytes.len());
        if !output.push(&bytes) || !write_within(&stream, &mut output, Duration::from_secs(1)).await
        {
            return;
        }
        if !head.keep_alive {
            return;
        }
    }
}
