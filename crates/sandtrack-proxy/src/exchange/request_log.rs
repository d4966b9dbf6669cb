//! Records the outcome of one request. Every request is counted; one that did not end with an upstream's success is also logged,
//! with every upstream that it was sent to.
use crate::context::ProxyContext;
use crate::placement::balancer::SendOutcome;
use crate::request::ProxyRequest;
use crate::telemetry::latency_cause::RequestTimeline;
use crate::telemetry::outcomes::RequestOutcome;
use sandtrack_protocol::codes::Code;
use sandtrack_tiers::Millis;
use std::fmt::Write;

/// The record of one request in flight. If dropped before [`RequestLog::finished`], it records that the client disconnected.
pub struct RequestLog<'a> {
    context: &'a ProxyContext,
    request: &'a ProxyRequest,
    attempts: Vec<AttemptRecord>,
    is_finished: bool,
}

/// One attempt of a request.
struct AttemptRecord {
    identifier: String,
    started_at: Millis,
    /// How it ended, and when; `None` while it is in flight.
    ended: Option<(SendOutcome, Millis)>,
}

impl<'a> RequestLog<'a> {
    /// Starts the record of a request that is about to be forwarded.
    #[must_use]
    pub fn new(context: &'a ProxyContext, request: &'a ProxyRequest) -> RequestLog<'a> {
        RequestLog {
            context,
            request,
            attempts: Vec::new(),
            is_finished: false,
        }
    }

    /// Records the start of an attempt.
    pub fn attempt_started(&mut self, identifier: String) {
        self.attempts.push(AttemptRecord {
            identifier,
            started_at: self.context.clock.now(),
            ended: None,
        });
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(&mut self, identifier: &str, outcome: SendOutcome) {
        self.context.outcomes.borrow_mut().record_attempt(outcome);
        let now = self.context.clock.now();
        let mut in_flight = self
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.ended.is_none());
        if let Some(attempt) = in_flight.find(|attempt| attempt.identifier == identifier) {
            attempt.ended = Some((outcome, now));
        }
    }

    /// Records the first part of the response to an attempt whose write began at `write_started_at`.
    pub fn response_started(
        &mut self,
        identifier: &str,
        write_started_at: Millis,
        in_other_region: bool,
    ) {
        let now = self.context.clock.now();
        let request = self.request;
        if now - request.arrived_at <= request.route.target_latency_ms {
            return;
        }
        let started_at = |attempt: &AttemptRecord| attempt.started_at;
        let timeline = RequestTimeline {
            arrived_at: request.arrived_at,
            first_attempt_at: self.attempts.first().map_or(write_started_at, started_at),
            attempt_at: self
                .attempts
                .iter()
                .rev()
                .find(|attempt| attempt.identifier == identifier)
                .map_or(write_started_at, started_at),
            write_started_at,
            responded_at: now,
            in_other_region,
        };
        let cause = timeline.cause();
        let mut outcomes = self.context.outcomes.borrow_mut();
        outcomes.record_late_start(cause);
        if let Some(suppressed) = outcomes.take_log_line(now) {
            let mut details = self.attempts_text();
            let prompt_tokens = request.token_counts.map_or(0, |counts| counts.prompt);
            let shared_tokens = request.shared_tokens();
            // Writing to a String can't fail.
            let _ = write!(
                details,
                "; prompt of {prompt_tokens} tokens, {shared_tokens} of them shared"
            );
            let event = format!("begins late by {}", cause.name());
            self.log_line(&event, now, &details, suppressed);
        }
    }

    /// Records a pause of the stream that exceeded its route's target.
    pub fn stream_paused(&mut self, pause: Millis) {
        let now = self.context.clock.now();
        let mut outcomes = self.context.outcomes.borrow_mut();
        outcomes.record_late_pause();
        if let Some(suppressed) = outcomes.take_log_line(now) {
            let event = format!("paused for {pause:.0} ms");
            self.log_line(&event, now, &self.attempts_text(), suppressed);
        }
    }

    /// Records the request's outcome; only the first call has an effect.
    pub fn finished(&mut self, outcome: RequestOutcome) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let now = self.context.clock.now();
        let mut outcomes = self.context.outcomes.borrow_mut();
        outcomes.record(outcome, now - self.request.deadline);
        if outcome.is_success() {
            return;
        }
        if let Some(suppressed) = outcomes.take_log_line(now) {
            self.log_line(&outcome.to_string(), now, &self.attempts_text(), suppressed);
        }
    }

    fn log_line(&self, event: &str, now: Millis, details: &str, suppressed: u64) {
        let request = self.request;
        log::info!(
            "request {} on {}: {event} after {:.0} of {:.0} ms{details}{}",
            request.id,
            request.route.name,
            now - request.arrived_at,
            request.deadline - request.arrived_at,
            suppressed_lines(suppressed)
        );
    }

    /// Lists the upstreams that the request was sent to, with times since its arrival in ms.
    fn attempts_text(&self) -> String {
        let arrived = self.request.arrived_at;
        let mut text = String::new();
        for AttemptRecord {
            identifier,
            started_at,
            ended,
        } in &self.attempts
        {
            // Writing to a String can't fail.
            let _ = write!(text, "; at {identifier} from {:.0}", started_at - arrived);
            let _ = match ended {
                Some((outcome, at)) => {
                    write!(text, " {} by {:.0}", outcome.name(), at - arrived)
                }
                None => write!(text, " to the end"),
            };
        }
        text
    }
}

/// Suffix of a log line that says how many lines were suppressed before it; empty if none.
fn suppressed_lines(lines: u64) -> String {
    match lines {
        0 => String::new(),
        lines => format!(" ({lines} log lines suppressed before this one)"),
    }
}

/// Counts and logs a request that this process rejects before it is forwarded.
pub fn record_rejected(context: &ProxyContext, request_id: &str, status: u16, code: Code) {
    let now = context.clock.now();
    let mut outcomes = context.outcomes.borrow_mut();
    let outcome = RequestOutcome::LocalResponse(status, code);
    outcomes.record(outcome, 0.0);
    if let Some(suppressed) = outcomes.take_log_line(now) {
        let id = if request_id.is_empty() {
            "without an id"
        } else {
            request_id
        };
        log::info!(
            "request {id}: {outcome} before it was carried{}",
            suppressed_lines(suppressed)
        );
    }
}

impl Drop for RequestLog<'_> {
    fn drop(&mut self) {
        self.finished(RequestOutcome::ClientDisconnected);
    }
}
