//! The state machines that the replicas run in the model: the real control state with tiny documents, and a register
//! that does the same for a tenth of the time.
use std::collections::VecDeque;

use sandtrack_control::control_state::{Answer, Command, ControlState, Outcome, Question};
use sandtrack_protocol::document::Document;
use sandtrack_replication::StateMachine;

/// The zone that the orders of the model evacuate.
pub const ZONE: &str = "z";

/// What an operator orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// A configuration that builds on `based_on`; `mark` tells the bytes of two of one version apart.
    Change { based_on: u64, version: u64, mark: char },
    /// The zone is evacuated, or is so no longer. Not conditional.
    Evacuate { begin: bool },
    /// The configuration is read back.
    Read,
}

/// What came of an order, as its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Told {
    /// 200.
    Taken { version: u64 },
    /// 412.
    OtherVersion,
    /// 400.
    Invalid,
    /// What was read.
    Read(Shown),
}

/// What a configuration looks like from outside.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Shown {
    pub version: u64,
    /// Of the configuration's bytes; a blank where there is none.
    pub mark: char,
}

/// A state machine that the model can drive.
pub trait Machine: StateMachine + Clone + Default + Send + Sync + 'static {
    /// The bytes of a submit; `None` for a read.
    fn command(order: Order) -> Option<Vec<u8>>;
    fn question() -> Vec<u8>;
    /// The answer to an order, decoded.
    fn told(order: Order, answer: &[u8]) -> Told;
    fn shown(&self) -> Shown;
    fn is_evacuated(&self) -> bool;
}

fn body(version: u64, mark: char) -> Vec<u8> {
    let limits = r#"{"header_size_bytes":1,"body_size_bytes":1,"header_timeout_ms":1,"idle_timeout_ms":1}"#;
    let route = format!(
        r#"{{"name":"{mark}","host":"h","path_prefix":"/","kind":"read_only","timeout_ms":1,"target_latency_ms":1,"priority":0,"attempts":1,"service":"s"}}"#
    );
    let service =
        r#"{"name":"s","health_path":"/","connection_limit":1,"cold_start_s":0.0,"cold_rate_s":0.0}"#;
    format!(r#"{{"version_number":{version},"routes":[{route}],"services":[{service}],"limits":{limits}}}"#)
        .into_bytes()
}

/// The version and the mark of a configuration's text; a foreign text has the mark `?`.
fn shown_in(text: &str) -> Shown {
    let Ok(document) = Document::parse(text.as_bytes()) else {
        return Shown { version: 0, mark: '?' };
    };
    let name = document.list("routes").and_then(|routes| routes.first()).map(|route| route.name.clone());
    let mark = name.and_then(|name| name.chars().next()).unwrap_or('?');
    Shown { version: document.version, mark }
}

impl Machine for ControlState {
    fn command(order: Order) -> Option<Vec<u8>> {
        let command = match order {
            Order::Change { based_on, version, mark } => {
                Command::Replace { based_on, body: body(version, mark) }
            }
            Order::Evacuate { begin } => Command::Evacuate { zone: ZONE.to_owned(), begin },
            Order::Read => return None,
        };
        borsh::to_vec(&command).ok()
    }

    fn question() -> Vec<u8> {
        borsh::to_vec(&Question::Configuration).unwrap_or_default()
    }

    fn told(order: Order, answer: &[u8]) -> Told {
        if order == Order::Read {
            let text: Answer = borsh::from_slice(answer).unwrap_or_default();
            return Told::Read(text.map(|text| shown_in(&text)).unwrap_or_default());
        }
        match borsh::from_slice(answer) {
            Ok(Outcome::Taken { version }) => Told::Taken { version },
            Ok(Outcome::Other { .. }) => Told::OtherVersion,
            _ => Told::Invalid,
        }
    }

    fn shown(&self) -> Shown {
        match self.whole() {
            Some(sandtrack_protocol::frames::ToProxy::Configuration { document, .. }) => shown_in(&document),
            _ => Shown::default(),
        }
    }

    fn is_evacuated(&self) -> bool {
        self.evacuated().any(|zone| zone == ZONE)
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
                self.shown = Shown { version: change.1, mark: change.2 };
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
        let mut bytes = vec![self.shown.version as u8, self.shown.mark as u8, u8::from(self.evacuated)];
        for (based_on, version, mark) in &self.taken {
            bytes.extend([*based_on as u8, *version as u8, *mark as u8]);
        }
        bytes
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        let [version, mark, evacuated, taken @ ..] = snapshot else {
            return false;
        };
        self.shown = Shown { version: u64::from(*version), mark: char::from(*mark) };
        self.evacuated = *evacuated == 1;
        let change = |three: &[u8]| (u64::from(three[0]), u64::from(three[1]), char::from(three[2]));
        self.taken = taken.chunks_exact(3).map(change).collect();
        true
    }
}

impl Machine for Register {
    fn command(order: Order) -> Option<Vec<u8>> {
        match order {
            Order::Change { based_on, version, mark } => {
                Some(vec![CHANGE, based_on as u8, version as u8, mark as u8])
            }
            Order::Evacuate { begin } => Some(vec![if begin { BEGIN } else { FINISH }]),
            Order::Read => None,
        }
    }

    fn question() -> Vec<u8> {
        Vec::new()
    }

    fn told(order: Order, answer: &[u8]) -> Told {
        match answer {
            [version, mark] if order == Order::Read => {
                Told::Read(Shown { version: u64::from(*version), mark: char::from(*mark) })
            }
            [TAKEN, version] => Told::Taken { version: u64::from(*version) },
            [OTHER, _] => Told::OtherVersion,
            _ => Told::Invalid,
        }
    }

    fn shown(&self) -> Shown {
        self.shown
    }

    fn is_evacuated(&self) -> bool {
        self.evacuated
    }
}
