//! Time to the first byte of a route's responses, and the delay after which a request is hedged.
use crate::policy::Policy;
use sandtrack_tiers::Millis;

/// Round trips that a response takes at least: one for the connection, one for the response, one as a margin (ours).
const MIN_ROUND_TRIPS: f64 = 3.0;
/// Divisor of a new sample in the mean (ours; RFC 6298 has 8 for round trips).
const MEAN_DIVISOR: f64 = 32.0;
/// Divisor of a new sample in the mean deviation (ours; RFC 6298 has 4).
const DEVIATION_DIVISOR: f64 = 16.0;

/// SmoothedLatency mean and mean deviation of the time to first byte, kept as TCP keeps those of round trips (RFC 6298).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstByteLatency {
    mean: Millis,
    deviation: Millis,
    count: u32,
}

impl FirstByteLatency {
    /// Adds a response whose first byte arrived `elapsed` ms after its request was written.
    pub fn record(&mut self, elapsed: Millis) {
        if self.count == 0 {
            (self.mean, self.deviation) = (elapsed, elapsed / 2.0);
        } else {
            self.deviation += ((self.mean - elapsed).abs() - self.deviation) / DEVIATION_DIVISOR;
            self.mean += (elapsed - self.mean) / MEAN_DIVISOR;
        }
        self.count = self.count.saturating_add(1);
    }

    /// How long to wait for the first byte before a request is hedged, in ms. `target`: the route's latency target.
    /// `round_trip`: to the upstream; the delay is never shorter than a connection and a response take.
    pub fn hedge_delay(&self, target: Millis, round_trip: Millis, policy: &Policy) -> Millis {
        let least = policy.min_hedge_delay_ms.max(MIN_ROUND_TRIPS * round_trip);
        let most = (target * policy.max_hedge_delay_ratio).max(least);
        if self.count == 0 {
            return most;
        }
        (self.mean + policy.hedge_deviations * self.deviation).clamp(least, most)
    }
}
