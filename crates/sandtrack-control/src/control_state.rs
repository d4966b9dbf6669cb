//! The control state: what the operators ordered and control agreed on. It is the replica's state machine: the configuration, the
//! zones that are evacuated, and marks of what was taken lately. It must give the same on every machine, and never
//! look at a clock.
use borsh::{BorshDeserialize, BorshSerialize};
use sandtrack_protocol::codes;
use sandtrack_protocol::configuration::Configuration;
use sandtrack_protocol::document::{Document, Invalid, Update};
use sandtrack_protocol::frames::{ItemChange, ToProxy};
use sandtrack_replication::StateMachine;
use std::collections::{BTreeSet, VecDeque};
use std::fmt;

/// So many of the configurations taken last are known again when they are sent once more.
const TAKEN_KEPT: usize = 256;
/// So many changes are kept to be spread as such, and so many bytes of them.
const CHANGES_KEPT: usize = 16;
const CHANGES_BYTES: usize = 256 * 1024;

/// What an operator orders. `based_on` is the version that the body builds on, the body as it was sent.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Command {
    Replace { based_on: u64, body: Vec<u8> },
    Update { based_on: u64, body: Vec<u8> },
    Evacuate { zone: String, begin: bool },
}

impl fmt::Display for Command {
    /// Kind, zone or base, and size: a line of the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Command::Replace { based_on, body } => write!(f, "replace on {based_on}, {} bytes", body.len()),
            Command::Update { based_on, body } => write!(f, "update on {based_on}, {} bytes", body.len()),
            Command::Evacuate { zone, begin: true } => write!(f, "evacuation of {zone} begins"),
            Command::Evacuate { zone, begin: false } => write!(f, "evacuation of {zone} is over"),
        }
    }
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Outcome {
    /// It is in force; `version` is the configuration's.
    Taken { version: u64 },
    /// It builds on another version than the current one.
    Other { current: u64 },
    /// It can never be taken as it is.
    Invalid { code: u16, place: String, what: String },
}

/// What a caller asks of the control state.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Question {
    /// The configuration, whole; the answer is an [`Answer`].
    Configuration,
}

/// The newest configuration as JSON text; `None` before the first.
pub type Answer = Option<String>;

/// What led from one configuration to the next, by their numbers.
#[derive(Clone, Debug, PartialEq)]
struct Change {
    from_number: u64,
    number: u64,
    version: u64,
    items: Vec<ItemChange>,
    fields: Vec<(String, String)>,
    size: usize,
}

/// A configuration that was taken: what it builds on and its bytes, told by their digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
struct Taken {
    version: u64,
    digest: [u64; 2],
}

#[derive(BorshSerialize, BorshDeserialize)]
struct Snapshot {
    document: String,
    configuration_number: u64,
    evacuation_number: u64,
    taken: Vec<Taken>,
    evacuated: Vec<String>,
}

/// The state that operators change.
#[derive(Clone, Debug, Default)]
pub struct ControlState {
    document: Document,
    /// Number of the command that made the configuration what it is, and of the one that last changed an evacuation.
    configuration_number: u64,
    evacuation_number: u64,
    taken: VecDeque<Taken>,
    evacuated: BTreeSet<String>,
    /// How the last configurations came from each other; not part of the state.
    changes: VecDeque<Change>,
}

/// Two 64-bit FNV-1a digests of what a call orders, from different starts. They are on disk: they must stay as they are.
fn digest(kind: u8, based_on: u64, body: &[u8]) -> [u64; 2] {
    let head = based_on.to_be_bytes();
    let mut sums = [0xcbf2_9ce4_8422_2325_u64, 0x6c62_272e_07bb_0142];
    for byte in std::iter::once(&kind).chain(&head).chain(body) {
        for (at, sum) in sums.iter_mut().enumerate() {
            *sum = (*sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3).rotate_left(at as u32 * 5);
        }
    }
    sums
}

impl From<Invalid> for Outcome {
    fn from(invalid: Invalid) -> Outcome {
        Outcome::Invalid { code: invalid.code.0, place: invalid.place, what: invalid.what }
    }
}

impl ControlState {
    /// Version of the configuration; 0 before the first.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// Number of the command that made the configuration what it is; 0 before the first.
    pub fn configuration_number(&self) -> u64 {
        self.configuration_number
    }

    pub fn evacuation_number(&self) -> u64 {
        self.evacuation_number
    }

    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.evacuated.iter().map(String::as_str)
    }

    /// The frame with the whole configuration; `None` before the first.
    pub fn whole(&self) -> Option<ToProxy> {
        (self.configuration_number > 0).then(|| ToProxy::Configuration {
            number: self.configuration_number,
            version: self.document.version,
            document: self.document.to_json(),
        })
    }

    /// The frames that lead from the configuration of number `from` to this one; `None` where that is not known any more.
    pub fn changes_since(&self, from: u64) -> Option<Vec<ToProxy>> {
        let at = self.changes.iter().position(|change| change.from_number == from)?;
        let frame = |change: &Change| ToProxy::Changes {
            from_number: change.from_number,
            number: change.number,
            version: change.version,
            items: change.items.clone(),
            fields: change.fields.clone(),
        };
        Some(self.changes.range(at..).map(frame).collect())
    }

    /// Whether the document can be taken at all, whatever is current.
    ///
    /// # Errors
    /// What makes it invalid.
    pub fn check(body: &[u8]) -> Result<(), Invalid> {
        Configuration::read(&Document::parse(body)?).map(drop)
    }

    fn configure(
        &mut self, number: u64, based_on: u64, digest: [u64; 2],
        next: impl FnOnce(&Document) -> Result<Document, Invalid>,
    ) -> Outcome {
        if let Some(known) = self.taken.iter().find(|known| known.digest == digest) {
            return Outcome::Taken { version: known.version };
        }
        let next = match next(&self.document) {
            Ok(next) => next,
            Err(invalid) => return invalid.into(),
        };
        // An update that builds on another version may be valid there and not here: that it lost is what counts.
        if based_on != self.document.version {
            return Outcome::Other { current: self.document.version };
        }
        if let Err(invalid) = Configuration::read(&next) {
            return invalid.into();
        }
        if next.version <= self.document.version {
            let place = format!("version_number {}, current {}", next.version, self.document.version);
            return Invalid::new(codes::VERSION_NOT_ABOVE, place).into();
        }
        self.note_change(number, &next);
        let version = next.version;
        (self.document, self.configuration_number) = (next, number);
        self.taken.push_back(Taken { version, digest });
        while self.taken.len() > TAKEN_KEPT {
            self.taken.pop_front();
        }
        Outcome::Taken { version }
    }

    fn note_change(&mut self, number: u64, next: &Document) {
        let (items, fields) = self.document.changes(next);
        let text = |item: &ItemChange| item.json.as_ref().map_or(0, String::len) + item.name.len();
        let size = items.iter().map(text).sum::<usize>()
            + fields.iter().map(|(name, json)| name.len() + json.len()).sum::<usize>();
        let from_number = self.configuration_number;
        self.changes.push_back(Change { from_number, number, version: next.version, items, fields, size });
        while self.changes.len() > CHANGES_KEPT
            || self.changes.iter().map(|change| change.size).sum::<usize>() > CHANGES_BYTES
        {
            self.changes.pop_front();
        }
    }
}

impl StateMachine for ControlState {
    fn apply(&mut self, number: u64, command: &[u8]) -> Vec<u8> {
        let outcome = match borsh::from_slice(command) {
            Ok(Command::Replace { based_on, body }) => {
                let digest = digest(0, based_on, &body);
                self.configure(number, based_on, digest, |_| Document::parse(&body))
            }
            Ok(Command::Update { based_on, body }) => {
                let digest = digest(1, based_on, &body);
                self.configure(number, based_on, digest, |current| {
                    Update::parse(&body).map(|update| current.updated(&update))
                })
            }
            Ok(Command::Evacuate { zone, begin }) => {
                let changed = if begin { self.evacuated.insert(zone) } else { self.evacuated.remove(&zone) };
                if changed {
                    self.evacuation_number = number;
                }
                Outcome::Taken { version: self.document.version }
            }
            // Of a later program: the same answer from every machine.
            Err(error) => Outcome::Invalid {
                code: codes::BAD_CALL.0,
                place: "command".to_owned(),
                what: error.to_string(),
            },
        };
        borsh::to_vec(&outcome).unwrap_or_default()
    }

    fn query(&self, question: &[u8]) -> Vec<u8> {
        let answer: Answer = match borsh::from_slice(question) {
            Ok(Question::Configuration) => (self.configuration_number > 0).then(|| self.document.to_json()),
            Err(_) => None,
        };
        borsh::to_vec(&answer).unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        let document = if self.configuration_number > 0 { self.document.to_json() } else { String::new() };
        let snapshot = Snapshot {
            document,
            configuration_number: self.configuration_number,
            evacuation_number: self.evacuation_number,
            taken: self.taken.iter().copied().collect(),
            evacuated: self.evacuated.iter().cloned().collect(),
        };
        borsh::to_vec(&snapshot).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        let Ok(snapshot) = borsh::from_slice::<Snapshot>(snapshot) else { return false };
        let document = match snapshot.configuration_number {
            0 => Document::default(),
            _ => match Document::parse(snapshot.document.as_bytes()) {
                Ok(document) => document,
                Err(_) => return false,
            },
        };
        *self = ControlState {
            document,
            configuration_number: snapshot.configuration_number,
            evacuation_number: snapshot.evacuation_number,
            taken: snapshot.taken.into(),
            evacuated: snapshot.evacuated.into_iter().collect(),
            changes: VecDeque::new(),
        };
        true
    }
}
