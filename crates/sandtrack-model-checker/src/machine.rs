//! The state machines that the replicas run in the model: the real control state with tiny documents, the same without
//! the check of an order's stamp, and a register that does the same for a tenth of the time.
use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;

use sandtrack_control::operator_api::call_age::Arrival;
use sandtrack_control::state_machine::{ChangeKind, Command, ControlState, Outcome};
use sandtrack_replication::{CallError, StateMachine};

use crate::interface::{Interface, Step};
use crate::operators::{ControlMachine, Operators};
use crate::order::{body, shown_in};
pub use crate::order::{Order, Shown, Told, ZONE};

/// A state machine that the model can drive.
pub trait Machine: StateMachine + Clone + Default + Send + Sync + 'static {
    /// What callers meet in front of the replica.
    type Interface: Interface<Self>;
    /// Ticks for which a replica tries on with a call.
    const CALL_TICKS: f64;

    /// Place in the script of the first order that a command may come from.
    fn place_of(script: &[Order], command: &[u8]) -> Option<usize>;
    /// Whether a command with this outcome is in force.
    fn is_taken(outcome: &[u8]) -> bool;
    fn shown(&self) -> Shown;
    fn is_evacuated(&self) -> bool;
}

/// Whether a command of the control state, as it is submitted, carries an order.
fn carries(command: &Command, order: Order) -> bool {
    match (command, order) {
        (
            Command::Configure {
                kind: ChangeKind::Replace,
                based_on,
                body: text,
            },
            Order::Change { .. },
        ) => {
            let Order::Change {
                based_on: theirs,
                version,
                mark,
            } = order
            else {
                return false;
            };
            *based_on == theirs && *text == body(version, mark)
        }
        (Command::SetEvacuation { begin, .. }, Order::Evacuate { begin: theirs }) => {
            *begin == theirs
        }
        _ => false,
    }
}

/// A call is tried on with for as long as its caller waits: 850 ms.
const CONTROL_CALL_TICKS: f64 = 3.0;

impl Machine for ControlState {
    type Interface = Operators;
    const CALL_TICKS: f64 = CONTROL_CALL_TICKS;

    fn place_of(script: &[Order], command: &[u8]) -> Option<usize> {
        let command = borsh::from_slice(command).ok()?;
        script.iter().position(|order| carries(&command, *order))
    }

    fn is_taken(outcome: &[u8]) -> bool {
        matches!(borsh::from_slice(outcome), Ok(Outcome::Accepted { .. }))
    }

    fn shown(&self) -> Shown {
        match self.configuration_frame() {
            Some(sandtrack_protocol::frames::ToProxy::Configuration { document, .. }) => {
                shown_in(&document)
            }
            _ => Shown::default(),
        }
    }

    fn is_evacuated(&self) -> bool {
        self.evacuated_zones().any(|zone| zone == ZONE)
    }
}

impl ControlMachine for ControlState {
    fn control_state(&self) -> &ControlState {
        self
    }
}

/// The control state for which every evacuation counts as ordered with knowledge of all before it. It shows that the
/// stamp is needed: with it, a late order undoes a later one.
#[derive(Clone, Debug, Default)]
pub struct Unstamped(ControlState);

impl StateMachine for Unstamped {
    fn apply(&mut self, number: u64, command: &[u8]) -> Vec<u8> {
        match borsh::from_slice(command) {
            Ok(Command::SetEvacuation { zone, begin, .. }) => {
                let unstamped = Command::SetEvacuation {
                    zone,
                    begin,
                    seen: u64::MAX,
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
    type Interface = Operators;
    const CALL_TICKS: f64 = CONTROL_CALL_TICKS;

    fn place_of(script: &[Order], command: &[u8]) -> Option<usize> {
        ControlState::place_of(script, command)
    }

    fn is_taken(outcome: &[u8]) -> bool {
        ControlState::is_taken(outcome)
    }

    fn shown(&self) -> Shown {
        self.0.shown()
    }

    fn is_evacuated(&self) -> bool {
        self.0.is_evacuated()
    }
}

impl ControlMachine for Unstamped {
    fn control_state(&self) -> &ControlState {
        &self.0
    }
}

/// The control state without documents. Its evacuations are not conditional and have no identity.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Register {
    shown: Shown,
    evacuated: bool,
    /// Base, version and mark of the changes that were taken: each is acknowledged again.
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
                self.shown = Shown {
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
        self.shown = Shown {
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
    /// The bytes of a submit; `None` for a read.
    pub(crate) fn command(order: Order) -> Option<Vec<u8>> {
        match order {
            Order::Change {
                based_on,
                version,
                mark,
            } => Some(vec![CHANGE, based_on as u8, version as u8, mark as u8]),
            Order::Evacuate { begin } => Some(vec![if begin { BEGIN } else { FINISH }]),
            Order::Read => None,
        }
    }

    /// The answer to an order, decoded.
    pub(crate) fn told(order: Order, answer: &[u8]) -> Told {
        match answer {
            [version, mark] if order == Order::Read => Told::Read(Shown {
                version: u64::from(*version),
                mark: char::from(*mark),
            }),
            [TAKEN, _] => Told::Taken,
            [OTHER, _] => Told::OtherVersion,
            _ => Told::Invalid,
        }
    }
}

/// Calls go to the replica as they are, and its answers to the callers.
#[derive(Clone, Debug)]
pub struct Direct {
    open: BTreeMap<u64, Order>,
}

impl Interface<Register> for Direct {
    fn new(_now: f64) -> Self {
        Self {
            open: BTreeMap::new(),
        }
    }

    fn look(&mut self, _now: f64) -> Vec<Step> {
        Vec::new()
    }

    fn call(
        &mut self,
        _now: f64,
        call: u64,
        order: Order,
        _arrival: Arrival,
        _machine: &Register,
    ) -> Option<Step> {
        self.open.insert(call, order);
        Some(match Register::command(order) {
            Some(command) => Step::Submit {
                number: call,
                command,
            },
            None => Step::Read {
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
    ) -> Option<Step> {
        let order = self.open.remove(&number)?;
        Some(Step::Tell {
            call: number,
            told: result.ok().map(|answer| Register::told(order, &answer)),
        })
    }

    fn late(&mut self, _now: f64) -> Vec<Step> {
        Vec::new()
    }

    /// The replica knows of the same calls.
    fn fingerprint_into(&self, _state: &mut impl Hasher) {}
}

impl Machine for Register {
    type Interface = Direct;
    const CALL_TICKS: f64 = 12.0;

    fn place_of(script: &[Order], command: &[u8]) -> Option<usize> {
        script
            .iter()
            .position(|order| Self::command(*order).as_deref() == Some(command))
    }

    fn is_taken(outcome: &[u8]) -> bool {
        matches!(outcome, [TAKEN, _])
    }

    fn shown(&self) -> Shown {
        self.shown
    }

    fn is_evacuated(&self) -> bool {
        self.evacuated
    }
}
