//! How the requests of a process ended so far: counted all of them. Pure.
use crate::placement::balancer::Ended;
use crate::telemetry::latency_cause::LateCause;
use sandtrack_protocol::codes::Code;
use sandtrack_protocol::metrics::{Kind, MetricsText};
use sandtrack_tiers::Millis;
use std::collections::BTreeMap;

/// Lines in a second; what is beyond is counted, and told with the first line of a later one.
const LINES: u32 = 20;
const SECOND: Millis = 1000.0;
/// An answer this long behind the end of the request's time counts as late, in ms.
const LATE: Millis = 250.0;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// It got an upstream's answer, with this status.
    Upstream(u16),
    /// It got an answer of this process.
    Own(u16, Code),
    /// Its connection was closed within an answer.
    Cut,
    /// It left before the end.
    Left,
}

impl Outcome {
    /// The client got what it asked for.
    pub fn is_good(self) -> bool {
        matches!(self, Outcome::Upstream(status) if status < 500)
    }
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Outcome::Upstream(status) => write!(f, "{status} of its upstream"),
            Outcome::Own(status, code) => write!(f, "{status} {code}"),
            Outcome::Cut => f.write_str("cut"),
            Outcome::Left => f.write_str("its client left"),
        }
    }
}

/// Bounds the lines of a second.
#[derive(Clone, Debug, Default)]
struct LineBudget {
    second_began: Millis,
    written: u32,
    left_out: u64,
}

impl LineBudget {
    /// Whether one more line may be written now; if so, how many were left out before it.
    fn take(&mut self, now: Millis) -> Option<u64> {
        if now - self.second_began >= SECOND {
            (self.second_began, self.written) = (now, 0);
        }
        if self.written >= LINES {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

/// How the requests of this process ended so far.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    counts: BTreeMap<Outcome, u64>,
    /// Answers that came after the request's time.
    late: u64,
    /// Answers that began behind their route's aim, by what took longest.
    late_first_parts: BTreeMap<LateCause, u64>,
    /// Pauses within streams that were longer than their route's aim.
    late_pauses: u64,
    /// Sends to upstreams, by how they ended.
    sends: BTreeMap<&'static str, u64>,
    lines: LineBudget,
}

impl Outcomes {
    /// Counts an end; `overtime` is how long behind the request's time it came, in ms.
    pub fn note(&mut self, outcome: Outcome, overtime: Millis) {
        *self.counts.entry(outcome).or_default() += 1;
        self.late += u64::from(overtime > LATE);
    }

    /// Counts an answer that began behind its route's aim.
    pub fn note_late_first_part(&mut self, cause: LateCause) {
        *self.late_first_parts.entry(cause).or_default() += 1;
    }

    /// Counts a pause within a stream that was longer than its route's aim.
    pub fn note_late_pause(&mut self) {
        self.late_pauses += 1;
    }

    /// Counts a send that is over.
    pub fn note_send(&mut self, ended: Ended) {
        *self.sends.entry(ended.name()).or_default() += 1;
    }

    /// How often requests ended so.
    #[must_use]
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.counts.get(&outcome).copied().unwrap_or(0)
    }

    /// Whether one more line may be written; if so, how many were left out before it.
    pub fn take_line(&mut self, now: Millis) -> Option<u64> {
        self.lines.take(now)
    }

    /// Appends them to the figures of the process.
    pub fn tell(&self, text: &mut MetricsText) {
        const REQUESTS: &str = "sandtrack_proxy_requests_total";
        text.family(
            REQUESTS,
            Kind::Counter,
            "Requests by how they ended for their client",
        );
        for (outcome, count) in &self.counts {
            let (status, code) = match outcome {
                Outcome::Upstream(status) => (status.to_string(), "upstream".to_owned()),
                Outcome::Own(status, code) => (status.to_string(), code.to_string()),
                Outcome::Cut => ("cut".to_owned(), String::new()),
                Outcome::Left => ("left".to_owned(), String::new()),
            };
            text.figure(REQUESTS, &[("status", &status), ("code", &code)], count);
        }
        const SENDS: &str = "sandtrack_proxy_sends_total";
        text.family(SENDS, Kind::Counter, "Sends to upstreams by how they ended");
        for (ended, count) in &self.sends {
            text.figure(SENDS, &[("ended", ended)], count);
        }
        const FIRST_PARTS: &str = "sandtrack_proxy_late_first_parts_total";
        text.family(
            FIRST_PARTS,
            Kind::Counter,
            "Answers that began behind their aim by what took longest",
        );
        for (cause, count) in &self.late_first_parts {
            text.figure(FIRST_PARTS, &[("cause", cause.name())], count);
        }
        let help = "Pauses within streams over their aim";
        text.single(
            "sandtrack_proxy_late_pauses_total",
            Kind::Counter,
            help,
            self.late_pauses,
        );
        let help = "Requests that ended over 250 ms behind their time";
        text.single("sandtrack_proxy_late_total", Kind::Counter, help, self.late);
    }
}
