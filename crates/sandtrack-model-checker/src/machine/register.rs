//! A register that behaves like the control state, in a tenth of the time.
use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;

use sandtrack_control::operator_api::call_age::Arrival;
use sandtrack_replication::{CallError, StateMachine};

use super::{CallOutcome, Machine, Operation, VisibleConfiguration};
use crate::call_frontend::{CallFrontend, FrontendStep};

/// The control state without documents. Its evacuations are not conditional and have no identity.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Register {
    shown: VisibleConfiguration,
    evacuated: bool,
    /// Base, version and mark of the accepted changes: each is acknowledged again when it is submitted again.
    taken: VecDeque<(u64, u64, char)>,
}

const CHANGE: u8 = b'c';
const BEGIN: u8 = b'b';
const FINISH: u8 = b'f';
const TAKEN: u8 = b't';
const OTHER: u8 = b'o';

impl StateMachine for Register {
    fn apply(&mut self, _number: u64, command: &[u8]) -> Vec<u8> {
        match command {
            [CHANGE, based_on, version, mark] => {
                let change = (u64::from(*based_on), u64::from(*version), char::from(*mark));
                if self.taken.contains(&change) {
                    return vec![TAKEN, *version];
                }
                if change.0 != self.shown.version || change.1 <= self.shown.version {
                    return vec![OTHER, self.shown.version as u8];
                }
                self.shown = VisibleConfiguration {
                    version: change.1,
                    mark: change.2,
                };
                self.taken.push_back(change);
            }
            [BEGIN] => self.evacuated = true,
            [FINISH] => self.evacuated = false,
            _ => return Vec::new(),
        }
        vec![TAKEN, self.shown.version as u8]
    }

    fn query(&self, _question: &[u8]) -> Vec<u8> {
        vec![self.shown.version as u8, self.shown.mark as u8]
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut bytes = vec![
            self.shown.version as u8,
            self.shown.mark as u8,
            u8::from(self.evacuated),
        ];
        for (based_on, version, mark) in &self.taken {
            bytes.extend([*based_on as u8, *version as u8, *mark as u8]);
        }
        bytes
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        let [version, mark, evacuated, taken @ ..] = snapshot else {
            return false;
        };
        self.shown = VisibleConfiguration {
            version: u64::from(*version),
            mark: char::from(*mark),
        };
        self.evacuated = *evacuated == 1;
        let change = |three: &[u8]| {
            (
                u64::from(three[0]),
                u64::from(three[1]),
                char::from(three[2]),
            )
        };
        self.taken = taken.chunks_exact(3).map(change).collect();
        true
    }
}

impl Register {
    /// The command of an operation; `None` for a read.
    pub(crate) fn command(operation: Operation) -> Option<Vec<u8>> {
        match operation {
            Operation::Change {
                based_on,
                version,
                mark,
            } => Some(vec![CHANGE, based_on as u8, version as u8, mark as u8]),
            Operation::GiveKey {
                based_on,
                version,
                tenant,
            } => Some(vec![CHANGE, based_on as u8, version as u8, tenant as u8]),
            Operation::Evacuate { begin } => Some(vec![if begin { BEGIN } else { FINISH }]),
            Operation::Read => None,
        }
    }

    /// The outcome in the replica's answer to an operation.
    pub(crate) fn call_outcome(operation: Operation, answer: &[u8]) -> CallOutcome {
        match answer {
            [version, mark] if operation == Operation::Read => {
                CallOutcome::Read(VisibleConfiguration {
                    version: u64::from(*version),
                    mark: char::from(*mark),
                })
            }
            [TAKEN, _] => CallOutcome::Accepted,
            [OTHER, _] => CallOutcome::VersionMismatch,
            _ => CallOutcome::Invalid,
        }
    }
}

/// Passes calls to the replica unchanged, and its answers to the callers.
#[derive(Clone, Debug)]
pub struct DirectFrontend {
    open: BTreeMap<u64, Operation>,
}

impl CallFrontend<Register> for DirectFrontend {
    fn new(_now: f64) -> Self {
        Self {
            open: BTreeMap::new(),
        }
    }

    fn process_due(&mut self, _now: f64) -> Vec<FrontendStep> {
        Vec::new()
    }

    fn call(
        &mut self,
        _now: f64,
        call: u64,
        operation: Operation,
        _arrival: Arrival,
        _machine: &Register,
    ) -> Option<FrontendStep> {
        self.open.insert(call, operation);
        Some(match Register::command(operation) {
            Some(command) => FrontendStep::Submit {
                number: call,
                command,
            },
            None => FrontendStep::Read {
                number: call,
                question: Vec::new(),
            },
        })
    }

    fn answer(
        &mut self,
        _now: f64,
        number: u64,
        result: Result<Vec<u8>, CallError>,
        _machine: &Register,
    ) -> Option<FrontendStep> {
        let operation = self.open.remove(&number)?;
        Some(FrontendStep::Respond {
            call: number,
            outcome: result
                .ok()
                .map(|answer| Register::call_outcome(operation, &answer)),
        })
    }

    fn expire(&mut self, _now: f64) -> Vec<FrontendStep> {
        Vec::new()
    }

    /// Adds nothing: the replica's state holds the same calls.
    fn fingerprint_into(&self, _state: &mut impl Hasher) {}
}

impl Machine for Register {
    type Frontend = DirectFrontend;
    const CALL_TICKS: f64 = 12.0;

    fn script_index(script: &[Operation], command: &[u8]) -> Option<usize> {
        script
            .iter()
            .position(|operation| Self::command(*operation).as_deref() == Some(command))
    }

    fn is_accepted(outcome: &[u8]) -> bool {
        matches!(outcome, [TAKEN, _])
    }

    fn visible_configuration(&self) -> VisibleConfiguration {
        self.shown
    }

    /// Its changes have no content that could be invalid.
    fn has_valid_configuration(&self) -> bool {
        true
    }

    fn is_evacuated(&self) -> bool {
        self.evacuated
    }
}
