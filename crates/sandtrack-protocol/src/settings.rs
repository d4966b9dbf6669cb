//! The settings file of a process, whose path is in `SANDTRACK_BOOT` (DEPLOY.md). Unknown fields are ignored.
use crate::codes::{self, Code};
use crate::settings_fields::{at, default_number};
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

/// What is wrong with a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{} the settings file can't be read: {}", self.code(), .0)]
    Unreadable(String),
    #[error("{} settings: field `{}` is missing or has the wrong type", self.code(), .0)]
    Field(String),
}

impl SettingsError {
    pub fn code(&self) -> Code {
        match self {
            SettingsError::Unreadable(_) => codes::SETTINGS_UNREADABLE,
            SettingsError::Field(_) => codes::SETTINGS_FIELD,
        }
    }
}

/// The platform's interface.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CloudApi {
    pub address: String,
    /// Calls a second that it takes, over all callers.
    pub rate_per_s: f64,
    /// How far the list runs behind, in ms.
    pub lag_ms: f64,
}

/// Figures of the rules (RULES.md). What a file leaves out has the most careful value seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    pub in_touch_ms: f64,
    pub acknowledge_ms: f64,
    pub drain_ms: f64,
    pub grace_s: f64,
    pub configuration_apply_ms: f64,
    pub evacuation_ms: f64,
    pub retry_budget_ratio: f64,
    pub retry_window_s: f64,
    pub retry_budget_slack: f64,
    pub cold_overshoot: f64,
    pub cold_slack: f64,
    pub pass_ms: f64,
    pub recovery_s: f64,
    pub ttl_max_s: f64,
    pub address_reuse_s: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub node_name: String,
    pub role: String,
    pub machine_class: String,
    pub ip_address: String,
    pub zone: String,
    pub region: String,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    /// What is served, by name: `front`, `readiness`, `control`, `directory`.
    pub listen: BTreeMap<String, String>,
    /// First port of those left free for the system's own traffic, and the last.
    pub internal_ports: (u16, u16),
    /// `control` addresses.
    pub seed_nodes: Vec<String>,
    pub first_start: bool,
    pub loss_counted: bool,
    pub data_directory: Option<String>,
    pub memory_mb: f64,
    pub file_descriptors: usize,
    pub machines_borne: usize,
    pub zones_borne: usize,
    pub bounds: Bounds,
    pub cloud_api: CloudApi,
}

/// Port offsets within `internal_ports`.
pub const PEER_PORT: u16 = 0;
pub const SESSION_PORT: u16 = 1;

/// What `limits.memory_mb` counts in, in bytes.
const MEGABYTE: f64 = 1024.0 * 1024.0;

impl Settings {
    /// A part (0 to 1) of the memory that the process may have, in bytes.
    #[must_use]
    pub fn memory_part(&self, part: f64) -> usize {
        (self.memory_mb * MEGABYTE * part) as usize
    }

    /// Reads the file at `path`.
    ///
    /// # Errors
    /// Where the file can't be read, is no JSON, or lacks a field without which the process can't run.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let bytes =
            std::fs::read(path).map_err(|error| SettingsError::Unreadable(error.to_string()))?;
        Settings::parse(bytes)
    }

    /// As [`Settings::read`], of the file's content.
    ///
    /// # Errors
    /// As there.
    pub fn parse(mut bytes: Vec<u8>) -> Result<Settings, SettingsError> {
        let value = simd_json::to_owned_value(&mut bytes)
            .map_err(|error| SettingsError::Unreadable(error.to_string()))?;
        let missing = |field: &str| SettingsError::Field(field.to_owned());
        let text = |field: &str| {
            value
                .get_str(field)
                .map(str::to_owned)
                .ok_or_else(|| missing(field))
        };
        let strings = |field: &str| -> BTreeMap<String, String> {
            let object = value.get_object(field);
            let entries = object.into_iter().flat_map(|map| map.iter());
            entries
                .filter_map(|(key, value)| Some((key.clone(), value.as_str()?.to_owned())))
                .collect()
        };
        // What a file leaves out is in the table of fields.
        let number = |path: &str| {
            let told = at(&value, path).and_then(ValueAsScalar::cast_f64);
            told.unwrap_or_else(|| default_number(path))
        };
        let bound = |field: &str| number(&format!("bounds.{field}"));
        let ports = value.get_array("internal_port_range").and_then(|range| {
            let port = |at: usize| {
                range
                    .get(at)?
                    .as_u64()
                    .and_then(|port| u16::try_from(port).ok())
            };
            Some((port(0)?, port(1)?))
        });
        let seeds = value.get_array("seed_nodes").map(|seeds| seeds.iter());
        let seeds = seeds
            .into_iter()
            .flatten()
            .filter_map(|seed| seed.as_str().map(str::to_owned));
        Ok(Settings {
            node_name: text("node_name")?,
            role: text("role").unwrap_or_default(),
            machine_class: text("machine_class").unwrap_or_default(),
            ip_address: text("ip_address")?,
            zone: text("zone")?,
            region: text("region")?,
            zones: strings("zones"),
            listen: strings("listen_addresses"),
            internal_ports: ports.ok_or_else(|| missing("internal_port_range"))?,
            seed_nodes: seeds.collect(),
            first_start: value.get_bool("first_start").unwrap_or(false),
            loss_counted: value.get_bool("loss_counted").unwrap_or(false),
            data_directory: value.get_str("data_directory").map(str::to_owned),
            memory_mb: number("limits.memory_mb"),
            file_descriptors: number("limits.file_descriptors") as usize,
            machines_borne: number("tolerated_losses.machines") as usize,
            zones_borne: number("tolerated_losses.zones") as usize,
            bounds: Bounds {
                in_touch_ms: bound("in_touch_ms"),
                acknowledge_ms: bound("acknowledge_ms"),
                drain_ms: bound("drain_ms"),
                grace_s: bound("grace_s"),
                configuration_apply_ms: bound("configuration_apply_ms"),
                evacuation_ms: bound("evacuation_ms"),
                retry_budget_ratio: bound("retry_budget_ratio"),
                retry_window_s: bound("retry_window_s"),
                retry_budget_slack: bound("retry_budget_slack"),
                cold_overshoot: bound("cold_overshoot"),
                cold_slack: bound("cold_slack"),
                pass_ms: bound("pass_ms"),
                recovery_s: bound("recovery_s"),
                ttl_max_s: bound("ttl_max_s"),
                address_reuse_s: bound("address_reuse_s"),
            },
            cloud_api: CloudApi {
                address: at(&value, "cloud_api.address")
                    .and_then(|address| address.as_str())
                    .unwrap_or_default()
                    .to_owned(),
                rate_per_s: number("cloud_api.rate_per_s"),
                lag_ms: number("cloud_api.lag_ms"),
            },
        })
    }

    /// The region of a zone; `None` for one that the settings do not name.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.zones.get(zone).map(String::as_str)
    }

    /// The address on `ip` for the system's own traffic: `offset` is [`PEER_PORT`] or [`SESSION_PORT`].
    pub fn internal_address(&self, ip: &str, offset: u16) -> String {
        format!("{ip}:{}", self.internal_ports.0 + offset)
    }

    /// IP of an `ip:port` address.
    pub fn ip_of(address: &str) -> &str {
        address.rsplit_once(':').map_or(address, |(ip, _)| ip)
    }
}
