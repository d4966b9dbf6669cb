//! Faults of the mixed worlds.
use super::{Cut, DiskTrouble, Fault, Kind, Millis, Target, CATCH_UP_MS, FIRST_FAULT_MS, ZONES};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Faults one after the other: those that cost a machine of the core keep the distance within which one is borne.
pub(super) fn faults(
    random: &mut Pcg64Mcg,
    core: usize,
    span_ms: Millis,
    pause_ms: Millis,
) -> Vec<Fault> {
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
        let fault = Fault {
            at: at.round(),
            for_ms: length(kind, for_ms, random).round(),
            kind,
        };
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

pub(super) fn target(random: &mut Pcg64Mcg, core: usize) -> Target {
    match random.gen_range(0..6) {
        0 => Target::Head,
        1 => Target::Tail,
        2 => Target::Acknowledged,
        _ => Target::Number(random.gen_range(0..core)),
    }
}

pub(super) fn core_fault(random: &mut Pcg64Mcg, core: usize) -> Kind {
    let target = target(random, core);
    let cut = [Cut::BothWays, Cut::Outward, Cut::Inward][random.gen_range(0..3)];
    let trouble =
        [DiskTrouble::Slow, DiskTrouble::Stalled, DiskTrouble::Full][random.gen_range(0..3)];
    match random.gen_range(0..16) {
        0 => Kind::Kill(target),
        1 => Kind::Power(target),
        2 | 3 => Kind::Freeze(target),
        4 => Kind::Terminate(target),
        5 => Kind::Replace {
            target,
            planned: random.gen(),
        },
        6 => Kind::Wipe {
            target,
            all: random.gen_bool(0.3),
        },
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
pub(super) fn side_fault(random: &mut Pcg64Mcg) -> Kind {
    match random.gen_range(0..5) {
        0 => Kind::FrontCut(random.gen_range(0..4)),
        1 => Kind::FrontKill(random.gen_range(0..4)),
        2 => Kind::PlatformDown,
        _ => Kind::AnswersLost,
    }
}

fn costs_a_machine(kind: Kind) -> bool {
    !matches!(
        kind,
        Kind::FrontCut(_) | Kind::FrontKill(_) | Kind::PlatformDown | Kind::AnswersLost
    )
}

pub(super) fn length(kind: Kind, for_ms: Millis, random: &mut Pcg64Mcg) -> Millis {
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
pub(super) fn extra(kind: Kind) -> Millis {
    match kind {
        Kind::Terminate(_) => 2000.0,
        Kind::Replace { .. } => 9000.0,
        _ => 500.0,
    }
}
