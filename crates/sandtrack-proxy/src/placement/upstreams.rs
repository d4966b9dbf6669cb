//! What a proxy knows of each upstream: its entry in the control plane's list, and the results of this proxy's own health
//! checks and sends.
use crate::hashing::hash_name;
use crate::placement::budget::SlidingWindow;
use sandtrack_protocol::frames::UpstreamEntry;
use sandtrack_tiers::{ConsecutiveFailures, Member, Millis, SmoothedLatency, TierMembership};
use std::collections::HashMap;

/// An upstream's load over all callers, as its `Server-Load` header gives it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Requests that it executes.
    pub running: f64,
    /// Requests in its queue.
    pub waiting: f64,
    /// Requests that it executes at the same time at most.
    pub slots: f64,
}

impl ServerLoad {
    /// Parses the header's value, `RUNNING,WAITING,SLOTS`; `None` where it is malformed.
    pub fn parse(value: &str) -> Option<ServerLoad> {
        let mut numbers = value
            .split(',')
            .map(|number| number.trim().parse::<f64>().ok());
        Some(ServerLoad {
            running: numbers.next()??,
            waiting: numbers.next()??,
            slots: numbers.next()??,
        })
    }
}

/// One upstream, as this proxy knows it. Times are on the proxy's clock, in ms.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its entry in the list.
    pub entry: UpstreamEntry,
    /// Its region; empty where the settings do not know its zone.
    pub region: String,
    /// Hash of its identifier, the same at all proxies.
    pub name_hash: u64,
    /// Whether the list still has it.
    pub listed: bool,
    /// End of its slow start.
    pub slow_start_until: Millis,
    /// When its machine is taken away, where that was announced.
    pub terminates_at: Option<Millis>,
    /// SmoothedLatency time of its probes.
    pub probe_time: SmoothedLatency,
    /// Failures since it last succeeded.
    pub failures: ConsecutiveFailures,
    /// The latency tier that it is in.
    pub tier: TierMembership,
    /// This proxy's requests in flight at it.
    pub in_flight: usize,
    /// Requests of other callers at it, when it last reported its load.
    pub other_load: f64,
    /// When it last reported its load.
    pub load_reported_at: Millis,
    /// It rejected a request, or failed at once: nothing is sent to it before this time.
    pub backoff_until: Millis,
    /// Sends of this proxy during its slow start.
    pub slow_start_sends: SlidingWindow,
    /// When this proxy last received bytes from it; negative infinity before that.
    pub last_seen_at: Millis,
    /// Probes that failed in a row.
    pub failed_probes: u32,
    /// When it is probed next.
    pub next_probe: Millis,
    /// Whether a probe is under way.
    pub probing: bool,
}

impl Upstream {
    /// An upstream that was listed just now and of which nothing else is known.
    pub fn new(entry: UpstreamEntry, region: String, now: Millis) -> Upstream {
        let name_hash = hash_name(&entry.identifier);
        let mut upstream = Upstream {
            entry: UpstreamEntry::default(),
            region,
            name_hash,
            listed: true,
            slow_start_until: 0.0,
            terminates_at: None,
            probe_time: SmoothedLatency::default(),
            failures: ConsecutiveFailures::default(),
            tier: TierMembership::default(),
            in_flight: 0,
            other_load: 0.0,
            load_reported_at: now,
            backoff_until: 0.0,
            slow_start_sends: SlidingWindow::default(),
            last_seen_at: f64::NEG_INFINITY,
            failed_probes: 0,
            next_probe: now,
            probing: false,
        };
        upstream.update(entry, now);
        upstream
    }

    /// Takes over its entry in the list.
    pub fn update(&mut self, entry: UpstreamEntry, now: Millis) {
        self.listed = true;
        self.extend_slow_start(f64::from(entry.slow_start_remaining_ms), now);
        self.terminates_at = entry
            .time_left_ms
            .map(|left| now + f64::from(left))
            .or(self.terminates_at);
        self.entry = entry;
    }

    /// Its slow start goes on for `remaining` ms at least.
    pub fn extend_slow_start(&mut self, remaining: Millis, now: Millis) {
        self.slow_start_until = self.slow_start_until.max(now + remaining);
    }

    /// Whether it is warming up, so that each proxy sends it only a quota of requests.
    pub fn is_in_slow_start(&self, now: Millis) -> bool {
        now < self.slow_start_until
    }

    /// Estimated number of requests at it: those of this proxy, and what is left of the reported load of others, which decays
    /// with the time constant `decay` (ms).
    pub fn load(&self, now: Millis, decay: Millis) -> f64 {
        self.in_flight as f64 + self.other_load * (-(now - self.load_reported_at) / decay).exp()
    }

    /// Requests that it executes at the same time at most.
    pub fn slots(&self) -> f64 {
        f64::from(self.entry.slots.max(1))
    }

    /// It reported its load, which includes this proxy's own requests.
    pub fn report_load(&mut self, load: ServerLoad, now: Millis) {
        self.other_load = (load.running + load.waiting - self.in_flight as f64).max(0.0);
        self.load_reported_at = now;
    }
}

impl Member for Upstream {
    fn latency(&self) -> Option<Millis> {
        self.probe_time.get()
    }

    fn tier_membership(&mut self) -> &mut TierMembership {
        &mut self.tier
    }
}

/// The upstreams that are listed, or at which a request or a probe of this proxy still is. An upstream keeps its index until
/// it is swept; then the index is used again.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    all: Vec<Upstream>,
    by_identifier: HashMap<String, usize>,
    free: Vec<usize>,
}

impl UpstreamTable {
    /// Index of the upstream with this identifier.
    pub fn index_of(&self, identifier: &str) -> Option<usize> {
        self.by_identifier.get(identifier).copied()
    }

    /// Indices of the listed upstreams, in no order.
    pub fn listed(&self) -> impl Iterator<Item = usize> + '_ {
        self.by_identifier
            .values()
            .copied()
            .filter(|index| self.all[*index].listed)
    }

    /// The upstream at an index that the table gave.
    ///
    /// # Panics
    /// Where the index is out of range.
    pub fn get(&self, index: usize) -> &Upstream {
        &self.all[index]
    }

    /// The upstream at an index that the table gave.
    ///
    /// # Panics
    /// Where the index is out of range.
    pub fn get_mut(&mut self, index: usize) -> &mut Upstream {
        &mut self.all[index]
    }

    /// All upstreams by index, unused entries included.
    pub fn all_mut(&mut self) -> &mut Vec<Upstream> {
        &mut self.all
    }

    /// Adds an upstream of the list, or updates it.
    pub fn insert(&mut self, entry: UpstreamEntry, region: &str, now: Millis) {
        if let Some(index) = self.index_of(&entry.identifier) {
            self.all[index].update(entry, now);
            return;
        }
        let identifier = entry.identifier.clone();
        let upstream = Upstream::new(entry, region.to_owned(), now);
        let index = match self.free.pop() {
            Some(index) => {
                self.all[index] = upstream;
                index
            }
            None => {
                self.all.push(upstream);
                self.all.len() - 1
            }
        };
        self.by_identifier.insert(identifier, index);
    }

    /// The list no longer has this upstream.
    pub fn remove(&mut self, identifier: &str) {
        if let Some(index) = self.index_of(identifier) {
            self.all[index].listed = false;
        }
        self.sweep();
    }

    /// Frees the entries of upstreams that are not listed and at which nothing of this proxy is left.
    pub fn sweep(&mut self) {
        let (all, free) = (&self.all, &mut self.free);
        self.by_identifier.retain(|_, index| {
            let upstream = &all[*index];
            let keep = upstream.listed || upstream.in_flight > 0 || upstream.probing;
            if !keep {
                free.push(*index);
            }
            keep
        });
    }
}
