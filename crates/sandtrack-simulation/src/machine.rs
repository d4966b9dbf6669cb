//! A simulated machine: its disk, its control node on the real WAL, its proxy, and the state of its clock and speed.
use crate::disk::{Disk, DiskMode};
use crate::operators::zone_name;
use crate::plan::{Millis, ZONES};
use crate::simulated_proxy::SimulatedProxy;
use sandtrack_control::node::ControlNode;
use sandtrack_protocol::settings::Settings;
use sandtrack_wal::Wal;
use std::collections::{BTreeMap, VecDeque};

/// Bytes that a disk writes in a ms.
const BYTES_PER_MS: f64 = 120_000.0;
const SYNC_MS: Millis = 0.5;
pub const WAL_NAME: &str = "control.ledger";

/// A write that a control node has requested from its disk.
#[derive(Clone, Debug)]
pub struct DiskRequest {
    pub ticket: u64,
    pub records: Vec<Vec<u8>>,
    pub replaces_log: bool,
}

impl DiskRequest {
    /// The duration on a healthy disk, in ms.
    pub fn duration(&self) -> Millis {
        let bytes: usize = self.records.iter().map(Vec::len).sum();
        bytes as f64 / BYTES_PER_MS
            + if self.replaces_log {
                3.0 * SYNC_MS
            } else {
                SYNC_MS
            }
    }
}

pub struct ControlProcess {
    pub node: ControlNode,
    pub wal: Wal<Disk>,
    /// Requests in order; the first is under way.
    pub disk_queue: VecDeque<DiskRequest>,
    /// Connections to peers by the node's identifiers: connection and side.
    pub links: BTreeMap<u64, (u64, usize)>,
    pub sessions: BTreeMap<u64, (u64, usize)>,
    /// Calls of operators by the node's identifiers.
    pub calls: BTreeMap<u64, u64>,
    /// When the next tick is scheduled.
    pub next_tick_at: Millis,
    /// The configuration number and the evacuation number that were observed last.
    pub last_numbers: (u64, u64),
}

/// Which processes a machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A control node on a disk, and a proxy.
    ControlAndProxy,
    /// Only a proxy.
    ProxyOnly,
}

/// A machine.
pub struct Machine {
    pub zone: usize,
    pub role: Role,
    pub removed: bool,
    pub frozen: bool,
    pub disk: Disk,
    pub disk_mode: DiskMode,
    pub control: Option<ControlProcess>,
    pub control_generation: u64,
    pub proxy: Option<SimulatedProxy>,
    pub proxy_generation: u64,
    /// Connections of the proxy by its identifiers: connection and side.
    pub proxy_connections: BTreeMap<u64, (u64, usize)>,
    /// Whether the next start of its control node is the first one of the whole cluster.
    pub first_start: bool,
    /// Since when it has certainly reached no majority of the voters.
    pub isolated_since: Option<Millis>,
    /// When its processes last started or were resumed.
    pub running_since: Millis,
    /// Its steady clock's lead over simulated time, in ms.
    pub clock_offset_ms: Millis,
    pub step_delay: StepDelay,
}

/// The pace of a slow machine: events that come while a step is under way are deferred.
#[derive(Debug, Default)]
pub struct StepDelay {
    /// The duration of each step, in ms; 0 if the machine is not slow.
    pub step_ms: Millis,
    pub busy_until: Millis,
    /// The next step is scheduled.
    pub is_scheduled: bool,
    /// The event that is being handled now is that step.
    pub is_current: bool,
}

impl Machine {
    pub fn new(zone: usize, role: Role, first_start: bool) -> Machine {
        Machine {
            zone,
            role,
            removed: false,
            frozen: false,
            disk: Disk::default(),
            disk_mode: DiskMode::Healthy,
            control: None,
            control_generation: 0,
            proxy: None,
            proxy_generation: 0,
            proxy_connections: BTreeMap::new(),
            first_start,
            isolated_since: None,
            running_since: 0.0,
            clock_offset_ms: 0.0,
            step_delay: StepDelay::default(),
        }
    }

    /// Whether it has a disk and a control node.
    pub fn runs_control(&self) -> bool {
        self.role == Role::ControlAndProxy
    }

    /// Whether its control node runs and is not frozen.
    pub fn is_running(&self) -> bool {
        self.control.is_some() && !self.frozen && !self.removed
    }
}

pub fn ip(machine: usize) -> String {
    format!("10.{}.0.1", machine + 1)
}

/// The index of the machine with an address.
pub fn machine_of(address: &str) -> Option<usize> {
    let number: usize = address.split('.').nth(1)?.parse().ok()?;
    number.checked_sub(1)
}

/// The settings that a process of the machine reads at its start.
///
/// # Panics
/// Never: the text is always valid.
pub fn settings(
    machine: usize,
    zone: usize,
    runs_control: bool,
    first_start: bool,
    seeds: &[usize],
) -> Settings {
    let region = |zone: usize| ["ishikari", "kamikawa", "ishikari"][zone];
    let seeds: Vec<String> = seeds
        .iter()
        .map(|seed| format!("\"{}:8166\"", ip(*seed)))
        .collect();
    let zones: Vec<String> = (0..ZONES)
        .map(|zone| format!("\"{}\":\"{}\"", zone_name(zone), region(zone)))
        .collect();
    let ip = ip(machine);
    let text = format!(
        r#"{{"node_name":"front-{machine}","role":"r","ip_address":"{ip}","zone":"{}","region":"{}","zones":{{{}}},
        "listen_addresses":{{"front":"{ip}:8161","control":"{ip}:8166","directory":"{ip}:8164"}},
        "internal_port_range":[7720,7735],"seed_nodes":[{}],"first_start":{first_start},"loss_counted":{runs_control},
        "data_directory":"/data","tolerated_losses":{{"machines":1,"zones":1,"regions":0}},
        "cloud_api":{{"address":"10.200.0.79:8169","rate_per_s":47.0,"lag_ms":800}}}}"#,
        zone_name(zone),
        region(zone),
        zones.join(","),
        seeds.join(",")
    );
    Settings::parse(text.into_bytes()).expect("settings that are whole")
}
