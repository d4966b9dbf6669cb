//! The state machine of one exchange. It decides to which upstreams the request is sent, what is relayed to the client, which
//! final response the client gets, and which connections are reused. It does no I/O: events arrive as [`Input`], and the
//! resulting steps are returned as [`Action`]. Sockets, clocks and the selection of upstreams are in
//! [`forward`](crate::exchange::forward) and [`attempt`](crate::exchange::attempt).
//!
//! At most two attempts are in flight: the original one, and one that hedges it while it is silent.
//! `docs/system/exchange.md` names the test that fails without each guard here.
mod attempt_events;
mod attempt_state;
mod finish;
mod messages;

use crate::exchange::event_stream::EventScanner;
use attempt_state::{AttemptStage, AttemptState};
pub use messages::{
    indicates_not_executed, Action, AttemptEvent, AttemptId, ExchangeParams, FinalResponse,
    HeadSummary, Input, MediaType, ResponseOwner, MAX_CONCURRENT_ATTEMPTS,
};
use sandtrack_invariants::{check, Invariant};
use sandtrack_protocol::codes::{self, Code};

/// The phase of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No attempt is in flight; an upstream is to be selected.
    SelectingUpstream,
    /// At least one attempt is in flight, and no stream is being relayed.
    AwaitingResponse,
    /// The stream of this attempt is being relayed.
    Relaying(AttemptId),
    /// The final response was decided; further inputs are ignored.
    Finished,
}

/// The attempt that is watched for silence; one that is silent for too long may be hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WatchedAttempt {
    /// Which attempt it is.
    pub id: AttemptId,
    /// Index of the upstream.
    pub upstream: usize,
}

/// The state of one request from its arrival to its final response.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Exchange {
    params: ExchangeParams,
    phase: Phase,
    attempts: [Option<AttemptState>; MAX_CONCURRENT_ATTEMPTS],
    /// Number of attempts so far, without those whose connection could not be established.
    attempts_started: u32,
    may_have_executed: bool,
    /// Whether a silent attempt was hedged since the last [`Phase::SelectingUpstream`].
    hedged: bool,
    /// Whether part of a stream was relayed to the client.
    stream_started: bool,
    scanner: EventScanner,
    /// Status of the upstream's error response that was kept.
    kept_failure: Option<u16>,
}

impl Exchange {
    /// Creates an exchange without attempts.
    #[must_use]
    pub fn new(params: ExchangeParams) -> Exchange {
        Exchange {
            params,
            phase: Phase::SelectingUpstream,
            attempts: [None; MAX_CONCURRENT_ATTEMPTS],
            attempts_started: 0,
            may_have_executed: false,
            hedged: false,
            stream_started: false,
            scanner: EventScanner::new(!params.client_resumes),
            kept_failure: None,
        }
    }

    /// The current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the next attempt counts against the retry budget.
    #[must_use]
    pub fn needs_retry_budget(&self) -> bool {
        self.attempts_started > 0
    }

    /// Whether the request may be rejected before its deadline if no upstream has capacity. One that may have been executed
    /// already waits until its deadline.
    #[must_use]
    pub fn may_reject_early(&self) -> bool {
        !self.stream_started && !self.may_have_executed
    }

    /// The attempt that is watched for silence.
    #[must_use]
    pub fn watched_attempt(&self) -> Option<WatchedAttempt> {
        let id = match self.phase {
            Phase::AwaitingResponse if !self.hedged => {
                self.attempts.iter().position(Option::is_some)?
            }
            Phase::Relaying(id) if self.attempts[1 - id].is_none() => id,
            _ => return None,
        };
        self.attempts[id].map(|attempt| WatchedAttempt {
            id,
            upstream: attempt.upstream,
        })
    }

    /// Whether the watched attempt may be hedged by an attempt at another upstream.
    #[must_use]
    pub fn may_hedge(&self) -> bool {
        self.watched_attempt().is_some()
            && self.params.idempotent
            && self.attempts_started < self.params.max_attempts
            && self.is_resumable()
    }

    /// Handles an input; returns the actions to perform, in order.
    pub fn handle(&mut self, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match (self.phase, input) {
            (Phase::Finished, _) => {}
            // A further attempt is allowed here: otherwise the exchange was finished when the last one ended.
            (Phase::SelectingUpstream, Input::UpstreamSelected(upstream)) => {
                self.start_attempt(upstream, &mut actions);
                self.phase = Phase::AwaitingResponse;
            }
            (Phase::SelectingUpstream, Input::NoCapacity) => {
                self.give_up(codes::NO_ROOM, &mut actions);
            }
            (Phase::SelectingUpstream, Input::RetryBudgetExhausted) => {
                self.give_up(self.no_further_attempt_code(), &mut actions);
            }
            (Phase::SelectingUpstream, Input::DeadlineExceeded) => {
                self.give_up(codes::DEADLINE, &mut actions);
            }
            (_, Input::HedgeUpstreamSelected(upstream)) if self.may_hedge() => {
                self.hedged = true;
                self.start_attempt(upstream, &mut actions);
            }
            (_, Input::Attempt(id, event)) => self.on_attempt_event(id, event, &mut actions),
            (_, Input::ClientDisconnected) => self.finish(FinalResponse::Aborted, &mut actions),
            // Outdated: the phase changed in the meantime.
            (
                _,
                Input::UpstreamSelected(_)
                | Input::HedgeUpstreamSelected(_)
                | Input::NoCapacity
                | Input::RetryBudgetExhausted
                | Input::DeadlineExceeded,
            ) => {}
        }
        actions
    }

    /// Error code of a response when no further attempt is made.
    fn no_further_attempt_code(&self) -> Code {
        if self.may_have_executed {
            codes::UPSTREAM_FAILED
        } else {
            codes::NO_ROOM
        }
    }

    /// Whether the route's limit of attempts and the request's idempotency allow one more.
    fn may_retry(&self) -> bool {
        let below_limit =
            self.attempts_started < self.params.max_attempts || self.attempts_started == 0;
        let may_execute = !self.may_have_executed || self.params.idempotent;
        below_limit && may_execute
    }

    /// Whether another upstream can continue after the part of the stream that the client has received.
    fn is_resumable(&self) -> bool {
        !self.stream_started || self.scanner.resume_point().is_some()
    }

    fn start_attempt(&mut self, upstream: usize, actions: &mut Vec<Action>) {
        let Some(id) = self.attempts.iter().position(Option::is_none) else {
            return;
        };
        let is_first = !self.may_have_executed && self.attempts.iter().all(Option::is_none);
        check(
            Invariant::RunsOnce,
            self.params.idempotent || is_first,
            || format!("{self:?}"),
        );
        self.attempts[id] = Some(AttemptState {
            upstream,
            reused_connection: false,
            stage: AttemptStage::Connecting,
        });
        self.attempts_started += 1;
        check(
            Invariant::AttemptsBounded,
            self.attempts_started <= self.params.max_attempts.max(1),
            || format!("{self:?}"),
        );
        let resume_after = if self.stream_started {
            self.scanner.resume_point()
        } else {
            None
        };
        // An upstream may close an idle connection while the request is being written, and it is then unknown whether the request
        // was executed.
        actions.push(Action::Start {
            id,
            upstream,
            may_reuse_connection: self.params.idempotent,
            resume_after,
        });
    }
}
