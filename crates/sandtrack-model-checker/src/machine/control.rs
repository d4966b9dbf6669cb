//! The real control state as a machine of the model, with and without the check of stamps.
use sandtrack_control::state_machine::{ChangeKind, Command, ControlState, Outcome};
use sandtrack_replication::StateMachine;

use super::{Machine, Operation, VisibleConfiguration, ZONE};
use crate::control_frontend::{ControlFrontend, HasControlState};
use crate::operation::{body, visible_configuration_in};

/// Whether a command of the control state submits an operation.
fn submits(command: &Command, operation: Operation) -> bool {
    match (command, operation) {
        (
            Command::Configure {
                kind: ChangeKind::Replace,
                based_on,
                body: text,
            },
            Operation::Change { .. },
        ) => {
            let Operation::Change {
                based_on: theirs,
                version,
                mark,
            } = operation
            else {
                return false;
            };
            *based_on == theirs && *text == body(version, mark)
        }
        (Command::SetEvacuation { begin, .. }, Operation::Evacuate { begin: theirs }) => {
            *begin == theirs
        }
        _ => false,
    }
}

/// A call is retried for as long as its caller waits: 850 ms.
const CONTROL_CALL_TICKS: f64 = 3.0;

impl Machine for ControlState {
    type Frontend = ControlFrontend;
    const CALL_TICKS: f64 = CONTROL_CALL_TICKS;

    fn script_index(script: &[Operation], command: &[u8]) -> Option<usize> {
        let command = borsh::from_slice(command).ok()?;
        script
            .iter()
            .position(|operation| submits(&command, *operation))
    }

    fn is_accepted(outcome: &[u8]) -> bool {
        matches!(borsh::from_slice(outcome), Ok(Outcome::Accepted { .. }))
    }

    fn visible_configuration(&self) -> VisibleConfiguration {
        match self.configuration_frame() {
            Some(sandtrack_protocol::frames::ToProxy::Configuration { document, .. }) => {
                visible_configuration_in(&document)
            }
            _ => VisibleConfiguration::default(),
        }
    }

    fn is_evacuated(&self) -> bool {
        self.evacuated_zones().any(|zone| zone == ZONE)
    }
}

impl HasControlState for ControlState {
    fn control_state(&self) -> &ControlState {
        self
    }
}

/// The control state, with every evacuation stamped as if its sender knew of all before it. It shows that the stamp is
/// needed: without it, a late operation undoes a later one.
#[derive(Clone, Debug, Default)]
pub struct Unstamped(ControlState);

impl StateMachine for Unstamped {
    fn apply(&mut self, number: u64, command: &[u8]) -> Vec<u8> {
        match borsh::from_slice(command) {
            Ok(Command::SetEvacuation { zone, begin, .. }) => {
                let unstamped = Command::SetEvacuation {
                    zone,
                    begin,
                    last_known: u64::MAX,
                };
                self.0
                    .apply(number, &borsh::to_vec(&unstamped).unwrap_or_default())
            }
            _ => self.0.apply(number, command),
        }
    }

    fn query(&self, question: &[u8]) -> Vec<u8> {
        self.0.query(question)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        self.0.restore(snapshot)
    }
}

impl Machine for Unstamped {
    type Frontend = ControlFrontend;
    const CALL_TICKS: f64 = CONTROL_CALL_TICKS;

    fn script_index(script: &[Operation], command: &[u8]) -> Option<usize> {
        ControlState::script_index(script, command)
    }

    fn is_accepted(outcome: &[u8]) -> bool {
        ControlState::is_accepted(outcome)
    }

    fn visible_configuration(&self) -> VisibleConfiguration {
        self.0.visible_configuration()
    }

    fn is_evacuated(&self) -> bool {
        self.0.is_evacuated()
    }
}

impl HasControlState for Unstamped {
    fn control_state(&self) -> &ControlState {
        &self.0
    }
}
