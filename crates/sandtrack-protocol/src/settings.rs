//! The settings file of a process, whose path is in `SANDTRACK_BOOT` (DEPLOY.md). Unknown fields are ignored.
pub mod fields;

use crate::codes::{self, Code};
use crate::json_fields::texts;
use fields::{default_number, value_at};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::BTreeMap;
use std::path::Path;

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read, or is not JSON.
    #[error("{} the settings file can't be read: {}", self.code(), .0)]
    Unreadable(String),
    /// The field with this path is missing or has another type.
    #[error("{} settings: field `{}` is missing or has the wrong type", self.code(), .0)]
    Field(String),
}

impl SettingsError {
    /// The result code that operators see; also the exit code of the process.
    pub fn code(&self) -> Code {
        match self {
            SettingsError::Unreadable(_) => codes::SETTINGS_UNREADABLE,
            SettingsError::Field(_) => codes::SETTINGS_FIELD,
        }
    }
}

/// The platform's API, which lists the upstreams (`cloud_api`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CloudApi {
    /// `IP:PORT`; empty where the deployment has none.
    pub address: String,
    /// Its rate limit, in calls a second over all callers.
    pub rate_per_s: f64,
    /// How old the list may be that it returns, in ms.
    pub lag_ms: f64,
}

/// Declares [`Bounds`] and reads each of its fields from `bounds.NAME`.
macro_rules! bounds {
    ($($(#[doc = $doc:literal])+ $field:ident,)*) => {
        /// Service levels that the deployment promises (`bounds`). A missing one has its default of [`fields::FIELDS`],
        /// the strictest value that deployments use.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Bounds {
            /// A proxy that may not have heard of a revocation lets no API key pass.
            pub revocation_closed: bool,
            $($(#[doc = $doc])+ pub $field: f64,)*
        }

        impl Bounds {
            fn read(revocation_closed: bool, number: impl Fn(&str) -> f64) -> Bounds {
                Bounds {
                    revocation_closed,
                    $($field: number(concat!("bounds.", stringify!($field))),)*
                }
            }
        }
    };
}

bounds! {
    /// Not used yet.
    in_touch_ms,
    /// Not used yet.
    acknowledge_ms,
    /// Within this a draining upstream gets no new requests from any proxy.
    drain_ms,
    /// Time between SIGTERM and SIGKILL.
    grace_s,
    /// Not used yet.
    configuration_apply_ms,
    /// Not used yet.
    evacuation_ms,
    /// Where revocation is closed, API keys pass for this long after the last contact with control.
    revocation_ms,
    /// Retry budget: retries for each request.
    retry_budget_ratio,
    /// Retry budget: the window over which it counts.
    retry_window_s,
    /// Retry budget: retries that each window has besides.
    retry_budget_slack,
    /// Slow start: multiple of a service's `cold_rate_s` that an upstream may get.
    cold_overshoot,
    /// Slow start: requests a second that an upstream may get besides.
    cold_slack,
    /// Not used yet.
    pass_ms,
    /// Not used yet.
    recovery_s,
    /// Not used yet.
    ttl_max_s,
    /// Not used yet.
    address_reuse_s,
}

/// The settings of one process. docs/system/settings.md says what each field is for.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the process, unique in the deployment; in every log line.
    pub node_name: String,
    /// Not used yet.
    pub role: String,
    /// Not used yet.
    pub machine_class: String,
    /// IP address of the machine for traffic between the system's own processes.
    pub ip_address: String,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine.
    pub region: String,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Listening addresses, `IP:PORT`, by name: `front`, `readiness`, `control`, `directory`, `metrics`, and the optional
    /// `peers` and `sessions`.
    pub listen: BTreeMap<String, String>,
    /// First and last port of the range for traffic between the system's own processes.
    pub internal_ports: (u16, u16),
    /// `control` addresses of some control nodes, through which the others are found.
    pub seed_nodes: Vec<String>,
    /// The deployment starts for the very first time: the seeds may form a chain although none has a log.
    pub first_start: bool,
    /// The machine counts towards the tolerated losses: its proxy prefers a control node on the same machine.
    pub loss_counted: bool,
    /// Parts of the rules that are in force in the deployment.
    pub contracts: Vec<String>,
    /// Directory of a control node's WAL; without one it is no member of the chain.
    pub data_directory: Option<String>,
    /// Memory limit of the process, in MiB.
    pub memory_mb: f64,
    /// Limit of open file descriptors. Not used yet.
    pub file_descriptors: usize,
    /// Machines that may fail without the loss of an acknowledged change.
    pub tolerated_machine_losses: usize,
    /// Zones that may fail without the loss of an acknowledged change.
    pub tolerated_zone_losses: usize,
    /// Service levels.
    pub bounds: Bounds,
    /// The platform's API.
    pub cloud_api: CloudApi,
}

/// Offset in [`Settings::internal_ports`] of the port for links between control nodes.
pub const PEER_PORT_OFFSET: u16 = 0;
/// Offset in [`Settings::internal_ports`] of the port for proxies' sessions.
pub const SESSION_PORT_OFFSET: u16 = 1;

/// Parts of the rules (`contracts`) that the programs implement.
const SUPPORTED_CONTRACTS: &[&str] = &[
    "base", "drain", "config", "cost", "retry", "recover", "health", "pool", "tenants", "engine",
    "stream", "places",
];

/// Unit of `limits.memory_mb`, in bytes.
const MEGABYTE: f64 = 1024.0 * 1024.0;

impl Settings {
    /// A fraction (0 to 1) of the memory limit of the process, in bytes.
    #[must_use]
    pub fn memory_fraction_bytes(&self, fraction: f64) -> usize {
        (self.memory_mb * MEGABYTE * fraction) as usize
    }

    /// Reads the settings file at `path`.
    ///
    /// # Errors
    /// Where the file can't be read, is no JSON, or lacks a field without which the process can't run.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let bytes =
            std::fs::read(path).map_err(|error| SettingsError::Unreadable(error.to_string()))?;
        Settings::parse(bytes)
    }

    /// Parses the content of a settings file.
    ///
    /// # Errors
    /// Where it is no JSON, or lacks a field without which the process can't run.
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
        let number = |path: &str| {
            let value = value_at(&value, path).and_then(ValueAsScalar::cast_f64);
            value.unwrap_or_else(|| default_number(path))
        };
        let flag = |path: &str| {
            let value = value_at(&value, path);
            value.and_then(ValueAsScalar::as_bool).unwrap_or(false)
        };
        Ok(Settings {
            node_name: text("node_name")?,
            role: text("role").unwrap_or_default(),
            machine_class: text("machine_class").unwrap_or_default(),
            ip_address: text("ip_address")?,
            zone: text("zone")?,
            region: text("region")?,
            zones: strings_by_name(&value, "zones"),
            listen: strings_by_name(&value, "listen_addresses"),
            internal_ports: port_range(&value).ok_or_else(|| missing("internal_port_range"))?,
            seed_nodes: texts(&value, "seed_nodes").map(str::to_owned).collect(),
            first_start: value.get_bool("first_start").unwrap_or(false),
            loss_counted: value.get_bool("loss_counted").unwrap_or(false),
            contracts: texts(&value, "contracts").map(str::to_owned).collect(),
            data_directory: value.get_str("data_directory").map(str::to_owned),
            memory_mb: number("limits.memory_mb"),
            file_descriptors: number("limits.file_descriptors") as usize,
            tolerated_machine_losses: number("tolerated_losses.machines") as usize,
            tolerated_zone_losses: number("tolerated_losses.zones") as usize,
            bounds: Bounds::read(flag("bounds.revocation_closed"), number),
            cloud_api: CloudApi {
                address: value_at(&value, "cloud_api.address")
                    .and_then(|address| address.as_str())
                    .unwrap_or_default()
                    .to_owned(),
                rate_per_s: number("cloud_api.rate_per_s"),
                lag_ms: number("cloud_api.lag_ms"),
            },
        })
    }

    /// The parts of the rules in force that the programs do not implement.
    pub fn unsupported_contracts(&self) -> Vec<&str> {
        let is_unsupported = |name: &&str| !SUPPORTED_CONTRACTS.contains(name);
        let contracts = self.contracts.iter().map(String::as_str);
        contracts.filter(is_unsupported).collect()
    }

    /// Logs the parts of the rules in force that the programs do not implement.
    pub fn log_unsupported_contracts(&self) {
        let unsupported = self.unsupported_contracts();
        if !unsupported.is_empty() {
            log::warn!("contracts without effect: {}", unsupported.join(", "));
        }
    }

    /// The region of a zone; `None` for one that the settings do not name.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.zones.get(zone).map(String::as_str)
    }

    /// The address on `ip` for traffic between the system's own processes; `offset` is [`PEER_PORT_OFFSET`] or
    /// [`SESSION_PORT_OFFSET`].
    pub fn internal_address(&self, ip: &str, offset: u16) -> String {
        format!("{ip}:{}", self.internal_ports.0 + offset)
    }

    /// The IP of an `IP:PORT` address.
    pub fn ip_of(address: &str) -> &str {
        address.rsplit_once(':').map_or(address, |(ip, _)| ip)
    }
}

/// The object `name` as a map; values that are no strings are left out.
fn strings_by_name(value: &OwnedValue, name: &str) -> BTreeMap<String, String> {
    let object = value.get_object(name);
    let entries = object.into_iter().flat_map(|map| map.iter());
    entries
        .filter_map(|(key, value)| Some((key.clone(), value.as_str()?.to_owned())))
        .collect()
}

fn port_range(value: &OwnedValue) -> Option<(u16, u16)> {
    let range = value.get_array("internal_port_range")?;
    let port = |at: usize| u16::try_from(range.get(at)?.as_u64()?).ok();
    Some((port(0)?, port(1)?))
}
