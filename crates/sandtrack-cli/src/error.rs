//! The error of a command, with its result code, and the exit code that follows from it.
use crate::json::quote;
use sandtrack_protocol::codes::Code;
use sandtrack_protocol::document::ConfigurationError;
use sandtrack_protocol::settings::SettingsError;

/// Exit code of an invalid command line (`EX_USAGE` of sysexits.h).
pub const EXIT_USAGE: u8 = 64;

/// Why a command failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CliError {
    /// The command line lacks something; there is no result code, as nothing was done.
    #[error("{0}")]
    Usage(String),
    /// An error with a result code, found by control or by a check of the client.
    #[error("{code} {place}: {what}")]
    Coded {
        /// The result code (docs/system/codes.md).
        code: Code,
        /// Where the error is: an item, a field, a file or a position in it.
        place: String,
        /// What is wrong there.
        what: String,
    },
}

impl CliError {
    /// An error at `place` that is described by the meaning of its code.
    pub fn coded(code: Code, place: impl Into<String>) -> CliError {
        CliError::Coded {
            code,
            place: place.into(),
            what: code.meaning().to_owned(),
        }
    }

    /// The hundreds of the code: 1 settings, 2 configuration, 3 control, 4 requests, 5 disk; or [`EXIT_USAGE`].
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Usage(_) => EXIT_USAGE,
            CliError::Coded { code, .. } => u8::try_from(code.0 / 100).unwrap_or(u8::MAX),
        }
    }

    /// The error as a JSON object.
    pub fn to_json(&self) -> String {
        match self {
            CliError::Usage(what) => format!("{{\"what\":{}}}", quote(what)),
            CliError::Coded { code, place, what } => format!(
                "{{\"code\":\"{code}\",\"place\":{},\"what\":{}}}",
                quote(place),
                quote(what)
            ),
        }
    }
}

impl From<ConfigurationError> for CliError {
    fn from(error: ConfigurationError) -> CliError {
        CliError::Coded {
            code: error.code,
            place: error.place,
            what: error.what,
        }
    }
}

impl From<SettingsError> for CliError {
    fn from(error: SettingsError) -> CliError {
        let place = match &error {
            SettingsError::Unreadable(why) => format!("settings: {why}"),
            SettingsError::Field(field) => format!("settings `{field}`"),
        };
        CliError::coded(error.code(), place)
    }
}
