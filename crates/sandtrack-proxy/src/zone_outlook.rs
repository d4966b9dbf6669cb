//! Which zones look lost as a whole: where several upstreams of a zone failed of late and none of it was heard since, the
//! others are taken for lost too, before each has cost a request. Pure; folded from probes and sends.
use sandtrack_tiers::{Millis, GAP_MOST};
use std::collections::HashMap;

/// Upstreams of a zone that must fail, with none of it heard in between, before the zone counts as silent (ours): one alone
/// is more likely a fault of its own.
const FAILURES: usize = 2;
/// A failure counts for so long, in ms: one that is still listed has been probed again by then, one that is gone says no more.
const COUNTS_FOR: Millis = GAP_MOST;

/// When upstreams failed last, by zone and identifier, since any upstream of the zone was heard.
#[derive(Clone, Debug, Default)]
pub struct ZoneOutlook {
    failed: HashMap<String, HashMap<String, Millis>>,
}

impl ZoneOutlook {
    /// A probe or a send to this upstream failed. Whether its zone counts as silent from now on.
    pub fn failed(&mut self, now: Millis, zone: &str, identifier: &str) -> bool {
        let was_silent = self.is_silent(now, zone);
        let failed = self.failed.entry(zone.to_owned()).or_default();
        failed.retain(|_, at| now - *at <= COUNTS_FOR);
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
        let counts = |at: &&Millis| now - **at <= COUNTS_FOR;
        self.failed.get(zone).is_some_and(|failed| failed.values().filter(counts).count() >= FAILURES)
    }
}
