//! What is written to a client: an upstream's response as it is, chunks of a stream, or a response of this process's own.
use async_io::Async;
use sandtrack_net::socket::write_message_within;
use sandtrack_protocol::codes::Code;
use sandtrack_sidecar_core::message::{self, Flow, Head};
use sandtrack_tiers::Millis;
use std::net::TcpStream;
use std::time::Duration;

/// A client that reads nothing for this long is gone, in ms.
pub const CLIENT_WRITE_TIMEOUT_MS: Millis = 5000.0;
/// A client is asked to retry after this part of its route's latency target ...
const RETRY_AFTER_TARGET_SHARE: f64 = 0.1;
/// ... within these bounds, in ms.
const MIN_RETRY_AFTER_MS: Millis = 20.0;
const MAX_RETRY_AFTER_MS: Millis = 500.0;

/// The request lacks valid credentials; the response names their scheme (RFC 9110, 15.5.2).
const UNAUTHORIZED: u16 = 401;

/// One client's connection.
#[derive(Clone, Copy)]
pub struct ClientConnection<'a> {
    /// The socket.
    pub stream: &'a Async<TcpStream>,
    /// Whether the connection is closed behind the response.
    pub close: bool,
}

/// Part of a stream.
pub struct StreamChunk<'a> {
    /// The response's head, before the first chunk.
    pub head: Option<&'a Head>,
    /// Complete events.
    pub bytes: &'a [u8],
    /// The stream is complete with them.
    pub is_last: bool,
}

/// A response of this process's own.
pub struct LocalResponse<'a> {
    /// The status code.
    pub status: u16,
    /// The numbered code in the body.
    pub code: Code,
    /// The request's id; empty where it is not known.
    pub request_id: &'a str,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<&'a str>,
}

impl ClientConnection<'_> {
    /// Writes a head and a body; returns whether the client took all within `timeout` ms.
    async fn write(&self, head: &[u8], body: &[u8], timeout: Millis) -> bool {
        let timeout = Duration::from_secs_f64(timeout.max(1.0) / 1000.0);
        write_message_within(self.stream, head, body, timeout).await
    }

    /// Writes an upstream's response; returns whether the client took it.
    pub async fn send_response(&self, head: &Head, body: &[u8]) -> bool {
        let flow = Flow::Length(body.len());
        let head = message::response_head(head.status, head.headers.end_to_end(), flow, self.close);
        self.write(&head, body, CLIENT_WRITE_TIMEOUT_MS).await
    }

    /// Writes part of a stream; returns whether the client took it within `timeout` ms.
    pub async fn relay(&self, chunk: &StreamChunk<'_>, timeout: Millis) -> bool {
        let mut bytes = chunk.head.map_or_else(Vec::new, |head| {
            message::response_head(
                head.status,
                head.headers.end_to_end(),
                Flow::Chunks,
                self.close,
            )
        });
        if !chunk.bytes.is_empty() {
            bytes.extend(message::chunk(chunk.bytes));
        }
        if chunk.is_last {
            bytes.extend(message::chunk(b""));
        }
        bytes.is_empty()
            || self
                .write(&bytes, &[], timeout.min(CLIENT_WRITE_TIMEOUT_MS))
                .await
    }

    /// Writes a response of this process's own; returns whether the client took it.
    pub async fn send_local_response(&self, response: &LocalResponse<'_>) -> bool {
        let LocalResponse { status, code, .. } = *response;
        let body = format!("{{\"code\":{},\"what\":\"{}\"}}", code.0, code.meaning());
        let id = response.request_id;
        let id = (!id.is_empty()).then_some(("Request-Id", id));
        let retry_after = response.retry_after.map(|seconds| ("Retry-After", seconds));
        let challenge = (status == UNAUTHORIZED).then_some(("WWW-Authenticate", "Bearer"));
        let headers = [("Content-Type", "application/json")]
            .into_iter()
            .chain(challenge)
            .chain(id)
            .chain(retry_after);
        let bytes = message::response(status, headers, body.as_bytes(), self.close);
        self.write(&bytes, &[], CLIENT_WRITE_TIMEOUT_MS).await
    }
}

/// When a client whose request was not executed should retry, in seconds, for a route with this latency target in ms.
#[must_use]
pub fn retry_after_seconds(target_latency: Millis) -> String {
    let pause =
        (target_latency * RETRY_AFTER_TARGET_SHARE).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    format!("{:.3}", pause / 1000.0)
}
