//! Round trips to each region, measured by connections and probes, and the time-outs that follow from them.
//!
//! A round trip that was never measured can't bound the time to measure it: its time-out doubles with each failure, as TCP's
//! retransmission timer does (RFC 6298, 5.5), until something is received. Once it is known, a loss is detected soon after one
//! round trip. Where nothing was received for [`Policy::round_trip_expiry_ms`] while sends failed, probes treat the round trip
//! as unknown again: it may have become longer.
use crate::policy::{exponential_backoff, Policy};
use sandtrack_tiers::{Millis, SmoothedLatency};
use std::collections::HashMap;

/// Round trips that the time-out of a connection allows for (ours).
const CONNECT_ROUND_TRIPS: f64 = 2.0;
/// Round trips, or average probe times, that the time-out of a probe allows for (ours).
const PROBE_ROUND_TRIPS: f64 = 3.0;

/// What is known of the round trip to one region.
#[derive(Clone, Copy, Debug, Default)]
struct RoundTrip {
    average: SmoothedLatency,
    /// Time-outs since it was last measured.
    timeouts: u32,
    /// When the first of them happened.
    failing_since: Option<Millis>,
}

/// Round trips to all regions.
#[derive(Clone, Debug, Default)]
pub struct RegionRoundTrips {
    by_region: HashMap<String, RoundTrip>,
}

impl RegionRoundTrips {
    /// A round trip took `elapsed` ms.
    pub fn sample(&mut self, now: Millis, region: &str, elapsed: Millis, policy: &Policy) {
        let round_trip = self.by_region.entry(region.to_owned()).or_default();
        if round_trip.has_expired(now, policy) {
            round_trip.average = SmoothedLatency::default();
        }
        round_trip.average.sample(elapsed);
        round_trip.timeouts = 0;
        round_trip.failing_since = None;
    }

    /// A connection was not established, or a probe not answered, within its time-out.
    pub fn timed_out(&mut self, now: Millis, region: &str) {
        let round_trip = self.by_region.entry(region.to_owned()).or_default();
        round_trip.timeouts = round_trip.timeouts.saturating_add(1);
        round_trip.failing_since.get_or_insert(now);
    }

    /// The smoothed round trip in ms; `None` before the first measurement.
    #[must_use]
    pub fn get(&self, region: &str) -> Option<Millis> {
        self.by_region.get(region)?.average.get()
    }

    /// Time-out of a request's connection to this region, in ms. `target`: the latency target of its route, which bounds the
    /// time-out while the round trip is unknown.
    #[must_use]
    pub fn connect_timeout(&self, region: &str, target: Millis, policy: &Policy) -> Millis {
        let least = policy.connect_timeout_ms;
        let round_trip = self.by_region.get(region).copied().unwrap_or_default();
        match round_trip.average.get() {
            Some(average) => least + CONNECT_ROUND_TRIPS * average,
            None => exponential_backoff(least, round_trip.timeouts).min(target.max(least)),
        }
    }

    /// Time-out of a probe, its connection included, in ms. `probe_time`: the upstream's own average.
    #[must_use]
    pub fn probe_timeout(
        &self,
        now: Millis,
        region: &str,
        probe_time: Option<Millis>,
        policy: &Policy,
    ) -> Millis {
        let round_trip = self.by_region.get(region).copied().unwrap_or_default();
        let known = probe_time
            .or(round_trip.average.get())
            .filter(|_| !round_trip.has_expired(now, policy));
        match known {
            Some(average) => policy.probe_timeout_ms + PROBE_ROUND_TRIPS * average,
            None => exponential_backoff(policy.initial_probe_timeout_ms, round_trip.timeouts)
                .min(policy.max_probe_timeout_ms),
        }
    }
}

impl RoundTrip {
    /// Whether sends have failed for so long that its average says no more.
    fn has_expired(&self, now: Millis, policy: &Policy) -> bool {
        self.failing_since
            .is_some_and(|since| now - since > policy.round_trip_expiry_ms)
    }
}
