//! Voters far from each other agree on a view although a proposal takes two ways there and back.
mod world;

use world::{Time, World};

/// One-way delays in ms.
const WAYS: [Time; 5] = [1.0, 75.0, 140.0, 200.0, 300.0];
const WIPED: usize = 2;

/// Three machines this far from each other, of which one lost its disk while the others were without power.
fn with_one_wiped(seed: u64, way: Time) -> World {
    let mut world = World::new(seed, 3, 0, 1);
    world.network.delay = way;
    world.network.spread = 0.5;
    world.start_all(true);
    world.run(8000.0);
    for machine in 0..3 {
        world.lose_power(machine);
    }
    world.wipe(WIPED);
    world.run(650.0);
    for machine in 0..3 {
        world.start(machine, false);
    }
    world
}

#[test]
fn a_wiped_machine_is_taken_in_at_any_distance() {
    for way in WAYS {
        for seed in 1..=8 {
            let mut world = with_one_wiped(seed, way);
            let began = world.now;
            let whole = world.run_until(10_000.0, World::is_whole);
            assert!(
                whole,
                "{way} ms one way, seed {seed}: not whole after {:.0} ms",
                world.now - began
            );
        }
    }
}
