//! The faults of mixed plans.
use super::{
    DiskFault, Fault, FaultKind, Millis, PartitionDirection, Target, CATCH_UP_WAIT_MS,
    FAULT_FREE_START_MS, ZONES,
};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Faults one after the other. Those that make a control node unavailable begin only after the one before has recovered.
pub(super) fn faults(
    random: &mut Pcg64Mcg,
    control_machines: usize,
    fault_window_ms: Millis,
    pause_ms: Millis,
) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at = FAULT_FREE_START_MS;
    // When the last unavailable control node counts as recovered.
    let mut recovered_at = 0.0;
    while at < fault_window_ms {
        let duration_ms = random.gen_range(200.0..7000.0);
        let kind = if at >= recovered_at && random.gen_bool(0.7) {
            control_fault(random, control_machines)
        } else {
            side_fault(random)
        };
        let fault = Fault {
            at_ms: at.round(),
            duration_ms: bounded_duration(kind, duration_ms, random).round(),
            kind,
        };
        if loses_control_machine(kind) {
            recovered_at = fault.ends_at_ms() + downtime_after(kind) + CATCH_UP_WAIT_MS;
        }
        if fault.ends_at_ms() < fault_window_ms {
            faults.push(fault);
        }
        at += random.gen_range(50.0..pause_ms);
    }
    faults
}

pub(super) fn target(random: &mut Pcg64Mcg, control_machines: usize) -> Target {
    match random.gen_range(0..6) {
        0 => Target::Head,
        1 => Target::Tail,
        2 => Target::LastAcknowledger,
        _ => Target::Index(random.gen_range(0..control_machines)),
    }
}

pub(super) fn control_fault(random: &mut Pcg64Mcg, control_machines: usize) -> FaultKind {
    let target = target(random, control_machines);
    let direction = [
        PartitionDirection::BothWays,
        PartitionDirection::Outward,
        PartitionDirection::Inward,
    ][random.gen_range(0..3)];
    let fault = [DiskFault::Slow, DiskFault::Stalled, DiskFault::Full][random.gen_range(0..3)];
    match random.gen_range(0..16) {
        0 => FaultKind::Kill(target),
        1 => FaultKind::PowerLoss(target),
        2 | 3 => FaultKind::Freeze(target),
        4 => FaultKind::Terminate(target),
        5 => FaultKind::Replace {
            target,
            planned: random.gen(),
        },
        6 => FaultKind::Wipe {
            target,
            all: random.gen_bool(0.3),
        },
        7 | 8 => FaultKind::Disk { target, fault },
        9 | 10 => FaultKind::ControlPartition { target, direction },
        11 => FaultKind::ZonePartition(random.gen_range(0..ZONES)),
        12 => FaultKind::ZonePowerLoss(random.gen_range(0..ZONES)),
        13 => FaultKind::ConnectionResets(target),
        14 => FaultKind::SlowLinks(target),
        _ if random.gen() => FaultKind::KillAll,
        _ => FaultKind::PowerLossAll,
    }
}

/// A fault that makes no control node unavailable.
pub(super) fn side_fault(random: &mut Pcg64Mcg) -> FaultKind {
    match random.gen_range(0..5) {
        0 => FaultKind::ProxyPartition(random.gen_range(0..4)),
        1 => FaultKind::ProxyKill(random.gen_range(0..4)),
        2 => FaultKind::PlatformOutage,
        _ => FaultKind::ResponsesLost,
    }
}

fn loses_control_machine(kind: FaultKind) -> bool {
    !matches!(
        kind,
        FaultKind::ProxyPartition(_)
            | FaultKind::ProxyKill(_)
            | FaultKind::PlatformOutage
            | FaultKind::ResponsesLost
    )
}

pub(super) fn bounded_duration(
    kind: FaultKind,
    duration_ms: Millis,
    random: &mut Pcg64Mcg,
) -> Millis {
    match kind {
        // The machines are back within a second and a half.
        FaultKind::KillAll | FaultKind::PowerLossAll => random.gen_range(50.0..1000.0),
        FaultKind::ZonePowerLoss(_) => random.gen_range(50.0..1500.0),
        FaultKind::ConnectionResets(_) => 0.0,
        FaultKind::Replace { .. } => random.gen_range(300.0..3000.0),
        _ => duration_ms,
    }
}

/// From a fault's end until the machine is back, in ms.
pub(super) fn downtime_after(kind: FaultKind) -> Millis {
    match kind {
        FaultKind::Terminate(_) => 2000.0,
        FaultKind::Replace { .. } => 9000.0,
        _ => 500.0,
    }
}
