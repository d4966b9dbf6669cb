//! Failure detection for whole zones: where several upstreams of a zone failed lately and none was seen since, the others are
//! taken for failed too, before each of them has cost a request.
use crate::policy::Policy;
use sandtrack_tiers::Millis;
use std::collections::HashMap;

/// Failures of upstreams by zone.
#[derive(Clone, Debug)]
pub struct ZoneFailureDetector {
    /// When each upstream last failed, by zone and identifier, since any upstream of the zone was seen.
    failed_at: HashMap<String, HashMap<String, Millis>>,
    /// [`Policy::zone_failure_threshold`].
    threshold: usize,
    /// [`Policy::zone_failure_window_ms`].
    window: Millis,
}

impl Default for ZoneFailureDetector {
    fn default() -> ZoneFailureDetector {
        ZoneFailureDetector::new(&Policy::default())
    }
}

impl ZoneFailureDetector {
    /// A detector without any failure.
    #[must_use]
    pub fn new(policy: &Policy) -> ZoneFailureDetector {
        ZoneFailureDetector {
            failed_at: HashMap::new(),
            threshold: policy.zone_failure_threshold,
            window: policy.zone_failure_window_ms,
        }
    }

    /// A probe of this upstream or a send to it failed. Returns whether its zone counts as failed from now on, and did not
    /// before.
    pub fn upstream_failed(&mut self, now: Millis, zone: &str, identifier: &str) -> bool {
        let had_failed = self.has_failed(now, zone);
        let window = self.window;
        let failed_at = self.failed_at.entry(zone.to_owned()).or_default();
        failed_at.retain(|_, at| now - *at <= window);
        failed_at.insert(identifier.to_owned(), now);
        !had_failed && self.has_failed(now, zone)
    }

    /// Bytes arrived from an upstream of the zone.
    pub fn upstream_seen(&mut self, zone: &str) {
        self.failed_at.remove(zone);
    }

    /// Whether the zone counts as failed.
    #[must_use]
    pub fn has_failed(&self, now: Millis, zone: &str) -> bool {
        let is_recent = |at: &&Millis| now - **at <= self.window;
        self.failed_at
            .get(zone)
            .is_some_and(|failed_at| failed_at.values().filter(is_recent).count() >= self.threshold)
    }
}
