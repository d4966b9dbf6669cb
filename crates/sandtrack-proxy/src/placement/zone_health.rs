//! Which zones look lost as a whole: where several upstreams of a zone failed of late and none of it was heard since, the
//! others are taken for lost too, before each has cost a request. Pure; folded from probes and sends.
use crate::policy::Policy;
use sandtrack_tiers::Millis;
use std::collections::HashMap;

/// When upstreams failed last, by zone and identifier, since any upstream of the zone was heard.
#[derive(Clone, Debug)]
pub struct ZoneFailureDetector {
    failed: HashMap<String, HashMap<String, Millis>>,
    /// See [`Policy::zone_failure_threshold`] and [`Policy::zone_failure_window_ms`].
    failures: usize,
    counts_for: Millis,
}

impl Default for ZoneFailureDetector {
    fn default() -> ZoneFailureDetector {
        ZoneFailureDetector::new(&Policy::default())
    }
}

impl ZoneFailureDetector {
    /// One that has heard of no failure.
    #[must_use]
    pub fn new(policy: &Policy) -> ZoneFailureDetector {
        let (failures, counts_for) = (policy.zone_failure_threshold, policy.zone_failure_window_ms);
        ZoneFailureDetector {
            failed: HashMap::new(),
            failures,
            counts_for,
        }
    }

    /// A probe or a send to this upstream failed. Whether its zone counts as silent from now on.
    pub fn failed(&mut self, now: Millis, zone: &str, identifier: &str) -> bool {
        let was_silent = self.is_silent(now, zone);
        let failed = self.failed.entry(zone.to_owned()).or_default();
        failed.retain(|_, at| now - *at <= self.counts_for);
        failed.insert(identifier.to_owned(), now);
        !was_silent && self.is_silent(now, zone)
    }

    /// An upstream of the zone was heard.
    pub fn heard(&mut self, zone: &str) {
        self.failed.remove(zone);
    }

    /// Whether the zone looks lost.
    #[must_use]
    pub fn is_silent(&self, now: Millis, zone: &str) -> bool {
        let counts = |at: &&Millis| now - **at <= self.counts_for;
        self.failed
            .get(zone)
            .is_some_and(|failed| failed.values().filter(counts).count() >= self.failures)
    }
}
