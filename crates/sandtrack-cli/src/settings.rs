//! The check of a settings file: as the programs read it, and by what they would trip over later. Pure. The table of fields is
//! `sandtrack_protocol::settings::fields`; docs/system/settings.md shows it.
use crate::error::CliError;
use sandtrack_protocol::codes;
use sandtrack_protocol::settings::fields::is_socket_address;
pub use sandtrack_protocol::settings::fields::{
    value_at, Field, FieldKind, IfAbsent, FIELDS, IGNORED_FIELDS,
};
use sandtrack_protocol::settings::Settings;
use simd_json::prelude::*;

/// Reads and checks settings; gives what is odd and yet no error.
///
/// # Errors
/// Where a program would not start with them.
pub fn check(content: Vec<u8>) -> Result<(Settings, Vec<String>), CliError> {
    let settings = Settings::parse(content.clone())?;
    for (name, address) in &settings.listen {
        if !is_socket_address(address) {
            let place = format!("settings `listen_addresses.{name}`: `{address}`");
            return Err(CliError::coded(codes::LISTEN, place));
        }
    }
    let mut copy = content;
    let value = simd_json::to_owned_value(&mut copy).unwrap_or_default();
    let mut odd = Vec::new();
    let mut note = |is_odd: bool, what: String| {
        if is_odd {
            odd.push(what);
        }
    };
    for Field { path, kind, .. } in FIELDS {
        if let Some(found) = value_at(&value, path) {
            note(
                !kind.accepts(found),
                format!(
                    "`{path}` is {}; it should be: {}",
                    found.encode(),
                    kind.description()
                ),
            );
        }
    }
    note(
        settings.seed_nodes.is_empty(),
        "`seed_nodes` is empty: no other machine is found".to_owned(),
    );
    for seed in settings
        .seed_nodes
        .iter()
        .filter(|seed| !is_socket_address(seed))
    {
        note(true, format!("`seed_nodes`: `{seed}` is no IP:PORT"));
    }
    note(
        settings.listen.is_empty(),
        "`listen_addresses` is empty: nothing is served".to_owned(),
    );
    match settings.region_of(&settings.zone) {
        None => note(
            true,
            format!("`zones` does not have the own zone `{}`", settings.zone),
        ),
        Some(region) => {
            let what = format!(
                "`region` is `{}`, `zones` has `{region}` for it",
                settings.region
            );
            note(region != settings.region, what);
        }
    }
    let address = &settings.cloud_api.address;
    note(
        address.is_empty(),
        "`cloud_api.address` is missing: the list of upstreams can't be read".to_owned(),
    );
    Ok((settings, odd))
}
