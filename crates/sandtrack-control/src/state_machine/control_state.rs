//! The replicated state: the configuration, the evacuated zones, and digests of the configurations accepted last.
use super::accepted_configurations::{AcceptedConfigurations, Digest};
use super::commands::{ChangeKind, Command, Outcome, Query, QueryResult};
use super::evacuations::Evacuations;
use super::precheck::{self, Precheck};
use super::recent_changes::RecentChanges;
use super::rules::RulesVersion;
use super::snapshot::{self, SnapshotBase, SnapshotExtension};
use sandtrack_invariants::{check, Invariant};
use sandtrack_protocol::codes;
use sandtrack_protocol::configuration::Configuration;
use sandtrack_protocol::document::{ConfigurationError, Document, Update};
use sandtrack_protocol::frames::ToProxy;
use sandtrack_protocol::schema;
use sandtrack_protocol::tenants::{check_tenants, TENANTS_LIST};
use sandtrack_replication::StateMachine;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::BTreeSet;

/// Lists that every document has.
const REQUIRED_LISTS: [&str; 2] = ["routes", "services"];
/// The document's field for its version.
const VERSION_FIELD: &str = "version_number";

/// What operators change. See [`StateMachine`] for how it is replicated.
#[derive(Clone, Debug, Default)]
pub struct ControlState {
    document: Document,
    /// Number of the command that made the configuration what it is.
    configuration_number: u64,
    accepted: AcceptedConfigurations,
    evacuations: Evacuations,
    recent_changes: RecentChanges,
    /// What is wrong with the configuration, which a program without that check has accepted. It follows from the document.
    fault: Option<ConfigurationError>,
}

/// What a configuration command makes of the current document.
struct NextDocument {
    document: Document,
    /// Its tenants may differ from the current ones.
    changes_tenants: bool,
}

/// A document that is to replace the current one.
struct CheckedDocument {
    document: Document,
    fault: Option<ConfigurationError>,
}

impl ControlState {
    /// Version of the configuration; 0 before the first.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// Lists and fields of the configuration that have no effect.
    pub fn unread_fields(&self) -> BTreeSet<String> {
        schema::unread_fields(&self.document)
    }

    /// The version of the rules that is in force.
    pub fn rules(&self) -> RulesVersion {
        self.evacuations.rules()
    }

    /// Whether a later version of the rules than the one in force would decide commands otherwise: only with tenants.
    pub fn needs_later_rules(&self) -> bool {
        let has_tenants = self.document.list(TENANTS_LIST).is_some()
            || self.document.field(TENANTS_LIST).is_some();
        has_tenants && self.rules() < RulesVersion::LATEST
    }

    /// Why the configuration in force is invalid. Only an earlier program can have accepted such a one.
    pub fn fault(&self) -> Option<&ConfigurationError> {
        self.fault.as_ref()
    }

    /// Number of the command that made the configuration what it is; 0 before the first.
    pub fn configuration_number(&self) -> u64 {
        self.configuration_number
    }

    /// Number of the command that last changed which zones are evacuated; 0 before the first.
    pub fn evacuation_number(&self) -> u64 {
        self.evacuations.last_change()
    }

    /// The zones that are evacuated.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &str> {
        self.evacuations.zones()
    }

    /// Number of the last order for a zone; 0 where there was none. A call that is read now carries it in its command.
    pub fn last_evacuation_command(&self, zone: &str) -> u64 {
        self.evacuations.last_evacuation_command(zone)
    }

    /// The version that a command made, if it is among the configurations accepted last.
    pub fn accepted_version(&self, command: &Command) -> Option<u64> {
        match command {
            Command::Configure {
                kind,
                based_on,
                body,
            } => self.accepted.version_of(*kind, *based_on, body),
            _ => None,
        }
    }

    /// Whether there ever was an order for the zone.
    pub fn is_known_zone(&self, zone: &str) -> bool {
        self.evacuations.has_command_for(zone)
    }

    /// The frame with the complete configuration; `None` before the first.
    pub fn configuration_frame(&self) -> Option<ToProxy> {
        (self.configuration_number > 0).then(|| ToProxy::Configuration {
            number: self.configuration_number,
            version: self.document.version,
            document: self.document.to_json(),
        })
    }

    /// The frames that lead from the configuration of number `from` to this one; `None` where that change is too old.
    pub fn changes_since(&self, from: u64) -> Option<Vec<ToProxy>> {
        self.recent_changes.frames_since(from)
    }

    /// Whether a document is valid by itself, whatever the current configuration is.
    ///
    /// # Errors
    /// What makes it invalid.
    pub fn validate(body: &[u8]) -> Result<(), ConfigurationError> {
        Configuration::read_new(&Document::parse(body)?).map(drop)
    }

    /// What the committed state here says of a command before it is submitted.
    pub fn precheck(&self, command: &Command) -> Precheck {
        match precheck::check_command(&self.document, command) {
            Precheck::NeedsBaseVersion if self.checks_tenants() => Precheck::CheckedByChain,
            precheck => precheck,
        }
    }

    fn checks_tenants(&self) -> bool {
        self.rules() >= RulesVersion::CHECKED_TENANTS
    }

    fn configure(
        &mut self,
        number: u64,
        kind: ChangeKind,
        based_on: u64,
        body: &[u8],
        digest: Digest,
    ) -> Outcome {
        if let Some(version) = self.accepted.version_of(kind, based_on, body) {
            return Outcome::Accepted { version };
        }
        let next = match self.next_document(kind, body) {
            Ok(next) => next,
            Err(invalid) => return invalid.into(),
        };
        // Before the checks of the new document: an update based on another version may be valid there and not here, and
        // its caller has to learn of the conflict.
        if based_on != self.document.version {
            return match self.accepted.may_have_evicted(based_on) {
                true => Outcome::Unknown,
                false => Outcome::VersionConflict {
                    current: self.document.version,
                },
            };
        }
        let next = match self.validate_next(next) {
            Ok(next) => next,
            Err(invalid) => return invalid.into(),
        };
        self.check_next_is_valid(&next);
        let CheckedDocument {
            document: next,
            fault,
        } = next;
        let version = next.version;
        let rises = version > self.document.version && number > self.configuration_number;
        check(Invariant::VersionRises, rises, || {
            format!("{version} behind {}", self.document.version)
        });
        let from_number = self.configuration_number;
        self.recent_changes
            .record(from_number, &self.document, number, &next);
        (self.document, self.configuration_number) = (next, number);
        self.fault = fault;
        self.accepted.push(version, digest);
        Outcome::Accepted { version }
    }

    fn next_document(
        &self,
        kind: ChangeKind,
        body: &[u8],
    ) -> Result<NextDocument, ConfigurationError> {
        match kind {
            ChangeKind::Replace => Ok(NextDocument {
                document: Document::parse(body)?,
                changes_tenants: true,
            }),
            ChangeKind::Update => {
                let update = Update::parse(body)?;
                Ok(NextDocument {
                    document: self.document.updated(&update),
                    changes_tenants: update.touches(TENANTS_LIST),
                })
            }
        }
    }

    /// Checks a document that is to replace the current one, and gives it as it is read back. A change that leaves the
    /// tenants as they are is not held up by what is wrong with them.
    fn validate_next(&self, next: NextDocument) -> Result<CheckedDocument, ConfigurationError> {
        let NextDocument {
            document,
            changes_tenants,
        } = next;
        let next = reparsed(document)?;
        Configuration::read(&next)?;
        let fault = check_tenants(&next).err();
        if let Some(fault) = &fault {
            if changes_tenants && self.checks_tenants() {
                return Err(fault.clone());
            }
        }
        if next.version <= self.document.version {
            let place = format!(
                "version_number {}, current {}",
                next.version, self.document.version
            );
            return Err(ConfigurationError::new(codes::VERSION_NOT_ABOVE, place));
        }
        Ok(CheckedDocument {
            document: next,
            fault,
        })
    }

    /// Under rules that check tenants, no change makes a valid configuration invalid.
    fn check_next_is_valid(&self, next: &CheckedDocument) {
        let holds = next.fault.is_none() || self.fault.is_some() || !self.checks_tenants();
        check(Invariant::ConfigurationIsValid, holds, || {
            let fault = next.fault.as_ref().map(ToString::to_string);
            format!(
                "version {}: {}",
                next.document.version,
                fault.unwrap_or_default()
            )
        });
    }

    fn execute(&mut self, number: u64, command: Command) -> Outcome {
        match command {
            Command::Replace { based_on, body } => {
                self.configure_format_1(number, ChangeKind::Replace, based_on, &body)
            }
            Command::Update { based_on, body } => {
                self.configure_format_1(number, ChangeKind::Update, based_on, &body)
            }
            Command::Evacuate { zone, begin } => {
                self.evacuations.set_format_1(number, &zone, begin);
                Outcome::Accepted {
                    version: self.document.version,
                }
            }
            Command::Configure {
                kind,
                based_on,
                body,
            } => {
                let digest = Digest::sha256(kind, based_on, &body);
                self.configure(number, kind, based_on, &body, digest)
            }
            Command::SetEvacuation {
                zone,
                begin,
                last_known,
            } => match self.evacuations.set(number, zone, begin, last_known) {
                Ok(()) => Outcome::Accepted {
                    version: self.document.version,
                },
                Err(superseded) => superseded,
            },
        }
    }

    fn configure_format_1(
        &mut self,
        number: u64,
        kind: ChangeKind,
        based_on: u64,
        body: &[u8],
    ) -> Outcome {
        let digest = Digest::fnv(kind, based_on, body);
        self.configure(number, kind, based_on, body, digest)
    }
}

/// A document as proxies and restoring replicas parse it from its JSON text. An update can lead to one whose text parses as
/// another document, or not at all.
fn reparsed(document: Document) -> Result<Document, ConfigurationError> {
    if document.list(VERSION_FIELD).is_some() {
        return Err(ConfigurationError::new(
            codes::CONFIGURATION_FIELD,
            VERSION_FIELD,
        ));
    }
    if round_trips(&document) {
        return Ok(document);
    }
    Document::parse(document.to_json().as_bytes())
}

/// Whether the JSON text of a document certainly parses as the same document. It is a cheap check, made for each change.
fn round_trips(document: &Document) -> bool {
    let is_item_list = |value: &OwnedValue| {
        value
            .as_array()
            .is_some_and(|items| items.iter().all(|item| item.as_object().is_some()))
    };
    REQUIRED_LISTS
        .iter()
        .all(|list| document.list(list).is_some())
        && !document.fields.iter().any(|(_, value)| is_item_list(value))
}

impl StateMachine for ControlState {
    fn apply(&mut self, number: u64, command: &[u8]) -> Vec<u8> {
        let outcome = match borsh::from_slice(command) {
            Ok(command) => self.execute(number, command),
            // A command of a later program: every replica gives the same outcome.
            Err(error) => Outcome::Invalid {
                code: codes::BAD_CALL.0,
                place: "command".to_owned(),
                what: error.to_string(),
            },
        };
        borsh::to_vec(&outcome).unwrap_or_default()
    }

    fn query(&self, query: &[u8]) -> Vec<u8> {
        let answer: QueryResult = match borsh::from_slice(query) {
            Ok(Query::Configuration) => {
                (self.configuration_number > 0).then(|| self.document.to_json())
            }
            Ok(Query::KnownZone { zone }) => self.is_known_zone(&zone).then_some(zone),
            Ok(Query::Liveness) | Err(_) => None,
        };
        borsh::to_vec(&answer).unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        let document = match self.configuration_number {
            0 => String::new(),
            _ => self.document.to_json(),
        };
        let base = SnapshotBase {
            document,
            configuration_number: self.configuration_number,
            evacuation_number: self.evacuations.last_change(),
            accepted: self.accepted.fnv_records(),
            evacuated: self.evacuations.zones().map(str::to_owned).collect(),
        };
        let extension = SnapshotExtension::Format2 {
            accepted: self.accepted.sha256_records(),
            command_numbers: self.evacuations.command_numbers().clone(),
        };
        borsh::to_vec(&(base, extension)).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        let Some((base, sha256_records, command_numbers)) = snapshot::parse(snapshot) else {
            return false;
        };
        let document = match base.configuration_number {
            0 => Ok(Document::default()),
            _ => Document::parse(base.document.as_bytes()),
        };
        let Ok(document) = document else {
            return false;
        };
        *self = ControlState {
            fault: check_tenants(&document).err(),
            document,
            configuration_number: base.configuration_number,
            accepted: AcceptedConfigurations::from_snapshot(base.accepted, sha256_records),
            evacuations: Evacuations::from_snapshot(
                base.evacuated,
                base.evacuation_number,
                command_numbers,
            ),
            recent_changes: RecentChanges::default(),
        };
        true
    }
}
