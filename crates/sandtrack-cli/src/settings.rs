//! The check of a settings file: errors that keep a program from starting, and warnings about values that work otherwise
//! than was probably meant. The table of fields is `sandtrack_protocol::settings::fields`; docs/system/settings.md shows it.
use crate::error::CliError;
use sandtrack_protocol::codes;
use sandtrack_protocol::settings::fields::is_socket_address;
pub use sandtrack_protocol::settings::fields::{
    value_at, Field, FieldKind, IfAbsent, FIELDS, IGNORED_FIELDS,
};
use sandtrack_protocol::settings::Settings;
use simd_json::prelude::*;
use simd_json::OwnedValue;

/// Settings with which a program starts.
#[derive(Clone, Debug)]
pub struct CheckedSettings {
    /// The settings as the programs read them.
    pub settings: Settings,
    /// What is suspicious, though no error.
    pub warnings: Vec<String>,
}

/// Parses and checks settings.
///
/// # Errors
/// Where a program would not start with them.
pub fn check(content: Vec<u8>) -> Result<CheckedSettings, CliError> {
    // The parser works in place and overwrites its input.
    let mut scratch = content.clone();
    let settings = Settings::parse(content)?;
    check_listen_addresses(&settings)?;
    let value = simd_json::to_owned_value(&mut scratch).unwrap_or_default();
    let mut warnings = field_warnings(&value);
    warnings.extend(address_warnings(&settings));
    warnings.extend(zone_warning(&settings));
    if settings.cloud_api.address.is_empty() {
        warnings
            .push("`cloud_api.address` is missing: the list of upstreams can't be read".to_owned());
    }
    Ok(CheckedSettings { settings, warnings })
}

fn check_listen_addresses(settings: &Settings) -> Result<(), CliError> {
    for (name, address) in &settings.listen {
        if !is_socket_address(address) {
            let place = format!("settings `listen_addresses.{name}`: `{address}`");
            return Err(CliError::coded(codes::LISTEN, place));
        }
    }
    Ok(())
}

/// Values of another type, or out of the range, than the table of fields asks for.
fn field_warnings(value: &OwnedValue) -> Vec<String> {
    let mut warnings = Vec::new();
    for Field { path, kind, .. } in FIELDS {
        let Some(found) = value_at(value, path) else {
            continue;
        };
        if !kind.accepts(found) {
            warnings.push(format!(
                "`{path}` is {}; it should be: {}",
                found.encode(),
                kind.description()
            ));
        }
    }
    warnings
}

fn address_warnings(settings: &Settings) -> Vec<String> {
    let mut warnings = Vec::new();
    if settings.seed_nodes.is_empty() {
        warnings.push("`seed_nodes` is empty: no other machine is found".to_owned());
    }
    for seed in &settings.seed_nodes {
        if !is_socket_address(seed) {
            warnings.push(format!("`seed_nodes`: `{seed}` is no IP:PORT"));
        }
    }
    if settings.listen.is_empty() {
        warnings.push("`listen_addresses` is empty: nothing is served".to_owned());
    }
    warnings
}

/// The own zone is unknown, or known with another region.
fn zone_warning(settings: &Settings) -> Option<String> {
    match settings.region_of(&settings.zone) {
        None => Some(format!(
            "`zones` does not have the own zone `{}`",
            settings.zone
        )),
        Some(region) if region != settings.region => Some(format!(
            "`region` is `{}`, `zones` has `{region}` for it",
            settings.region
        )),
        Some(_) => None,
    }
}
