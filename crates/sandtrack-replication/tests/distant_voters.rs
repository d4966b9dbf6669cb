//! Voters far from each other agree on a view although a proposal takes two ways there and back.
mod simulation;

use simulation::{Simulation, Time};

/// One-way delays in ms.
const WAYS: [Time; 5] = [1.0, 75.0, 140.0, 200.0, 300.0];
const WIPED: usize = 2;

/// Three machines this far from each other, of which one lost its disk while the others were without power.
fn with_one_wiped(seed: u64, way: Time) -> Simulation {
    let mut simulation = Simulation::new(seed, 3, 0, 1);
    simulation.network.delay = way;
    simulation.network.spread = 0.5;
    simulation.start_all(true);
    simulation.run(8000.0);
    for machine in 0..3 {
        simulation.lose_power(machine);
    }
    simulation.wipe(WIPED);
    simulation.run(650.0);
    for machine in 0..3 {
        simulation.start(machine, false);
    }
    simulation
}

#[test]
fn a_wiped_machine_is_taken_in_at_any_distance() {
    for way in WAYS {
        for seed in 1..=8 {
            let mut simulation = with_one_wiped(seed, way);
            let began = simulation.now;
            let whole = simulation.run_until(10_000.0, Simulation::is_fully_replicated);
            assert!(
                whole,
                "{way} ms one way, seed {seed}: not whole after {:.0} ms",
                simulation.now - began
            );
        }
    }
}
