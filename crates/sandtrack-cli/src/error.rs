//! What went wrong, with its numbered code, and the exit code that follows from it.
use sandtrack_protocol::codes::Code;
use sandtrack_protocol::document::ConfigurationError;
use sandtrack_protocol::logs::escape;
use sandtrack_protocol::settings::SettingsError;

/// Exit code of a command line that can't be read (`EX_USAGE` of sysexits).
pub const EXIT_USAGE: u8 = 64;

/// Why a command did not do what it was to do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CliError {
    /// The command line names what is not there; no code, as control was not asked.
    #[error("{0}")]
    Usage(String),
    /// With its place, as control tells it and as a check without control finds it.
    #[error("{code} {place}: {what}")]
    Coded {
        code: Code,
        place: String,
        what: String,
    },
}

impl CliError {
    /// A code at a place, in the words of the table.
    pub fn coded(code: Code, place: impl Into<String>) -> CliError {
        CliError::Coded {
            code,
            place: place.into(),
            what: code.meaning().to_owned(),
        }
    }

    /// The hundreds of the code: 1 settings, 2 configuration, 3 control, 4 requests, 5 disk.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Usage(_) => EXIT_USAGE,
            CliError::Coded { code, .. } => u8::try_from(code.0 / 100).unwrap_or(u8::MAX),
        }
    }

    pub fn to_json(&self) -> String {
        match self {
            CliError::Usage(what) => format!("{{\"what\":\"{}\"}}", escape(what)),
            CliError::Coded { code, place, what } => format!(
                "{{\"code\":\"{code}\",\"place\":\"{}\",\"what\":\"{}\"}}",
                escape(place),
                escape(what)
            ),
        }
    }
}

impl From<ConfigurationError> for CliError {
    fn from(invalid: ConfigurationError) -> CliError {
        CliError::Coded {
            code: invalid.code,
            place: invalid.place,
            what: invalid.what,
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
