//! One request in the log: told where its client did not get an upstream's good answer, with every upstream that it was at.
//! Lines are bounded, so that an overload is not made worse by its log.
use crate::context::ProxyContext;
use crate::placement::balancer::Ended;
use crate::request::ProxyRequest;
use crate::telemetry::latency_cause::Timeline;
use crate::telemetry::outcomes::Outcome;
use sandtrack_protocol::codes::Code;
use sandtrack_tiers::Millis;
use std::fmt::Write;

/// One request on its way: whatever becomes of it is counted once, and told where it is no good end.
pub struct RequestLog<'a> {
    context: &'a ProxyContext,
    request: &'a ProxyRequest,
    sends: Vec<Send>,
    is_over: bool,
}

/// One send of a request.
struct Send {
    identifier: String,
    begun: Millis,
    /// How it ended, and when; none while it is under way.
    ended: Option<(Ended, Millis)>,
}

impl<'a> RequestLog<'a> {
    /// A request that begins to be carried.
    pub fn new(context: &'a ProxyContext, request: &'a ProxyRequest) -> RequestLog<'a> {
        RequestLog {
            context,
            request,
            sends: Vec::new(),
            is_over: false,
        }
    }

    /// It is sent to an upstream.
    pub fn send_begins(&mut self, identifier: String) {
        self.sends.push(Send {
            identifier,
            begun: self.context.clock.now(),
            ended: None,
        });
    }

    /// A send of it is over.
    pub fn send_over(&mut self, identifier: &str, ended: Ended) {
        self.context.outcomes.borrow_mut().note_send(ended);
        let now = self.context.clock.now();
        let mut under_way = self.sends.iter_mut().filter(|send| send.ended.is_none());
        if let Some(send) = under_way.find(|send| send.identifier == identifier) {
            send.ended = Some((ended, now));
        }
    }

    /// The first part of its answer is there, of a send that was begun to be written at `asked` to an upstream in another region
    /// (`far`).
    pub fn answer_begins(&mut self, identifier: &str, asked: Millis, far: bool) {
        let now = self.context.clock.now();
        let request = self.request;
        if now - request.arrived <= request.route.target_latency_ms {
            return;
        }
        let begun = |send: &Send| send.begun;
        let timeline = Timeline {
            arrived: request.arrived,
            first_send: self.sends.first().map_or(asked, begun),
            send: self
                .sends
                .iter()
                .rev()
                .find(|send| send.identifier == identifier)
                .map_or(asked, begun),
            asked,
            answered: now,
            far,
        };
        let cause = timeline.cause();
        let mut outcomes = self.context.outcomes.borrow_mut();
        outcomes.note_late_first_part(cause);
        if let Some(left_out) = outcomes.take_line(now) {
            let mut line = self.ways();
            let counts = request.tokens.map_or(0, |(prompt, _)| prompt);
            let shared_tokens = request.shared_tokens();
            // Writing into memory can't fail.
            let _ = write!(
                line,
                "; prompt of {counts} tokens, {shared_tokens} of them shared"
            );
            let what = format!("begins late by {}", cause.name());
            log::info!(
                "{}{}",
                self.line(&what, now, &line),
                left_out_before(left_out)
            );
        }
    }

    /// Its stream paused for longer than its route's aim.
    pub fn paused(&mut self, pause: Millis) {
        let now = self.context.clock.now();
        let mut outcomes = self.context.outcomes.borrow_mut();
        outcomes.note_late_pause();
        if let Some(left_out) = outcomes.take_line(now) {
            let what = format!("paused for {pause:.0} ms");
            log::info!(
                "{}{}",
                self.line(&what, now, &self.ways()),
                left_out_before(left_out)
            );
        }
    }

    /// It ended.
    pub fn over(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        let now = self.context.clock.now();
        let mut outcomes = self.context.outcomes.borrow_mut();
        outcomes.note(outcome, now - self.request.deadline);
        if outcome.is_good() {
            return;
        }
        if let Some(left_out) = outcomes.take_line(now) {
            let line = self.line(&outcome.to_string(), now, &self.ways());
            log::info!("{line}{}", left_out_before(left_out));
        }
    }

    fn line(&self, what: &str, now: Millis, ways: &str) -> String {
        let request = self.request;
        format!(
            "request {} on {}: {what} after {:.0} of {:.0} ms{ways}",
            request.id,
            request.route.name,
            now - request.arrived,
            request.deadline - request.arrived,
        )
    }

    /// The upstreams that it was at.
    fn ways(&self) -> String {
        let request = self.request;
        let mut line = String::new();
        for Send {
            identifier,
            begun,
            ended,
        } in &self.sends
        {
            // Writing into memory can't fail.
            let _ = write!(
                line,
                "; at {identifier} from {:.0}",
                begun - request.arrived
            );
            let _ = match ended {
                Some((ended, at)) => {
                    write!(line, " {} by {:.0}", ended.name(), at - request.arrived)
                }
                None => write!(line, " to the end"),
            };
        }
        line
    }
}

/// The end of a line before which so many were left out.
fn left_out_before(lines: u64) -> String {
    match lines {
        0 => String::new(),
        lines => format!(" ({lines} lines left out before)"),
    }
}

/// Counts and tells a request that this process answers before it carries it.
pub fn refused(context: &ProxyContext, id: &str, status: u16, why: Code) {
    let now = context.clock.now();
    let mut outcomes = context.outcomes.borrow_mut();
    let outcome = Outcome::Own(status, why);
    outcomes.note(outcome, 0.0);
    if let Some(left_out) = outcomes.take_line(now) {
        let id = if id.is_empty() { "without an id" } else { id };
        log::info!(
            "request {id}: {outcome} before it was carried{}",
            left_out_before(left_out)
        );
    }
}

impl Drop for RequestLog<'_> {
    fn drop(&mut self) {
        self.over(Outcome::Left);
    }
}
