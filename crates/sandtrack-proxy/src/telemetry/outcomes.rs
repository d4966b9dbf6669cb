//! How the requests of the process ended so far: all of them are counted. Pure.
use super::latency_cause::LatencyCause;
use super::log_rate_limit::LogRateLimit;
use crate::placement::balancer::SendOutcome;
use sandtrack_protocol::codes::Code;
use sandtrack_protocol::metrics::{MetricKind, MetricsText};
use sandtrack_tiers::Millis;
use std::collections::BTreeMap;
use std::fmt;

/// A response this long after the request's deadline counts as late, in ms.
const DEADLINE_TOLERANCE_MS: Millis = 250.0;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// It got an upstream's response, with this status.
    UpstreamResponse(u16),
    /// It got a response of this process's own, with this status and code.
    LocalResponse(u16, Code),
    /// Its connection was closed within a response.
    Aborted,
    /// It left before the end of its response.
    ClientDisconnected,
}

impl RequestOutcome {
    /// Whether the client got what it asked for.
    #[must_use]
    pub fn is_success(self) -> bool {
        matches!(self, RequestOutcome::UpstreamResponse(status) if status < 500)
    }
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestOutcome::UpstreamResponse(status) => write!(f, "{status} of its upstream"),
            RequestOutcome::LocalResponse(status, code) => write!(f, "{status} {code}"),
            RequestOutcome::Aborted => f.write_str("cut"),
            RequestOutcome::ClientDisconnected => f.write_str("its client left"),
        }
    }
}

/// Counters of the requests of this process.
#[derive(Clone, Debug, Default)]
pub struct RequestOutcomes {
    counts: BTreeMap<RequestOutcome, u64>,
    /// Responses after the request's deadline.
    late: u64,
    /// Responses that began after their route's latency target, by what took longest.
    late_starts: BTreeMap<LatencyCause, u64>,
    /// Pauses within streams that were longer than their route's target.
    late_pauses: u64,
    /// Attempts, by the name of how they ended.
    attempts: BTreeMap<&'static str, u64>,
    log_lines: LogRateLimit,
}

impl RequestOutcomes {
    /// Counts the end of a request; `overtime` is how long after its deadline it came, in ms.
    pub fn record(&mut self, outcome: RequestOutcome, overtime: Millis) {
        *self.counts.entry(outcome).or_default() += 1;
        self.late += u64::from(overtime > DEADLINE_TOLERANCE_MS);
    }

    /// Counts a response that began after its route's latency target.
    pub fn record_late_start(&mut self, cause: LatencyCause) {
        *self.late_starts.entry(cause).or_default() += 1;
    }

    /// Counts a pause within a stream that was longer than its route's target.
    pub fn record_late_pause(&mut self) {
        self.late_pauses += 1;
    }

    /// Counts an attempt that ended.
    pub fn record_attempt(&mut self, outcome: SendOutcome) {
        *self.attempts.entry(outcome.name()).or_default() += 1;
    }

    /// How many requests ended so.
    #[must_use]
    pub fn count(&self, outcome: RequestOutcome) -> u64 {
        self.counts.get(&outcome).copied().unwrap_or(0)
    }

    /// Takes one line from the log's rate limit; `None` where there is none left, else how many were suppressed before it.
    pub fn take_log_line(&mut self, now: Millis) -> Option<u64> {
        self.log_lines.take(now)
    }

    /// Appends the counters to the metrics of the process.
    pub fn append_metrics(&self, text: &mut MetricsText) {
        self.append_requests(text);
        self.append_attempts(text);
        self.append_late_starts(text);
        text.metric(
            "sandtrack_proxy_late_pauses_total",
            MetricKind::Counter,
            "Pauses within streams over their aim",
            self.late_pauses,
        );
        text.metric(
            "sandtrack_proxy_late_total",
            MetricKind::Counter,
            "Requests that ended over 250 ms behind their time",
            self.late,
        );
    }

    fn append_requests(&self, text: &mut MetricsText) {
        const NAME: &str = "sandtrack_proxy_requests_total";
        text.family(
            NAME,
            MetricKind::Counter,
            "Requests by how they ended for their client",
        );
        for (outcome, count) in &self.counts {
            let (status, code) = match outcome {
                RequestOutcome::UpstreamResponse(status) => {
                    (status.to_string(), "upstream".to_owned())
                }
                RequestOutcome::LocalResponse(status, code) => {
                    (status.to_string(), code.to_string())
                }
                RequestOutcome::Aborted => ("cut".to_owned(), String::new()),
                RequestOutcome::ClientDisconnected => ("left".to_owned(), String::new()),
            };
            text.sample(NAME, &[("status", &status), ("code", &code)], count);
        }
    }

    fn append_attempts(&self, text: &mut MetricsText) {
        const NAME: &str = "sandtrack_proxy_sends_total";
        text.family(
            NAME,
            MetricKind::Counter,
            "Sends to upstreams by how they ended",
        );
        for (outcome, count) in &self.attempts {
            text.sample(NAME, &[("ended", outcome)], count);
        }
    }

    fn append_late_starts(&self, text: &mut MetricsText) {
        const NAME: &str = "sandtrack_proxy_late_first_parts_total";
        text.family(
            NAME,
            MetricKind::Counter,
            "Answers that began behind their aim by what took longest",
        );
        for (cause, count) in &self.late_starts {
            text.sample(NAME, &[("cause", cause.name())], count);
        }
    }
}
