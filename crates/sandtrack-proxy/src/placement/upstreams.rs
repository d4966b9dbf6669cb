//! What a proxy knows of each upstream: what the list says, what its own probes and sends taught. Pure; folded from what
//! came, owned by the balancer.
use crate::hashing::hash_name;
use crate::placement::budget::Window;
use sandtrack_protocol::frames::UpstreamEntry;
use sandtrack_tiers::{ConsecutiveFailures, Member, Membership, Millis, Smoothed};
use std::collections::HashMap;

/// `Server-ServerLoad`: running and waiting requests and slots, of all callers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    pub running: f64,
    pub waiting: f64,
    pub slots: f64,
}

impl ServerLoad {
    /// Reads the header's value.
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

#[derive(Clone, Debug)]
pub struct Upstream {
    pub entry: UpstreamEntry,
    pub region: String,
    /// The same at every proxy.
    pub hash: u64,
    pub listed: bool,
    pub slow_start_until: Millis,
    /// When it is taken away, where that was told.
    pub terminates_at: Option<Millis>,
    pub average: Smoothed,
    pub run: ConsecutiveFailures,
    pub membership: Membership,
    /// This proxy's requests at it.
    pub own: usize,
    /// ServerLoad of others as told, and when.
    pub others: f64,
    pub load_reported_at: Millis,
    /// It turned a request away, or failed at once: not before this time again.
    pub backoff_until: Millis,
    pub slow_start_sends: Window,
    /// When bytes of an answer to this proxy came last.
    pub last_seen_at: Millis,
    /// Probes that failed in a row.
    pub failed_probes: u32,
    pub next_probe: Millis,
    pub probing: bool,
}

impl Upstream {
    pub fn new(entry: UpstreamEntry, region: String, now: Millis) -> Upstream {
        let hash = hash_name(&entry.identifier);
        let mut upstream = Upstream {
            entry: UpstreamEntry::default(),
            region,
            hash,
            listed: true,
            slow_start_until: 0.0,
            terminates_at: None,
            average: Smoothed::default(),
            run: ConsecutiveFailures::default(),
            membership: Membership::default(),
            own: 0,
            others: 0.0,
            load_reported_at: now,
            backoff_until: 0.0,
            slow_start_sends: Window::default(),
            last_seen_at: f64::NEG_INFINITY,
            failed_probes: 0,
            next_probe: now,
            probing: false,
        };
        upstream.list(entry, now);
        upstream
    }

    /// The list shows it so.
    pub fn list(&mut self, entry: UpstreamEntry, now: Millis) {
        self.listed = true;
        self.cold(f64::from(entry.cold_remaining_ms), now);
        self.terminates_at = entry
            .time_left_ms
            .map(|left| now + f64::from(left))
            .or(self.terminates_at);
        self.entry = entry;
    }

    /// It is cold for so much longer, in ms.
    pub fn cold(&mut self, remaining: Millis, now: Millis) {
        self.slow_start_until = self.slow_start_until.max(now + remaining);
    }

    pub fn is_in_slow_start(&self, now: Millis) -> bool {
        now < self.slow_start_until
    }

    /// Requests at it, as far as is known: own ones, and what is left of the load that it told of; of that a third is left
    /// after `memory` ms.
    pub fn load(&self, now: Millis, memory: Millis) -> f64 {
        self.own as f64 + self.others * (-(now - self.load_reported_at) / memory).exp()
    }

    pub fn slots(&self) -> f64 {
        f64::from(self.entry.slots.max(1))
    }

    /// It told its load, which includes this proxy's own requests.
    pub fn told(&mut self, load: ServerLoad, now: Millis) {
        self.others = (load.running + load.waiting - self.own as f64).max(0.0);
        self.load_reported_at = now;
    }
}

impl Member for Upstream {
    fn average(&self) -> Option<Millis> {
        self.average.get()
    }

    fn membership(&mut self) -> &mut Membership {
        &mut self.membership
    }
}

/// All upstreams that are listed or that something of this proxy is still at. Places never move.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    all: Vec<Upstream>,
    by_identifier: HashMap<String, usize>,
    free: Vec<usize>,
}

impl UpstreamTable {
    pub fn index_of(&self, identifier: &str) -> Option<usize> {
        self.by_identifier.get(identifier).copied()
    }

    pub fn listed(&self) -> impl Iterator<Item = usize> + '_ {
        self.by_identifier
            .values()
            .copied()
            .filter(|place| self.all[*place].listed)
    }

    pub fn get(&self, place: usize) -> &Upstream {
        &self.all[place]
    }

    pub fn get_mut(&mut self, place: usize) -> &mut Upstream {
        &mut self.all[place]
    }

    pub fn all_mut(&mut self) -> &mut Vec<Upstream> {
        &mut self.all
    }

    pub fn list(&mut self, entry: UpstreamEntry, region: &str, now: Millis) {
        match self.index_of(&entry.identifier) {
            Some(place) => self.all[place].list(entry, now),
            None => {
                let identifier = entry.identifier.clone();
                let upstream = Upstream::new(entry, region.to_owned(), now);
                let place = match self.free.pop() {
                    Some(place) => {
                        self.all[place] = upstream;
                        place
                    }
                    None => {
                        self.all.push(upstream);
                        self.all.len() - 1
                    }
                };
                self.by_identifier.insert(identifier, place);
            }
        }
    }

    /// The list no longer has it.
    pub fn remove(&mut self, identifier: &str) {
        if let Some(place) = self.index_of(identifier) {
            self.all[place].listed = false;
        }
        self.sweep();
    }

    /// Forgets what is gone and has nothing of this proxy's left.
    pub fn sweep(&mut self) {
        let (all, free) = (&self.all, &mut self.free);
        self.by_identifier.retain(|_, place| {
            let keep = all[*place].listed || all[*place].own > 0 || all[*place].probing;
            if !keep {
                free.push(*place);
            }
            keep
        });
    }
}
