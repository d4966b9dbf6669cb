//! One client connection: reads and forwards requests one after another until either side closes.
use super::limits::ClientLimits;
use super::read_request::{read_request, request_id, ReadError, RejectedRequest};
use crate::context::ProxyContext;
use crate::exchange::client_response::{ClientConnection, LocalResponse};
use crate::exchange::forward::forward;
use crate::exchange::request_log::record_rejected;
use crate::exchange::state::indicates_not_executed;
use crate::request::{ProxyRequest, Rejection};
use crate::socket_read::read_available;
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_net::http::{Parser, Side};
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::{has_left, linger, no_delay};
use sandtrack_protocol::codes;
use sandtrack_sidecar_core::message::Head;
use sandtrack_tiers::Millis;
use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// How often a client is checked for disconnection while the input buffer is full and nothing is read from it.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// `Retry-After` in seconds for a request that was rejected before it was forwarded.
const REJECTION_RETRY_AFTER_S: &str = "0.2";

/// A client connection and the input read from it.
struct Connection {
    context: Rc<ProxyContext>,
    stream: Async<TcpStream>,
    input: Ring,
    parser: Parser,
    /// When the first byte of the next request arrived, if that was while the previous one was being forwarded.
    pipelined_at: Cell<Option<Millis>>,
    _count: ConnectionGuard,
}

/// Counts a client connection until dropped.
struct ConnectionGuard(Rc<ProxyContext>);

impl ConnectionGuard {
    fn new(context: Rc<ProxyContext>) -> ConnectionGuard {
        let connections = &context.client_connections;
        connections.set(connections.get() + 1);
        ConnectionGuard(context)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let connections = &self.0.client_connections;
        connections.set(connections.get() - 1);
    }
}

/// Counts a request in flight until dropped.
struct OpenRequestGuard<'a>(&'a ProxyContext);

impl OpenRequestGuard<'_> {
    fn new(context: &ProxyContext) -> OpenRequestGuard<'_> {
        context.add_open_requests(1);
        OpenRequestGuard(context)
    }
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.add_open_requests(-1);
    }
}

/// Serves a client connection until it ends.
pub(super) async fn serve(context: Rc<ProxyContext>, stream: Async<TcpStream>) {
    no_delay(&stream);
    let limits = ClientLimits::current(&context);
    let mut connection = Connection {
        input: Ring::new(limits.input_buffer_bytes()),
        parser: Parser::with_head_max(Side::Request, limits.max_head_bytes),
        stream,
        pipelined_at: Cell::new(None),
        _count: ConnectionGuard::new(context.clone()),
        context,
    };
    loop {
        let outcome = read_request(
            &connection.context,
            &connection.stream,
            &mut connection.parser,
            &mut connection.input,
            connection.pipelined_at.take(),
        )
        .await;
        match outcome {
            Err(ReadError::Closed) => return,
            Err(ReadError::Rejected(rejection)) => {
                connection.reject(&rejection, true).await;
                return linger(&connection.stream).await;
            }
            Ok(received) => {
                // `received.reservation` is released at the end of this block.
                let keep_open = connection
                    .respond(received.head, received.body, received.arrived_at)
                    .await;
                if !keep_open {
                    return linger(&connection.stream).await;
                }
            }
        }
    }
}

impl Connection {
    /// Forwards or rejects a request; returns whether the connection can be used for another one.
    async fn respond(&mut self, head: Head, body: Vec<u8>, arrived_at: Millis) -> bool {
        let close = !head.keep_alive || self.context.balancer.borrow().draining;
        let id = request_id(&head);
        let decoded = {
            let mut balancer = self.context.balancer.borrow_mut();
            let draw = balancer.draw_fraction();
            match balancer.configuration.clone() {
                None => Err(Rejection {
                    status: 503,
                    code: codes::NO_CONFIGURATION,
                }),
                Some(configuration) => {
                    let decoded =
                        ProxyRequest::decode(&configuration, head, body, arrived_at, draw);
                    match balancer.keys_are_outdated(self.context.clock.now()) {
                        true => reject_outdated_key(decoded),
                        false => decoded,
                    }
                }
            }
        };
        match decoded {
            Err(Rejection { status, code }) => {
                let rejection = RejectedRequest {
                    status,
                    code,
                    request_id: id,
                };
                self.reject(&rejection, close).await && !close
            }
            Ok(request) => self.forward(&request, close).await,
        }
    }

    /// Forwards a request; returns whether the connection can be used for another one.
    async fn forward(&mut self, request: &ProxyRequest, close: bool) -> bool {
        let Connection {
            context,
            stream,
            input,
            pipelined_at,
            ..
        } = self;
        let _open = OpenRequestGuard::new(context);
        let disconnected = async {
            until_disconnected(context, stream, input, pipelined_at).await;
            false
        };
        let client = ClientConnection { stream, close };
        future::or(disconnected, forward(context, request, client)).await
    }

    /// Rejects a request with a response generated by this proxy; returns whether the write completed.
    async fn reject(&self, rejection: &RejectedRequest, close: bool) -> bool {
        let RejectedRequest {
            status,
            code,
            request_id,
        } = rejection;
        record_rejected(&self.context, request_id, *status, *code);
        let response = LocalResponse {
            status: *status,
            code: *code,
            request_id,
            retry_after: indicates_not_executed(*status).then_some(REJECTION_RETRY_AFTER_S),
        };
        let client = ClientConnection {
            stream: &self.stream,
            close,
        };
        client.send_local_response(&response).await
    }
}

/// Applied while this proxy's API keys may be outdated: rejects a request whose admission depends on a key, as that key may have
/// been revoked or added since.
fn reject_outdated_key(
    decoded: Result<ProxyRequest, Rejection>,
) -> Result<ProxyRequest, Rejection> {
    let depends_on_key = match &decoded {
        Ok(request) => request.needs_key(),
        Err(rejection) => rejection.code == codes::UNKNOWN_KEY,
    };
    match depends_on_key {
        true => Err(Rejection {
            status: 503,
            code: codes::OUTDATED_KEYS,
        }),
        false => decoded,
    }
}

/// Returns once the client has disconnected. Input that arrives meanwhile is buffered; `pipelined_at` is set to the arrival of its
/// first byte, from which the next request's deadline counts.
async fn until_disconnected(
    context: &ProxyContext,
    stream: &Async<TcpStream>,
    input: &mut Ring,
    pipelined_at: &Cell<Option<Millis>>,
) {
    if !input.is_empty() {
        pipelined_at.set(Some(context.clock.now()));
    }
    while input.room() > 0 {
        match read_available(stream, input).await {
            Ok(count) if count > 0 => {
                let first_byte_at = pipelined_at.get().or(Some(context.clock.now()));
                pipelined_at.set(first_byte_at);
            }
            _ => return,
        }
    }
    while !has_left(stream) {
        Timer::after(DISCONNECT_POLL_INTERVAL).await;
    }
}
