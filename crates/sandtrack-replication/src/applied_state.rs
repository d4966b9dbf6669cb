//! The committed state: the machine, and the outcomes of the last calls, so that a call that is repeated
//! finds its outcome instead of a second run. The same on every member after the same entry.
use std::collections::VecDeque;

use borsh::{BorshDeserialize, BorshSerialize};
use sandtrack_invariants::{check, Invariant};

use crate::message::{CallId, Entry, LogPosition, Snapshot};
use crate::StateMachine;

/// Calls whose outcomes are kept.
const MAX_RETAINED_OUTCOMES: usize = 256;

#[derive(Clone)]
pub(crate) struct AppliedState<M> {
    pub(crate) machine: M,
    /// The last entry applied.
    pub(crate) position: LogPosition,
    outcomes: VecDeque<Outcome>,
}

#[derive(Clone, BorshSerialize, BorshDeserialize)]
pub(crate) struct Outcome {
    pub(crate) call: CallId,
    pub(crate) number: u64,
    pub(crate) outcome: Vec<u8>,
}

#[derive(BorshSerialize, BorshDeserialize)]
struct SnapshotContent {
    machine: Vec<u8>,
    outcomes: VecDeque<Outcome>,
}

impl<M: StateMachine> AppliedState<M> {
    pub(crate) fn new(machine: M) -> Self {
        Self {
            machine,
            position: LogPosition::ZERO,
            outcomes: VecDeque::new(),
        }
    }

    /// Applies the entry after the last one.
    pub(crate) fn apply(&mut self, entry: &Entry) -> Vec<u8> {
        let follows = entry.position.number == self.position.number + 1
            && entry.position.epoch >= self.position.epoch;
        check(Invariant::AppliedInOrder, follows, || {
            format!("{:?} behind {:?}", entry.position, self.position)
        });
        let outcome = self.machine.apply(entry.position.number, &entry.command);
        self.position = entry.position;
        if self.outcomes.len() == MAX_RETAINED_OUTCOMES {
            self.outcomes.pop_front();
        }
        let number = entry.position.number;
        self.outcomes.push_back(Outcome {
            call: entry.call.clone(),
            number,
            outcome: outcome.clone(),
        });
        outcome
    }

    pub(crate) fn outcome(&self, call: &CallId) -> Option<&Outcome> {
        self.outcomes
            .iter()
            .rev()
            .find(|outcome| outcome.call == *call)
    }

    pub(crate) fn snapshot(&self) -> Snapshot {
        let state = SnapshotContent {
            machine: self.machine.snapshot(),
            outcomes: self.outcomes.clone(),
        };
        // Writing into memory can't fail.
        Snapshot {
            position: self.position,
            state: borsh::to_vec(&state).unwrap_or_default(),
        }
    }

    /// False, and no change, when the snapshot can't be read.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) -> bool {
        let Ok(state) = SnapshotContent::try_from_slice(&snapshot.state) else {
            return false;
        };
        if !self.machine.restore(&state.machine) {
            return false;
        }
        self.outcomes = state.outcomes;
        self.position = snapshot.position;
        true
    }
}
