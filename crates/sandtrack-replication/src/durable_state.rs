//! What is on the disk, computed from the WAL's records.
//!
//! All decisions that other members rely on are taken on this state alone, never on what is still being written.
use std::collections::VecDeque;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::message::{Ballot, Entry, LogPosition, Snapshot};
use crate::{Member, View};

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub(crate) enum WalRecord {
    Identity(Member),
    View(View),
    /// On the view after `epoch`.
    Promise {
        epoch: u64,
        ballot: Ballot,
    },
    Accepted {
        epoch: u64,
        ballot: Ballot,
        view: View,
    },
    /// Replaces the entry with its number and all after it.
    Entry {
        entry: Entry,
        committed: u64,
    },
    /// Drops all entries after the number.
    Truncate {
        after: u64,
    },
    /// In line with the chain of this epoch.
    InSync {
        epoch: u64,
    },
    Committed {
        number: u64,
    },
    /// Replaces the whole log.
    Snapshot(Snapshot),
}

#[derive(Clone, Debug, BorshSerialize)]
pub(crate) struct DurableState {
    pub(crate) member: Option<Member>,
    pub(crate) view: View,
    pub(crate) promised: Option<Ballot>,
    pub(crate) accepted: Option<(Ballot, View)>,
    /// The last epoch in which the log was synchronised.
    pub(crate) in_sync_epoch: u64,
    /// Where the log begins: the entry of the snapshot.
    pub(crate) log_start: LogPosition,
    pub(crate) entries: VecDeque<Entry>,
    /// A lower bound of what is committed.
    pub(crate) committed: u64,
    /// Only while a WAL is read.
    pub(crate) snapshot: Option<Snapshot>,
}

impl DurableState {
    pub(crate) fn empty() -> Self {
        Self {
            member: None,
            view: View::none(),
            promised: None,
            accepted: None,
            in_sync_epoch: 0,
            log_start: LogPosition::ZERO,
            entries: VecDeque::new(),
            committed: 0,
            snapshot: None,
        }
    }

    /// The state of a WAL; `None` if a record can't be decoded, or the identity record is missing.
    pub(crate) fn recover(records: &[Vec<u8>]) -> Option<Self> {
        let mut durable = Self::empty();
        for record in records {
            let record = WalRecord::try_from_slice(record).ok()?;
            if let WalRecord::Snapshot(snapshot) = &record {
                durable.snapshot = Some(snapshot.clone());
            }
            durable.apply_record(&record);
        }
        durable.member.is_some().then_some(durable)
    }

    pub(crate) fn apply_record(&mut self, record: &WalRecord) {
        match record {
            WalRecord::Identity(member) => self.member = Some(member.clone()),
            WalRecord::View(view) if view.epoch > self.view.epoch => {
                self.view = view.clone();
                self.promised = None;
                self.accepted = None;
            }
            WalRecord::Promise { epoch, ballot } if *epoch == self.view.epoch => {
                self.promised = Some(ballot.clone());
            }
            WalRecord::Accepted {
                epoch,
                ballot,
                view,
            } if *epoch == self.view.epoch => {
                self.promised = Some(ballot.clone());
                self.accepted = Some((ballot.clone(), view.clone()));
            }
            WalRecord::View(_) | WalRecord::Promise { .. } | WalRecord::Accepted { .. } => {}
            WalRecord::Entry { entry, committed } => {
                self.truncate_after(entry.position.number - 1);
                self.entries.push_back(entry.clone());
                self.committed = self.committed.max(*committed);
            }
            WalRecord::Truncate { after } => self.truncate_after(*after),
            WalRecord::InSync { epoch } => self.in_sync_epoch = *epoch,
            WalRecord::Committed { number } => self.committed = self.committed.max(*number),
            WalRecord::Snapshot(snapshot) => {
                self.log_start = snapshot.position;
                self.entries.clear();
                self.committed = self.committed.max(snapshot.position.number);
            }
        }
    }

    fn truncate_after(&mut self, after: u64) {
        self.entries
            .truncate(after.saturating_sub(self.log_start.number) as usize);
    }

    /// The end of the log.
    pub(crate) fn last_position(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.log_start, |entry| entry.position)
    }

    /// The position of a number that the log holds, or that it begins after.
    pub(crate) fn position_of(&self, number: u64) -> Option<LogPosition> {
        match number.checked_sub(self.log_start.number)? {
            0 => Some(self.log_start),
            index => self
                .entries
                .get(index as usize - 1)
                .map(|entry| entry.position),
        }
    }

    /// The entry of a number, when the log holds it.
    pub(crate) fn entry(&self, number: u64) -> Option<&Entry> {
        self.entries
            .get(number.checked_sub(self.log_start.number + 1)? as usize)
    }

    /// The entries after a number that is not before the log's begin.
    pub(crate) fn entries_after(&self, number: u64) -> Vec<Entry> {
        self.entries
            .iter()
            .skip(number.saturating_sub(self.log_start.number) as usize)
            .cloned()
            .collect()
    }

    /// The entries after a number and up to another, as many as `bytes` hold; one where there is any.
    pub(crate) fn batch(&self, after: u64, up_to: u64, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let fits = |entry: &&Entry| {
            size += entry.size();
            size == entry.size() || size <= bytes
        };
        self.entries_between(after, up_to)
            .take_while(fits)
            .cloned()
            .collect()
    }

    /// Bytes of the entries after a number and up to another.
    pub(crate) fn bytes_between(&self, after: u64, up_to: u64) -> usize {
        self.entries_between(after, up_to).map(Entry::size).sum()
    }

    fn entries_between(&self, after: u64, up_to: u64) -> impl Iterator<Item = &Entry> {
        let skipped = after.saturating_sub(self.log_start.number) as usize;
        self.entries
            .iter()
            .skip(skipped)
            .take_while(move |entry| entry.position.number <= up_to)
    }

    /// The last position of each epoch in the log, from the log's begin.
    pub(crate) fn epoch_ends(&self) -> Vec<LogPosition> {
        let mut epoch_ends = vec![self.log_start];
        for entry in &self.entries {
            if epoch_ends
                .last()
                .is_some_and(|last| last.epoch == entry.position.epoch)
            {
                epoch_ends.pop();
            }
            epoch_ends.push(entry.position);
        }
        // The begin itself is kept: the other side may hold nothing after it.
        if epoch_ends.first() != Some(&self.log_start) {
            epoch_ends.insert(0, self.log_start);
        }
        epoch_ends
    }

    /// Whether the member whose image this is has all that was committed up to and in this view's epoch,
    /// as far as it may have been committed without it.
    pub(crate) fn is_complete(&self, member: &Member) -> bool {
        self.view
            .position(member)
            .is_some_and(|position| self.in_sync_epoch >= self.view.since[position])
    }
}
