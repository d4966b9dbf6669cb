//! Errors that end the program, with their result codes and exit codes.
use sandtrack_protocol::codes;
use sandtrack_protocol::settings::SettingsError;
use std::process::ExitCode;

/// Why the process can't serve.
#[derive(Debug, thiserror::Error)]
pub(super) enum ProgramError {
    /// The settings can't be used.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    #[error("{} {address} can't be listened on: {why}", codes::LISTEN)]
    Listen {
        address: String,
        why: std::io::Error,
    },
    #[error("{0}")]
    System(#[from] std::io::Error),
    #[error("{} {why}", codes::WAL_FOREIGN)]
    Wal { why: sandtrack_wal::WalError },
}

impl ProgramError {
    /// What the process ends with: the numbered code where there is one.
    pub(super) fn exit_code(&self) -> ExitCode {
        match self {
            ProgramError::Settings(error) => {
                ExitCode::from(u8::try_from(error.code().0).unwrap_or(1))
            }
            ProgramError::Listen { .. } => {
                ExitCode::from(u8::try_from(codes::LISTEN.0).unwrap_or(1))
            }
            ProgramError::System(_) | ProgramError::Wal { .. } => ExitCode::FAILURE,
        }
    }
}
