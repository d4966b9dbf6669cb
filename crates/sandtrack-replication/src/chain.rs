//! The chain: entries go down from the head, each member passing on only what is on its own disk, so that
//! each log is a prefix of its predecessor's. What the tail has synced is on all disks: committed. That goes
//! back up, and the head answers last.
use borsh::BorshSerialize;

use crate::image::Record;
use crate::message::{Body, Entry, Status};
use crate::{Effect, Member, Replica, StateMachine};

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
    /// Up to where the successor was sent entries, and when.
    sent: u64,
    sent_at: f64,
    /// Entries from the predecessor that are not on the disk yet.
    passed: Vec<Entry>,
    /// What was last told to the predecessor.
    acked: Option<(u64, u64)>,
}

impl ChainState {
    pub(crate) fn new(floor: u64) -> Self {
        Self { floor, ..Self::default() }
    }
}

impl<M: StateMachine> Replica<M> {
    pub(crate) fn take_pass(&mut self, sender: &Member, entries: Vec<Entry>) {
        if !self.in_line() || self.image.view.predecessor(&self.me) != Some(sender) {
            return;
        }
        for entry in entries {
            let next = self.chain.passed.last().map_or(self.image.end(), |entry| entry.at).number + 1;
            if entry.at.number == next {
                self.chain.passed.push(entry);
            }
        }
    }

    pub(crate) fn gather_passed(&mut self, records: &mut Vec<Record>) {
        let end = self.image.end().number;
        let passed = std::mem::take(&mut self.chain.passed);
        if !self.in_line() {
            return;
        }
        let committed = self.committed_in_log();
        let next = passed.into_iter().filter(|entry| entry.at.number > end);
        for (number, entry) in (end + 1..).zip(next) {
            if entry.at.number == number {
                records.push(Record::Entry { entry, committed });
            }
        }
    }

    pub(crate) fn take_ack(
        &mut self, sender: &Member, synced: u64, committed: u64, effects: &mut Vec<Effect>,
    ) {
        if !self.in_line() || self.image.view.successor(&self.me) != Some(sender) {
            return;
        }
        let known = self.chain.successor.unwrap_or(0);
        if self.chain.successor.is_none() {
            self.chain.sent = synced;
        }
        self.chain.successor = Some(known.max(synced));
        self.confirm(committed, effects);
        self.chain_moved(effects);
    }

    /// A status of the successor says as much as an acknowledgement, once it is in line.
    pub(crate) fn successor_told(&mut self, sender: &Member, status: &Status, effects: &mut Vec<Effect>) {
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
            if self.image.view.may_commit(settings.machines_borne, settings.zones_borne) {
                self.confirm(end, effects);
            }
            self.ack(effects);
            return;
        };
        if self.chain.successor.is_some() && self.chain.sent < end {
            self.pass_on(&successor, self.chain.sent, effects);
        }
    }

    fn pass_on(&mut self, successor: &Member, after: u64, effects: &mut Vec<Effect>) {
        if after < self.image.base.number {
            // The successor holds less than the log does: it has to be brought in line again.
            return;
        }
        self.chain.sent = self.image.end().number;
        self.chain.sent_at = self.now;
        let entries = self.image.after(after);
        self.send(&successor.address, Body::Pass { entries }, effects);
    }

    /// Takes note that all up to `number` is committed.
    fn confirm(&mut self, number: u64, effects: &mut Vec<Effect>) {
        let number = number.min(self.image.end().number);
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
        effects.push(Effect::Applied { number, command, outcome });
    }

    /// Tells the predecessor, when there is something new.
    pub(crate) fn ack(&mut self, effects: &mut Vec<Effect>) {
        let news = (self.image.end().number, self.chain.confirmed);
        let Some(predecessor) = self.image.view.predecessor(&self.me).cloned() else {
            return;
        };
        if self.in_line() && self.chain.acked != Some(news) {
            self.chain.acked = Some(news);
            let body = Body::Ack { synced: news.0, committed: news.1 };
            self.send(&predecessor.address, body, effects);
        }
    }

    /// Passes again what the successor doesn't seem to have got.
    pub(crate) fn chain_tick(&mut self, effects: &mut Vec<Effect>) {
        if !self.in_line() || self.now - self.chain.sent_at < self.settings.timings.repeat {
            return;
        }
        let successor = self.image.view.successor(&self.me).cloned();
        if let (Some(successor), Some(synced)) = (successor, self.chain.successor) {
            if synced < self.image.end().number {
                self.pass_on(&successor, synced, effects);
            }
        }
    }

    /// Whether all that was committed is, as far as can be known, in `machine()`. Not said by a process that
    /// hears nobody.
    pub fn is_caught_up(&self) -> bool {
        let silence = self.settings.timings.silence;
        let near =
            |address: &String| self.peers.all.get(address).filter(|peer| self.now - peer.heard <= silence);
        if self.in_chain() {
            let view = &self.image.view;
            let neighbours = [view.predecessor(&self.me), view.successor(&self.me)];
            let heard = |member: &&Member| {
                near(&member.address)
                    .is_some_and(|peer| peer.incarnation == member.incarnation && peer.epoch == view.epoch)
            };
            return self.in_line()
                && self.chain.confirmed >= self.chain.floor
                && neighbours.iter().flatten().all(heard);
        }
        let in_chain = |address: &&String| self.latest.chain.iter().any(|member| member.address == **address);
        let source = self
            .source
            .as_ref()
            .filter(in_chain)
            .and_then(near)
            .filter(|peer| peer.epoch >= self.latest.epoch);
        let committed = source.and_then(|peer| peer.status.as_ref()).map(|status| status.applied);
        committed.is_some_and(|applied| applied <= self.applied.at.number)
    }
}
