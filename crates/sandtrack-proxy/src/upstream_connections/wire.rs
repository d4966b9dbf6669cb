//! HTTP/1.1 for one request on one connection to an upstream: writes the request, and reads the parts of the response.
use super::pool::Connection;
use super::response_error::ResponseError;
use crate::request::{ProxyRequest, LAST_EVENT_ID};
use crate::socket_read::read_available;
use async_io::Timer;
use futures_lite::future;
use sandtrack_net::http::Part;
use sandtrack_net::socket::{write_message, Clock};
use sandtrack_sidecar_core::message;
use sandtrack_tiers::Millis;
use std::time::Duration;

/// Parts that came already are read for this long after the deadline, in ms: a process that was not scheduled finds its
/// response in the socket, and a response that never ends is no reason to go on.
const LATE_READ_GRACE_MS: Millis = 100.0;

/// Headers that this proxy sets itself.
const OWN_HEADERS: [&str; 5] = [
    "deadline-remaining",
    "expected-instance",
    "priority",
    "tenant-name",
    "expect",
];

/// What came of writing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// All of it was written.
    Written,
    /// The connection was closed or broke.
    ConnectionFailed,
    /// The time to write is over.
    TimedOut,
}

/// What came of waiting for a part of a response.
#[derive(Debug)]
pub enum WaitResult {
    /// A part came.
    Part(Part),
    /// The response can't be read to its end.
    Failed(ResponseError),
    /// The time to wait is over.
    TimedOut,
}

/// What a request's head says to this upstream alone.
pub struct RequestHeadOptions<'a> {
    /// The upstream that is meant (`Expected-Instance`).
    pub identifier: &'a str,
    /// Time to the request's deadline, in ms.
    pub remaining: Millis,
    /// Ask for the stream behind the event with this id (`Last-Event-Id`).
    pub resume_after: Option<u64>,
    /// Send the request's priority.
    pub with_priority: bool,
}

/// The head of the request as it is written to an upstream: the client's, but for what concerns one connection.
#[must_use]
pub fn request_head(request: &ProxyRequest, options: &RequestHeadOptions<'_>) -> Vec<u8> {
    let is_own = |name: &str| {
        OWN_HEADERS.iter().any(|own| name.eq_ignore_ascii_case(own))
            || options.resume_after.is_some() && name.eq_ignore_ascii_case(LAST_EVENT_ID)
    };
    let kept = request
        .headers
        .iter()
        .filter(|(name, _)| !is_own(name))
        .map(|(name, value)| (name.as_str(), value.as_str()));
    let remaining = format!("{}", options.remaining.floor().max(1.0));
    let priority = request.priority.to_string();
    let last_event_id = options.resume_after.map(|id| id.to_string());
    let added = [
        ("Deadline-Remaining", remaining.as_str()),
        ("Expected-Instance", options.identifier),
    ];
    let priority = request
        .prompt_parts
        .first()
        .filter(|_| options.with_priority)
        .map(|_| ("Priority", priority.as_str()));
    let resumed = last_event_id.as_deref().map(|id| (LAST_EVENT_ID, id));
    let tenant = request.tenant.as_deref();
    let tenant = tenant.map(|tenant| ("Tenant-Name", tenant.name.as_str()));
    let headers = kept
        .chain(added)
        .chain(tenant)
        .chain(priority)
        .chain(resumed);
    message::request_head_of(
        &request.method,
        &request.target,
        headers,
        request.body.len(),
    )
}

/// Writes the request, all of it within `timeout` ms.
pub async fn write_request(
    connection: &Connection,
    head: &[u8],
    body: &[u8],
    timeout: Millis,
) -> WriteResult {
    let write = async {
        match write_message(&connection.stream, head, body).await {
            Ok(()) => WriteResult::Written,
            Err(_) => WriteResult::ConnectionFailed,
        }
    };
    let timer = async {
        Timer::after(Duration::from_secs_f64(timeout.max(1.0) / 1000.0)).await;
        WriteResult::TimedOut
    };
    future::or(write, timer).await
}

/// Reads the next part of the response, waiting until `deadline`.
pub async fn read_part(connection: &mut Connection, clock: Clock, deadline: Millis) -> WaitResult {
    loop {
        match connection.parser.next(&mut connection.input) {
            Ok(Some(part)) => return WaitResult::Part(part),
            Err(_) => return WaitResult::Failed(ResponseError::Malformed),
            Ok(None) => {}
        }
        if clock.now() > deadline + LATE_READ_GRACE_MS {
            return WaitResult::TimedOut;
        }
        let read = async { Some(read_available(&connection.stream, &mut connection.input).await) };
        let timer = async {
            Timer::at(clock.at(deadline)).await;
            None
        };
        match future::or(read, timer).await {
            None => return WaitResult::TimedOut,
            Some(Ok(0)) => {
                if !connection.parser.ended(&connection.input) {
                    return WaitResult::Failed(ResponseError::ConnectionLost);
                }
            }
            Some(Ok(_)) => {}
            Some(Err(_)) => return WaitResult::Failed(ResponseError::ConnectionLost),
        }
    }
}
