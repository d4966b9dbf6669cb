//! Chain replication: entries travel from the head to the tail. Each member forwards only what is on its own disk, so each
//! log is a prefix of its predecessor's. What the tail has on its disk is on all disks, and so committed. Acknowledgements
//! travel back up, and the head answers the callers.
use std::collections::BTreeMap;

use borsh::BorshSerialize;
use sandtrack_invariants::{check, Invariant};

use crate::durable_state::WalRecord;
use crate::log_sync::MAX_BATCH_BYTES;
use crate::message::{Body, Entry, Status};
use crate::{Effect, Member, Replica, StateMachine};

/// Bytes that may be forwarded and unacknowledged when more is forwarded.
const MAX_UNACKNOWLEDGED_BYTES: usize = 4 * MAX_BATCH_BYTES;
/// Bytes per millisecond of the slowest link: forwarded entries count as lost only after their transmission time on it.
pub(crate) const SLOWEST_LINK_BYTES_PER_MS: f64 = 600.0;

/// What a member knows of the chain in the epoch of the view on its disk. Lost at a restart, and found again
/// by the statuses of the neighbours.
#[derive(Clone, Debug, Default, BorshSerialize)]
pub(crate) struct ChainState {
    /// Committed, as confirmed in this epoch and since the start of this process.
    pub(crate) confirmed: u64,
    /// The end of the log as this part of the epoch began: all that may have been acknowledged before.
    pub(crate) initial_end: u64,
    /// The end of the successor's log, once it is known to be in sync.
    successor_end: Option<u64>,
    /// Up to where the successor was sent entries.
    sent: u64,
    /// Since when the successor has not acknowledged any more of them. Entries that are sent meanwhile don't count:
    /// while they keep coming, a gap before them would never be filled.
    unacknowledged_since: f64,
    /// Entries from the predecessor that are not on the disk yet, by their numbers. Those behind a gap wait for it to be
    /// filled: in one epoch the predecessor's log only grows.
    unwritten: BTreeMap<u64, Entry>,
    /// The last acknowledgement sent to the predecessor.
    last_ack: Option<(u64, u64)>,
}

impl ChainState {
    pub(crate) fn new(initial_end: u64) -> Self {
        Self {
            initial_end,
            ..Self::default()
        }
    }
}

impl<M: StateMachine> Replica<M> {
    pub(crate) fn handle_forward(&mut self, sender: &Member, entries: Vec<Entry>) {
        if !self.is_in_sync() || self.durable.view.predecessor(&self.me) != Some(sender) {
            return;
        }
        let end = self.durable.last_position().number;
        let new = entries
            .into_iter()
            .filter(|entry| entry.position.number > end);
        self.chain
            .unwritten
            .extend(new.map(|entry| (entry.position.number, entry)));
    }

    /// Appends received entries, as far as they continue the log without a gap.
    pub(crate) fn append_forwarded(&mut self, records: &mut Vec<WalRecord>) {
        let end = self.durable.last_position().number;
        self.chain.unwritten.retain(|number, _| *number > end);
        if !self.is_in_sync() {
            self.chain.unwritten.clear();
            return;
        }
        let committed = self.committed_in_log();
        let mut next = end + 1;
        while let Some(entry) = self.chain.unwritten.remove(&next) {
            records.push(WalRecord::Entry { entry, committed });
            next += 1;
        }
    }

    pub(crate) fn handle_ack(
        &mut self,
        sender: &Member,
        durable_end: u64,
        committed: u64,
        effects: &mut Vec<Effect>,
    ) {
        if !self.is_in_sync() || self.durable.view.successor(&self.me) != Some(sender) {
            return;
        }
        let acknowledged = self.chain.successor_end.unwrap_or(0);
        if self.chain.successor_end.is_none() {
            self.chain.sent = durable_end;
        }
        if durable_end > acknowledged {
            self.chain.unacknowledged_since = self.now;
        }
        self.chain.successor_end = Some(acknowledged.max(durable_end));
        self.advance_commit(committed, effects);
        self.advance_chain(effects);
    }

    /// A status of the successor says as much as an acknowledgement, once it is in sync.
    pub(crate) fn on_successor_status(
        &mut self,
        sender: &Member,
        status: &Status,
        effects: &mut Vec<Effect>,
    ) {
        if status.in_sync_epoch == self.durable.view.epoch {
            self.handle_ack(sender, status.durable_end, status.confirmed, effects);
        }
    }

    /// After the log on the disk, or what the successor has of it, moved.
    pub(crate) fn advance_chain(&mut self, effects: &mut Vec<Effect>) {
        if !self.is_in_sync() {
            return;
        }
        let end = self.durable.last_position().number;
        let Some(successor) = self.durable.view.successor(&self.me).cloned() else {
            let settings = &self.settings;
            if self.durable.view.may_commit(
                settings.tolerated_machine_losses,
                settings.tolerated_zone_losses,
            ) {
                self.advance_commit(end, effects);
            }
            self.ack(effects);
            return;
        };
        if self
            .chain
            .successor_end
            .is_some_and(|acknowledged| acknowledged >= self.chain.sent)
        {
            self.chain.unacknowledged_since = self.now;
        }
        while self.chain.sent < end
            && self
                .unacknowledged()
                .is_some_and(|bytes| bytes < MAX_UNACKNOWLEDGED_BYTES)
        {
            if !self.forward_batch(&successor, effects) {
                return;
            }
        }
    }

    /// Bytes that were forwarded and not acknowledged; `None` before the successor is known to be in sync.
    fn unacknowledged(&self) -> Option<usize> {
        Some(
            self.durable
                .bytes_between(self.chain.successor_end?, self.chain.sent),
        )
    }

    /// Passes the next batch; false when the log has none.
    fn forward_batch(&mut self, successor: &Member, effects: &mut Vec<Effect>) -> bool {
        let after = self.chain.sent;
        if after < self.durable.log_start.number {
            // The successor holds less than the log does: it has to be synchronised again.
            return false;
        }
        let entries =
            self.durable
                .batch(after, self.durable.last_position().number, MAX_BATCH_BYTES);
        let Some(last) = entries.last().map(|entry| entry.position.number) else {
            return false;
        };
        self.chain.sent = last;
        self.send(&successor.address, Body::Forward { entries }, effects);
        true
    }

    /// Takes note that all up to `number` is committed.
    fn advance_commit(&mut self, number: u64, effects: &mut Vec<Effect>) {
        let end = self.durable.last_position().number;
        check(Invariant::CommittedIsDurable, number <= end, || {
            format!("{number} of a log up to {end}")
        });
        let number = number.min(end);
        if number <= self.chain.confirmed {
            return;
        }
        self.chain.confirmed = number;
        self.apply_up_to(number, effects);
        self.ack(effects);
        self.answer_committed_calls(effects);
        self.update_observers(effects);
    }

    /// Applies what the log on the disk holds, up to a committed number.
    pub(crate) fn apply_up_to(&mut self, number: u64, effects: &mut Vec<Effect>) {
        while self.applied.position.number < number {
            let Some(entry) = self
                .durable
                .entry(self.applied.position.number + 1)
                .cloned()
            else {
                return;
            };
            self.apply(&entry, effects);
        }
    }

    pub(crate) fn apply(&mut self, entry: &Entry, effects: &mut Vec<Effect>) {
        let outcome = self.applied.apply(entry);
        let (number, command) = (entry.position.number, entry.command.clone());
        effects.push(Effect::Applied {
            number,
            command,
            outcome,
        });
    }

    /// Tells the predecessor, when there is something new.
    pub(crate) fn ack(&mut self, effects: &mut Vec<Effect>) {
        let latest = (self.durable.last_position().number, self.chain.confirmed);
        let Some(predecessor) = self.durable.view.predecessor(&self.me).cloned() else {
            return;
        };
        if self.is_in_sync() && self.chain.last_ack != Some(latest) {
            self.chain.last_ack = Some(latest);
            let body = Body::Ack {
                durable_end: latest.0,
                committed: latest.1,
            };
            self.send(&predecessor.address, body, effects);
        }
    }

    /// Passes again what the successor doesn't seem to have got.
    pub(crate) fn retransmit_unacknowledged(&mut self, effects: &mut Vec<Effect>) {
        let (Some(durable_end), Some(bytes)) = (self.chain.successor_end, self.unacknowledged())
        else {
            return;
        };
        let timeout_ms =
            self.settings.timings.retry_interval + bytes as f64 / SLOWEST_LINK_BYTES_PER_MS;
        if !self.is_in_sync() || self.now - self.chain.unacknowledged_since < timeout_ms {
            return;
        }
        let successor = self.durable.view.successor(&self.me).cloned();
        if let Some(successor) =
            successor.filter(|_| durable_end < self.durable.last_position().number)
        {
            self.chain.sent = durable_end;
            self.chain.unacknowledged_since = self.now;
            self.forward_batch(&successor, effects);
        }
    }

    /// Whether `machine()` holds all that was committed, as far as can be known here. False for a process that hears
    /// no other.
    pub fn is_caught_up(&self) -> bool {
        let failure_timeout = self.settings.timings.failure_timeout;
        let live_peer = |address: &String| {
            self.peers
                .all
                .get(address)
                .filter(|peer| self.now - peer.last_heard <= failure_timeout)
        };
        if self.is_in_chain() {
            let view = &self.durable.view;
            let neighbours = [view.predecessor(&self.me), view.successor(&self.me)];
            let is_live = |member: &&Member| {
                live_peer(&member.address).is_some_and(|peer| {
                    peer.incarnation == member.incarnation && peer.epoch == view.epoch
                })
            };
            return self.is_in_sync()
                && self.chain.confirmed >= self.chain.initial_end
                && neighbours.iter().flatten().all(is_live);
        }
        let is_in_chain = |address: &&String| {
            self.latest_view
                .chain
                .iter()
                .any(|member| member.address == **address)
        };
        let source = self
            .source
            .as_ref()
            .filter(is_in_chain)
            .and_then(live_peer)
            .filter(|peer| peer.epoch >= self.latest_view.epoch);
        let committed = source
            .and_then(|peer| peer.status.as_ref())
            .map(|status| status.applied);
        committed.is_some_and(|applied| applied <= self.applied.position.number)
    }
}
