//! `evacuate begin`, `finish` and `status`.
use super::CommandRunner;
use crate::call::Call;
use crate::error::CliError;
use crate::json::{quote, quoted_array};

impl CommandRunner<'_> {
    pub(super) fn evacuate(&mut self, zone: &str, begin: bool) -> Result<(), CliError> {
        self.call(&Call::evacuate(zone, begin))?;
        let state = if begin { "evacuated" } else { "taken back" };
        let text = format!("zone {zone} is {state}");
        let json = format!("{{\"zone\":{},\"evacuated\":{begin}}}", quote(zone));
        self.print_result(&text, &json);
        Ok(())
    }

    pub(super) fn evacuation_status(&mut self) -> Result<(), CliError> {
        let status = self.status()?.status;
        let text = format!("evacuated: {}", status.evacuated_zones_text());
        let json = format!(
            "{{\"evacuated\":{}}}",
            quoted_array(&status.evacuated_zones)
        );
        self.print_result(&text, &json);
        if let Some(warning) = status.staleness_warning() {
            self.environment.print_error(&format!("warning: {warning}"));
        }
        Ok(())
    }
}
