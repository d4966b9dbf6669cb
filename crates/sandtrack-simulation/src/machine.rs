//! A machine of a world: its disk, its control node on the real WAL, its proxy, and what waits while it is frozen.
use crate::disk::{Disk, Mode};
use crate::front::Front;
use crate::operators::zone_name;
use crate::plan::{Millis, ZONES};
use sandtrack_control::node::ControlNode;
use sandtrack_protocol::settings::Settings;
use sandtrack_wal::Wal;
use std::collections::{BTreeMap, VecDeque};

/// Bytes that a disk writes in a ms, and what a sync takes.
const BYTES_PER_MS: f64 = 120_000.0;
const SYNC_MS: Millis = 0.5;
pub const WAL_NAME: &str = "control.ledger";

/// What a control node wants from its disk.
#[derive(Clone, Debug)]
pub struct DiskOrder {
    pub ticket: u64,
    pub records: Vec<Vec<u8>>,
    pub rewrites: bool,
}

impl DiskOrder {
    /// How long it takes on a disk that is well.
    pub fn takes(&self) -> Millis {
        let bytes: usize = self.records.iter().map(Vec::len).sum();
        bytes as f64 / BYTES_PER_MS
            + if self.rewrites {
                3.0 * SYNC_MS
            } else {
                SYNC_MS
            }
    }
}

pub struct Control {
    pub node: ControlNode,
    pub wal: Wal<Disk>,
    /// The one at the front is under way; it ends at a time, where the disk is not stalled.
    pub orders: VecDeque<DiskOrder>,
    /// Connections by what the node calls them.
    pub links: BTreeMap<u64, (u64, usize)>,
    pub sessions: BTreeMap<u64, (u64, usize)>,
    /// Operators' calls by what the node calls them.
    pub calls: BTreeMap<u64, u64>,
    /// When it will look at what is due.
    pub tick_at: Millis,
    /// What was seen of its state last.
    pub seen: (u64, u64),
}

pub struct Machine {
    pub zone: usize,
    /// It has a disk and a control node.
    pub core: bool,
    pub removed: bool,
    pub frozen: bool,
    pub disk: Disk,
    pub mode: Mode,
    pub control: Option<Control>,
    pub control_life: u64,
    pub proxy: Option<Front>,
    pub proxy_life: u64,
    /// Connections of the proxy by what it calls them.
    pub proxy_connections: BTreeMap<u64, (u64, usize)>,
    /// It was started for the first time with the whole system.
    pub first: bool,
    /// Since when it surely had no way to a majority of the voters.
    pub alone_since: Option<Millis>,
    /// When its processes last began, or went on, to run.
    pub runs_since: Millis,
    /// What its steady clock shows beyond the time of the world, in ms.
    pub clock_ahead: Millis,
    pub steps: Steps,
}

/// Steps of a slow machine: what comes while one is under way waits.
#[derive(Debug, Default)]
pub struct Steps {
    /// What each takes, in ms; 0: no time.
    pub each_ms: Millis,
    pub busy_until: Millis,
    /// The next one has its time.
    pub planned: bool,
    /// What happens now is the next one.
    pub taken: bool,
}

impl Machine {
    pub fn new(zone: usize, core: bool, first: bool) -> Machine {
        Machine {
            zone,
            core,
            removed: false,
            frozen: false,
            disk: Disk::default(),
            mode: Mode::Well,
            control: None,
            control_life: 0,
            proxy: None,
            proxy_life: 0,
            proxy_connections: BTreeMap::new(),
            first,
            alone_since: None,
            runs_since: 0.0,
            clock_ahead: 0.0,
            steps: Steps::default(),
        }
    }

    pub fn is_running(&self) -> bool {
        self.control.is_some() && !self.frozen && !self.removed
    }
}

pub fn ip(machine: usize) -> String {
    format!("10.{}.0.1", machine + 1)
}

/// The machine of an address.
pub fn machine_of(address: &str) -> Option<usize> {
    let number: usize = address.split('.').nth(1)?.parse().ok()?;
    number.checked_sub(1)
}

/// The settings that a process of the machine reads at its start.
///
/// # Panics
/// Never: the text is whole.
pub fn settings(
    machine: usize,
    zone: usize,
    core: bool,
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
        "internal_port_range":[7720,7735],"seed_nodes":[{}],"first_start":{first_start},"loss_counted":{core},
        "data_directory":"/data","tolerated_losses":{{"machines":1,"zones":1,"regions":0}},
        "cloud_api":{{"address":"10.200.0.79:8169","rate_per_s":47.0,"lag_ms":800}}}}"#,
        zone_name(zone),
        region(zone),
        zones.join(","),
        seeds.join(",")
    );
    Settings::parse(text.into_bytes()).expect("settings that are whole")
}
