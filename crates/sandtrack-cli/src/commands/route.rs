//! `route`.
use super::CommandRunner;
use crate::error::CliError;
use crate::explain::explain;
use crate::input_file::ConfigurationFile;
use sandtrack_protocol::codes;
use std::path::Path;

impl CommandRunner<'_> {
    /// Explains by the configuration of `file`, or by the current one.
    pub(super) fn route(
        &mut self,
        host: &str,
        path: &str,
        file: Option<&Path>,
    ) -> Result<(), CliError> {
        let configuration = match file {
            Some(file) => Some(ConfigurationFile::read(file)?.configuration),
            None => self.current_configuration()?.configuration,
        };
        let Some(configuration) = configuration else {
            return Err(CliError::coded(codes::NO_CONFIGURATION, "configuration"));
        };
        let explanation = explain(&configuration, host, path)?;
        if self.json {
            self.environment.print(&explanation.to_json());
        } else {
            self.print_lines(&explanation.lines());
        }
        Ok(())
    }
}
