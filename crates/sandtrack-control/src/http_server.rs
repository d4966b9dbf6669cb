//! The HTTP server of the operators' API (one call for each connection) and of the directory (persistent connections). It notes
//! when connections came, for [`crate::operator_api::call_age`].
use crate::frame_connection::prepare;
use crate::operator_api::call_age::Arrival;
use crate::operator_api::requests::{CALL_TIMEOUT_MS, MAX_BODY_BYTES};
use crate::operator_api::{responses, Reply};
use crate::Millis;
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_net::byte_budget::{ByteBudget, Held};
use sandtrack_net::http::{self, Part, Side, CONTINUE};
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::{has_left, linger, read_into, write_within, Clock, ACCEPT_PAUSE};
use sandtrack_protocol::codes;
use sandtrack_sidecar_core::message::{Head, Message};
use std::future::Future;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// A caller that takes no bytes for this long is gone.
const WRITE_PATIENCE: Duration = Duration::from_secs(2);
/// A connection on which no call begins for this long is closed.
const IDLE: Duration = Duration::from_secs(30);
/// An answer is given as a definite one for so many ms after its call was read, which is a little more than what the control
/// node takes at most.
const ANSWER_MS: Millis = CALL_TIMEOUT_MS + 150.0;

/// Accepts operators' connections for as long as the task lives. `queue_recheck` tells that the process was held up: whether the
/// queue is empty is then looked at anew, so that what comes later is not taken for what waited.
pub async fn listen(
    listener: Async<TcpListener>,
    clock: Clock,
    queue_recheck: async_channel::Receiver<()>,
    mut opened: impl FnMut(Async<TcpStream>, Arrival),
) {
    // What waits already has waited for an unknown time.
    let mut queued_since = Millis::NEG_INFINITY;
    loop {
        let before = clock.now();
        match listener.get_ref().accept() {
            Ok((stream, _)) => match Async::new(stream) {
                Ok(stream) => {
                    prepare(&stream);
                    opened(
                        stream,
                        Arrival {
                            queued_since,
                            accepted: before,
                        },
                    );
                    future::yield_now().await;
                }
                Err(error) => log::debug!("a connection can't be served: {error}"),
            },
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                queued_since = before;
                let come = async { listener.readable().await.is_ok() };
                let again = async { queue_recheck.recv().await.is_ok() };
                future::or(come, again).await;
            }
            Err(error) => {
                log::debug!("accept failed: {error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Takes one call off an operator's connection, and answers it. A call whose caller has left is not made: it will have been
/// sent elsewhere; `left` is told of it.
pub async fn serve_call<F: Future<Output = Option<Reply>>>(
    stream: &Async<TcpStream>,
    clock: Clock,
    memory: &ByteBudget,
    submit: impl FnOnce(Message) -> F,
    left: impl FnOnce(),
) {
    let mut input = Ring::new(http::READ_RING);
    let mut parser = http::Parser::new(Side::Request);
    // Given back once it is answered.
    let mut held = memory.message();
    let reply = match read_patiently(stream, &mut input, &mut parser, &mut held).await {
        None => return,
        Some(Err(unread)) => unread.reply(),
        Some(Ok(message)) if has_left(stream) => {
            log::info!(
                "{} {} is not made: its caller has left",
                message.head.method,
                message.head.target
            );
            return left();
        }
        Some(Ok(message)) => {
            let read = clock.now();
            match submit(message).await {
                None => return,
                Some(_) if clock.now() - read > ANSWER_MS => responses::unacknowledged(),
                Some(reply) => reply,
            }
        }
    };
    let mut output = Ring::new(2 * MAX_BODY_BYTES);
    if write(stream, &mut output, &reply, true).await {
        linger(stream).await;
    }
}

/// Takes one call after another off a connection and answers each at once.
pub async fn serve_calls(
    stream: &Async<TcpStream>,
    memory: &ByteBudget,
    answer: impl Fn(&Message) -> Reply,
) {
    let mut input = Ring::new(http::READ_RING);
    let mut output = Ring::new(2 * MAX_BODY_BYTES);
    let mut parser = http::Parser::new(Side::Request);
    loop {
        let mut held = memory.message();
        let (reply, close) = match read_patiently(stream, &mut input, &mut parser, &mut held).await
        {
            None => return,
            Some(Err(unread)) => (unread.reply(), true),
            Some(Ok(message)) => (answer(&message), !message.head.keep_alive),
        };
        if !write(stream, &mut output, &reply, close).await {
            return;
        }
        if close {
            return linger(stream).await;
        }
    }
}

async fn write(stream: &Async<TcpStream>, output: &mut Ring, reply: &Reply, close: bool) -> bool {
    output.push(&reply.bytes(close)) && write_within(stream, output, WRITE_PATIENCE).await
}

/// One call, as `read_call`; `None` as well where none came whole for a long time: nothing happens then.
async fn read_patiently(
    stream: &Async<TcpStream>,
    input: &mut Ring,
    parser: &mut http::Parser,
    held: &mut Held,
) -> Option<Result<Message, Unread>> {
    let idle = async {
        Timer::after(IDLE).await;
        None
    };
    future::or(read_call(stream, input, parser, held), idle).await
}

/// Why a call was not read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unread {
    /// It is no call, or too long a one; with the status that says so.
    NoCall(u16),
    /// This process has no room for it beside the others that it holds.
    NoMemory,
}

impl Unread {
    fn reply(self) -> Reply {
        match self {
            Unread::NoCall(status) => Reply::error(status, codes::BAD_CALL, "not a call"),
            Unread::NoMemory => {
                log::info!("a call is not read: {}", codes::NO_MEMORY.meaning());
                Reply::error(503, codes::NO_MEMORY, "")
            }
        }
    }
}

/// One call, whole; `None` where the connection ended before. What it takes is counted in `held`.
async fn read_call(
    stream: &Async<TcpStream>,
    input: &mut Ring,
    parser: &mut http::Parser,
    held: &mut Held,
) -> Option<Result<Message, Unread>> {
    let (mut head, mut body): (Option<Head>, Vec<u8>) = (None, Vec::new());
    loop {
        match parser.next(input) {
            Err(bad) => return Some(Err(Unread::NoCall(bad.status()))),
            Ok(Some(Part::Head(mut read))) => {
                if http::take_expectation(&mut read) && input.is_empty() {
                    let mut output = Ring::new(CONTINUE.len());
                    if !output.push(CONTINUE)
                        || !write_within(stream, &mut output, WRITE_PATIENCE).await
                    {
                        return None;
                    }
                }
                head = Some(read);
            }
            Ok(Some(Part::Data(data))) => {
                if body.len() + data.len() > MAX_BODY_BYTES {
                    return Some(Err(Unread::NoCall(413)));
                }
                if !held.extend(&mut body, &data) {
                    return Some(Err(Unread::NoMemory));
                }
            }
            Ok(Some(Part::End)) => return head.map(|head| Ok(Message { head, body })),
            Ok(None) => match read_into(stream, input).await {
                Ok(count) if count > 0 => {}
                _ => return None,
            },
        }
    }
}
