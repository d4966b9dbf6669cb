//! The upstreams as the platform lists them, and the log of what changed, from which other control nodes and proxies are
//! updated.
use crate::event_log::EventLog;
pub use crate::peer_frames::EndpointUpdate;
use crate::peer_frames::{Digest, Fnv};
use crate::Millis;
use sandtrack_protocol::frames::UpstreamEntry;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// Most changes that the log keeps.
const MAX_EVENTS: usize = 4096;
/// Remaining times that differ by less than this, in ms, are taken for the same: they are reported at different ages.
const TIME_TOLERANCE_MS: Millis = 600.0;

/// An upstream, with its remaining times as points in time of the monotonic clock.
#[derive(Clone, Debug, PartialEq)]
struct TrackedUpstream {
    entry: UpstreamEntry,
    cold_until: Millis,
    ends: Option<Millis>,
}

impl TrackedUpstream {
    fn new(entry: UpstreamEntry, at: Millis) -> TrackedUpstream {
        let cold_until = at + f64::from(entry.slow_start_remaining_ms);
        let ends = entry.time_left_ms.map(|left| at + f64::from(left));
        TrackedUpstream {
            entry: UpstreamEntry {
                slow_start_remaining_ms: 0,
                time_left_ms: None,
                ..entry
            },
            cold_until,
            ends,
        }
    }

    /// As it is at this moment.
    fn now(&self, now: Millis) -> UpstreamEntry {
        let left = |until: Millis| (until - now).max(0.0) as u32;
        UpstreamEntry {
            slow_start_remaining_ms: left(self.cold_until),
            time_left_ms: self.ends.map(left),
            ..self.entry.clone()
        }
    }

    fn is_equivalent(&self, other: &TrackedUpstream, now: Millis) -> bool {
        let same = |one: Millis, other: Millis| {
            (one - other).abs() < TIME_TOLERANCE_MS || one <= now && other <= now
        };
        let ends = match (self.ends, other.ends) {
            (None, None) => true,
            (Some(one), Some(other)) => same(one, other),
            _ => false,
        };
        self.entry == other.entry && ends && same(self.cold_until, other.cold_until)
    }

    fn digest(&self) -> u64 {
        let mut sum = Fnv(0xcbf2_9ce4_8422_2325);
        let entry = &self.entry;
        (
            &entry.identifier,
            &entry.service,
            &entry.address,
            &entry.zone,
        )
            .hash(&mut sum);
        (entry.slots, entry.draining, self.ends.is_some()).hash(&mut sum);
        sum.finish()
    }
}

/// The upstreams by identifier, and the log of their changes.
#[derive(Clone, Debug)]
pub struct Upstreams {
    table: BTreeMap<String, TrackedUpstream>,
    /// Identifiers of the upstreams that changed, in the order of the changes.
    event_log: EventLog<String>,
    /// Number of the last poll; rises with each.
    polls: u64,
    /// Sum of the digests of all upstreams.
    sum: u64,
}

impl Default for Upstreams {
    fn default() -> Upstreams {
        Upstreams {
            table: BTreeMap::new(),
            event_log: EventLog::new(MAX_EVENTS),
            polls: 0,
            sum: 0,
        }
    }
}

impl Upstreams {
    /// The list shows an upstream; its remaining times count from `at`.
    pub fn set(&mut self, at: Millis, entry: UpstreamEntry) {
        let kept = TrackedUpstream::new(entry, at);
        if !self
            .table
            .get(&kept.entry.identifier)
            .is_some_and(|known| known.is_equivalent(&kept, at))
        {
            self.event_log.append(kept.entry.identifier.clone());
            self.sum = self.sum.wrapping_add(kept.digest());
            let before = self.table.insert(kept.entry.identifier.clone(), kept);
            self.sum = self
                .sum
                .wrapping_sub(before.map_or(0, |before| before.digest()));
        }
    }

    /// The list no longer shows it.
    pub fn remove(&mut self, identifier: &str) {
        if let Some(before) = self.table.remove(identifier) {
            self.sum = self.sum.wrapping_sub(before.digest());
            self.event_log.append(identifier.to_owned());
        }
    }

    /// A poll is finished; its number is above `polls`.
    pub fn poll_finished(&mut self, polls: u64) {
        self.polls = self.polls.max(polls);
    }

    /// Applies what another control node polled.
    pub fn apply(&mut self, now: Millis, update: EndpointUpdate) {
        if update.is_complete {
            self.remove_all_but(&update.entries);
        }
        update
            .removed
            .iter()
            .for_each(|identifier| self.remove(identifier));
        update
            .entries
            .into_iter()
            .for_each(|entry| self.set(now, entry));
        self.poll_finished(update.poll);
    }

    fn remove_all_but(&mut self, entries: &[UpstreamEntry]) {
        let listed: BTreeSet<&str> = entries
            .iter()
            .map(|entry| entry.identifier.as_str())
            .collect();
        let gone: Vec<String> = self
            .table
            .keys()
            .filter(|known| !listed.contains(known.as_str()))
            .cloned()
            .collect();
        gone.iter().for_each(|identifier| self.remove(identifier));
    }

    /// Position of the newest event.
    pub fn end(&self) -> u64 {
        self.event_log.end()
    }

    /// The update for a receiver that is at `place` of the log; a complete one if it received nothing yet.
    pub fn update_since(&self, now: Millis, place: Option<u64>) -> EndpointUpdate {
        let Some(events) = place.and_then(|place| self.event_log.since(place)) else {
            let entries = self.table.values().map(|kept| kept.now(now)).collect();
            return EndpointUpdate {
                is_complete: true,
                poll: self.polls,
                entries,
                removed: Vec::new(),
            };
        };
        let mut update = EndpointUpdate {
            is_complete: false,
            poll: self.polls,
            entries: Vec::new(),
            removed: Vec::new(),
        };
        for identifier in events.collect::<BTreeSet<&String>>() {
            match self.table.get(identifier) {
                Some(kept) => update.entries.push(kept.now(now)),
                None => update.removed.push(identifier.clone()),
            }
        }
        update
    }

    /// Number of the last poll that is known; 0: none yet.
    pub fn polls(&self) -> u64 {
        self.polls
    }

    /// What peers compare with theirs.
    pub fn digest(&self) -> Digest {
        Digest {
            count: self.table.len() as u32,
            sum: self.sum,
        }
    }

    /// Identifiers of all of them.
    pub fn identifiers(&self) -> impl Iterator<Item = &str> {
        self.table.keys().map(String::as_str)
    }

    /// Whether an upstream is in the zone.
    pub fn knows_zone(&self, zone: &str) -> bool {
        self.table.values().any(|kept| kept.entry.zone == zone)
    }

    /// For each service: how many upstreams, and how many of them are draining.
    pub fn counts(&self) -> BTreeMap<&str, (usize, usize)> {
        let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for kept in self.table.values() {
            let count = counts.entry(&kept.entry.service).or_default();
            count.0 += 1;
            count.1 += usize::from(kept.entry.draining);
        }
        counts
    }
}
