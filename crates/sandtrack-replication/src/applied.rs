//! The committed state: the machine, and the outcomes of the last calls, so that a call that is repeated
//! finds its outcome instead of a second run. The same on every member after the same entry.
use std::collections::VecDeque;

use borsh::{BorshDeserialize, BorshSerialize};
use sandtrack_invariants::{check, Invariant};

use crate::message::{CallId, Entry, Position, Snapshot};
use crate::StateMachine;

/// Calls whose outcomes are kept.
const OUTCOMES: usize = 256;

#[derive(Clone)]
pub(crate) struct Applied<M> {
    pub(crate) machine: M,
    /// The last entry applied.
    pub(crate) at: Position,
    outcomes: VecDeque<Outcome>,
}

#[derive(Clone, BorshSerialize, BorshDeserialize)]
pub(crate) struct Outcome {
    pub(crate) call: CallId,
    pub(crate) number: u64,
    pub(crate) outcome: Vec<u8>,
}

#[derive(BorshSerialize, BorshDeserialize)]
struct State {
    machine: Vec<u8>,
    outcomes: VecDeque<Outcome>,
}

impl<M: StateMachine> Applied<M> {
    pub(crate) fn new(machine: M) -> Self {
        Self {
            machine,
            at: Position {
                number: 0,
                epoch: 0,
            },
            outcomes: VecDeque::new(),
        }
    }

    /// Applies the entry after the last one.
    pub(crate) fn apply(&mut self, entry: &Entry) -> Vec<u8> {
        let follows = entry.at.number == self.at.number + 1 && entry.at.epoch >= self.at.epoch;
        check(Invariant::AppliedInOrder, follows, || {
            format!("{:?} behind {:?}", entry.at, self.at)
        });
        let outcome = self.machine.apply(entry.at.number, &entry.command);
        self.at = entry.at;
        if self.outcomes.len() == OUTCOMES {
            self.outcomes.pop_front();
        }
        let number = entry.at.number;
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
        let state = State {
            machine: self.machine.snapshot(),
            outcomes: self.outcomes.clone(),
        };
        // Writing into memory can't fail.
        Snapshot {
            at: self.at,
            state: borsh::to_vec(&state).unwrap_or_default(),
        }
    }

    /// False, and no change, when the snapshot can't be read.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) -> bool {
        let Ok(state) = State::try_from_slice(&snapshot.state) else {
            return false;
        };
        if !self.machine.restore(&state.machine) {
            return false;
        }
        self.outcomes = state.outcomes;
        self.at = snapshot.at;
        true
    }
}
