//! The records of a write that initialises, compacts or replaces the WAL.

use crate::durable_state::WalRecord;
use crate::message::{Entry, LogPosition, Snapshot};
use crate::{Replica, StateMachine};
/// The log is compacted beyond this number of entries, or bytes of records since the last rewrite.
const COMPACTION_ENTRIES: usize = 512;

const COMPACTION_BYTES: usize = 1 << 20;

/// The log may be so many times as long while a snapshot is being fetched from here, or a process that is not in sync
/// lacks only what the log holds.
const RETAINED_LOG_FACTOR: usize = 4;

impl<M: StateMachine> Replica<M> {
    /// What an empty disk begins with. The seeds of the very first start begin in the first view, in sync,
    /// since all of them are empty.
    pub(super) fn initial_records(&self) -> Vec<WalRecord> {
        let mut records = vec![WalRecord::Identity(self.me.clone())];
        if self.latest_view.epoch == 1 && self.latest_view.voters.contains(&self.me) {
            records.extend([
                WalRecord::View(self.latest_view.clone()),
                WalRecord::InSync { epoch: 1 },
            ]);
        }
        records
    }

    /// What is committed, as far as the log on the disk goes.
    pub(crate) fn committed_in_log(&self) -> u64 {
        match self.durable.position_of(self.applied.position.number) {
            Some(at) if at == self.applied.position => at.number,
            _ => self.durable.committed,
        }
    }

    /// The complete content of the WAL, with a snapshot in place of the entries up to it.
    pub(crate) fn rewritten_records(
        &self,
        snapshot: Snapshot,
        entries: Vec<Entry>,
        in_sync_epoch: u64,
    ) -> Vec<WalRecord> {
        let epoch = self.durable.view.epoch;
        let mut records = vec![WalRecord::Identity(self.me.clone())];
        if epoch > 0 {
            records.push(WalRecord::View(self.durable.view.clone()));
        }
        if let Some((ballot, view)) = self.durable.accepted.clone() {
            records.push(WalRecord::Accepted {
                epoch,
                ballot,
                view,
            });
        }
        if let Some(ballot) = self.durable.promised.clone() {
            records.push(WalRecord::Promise { epoch, ballot });
        }
        records.push(WalRecord::Snapshot(snapshot));
        let committed = self.durable.committed;
        records.extend(
            entries
                .into_iter()
                .map(|entry| WalRecord::Entry { entry, committed }),
        );
        records.push(WalRecord::InSync {
            epoch: in_sync_epoch,
        });
        records
    }

    pub(super) fn append_compaction(&mut self, records: &mut Vec<WalRecord>) -> bool {
        // Who fetches a snapshot from here will want the log after it.
        let is_log_wanted = self.snapshot_transfers.is_sending() || self.is_log_needed_by_peer();
        let factor = if is_log_wanted {
            RETAINED_LOG_FACTOR
        } else {
            1
        };
        let is_large = self.durable.entries.len() > COMPACTION_ENTRIES * factor
            || self.disk.appended > COMPACTION_BYTES.max(self.disk.rewritten) * factor;
        // An entry that no one may read again has to be behind the snapshot.
        if !is_large
            || self.applied.position.number < self.durable.log_start.number
            || self.disk.full
        {
            return false;
        }
        let at = self.applied.position;
        // Entries beyond the snapshot that don't follow from it were never committed.
        let follows = self.durable.position_of(at.number) == Some(at);
        let entries = if follows {
            self.durable.entries_after(at.number)
        } else {
            Vec::new()
        };
        *records =
            self.rewritten_records(self.applied.snapshot(), entries, self.durable.in_sync_epoch);
        true
    }

    /// A position for tests of equality in the log.
    pub(crate) fn log_contains(&self, at: LogPosition) -> bool {
        self.durable.position_of(at.number) == Some(at)
    }
}
