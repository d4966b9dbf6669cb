//! Ends attempts and the exchange: decides whether a connection is reused, whether the request is retried, and the final
//! response.
use super::messages::{
    indicates_not_executed, Action, AttemptId, FinalResponse, HeadSummary, MAX_CONCURRENT_ATTEMPTS,
};
use super::{Exchange, Phase};
use crate::placement::balancer::SendOutcome;
use sandtrack_invariants::{check, Invariant};
use sandtrack_protocol::codes::{self, Code};

impl Exchange {
    /// Ends an attempt without a usable response; the request is retried where allowed.
    pub(super) fn fail(&mut self, id: AttemptId, outcome: SendOutcome, actions: &mut Vec<Action>) {
        self.close(id, outcome, actions);
        self.on_attempt_failed(actions);
    }

    pub(super) fn close(&mut self, id: AttemptId, outcome: SendOutcome, actions: &mut Vec<Action>) {
        if let Some(attempt) = self.attempts[id].take() {
            self.may_have_executed |= attempt.may_have_executed();
            actions.push(Action::CloseConnection(id, outcome));
        }
    }

    /// Ends an attempt whose response was read to its end; its connection is reused where possible.
    pub(super) fn end_attempt(
        &mut self,
        id: AttemptId,
        head: HeadSummary,
        trailing_bytes: bool,
        outcome: SendOutcome,
        actions: &mut Vec<Action>,
    ) {
        // Bytes after a complete response belong to no request.
        if trailing_bytes || !head.keep_alive {
            return self.close(id, outcome, actions);
        }
        if let Some(attempt) = self.attempts[id].take() {
            self.may_have_executed |= attempt.may_have_executed();
            actions.push(Action::ReleaseConnection(id, outcome));
        }
    }

    /// Abandons the other attempt, if one is in flight.
    pub(super) fn abandon_other(&mut self, id: AttemptId, actions: &mut Vec<Action>) {
        self.abandon(1 - id, actions);
    }

    fn abandon(&mut self, id: AttemptId, actions: &mut Vec<Action>) {
        if let Some(attempt) = self.attempts[id].take() {
            self.may_have_executed |= attempt.may_have_executed();
            actions.push(Action::Abandon(id));
        }
    }

    fn abandon_all(&mut self, actions: &mut Vec<Action>) {
        for id in 0..MAX_CONCURRENT_ATTEMPTS {
            self.abandon(id, actions);
        }
    }

    /// After a failed attempt, the other one in flight continues, or the request is retried where allowed.
    pub(super) fn on_attempt_failed(&mut self, actions: &mut Vec<Action>) {
        if self.attempts.iter().any(Option::is_some) {
            if matches!(self.phase, Phase::Relaying(id) if self.attempts[id].is_none()) {
                self.phase = Phase::AwaitingResponse;
            }
            return;
        }
        self.phase = Phase::SelectingUpstream;
        self.hedged = false;
        if !self.is_resumable() {
            self.finish(FinalResponse::Aborted, actions);
        } else if !self.may_retry() {
            self.give_up(self.no_further_attempt_code(), actions);
        }
    }

    /// Finishes the exchange without a further attempt: with the kept upstream failure if there is one, else with a response
    /// of this proxy with `code`.
    pub(super) fn give_up(&mut self, code: Code, actions: &mut Vec<Action>) {
        self.abandon_all(actions);
        let response = match self.kept_failure {
            // A truncated stream must not look complete.
            _ if self.stream_started => FinalResponse::Aborted,
            // Its status would say that the request was not executed. With another status it is no longer the upstream's
            // response and must not have its seal.
            Some(status) if indicates_not_executed(status) => {
                self.local_response(codes::UPSTREAM_FAILED)
            }
            Some(_) => FinalResponse::UpstreamFailure,
            None => self.local_response(code),
        };
        self.finish(response, actions);
    }

    fn local_response(&self, code: Code) -> FinalResponse {
        let status = match code {
            codes::DEADLINE if self.may_have_executed => 504,
            _ if self.may_have_executed => 502,
            _ => 503,
        };
        FinalResponse::Local {
            status,
            code,
            retryable: indicates_not_executed(status),
        }
    }

    pub(super) fn finish(&mut self, response: FinalResponse, actions: &mut Vec<Action>) {
        self.abandon_all(actions);
        check(
            Invariant::OneFinalAnswer,
            self.phase != Phase::Finished,
            || format!("{response:?} by {self:?}"),
        );
        let is_retryable = matches!(
            response,
            FinalResponse::Local {
                retryable: true,
                ..
            }
        );
        check(
            Invariant::PromiseIsTrue,
            !is_retryable || !self.may_have_executed,
            || format!("{response:?} by {self:?}"),
        );
        self.phase = Phase::Finished;
        actions.push(Action::Finish(response));
    }
}
