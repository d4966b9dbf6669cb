//! Faults of the harsher worlds: closing faults, seed turnover, slow nodes, lost zones. Those that cost machines keep the
//! distance within which one loss is borne.
use super::mixed::{core_fault, extra, length, side_fault, target};
use super::{
    Acknowledged, Blow, DiskTrouble, Fault, Kind, Millis, Moment, ZoneBack, BACK_MOST_MS,
    CATCH_UP_MS, FIRST_FAULT_MS, ZONES,
};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// A closing fault waits so long for its moment, in ms.
const MOMENT_MS: Millis = 3000.0;
/// A machine that joins has so long to come in, in ms.
const JOIN_MS: Millis = 5000.0;
/// Faults that cost no machine come beside the others with this chance.
const SIDE_CHANCE: f64 = 0.4;

pub(super) fn closing(random: &mut Pcg64Mcg, core: usize, span_ms: Millis) -> Vec<Fault> {
    in_turn(random, span_ms, |random| match random.gen_range(0..4) {
        0 => core_fault(random, core),
        _ => closing_fault(random, core),
    })
}

pub(super) fn turnover(random: &mut Pcg64Mcg, core: usize, span_ms: Millis) -> Vec<Fault> {
    in_turn(random, span_ms, |random| match random.gen_range(0..12) {
        0 => Kind::Kill(target(random, core)),
        1 => Kind::HerdKill,
        2 => Kind::HerdPower,
        3 => Kind::Reload(target(random, core)),
        4 => closing_fault(random, core),
        5 => Kind::ZoneLoss {
            zone: random.gen_range(0..ZONES),
            back: ZoneBack::OtherMachines,
        },
        _ => Kind::Replace {
            target: target(random, core),
            planned: random.gen(),
        },
    })
}

pub(super) fn all_kinds(random: &mut Pcg64Mcg, core: usize, span_ms: Millis) -> Vec<Fault> {
    in_turn(random, span_ms, |random| match random.gen_range(0..12) {
        0..=2 => Kind::SlowNode(target(random, core)),
        3 | 4 => Kind::ZoneLoss {
            zone: random.gen_range(0..ZONES),
            back: zone_back(random),
        },
        5 | 6 => Kind::Disk {
            target: target(random, core),
            trouble: DiskTrouble::Full,
        },
        7 | 8 => closing_fault(random, core),
        9 => Kind::Replace {
            target: target(random, core),
            planned: random.gen(),
        },
        10 => Kind::Reload(target(random, core)),
        _ => core_fault(random, core),
    })
}

/// One costly fault after the other, each once the one before counts no more, with others beside them.
fn in_turn(
    random: &mut Pcg64Mcg,
    span_ms: Millis,
    mut kind: impl FnMut(&mut Pcg64Mcg) -> Kind,
) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at: Millis = FIRST_FAULT_MS + random.gen_range(0.0..3000.0);
    while at < span_ms {
        let kind = kind(random);
        let fault = Fault {
            at: at.round(),
            for_ms: how_long(random, kind).round(),
            kind,
        };
        if random.gen_bool(SIDE_CHANCE) {
            let after = random.gen_range(0.0..2000.0);
            let for_ms = random.gen_range(200.0..4000.0);
            let side = Fault {
                at: (at + after).round(),
                for_ms,
                kind: side_fault(random),
            };
            faults.extend(Some(side).filter(|side| side.ends() < span_ms));
        }
        at = fault.ends() + until_back(kind) + CATCH_UP_MS + random.gen_range(0.0..2500.0);
        faults.push(fault);
    }
    faults
}

fn how_long(random: &mut Pcg64Mcg, kind: Kind) -> Millis {
    match kind {
        Kind::Closing { .. } => MOMENT_MS,
        Kind::ZoneLoss { .. } => random.gen_range(300.0..6000.0),
        Kind::Reload(_) => 0.0,
        _ => {
            let for_ms = random.gen_range(200.0..7000.0);
            length(kind, for_ms, random)
        }
    }
}

/// From a fault's end until all its machines are back, in ms.
fn until_back(kind: Kind) -> Millis {
    match kind {
        Kind::Closing { .. } => BACK_MOST_MS + 500.0,
        Kind::ZoneLoss {
            back: ZoneBack::OtherMachines,
            ..
        } => JOIN_MS,
        _ => extra(kind),
    }
}

fn zone_back(random: &mut Pcg64Mcg) -> ZoneBack {
    [
        ZoneBack::WithDisks,
        ZoneBack::EmptyDisks,
        ZoneBack::OtherMachines,
    ][random.gen_range(0..3)]
}

fn closing_fault(random: &mut Pcg64Mcg, core: usize) -> Kind {
    Kind::Closing {
        moment: moment(random),
        blow: blow(random, core),
    }
}

fn moment(random: &mut Pcg64Mcg) -> Moment {
    // At the very moment, before the answer is there, or a little later.
    let most = [0.0, 5.0, 60.0][random.gen_range(0..3)];
    let after_ms = if most > 0.0 {
        random.gen_range(0.0..most)
    } else {
        0.0
    };
    match random.gen_range(0..8) {
        0..=3 => Moment::Acknowledged {
            of: Acknowledged::Change,
            after_ms,
        },
        4 | 5 => Moment::Acknowledged {
            of: Acknowledged::Evacuation,
            after_ms,
        },
        6 => Moment::Acknowledged {
            of: Acknowledged::Read,
            after_ms,
        },
        _ => Moment::Sent { after_ms },
    }
}

fn blow(random: &mut Pcg64Mcg, core: usize) -> Blow {
    let all = random.gen();
    match random.gen_range(0..6) {
        0 => Blow::Kill,
        1 | 2 => Blow::Power,
        3 | 4 => Blow::Disk {
            target: target(random, core),
            all,
        },
        _ => Blow::ZoneDisks {
            zone: random.gen_range(0..ZONES),
            all,
        },
    }
}
