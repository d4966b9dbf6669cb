//! The chain: entries go down from the head, each member passing on only what is on its own disk, so that
//! each log is a prefix of its predecessor's. What the tail has synced is on all disks: committed. That goes
//! back up, and the head answers last.
use std::collections::BTreeMap;

use borsh::BorshSerialize;
use sandtrack_invariants::{check, Invariant};

use crate::alignment::LOT;
use crate::image::Record;
use crate::message::{Body, Entry, Status};
use crate::{Effect, Member, Replica, StateMachine};

/// Bytes that may be passed and not yet acknowledged when more is passed.
const WINDOW: usize = 4 * LOT;
/// Bytes for each millisecond of the slowest link: what was passed is on its way for that long before it counts as lost.
pub(crate) const SLOWEST_LINK: f64 = 600.0;

/// What a member knows of the chain in the epoch of the view on its disk. Lost at a restart, and found again
/// by the statuses of the neighbours.
#[derive(Clone, Debug, Default, BorshSerialize)]
pub(crate) struct ChainState {
    /// Committed, as confirmed in this epoch and since the start of this process.
    pub(crate) confirmed: u64,
    /// The end of the log as this part of the epoch began: all that may have been acknowledged before.
    pub(crate) floor: u64,
    /// The end of the successor's log, once it is known to be in line.
    successor: Option<u64>,
    /// Up to where the successor was sent entries.
    sent: u64,
    /// Since when the successor has not acknowledged any more of them. Entries that are sent meanwhile don't count:
    /// while they keep coming, a gap before them would never be filled.
    unacknowledged_since: f64,
    /// Entries from the predecessor that are not on the disk yet, by their numbers. Those behind a gap wait for it to be
    /// filled: in one epoch the predecessor's log only grows.
    passed: BTreeMap<u64, Entry>,
    /// What was last told to the predecessor.
    acked: Option<(u64, u64)>,
}

impl ChainState {
    pub(crate) fn new(floor: u64) -> Self {
        Self {
            floor,
            ..Self::default()
        }
    }
}

impl<M: StateMachine> Replica<M> {
    pub(crate) fn take_pass(&mut self, sender: &Member, entries: Vec<Entry>) {
        if !self.in_line() || self.image.view.predecessor(&self.me) != Some(sender) {
            return;
        }
        let end = self.image.end().number;
        let new = entries.into_iter().filter(|entry| entry.at.number > end);
        self.chain
            .passed
            .extend(new.map(|entry| (entry.at.number, entry)));
    }

    /// What was passed, as far as it follows the log.
    pub(crate) fn gather_passed(&mut self, records: &mut Vec<Record>) {
        let end = self.image.end().number;
        self.chain.passed.retain(|number, _| *number > end);
        if !self.in_line() {
            self.chain.passed.clear();
            return;
        }
        let committed = self.committed_in_log();
        let mut next = end + 1;
        while let Some(entry) = self.chain.passed.remove(&next) {
            records.push(Record::Entry { entry, committed });
            next += 1;
        }
    }

    pub(crate) fn take_ack(
        &mut self,
        sender: &Member,
        synced: u64,
        committed: u64,
        effects: &mut Vec<Effect>,
    ) {
        if !self.in_line() || self.image.view.successor(&self.me) != Some(sender) {
            return;
        }
        let known = self.chain.successor.unwrap_or(0);
        if self.chain.successor.is_none() {
            self.chain.sent = synced;
        }
        if synced > known {
            self.chain.unacknowledged_since = self.now;
        }
        self.chain.successor = Some(known.max(synced));
        self.confirm(committed, effects);
        self.chain_moved(effects);
    }

    /// A status of the successor says as much as an acknowledgement, once it is in line.
    pub(crate) fn successor_told(
        &mut self,
        sender: &Member,
        status: &Status,
        effects: &mut Vec<Effect>,
    ) {
        if status.aligned == self.image.view.epoch {
            self.take_ack(sender, status.synced, status.confirmed, effects);
        }
    }

    /// After the log on the disk, or what the successor has of it, moved.
    pub(crate) fn chain_moved(&mut self, effects: &mut Vec<Effect>) {
        if !self.in_line() {
            return;
        }
        let end = self.image.end().number;
        let Some(successor) = self.image.view.successor(&self.me).cloned() else {
            let settings = &self.settings;
            if self
                .image
                .view
                .may_commit(settings.machines_borne, settings.zones_borne)
            {
                self.confirm(end, effects);
            }
            self.ack(effects);
            return;
        };
        if self
            .chain
            .successor
            .is_some_and(|acknowledged| acknowledged >= self.chain.sent)
        {
            self.chain.unacknowledged_since = self.now;
        }
        while self.chain.sent < end && self.unacknowledged().is_some_and(|bytes| bytes < WINDOW) {
            if !self.pass_on(&successor, effects) {
                return;
            }
        }
    }

    /// Bytes that were passed and not acknowledged; None before the successor is known to be in line.
    fn unacknowledged(&self) -> Option<usize> {
        Some(
            self.image
                .bytes_between(self.chain.successor?, self.chain.sent),
        )
    }

    /// Passes the next lot; false when the log has none.
    fn pass_on(&mut self, successor: &Member, effects: &mut Vec<Effect>) -> bool {
        let after = self.chain.sent;
        if after < self.image.base.number {
            // The successor holds less than the log does: it has to be brought in line again.
            return false;
        }
        let entries = self.image.lot(after, self.image.end().number, LOT);
        let Some(last) = entries.last().map(|entry| entry.at.number) else {
            return false;
        };
        self.chain.sent = last;
        self.send(&successor.address, Body::Pass { entries }, effects);
        true
    }

    /// Takes note that all up to `number` is committed.
    fn confirm(&mut self, number: u64, effects: &mut Vec<Effect>) {
        let end = self.image.end().number;
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
        self.answer_committed(effects);
        self.teach_all(effects);
    }

    /// Applies what the log on the disk holds, up to a committed number.
    pub(crate) fn apply_up_to(&mut self, number: u64, effects: &mut Vec<Effect>) {
        while self.applied.at.number < number {
            let Some(entry) = self.image.entry(self.applied.at.number + 1).cloned() else {
                return;
            };
            self.apply(&entry, effects);
        }
    }

    pub(crate) fn apply(&mut self, entry: &Entry, effects: &mut Vec<Effect>) {
        let outcome = self.applied.apply(entry);
        let (number, command) = (entry.at.number, entry.command.clone());
        effects.push(Effect::Applied {
            number,
            command,
            outcome,
        });
    }

    /// Tells the predecessor, when there is something new.
    pub(crate) fn ack(&mut self, effects: &mut Vec<Effect>) {
        let news = (self.image.end().number, self.chain.confirmed);
        let Some(predecessor) = self.image.view.predecessor(&self.me).cloned() else {
            return;
        };
        if self.in_line() && self.chain.acked != Some(news) {
            self.chain.acked = Some(news);
            let body = Body::Ack {
                synced: news.0,
                committed: news.1,
            };
            self.send(&predecessor.address, body, effects);
        }
    }

    /// Passes again what the successor doesn't seem to have got.
    pub(crate) fn chain_tick(&mut self, effects: &mut Vec<Effect>) {
        let (Some(synced), Some(bytes)) = (self.chain.successor, self.unacknowledged()) else {
            return;
        };
        let on_its_way = self.settings.timings.repeat + bytes as f64 / SLOWEST_LINK;
        if !self.in_line() || self.now - self.chain.unacknowledged_since < on_its_way {
            return;
        }
        let successor = self.image.view.successor(&self.me).cloned();
        if let Some(successor) = successor.filter(|_| synced < self.image.end().number) {
            self.chain.sent = synced;
            self.chain.unacknowledged_since = self.now;
            self.pass_on(&successor, effects);
        }
    }

    /// Whether all that was committed is, as far as can be known, in `machine()`. Not said by a process that
    /// hears nobody.
    pub fn is_caught_up(&self) -> bool {
        let silence = self.settings.timings.silence;
        let near = |address: &String| {
            self.peers
                .all
                .get(address)
                .filter(|peer| self.now - peer.heard <= silence)
        };
        if self.in_chain() {
            let view = &self.image.view;
            let neighbours = [view.predecessor(&self.me), view.successor(&self.me)];
            let heard = |member: &&Member| {
                near(&member.address).is_some_and(|peer| {
                    peer.incarnation == member.incarnation && peer.epoch == view.epoch
                })
            };
            return self.in_line()
                && self.chain.confirmed >= self.chain.floor
                && neighbours.iter().flatten().all(heard);
        }
        let in_chain = |address: &&String| {
            self.latest
                .chain
                .iter()
                .any(|member| member.address == **address)
        };
        let source = self
            .source
            .as_ref()
            .filter(in_chain)
            .and_then(near)
            .filter(|peer| peer.epoch >= self.latest.epoch);
        let committed = source
            .and_then(|peer| peer.status.as_ref())
            .map(|status| status.applied);
        committed.is_some_and(|applied| applied <= self.applied.at.number)
    }
}
