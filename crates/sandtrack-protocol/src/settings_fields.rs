//! The fields of the settings file: one table for the programs, for `sandtrackctl settings check` and for the page
//! docs/system/settings.md. Pure; tests hold the three together.
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;

/// What a field holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Text,
    Flag,
    /// `IP:PORT`.
    Address,
    /// Of this unit, and at least this much.
    Number(&'static str, f64),
    /// Of this unit, and above 0.
    Positive(&'static str),
    Texts,
    /// An object of texts.
    TextsByName,
    /// First and last.
    Ports,
}

impl Kind {
    /// Whether a value is of this kind and in its range.
    pub fn fits(self, value: &OwnedValue) -> bool {
        let number = value.cast_f64();
        match self {
            Kind::Text => value.as_str().is_some(),
            Kind::Address => value.as_str().is_some_and(is_address),
            Kind::Flag => value.as_bool().is_some(),
            Kind::Number(_, least) => number.is_some_and(|number| number >= least),
            Kind::Positive(_) => number.is_some_and(|number| number > 0.0),
            Kind::Texts => value
                .as_array()
                .is_some_and(|texts| texts.iter().all(|text| text.as_str().is_some())),
            Kind::TextsByName => value
                .as_object()
                .is_some_and(|texts| texts.values().all(|text| text.as_str().is_some())),
            Kind::Ports => value.as_array().is_some_and(|ports| {
                let ports: Vec<u64> = ports.iter().filter_map(|port| port.as_u64()).collect();
                matches!(ports[..], [first, last] if 0 < first && first < last && last <= 65535)
            }),
        }
    }

    /// Type and range, for people.
    pub fn text(self) -> String {
        match self {
            Kind::Text => "text".to_owned(),
            Kind::Flag => "true or false".to_owned(),
            Kind::Address => "text, `IP:PORT`".to_owned(),
            Kind::Number(unit, least) => format!("number, {unit}, {least} or more"),
            Kind::Positive(unit) => format!("number, {unit}, above 0"),
            Kind::Texts => "list of texts".to_owned(),
            Kind::TextsByName => "object of texts".to_owned(),
            Kind::Ports => "two whole numbers, the first below the second, 1 to 65535".to_owned(),
        }
    }
}

/// What the programs take where a field is not there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Without {
    /// They do not start (E102).
    Refused,
    /// This, as JSON.
    Taken(&'static str),
    /// Nothing: there is none.
    None,
}

/// A field that is read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// With a dot where it is within an object.
    pub path: &'static str,
    pub kind: Kind,
    pub without: Without,
    pub meaning: &'static str,
}

const fn field(path: &'static str, kind: Kind, without: Without, meaning: &'static str) -> Field {
    Field {
        path,
        kind,
        without,
        meaning,
    }
}

const NOT_USED: &str = "read, not used yet";

/// Every field that is read.
pub const FIELDS: &[Field] = &[
    field("node_name", Kind::Text, Without::Refused, "name of the process among all; in every log line"),
    field("role", Kind::Text, Without::Taken("\"\""), NOT_USED),
    field("machine_class", Kind::Text, Without::Taken("\"\""), NOT_USED),
    field("ip_address", Kind::Text, Without::Refused, "of this machine, for the system's own traffic"),
    field("zone", Kind::Text, Without::Refused, "of this machine"),
    field("region", Kind::Text, Without::Refused, "of this machine"),
    field(
        "zones",
        Kind::TextsByName,
        Without::Taken("{}"),
        "region of each zone; only these can be evacuated",
    ),
    field(
        "listen_addresses",
        Kind::TextsByName,
        Without::Taken("{}"),
        "`front` and `readiness` (proxy), `control` and `directory` (control node needs both: E102); `peers` and \
         `sessions`: where a control node listens for the system's own traffic when a relay stands at the address that it \
         tells others",
    ),
    field(
        "internal_port_range",
        Kind::Ports,
        Without::Refused,
        "the first port is between control nodes, the second for proxies' sessions; the same on all machines",
    ),
    field(
        "seed_nodes",
        Kind::Texts,
        Without::Taken("[]"),
        "`control` addresses of some control nodes, `IP:PORT`",
    ),
    field(
        "first_start",
        Kind::Flag,
        Without::Taken("false"),
        "the very first start of the whole system: only then may the seeds form a chain out of nothing",
    ),
    field(
        "loss_counted",
        Kind::Flag,
        Without::Taken("false"),
        "a machine of the core: its proxy looks for a control node at home first",
    ),
    field(
        "data_directory",
        Kind::Text,
        Without::None,
        "where a control node has its file; it is no member of the chain without one",
    ),
    field(
        "limits.memory_mb",
        Kind::Positive("MB"),
        Without::Taken("256"),
        "a quarter is for bodies of requests or calls in hand, and a proxy's for collected answers too",
    ),
    field("limits.file_descriptors", Kind::Positive("descriptors"), Without::Taken("1024"), NOT_USED),
    field(
        "tolerated_losses.machines",
        Kind::Number("machines", 0.0),
        Without::Taken("1"),
        "nothing is acknowledged while the chain has no more members than this",
    ),
    field(
        "tolerated_losses.zones",
        Kind::Number("zones", 0.0),
        Without::Taken("0"),
        "nor while it spans no more zones than this",
    ),
    field("bounds.in_touch_ms", Kind::Number("ms", 0.0), Without::Taken("4000"), NOT_USED),
    field("bounds.acknowledge_ms", Kind::Number("ms", 0.0), Without::Taken("5000"), NOT_USED),
    field("bounds.drain_ms", Kind::Number("ms", 0.0), Without::Taken("4000"), "0.175 of it lies between two readings of the list"),
    field(
        "bounds.grace_s",
        Kind::Number("s", 0.0),
        Without::Taken("8"),
        "after SIGTERM a proxy ends 0.4 s before this is over",
    ),
    field("bounds.configuration_apply_ms", Kind::Number("ms", 0.0), Without::Taken("3000"), NOT_USED),
    field("bounds.evacuation_ms", Kind::Number("ms", 0.0), Without::Taken("5000"), NOT_USED),
    field(
        "bounds.retry_budget_ratio",
        Kind::Number("repeats a request", 0.0),
        Without::Taken("0.1"),
        "of the retry budget",
    ),
    field("bounds.retry_window_s", Kind::Positive("s"), Without::Taken("10"), "of the retry budget"),
    field(
        "bounds.retry_budget_slack",
        Kind::Number("repeats a window", 0.0),
        Without::Taken("32"),
        "of the retry budget",
    ),
    field(
        "bounds.cold_overshoot",
        Kind::Number("times `cold_rate_s`", 0.0),
        Without::Taken("1.2"),
        "of what a cold upstream gets",
    ),
    field(
        "bounds.cold_slack",
        Kind::Number("requests a second", 0.0),
        Without::Taken("2"),
        "of what a cold upstream gets",
    ),
    field("bounds.pass_ms", Kind::Number("ms", 0.0), Without::Taken("300"), NOT_USED),
    field("bounds.recovery_s", Kind::Number("s", 0.0), Without::Taken("10"), NOT_USED),
    field("bounds.ttl_max_s", Kind::Number("s", 0.0), Without::Taken("5"), NOT_USED),
    field("bounds.address_reuse_s", Kind::Number("s", 0.0), Without::Taken("2"), NOT_USED),
    field(
        "cloud_api.address",
        Kind::Address,
        Without::Taken("\"\""),
        "where the list of upstreams is read; without it none is, and no proxy is ready",
    ),
    field(
        "cloud_api.rate_per_s",
        Kind::Positive("calls a second"),
        Without::Taken("1"),
        "over all callers; the reader keeps below it",
    ),
    field("cloud_api.lag_ms", Kind::Number("ms", 0.0), Without::Taken("0"), NOT_USED),
];

/// Fields that deployments have and that are not read.
pub const IGNORED: &[&str] = &[
    "serves",
    "discovery",
    "entry",
    "heartbeat_interval_ms",
    "contracts",
    "limits.processor_share",
    "limits.processor_cores",
    "limits.link_speed_mbps",
    "limits.disk_mb",
    "tolerated_losses.regions",
    "bounds.seeding_lag_s",
    "bounds.catch_up_s",
    "bounds.loss_slack_ms",
    "bounds.downgrade_slack_ms",
    "bounds.outer_stretch_ms",
    "bounds.again_s",
    "cloud_api.duties",
];

/// The value at a path.
pub fn at<'a>(value: &'a OwnedValue, path: &str) -> Option<&'a OwnedValue> {
    path.split('.')
        .try_fold(value, |value, name| value.get(name))
}

/// Whether a text is an `IP:PORT`.
pub fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}

/// The number that stands for a numeric field of [`FIELDS`] that a file leaves out; 0 where the table has none.
pub fn default_number(path: &str) -> f64 {
    let field = FIELDS.iter().find(|field| field.path == path);
    match field.map(|field| field.without) {
        Some(Without::Taken(number)) => number.parse().unwrap_or_default(),
        _ => 0.0,
    }
}
