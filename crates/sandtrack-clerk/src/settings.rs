//! The check of a settings file: as the programs read it, and what they would trip over later. Pure.
use crate::error::ClerkError;
use sandtrack_postmark::codes;
use sandtrack_postmark::settings::Settings;
use std::net::SocketAddr;

/// Reads and checks settings; gives what is odd and yet no error.
///
/// # Errors
/// Where a program would not start with them.
pub fn check(content: Vec<u8>) -> Result<(Settings, Vec<String>), ClerkError> {
    let settings = Settings::parse(content)?;
    let is_address = |address: &str| address.parse::<SocketAddr>().is_ok();
    for (name, address) in &settings.listen {
        if !is_address(address) {
            let place = format!("settings `listen_addresses.{name}`: `{address}`");
            return Err(ClerkError::coded(codes::LISTEN, place));
        }
    }
    let mut odd = Vec::new();
    let mut note = |is_odd: bool, what: String| {
        if is_odd {
            odd.push(what);
        }
    };
    let (first, last) = settings.internal_ports;
    note(last <= first, format!("`internal_port_range`: two ports are needed, {first} to {last} are fewer"));
    note(settings.seed_nodes.is_empty(), "`seed_nodes` is empty: no other machine is found".to_owned());
    for seed in settings.seed_nodes.iter().filter(|seed| !is_address(seed)) {
        note(true, format!("`seed_nodes`: `{seed}` is no IP:PORT"));
    }
    note(settings.listen.is_empty(), "`listen_addresses` is empty: nothing is served".to_owned());
    match settings.region_of(&settings.zone) {
        None => note(true, format!("`zones` does not have the own zone `{}`", settings.zone)),
        Some(region) => {
            let what = format!("`region` is `{}`, `zones` has `{region}` for it", settings.region);
            note(region != settings.region, what);
        }
    }
    let cloud = &settings.cloud_api;
    note(
        !is_address(&cloud.address),
        format!(
            "`cloud_api.address`: `{}` is no IP:PORT, so the list of upstreams can't be read",
            cloud.address
        ),
    );
    note(
        cloud.rate_per_s <= 0.0,
        format!("`cloud_api.rate_per_s` is {}: the list can't be read", cloud.rate_per_s),
    );
    Ok((settings, odd))
}
