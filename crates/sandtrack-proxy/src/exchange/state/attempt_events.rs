//! Handles the events of an attempt: its response is collected or relayed, or the attempt fails.
use super::attempt_state::{AttemptStage, AttemptState};
use super::messages::{
    Action, AttemptEvent, AttemptId, FinalResponse, HeadSummary, MediaType, ResponseOwner,
};
use super::{Exchange, Phase};
use crate::exchange::event_stream::ScanResult;
use crate::placement::balancer::SendOutcome;
use crate::upstream_connections::response_error::ResponseError;
use sandtrack_net::http::BodyDelimiter;
use sandtrack_protocol::codes;

impl Exchange {
    pub(super) fn on_attempt_event(
        &mut self,
        id: AttemptId,
        event: AttemptEvent,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts[id] else {
            return;
        };
        match (attempt.stage, event) {
            (AttemptStage::Connecting, AttemptEvent::Connected { reused }) => {
                self.attempts[id] = Some(AttemptState {
                    reused_connection: reused,
                    stage: AttemptStage::WritingRequest,
                    ..attempt
                });
            }
            (
                AttemptStage::Connecting,
                AttemptEvent::ConnectFailed {
                    connection_limit_reached,
                },
            ) => self.on_connect_failed(id, connection_limit_reached, actions),
            (AttemptStage::WritingRequest, AttemptEvent::RequestWritten) => {
                self.advance(id, AttemptStage::AwaitingHead);
            }
            (AttemptStage::WritingRequest, AttemptEvent::WriteFailed) => {
                self.fail(id, SendOutcome::ConnectionFailed, actions);
            }
            (AttemptStage::AwaitingHead, AttemptEvent::Head(head)) => {
                self.on_head(id, head, actions);
            }
            (AttemptStage::CollectingBody(head), AttemptEvent::BodyEnd { trailing_bytes }) => {
                self.on_response_collected(id, head, trailing_bytes, actions);
            }
            (
                AttemptStage::AwaitingFirstChunk(head) | AttemptStage::RelayingBody(head),
                AttemptEvent::BodyEnd { .. },
            ) if self.is_truncated(head) => {
                self.fail(id, SendOutcome::ConnectionFailed, actions);
            }
            (AttemptStage::AwaitingFirstChunk(head), AttemptEvent::BodyChunk(bytes)) => {
                self.start_relaying(id, head, actions);
                self.relay(id, &bytes, actions);
            }
            (AttemptStage::AwaitingFirstChunk(head), AttemptEvent::BodyEnd { trailing_bytes }) => {
                self.start_relaying(id, head, actions);
                self.end_stream(id, head, trailing_bytes, actions);
            }
            (AttemptStage::RelayingBody(_), AttemptEvent::BodyChunk(bytes)) => {
                self.abandon_other(id, actions);
                self.relay(id, &bytes, actions);
            }
            (AttemptStage::RelayingBody(head), AttemptEvent::BodyEnd { trailing_bytes }) => {
                self.end_stream(id, head, trailing_bytes, actions);
            }
            (_, AttemptEvent::DeadlineExceeded) => self.on_deadline(id, attempt, actions),
            (_, AttemptEvent::ResponseFailed(error)) => {
                self.fail(id, outcome_of_error(attempt, error), actions);
            }
            // The event is not expected at this stage.
            (_, _) => self.fail(id, SendOutcome::ServerError, actions),
        }
    }

    /// No byte reached the upstream, so that the attempt does not count against the route's limit.
    fn on_connect_failed(
        &mut self,
        id: AttemptId,
        connection_limit_reached: bool,
        actions: &mut Vec<Action>,
    ) {
        self.attempts_started -= 1;
        let outcome = if connection_limit_reached {
            SendOutcome::Rejected
        } else {
            SendOutcome::ConnectionFailed
        };
        self.fail(id, outcome, actions);
    }

    fn advance(&mut self, id: AttemptId, stage: AttemptStage) {
        if let Some(attempt) = &mut self.attempts[id] {
            attempt.stage = stage;
        }
    }

    fn on_head(&mut self, id: AttemptId, head: HeadSummary, actions: &mut Vec<Action>) {
        let reused_connection = self.attempts[id].is_some_and(|attempt| attempt.reused_connection);
        let is_own = match head.owner {
            ResponseOwner::ThisRequest => true,
            ResponseOwner::OtherRequest => false,
            // An upstream that rejects a request before reading it may omit the id. On a reused connection such a response
            // could belong to an earlier request.
            ResponseOwner::Unidentified => head.was_not_executed() && !reused_connection,
        };
        if !is_own || head.is_success() && !head.sealed {
            return self.fail(id, SendOutcome::ServerError, actions);
        }
        actions.push(Action::ApplyLoadReport(id));
        let relays = self.params.relays(head.status) && !head.was_not_executed();
        self.advance(
            id,
            if relays {
                AttemptStage::AwaitingFirstChunk(head)
            } else {
                AttemptStage::CollectingBody(head)
            },
        );
    }

    /// Handles a complete response that was collected instead of relayed.
    fn on_response_collected(
        &mut self,
        id: AttemptId,
        head: HeadSummary,
        trailing_bytes: bool,
        actions: &mut Vec<Action>,
    ) {
        if head.was_not_executed() {
            self.end_attempt(id, head, trailing_bytes, SendOutcome::Rejected, actions);
            return self.on_attempt_failed(actions);
        }
        if head.is_failure() {
            self.kept_failure = Some(head.status);
            self.end_attempt(id, head, trailing_bytes, SendOutcome::ServerError, actions);
            actions.push(Action::KeepFailure(id));
            return self.on_attempt_failed(actions);
        }
        actions.push(Action::RecordLatency(id));
        if self.stream_started {
            // A collected response can't continue a stream.
            self.end_attempt(id, head, trailing_bytes, SendOutcome::Completed, actions);
            return self.on_attempt_failed(actions);
        }
        self.abandon_other(id, actions);
        self.end_attempt(id, head, trailing_bytes, SendOutcome::Completed, actions);
        self.finish(FinalResponse::Complete(id), actions);
    }

    /// Relays this attempt's stream from its first chunk on, and abandons the other attempt.
    fn start_relaying(&mut self, id: AttemptId, head: HeadSummary, actions: &mut Vec<Action>) {
        self.abandon_other(id, actions);
        actions.push(Action::RecordLatency(id));
        self.advance(id, AttemptStage::RelayingBody(head));
        self.phase = Phase::Relaying(id);
        self.scanner.restart();
    }

    fn relay(&mut self, id: AttemptId, bytes: &[u8], actions: &mut Vec<Action>) {
        let (events, malformed) = match self.scanner.push(bytes) {
            ScanResult::Events(events) => (events, false),
            ScanResult::Malformed(events) => (events, true),
        };
        if !events.is_empty() {
            self.relay_events(id, events, false, actions);
        }
        if malformed {
            self.fail(id, SendOutcome::ServerError, actions);
        }
    }

    /// Whether a stream whose body ends now was truncated. Where the body ends with the connection, that of an upstream that
    /// crashed ends the same way; but a complete stream of events ends behind an event.
    fn is_truncated(&self, head: HeadSummary) -> bool {
        head.delimiter == BodyDelimiter::ConnectionClose
            && head.media_type != MediaType::Other
            && self.scanner.is_truncated()
    }

    fn end_stream(
        &mut self,
        id: AttemptId,
        head: HeadSummary,
        trailing_bytes: bool,
        actions: &mut Vec<Action>,
    ) {
        self.abandon_other(id, actions);
        let rest = self.scanner.take_remainder();
        self.relay_events(id, rest, true, actions);
        self.end_attempt(id, head, trailing_bytes, SendOutcome::Completed, actions);
        self.finish(FinalResponse::StreamCompleted, actions);
    }

    fn relay_events(
        &mut self,
        id: AttemptId,
        bytes: Vec<u8>,
        is_last: bool,
        actions: &mut Vec<Action>,
    ) {
        let with_head = !std::mem::replace(&mut self.stream_started, true);
        actions.push(Action::Relay {
            id,
            with_head,
            bytes,
            is_last,
        });
    }

    fn on_deadline(&mut self, id: AttemptId, attempt: AttemptState, actions: &mut Vec<Action>) {
        if !attempt.may_have_executed() {
            return self.fail(id, SendOutcome::Cancelled, actions);
        }
        // An upstream that has not read the request by its deadline is treated like one whose connection failed.
        if attempt.stage == AttemptStage::WritingRequest {
            self.close(id, SendOutcome::ConnectionFailed, actions);
        }
        self.give_up(codes::DEADLINE, actions);
    }
}

/// The outcome reported to the balancer for an attempt whose response failed with this error.
fn outcome_of_error(attempt: AttemptState, error: ResponseError) -> SendOutcome {
    // An idle connection that was closed before any byte of the response does not count as a failure of the upstream.
    let was_idle = attempt.reused_connection && attempt.stage == AttemptStage::AwaitingHead;
    match error {
        ResponseError::Malformed => SendOutcome::ServerError,
        // The upstream is not at fault.
        ResponseError::OutOfMemory => SendOutcome::Cancelled,
        ResponseError::ConnectionLost if was_idle => SendOutcome::Cancelled,
        ResponseError::ConnectionLost => SendOutcome::ConnectionFailed,
    }
}
