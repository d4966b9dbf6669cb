//! Round trips to each region, learned from connections and probes, and the time-outs that follow from them. Pure.
//!
//! A way that was never measured can't bound the time to measure it: its time-out doubles with each failure, as TCP's
//! retransmission timer does (RFC 6298, 5.5), until something is heard. Once it is known, a loss is told soon after one
//! round trip. Where nothing was heard for [`Policy::round_trip_expiry_ms`] while sends failed, probes treat the way as unknown
//! again: it may have become longer.
use crate::policy::{exponential_backoff, Policy};
use sandtrack_tiers::{Millis, Smoothed};
use std::collections::HashMap;

/// What is known of the way to one region.
#[derive(Clone, Copy, Debug, Default)]
struct Trip {
    average: Smoothed,
    /// Time-outs since it was measured last.
    timeouts: u32,
    /// When the first of them was.
    failing_since: Option<Millis>,
}

/// The ways to all regions.
#[derive(Clone, Debug, Default)]
pub struct RegionRoundTrips {
    trips: HashMap<String, Trip>,
}

impl RegionRoundTrips {
    /// A way there and back took `elapsed` ms.
    pub fn sample(&mut self, now: Millis, region: &str, elapsed: Millis, policy: &Policy) {
        let trip = self.trips.entry(region.to_owned()).or_default();
        if trip.is_forgotten(now, policy) {
            trip.average = Smoothed::default();
        }
        trip.average.sample(elapsed);
        trip.timeouts = 0;
        trip.failing_since = None;
    }

    /// A connection did not come up, or a probe was not answered, in its time.
    pub fn timed_out(&mut self, now: Millis, region: &str) {
        let trip = self.trips.entry(region.to_owned()).or_default();
        trip.timeouts = trip.timeouts.saturating_add(1);
        trip.failing_since.get_or_insert(now);
    }

    /// The smoothed round trip in ms; `None` before the first measurement.
    #[must_use]
    pub fn get(&self, region: &str) -> Option<Millis> {
        self.trips.get(region)?.average.get()
    }

    /// How long a request waits for a connection to this region, in ms; `aim`: the latency objective of its route.
    #[must_use]
    pub fn connect_timeout(&self, region: &str, aim: Millis, policy: &Policy) -> Millis {
        let least = policy.connect_timeout_ms;
        let trip = self.trips.get(region).copied().unwrap_or_default();
        match trip.average.get() {
            Some(average) => least + 2.0 * average,
            None => exponential_backoff(least, trip.timeouts).min(aim.max(least)),
        }
    }

    /// How long a probe waits for its answer, the connection included, in ms; `average`: the upstream's own probe time.
    #[must_use]
    pub fn probe_timeout(
        &self,
        now: Millis,
        region: &str,
        average: Option<Millis>,
        policy: &Policy,
    ) -> Millis {
        let trip = self.trips.get(region).copied().unwrap_or_default();
        let known = average
            .or(trip.average.get())
            .filter(|_| !trip.is_forgotten(now, policy));
        match known {
            Some(average) => policy.probe_timeout_ms + 3.0 * average,
            None => exponential_backoff(policy.initial_probe_timeout_ms, trip.timeouts)
                .min(policy.max_probe_timeout_ms),
        }
    }
}

impl Trip {
    fn is_forgotten(&self, now: Millis, policy: &Policy) -> bool {
        self.failing_since
            .is_some_and(|since| now - since > policy.round_trip_expiry_ms)
    }
}
