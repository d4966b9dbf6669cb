//! Inputs and actions of an exchange: plain data, and what follows from it alone. Pure.
use crate::placement::balancer::SendOutcome;
use crate::upstream_connections::response_error::ResponseError;
use sandtrack_protocol::codes::Code;

/// Which of the attempts in flight; below [`MAX_CONCURRENT_ATTEMPTS`].
pub type AttemptId = usize;

/// Attempts of one exchange that may be in flight at once: one, and one that hedges it.
pub const MAX_CONCURRENT_ATTEMPTS: usize = 2;

/// What a route says of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ExchangeParams {
    /// The request may be executed more than once: a `read_only` one, or a stream that may be resumed.
    pub idempotent: bool,
    /// The response is a stream of events.
    pub streaming: bool,
    /// Upstreams that the request may be sent to.
    pub max_attempts: u32,
}

impl ExchangeParams {
    /// Whether a response with this status is relayed as it comes; any other is collected first.
    #[must_use]
    pub fn relays(&self, status: u16) -> bool {
        self.streaming && status == 200
    }
}

/// Which request a response belongs to, by its `Request-Id`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseOwner {
    /// The one that was sent.
    ThisRequest,
    /// Another one.
    OtherRequest,
    /// The response has no `Request-Id`.
    Unidentified,
}

/// What counts of a response's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeadSummary {
    /// Which request it belongs to.
    pub owner: ResponseOwner,
    /// The status code.
    pub status: u16,
    /// It bears `Not-Executed`.
    pub not_executed: bool,
    /// It bears `Server-Seal`.
    pub sealed: bool,
    /// The upstream keeps the connection open for a while.
    pub keep_alive: bool,
}

impl HeadSummary {
    /// Whether the upstream says that the request was not executed and won't be (421: RFC 9110, 15.5.20).
    #[must_use]
    pub fn was_not_executed(&self) -> bool {
        self.not_executed || self.status == 421
    }

    /// Whether the status is a 2xx.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether the upstream says that it failed.
    pub(super) fn is_failure(&self) -> bool {
        self.status >= 500 || matches!(self.status, 408 | 429)
    }
}

/// What happened to an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEvent {
    /// A connection is established.
    Connected {
        /// It carried a response before.
        reused: bool,
    },
    /// No connection could be established.
    ConnectFailed {
        /// This process may hold no more connections to the upstream.
        connection_limit_reached: bool,
    },
    /// All of the request was written.
    RequestWritten,
    /// The connection broke while the request was written.
    WriteFailed,
    /// The response's head came.
    Head(HeadSummary),
    /// A chunk of a relayed body came.
    BodyChunk(Vec<u8>),
    /// The body is complete.
    BodyEnd {
        /// More bytes came behind it.
        trailing_bytes: bool,
    },
    /// The response could not be read whole.
    ResponseFailed(ResponseError),
    /// The request's deadline passed.
    DeadlineExceeded,
}

/// What happened to an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// An upstream with capacity was found, and the retry budget has one more attempt where
    /// [`Exchange::needs_retry_budget`](super::Exchange::needs_retry_budget).
    UpstreamSelected(usize),
    /// No upstream had capacity for as long as the request may wait.
    NoCapacity,
    /// An upstream was found, but the retry budget has no further attempt.
    RetryBudgetExhausted,
    /// The request's deadline passed before another attempt.
    DeadlineExceeded,
    /// The silent attempt may be hedged at this upstream: it has capacity, and the retry budget has one more attempt.
    HedgeUpstreamSelected(usize),
    /// An event of an attempt in flight.
    Attempt(AttemptId, AttemptEvent),
    /// The client closed its connection, or does not read.
    ClientDisconnected,
}

/// The one final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// The collected response of this attempt, unchanged.
    Complete(AttemptId),
    /// The failure that was kept by [`Action::KeepFailure`], unchanged.
    UpstreamFailure,
    /// A response of this process's own.
    Local {
        /// The status code.
        status: u16,
        /// The numbered code in the body.
        code: Code,
        /// The request was not executed: the response says when to retry.
        retryable: bool,
    },
    /// The relayed stream is complete.
    StreamCompleted,
    /// The connection is closed: what the client has must not look complete.
    Aborted,
}

/// What is to be done for an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to an upstream.
    Start {
        /// The new attempt.
        id: AttemptId,
        /// Index of the upstream.
        upstream: usize,
        /// An idle connection will do.
        may_reuse_connection: bool,
        /// Ask for the stream behind the event with this id (`Last-Event-Id`).
        resume_after: Option<u64>,
    },
    /// The head belongs to this request: the load that it reports of its upstream holds.
    ApplyLoadReport(AttemptId),
    /// Record the time to the first part of the response.
    RecordLatency(AttemptId),
    /// Write part of a stream to the client.
    Relay {
        /// The attempt whose stream it is.
        id: AttemptId,
        /// Write the head of that attempt's response first.
        with_head: bool,
        /// Complete events.
        bytes: Vec<u8>,
        /// The stream is complete with them.
        is_last: bool,
    },
    /// The response of the attempt that ended last says that its upstream failed: keep it in case no better one comes.
    KeepFailure(AttemptId),
    /// The attempt ended; its connection may serve the next request.
    ReleaseConnection(AttemptId, SendOutcome),
    /// The attempt ended; close its connection.
    CloseConnection(AttemptId, SendOutcome),
    /// Abandon the attempt in favour of another, or with the whole exchange; close its connection.
    Abandon(AttemptId),
    /// Give the client its final response.
    Finish(FinalResponse),
}

/// Whether the status tells a client that its request was not executed and never will be.
#[must_use]
pub fn promises_not_executed(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
