//! How long answers of a route take to begin, and from when on one is overdue. Pure.
use crate::policy::Policy;
use sandtrack_tiers::Millis;

/// Round trips of a connection and an answer on it, with one more for what varies (ours).
const MIN_ROUND_TRIPS: f64 = 3.0;

/// What the first part of an answer takes: a mean and a mean deviation, as TCP keeps of round trips (RFC 6298).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstByteLatency {
    mean: Millis,
    deviation: Millis,
    count: u32,
}

impl FirstByteLatency {
    pub fn add(&mut self, elapsed: Millis) {
        if self.count == 0 {
            (self.mean, self.deviation) = (elapsed, elapsed / 2.0);
        } else {
            self.deviation += ((self.mean - elapsed).abs() - self.deviation) / 16.0;
            self.mean += (elapsed - self.mean) / 32.0;
        }
        self.count = self.count.saturating_add(1);
    }

    /// When an answer is overdue, for one that is to be there within `target` ms, from an upstream to which a way and back takes
    /// `trip` ms: never before a connection and an answer could be there.
    pub fn hedge_delay(&self, target: Millis, trip: Millis, policy: &Policy) -> Millis {
        let least = policy.min_hedge_delay_ms.max(MIN_ROUND_TRIPS * trip);
        let most = (target * policy.max_hedge_delay_ratio).max(least);
        if self.count == 0 {
            return most;
        }
        (self.mean + policy.hedge_deviations * self.deviation).clamp(least, most)
    }
}
