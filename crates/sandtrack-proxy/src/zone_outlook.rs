//! Which zones look lost as a whole: where several upstreams of a zone failed and none of it was heard since, the others are
//! taken for lost too, before each has cost a request. Pure; folded from probes and sends.
use std::collections::{BTreeSet, HashMap};

/// Upstreams of a zone that must fail, with none of it heard in between, before the zone counts as silent (ours): one alone
/// is more likely a fault of its own.
const FAILURES: usize = 2;

/// Upstreams that failed, by zone, since any upstream of the zone was heard last.
#[derive(Clone, Debug, Default)]
pub struct ZoneOutlook {
    failed: HashMap<String, BTreeSet<String>>,
}

impl ZoneOutlook {
    /// A probe or a send to this upstream failed. Whether its zone counts as silent from now on.
    pub fn failed(&mut self, zone: &str, identifier: &str) -> bool {
        let was_silent = self.is_silent(zone);
        self.failed.entry(zone.to_owned()).or_default().insert(identifier.to_owned());
        !was_silent && self.is_silent(zone)
    }

    /// An upstream of the zone was heard.
    pub fn heard(&mut self, zone: &str) {
        self.failed.remove(zone);
    }

    /// Whether the zone looks lost.
    #[must_use]
    pub fn is_silent(&self, zone: &str) -> bool {
        self.failed.get(zone).is_some_and(|failed| failed.len() >= FAILURES)
    }
}
