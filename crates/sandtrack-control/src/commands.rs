//! What operators order, as it stands in the replicated log, and what came of it. The forms are on disks and on the
//! wire: variants and fields keep their places, new ones are added at the end.
use borsh::{BorshDeserialize, BorshSerialize};
use sandtrack_protocol::document::ConfigurationError;
use std::fmt;

/// What an operator orders. `based_on` is the version that the body builds on, the body as it was sent.
///
/// The first three stand in logs of format 1 only and are not submitted any more.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Command {
    Replace {
        based_on: u64,
        body: Vec<u8>,
    },
    Update {
        based_on: u64,
        body: Vec<u8>,
    },
    Evacuate {
        zone: String,
        begin: bool,
    },
    /// A whole configuration, or a change of named items; known again by its SHA-256.
    Configure {
        form: Form,
        based_on: u64,
        body: Vec<u8>,
    },
    /// Begins or ends the evacuation of a zone. `seen` is the number of the last order for that zone that the control
    /// node knew when it read the call: one that was overtaken by a later order is not carried out.
    SetEvacuation {
        zone: String,
        begin: bool,
        seen: u64,
    },
}

/// How the body of a configuration is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Form {
    Replace,
    Update,
}

impl fmt::Display for Command {
    /// Kind, zone or base, and size: a line of the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let evacuation = |begin: &bool| if *begin { "begins" } else { "is over" };
        match self {
            Command::Replace { based_on, body }
            | Command::Configure {
                form: Form::Replace,
                based_on,
                body,
            } => {
                write!(f, "replace on {based_on}, {} bytes", body.len())
            }
            Command::Update { based_on, body }
            | Command::Configure {
                form: Form::Update,
                based_on,
                body,
            } => {
                write!(f, "update on {based_on}, {} bytes", body.len())
            }
            Command::Evacuate { zone, begin } => {
                write!(f, "evacuation of {zone} {}", evacuation(begin))
            }
            Command::SetEvacuation { zone, begin, seen } => {
                write!(
                    f,
                    "evacuation of {zone} {}, ordered after {seen}",
                    evacuation(begin)
                )
            }
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
    Invalid {
        code: u16,
        place: String,
        what: String,
    },
    /// Order `number` for the same zone came first: this one changed nothing, and this copy of it never will.
    Superseded { number: u64 },
    /// It builds on a version so old that it is not known any more whether it was taken. It changed nothing now.
    Forgotten,
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

/// What a caller asks of the control state.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Question {
    /// The configuration, whole; the answer is an [`Answer`].
    Configuration,
    /// Nothing but whether the chain answers at this moment; the answer is an empty [`Answer`].
    Contact,
}

/// The newest configuration as JSON text; `None` before the first.
pub type Answer = Option<String>;
