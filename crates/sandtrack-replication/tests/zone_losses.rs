//! Losses of whole zones in turn, at the closest spacing: the next one begins once the machines of the one before have
//! been back for `catch_up_s`. Each order of two is played for three machines in three zones of two regions and for six
//! in three zones; of six machines in six zones, and of a zone and single machines, a part. SANDTRACK_ZONES=all plays
//! each of them, SANDTRACK_ZONES=COUNT so many of each list.
mod simulation;

use simulation::losses::{play_all, Hit, Layout, Loss, Target, LOSSES, SMALL};

/// A zone loses power, is frozen or is cut off; its machines return, return with empty disks, or others take their place.
const ZONE_LOSSES: [Loss; 9] = [
    Loss::PowerLost,
    Loss::Wiped,
    Loss::Replaced,
    Loss::Frozen,
    Loss::FrozenThenWiped,
    Loss::FrozenThenReplaced,
    Loss::CutOff,
    Loss::CutOffThenWiped,
    Loss::CutOffThenReplaced,
];

const THREE_ZONES_TWO_REGIONS: Layout = Layout {
    tolerated_zone_losses: 1,
    between_regions: 55.0,
    ..SMALL
};
const SIX_IN_SIX: Layout = Layout {
    machines: 6,
    zones: 6,
    ..THREE_ZONES_TWO_REGIONS
};
const SIX_IN_THREE: Layout = Layout {
    machines: 6,
    ..THREE_ZONES_TWO_REGIONS
};

/// A moment with what it hits at once.
type Moment = Vec<Hit>;

fn zone_losses(zones: usize) -> Vec<Moment> {
    let of_zone = |zone| ZONE_LOSSES.map(|loss| vec![(loss, Target::Zone(zone))]);
    (0..zones).flat_map(of_zone).collect()
}

/// Each loss of a machine at each place, `at_once` of them: the second one of the same kind, behind it.
fn machine_losses(places: usize, at_once: usize) -> Vec<Moment> {
    let at = |place: usize| {
        LOSSES.map(|loss| {
            (0..at_once)
                .map(|step| (loss, Target::Place(place + step)))
                .collect::<Moment>()
        })
    };
    (0..places).flat_map(at).collect()
}

/// Each order of one of `first` and one of `second`.
fn orders(first: &[Moment], second: &[Moment]) -> Vec<Vec<Moment>> {
    first
        .iter()
        .flat_map(|one| second.iter().map(|other| vec![one.clone(), other.clone()]))
        .collect()
}

/// All cases, or as many of them as are played, spread over the list.
fn some(cases: Vec<Vec<Moment>>, by_default: usize) -> Vec<Vec<Moment>> {
    let count = match std::env::var("SANDTRACK_ZONES") {
        Ok(all) if all == "all" => cases.len(),
        Ok(count) => count.parse().expect("a count"),
        Err(_) => by_default,
    };
    let step = (cases.len() / count.max(1)).max(1);
    // Of a step that divides the number of cases of one kind, only one kind would be played.
    let step = if step > 1 { step | 1 } else { 1 };
    cases.into_iter().step_by(step).collect()
}

fn zone_after_zone(name: &str, layout: Layout, by_default: usize) {
    let zones = zone_losses(layout.zones);
    play_all(name, layout, &some(orders(&zones, &zones), by_default));
}

fn zone_and_machines(name: &str, layout: Layout, by_default: usize) {
    let zones = zone_losses(layout.zones);
    let machines = machine_losses(
        3.max(layout.tolerated_machine_losses * 2 + 1),
        layout.tolerated_machine_losses,
    );
    let mut cases = orders(&zones, &machines);
    cases.extend(orders(&machines, &zones));
    play_all(name, layout, &some(cases, by_default));
}

#[test]
fn zone_after_zone_of_three_machines_in_two_regions() {
    zone_after_zone(
        "zones of three machines",
        THREE_ZONES_TWO_REGIONS,
        usize::MAX,
    );
}

#[test]
fn zone_after_zone_of_six_machines_in_three_zones() {
    zone_after_zone("six in three zones", SIX_IN_THREE, usize::MAX);
}

#[test]
fn zone_after_zone_of_six_machines_in_three_zones_that_tolerate_two() {
    zone_after_zone(
        "six in three zones, two borne",
        Layout {
            tolerated_machine_losses: 2,
            ..SIX_IN_THREE
        },
        120,
    );
}

#[test]
fn zone_after_zone_of_six_machines_in_six_zones() {
    zone_after_zone("six in six zones", SIX_IN_SIX, 120);
    zone_after_zone(
        "six in six zones, two borne",
        Layout {
            tolerated_machine_losses: 2,
            ..SIX_IN_SIX
        },
        120,
    );
}

#[test]
fn a_zone_and_a_machine_in_turn_of_three_machines() {
    zone_and_machines(
        "a zone and a machine of three",
        THREE_ZONES_TWO_REGIONS,
        200,
    );
}

#[test]
fn a_zone_and_machines_in_turn_of_six_machines() {
    for tolerated_machine_losses in [1, 2] {
        zone_and_machines(
            "six in three zones, a zone and machines",
            Layout {
                tolerated_machine_losses,
                ..SIX_IN_THREE
            },
            100,
        );
        zone_and_machines(
            "six in six zones, a zone and machines",
            Layout {
                tolerated_machine_losses,
                ..SIX_IN_SIX
            },
            100,
        );
    }
}
