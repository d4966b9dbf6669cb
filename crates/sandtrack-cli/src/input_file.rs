//! Reads the files that the operator names on the command line.
use crate::error::CliError;
use sandtrack_protocol::codes::{self, Code};
use sandtrack_protocol::configuration::Configuration;
use sandtrack_protocol::document::{Document, Update};
use std::path::Path;

/// A complete configuration that passed all checks that need no running system.
pub struct ConfigurationFile {
    /// The bytes of the file, which are sent unchanged.
    pub body: Vec<u8>,
    /// The configuration item by item.
    pub document: Document,
    /// The configuration as the data plane uses it.
    pub configuration: Configuration,
}

impl ConfigurationFile {
    /// Reads and checks a configuration.
    ///
    /// # Errors
    /// Where the file can't be read or is no valid configuration.
    pub fn read(path: &Path) -> Result<ConfigurationFile, CliError> {
        let body = read_file(path, codes::CONFIGURATION_UNREADABLE)?;
        let document =
            Document::parse(&body).map_err(|invalid| with_json_position(&body, invalid.into()))?;
        let configuration = Configuration::read_new(&document)?;
        Ok(ConfigurationFile {
            body,
            document,
            configuration,
        })
    }
}

/// A change of named items.
pub struct UpdateFile {
    /// The bytes of the file, which are sent unchanged.
    pub body: Vec<u8>,
    /// The items that are set and removed.
    pub update: Update,
}

impl UpdateFile {
    /// Reads a change; it can be checked only against the configuration that it is applied to.
    ///
    /// # Errors
    /// Where the file can't be read or is no change.
    pub fn read(path: &Path) -> Result<UpdateFile, CliError> {
        let body = read_file(path, codes::CONFIGURATION_UNREADABLE)?;
        let update =
            Update::parse(&body).map_err(|invalid| with_json_position(&body, invalid.into()))?;
        Ok(UpdateFile { body, update })
    }
}

/// The content of a file; `code` is the code of the error if it can't be read.
///
/// # Errors
/// Where the file can't be read.
pub fn read_file(path: &Path, code: Code) -> Result<Vec<u8>, CliError> {
    let unreadable = |error: std::io::Error| CliError::Coded {
        code,
        place: path.display().to_string(),
        what: error.kind().to_string(),
    };
    std::fs::read(path).map_err(unreadable)
}

/// Replaces the place of an error by line and column where the body is no JSON.
fn with_json_position(body: &[u8], error: CliError) -> CliError {
    // The parser works in place and overwrites its input.
    let mut scratch = body.to_vec();
    let offset = match simd_json::to_owned_value(&mut scratch) {
        Ok(_) => return error,
        Err(syntax_error) => syntax_error.index().min(body.len()),
    };
    match error {
        CliError::Coded { code, what, .. } => {
            let (line, column) = line_and_column(body, offset);
            CliError::Coded {
                code,
                place: format!("line {line}, column {column}"),
                what,
            }
        }
        other => other,
    }
}

/// Line and column of an offset, both counted from 1; columns are bytes.
fn line_and_column(body: &[u8], offset: usize) -> (usize, usize) {
    let before = &body[..offset];
    let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
    let line_start = before
        .iter()
        .rposition(|byte| *byte == b'\n')
        .map_or(0, |newline| newline + 1);
    (line, offset - line_start + 1)
}
