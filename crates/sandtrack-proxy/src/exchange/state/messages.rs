//! What an exchange is told and what it asks for: plain data, and what is read off it alone. Pure.
use crate::placement::balancer::Ended;
use crate::upstream_connections::response_error::ResponseError;
use sandtrack_protocol::codes::Code;

/// Which of the two sends that may be under way.
pub type SendId = usize;

/// Sends that may be under way at once.
pub const SENDS: usize = 2;

/// What a route says of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// It may run more than once: `read_only`, or a stream that may be resumed.
    pub idempotent: bool,
    /// Its answer is a stream of events.
    pub streaming: bool,
    /// Upstreams that one try may be sent to.
    pub attempts: u32,
}

impl Terms {
    /// An answer with this status is relayed piece by piece; any other is collected first.
    pub fn relays(&self, status: u16) -> bool {
        self.streaming && status == 200
    }
}

/// Whose answer a head says that it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AnswerId {
    Own,
    Other,
    Missing,
}

/// What counts of an answer's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeadFacts {
    pub id: AnswerId,
    pub status: u16,
    /// It bears `Not-Executed`.
    pub not_executed: bool,
    /// It bears `Server-Seal`.
    pub sealed: bool,
    /// Its upstream keeps the connection open for a while.
    pub keeps_open: bool,
}

impl HeadFacts {
    /// The upstream says that the request has not run and will not.
    pub fn not_run(&self) -> bool {
        self.not_executed || self.status == 421
    }

    /// Whether the status is a 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// The upstream says that it failed.
    pub(super) fn is_failure(&self) -> bool {
        self.status >= 500 || matches!(self.status, 408 | 429)
    }
}

/// What happened to a send.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SendEvent {
    /// There is a connection; `reused`: it carried an answer before.
    Connected {
        reused: bool,
    },
    /// None came up; `share_full`: this proxy may hold no more to that upstream.
    NoConnection {
        share_full: bool,
    },
    /// The whole request was written.
    Written,
    /// The connection broke while it was written.
    WriteFailed,
    Head(HeadFacts),
    /// A piece of a relayed body.
    Data(Vec<u8>),
    /// The body is whole; `surplus`: more came behind it.
    End {
        surplus: bool,
    },
    Broke(ResponseError),
    /// The request's time is over.
    TimeOver,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// An upstream with room was found (and the budget has one more send, where [`Exchange::needs_budget`]).
    Placed(usize),
    /// No upstream had room for as long as the request may wait.
    NoRoom,
    /// An upstream was found, but the budget has no further send.
    NoBudget,
    /// The request's time was over before it was sent anywhere else.
    TimeOver,
    /// The silent send may be raced at this upstream: it has room and the budget has one more send.
    Spare(usize),
    Send(SendId, SendEvent),
    /// The client left, or takes nothing.
    ClientGone,
}

/// The one final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// The collected answer of this send, as it is.
    Whole(SendId),
    /// The answer that was kept by [`Action::KeepFailure`], as it is.
    KeptFailure,
    /// One of this process's own; a promise says when to come back.
    Own {
        status: u16,
        why: Code,
        promise: bool,
    },
    /// The relayed stream is complete.
    StreamEnded,
    /// The connection is closed: what the client has is not to look complete.
    Cut,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send it to this upstream. `reuse`: an idle connection will do. `resume`: go on behind this event.
    Start {
        send: SendId,
        place: usize,
        reuse: bool,
        resume: Option<u64>,
    },
    /// The head is an answer to this request: what it says of its upstream's load holds.
    Heed(SendId),
    /// How long its first part took is noted.
    NotePace(SendId),
    /// Relay bytes; `begins`: behind the head of this send's answer; `ends`: the stream is complete with them.
    Relay {
        send: SendId,
        begins: bool,
        bytes: Vec<u8>,
        ends: bool,
    },
    /// The answer of the send that was just over says that its upstream failed; kept in case that no better one comes.
    KeepFailure(SendId),
    /// The send is over; its connection may serve the next request.
    Pool(SendId, Ended),
    /// The send is over; its connection is closed.
    Close(SendId, Ended),
    /// The send is given up in favour of another, or with the whole exchange; its connection is closed.
    Abandon(SendId),
    Finish(Final),
}

/// A status that promises a client that its request has not run and never will.
pub fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
