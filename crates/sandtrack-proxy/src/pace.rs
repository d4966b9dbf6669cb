//! How long answers of a route take to begin, and from when on one is overdue. Pure.
use crate::policy::Policy;
use sandtrack_tiers::Millis;

/// What the first part of an answer takes: a mean and a mean deviation, as TCP keeps of round trips (RFC 6298).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    mean: Millis,
    deviation: Millis,
    count: u32,
}

impl Pace {
    pub fn add(&mut self, elapsed: Millis) {
        if self.count == 0 {
            (self.mean, self.deviation) = (elapsed, elapsed / 2.0);
        } else {
            self.deviation += ((self.mean - elapsed).abs() - self.deviation) / 16.0;
            self.mean += (elapsed - self.mean) / 32.0;
        }
        self.count = self.count.saturating_add(1);
    }

    /// When an answer is overdue, for one that is to be there within `aim` ms.
    pub fn patience(&self, aim: Millis, policy: &Policy) -> Millis {
        let most = (aim * policy.patience_most).max(policy.patience_least_ms);
        if self.count == 0 {
            return most;
        }
        (self.mean + policy.deviations * self.deviation).clamp(policy.patience_least_ms, most)
    }
}
