//! The wire of one request on one connection to an upstream: writes it, and reads the answer's parts.
use crate::request::ProxyRequest;
use crate::socket_read::read_some;
use crate::upstream_connections::pool::Connection;
use crate::upstream_connections::response_error::ResponseError;
use async_io::Timer;
use futures_lite::future;
use sandtrack_net::http::Part;
use sandtrack_net::socket::{write_message, Clock};
use sandtrack_sidecar_core::message;
use sandtrack_tiers::Millis;
use std::time::Duration;

/// Parts that are there already are taken for so long beyond the time to wait, in ms: a process that was held up finds its
/// answer in the socket, and an answer that never stops is no reason to go on.
const OVERTIME: Millis = 100.0;

/// What came of writing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    Written,
    /// The connection ended or broke.
    Broke,
    /// The time to write is over.
    Time,
}

/// What came of waiting for a part.
#[derive(Debug)]
pub enum Waited {
    Part(Part),
    Broke(ResponseError),
    /// The time to wait is over.
    Time,
}

/// The head of the request as it is written to an upstream: unchanged but for what concerns one connection. `urgent`: the
/// route's priority is told.
pub fn written_head(
    request: &ProxyRequest,
    identifier: &str,
    left: Millis,
    last_event: Option<u64>,
    urgent: bool,
) -> Vec<u8> {
    const OWN: [&str; 4] = [
        "deadline-remaining",
        "expected-instance",
        "priority",
        "expect",
    ];
    let own = |name: &str| {
        OWN.iter().any(|own| name.eq_ignore_ascii_case(own))
            || last_event.is_some() && name.eq_ignore_ascii_case("last-event-id")
    };
    let kept = request.headers.iter().filter(|(name, _)| !own(name));
    let kept = kept.map(|(name, value)| (name.as_str(), value.as_str()));
    let left = format!("{}", left.floor().max(1.0));
    let priority = request.route.priority.min(9).to_string();
    let last_event = last_event.map(|id| id.to_string());
    let added = [
        ("Deadline-Remaining", left.as_str()),
        ("Expected-Instance", identifier),
    ];
    let urgency = request
        .prefix
        .first()
        .filter(|_| urgent)
        .map(|_| ("Priority", priority.as_str()));
    let resumed = last_event.as_deref().map(|id| ("Last-Event-Id", id));
    let headers = kept.chain(added).chain(urgency).chain(resumed);
    message::request_head_of(
        &request.method,
        &request.target,
        headers,
        request.body.len(),
    )
}

/// Writes the request, all of it within `patience` ms.
pub async fn ask(connection: &Connection, head: &[u8], body: &[u8], patience: Millis) -> Asked {
    let write = async {
        match write_message(&connection.stream, head, body).await {
            Ok(()) => Asked::Written,
            Err(_) => Asked::Broke,
        }
    };
    let late = async {
        Timer::after(Duration::from_secs_f64(patience.max(1.0) / 1000.0)).await;
        Asked::Time
    };
    future::or(write, late).await
}

/// The next part of the answer, waited for until `until`.
pub async fn next(connection: &mut Connection, clock: Clock, until: Millis) -> Waited {
    loop {
        match connection.parser.next(&mut connection.input) {
            Ok(Some(part)) => return Waited::Part(part),
            Err(_) => return Waited::Broke(ResponseError::Malformed),
            Ok(None) => {}
        }
        if clock.now() > until + OVERTIME {
            return Waited::Time;
        }
        let read = async { Some(read_some(&connection.stream, &mut connection.input).await) };
        let late = async {
            Timer::at(clock.at(until)).await;
            None
        };
        match future::or(read, late).await {
            None => return Waited::Time,
            Some(Ok(0)) => {
                if !connection.parser.ended(&connection.input) {
                    return Waited::Broke(ResponseError::ConnectionLost);
                }
            }
            Some(Ok(_)) => {}
            Some(Err(_)) => return Waited::Broke(ResponseError::ConnectionLost),
        }
    }
}
