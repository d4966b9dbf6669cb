//! What a world is made from: its seed, its size and its faults. A plan is drawn from a seed, and can be written to a file
//! and played again, whole or with faults left out.
mod harsh;
mod mixed;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Milliseconds of simulated time.
pub type Millis = f64;

/// A machine counts as lost for so long after it is back, in ms (`catch_up_s` of the deployments).
pub const CATCH_UP_MS: Millis = 4000.0;
/// Nothing goes wrong before this, in ms.
const FIRST_FAULT_MS: Millis = 3000.0;

/// Which machine of the core a fault strikes, as the core is at that moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// By its place among the machines of the core.
    Number(usize),
    /// The first of the chain, or the last, as most machines know it.
    Head,
    Tail,
    /// The one that acknowledged a change last.
    Acknowledged,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cut {
    BothWays,
    /// It is not heard.
    Outward,
    /// It does not hear.
    Inward,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskTrouble {
    /// Thirty times as slow.
    Slow,
    Stalled,
    Full,
}

/// What goes wrong, or is done by plan.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// SIGKILL; it starts again when the fault ends.
    Kill(Target),
    /// Without power until the fault ends.
    Power(Target),
    Freeze(Target),
    /// SIGTERM; it starts again 300 ms after its end.
    Terminate(Target),
    /// Gone for good; another one comes, before it where that was planned.
    Replace {
        target: Target,
        planned: bool,
    },
    /// Without power, and back with an empty disk; `all`: the others lose power at the same moment.
    Wipe {
        target: Target,
        all: bool,
    },
    Disk {
        target: Target,
        trouble: DiskTrouble,
    },
    /// From the other machines of the core.
    CoreCut {
        target: Target,
        cut: Cut,
    },
    /// A machine without a control node, from the core.
    FrontCut(usize),
    FrontKill(usize),
    /// A zone from all others.
    ZoneCut(usize),
    ZonePower(usize),
    /// All machines of the core are killed, or lose power, at once.
    HerdKill,
    HerdPower,
    /// Half of a machine's connections are reset.
    Reset(Target),
    /// Links of a machine carry 10 Mbit/s.
    SlowLinks(Target),
    PlatformDown,
    /// Seven of ten answers to operators are lost.
    AnswersLost,
    /// Every step of a machine takes ten times as long, its disk 26 times, and its links carry 10 Mbit/s.
    SlowNode(Target),
    /// A zone is lost with all its machines.
    ZoneLoss {
        zone: usize,
        back: ZoneBack,
    },
    /// SIGHUP, with other seeds in the settings.
    Reload(Target),
    /// Waits for a moment while the fault lasts, and strikes all machines then.
    Closing {
        moment: Moment,
        blow: Blow,
    },
}

/// How a zone comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneBack {
    WithDisks,
    EmptyDisks,
    /// Its machines are gone for good, others come at new addresses.
    OtherMachines,
}

/// When a closing fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Moment {
    /// So many ms after a control node sent an acknowledgement.
    Acknowledged { of: Acknowledged, after_ms: Millis },
    /// So many ms after an operator sent a change.
    Sent { after_ms: Millis },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Acknowledged {
    Change,
    Evacuation,
    Read,
}

/// What strikes all machines at the same moment; each is back by itself within [`BACK_MOST_MS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Blow {
    /// All are killed.
    Kill,
    /// All lose power.
    Power,
    /// One loses its disk; `all`: all others lose power.
    Disk { target: Target, all: bool },
    /// A zone loses its disks; `all`: all others lose power.
    ZoneDisks { zone: usize, all: bool },
}

/// After a closing fault a machine is back within this, in ms.
pub const BACK_MOST_MS: Millis = 1500.0;

impl Kind {
    /// The one machine of the core that is struck.
    pub(crate) fn target(&self) -> Option<Target> {
        match self {
            Kind::Kill(target)
            | Kind::Power(target)
            | Kind::Freeze(target)
            | Kind::Terminate(target)
            | Kind::Replace { target, .. }
            | Kind::Wipe { target, .. }
            | Kind::Disk { target, .. }
            | Kind::CoreCut { target, .. }
            | Kind::Reset(target)
            | Kind::SlowLinks(target)
            | Kind::SlowNode(target)
            | Kind::Reload(target) => Some(*target),
            _ => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// From the start of the world, in ms.
    pub at: Millis,
    pub for_ms: Millis,
    pub kind: Kind,
}

impl Fault {
    pub fn ends(&self) -> Millis {
        self.at + self.for_ms
    }
}

/// A whole world.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub seed: u64,
    /// Machines with a disk and a control node, and others; they are spread over the zones in turn.
    pub core: usize,
    pub others: usize,
    /// One zone lies 55 ms from the others.
    pub far_zone: bool,
    /// Links carry so many Mbit/s.
    pub link_mbps: f64,
    /// Routes of a configuration that are there only to make it large.
    pub ballast: usize,
    /// When the faults are over, in ms.
    pub span_ms: Millis,
    /// Pause between two changes of an operator, in ms at most.
    pub pace_ms: Millis,
    pub faults: Vec<Fault>,
    /// Each machine has a steady clock of its own, which begins anew at a loss of power.
    #[serde(default)]
    pub own_clocks: bool,
    /// Seed lists name machines that are gone or that never were.
    #[serde(default)]
    pub stale_seeds: bool,
    /// Operators have up to eight orders under way, pause less, and lose connections amid calls.
    #[serde(default)]
    pub busy_operators: bool,
}

/// Three zones, as the deployments have.
pub const ZONES: usize = 3;

impl Plan {
    /// The plan of a seed: 25 seconds of faults.
    pub fn drawn(seed: u64) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let span_ms = 25_000.0;
        let core = if seed.is_multiple_of(3) { 6 } else { 3 };
        let slow_links = random.gen_bool(0.15);
        Plan {
            seed,
            core,
            others: random.gen_range(2..5),
            far_zone: random.gen_bool(0.4),
            link_mbps: if slow_links { 10.0 } else { 1000.0 },
            ballast: if random.gen_bool(0.1) {
                random.gen_range(20..200)
            } else {
                0
            },
            span_ms,
            pace_ms: 1200.0,
            faults: mixed::faults(&mut random, core, span_ms, 1500.0),
            own_clocks: false,
            stale_seeds: false,
            busy_operators: false,
        }
    }

    /// A long one: about a thousand changes, with machines of the core restarted, replaced and wiped throughout.
    pub fn long(seed: u64) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let span_ms = 260_000.0;
        let faults = mixed::faults(&mut random, 3, span_ms, 6000.0);
        Plan {
            pace_ms: 60.0,
            span_ms,
            faults,
            others: 2,
            core: 3,
            ..Plan::drawn(seed)
        }
    }

    /// Closing faults again and again, in the middle and at the end, with others between them.
    pub fn closing(seed: u64) -> Plan {
        Plan::harsher(seed, 0x636c_6f73, harsh::closing)
    }

    /// All machines of the core are replaced at new addresses, again and again, and seed lists name the old ones.
    pub fn turnover(seed: u64) -> Plan {
        Plan {
            stale_seeds: true,
            ..Plan::harsher(seed, 0x7475_726e, harsh::turnover)
        }
    }

    /// Slow nodes, lost zones, full disks and closing faults.
    pub fn harsh(seed: u64) -> Plan {
        Plan {
            stale_seeds: seed.is_multiple_of(2),
            ..Plan::harsher(seed, 0x6861_7273, harsh::all_kinds)
        }
    }

    /// A plan of 40 seconds with busy operators and clocks of their own.
    fn harsher(
        seed: u64,
        salt: u64,
        faults: fn(&mut Pcg64Mcg, usize, Millis) -> Vec<Fault>,
    ) -> Plan {
        let span_ms = 40_000.0;
        let plan = Plan::drawn(seed);
        let faults = faults(
            &mut Pcg64Mcg::seed_from_u64(seed ^ salt),
            plan.core,
            span_ms,
        );
        Plan {
            span_ms,
            faults,
            pace_ms: 500.0,
            own_clocks: true,
            busy_operators: true,
            ..plan
        }
    }
}

/// What a fault struck.
#[derive(Clone, Debug)]
pub(crate) enum Struck {
    Machines(Vec<usize>),
    Ways(Vec<(usize, usize)>),
    /// The machine that comes in another's place.
    Joins(usize),
    /// Those that come in place of a zone's.
    AllJoin(Vec<usize>),
    Nothing,
}
