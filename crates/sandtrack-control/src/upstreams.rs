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
    ends_at: Option<Millis>,
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
            ends_at: ends,
        }
    }

    /// As it is at this moment.
    fn entry_at(&self, now: Millis) -> UpstreamEntry {
        let left = |until: Millis| (until - now).max(0.0) as u32;
        UpstreamEntry {
            slow_start_remaining_ms: left(self.cold_until),
            time_left_ms: self.ends_at.map(left),
            ..self.entry.clone()
        }
    }

    fn is_equivalent(&self, other: &TrackedUpstream, now: Millis) -> bool {
        let same = |one: Millis, other: Millis| {
            (one - other).abs() < TIME_TOLERANCE_MS || one <= now && other <= now
        };
        let ends = match (self.ends_at, other.ends_at) {
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
        (entry.slots, entry.draining, self.ends_at.is_some()).hash(&mut sum);
        sum.finish()
    }
}

/// The upstreams by identifier, and the log of their changes.
#[derive(Clone, Debug)]
pub struct Upstreams {
    by_identifier: BTreeMap<String, TrackedUpstream>,
    /// Identifiers of the upstreams that changed, in the order of the changes.
    event_log: EventLog<String>,
    /// Number of the last poll; rises with each.
    last_poll: u64,
    /// Sum of the digests of all upstreams.
    digest_sum: u64,
}

impl Default for Upstreams {
    fn default() -> Upstreams {
        Upstreams {
            by_identifier: BTreeMap::new(),
            event_log: EventLog::new(MAX_EVENTS),
            last_poll: 0,
            digest_sum: 0,
        }
    }
}

impl Upstreams {
    /// The list shows an upstream; its remaining times count from `at`.
    pub fn set(&mut self, at: Millis, entry: UpstreamEntry) {
        let tracked = TrackedUpstream::new(entry, at);
        if !self
            .by_identifier
            .get(&tracked.entry.identifier)
            .is_some_and(|known| known.is_equivalent(&tracked, at))
        {
            self.event_log.append(tracked.entry.identifier.clone());
            self.digest_sum = self.digest_sum.wrapping_add(tracked.digest());
            let before = self
                .by_identifier
                .insert(tracked.entry.identifier.clone(), tracked);
            self.digest_sum = self
                .digest_sum
                .wrapping_sub(before.map_or(0, |before| before.digest()));
        }
    }

    /// The list no longer shows it.
    pub fn remove(&mut self, identifier: &str) {
        if let Some(before) = self.by_identifier.remove(identifier) {
            self.digest_sum = self.digest_sum.wrapping_sub(before.digest());
            self.event_log.append(identifier.to_owned());
        }
    }

    /// A poll is finished; its number is above `polls`.
    pub fn poll_finished(&mut self, last_poll: u64) {
        self.last_poll = self.last_poll.max(last_poll);
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
            .by_identifier
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

    /// The update for a receiver that is at `position` of the log; a complete one if it received nothing yet.
    pub fn update_since(&self, now: Millis, position: Option<u64>) -> EndpointUpdate {
        let Some(events) = position.and_then(|position| self.event_log.since(position)) else {
            let entries = self
                .by_identifier
                .values()
                .map(|tracked| tracked.entry_at(now))
                .collect();
            return EndpointUpdate {
                is_complete: true,
                poll: self.last_poll,
                entries,
                removed: Vec::new(),
            };
        };
        let mut update = EndpointUpdate {
            is_complete: false,
            poll: self.last_poll,
            entries: Vec::new(),
            removed: Vec::new(),
        };
        for identifier in events.collect::<BTreeSet<&String>>() {
            match self.by_identifier.get(identifier) {
                Some(tracked) => update.entries.push(tracked.entry_at(now)),
                None => update.removed.push(identifier.clone()),
            }
        }
        update
    }

    /// Number of the last poll that is known; 0: none yet.
    pub fn last_poll(&self) -> u64 {
        self.last_poll
    }

    /// What peers compare with theirs.
    pub fn digest(&self) -> Digest {
        Digest {
            count: self.by_identifier.len() as u32,
            sum: self.digest_sum,
        }
    }

    /// Identifiers of all of them.
    pub fn identifiers(&self) -> impl Iterator<Item = &str> {
        self.by_identifier.keys().map(String::as_str)
    }

    /// Whether an upstream is in the zone.
    pub fn has_upstream_in_zone(&self, zone: &str) -> bool {
        self.by_identifier
            .values()
            .any(|tracked| tracked.entry.zone == zone)
    }

    /// For each service: how many upstreams, and how many of them are draining.
    pub fn counts(&self) -> BTreeMap<&str, (usize, usize)> {
        let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for tracked in self.by_identifier.values() {
            let count = counts.entry(&tracked.entry.service).or_default();
            count.0 += 1;
            count.1 += usize::from(tracked.entry.draining);
        }
        counts
    }
}
