//! Bounds that hold over all proxies together, as one proxy keeps them: its share, counted in sliding windows. Pure.
use sandtrack_tiers::Millis;
use std::collections::VecDeque;

/// Part of a bound that all proxies' shares add up to: some join before all others have heard of it.
pub const QUOTA_USED: f64 = 0.7;
/// Retries use this part of what each request earns and of the slack.
pub const RETRY_BUDGET_USED: f64 = 0.75;

/// A proxy's share of a bound of `total` events a window, over `proxies`: a whole number; where that is under one,
/// one for every so many proxies, drawn by `rank` (any number that differs between proxies and upstreams).
pub fn share(total: f64, proxies: u32, rank: u64) -> u32 {
    let each = total * QUOTA_USED / f64::from(proxies.max(1));
    if each >= 1.0 {
        return each as u32;
    }
    let one_of = (1.0 / each.max(1e-9)).ceil().min(1e15) as u64;
    u32::from(rank.is_multiple_of(one_of.max(1)))
}

/// Counts events in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct Window {
    times: VecDeque<Millis>,
}

impl Window {
    pub fn note(&mut self, now: Millis) {
        self.times.push_back(now);
    }

    /// Events in the last `span` ms.
    pub fn count(&mut self, now: Millis, span: Millis) -> usize {
        while self.times.front().is_some_and(|at| *at <= now - span) {
            self.times.pop_front();
        }
        self.times.len()
    }
}

/// Sends beyond the first of a request, for one service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: Window,
    repeats: Window,
}

impl RetryBudget {
    /// A request came; those before the window of `span` ms are forgotten.
    pub fn request(&mut self, now: Millis, span: Millis) {
        self.requests.count(now, span);
        self.requests.note(now);
    }

    /// Whether something in the window of `span` ms is counted; what came before is forgotten.
    pub fn is_used(&mut self, now: Millis, span: Millis) -> bool {
        self.requests.count(now, span) + self.repeats.count(now, span) > 0
    }

    /// Events that are held.
    pub fn remembered(&self) -> usize {
        self.requests.times.len() + self.repeats.times.len()
    }

    /// Whether one more repeat fits `ratio` x requests + this proxy's part of `slack` in any window of `span` ms;
    /// it is counted if so. Requests are those of the last half window: what came before may not be counted by then.
    pub fn repeat(
        &mut self,
        now: Millis,
        span: Millis,
        ratio: f64,
        slack: f64,
        proxies: u32,
    ) -> bool {
        let earned = self.requests.count(now, span) as f64 * ratio * RETRY_BUDGET_USED;
        let allowed = earned + slack * RETRY_BUDGET_USED / f64::from(proxies.max(1));
        let fits = (self.repeats.count(now, span) + 1) as f64 <= allowed;
        if fits {
            self.repeats.note(now);
        }
        fits
    }
}
