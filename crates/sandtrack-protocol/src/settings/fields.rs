//! The fields of the settings file: one table for the programs, for `sandtrackctl settings check` and for the page
//! docs/system/settings.md. Tests hold the three together.
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;

/// Type and range of a field's value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldKind {
    /// A string.
    Text,
    /// A boolean.
    Flag,
    /// A string of the form `IP:PORT`.
    Address,
    /// A number with its unit and its least value.
    Number(&'static str, f64),
    /// A number above 0, with its unit.
    Positive(&'static str),
    /// An array of strings.
    Texts,
    /// An object whose values are strings.
    TextsByName,
    /// A port range: an array of its first and its last port.
    Ports,
}

impl FieldKind {
    /// Whether a value has this type and is in its range.
    pub fn accepts(self, value: &OwnedValue) -> bool {
        let number = value.cast_f64();
        match self {
            FieldKind::Text => value.as_str().is_some(),
            FieldKind::Address => value.as_str().is_some_and(is_socket_address),
            FieldKind::Flag => value.as_bool().is_some(),
            FieldKind::Number(_, least) => number.is_some_and(|number| number >= least),
            FieldKind::Positive(_) => number.is_some_and(|number| number > 0.0),
            FieldKind::Texts => value
                .as_array()
                .is_some_and(|texts| texts.iter().all(|text| text.as_str().is_some())),
            FieldKind::TextsByName => value
                .as_object()
                .is_some_and(|texts| texts.values().all(|text| text.as_str().is_some())),
            FieldKind::Ports => value.as_array().is_some_and(|ports| {
                let ports: Vec<u64> = ports.iter().filter_map(|port| port.as_u64()).collect();
                matches!(ports[..], [first, last] if 0 < first && first < last && last <= 65535)
            }),
        }
    }

    /// Type and range in words, for messages and for the page.
    pub fn description(self) -> String {
        match self {
            FieldKind::Text => "text".to_owned(),
            FieldKind::Flag => "true or false".to_owned(),
            FieldKind::Address => "text, `IP:PORT`".to_owned(),
            FieldKind::Number(unit, least) => format!("number, {unit}, {least} or more"),
            FieldKind::Positive(unit) => format!("number, {unit}, above 0"),
            FieldKind::Texts => "list of texts".to_owned(),
            FieldKind::TextsByName => "object of texts".to_owned(),
            FieldKind::Ports => {
                "two whole numbers, the first below the second, 1 to 65535".to_owned()
            }
        }
    }
}

/// What a program does when a field is missing from the settings file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum IfAbsent {
    /// It does not start ([`SETTINGS_FIELD`](crate::codes::SETTINGS_FIELD)).
    Error,
    /// It uses this value, given as JSON.
    Default(&'static str),
    /// It runs without a value.
    Unset,
}

/// A field of the settings file that the programs read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// Its name; a dot separates the name of an object from that of a field in it.
    pub path: &'static str,
    /// Type and range.
    pub kind: FieldKind,
    /// What stands in for a missing value.
    pub if_absent: IfAbsent,
    /// What it is for, in the words of the page.
    pub meaning: &'static str,
}

const fn field(
    path: &'static str,
    kind: FieldKind,
    if_absent: IfAbsent,
    meaning: &'static str,
) -> Field {
    Field {
        path,
        kind,
        if_absent,
        meaning,
    }
}

const NOT_USED: &str = "read, not used yet";

/// Every field that the programs read.
pub const FIELDS: &[Field] = &[
    field("node_name", FieldKind::Text, IfAbsent::Error, "name of the process among all; in every log line"),
    field("role", FieldKind::Text, IfAbsent::Default("\"\""), NOT_USED),
    field("machine_class", FieldKind::Text, IfAbsent::Default("\"\""), NOT_USED),
    field("ip_address", FieldKind::Text, IfAbsent::Error, "of this machine, for the system's own traffic"),
    field("zone", FieldKind::Text, IfAbsent::Error, "of this machine"),
    field("region", FieldKind::Text, IfAbsent::Error, "of this machine"),
    field(
        "zones",
        FieldKind::TextsByName,
        IfAbsent::Default("{}"),
        "region of each zone; only these can be evacuated",
    ),
    field(
        "listen_addresses",
        FieldKind::TextsByName,
        IfAbsent::Default("{}"),
        "`front` and `readiness` (proxy), `control` and `directory` (control node needs both: E102); `peers` and \
         `sessions`: where a control node listens for the system's own traffic when a relay stands at the address that it \
         tells others",
    ),
    field(
        "internal_port_range",
        FieldKind::Ports,
        IfAbsent::Error,
        "the first port is between control nodes, the second for proxies' sessions; the same on all machines",
    ),
    field(
        "seed_nodes",
        FieldKind::Texts,
        IfAbsent::Default("[]"),
        "`control` addresses of some control nodes, `IP:PORT`",
    ),
    field(
        "first_start",
        FieldKind::Flag,
        IfAbsent::Default("false"),
        "the very first start of the whole system: only then may the seeds form a chain out of nothing",
    ),
    field(
        "loss_counted",
        FieldKind::Flag,
        IfAbsent::Default("false"),
        "a machine of the core: its proxy looks for a control node at home first",
    ),
    field(
        "contracts",
        FieldKind::Texts,
        IfAbsent::Default("[]"),
        "parts of the rules that are in force; those that a program does not implement are logged at its start",
    ),
    field(
        "data_directory",
        FieldKind::Text,
        IfAbsent::Unset,
        "where a control node has its file; it is no member of the chain without one",
    ),
    field(
        "limits.memory_mb",
        FieldKind::Positive("MB"),
        IfAbsent::Default("256"),
        "a quarter is for bodies of requests or calls in hand, and a proxy's for collected answers too",
    ),
    field("limits.file_descriptors", FieldKind::Positive("descriptors"), IfAbsent::Default("1024"), NOT_USED),
    field(
        "tolerated_losses.machines",
        FieldKind::Number("machines", 0.0),
        IfAbsent::Default("1"),
        "nothing is acknowledged while the chain has no more members than this",
    ),
    field(
        "tolerated_losses.zones",
        FieldKind::Number("zones", 0.0),
        IfAbsent::Default("0"),
        "nor while it spans no more zones than this",
    ),
    field("bounds.in_touch_ms", FieldKind::Number("ms", 0.0), IfAbsent::Default("4000"), NOT_USED),
    field("bounds.acknowledge_ms", FieldKind::Number("ms", 0.0), IfAbsent::Default("5000"), NOT_USED),
    field("bounds.drain_ms", FieldKind::Number("ms", 0.0), IfAbsent::Default("4000"), "0.175 of it lies between two readings of the list"),
    field(
        "bounds.grace_s",
        FieldKind::Number("s", 0.0),
        IfAbsent::Default("8"),
        "after SIGTERM a proxy ends 0.4 s before this is over",
    ),
    field("bounds.configuration_apply_ms", FieldKind::Number("ms", 0.0), IfAbsent::Default("3000"), NOT_USED),
    field("bounds.evacuation_ms", FieldKind::Number("ms", 0.0), IfAbsent::Default("5000"), NOT_USED),
    field(
        "bounds.revocation_closed",
        FieldKind::Flag,
        IfAbsent::Default("false"),
        "a proxy that has not heard control for `bounds.revocation_ms` lets no API key pass: E410",
    ),
    field(
        "bounds.revocation_ms",
        FieldKind::Number("ms", 0.0),
        IfAbsent::Default("5000"),
        "see `bounds.revocation_closed`",
    ),
    field(
        "bounds.retry_budget_ratio",
        FieldKind::Number("repeats a request", 0.0),
        IfAbsent::Default("0.1"),
        "of the retry budget",
    ),
    field("bounds.retry_window_s", FieldKind::Positive("s"), IfAbsent::Default("10"), "of the retry budget"),
    field(
        "bounds.retry_budget_slack",
        FieldKind::Number("repeats a window", 0.0),
        IfAbsent::Default("32"),
        "of the retry budget",
    ),
    field(
        "bounds.cold_overshoot",
        FieldKind::Number("times `cold_rate_s`", 0.0),
        IfAbsent::Default("1.2"),
        "of what a cold upstream gets",
    ),
    field(
        "bounds.cold_slack",
        FieldKind::Number("requests a second", 0.0),
        IfAbsent::Default("2"),
        "of what a cold upstream gets",
    ),
    field("bounds.pass_ms", FieldKind::Number("ms", 0.0), IfAbsent::Default("300"), NOT_USED),
    field("bounds.recovery_s", FieldKind::Number("s", 0.0), IfAbsent::Default("10"), NOT_USED),
    field("bounds.ttl_max_s", FieldKind::Number("s", 0.0), IfAbsent::Default("5"), NOT_USED),
    field("bounds.address_reuse_s", FieldKind::Number("s", 0.0), IfAbsent::Default("2"), NOT_USED),
    field(
        "cloud_api.address",
        FieldKind::Address,
        IfAbsent::Default("\"\""),
        "where the list of upstreams is read; without it none is, and no proxy is ready",
    ),
    field(
        "cloud_api.rate_per_s",
        FieldKind::Positive("calls a second"),
        IfAbsent::Default("1"),
        "over all callers; the reader keeps below it",
    ),
    field("cloud_api.lag_ms", FieldKind::Number("ms", 0.0), IfAbsent::Default("0"), NOT_USED),
];

/// Paths of the fields that deployments contain and the programs ignore.
pub const IGNORED_FIELDS: &[&str] = &[
    "serves",
    "discovery",
    "entry",
    "heartbeat_interval_ms",
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

/// The value at a dotted path (see [`Field::path`]), if there is one.
pub fn value_at<'a>(value: &'a OwnedValue, path: &str) -> Option<&'a OwnedValue> {
    path.split('.')
        .try_fold(value, |value, name| value.get(name))
}

/// Whether a text is an address of the form `IP:PORT`.
pub fn is_socket_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}

/// Default of a numeric field of [`FIELDS`]; 0 for a path that has none.
pub fn default_number(path: &str) -> f64 {
    let field = FIELDS.iter().find(|field| field.path == path);
    match field.map(|field| field.if_absent) {
        Some(IfAbsent::Default(number)) => number.parse().unwrap_or_default(),
        _ => 0.0,
    }
}
