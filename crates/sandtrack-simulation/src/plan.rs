//! The input of a simulation: its seed, its size and its faults. A plan is drawn from a seed; it can be written to a replay
//! file and run again, complete or with faults left out. The serialized names of its fields are those of the replay files
//! that already exist.
mod fault;
mod harsh;
mod mixed;

pub(crate) use fault::Impact;
pub use fault::{
    ClusterFault, DiskFault, Fault, FaultKind, PartitionDirection, RequestKind, Target, Trigger,
    ZoneRecovery, MAX_DOWNTIME_MS,
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Milliseconds of simulated time.
pub type Millis = f64;

/// A machine counts as lost for this long after it is back, in ms (`catch_up_s` of the deployments).
pub const CATCH_UP_WAIT_MS: Millis = 4000.0;
/// No fault begins before this, in ms.
const FAULT_FREE_START_MS: Millis = 3000.0;

/// The complete input of one simulation.
// Each switch is a field of the replay files.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed of every random draw.
    pub seed: u64,
    /// Machines with a disk, a control node and a proxy; all machines are spread over the zones in turn.
    #[serde(rename = "core")]
    pub control_machines: usize,
    /// Machines with a proxy only.
    #[serde(rename = "others")]
    pub proxy_machines: usize,
    /// One zone is in another region, 55 ms from the others.
    #[serde(rename = "far_zone")]
    pub remote_zone: bool,
    /// Bandwidth of each machine's link, in Mbit/s.
    pub link_mbps: f64,
    /// Routes that only make each configuration larger.
    #[serde(rename = "ballast")]
    pub filler_routes: usize,
    /// The time in which faults happen, in ms.
    #[serde(rename = "span_ms")]
    pub fault_window_ms: Millis,
    /// The longest pause between two operations of an operator, in ms.
    #[serde(rename = "pace_ms")]
    pub max_pause_ms: Millis,
    /// What goes wrong, in the order in which it was drawn.
    pub faults: Vec<Fault>,
    /// Each machine has a steady clock of its own, which starts anew at a loss of power.
    #[serde(default)]
    pub own_clocks: bool,
    /// Seed lists name machines that are gone or never existed.
    #[serde(default)]
    pub stale_seeds: bool,
    /// Operators have up to eight operations in flight, pause less, and lose connections amid calls.
    #[serde(default)]
    pub busy_operators: bool,
}

/// The number of zones, as in the deployments.
pub const ZONES: usize = 3;

impl Plan {
    /// 25 seconds of faults of all common kinds.
    pub fn mixed(seed: u64) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let fault_window_ms = 25_000.0;
        let control_machines = if seed.is_multiple_of(3) { 6 } else { 3 };
        let slow_links = random.gen_bool(0.15);
        Plan {
            seed,
            control_machines,
            proxy_machines: random.gen_range(2..5),
            remote_zone: random.gen_bool(0.4),
            link_mbps: if slow_links { 10.0 } else { 1000.0 },
            filler_routes: if random.gen_bool(0.1) {
                random.gen_range(20..200)
            } else {
                0
            },
            fault_window_ms,
            max_pause_ms: 1200.0,
            faults: mixed::faults(&mut random, control_machines, fault_window_ms, 1500.0),
            own_clocks: false,
            stale_seeds: false,
            busy_operators: false,
        }
    }

    /// 260 seconds and about a thousand changes, while control nodes are restarted, replaced and wiped.
    pub fn long(seed: u64) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let fault_window_ms = 260_000.0;
        let faults = mixed::faults(&mut random, 3, fault_window_ms, 6000.0);
        Plan {
            max_pause_ms: 60.0,
            fault_window_ms,
            faults,
            proxy_machines: 2,
            control_machines: 3,
            ..Plan::mixed(seed)
        }
    }

    /// 40 seconds of triggered faults, in the middle and at the end, with other faults between them.
    pub fn triggered(seed: u64) -> Plan {
        Plan::harsher(seed, 0x636c_6f73, harsh::triggered)
    }

    /// 40 seconds in which all control nodes are replaced at new addresses, and seed lists name the old ones.
    pub fn turnover(seed: u64) -> Plan {
        Plan {
            stale_seeds: true,
            ..Plan::harsher(seed, 0x7475_726e, harsh::turnover)
        }
    }

    /// 40 seconds of slow nodes, lost zones, full disks and triggered faults.
    pub fn harsh(seed: u64) -> Plan {
        Plan {
            stale_seeds: seed.is_multiple_of(2),
            ..Plan::harsher(seed, 0x6861_7273, harsh::all_kinds)
        }
    }

    /// A plan of 40 seconds with busy operators and separate clocks.
    fn harsher(
        seed: u64,
        salt: u64,
        faults: fn(&mut Pcg64Mcg, usize, Millis) -> Vec<Fault>,
    ) -> Plan {
        let fault_window_ms = 40_000.0;
        let plan = Plan::mixed(seed);
        let faults = faults(
            &mut Pcg64Mcg::seed_from_u64(seed ^ salt),
            plan.control_machines,
            fault_window_ms,
        );
        Plan {
            fault_window_ms,
            faults,
            max_pause_ms: 500.0,
            own_clocks: true,
            busy_operators: true,
            ..plan
        }
    }
}
