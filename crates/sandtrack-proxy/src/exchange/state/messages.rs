//! Inputs and actions of an exchange: plain data types. No I/O.
use crate::placement::balancer::SendOutcome;
use crate::upstream_connections::response_error::ResponseError;
use sandtrack_net::http::BodyDelimiter;
use sandtrack_protocol::codes::Code;

/// Index of an attempt in flight; less than [`MAX_CONCURRENT_ATTEMPTS`].
pub type AttemptId = usize;

/// Maximum number of attempts in flight for one exchange: the original one and its hedge.
pub const MAX_CONCURRENT_ATTEMPTS: usize = 2;

/// Properties of a request that its route determines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ExchangeParams {
    /// Whether the request may be executed more than once: a `read_only` one, or a resumable stream.
    pub idempotent: bool,
    /// Whether the response is a stream of events.
    pub streaming: bool,
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Whether the client resumes a stream (`Last-Event-Id`), of which it may have the last event already.
    pub client_resumes: bool,
}

impl ExchangeParams {
    /// Whether a response with this status is relayed as it arrives; any other is collected first.
    #[must_use]
    pub fn relays(&self, status: u16) -> bool {
        self.streaming && status == 200
    }
}

/// Which request a response belongs to, by its `Request-Id`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseOwner {
    /// The request that was sent.
    ThisRequest,
    /// Another request.
    OtherRequest,
    /// The response has no `Request-Id`.
    Unidentified,
}

/// What a response's body is, by its `Content-Type`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MediaType {
    /// A stream of events (`text/event-stream`).
    EventStream,
    /// Something else.
    Other,
    /// The response has no `Content-Type`.
    Unspecified,
}

/// The parts of a response's head that the exchange depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeadSummary {
    /// Which request it belongs to.
    pub owner: ResponseOwner,
    /// The status code.
    pub status: u16,
    /// Whether it has the header `Not-Executed`.
    pub not_executed: bool,
    /// Whether it has the header `Server-Seal`.
    pub sealed: bool,
    /// Whether the upstream keeps the connection open after the response.
    pub keep_alive: bool,
    /// What ends the body.
    pub delimiter: BodyDelimiter,
    /// What the body is.
    pub media_type: MediaType,
}

impl HeadSummary {
    /// Whether the upstream states that the request was not and will not be executed (421: RFC 9110, 15.5.20).
    #[must_use]
    pub fn was_not_executed(&self) -> bool {
        self.not_executed || self.status == 421
    }

    /// Whether the status is a 2xx.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether the status is an upstream failure: a 5xx, 408 or 429.
    pub(super) fn is_failure(&self) -> bool {
        self.status >= 500 || matches!(self.status, 408 | 429)
    }
}

/// An event of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEvent {
    /// A connection is available.
    Connected {
        /// Whether it carried a response before.
        reused: bool,
    },
    /// No connection could be established.
    ConnectFailed {
        /// Whether the limit of connections from this process to the upstream was reached.
        connection_limit_reached: bool,
    },
    /// The complete request was written.
    RequestWritten,
    /// The connection failed while the request was being written.
    WriteFailed,
    /// The response's head was received.
    Head(HeadSummary),
    /// A chunk of a relayed body was received.
    BodyChunk(Vec<u8>),
    /// The body is complete.
    BodyEnd {
        /// Whether more bytes followed it.
        trailing_bytes: bool,
    },
    /// The response could not be read to its end.
    ResponseFailed(ResponseError),
    /// The request's deadline passed.
    DeadlineExceeded,
}

/// An input of an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// An upstream with capacity was selected. Where
    /// [`Exchange::needs_retry_budget`](super::Exchange::needs_retry_budget), the attempt was taken from the retry budget.
    UpstreamSelected(usize),
    /// No upstream had capacity within the time that the request may wait.
    NoCapacity,
    /// An upstream was found, but the retry budget allows no further attempt.
    RetryBudgetExhausted,
    /// The request's deadline passed before another attempt.
    DeadlineExceeded,
    /// An upstream with capacity was selected to hedge the silent attempt, which was taken from the retry budget.
    HedgeUpstreamSelected(usize),
    /// An event of the attempt in flight with this id.
    Attempt(AttemptId, AttemptEvent),
    /// The client closed its connection or does not read.
    ClientDisconnected,
}

/// The final response of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// The collected response of this attempt, unchanged.
    Complete(AttemptId),
    /// The response kept by [`Action::KeepFailure`], unchanged.
    UpstreamFailure,
    /// A response generated by this proxy.
    Local {
        /// The status code.
        status: u16,
        /// The error code in the body.
        code: Code,
        /// Whether the response has `Retry-After`, as the request was not executed.
        retryable: bool,
    },
    /// The relayed stream is complete.
    StreamCompleted,
    /// The connection is closed, so that the truncated stream does not look complete.
    Aborted,
}

/// An action to perform for an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt at an upstream.
    Start {
        /// The new attempt.
        id: AttemptId,
        /// Index of the upstream.
        upstream: usize,
        /// Whether an idle pooled connection may be used.
        may_reuse_connection: bool,
        /// Resume the stream after the event with this id (`Last-Event-Id`).
        resume_after: Option<u64>,
    },
    /// Apply the load report in the attempt's response head, which belongs to this request.
    ApplyLoadReport(AttemptId),
    /// Record the time to the first part of the response.
    RecordLatency(AttemptId),
    /// Write part of a stream to the client.
    Relay {
        /// The attempt whose stream is relayed.
        id: AttemptId,
        /// Write the head of that attempt's response first.
        with_head: bool,
        /// Complete events.
        bytes: Vec<u8>,
        /// Whether the stream ends with these events.
        is_last: bool,
    },
    /// Keep the response of the attempt that ended last, an upstream failure, in case no better one follows.
    KeepFailure(AttemptId),
    /// End the attempt and return its connection to the pool.
    ReleaseConnection(AttemptId, SendOutcome),
    /// End the attempt and close its connection.
    CloseConnection(AttemptId, SendOutcome),
    /// Abandon the attempt, as another one is used or the exchange is finished, and close its connection.
    Abandon(AttemptId),
    /// Send the client its final response.
    Finish(FinalResponse),
}

/// Whether clients take this status to mean that the request was not and will not be executed.
#[must_use]
pub fn indicates_not_executed(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
