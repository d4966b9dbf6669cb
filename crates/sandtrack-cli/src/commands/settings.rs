//! `settings check`.
use super::CommandRunner;
use crate::error::CliError;
use crate::input_file::read_file;
use crate::json::{quote, quoted_array};
use crate::settings::{check, CheckedSettings};
use sandtrack_protocol::codes;
use std::path::Path;

impl CommandRunner<'_> {
    pub(super) fn check_settings(&mut self, file: &Path) -> Result<(), CliError> {
        let content = read_file(file, codes::SETTINGS_UNREADABLE)?;
        let CheckedSettings { settings, warnings } = check(content)?;
        let text = format!(
            "{} as {} in {}: the settings can be used",
            settings.node_name, settings.role, settings.zone
        );
        let json = format!(
            "{{\"node\":{},\"notes\":{}}}",
            quote(&settings.node_name),
            quoted_array(&warnings)
        );
        self.print_result(&text, &json);
        if !self.json {
            for warning in &warnings {
                self.environment.print(&format!("note: {warning}"));
            }
        }
        Ok(())
    }
}
