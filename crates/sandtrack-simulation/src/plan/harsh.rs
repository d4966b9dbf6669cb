//! The faults of harsher plans: triggered faults, seed turnover, slow nodes, lost zones. Those that make machines unavailable
//! follow each other only after recovery, since only one such loss at a time is tolerated.
use super::mixed::{bounded_duration, control_fault, downtime_after, side_fault, target};
use super::{
    ClusterFault, DiskFault, Fault, FaultKind, Millis, RequestKind, Trigger, ZoneRecovery,
    CATCH_UP_WAIT_MS, FAULT_FREE_START_MS, MAX_DOWNTIME_MS, ZONES,
};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// A triggered fault waits this long for its trigger, in ms.
const TRIGGER_WINDOW_MS: Millis = 3000.0;
/// The time that a machine is given to join, in ms.
const JOIN_DURATION_MS: Millis = 5000.0;
/// The probability of a side fault, which makes no machine unavailable, beside another fault.
const SIDE_FAULT_PROBABILITY: f64 = 0.4;

pub(super) fn triggered(
    random: &mut Pcg64Mcg,
    control_machines: usize,
    fault_window_ms: Millis,
) -> Vec<Fault> {
    sequential_faults(random, fault_window_ms, |random| {
        match random.gen_range(0..4) {
            0 => control_fault(random, control_machines),
            _ => triggered_fault(random, control_machines),
        }
    })
}

pub(super) fn turnover(
    random: &mut Pcg64Mcg,
    control_machines: usize,
    fault_window_ms: Millis,
) -> Vec<Fault> {
    sequential_faults(random, fault_window_ms, |random| {
        match random.gen_range(0..12) {
            0 => FaultKind::Kill(target(random, control_machines)),
            1 => FaultKind::KillAll,
            2 => FaultKind::PowerLossAll,
            3 => FaultKind::Reload(target(random, control_machines)),
            4 => triggered_fault(random, control_machines),
            5 => FaultKind::ZoneLoss {
                zone: random.gen_range(0..ZONES),
                recovery: ZoneRecovery::NewMachines,
            },
            _ => FaultKind::Replace {
                target: target(random, control_machines),
                planned: random.gen(),
            },
        }
    })
}

pub(super) fn all_kinds(
    random: &mut Pcg64Mcg,
    control_machines: usize,
    fault_window_ms: Millis,
) -> Vec<Fault> {
    sequential_faults(random, fault_window_ms, |random| {
        match random.gen_range(0..12) {
            0..=2 => FaultKind::SlowNode(target(random, control_machines)),
            3 | 4 => FaultKind::ZoneLoss {
                zone: random.gen_range(0..ZONES),
                recovery: zone_recovery(random),
            },
            5 | 6 => FaultKind::Disk {
                target: target(random, control_machines),
                fault: DiskFault::Full,
            },
            7 | 8 => triggered_fault(random, control_machines),
            9 => FaultKind::Replace {
                target: target(random, control_machines),
                planned: random.gen(),
            },
            10 => FaultKind::Reload(target(random, control_machines)),
            _ => control_fault(random, control_machines),
        }
    })
}

/// One fault after the other, each after the recovery from the one before, with side faults beside them.
fn sequential_faults(
    random: &mut Pcg64Mcg,
    fault_window_ms: Millis,
    mut kind: impl FnMut(&mut Pcg64Mcg) -> FaultKind,
) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at: Millis = FAULT_FREE_START_MS + random.gen_range(0.0..3000.0);
    while at < fault_window_ms {
        let kind = kind(random);
        let fault = Fault {
            at_ms: at.round(),
            duration_ms: fault_duration(random, kind).round(),
            kind,
        };
        if random.gen_bool(SIDE_FAULT_PROBABILITY) {
            let after = random.gen_range(0.0..2000.0);
            let duration_ms = random.gen_range(200.0..4000.0);
            let side = Fault {
                at_ms: (at + after).round(),
                duration_ms,
                kind: side_fault(random),
            };
            faults.extend(Some(side).filter(|side| side.ends_at_ms() < fault_window_ms));
        }
        at = fault.ends_at_ms()
            + recovery_duration(kind)
            + CATCH_UP_WAIT_MS
            + random.gen_range(0.0..2500.0);
        faults.push(fault);
    }
    faults
}

fn fault_duration(random: &mut Pcg64Mcg, kind: FaultKind) -> Millis {
    match kind {
        FaultKind::Triggered { .. } => TRIGGER_WINDOW_MS,
        FaultKind::ZoneLoss { .. } => random.gen_range(300.0..6000.0),
        FaultKind::Reload(_) => 0.0,
        _ => {
            let duration_ms = random.gen_range(200.0..7000.0);
            bounded_duration(kind, duration_ms, random)
        }
    }
}

/// From a fault's end until all its machines are back, in ms.
fn recovery_duration(kind: FaultKind) -> Millis {
    match kind {
        FaultKind::Triggered { .. } => MAX_DOWNTIME_MS + 500.0,
        FaultKind::ZoneLoss {
            recovery: ZoneRecovery::NewMachines,
            ..
        } => JOIN_DURATION_MS,
        _ => downtime_after(kind),
    }
}

fn zone_recovery(random: &mut Pcg64Mcg) -> ZoneRecovery {
    [
        ZoneRecovery::IntactDisks,
        ZoneRecovery::EmptyDisks,
        ZoneRecovery::NewMachines,
    ][random.gen_range(0..3)]
}

fn triggered_fault(random: &mut Pcg64Mcg, control_machines: usize) -> FaultKind {
    FaultKind::Triggered {
        trigger: draw_trigger(random),
        fault: cluster_fault(random, control_machines),
    }
}

fn draw_trigger(random: &mut Pcg64Mcg) -> Trigger {
    // At once, before the response arrives, or a little later.
    let most = [0.0, 5.0, 60.0][random.gen_range(0..3)];
    let after_ms = if most > 0.0 {
        random.gen_range(0.0..most)
    } else {
        0.0
    };
    match random.gen_range(0..8) {
        0..=3 => Trigger::Acknowledgement {
            of: RequestKind::Change,
            after_ms,
        },
        4 | 5 => Trigger::Acknowledgement {
            of: RequestKind::Evacuation,
            after_ms,
        },
        6 => Trigger::Acknowledgement {
            of: RequestKind::Read,
            after_ms,
        },
        _ => Trigger::ChangeSent { after_ms },
    }
}

fn cluster_fault(random: &mut Pcg64Mcg, control_machines: usize) -> ClusterFault {
    let all = random.gen();
    match random.gen_range(0..6) {
        0 => ClusterFault::Kill,
        1 | 2 => ClusterFault::PowerLoss,
        3 | 4 => ClusterFault::DiskLoss {
            target: target(random, control_machines),
            all,
        },
        _ => ClusterFault::ZoneDiskLoss {
            zone: random.gen_range(0..ZONES),
            all,
        },
    }
}
