//! What a client is answered: an upstream's answer as it is, pieces of a stream, or an answer of this process's own.
use async_io::Async;
use sandtrack_net::socket::write_message_within;
use sandtrack_protocol::codes::Code;
use sandtrack_sidecar_core::message::{self, Flow, Head};
use sandtrack_tiers::Millis;
use std::net::TcpStream;
use std::time::Duration;

/// A client that takes nothing for so long is gone, in ms.
pub const CLIENT_PATIENCE: Millis = 5000.0;
/// A client is told to come back after this part of its route's aim, within these bounds, in ms (ours).
const COME_BACK: f64 = 0.1;
const COME_BACK_LEAST: Millis = 20.0;
const COME_BACK_MOST: Millis = 500.0;

/// One client's connection, and whether it is closed behind the answer.
#[derive(Clone, Copy)]
pub struct Client<'a> {
    pub stream: &'a Async<TcpStream>,
    pub close: bool,
}

impl Client<'_> {
    /// Writes a head and what is behind it; whether the client took all within `patience` ms.
    async fn write(&self, head: &[u8], body: &[u8], patience: Millis) -> bool {
        let patience = Duration::from_secs_f64(patience.max(1.0) / 1000.0);
        write_message_within(self.stream, head, body, patience).await
    }

    /// Passes an upstream's answer on.
    pub async fn pass_on(&self, head: &Head, body: &[u8]) -> bool {
        let flow = Flow::Length(body.len());
        let head = message::response_head(head.status, head.headers.end_to_end(), flow, self.close);
        self.write(&head, body, CLIENT_PATIENCE).await
    }

    /// Passes a piece of a stream on; `begins`: behind this head; `ends`: nothing follows.
    pub async fn relay(
        &self,
        begins: Option<&Head>,
        bytes: &[u8],
        ends: bool,
        patience: Millis,
    ) -> bool {
        let mut out = begins.map_or_else(Vec::new, |head| {
            message::response_head(
                head.status,
                head.headers.end_to_end(),
                Flow::Chunks,
                self.close,
            )
        });
        if !bytes.is_empty() {
            out.extend(message::chunk(bytes));
        }
        if ends {
            out.extend(message::chunk(b""));
        }
        out.is_empty() || self.write(&out, &[], patience.min(CLIENT_PATIENCE)).await
    }

    /// An answer of this process's own, with its numbered code. `come_back`: after so many seconds the client may try again.
    pub async fn own(&self, status: u16, id: &str, come_back: Option<&str>, why: Code) -> bool {
        let body = format!("{{\"code\":{},\"what\":\"{}\"}}", why.0, why.meaning());
        let id = (!id.is_empty()).then_some(("Request-Id", id));
        let again = come_back.map(|seconds| ("Retry-After", seconds));
        let headers = [("Content-Type", "application/json")]
            .into_iter()
            .chain(id)
            .chain(again);
        let bytes = message::response(status, headers, body.as_bytes(), self.close);
        self.write(&bytes, &[], CLIENT_PATIENCE).await
    }
}

/// When a client whose request has not run is to come back, in seconds, for a route with this aim in ms.
pub fn come_back_after(target_latency: Millis) -> String {
    let pause = (target_latency * COME_BACK).clamp(COME_BACK_LEAST, COME_BACK_MOST);
    format!("{:.3}", pause / 1000.0)
}
