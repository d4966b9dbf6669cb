//! Troubled simulations in which states and changes are large: logs are compacted every few dozen changes, members are brought
//! in sync by several lots, and snapshots travel in pieces, through cuts, losses, doublings and restarts.
mod simulation;

use simulation::faults::FaultInjector;
use simulation::Simulation;

/// A lot holds two changes, and a log some thirty of them.
const CHANGE: usize = 30_000;
/// Three pieces of a snapshot.
const STATE: usize = 40_000;

fn play(seed: u64, machines: usize, tolerated_machine_losses: usize) -> Simulation {
    let mut simulation = Simulation::new(
        seed,
        machines,
        1 + (seed % 2) as usize,
        tolerated_machine_losses,
    );
    simulation.log = std::env::var("SANDTRACK_WORLD").is_ok().then(Vec::new);
    simulation.state_padding = STATE;
    simulation.command_padding = CHANGE;
    simulation.start_all(true);
    simulation.run(2000.0);
    let mut troubles = FaultInjector::default();
    troubles.writes = 0.8;
    troubles.play(&mut simulation, 25_000.0);
    troubles.end_all(&mut simulation);
    simulation.start_all(false);
    simulation.run(5000.0);
    simulation.assert_all_answer();
    simulation.checks.check_nothing_lost(&simulation.newest());
    simulation
}

fn play_all(machines: usize, tolerated_machine_losses: usize) {
    if let Ok(seed) = std::env::var("SANDTRACK_WORLD") {
        play(seed.parse().unwrap(), machines, tolerated_machine_losses);
        return;
    }
    let count: u64 = std::env::var("SANDTRACK_WORLDS").map_or(12, |count| count.parse().unwrap());
    let failed: Vec<u64> = (1..=count)
        .filter(|seed| {
            std::panic::catch_unwind(|| play(*seed, machines, tolerated_machine_losses)).is_err()
        })
        .collect();
    assert!(failed.is_empty(), "{machines} machines: seeds {failed:?}");
}

#[test]
fn three_machines_with_large_commands_tolerate_the_loss_of_one() {
    play_all(3, 1);
}

#[test]
fn five_machines_with_large_commands_tolerate_the_loss_of_two() {
    play_all(5, 2);
}
