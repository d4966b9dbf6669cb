//! Commands and queries of the replicated state machine, and their results. Their borsh forms are on disks and on the wire:
//! variants and fields keep their places, and new ones are added at the end.
use super::rules::RulesVersion;
use borsh::{BorshDeserialize, BorshSerialize};
use sandtrack_protocol::document::ConfigurationError;
use std::fmt;

/// A change of the control state. `based_on` is the version that the caller built on, `body` the JSON text as it was sent.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Command {
    /// Only in logs of format 1: replaces the configuration.
    Replace {
        /// Expected current version.
        based_on: u64,
        /// The document.
        body: Vec<u8>,
    },
    /// Only in logs of format 1: updates the configuration.
    Update {
        /// Expected current version.
        based_on: u64,
        /// The update.
        body: Vec<u8>,
    },
    /// Only in logs of format 1: begins or finishes an evacuation, whatever other orders there were for the zone.
    Evacuate {
        /// Name of the zone.
        zone: String,
        /// Begin; else finish.
        begin: bool,
    },
    /// Replaces or updates the configuration. A repeated command is recognised by its SHA-256 digest.
    Configure {
        /// Replacement or update.
        kind: ChangeKind,
        /// Expected current version.
        based_on: u64,
        /// The document or the update.
        body: Vec<u8>,
    },
    /// Begins or finishes the evacuation of a zone.
    SetEvacuation {
        /// Name of the zone.
        zone: String,
        /// Begin; else finish.
        begin: bool,
        /// Number of the last order for the zone that the control node knew when it read the call: where a later order was
        /// applied first, this one changes nothing.
        last_known: u64,
    },
}

impl Command {
    /// A command that changes nothing under any rules, as it is an update without a version. Once it has an outcome, all
    /// commands that were ahead of it in the log have been applied.
    pub fn barrier() -> Command {
        Command::Configure {
            kind: ChangeKind::Update,
            based_on: 0,
            body: b"{}".to_vec(),
        }
    }
}

/// How the body of a configuration command is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ChangeKind {
    /// It is the new document.
    Replace,
    /// It sets and removes named items of the current document.
    Update,
}

impl fmt::Display for Command {
    /// For log lines: kind, zone or expected version, and size.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let evacuation = |begin: &bool| if *begin { "begins" } else { "is over" };
        match self {
            Command::Replace { based_on, body }
            | Command::Configure {
                kind: ChangeKind::Replace,
                based_on,
                body,
            } => {
                write!(f, "replace on {based_on}, {} bytes", body.len())
            }
            Command::Update { based_on, body }
            | Command::Configure {
                kind: ChangeKind::Update,
                based_on,
                body,
            } => {
                write!(f, "update on {based_on}, {} bytes", body.len())
            }
            Command::Evacuate { zone, begin } => {
                write!(f, "evacuation of {zone} {}", evacuation(begin))
            }
            Command::SetEvacuation { zone, .. } if RulesVersion::agreed_by_zone(zone).is_some() => {
                write!(f, "agreement on {zone}")
            }
            Command::SetEvacuation {
                zone,
                begin,
                last_known,
            } => {
                write!(
                    f,
                    "evacuation of {zone} {}, ordered after {last_known}",
                    evacuation(begin)
                )
            }
        }
    }
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Outcome {
    /// It is in force.
    Accepted {
        /// Version of the configuration.
        version: u64,
    },
    /// It is based on another version than the current one.
    VersionConflict {
        /// The current version.
        current: u64,
    },
    /// Its body is invalid.
    Invalid {
        /// Result code.
        code: u16,
        /// List, item and field.
        place: String,
        /// What is wrong, for people.
        what: String,
    },
    /// A later order for the same zone was applied first: this one changed nothing, and never will.
    Superseded {
        /// Number of the later order.
        number: u64,
    },
    /// It is based on a version so old that it may have been accepted and then forgotten. It changed nothing now.
    Unknown,
}

impl From<ConfigurationError> for Outcome {
    fn from(invalid: ConfigurationError) -> Outcome {
        Outcome::Invalid {
            code: invalid.code.0,
            place: invalid.place,
            what: invalid.what,
        }
    }
}

/// A linearizable read of the control state.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Query {
    /// The complete configuration.
    Configuration,
    /// Nothing: only whether the chain responds at this moment. Its result is empty.
    Liveness,
    /// Whether there ever was an order for the zone: then its name. Earlier programs give an empty result in any case.
    KnownZone {
        /// Name of the zone.
        zone: String,
    },
}

/// The result of a query: the newest configuration as JSON text, or the name of a zone; `None` where there is none.
pub type QueryResult = Option<String>;
