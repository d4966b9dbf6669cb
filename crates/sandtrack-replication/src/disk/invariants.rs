//! Checks of a write against what is durable, before it starts.

use sandtrack_invariants::{check, Invariant};

use crate::durable_state::WalRecord;
use crate::{Replica, StateMachine};

impl<M: StateMachine> Replica<M> {
    /// Checks what is about to be written against what is on the disk.
    pub(super) fn check_records(&self, records: &[WalRecord]) {
        let committed = self.committed_in_log();
        let mut end = self.durable.last_position().number;
        let (mut promised, mut same_epoch) = (None, true);
        for record in records {
            match record {
                WalRecord::Truncate { after } => {
                    check(Invariant::CommittedStays, *after >= committed, || {
                        format!("cut after {after}, {committed} committed")
                    });
                    end = end.min(*after);
                }
                WalRecord::Entry { entry, .. } => {
                    let number = entry.position.number;
                    check(Invariant::LogHasNoGaps, number <= end + 1, || {
                        format!("{number} behind {end}")
                    });
                    end = number;
                }
                WalRecord::Snapshot(snapshot) => {
                    end = snapshot.position.number;
                    check(
                        Invariant::CommittedStays,
                        end >= self.durable.committed,
                        || format!("snapshot at {end}, {} committed", self.durable.committed),
                    );
                }
                // A rewrite records an acceptance before the promise that may have followed it.
                WalRecord::Promise { ballot, .. } | WalRecord::Accepted { ballot, .. } => {
                    promised = Some(ballot);
                }
                WalRecord::View(view) => {
                    let held = self.durable.view.epoch;
                    check(Invariant::BallotRises, view.epoch >= held, || {
                        format!("epoch {} behind {held}", view.epoch)
                    });
                    same_epoch = view.epoch == held;
                }
                WalRecord::Identity(_) | WalRecord::InSync { .. } | WalRecord::Committed { .. } => {
                }
            }
        }
        let held = self.durable.promised.as_ref().filter(|_| same_epoch);
        let rises = promised.is_none() || promised >= held;
        check(Invariant::BallotRises, rises, || {
            format!("{promised:?} behind {held:?}")
        });
    }
}
