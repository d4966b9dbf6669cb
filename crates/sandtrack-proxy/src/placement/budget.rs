//! Limits that hold over all proxies together, as one proxy keeps them: its quota, and its budget of retries, counted in
//! sliding windows.
use sandtrack_tiers::Millis;
use std::collections::VecDeque;

/// Fraction of a limit that all proxies' quotas add up to: some proxies join before all others have learned of it.
pub const QUOTA_UTILIZATION: f64 = 0.7;
/// Fraction of what requests earn and of the slack that retries use.
pub const RETRY_BUDGET_UTILIZATION: f64 = 0.75;

/// Quotas below this count as this: no proxy gets one event then, or one of a great many.
const MIN_QUOTA: f64 = 1e-9;
/// One proxy in this many gets an event at the least.
const MAX_PROXIES_PER_EVENT: f64 = 1e15;

/// A proxy's quota of a limit of `total` events per window over `proxies` proxies: a whole number. Where it is under one,
/// one proxy of so many gets one event, chosen by `rank` (any number that differs between proxies and upstreams).
pub fn quota(total: f64, proxies: u32, rank: u64) -> u32 {
    let each = total * QUOTA_UTILIZATION / f64::from(proxies.max(1));
    if each >= 1.0 {
        return each as u32;
    }
    let one_of = (1.0 / each.max(MIN_QUOTA))
        .ceil()
        .min(MAX_PROXIES_PER_EVENT) as u64;
    u32::from(rank.is_multiple_of(one_of.max(1)))
}

/// Counts events in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow {
    times: VecDeque<Millis>,
}

impl SlidingWindow {
    /// Adds an event.
    pub fn record(&mut self, now: Millis) {
        self.times.push_back(now);
    }

    /// Events in the last `span` ms; those before are forgotten.
    pub fn count(&mut self, now: Millis, span: Millis) -> usize {
        while self.times.front().is_some_and(|at| *at <= now - span) {
            self.times.pop_front();
        }
        self.times.len()
    }
}

/// Limits of a retry budget over all proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed for each request of the window.
    pub ratio: f64,
    /// Retries allowed per window besides.
    pub slack: f64,
    /// Proxies among which the slack is shared.
    pub proxies: u32,
}

/// Budget of sends beyond a request's first, for one service: retries, hedged requests and resumed streams.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: SlidingWindow,
    retries: SlidingWindow,
}

impl RetryBudget {
    /// A request arrived; the window is the last `span` ms.
    pub fn deposit(&mut self, now: Millis, span: Millis) {
        self.requests.count(now, span);
        self.requests.record(now);
    }

    /// Whether the last `span` ms hold any event.
    pub fn has_events(&mut self, now: Millis, span: Millis) -> bool {
        self.requests.count(now, span) + self.retries.count(now, span) > 0
    }

    /// Number of events that are held in memory.
    pub fn len(&self) -> usize {
        self.requests.times.len() + self.retries.times.len()
    }

    /// Whether no event is held in memory.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes one retry from the budget; false where the retries of any window of `span` ms would pass the limits.
    pub fn withdraw(&mut self, now: Millis, span: Millis, limits: &RetryLimits) -> bool {
        let earned =
            self.requests.count(now, span) as f64 * limits.ratio * RETRY_BUDGET_UTILIZATION;
        let allowed =
            earned + limits.slack * RETRY_BUDGET_UTILIZATION / f64::from(limits.proxies.max(1));
        let fits = (self.retries.count(now, span) + 1) as f64 <= allowed;
        if fits {
            self.retries.record(now);
        }
        fits
    }
}
