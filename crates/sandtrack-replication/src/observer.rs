//! Processes outside the chain get committed entries from one of its members; each picks one, which spreads the load.
//! What is committed stays committed in every later epoch.
use std::cmp::Ordering;
use std::collections::BTreeMap;

use borsh::BorshSerialize;

use crate::chain::SLOWEST_LINK_BYTES_PER_MS;
use crate::log_sync::MAX_BATCH_BYTES;
use crate::message::{Body, DiskHealth, Entry, Status};
use crate::peers::ObserverProgress;
use crate::{Address, Effect, Member, Replica, StateMachine};

/// Bytes that may be in flight to an observer when more is sent.
const MAX_IN_FLIGHT_BYTES: usize = MAX_BATCH_BYTES;
/// An observer reports its progress after so many bytes, also before its next heartbeat.
const REPORT_AFTER_BYTES: usize = MAX_BATCH_BYTES / 4;
/// Entries that an observer buffers while an earlier one is missing.
const MAX_OUT_OF_ORDER_ENTRIES: usize = 256;

/// The receiving side of an observer.
#[derive(Clone, Debug, Default, BorshSerialize)]
pub(crate) struct ObserverState {
    /// Bytes applied since it last reported its progress.
    unreported_bytes: usize,
    /// Committed entries that came before one in front of them, by their numbers.
    out_of_order: BTreeMap<u64, Entry>,
}

impl ObserverState {
    /// Keeps an entry that is not the next one, as long as there are few.
    fn buffer_out_of_order(&mut self, entry: Entry) {
        if self.out_of_order.len() < MAX_OUT_OF_ORDER_ENTRIES && entry.size() <= MAX_BATCH_BYTES {
            self.out_of_order.insert(entry.position.number, entry);
        }
    }
}

impl<M: StateMachine> Replica<M> {
    /// Picks the replication source: a member of the chain that was heard recently, or else any process that has applied more.
    pub(crate) fn choose_replication_source(&mut self) {
        let live_peers = self
            .peers
            .heard_within(self.now, self.settings.timings.failure_timeout * 2.0);
        if self.is_in_chain() {
            self.source = None;
            return;
        }
        let chain = &self.latest_view.chain;
        let is_usable = |address: &Address| {
            live_peers.contains(address) && chain.iter().any(|member| member.address == *address)
        };
        if self.source.as_ref().is_some_and(is_usable) {
            return;
        }
        let sum: usize = self.me.address.bytes().map(usize::from).sum();
        let rotated = (0..chain.len()).map(|step| &chain[(sum + step) % chain.len()].address);
        let is_ahead = |address: &&Address| {
            let status = self
                .peers
                .all
                .get(*address)
                .and_then(|peer| peer.status.as_ref());
            status.is_some_and(|status| status.applied > self.applied.position.number)
        };
        let source = rotated
            .into_iter()
            .find(|address| is_usable(address))
            .or_else(|| live_peers.iter().find(is_ahead));
        self.source = source.cloned();
    }

    /// Sends an observer the entries that it lacks, if this process is its source.
    pub(crate) fn send_committed_entries(
        &mut self,
        to: &Address,
        status: &Status,
        effects: &mut Vec<Effect>,
    ) {
        let last = self.applied.position.number;
        if status.source.as_ref() != Some(&self.me.address) || status.applied >= last {
            return;
        }
        let Some(peer) = self.peers.all.get_mut(to) else {
            return;
        };
        let has_progressed = status.applied > peer.observer_progress.applied;
        if has_progressed || peer.observer_progress.sent <= status.applied {
            peer.observer_progress = ObserverProgress {
                applied: status.applied,
                since: self.now,
                ..peer.observer_progress
            };
        }
        let observer_progress = peer.observer_progress;
        // What is sent meanwhile does not count: while changes keep coming, a gap before them would never be filled.
        let in_flight_bytes = self
            .durable
            .bytes_between(status.applied, observer_progress.sent);
        let timeout = self.settings.timings.retry_interval * 2.0
            + in_flight_bytes as f64 / SLOWEST_LINK_BYTES_PER_MS;
        let is_lost = self.now - observer_progress.since > timeout;
        let after = if is_lost {
            status.applied
        } else {
            observer_progress.sent.max(status.applied)
        };
        if after >= last {
            return;
        }
        let follows = after >= self.durable.log_start.number
            && self.durable.position_of(last) == Some(self.applied.position);
        if !follows {
            return self.offer_snapshot(to, effects);
        }
        // More is sent once the observer reports some of what is in flight.
        if after > status.applied && in_flight_bytes > MAX_IN_FLIGHT_BYTES {
            return;
        }
        let entries = self.durable.batch(after, last, MAX_BATCH_BYTES);
        let sent = entries.last().map_or(after, |entry| entry.position.number);
        peer.observer_progress.sent = sent;
        if is_lost {
            peer.observer_progress.since = self.now;
        }
        self.send(
            to,
            Body::CommittedEntries {
                entries,
                more: sent < last,
            },
            effects,
        );
    }

    /// Sends newly committed entries to all observers whose source is this process.
    pub(crate) fn update_observers(&mut self, effects: &mut Vec<Effect>) {
        let timeout = self.settings.timings.failure_timeout * 3.0;
        let observers: Vec<(Address, Status)> = self
            .peers
            .all
            .iter()
            .filter(|(_, peer)| self.now - peer.last_heard <= timeout)
            .filter_map(|(address, peer)| Some((address.clone(), peer.status.clone()?)))
            .filter(|(_, status)| status.source.as_ref() == Some(&self.me.address))
            .collect();
        for (address, status) in observers {
            self.send_committed_entries(&address, &status, effects);
        }
    }

    /// Takes committed entries in.
    pub(crate) fn handle_committed_entries(
        &mut self,
        sender: &Member,
        entries: Vec<Entry>,
        more: bool,
        effects: &mut Vec<Effect>,
    ) {
        for entry in entries {
            match entry
                .position
                .number
                .cmp(&(self.applied.position.number + 1))
            {
                Ordering::Less => {}
                Ordering::Equal => self.apply_committed(&entry, effects),
                Ordering::Greater => self.observer.buffer_out_of_order(entry),
            }
        }
        self.observer
            .out_of_order
            .retain(|number, _| *number > self.applied.position.number);
        if self.observer.unreported_bytes > REPORT_AFTER_BYTES
            || more && self.observer.unreported_bytes > 0
        {
            self.observer.unreported_bytes = 0;
            self.send_status(&sender.address, effects);
        }
    }

    /// Applies the next committed entry, and those that came before it.
    fn apply_committed(&mut self, entry: &Entry, effects: &mut Vec<Effect>) {
        self.observer.unreported_bytes += entry.size();
        self.apply(entry, effects);
        while let Some(next) = self
            .observer
            .out_of_order
            .remove(&(self.applied.position.number + 1))
        {
            self.observer.unreported_bytes += next.size();
            self.apply(&next, effects);
        }
    }

    /// Whether a process with a disk that is not in sync lacks only what the log holds: if the log were compacted, it would
    /// have to fetch the whole state.
    pub(crate) fn is_log_needed_by_peer(&self) -> bool {
        let retained = self.durable.log_start.number..self.applied.position.number;
        let live_peers = self
            .peers
            .all
            .values()
            .filter(|peer| self.now - peer.last_heard <= self.settings.timings.failure_timeout);
        let mut statuses = live_peers.filter_map(|peer| peer.status.as_ref());
        statuses.any(|status| {
            let may_join = status.disk != DiskHealth::Absent
                && status.in_sync_epoch != self.durable.view.epoch;
            may_join && retained.contains(&status.applied)
        })
    }

    /// Outside the chain, and lacking more than the log of the source holds: the chain would have to wait for a
    /// snapshot to be fetched if it took this process in now.
    pub(crate) fn needs_snapshot_from_source(&self) -> bool {
        let Some(source) = self
            .source
            .as_ref()
            .filter(|_| !self.latest_view.chain.contains(&self.me))
        else {
            return false;
        };
        let status = self
            .peers
            .all
            .get(source)
            .and_then(|peer| peer.status.as_ref());
        status.is_none_or(|status| status.log_start > self.applied.position.number)
            || self.snapshot_transfers.is_fetching()
    }
}
