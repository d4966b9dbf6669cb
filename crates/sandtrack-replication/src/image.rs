//! What is on the disk, folded from the WAL's records. All decisions that others rely on are taken on
//! this image alone, never on what is still being written.
use std::collections::VecDeque;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::message::{Ballot, Entry, Position, Snapshot};
use crate::{Member, View};

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub(crate) enum Record {
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
    /// Replaces what stands at its number and after it.
    Entry {
        entry: Entry,
        committed: u64,
    },
    /// Drops all entries after the number.
    Cut {
        after: u64,
    },
    /// In line with the chain of this epoch.
    Aligned {
        epoch: u64,
    },
    Committed {
        number: u64,
    },
    /// Replaces the whole log.
    Snapshot(Snapshot),
}

#[derive(Clone, Debug, BorshSerialize)]
pub(crate) struct Image {
    pub(crate) member: Option<Member>,
    pub(crate) view: View,
    pub(crate) promised: Option<Ballot>,
    pub(crate) accepted: Option<(Ballot, View)>,
    /// The last epoch in which the log was brought in line.
    pub(crate) aligned: u64,
    /// Where the log begins: the entry of the snapshot.
    pub(crate) base: Position,
    pub(crate) entries: VecDeque<Entry>,
    /// A lower bound of what is committed.
    pub(crate) committed: u64,
    /// Only while a WAL is read.
    pub(crate) snapshot: Option<Snapshot>,
}

impl Image {
    pub(crate) fn empty() -> Self {
        Self {
            member: None,
            view: View::none(),
            promised: None,
            accepted: None,
            aligned: 0,
            base: Position {
                number: 0,
                epoch: 0,
            },
            entries: VecDeque::new(),
            committed: 0,
            snapshot: None,
        }
    }

    /// The image of a WAL; None when a record can't be read or says who wrote it nowhere.
    pub(crate) fn recover(records: &[Vec<u8>]) -> Option<Self> {
        let mut image = Self::empty();
        for record in records {
            let record = Record::try_from_slice(record).ok()?;
            if let Record::Snapshot(snapshot) = &record {
                image.snapshot = Some(snapshot.clone());
            }
            image.fold(&record);
        }
        image.member.is_some().then_some(image)
    }

    pub(crate) fn fold(&mut self, record: &Record) {
        match record {
            Record::Identity(member) => self.member = Some(member.clone()),
            Record::View(view) if view.epoch > self.view.epoch => {
                self.view = view.clone();
                self.promised = None;
                self.accepted = None;
            }
            Record::Promise { epoch, ballot } if *epoch == self.view.epoch => {
                self.promised = Some(ballot.clone());
            }
            Record::Accepted {
                epoch,
                ballot,
                view,
            } if *epoch == self.view.epoch => {
                self.promised = Some(ballot.clone());
                self.accepted = Some((ballot.clone(), view.clone()));
            }
            Record::View(_) | Record::Promise { .. } | Record::Accepted { .. } => {}
            Record::Entry { entry, committed } => {
                self.cut(entry.at.number - 1);
                self.entries.push_back(entry.clone());
                self.committed = self.committed.max(*committed);
            }
            Record::Cut { after } => self.cut(*after),
            Record::Aligned { epoch } => self.aligned = *epoch,
            Record::Committed { number } => self.committed = self.committed.max(*number),
            Record::Snapshot(snapshot) => {
                self.base = snapshot.at;
                self.entries.clear();
                self.committed = self.committed.max(snapshot.at.number);
            }
        }
    }

    fn cut(&mut self, after: u64) {
        self.entries
            .truncate(after.saturating_sub(self.base.number) as usize);
    }

    /// The end of the log.
    pub(crate) fn end(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| entry.at)
    }

    /// The position of a number that the log holds, or that it begins after.
    pub(crate) fn at(&self, number: u64) -> Option<Position> {
        match number.checked_sub(self.base.number)? {
            0 => Some(self.base),
            index => self.entries.get(index as usize - 1).map(|entry| entry.at),
        }
    }

    /// The entry of a number, when the log holds it.
    pub(crate) fn entry(&self, number: u64) -> Option<&Entry> {
        self.entries
            .get(number.checked_sub(self.base.number + 1)? as usize)
    }

    /// The entries after a number that is not before the log's begin.
    pub(crate) fn after(&self, number: u64) -> Vec<Entry> {
        self.entries
            .iter()
            .skip(number.saturating_sub(self.base.number) as usize)
            .cloned()
            .collect()
    }

    /// The entries after a number and up to another, as many as `bytes` hold; one where there is any.
    pub(crate) fn lot(&self, after: u64, up_to: u64, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let fits = |entry: &&Entry| {
            size += entry.size();
            size == entry.size() || size <= bytes
        };
        self.between(after, up_to)
            .take_while(fits)
            .cloned()
            .collect()
    }

    /// Bytes of the entries after a number and up to another.
    pub(crate) fn bytes_between(&self, after: u64, up_to: u64) -> usize {
        self.between(after, up_to).map(Entry::size).sum()
    }

    fn between(&self, after: u64, up_to: u64) -> impl Iterator<Item = &Entry> {
        let skipped = after.saturating_sub(self.base.number) as usize;
        self.entries
            .iter()
            .skip(skipped)
            .take_while(move |entry| entry.at.number <= up_to)
    }

    /// The last position of each epoch in the log, from the log's begin.
    pub(crate) fn ends(&self) -> Vec<Position> {
        let mut ends = vec![self.base];
        for entry in &self.entries {
            if ends.last().is_some_and(|last| last.epoch == entry.at.epoch) {
                ends.pop();
            }
            ends.push(entry.at);
        }
        // The begin itself is kept: the other side may hold nothing after it.
        if ends.first() != Some(&self.base) {
            ends.insert(0, self.base);
        }
        ends
    }

    /// Whether the member whose image this is has all that was committed up to and in this view's epoch,
    /// as far as it may have been committed without it.
    pub(crate) fn is_complete(&self, member: &Member) -> bool {
        self.view
            .position(member)
            .is_some_and(|position| self.aligned >= self.view.since[position])
    }
}
