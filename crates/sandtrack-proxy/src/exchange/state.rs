//! The state machine of one exchange: which upstreams a request is sent to, what of their responses its client gets, which
//! final response it gets, and which connections are kept. Pure: what happened comes in as [`Input`], what is to be done
//! goes out as [`Action`]; sockets, clocks and the selection of upstreams are in [`forward`](crate::exchange::forward) and
//! [`attempt`](crate::exchange::attempt).
//!
//! At most two attempts are in flight: the one that the request was placed with, and one that hedges it while it is silent.
//! `docs/system/exchange.md` names the test that fails without each guard here.
mod attempt_events;
mod attempt_state;
mod finish;
mod messages;

use crate::exchange::event_stream::EventScanner;
use attempt_state::{AttemptStage, AttemptState};
pub use messages::{
    promises_not_executed, Action, AttemptEvent, AttemptId, ExchangeParams, FinalResponse,
    HeadSummary, Input, ResponseOwner, MAX_CONCURRENT_ATTEMPTS,
};
use sandtrack_invariants::{check, Invariant};
use sandtrack_protocol::codes::{self, Code};

/// Where an exchange stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No attempt is in flight; the request waits for an upstream.
    SelectingUpstream,
    /// The request was sent, and no response in flight is relayed.
    AwaitingResponse,
    /// The stream of this attempt is relayed.
    Relaying(AttemptId),
    /// The client got its final response.
    Finished,
}

/// The attempt whose silence counts: one that is silent for too long may be hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WatchedAttempt {
    /// Which attempt it is.
    pub id: AttemptId,
    /// Index of its upstream.
    pub upstream: usize,
}

/// One request from its arrival to its final response.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Exchange {
    params: ExchangeParams,
    phase: Phase,
    attempts: [Option<AttemptState>; MAX_CONCURRENT_ATTEMPTS],
    /// Attempts so far, without those whose connection was never established.
    attempts_started: u32,
    may_have_executed: bool,
    /// A silent attempt was hedged since an upstream was selected last.
    hedged: bool,
    /// Part of a stream was relayed to the client.
    stream_started: bool,
    scanner: EventScanner,
    /// Status of the upstream's failure that is kept.
    kept_failure: Option<u16>,
}

impl Exchange {
    /// An exchange without attempts.
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
            scanner: EventScanner::default(),
            kept_failure: None,
        }
    }

    /// Where the exchange stands.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether one more attempt counts against the retry budget.
    #[must_use]
    pub fn needs_retry_budget(&self) -> bool {
        self.attempts_started > 0
    }

    /// Whether the request is rejected early where no upstream has capacity. One that was executed in part and may be
    /// executed again waits until its deadline.
    #[must_use]
    pub fn may_reject_early(&self) -> bool {
        !self.stream_started && !self.may_have_executed
    }

    /// The attempt whose silence counts.
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

    /// Whether the watched attempt may be hedged by one at another upstream.
    #[must_use]
    pub fn may_hedge(&self) -> bool {
        self.watched_attempt().is_some()
            && self.params.idempotent
            && self.attempts_started < self.params.max_attempts
            && self.is_resumable()
    }

    /// Takes what happened; returns what is to be done, in order.
    pub fn handle(&mut self, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match (self.phase, input) {
            (Phase::Finished, _) => {}
            // Where no further attempt is allowed, the exchange was finished when the last one ended.
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
            // Too late: the exchange has gone on meanwhile.
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

    /// The code of a response without a further attempt.
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

    /// Whether another upstream can continue behind what the client has of a stream.
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
        // An upstream may close an idle connection while the request is being written.
        actions.push(Action::Start {
            id,
            upstream,
            may_reuse_connection: self.params.idempotent,
            resume_after,
        });
    }
}
