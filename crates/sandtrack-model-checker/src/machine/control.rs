//! The real control state as a machine of the model, as it is and with variations.
use std::fmt::Debug;
use std::marker::PhantomData;

use sandtrack_control::state_machine::{ChangeKind, Command, ControlState, Outcome, RulesVersion};
use sandtrack_replication::StateMachine;

use super::{Machine, Operation, VisibleConfiguration, ZONE};
use crate::control_frontend::{ControlFrontend, HasControlState};
use crate::operation::{body, key_update, visible_configuration_in};

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
        (
            Command::Configure {
                kind: ChangeKind::Update,
                based_on,
                body: text,
            },
            Operation::GiveKey {
                based_on: theirs,
                version,
                tenant,
            },
        ) => *based_on == theirs && *text == key_update(version, tenant),
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

    fn has_valid_configuration(&self) -> bool {
        self.fault().is_none()
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

/// How a machine differs from the real control state.
pub trait Variation: Clone + Debug + Default + Send + Sync + 'static {
    /// The state before the first command.
    fn initial() -> ControlState {
        ControlState::default()
    }

    /// A command as it is applied.
    fn applied(command: Command) -> Command {
        command
    }
}

/// Every evacuation is stamped as if its sender knew of all before it. It shows that the stamp is needed: without it, a late
/// operation undoes a later one.
#[derive(Clone, Debug, Default)]
pub struct WithoutStamps;

impl Variation for WithoutStamps {
    fn applied(command: Command) -> Command {
        match command {
            Command::SetEvacuation { zone, begin, .. } => Command::SetEvacuation {
                zone,
                begin,
                last_known: u64::MAX,
            },
            other => other,
        }
    }
}

/// The latest rules are in force from the start.
#[derive(Clone, Debug, Default)]
pub struct WithLatestRules;

impl Variation for WithLatestRules {
    fn initial() -> ControlState {
        let mut state = ControlState::default();
        let agreement = RulesVersion::LATEST.agreement();
        state.apply(0, &borsh::to_vec(&agreement).unwrap_or_default());
        state
    }
}

/// A control state with a variation.
#[derive(Clone, Debug)]
pub struct Varied<V> {
    state: ControlState,
    variation: PhantomData<V>,
}

/// The control state without the check of stamps.
pub type Unstamped = Varied<WithoutStamps>;
/// The control state with the latest rules in force.
pub type LatestRules = Varied<WithLatestRules>;

impl<V: Variation> Default for Varied<V> {
    fn default() -> Self {
        Self {
            state: V::initial(),
            variation: PhantomData,
        }
    }
}

impl<V: Variation> StateMachine for Varied<V> {
    fn apply(&mut self, number: u64, command: &[u8]) -> Vec<u8> {
        match borsh::from_slice(command) {
            Ok(command) => {
                let applied = borsh::to_vec(&V::applied(command)).unwrap_or_default();
                self.state.apply(number, &applied)
            }
            Err(_) => self.state.apply(number, command),
        }
    }

    fn query(&self, question: &[u8]) -> Vec<u8> {
        self.state.query(question)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        self.state.restore(snapshot)
    }
}

impl<V: Variation> Machine for Varied<V> {
    type Frontend = ControlFrontend;
    const CALL_TICKS: f64 = CONTROL_CALL_TICKS;

    fn script_index(script: &[Operation], command: &[u8]) -> Option<usize> {
        ControlState::script_index(script, command)
    }

    fn is_accepted(outcome: &[u8]) -> bool {
        ControlState::is_accepted(outcome)
    }

    fn visible_configuration(&self) -> VisibleConfiguration {
        self.state.visible_configuration()
    }

    fn has_valid_configuration(&self) -> bool {
        self.state.has_valid_configuration()
    }

    fn is_evacuated(&self) -> bool {
        self.state.is_evacuated()
    }
}

impl<V: Variation> HasControlState for Varied<V> {
    fn control_state(&self) -> &ControlState {
        &self.state
    }
}
