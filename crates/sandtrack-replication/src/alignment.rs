//! At the start of a view each member is brought in line with its predecessor: the head's log is the
//! authority, and what others hold beyond it was never committed. Nothing commits before all are in line,
//! since the tail passes nothing back up before.
//!
//! A member that lacks more than the log of its predecessor holds first fetches the committed state (`transfer`); its
//! log then begins with that state. The entries come in lots of bounded size, each on the disk before the next is
//! asked for; only with the last one is the member in line.
use borsh::BorshSerialize;

use crate::image::Record;
use crate::message::{Body, Entry, Position};
use crate::{Effect, Member, Replica, StateMachine};

/// Milliseconds between two requests to be brought in line.
const ASK_AGAIN: f64 = 100.0;
/// Bytes of entries in one message, unless one entry alone is longer.
pub(crate) const LOT: usize = 64 * 1024;
/// Milliseconds without progress after which a member that is not in line tells the others to go on without it.
const NO_PROGRESS: f64 = 3000.0;
/// Milliseconds that such a member stays out, so that the chain is not held up again and again.
const STAYS_OUT: f64 = 10_000.0;

/// Entries from the predecessor.
#[derive(Clone, Debug, BorshSerialize)]
pub(crate) struct Lot {
    pub(crate) after: Position,
    /// They follow this member's committed state, not its log.
    pub(crate) on_applied: bool,
    pub(crate) entries: Vec<Entry>,
    /// They don't go up to the end of the predecessor's log.
    pub(crate) more: bool,
}

#[derive(Clone, Debug, BorshSerialize)]
pub(crate) struct Aligning {
    asked: f64,
    /// When it last came nearer to being in line, or could not for want of its predecessor.
    progress: f64,
    /// What the predecessor sent, until it is written.
    received: Option<Lot>,
    /// When this member last told the others to go on without it.
    gave_up: f64,
}

impl Default for Aligning {
    fn default() -> Self {
        let never = f64::NEG_INFINITY;
        Self {
            asked: never,
            progress: f64::INFINITY,
            received: None,
            gave_up: never,
        }
    }
}

impl Aligning {
    /// At the start of a view.
    pub(crate) fn begin_anew(&mut self) {
        *self = Self {
            gave_up: self.gave_up,
            ..Self::default()
        };
    }
}

impl<M: StateMachine> Replica<M> {
    fn needs_alignment(&self) -> bool {
        self.in_chain() && self.image.aligned != self.image.view.epoch
    }

    pub(crate) fn ask_to_be_aligned(&mut self, effects: &mut Vec<Effect>) {
        if !self.needs_alignment() {
            return;
        }
        self.note_progress();
        let lately = self.transfers.is_fetching() || self.now - self.aligning.asked < ASK_AGAIN;
        // What is on its way here, or being written, is not asked for again.
        let busy = |predecessor: &&Member| {
            lately
                || self.disk.is_writing_log()
                || self.fragments.is_receiving(&predecessor.address)
        };
        if let Some(predecessor) = self
            .image
            .view
            .predecessor(&self.me)
            .filter(|it| !busy(it))
            .cloned()
        {
            self.aligning.asked = self.now;
            let body = Body::Align {
                ends: self.image.ends(),
                applied: self.applied.at,
            };
            self.send(&predecessor.address, body, effects);
        }
    }

    /// As `ask_to_be_aligned`, also when it was asked lately.
    pub(crate) fn align_at_once(&mut self, effects: &mut Vec<Effect>) {
        self.aligning.asked = f64::NEG_INFINITY;
        self.ask_to_be_aligned(effects);
    }

    /// A piece of a snapshot, or of entries, that came is progress; while the predecessor is not in line itself, none can be made.
    fn note_progress(&mut self) {
        let epoch = self.image.view.epoch;
        let predecessor = self.image.view.predecessor(&self.me);
        let in_line = predecessor
            .and_then(|member| self.peers.all.get(&member.address))
            .is_some_and(|peer| {
                self.now - peer.heard <= self.settings.timings.silence
                    && peer
                        .status
                        .as_ref()
                        .is_some_and(|status| status.aligned == epoch)
            });
        if !in_line || self.aligning.progress > self.now {
            self.aligning.progress = self.now;
        }
        let piece = predecessor.and_then(|member| self.fragments.progress(&member.address));
        let pieces = [self.transfers.progress(), piece].into_iter().flatten();
        self.aligning.progress = pieces.fold(self.aligning.progress, f64::max);
        if self.now - self.aligning.progress > NO_PROGRESS {
            self.aligning.gave_up = self.now;
        }
    }

    /// In the chain, not in line, and no nearer to it for a while, or left out for that of late: the chain goes on
    /// without this member, which learns as an observer meanwhile.
    pub(crate) fn makes_no_progress(&self) -> bool {
        !self.in_line() && self.now - self.aligning.gave_up < STAYS_OUT
    }

    /// The predecessor says that it is in line, so a request has sense now. What was asked before it was so got
    /// no answer.
    pub(crate) fn predecessor_in_line(&mut self, sender: &Member, effects: &mut Vec<Effect>) {
        if self.needs_alignment() && self.image.view.predecessor(&self.me) == Some(sender) {
            self.align_at_once(effects);
        }
    }

    pub(crate) fn take_align(
        &mut self,
        sender: &Member,
        ends: &[Position],
        applied: Position,
        effects: &mut Vec<Effect>,
    ) {
        if !self.in_line() || self.image.view.successor(&self.me) != Some(sender) {
            return;
        }
        let shared = self.last_shared(ends);
        // What was applied is committed, so this log holds it, or begins after it.
        let Some(after) = shared.or_else(|| self.holds(applied).then_some(applied)) else {
            return self.offer_snapshot(&sender.address, effects);
        };
        let end = self.image.end().number;
        let entries = self.image.lot(after.number, end, LOT);
        let more = entries.last().is_some_and(|entry| entry.at.number < end);
        let body = Body::InLine {
            after,
            on_applied: shared.is_none(),
            entries,
            more,
        };
        self.send(&sender.address, body, effects);
    }

    /// The last position that this log shares with one of which the ends of epochs are known: of one epoch
    /// there is only one sequence of entries, so the shorter of the two runs is shared.
    fn last_shared(&self, ends: &[Position]) -> Option<Position> {
        let shared = ends.iter().rev().find_map(|theirs| {
            let mine = self
                .image
                .ends()
                .into_iter()
                .rev()
                .find(|mine| mine.epoch == theirs.epoch)?;
            let number = mine.number.min(theirs.number);
            let at = Position {
                number,
                epoch: theirs.epoch,
            };
            self.holds(at).then_some(at)
        });
        shared.filter(|at| at.number >= ends.first().map_or(0, |first| first.number))
    }

    pub(crate) fn take_in_line(&mut self, sender: &Member, lot: Lot) {
        if self.needs_alignment() && self.image.view.predecessor(&self.me) == Some(sender) {
            self.aligning.received = Some(lot);
        }
    }

    /// The records that bring this log in line, or nearer to it; true when they replace the whole WAL.
    pub(crate) fn gather_alignment(&mut self, records: &mut Vec<Record>) -> bool {
        let received = self.aligning.received.take();
        if !self.needs_alignment() {
            return false;
        }
        if self.image.view.is_head(&self.me) {
            // A head is chosen among the complete members, so its log is the authority as it stands.
            if self.image.is_complete(&self.me) {
                records.push(Record::Aligned {
                    epoch: self.image.view.epoch,
                });
            }
            return false;
        }
        match received {
            Some(lot) if lot.on_applied => self.gather_new_log(lot, records),
            Some(lot) => {
                self.gather_lot(lot, records);
                false
            }
            None => false,
        }
    }

    /// A lot that follows a position of this log.
    fn gather_lot(&self, lot: Lot, records: &mut Vec<Record>) {
        let last = lot.entries.last().map_or(lot.after, |entry| entry.at);
        // The log moved since it was asked for, or this is a lot that came again.
        if !self.holds(lot.after) || (lot.more && self.holds(last)) {
            return;
        }
        let committed = self.image.committed;
        records.push(Record::Cut {
            after: lot.after.number,
        });
        records.extend(
            lot.entries
                .into_iter()
                .map(|entry| Record::Entry { entry, committed }),
        );
        if !lot.more {
            records.push(Record::Aligned {
                epoch: self.image.view.epoch,
            });
        }
    }

    /// A log that begins with the committed state of this process, in place of the former one. Before it is whole, it
    /// may lack what the former one held: the member is complete in no epoch.
    fn gather_new_log(&self, lot: Lot, records: &mut Vec<Record>) -> bool {
        if lot.after != self.applied.at {
            return false; // it learned more since it asked
        }
        let aligned = if lot.more { 0 } else { self.image.view.epoch };
        // What else is wanted in this write is part of the content.
        let content = self.content(self.applied.snapshot(), lot.entries, aligned);
        let wanted = std::mem::replace(records, content);
        records.extend(wanted);
        true
    }

    /// After a lot was written that was not the last one.
    pub(crate) fn came_nearer(&mut self, effects: &mut Vec<Effect>) {
        self.aligning.progress = self.now;
        self.align_at_once(effects);
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
