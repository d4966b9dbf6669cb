//! Reads one request from a client connection, within the operator's limits.
use super::limits::ClientLimits;
use crate::context::ProxyContext;
use crate::request::time_limit;
use crate::socket_read::read_available;
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_net::byte_budget::Held;
use sandtrack_net::http::{take_expectation, Bad, Parser, Part, CONTINUE};
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::write_within;
use sandtrack_protocol::codes::{self, Code};
use sandtrack_sidecar_core::message::Head;
use sandtrack_tiers::Millis;
use std::net::TcpStream;
use std::time::Duration;

/// Timeout for writing `100 Continue`.
const CONTINUE_WRITE_TIMEOUT: Duration = Duration::from_millis(100);
/// While the process is draining, an idle connection is kept this long for requests already on the way, in ms.
const DRAINING_IDLE_TIMEOUT_MS: Millis = 1500.0;
/// The body timeout is this multiple of the header timeout, or of [`MIN_BODY_BASE_TIMEOUT_MS`] if that is longer, but at most the
/// request's time limit.
const BODY_TIMEOUT_FACTOR: f64 = 4.0;
/// Lower bound of the header timeout as the base of the body timeout, in ms.
const MIN_BODY_BASE_TIMEOUT_MS: Millis = 5_000.0;

/// A complete request.
pub(super) struct ReceivedRequest {
    pub(super) head: Head,
    pub(super) body: Vec<u8>,
    /// The body's share of the process's memory budget, released on drop.
    #[expect(dead_code, reason = "held for its Drop")]
    pub(super) reservation: Held,
    /// When its first byte arrived.
    pub(super) arrived_at: Millis,
}

/// A request that is rejected before it is forwarded.
pub(super) struct RejectedRequest {
    pub(super) status: u16,
    pub(super) code: Code,
    /// Empty if unknown.
    pub(super) request_id: String,
}

/// Why no request could be read.
pub(super) enum ReadError {
    /// The request is not acceptable, or was not received in time.
    Rejected(RejectedRequest),
    /// The connection was closed.
    Closed,
}

/// A request whose head was received.
struct PartialRequest {
    head: Head,
    /// When its first byte arrived.
    arrived_at: Millis,
    /// When it must be complete; infinite until computed.
    deadline: Millis,
}

/// Reads the next request. `pipelined_at`: when its first bytes arrived, if that was before this call. The limits in force when
/// its head arrives apply, also on a connection that was idle when they changed.
pub(super) async fn read_request(
    context: &ProxyContext,
    stream: &Async<TcpStream>,
    parser: &mut Parser,
    input: &mut Ring,
    pipelined_at: Option<Millis>,
) -> Result<ReceivedRequest, ReadError> {
    let mut reader = RequestReader {
        context,
        stream,
        limits: ClientLimits::current(context),
        started_at: context.clock.now(),
        first_byte_at: pipelined_at,
        partial: None,
        body: Vec::new(),
        reservation: context.memory.requests.message(),
    };
    loop {
        if reader.partial.is_none() {
            reader.limits = ClientLimits::current(context);
            parser.set_head_max(reader.limits.max_head_bytes);
            input.set_bound(reader.limits.input_buffer_bytes());
        }
        match parser.next(input) {
            Ok(Some(Part::Head(head))) => reader.on_head(head).await?,
            Ok(Some(Part::Data(data))) => reader.on_data(&data)?,
            Ok(Some(Part::End)) => return reader.finish(),
            Ok(None) => reader.read_more(parser.within(input), input).await?,
            Err(bad) => return Err(reject_malformed(bad)),
        }
    }
}

/// A request that is being read.
struct RequestReader<'a> {
    context: &'a ProxyContext,
    stream: &'a Async<TcpStream>,
    limits: ClientLimits,
    started_at: Millis,
    first_byte_at: Option<Millis>,
    partial: Option<PartialRequest>,
    body: Vec<u8>,
    reservation: Held,
}

impl RequestReader<'_> {
    async fn on_head(&mut self, mut head: Head) -> Result<(), ReadError> {
        let announced =
            content_length(&head).filter(|length| *length <= self.limits.max_body_bytes);
        if !announced.is_none_or(|length| self.reservation.grow_to(length)) {
            return Err(rejected(503, codes::NO_MEMORY, request_id(&head)));
        }
        self.body.reserve_exact(announced.unwrap_or(0));
        if take_expectation(&mut head) {
            let mut output = Ring::new(CONTINUE.len());
            if !output.push(CONTINUE)
                || !write_within(self.stream, &mut output, CONTINUE_WRITE_TIMEOUT).await
            {
                return Err(ReadError::Closed);
            }
        }
        let arrived_at = self
            .first_byte_at
            .unwrap_or_else(|| self.context.clock.now());
        self.partial = Some(PartialRequest {
            head,
            arrived_at,
            deadline: f64::INFINITY,
        });
        Ok(())
    }

    fn on_data(&mut self, data: &[u8]) -> Result<(), ReadError> {
        if self.body.len() + data.len() > self.limits.max_body_bytes {
            return Err(rejected(413, codes::TOO_LARGE, String::new()));
        }
        if !self.reservation.extend(&mut self.body, data) {
            return Err(rejected(503, codes::NO_MEMORY, self.known_id()));
        }
        Ok(())
    }

    fn finish(self) -> Result<ReceivedRequest, ReadError> {
        let Some(partial) = self.partial else {
            return Err(rejected(400, codes::MALFORMED, String::new()));
        };
        Ok(ReceivedRequest {
            head: partial.head,
            body: self.body,
            reservation: self.reservation,
            arrived_at: partial.arrived_at,
        })
    }

    /// Waits for more bytes. `is_within`: whether part of a request has been received.
    async fn read_more(&mut self, is_within: bool, input: &mut Ring) -> Result<(), ReadError> {
        let clock = self.context.clock;
        if is_within && self.first_byte_at.is_none() {
            self.first_byte_at = Some(clock.now());
        }
        let deadline = self.deadline();
        let read = async { Some(read_available(self.stream, input).await) };
        let timer = async {
            self.until_timeout(is_within, deadline).await;
            None
        };
        match future::or(read, timer).await {
            Some(Ok(count)) if count > 0 => Ok(()),
            Some(_) => Err(ReadError::Closed),
            None if is_within => Err(rejected(408, codes::DEADLINE, self.known_id())),
            // The idle timeout may have been raised in the meantime.
            None if clock.now()
                < self.started_at + ClientLimits::current(self.context).idle_timeout
                && !self.context.balancer.borrow().draining =>
            {
                Ok(())
            }
            None => Err(ReadError::Closed),
        }
    }

    /// When the next part (the first byte, the head or the body) must have been received.
    fn deadline(&mut self) -> Millis {
        let header_timeout = self.limits.header_timeout;
        match (self.first_byte_at, &mut self.partial) {
            (None, None) => self.started_at + self.limits.idle_timeout,
            (Some(at), None) => at.max(self.started_at) + header_timeout,
            (_, Some(partial)) => {
                if partial.deadline.is_infinite() {
                    partial.deadline = body_deadline(
                        self.context,
                        &partial.head,
                        partial.arrived_at,
                        header_timeout,
                    );
                }
                partial.deadline
            }
        }
    }

    /// Returns at the deadline; on an idle connection at most [`DRAINING_IDLE_TIMEOUT_MS`] after the process started to drain.
    async fn until_timeout(&self, is_within: bool, deadline: Millis) {
        let clock = self.context.clock;
        let timer = async {
            Timer::at(clock.at(deadline)).await;
        };
        if is_within {
            return timer.await;
        }
        let draining = async {
            let _ = self.context.draining.recv().await;
            Timer::after(Duration::from_secs_f64(DRAINING_IDLE_TIMEOUT_MS / 1000.0)).await;
        };
        future::or(draining, timer).await;
    }

    /// The request's id; empty if its head has not been received.
    fn known_id(&self) -> String {
        self.partial
            .as_ref()
            .map(|partial| request_id(&partial.head))
            .unwrap_or_default()
    }
}

fn rejected(status: u16, code: Code, request_id: String) -> ReadError {
    ReadError::Rejected(RejectedRequest {
        status,
        code,
        request_id,
    })
}

fn reject_malformed(bad: Bad) -> ReadError {
    let code = if bad == Bad::Malformed {
        codes::MALFORMED
    } else {
        codes::TOO_LARGE
    };
    rejected(bad.status(), code, String::new())
}

/// When the body of a request with this head must have been received.
fn body_deadline(
    context: &ProxyContext,
    head: &Head,
    arrived_at: Millis,
    header_timeout: Millis,
) -> Millis {
    let balancer = context.balancer.borrow();
    let time_limit_ms = balancer
        .configuration
        .as_ref()
        .and_then(|configuration| time_limit(configuration, head));
    let timeout = BODY_TIMEOUT_FACTOR * header_timeout.max(MIN_BODY_BASE_TIMEOUT_MS);
    arrived_at + time_limit_ms.map_or(timeout, |limit| limit.min(timeout))
}

/// The `Request-Id` of a head; empty if it has none.
pub(super) fn request_id(head: &Head) -> String {
    head.headers
        .get("request-id")
        .unwrap_or_default()
        .to_owned()
}

/// The body length that a head declares; `None` for a chunked body.
fn content_length(head: &Head) -> Option<usize> {
    head.headers.get("content-length")?.trim().parse().ok()
}
