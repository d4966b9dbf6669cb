//! What a world is made from: its seed, its size and its faults. A plan is drawn from a seed, and can be written to a file
//! and played again, whole or with faults left out.
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Milliseconds of simulated time.
pub type Millis = f64;

/// A machine counts as lost for so long after it is back, in ms (`catch_up_s` of the deployments).
pub const CATCH_UP_MS: Millis = 4000.0;
/// A fault that ends here leaves time for the calm at the end, in ms.
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
            ballast: if random.gen_bool(0.1) { random.gen_range(20..200) } else { 0 },
            span_ms,
            pace_ms: 1200.0,
            faults: faults(&mut random, core, span_ms, 1500.0),
        }
    }

    /// A long one: about a thousand changes, with machines of the core restarted, replaced and wiped throughout.
    pub fn long(seed: u64) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let span_ms = 260_000.0;
        let faults = faults(&mut random, 3, span_ms, 6000.0);
        Plan { pace_ms: 60.0, span_ms, faults, others: 2, core: 3, ..Plan::drawn(seed) }
    }
}

/// Faults one after the other: those that cost a machine of the core keep the distance within which one is borne.
fn faults(random: &mut Pcg64Mcg, core: usize, span_ms: Millis, pause_ms: Millis) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at = FIRST_FAULT_MS;
    // When the last lost machine of the core counts again.
    let mut whole_at = 0.0;
    while at < span_ms {
        let for_ms = random.gen_range(200.0..7000.0);
        let kind = if at >= whole_at && random.gen_bool(0.7) {
            core_fault(random, core)
        } else {
            side_fault(random)
        };
        let fault = Fault { at: at.round(), for_ms: length(kind, for_ms, random).round(), kind };
        if costs_a_machine(kind) {
            whole_at = fault.ends() + extra(kind) + CATCH_UP_MS;
        }
        if fault.ends() < span_ms {
            faults.push(fault);
        }
        at += random.gen_range(50.0..pause_ms);
    }
    faults
}

fn target(random: &mut Pcg64Mcg, core: usize) -> Target {
    match random.gen_range(0..6) {
        0 => Target::Head,
        1 => Target::Tail,
        2 => Target::Acknowledged,
        _ => Target::Number(random.gen_range(0..core)),
    }
}

fn core_fault(random: &mut Pcg64Mcg, core: usize) -> Kind {
    let target = target(random, core);
    let cut = [Cut::BothWays, Cut::Outward, Cut::Inward][random.gen_range(0..3)];
    let trouble = [DiskTrouble::Slow, DiskTrouble::Stalled, DiskTrouble::Full][random.gen_range(0..3)];
    match random.gen_range(0..16) {
        0 => Kind::Kill(target),
        1 => Kind::Power(target),
        2 | 3 => Kind::Freeze(target),
        4 => Kind::Terminate(target),
        5 => Kind::Replace { target, planned: random.gen() },
        6 => Kind::Wipe { target, all: random.gen_bool(0.3) },
        7 | 8 => Kind::Disk { target, trouble },
        9 | 10 => Kind::CoreCut { target, cut },
        11 => Kind::ZoneCut(random.gen_range(0..ZONES)),
        12 => Kind::ZonePower(random.gen_range(0..ZONES)),
        13 => Kind::Reset(target),
        14 => Kind::SlowLinks(target),
        _ if random.gen() => Kind::HerdKill,
        _ => Kind::HerdPower,
    }
}

/// Faults that cost no machine of the core.
fn side_fault(random: &mut Pcg64Mcg) -> Kind {
    match random.gen_range(0..5) {
        0 => Kind::FrontCut(random.gen_range(0..4)),
        1 => Kind::FrontKill(random.gen_range(0..4)),
        2 => Kind::PlatformDown,
        _ => Kind::AnswersLost,
    }
}

fn costs_a_machine(kind: Kind) -> bool {
    !matches!(kind, Kind::FrontCut(_) | Kind::FrontKill(_) | Kind::PlatformDown | Kind::AnswersLost)
}

fn length(kind: Kind, for_ms: Millis, random: &mut Pcg64Mcg) -> Millis {
    match kind {
        // Back within a second and a half.
        Kind::HerdKill | Kind::HerdPower => random.gen_range(50.0..1000.0),
        Kind::ZonePower(_) => random.gen_range(50.0..1500.0),
        Kind::Reset(_) => 0.0,
        Kind::Replace { .. } => random.gen_range(300.0..3000.0),
        _ => for_ms,
    }
}

/// What a fault takes beyond its end until the machine is back.
fn extra(kind: Kind) -> Millis {
    match kind {
        Kind::Terminate(_) => 2000.0,
        Kind::Replace { .. } => 9000.0,
        _ => 500.0,
    }
}

/// What a fault struck.
#[derive(Clone, Debug)]
pub(crate) enum Struck {
    Machines(Vec<usize>),
    Ways(Vec<(usize, usize)>),
    /// The machine that comes in another's place.
    Joins(usize),
    Nothing,
}
