//! Losses one after the other, each beginning as soon as the machines of the one before have been back for as long as
//! `tolerated_losses` counts them as lost: the closest spacing at which nothing may be lost and orders go on.
//!
//! Every pair of losses of three machines is played, and samples of triples and of six machines; SANDTRACK_SPACING=COUNT
//! plays so many samples, SANDTRACK_SPACING_ONE=NUMBER one alone with its log.
mod simulation;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use simulation::losses::{play, play_all, Hit, Layout, Target, GROWN, LOSSES, SMALL};

/// Every loss at every place of a chain of three.
fn single_losses() -> Vec<Hit> {
    LOSSES
        .iter()
        .flat_map(|loss| (0..3).map(move |place| (*loss, Target::Place(place))))
        .collect()
}

fn pairs() -> Vec<Vec<Vec<Hit>>> {
    let singles = single_losses();
    let pairs = singles
        .iter()
        .flat_map(|one| singles.iter().map(move |other| (one, other)));
    pairs
        .map(|(one, other)| vec![vec![*one], vec![*other]])
        .collect()
}

fn samples(default: usize) -> usize {
    std::env::var("SANDTRACK_SPACING").map_or(default, |count| count.parse().unwrap())
}

/// Drawn losses, `at_once` machines at each moment.
fn drawn(count: usize, moments: usize, at_once: usize, places: usize) -> Vec<Vec<Vec<Hit>>> {
    (0..count)
        .map(|number| {
            let mut random = Pcg64Mcg::seed_from_u64(number as u64 + 7000);
            let mut hit = || {
                let loss = LOSSES[random.gen_range(0..LOSSES.len())];
                (loss, Target::Place(random.gen_range(0..places)))
            };
            (0..moments)
                .map(|_| (0..at_once).map(|_| hit()).collect())
                .collect()
        })
        .collect()
}

#[test]
fn every_two_losses_of_three_machines() {
    play_all("two losses of three", SMALL, &pairs());
}

#[test]
fn three_losses_of_three_machines() {
    play_all(
        "three losses of three",
        SMALL,
        &drawn(samples(200), 3, 1, 3),
    );
}

#[test]
fn two_losses_of_three_machines_with_slow_disks() {
    let layout = Layout {
        disk: 15.0,
        ..SMALL
    };
    play_all("slow disks", layout, &drawn(samples(100), 2, 1, 3));
}

#[test]
fn two_losses_of_three_machines_in_two_regions() {
    let layout = Layout {
        between_regions: 55.0,
        ..SMALL
    };
    play_all("two regions", layout, &drawn(samples(100), 2, 1, 3));
}

#[test]
fn two_of_six_machines_at_once_twice() {
    play_all("two of six", GROWN, &drawn(samples(100), 2, 2, 6));
}

#[test]
fn two_of_six_machines_at_once_in_two_regions_with_slow_disks() {
    let layout = Layout {
        between_regions: 55.0,
        disk: 15.0,
        ..GROWN
    };
    play_all(
        "two of six, far and slow",
        layout,
        &drawn(samples(60), 2, 2, 6),
    );
}

#[test]
fn a_thousand_commands_through_losses_in_turn() {
    for (name, layout, at_once) in [("long, three", SMALL, 1), ("long, six", GROWN, 2)] {
        play_all(
            name,
            layout,
            &drawn(samples(3), 30, at_once, layout.machines),
        );
    }
    let case = &drawn(1, 30, 1, 3)[0];
    let applied = play(0, SMALL, case, false).newest().applied;
    assert!(applied > 1000, "{applied} changes");
}
