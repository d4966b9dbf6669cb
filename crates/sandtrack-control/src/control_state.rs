//! The control state: what the operators ordered and control agreed on. It is the replica's state machine: the configuration, the
//! zones that are evacuated, and marks of what was taken lately. It must give the same on every machine, and never
//! look at a clock.
pub use crate::commands::{Answer, Command, Form, Outcome, Question};
use crate::evacuations::{Evacuations, OrderNumbers};
use crate::taken::{Digest, FnvRecord, Sha256Record, Taken};
use borsh::{BorshDeserialize, BorshSerialize};
use sandtrack_invariants::{check, Invariant};
use sandtrack_protocol::codes;
use sandtrack_protocol::configuration::Configuration;
use sandtrack_protocol::document::{ConfigurationError, Document, Update};
use sandtrack_protocol::frames::{ItemChange, ToProxy};
use sandtrack_replication::StateMachine;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::VecDeque;

/// Lists without which a document can't be read.
const REQUIRED_LISTS: [&str; 2] = ["routes", "services"];
/// Where a document has its version.
const VERSION_FIELD: &str = "version_number";
/// So many changes are kept to be spread as such, and so many bytes of them.
const CHANGES_KEPT: usize = 16;
const CHANGES_BYTES: usize = 256 * 1024;

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

/// The state as programs of format 1 wrote it. What later ones add stands behind it.
#[derive(BorshSerialize, BorshDeserialize)]
struct SnapshotBase {
    document: String,
    configuration_number: u64,
    evacuation_number: u64,
    taken: Vec<FnvRecord>,
    evacuated: Vec<String>,
}

/// What stands behind a [`SnapshotBase`]; nothing does in format 1. New formats are added at the end.
#[derive(BorshSerialize, BorshDeserialize)]
enum SnapshotMore {
    Format2 {
        taken: Vec<Sha256Record>,
        orders: OrderNumbers,
    },
}

/// The state that operators change.
#[derive(Clone, Debug, Default)]
pub struct ControlState {
    document: Document,
    /// Number of the command that made the configuration what it is.
    configuration_number: u64,
    taken: Taken,
    evacuations: Evacuations,
    /// How the last configurations came from each other; not part of the state.
    changes: VecDeque<Change>,
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

    /// Number of the command that last changed which zones are evacuated; 0 before the first.
    pub fn evacuation_number(&self) -> u64 {
        self.evacuations.changed()
    }

    /// The zones that are evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.evacuations.zones()
    }

    /// Number of the last order for a zone: what an order that is read now is stamped with.
    pub fn last_order(&self, zone: &str) -> u64 {
        self.evacuations.last_order(zone)
    }

    /// The version that a configuration made, if it is among those remembered as taken.
    pub fn version_taken(&self, command: &Command) -> Option<u64> {
        match command {
            Command::Configure {
                form,
                based_on,
                body,
            } => self.taken.version_of(*form, *based_on, body),
            _ => None,
        }
    }

    /// Whether there ever was an order for the zone.
    pub fn names_zone(&self, zone: &str) -> bool {
        self.evacuations.names(zone)
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
        let at = self
            .changes
            .iter()
            .position(|change| change.from_number == from)?;
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
    pub fn check(body: &[u8]) -> Result<(), ConfigurationError> {
        Configuration::read(&Document::parse(body)?).map(drop)
    }

    fn configure(
        &mut self,
        number: u64,
        form: Form,
        based_on: u64,
        body: &[u8],
        digest: Digest,
    ) -> Outcome {
        if let Some(version) = self.taken.version_of(form, based_on, body) {
            return Outcome::Taken { version };
        }
        let next = match self.next_document(form, body) {
            Ok(next) => next,
            Err(invalid) => return invalid.into(),
        };
        // An update that builds on another version may be valid there and not here: that it lost is what counts.
        if based_on != self.document.version {
            return match self.taken.may_have_forgotten(based_on) {
                true => Outcome::Forgotten,
                false => Outcome::Other {
                    current: self.document.version,
                },
            };
        }
        let next = match self.check_next(next) {
            Ok(next) => next,
            Err(invalid) => return invalid.into(),
        };
        let version = next.version;
        let rises = version > self.document.version && number > self.configuration_number;
        check(Invariant::VersionRises, rises, || {
            format!("{version} behind {}", self.document.version)
        });
        self.note_change(number, &next);
        (self.document, self.configuration_number) = (next, number);
        self.taken.push(version, digest);
        Outcome::Taken { version }
    }

    fn next_document(&self, form: Form, body: &[u8]) -> Result<Document, ConfigurationError> {
        match form {
            Form::Replace => Document::parse(body),
            Form::Update => Update::parse(body).map(|update| self.document.updated(&update)),
        }
    }

    /// The document that comes into force.
    fn check_next(&self, next: Document) -> Result<Document, ConfigurationError> {
        let next = as_read_back(next)?;
        Configuration::read(&next)?;
        if next.version <= self.document.version {
            let place = format!(
                "version_number {}, current {}",
                next.version, self.document.version
            );
            return Err(ConfigurationError::new(codes::VERSION_NOT_ABOVE, place));
        }
        Ok(next)
    }

    fn run(&mut self, number: u64, command: Command) -> Outcome {
        match command {
            Command::Replace { based_on, body } => {
                self.configure_format_1(number, Form::Replace, based_on, &body)
            }
            Command::Update { based_on, body } => {
                self.configure_format_1(number, Form::Update, based_on, &body)
            }
            Command::Evacuate { zone, begin } => {
                self.evacuations.set_format_1(number, zone, begin);
                Outcome::Taken {
                    version: self.document.version,
                }
            }
            Command::Configure {
                form,
                based_on,
                body,
            } => {
                let digest = Digest::sha256(form, based_on, &body);
                self.configure(number, form, based_on, &body, digest)
            }
            Command::SetEvacuation { zone, begin, seen } => {
                match self.evacuations.set(number, zone, begin, seen) {
                    Ok(()) => Outcome::Taken {
                        version: self.document.version,
                    },
                    Err(overtaken) => overtaken,
                }
            }
        }
    }

    fn configure_format_1(
        &mut self,
        number: u64,
        form: Form,
        based_on: u64,
        body: &[u8],
    ) -> Outcome {
        let digest = Digest::fnv(form, based_on, body);
        self.configure(number, form, based_on, body, digest)
    }

    fn note_change(&mut self, number: u64, next: &Document) {
        let (items, fields) = self.document.changes(next);
        let text = |item: &ItemChange| item.json.as_ref().map_or(0, String::len) + item.name.len();
        let size = items.iter().map(text).sum::<usize>()
            + fields
                .iter()
                .map(|(name, json)| name.len() + json.len())
                .sum::<usize>();
        let from_number = self.configuration_number;
        self.changes.push_back(Change {
            from_number,
            number,
            version: next.version,
            items,
            fields,
            size,
        });
        while self.changes.len() > CHANGES_KEPT
            || self.changes.iter().map(|change| change.size).sum::<usize>() > CHANGES_BYTES
        {
            self.changes.pop_front();
        }
    }
}

/// A document as everyone reads it who gets it as text: proxies, and members that restore a snapshot. An update can lead to
/// one that reads as something else, or not at all.
fn as_read_back(document: Document) -> Result<Document, ConfigurationError> {
    if document.list(VERSION_FIELD).is_some() {
        return Err(ConfigurationError::new(
            codes::CONFIGURATION_FIELD,
            VERSION_FIELD,
        ));
    }
    if reads_back_as_it_is(&document) {
        return Ok(document);
    }
    Document::parse(document.to_json().as_bytes())
}

/// Whether the text of a document certainly reads as the same document; cheap, as it is asked for each change.
fn reads_back_as_it_is(document: &Document) -> bool {
    let reads_as_list = |value: &OwnedValue| {
        value
            .as_array()
            .is_some_and(|items| items.iter().all(|item| item.as_object().is_some()))
    };
    REQUIRED_LISTS
        .iter()
        .all(|list| document.list(list).is_some())
        && !document
            .fields
            .iter()
            .any(|(_, value)| reads_as_list(value))
}

impl StateMachine for ControlState {
    fn apply(&mut self, number: u64, command: &[u8]) -> Vec<u8> {
        let outcome = match borsh::from_slice(command) {
            Ok(command) => self.run(number, command),
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
            Ok(Question::Configuration) => {
                (self.configuration_number > 0).then(|| self.document.to_json())
            }
            Ok(Question::Contact) | Err(_) => None,
        };
        borsh::to_vec(&answer).unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        let document = if self.configuration_number > 0 {
            self.document.to_json()
        } else {
            String::new()
        };
        let base = SnapshotBase {
            document,
            configuration_number: self.configuration_number,
            evacuation_number: self.evacuations.changed(),
            taken: self.taken.fnv_records(),
            evacuated: self.evacuations.zones().map(str::to_owned).collect(),
        };
        let taken = self.taken.sha256_records();
        let more = SnapshotMore::Format2 {
            taken,
            orders: self.evacuations.orders().clone(),
        };
        borsh::to_vec(&(base, more)).unwrap_or_default()
    }

    fn restore(&mut self, mut snapshot: &[u8]) -> bool {
        let Ok(base) = SnapshotBase::deserialize(&mut snapshot) else {
            return false;
        };
        let (sha256_records, orders) = if snapshot.is_empty() {
            (
                Vec::new(),
                OrderNumbers::of_format_1(base.evacuation_number),
            )
        } else {
            match borsh::from_slice(snapshot) {
                Ok(SnapshotMore::Format2 { taken, orders }) => (taken, orders),
                Err(_) => return false,
            }
        };
        let document = match base.configuration_number {
            0 => Document::default(),
            _ => match Document::parse(base.document.as_bytes()) {
                Ok(document) => document,
                Err(_) => return false,
            },
        };
        *self = ControlState {
            document,
            configuration_number: base.configuration_number,
            taken: Taken::restored(base.taken, sha256_records),
            evacuations: Evacuations::restored(base.evacuated, base.evacuation_number, orders),
            changes: VecDeque::new(),
        };
        true
    }
}
