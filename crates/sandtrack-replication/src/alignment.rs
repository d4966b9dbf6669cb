//! At the start of a view each member is brought in line with its predecessor: the head's log is the
//! authority, and what others hold beyond it was never committed. Nothing commits before all are in line,
//! since the tail passes nothing back up before.
use borsh::BorshSerialize;

use crate::image::Record;
use crate::message::{Body, Entry, Position, Snapshot};
use crate::{Effect, Member, Replica, StateMachine};

/// Milliseconds between two requests to be brought in line.
const ASK_AGAIN: f64 = 100.0;

#[derive(Clone, Debug, BorshSerialize)]
pub(crate) struct Aligning {
    asked: f64,
    /// What the predecessor sent, until it is written.
    received: Option<(Position, Option<Snapshot>, Vec<Entry>)>,
}

impl Default for Aligning {
    fn default() -> Self {
        Self { asked: f64::NEG_INFINITY, received: None }
    }
}

impl<M: StateMachine> Replica<M> {
    fn needs_alignment(&self) -> bool {
        self.in_chain() && self.image.aligned != self.image.view.epoch
    }

    pub(crate) fn ask_to_be_aligned(&mut self, effects: &mut Vec<Effect>) {
        if !self.needs_alignment() || self.now - self.aligning.asked < ASK_AGAIN {
            return;
        }
        if let Some(predecessor) = self.image.view.predecessor(&self.me).cloned() {
            self.aligning.asked = self.now;
            let ends = self.image.ends();
            self.send(&predecessor.address, Body::Align { ends }, effects);
        }
    }

    /// The predecessor says that it is in line, so a request has sense now. What was asked before it was so got
    /// no answer.
    pub(crate) fn predecessor_in_line(&mut self, sender: &Member, effects: &mut Vec<Effect>) {
        if self.needs_alignment() && self.image.view.predecessor(&self.me) == Some(sender) {
            self.aligning.asked = f64::NEG_INFINITY;
            self.ask_to_be_aligned(effects);
        }
    }

    pub(crate) fn take_align(&mut self, sender: &Member, ends: Vec<Position>, effects: &mut Vec<Effect>) {
        if !self.in_line() || self.image.view.successor(&self.me) != Some(sender) {
            return;
        }
        let shared = self.last_shared(&ends);
        let (after, snapshot) = match shared {
            Some(at) => (at, None),
            None => {
                let snapshot = self.applied.snapshot();
                (snapshot.at, Some(snapshot))
            }
        };
        let entries = self.image.after(after.number);
        self.send(&sender.address, Body::InLine { after, snapshot, entries }, effects);
    }

    /// The last position that this log shares with one of which the ends of epochs are known: of one epoch
    /// there is only one sequence of entries, so the shorter of the two runs is shared.
    fn last_shared(&self, ends: &[Position]) -> Option<Position> {
        let shared = ends.iter().rev().find_map(|theirs| {
            let mine = self.image.ends().into_iter().rev().find(|mine| mine.epoch == theirs.epoch)?;
            let number = mine.number.min(theirs.number);
            let at = Position { number, epoch: theirs.epoch };
            self.holds(at).then_some(at)
        });
        shared.filter(|at| at.number >= ends.first().map_or(0, |first| first.number))
    }

    pub(crate) fn take_in_line(
        &mut self, sender: &Member, after: Position, snapshot: Option<Snapshot>, entries: Vec<Entry>,
        effects: &mut Vec<Effect>,
    ) {
        if self.needs_alignment() && self.image.view.predecessor(&self.me) == Some(sender) {
            // The state of a snapshot is committed; its entries won't be in the log.
            self.learn(snapshot.clone(), Vec::new(), effects);
            if snapshot.as_ref().is_some_and(|snapshot| snapshot.at.number > self.applied.at.number) {
                return; // it can't be read
            }
            self.aligning.received = Some((after, snapshot, entries));
        }
    }

    /// The records that bring this log in line; true when they replace the whole WAL.
    pub(crate) fn gather_alignment(&mut self, records: &mut Vec<Record>) -> bool {
        let received = self.aligning.received.take();
        if !self.needs_alignment() {
            return false;
        }
        let epoch = self.image.view.epoch;
        if self.image.view.is_head(&self.me) {
            // A head is chosen among the complete members, so its log is the authority as it stands.
            if self.image.is_complete(&self.me) {
                records.push(Record::Aligned { epoch });
            }
            return false;
        }
        let Some((after, snapshot, entries)) = received else {
            return false;
        };
        let committed = self.image.committed;
        match snapshot {
            None if !self.holds(after) => false, // the log moved since it was asked for
            None => {
                records.push(Record::Cut { after: after.number });
                records.extend(entries.into_iter().map(|entry| Record::Entry { entry, committed }));
                records.push(Record::Aligned { epoch });
                false
            }
            Some(snapshot) => {
                // What else is wanted in this write is part of the content.
                let content = self.content(snapshot, entries, epoch);
                let wanted = std::mem::replace(records, content);
                records.extend(wanted);
                true
            }
        }
    }

    /// After the log was brought in line on the disk.
    pub(crate) fn came_in_line(&mut self, effects: &mut Vec<Effect>) {
        if !self.in_line() {
            return;
        }
        self.chain.floor = self.image.end().number;
        self.ack(effects);
        if let Some(successor) = self.image.view.successor(&self.me).cloned() {
            self.send_status(&successor.address, effects);
        }
        self.route_all(effects);
    }
}
