//! `configuration put`, `update`, `read`, `diff` and `check`.
use super::CommandRunner;
use crate::call::Call;
use crate::cli::ChangeOptions;
use crate::difference::{differences, Difference};
use crate::error::CliError;
use crate::input_file::{read_file, ConfigurationFile, UpdateFile};
use crate::json::quote;
use sandtrack_protocol::codes;
use sandtrack_protocol::configuration::Configuration;
use sandtrack_protocol::document::{Document, Update};
use sandtrack_protocol::schema;
use simd_json::prelude::*;
use std::collections::BTreeSet;
use std::path::Path;

/// What a look at the current configuration says about a change.
enum Precheck {
    /// The change may be sent, on top of this version.
    Send { based_on: u64 },
    /// It was in force before, or only its differences were to be shown.
    Done,
}

impl CommandRunner<'_> {
    pub(super) fn put(&mut self, change: &ChangeOptions) -> Result<(), CliError> {
        let file = ConfigurationFile::read(&change.file)?;
        self.apply_change(
            change,
            file.document.version,
            |based_on| Call::replace(based_on, file.body.clone()),
            |_| file.document.clone(),
        )
    }

    pub(super) fn update(&mut self, change: &ChangeOptions) -> Result<(), CliError> {
        let UpdateFile { body, update } = UpdateFile::read(&change.file)?;
        self.apply_change(
            change,
            update.version,
            |based_on| Call::update(based_on, body.clone()),
            |current| current.updated(&update),
        )
    }

    pub(super) fn read(&mut self) -> Result<(), CliError> {
        let response = self.call(&Call::read())?;
        self.environment
            .print(&String::from_utf8_lossy(&response.body));
        Ok(())
    }

    pub(super) fn difference(&mut self, file: &Path) -> Result<(), CliError> {
        let next = ConfigurationFile::read(file)?.document;
        let current = self.current_configuration()?.document;
        self.print_differences(&current, &next);
        Ok(())
    }

    pub(super) fn check(&mut self, file: &Path) -> Result<(), CliError> {
        let body = read_file(file, codes::CONFIGURATION_UNREADABLE)?;
        if is_update(&body) {
            self.print_update_summary(&Update::parse(&body)?);
            return Ok(());
        }
        let file = ConfigurationFile::read(file)?;
        self.print_configuration_summary(
            &file.configuration,
            &schema::unread_fields(&file.document),
        );
        Ok(())
    }

    /// Sends a change of the configuration, or shows what it would change. Errors that the current configuration reveals
    /// are reported before anything is sent.
    fn apply_change(
        &mut self,
        change: &ChangeOptions,
        version: u64,
        call: impl Fn(u64) -> Call,
        next: impl Fn(&Document) -> Document,
    ) -> Result<(), CliError> {
        let based_on = match change.based_on {
            Some(based_on) if !change.dry_run => based_on,
            _ => match self.precheck(change, version, next)? {
                Precheck::Send { based_on } => based_on,
                Precheck::Done => return Ok(()),
            },
        };
        self.call(&call(based_on))?;
        self.print_version(version, &format!("is acknowledged, on top of {based_on}"));
        Ok(())
    }

    /// Checks a change against the current configuration.
    fn precheck(
        &mut self,
        change: &ChangeOptions,
        version: u64,
        next: impl Fn(&Document) -> Document,
    ) -> Result<Precheck, CliError> {
        let current = self.current_configuration()?.document;
        let next = next(&current);
        Configuration::read_new(&next)?;
        let is_same = next.version == current.version && differences(&current, &next).is_empty();
        if is_same && change.based_on.is_none() {
            // The command was given again, for example after its response was lost.
            self.print_version(version, "is in force already");
            return Ok(Precheck::Done);
        }
        check_versions(change.based_on, &current, &next)?;
        if change.dry_run {
            self.print_differences(&current, &next);
            return Ok(Precheck::Done);
        }
        Ok(Precheck::Send {
            based_on: current.version,
        })
    }

    fn print_version(&mut self, version: u64, state: &str) {
        self.print_result(
            &format!("version {version} {state}"),
            &format!("{{\"version_number\":{version}}}"),
        );
    }

    fn print_differences(&mut self, from: &Document, to: &Document) {
        let differences = differences(from, to);
        let (old, new) = (from.version, to.version);
        if self.json {
            let objects: Vec<String> = differences.iter().map(Difference::to_json).collect();
            self.environment.print(&format!(
                "{{\"from\":{old},\"to\":{new},\"differences\":[{}]}}",
                objects.join(",")
            ));
            return;
        }
        let count = differences.len();
        self.environment
            .print(&format!("version {old} -> {new}: {count} differences"));
        for difference in &differences {
            self.environment.print(&difference.to_string());
        }
    }

    fn print_update_summary(&mut self, update: &Update) {
        let version = update.version;
        let set: usize = update.set.iter().map(|(_, items)| items.len()).sum();
        let removed: usize = update.remove.iter().map(|(_, names)| names.len()).sum();
        let text = format!(
            "change to version {version}: {set} items set, {removed} removed; `update --dry-run` checks it on what is in force"
        );
        let json = format!("{{\"version_number\":{version},\"set\":{set},\"removed\":{removed}}}");
        self.print_result(&text, &json);
    }

    /// `unread`: lists and fields that the programs of this version do not act on.
    fn print_configuration_summary(
        &mut self,
        configuration: &Configuration,
        unread: &BTreeSet<String>,
    ) {
        let version = configuration.version;
        let routes = configuration.routes.len();
        let services = configuration.services.len();
        let no_effect = schema::no_effect_text(unread);
        let text =
            format!("version {version}: {routes} routes, {services} services, valid{no_effect}");
        let unread: Vec<String> = unread.iter().map(|path| quote(path)).collect();
        let unread = match unread.is_empty() {
            true => String::new(),
            false => format!(",\"without_effect\":[{}]", unread.join(",")),
        };
        let json = format!(
            "{{\"version_number\":{version},\"routes\":{routes},\"services\":{services}{unread}}}"
        );
        self.print_result(&text, &json);
    }
}

/// Whether the change builds on the current version and its own version is above it.
fn check_versions(
    based_on: Option<u64>,
    current: &Document,
    next: &Document,
) -> Result<(), CliError> {
    if based_on.is_some_and(|based_on| based_on != current.version) {
        return Err(CliError::coded(
            codes::ANOTHER_VERSION,
            format!("current {}", current.version),
        ));
    }
    if next.version <= current.version {
        let place = format!(
            "version_number {}, current {}",
            next.version, current.version
        );
        return Err(CliError::coded(codes::VERSION_NOT_ABOVE, place));
    }
    Ok(())
}

/// Whether the body is a change of named items and no complete configuration.
fn is_update(body: &[u8]) -> bool {
    // The parser works in place and overwrites its input.
    let mut scratch = body.to_vec();
    simd_json::to_owned_value(&mut scratch)
        .is_ok_and(|value| value.contains_key("set_items") || value.contains_key("remove_names"))
}
