//! Calm worlds, and single losses: how long things take.
mod world;

use world::World;

fn calm(machines: usize, observers: usize, borne: usize) -> World {
    let mut world = World::new(1, machines, observers, borne);
    world.start_all(true);
    world.run(2000.0);
    world
}

#[test]
fn a_commit_takes_one_pass_down_and_up() {
    let mut world = calm(3, 2, 1);
    for node in 0..5 {
        let call = world.submit(node, world.newest().version);
        world.run(100.0);
        assert_eq!(world.outcome(call), Some(Ok(format!("won {}", node + 1))));
        // Three syncs of 0.5 ms, four hops of at most 1.2 ms; two more from outside the head.
        assert!(
            world.took(call).unwrap() < 1.5 + 6.0 * 1.2 + 0.5,
            "{:?}",
            world.took(call)
        );
    }
    assert_eq!(world.checks.views(), 1);
}

#[test]
fn a_read_is_answered_by_the_tail() {
    let mut world = calm(3, 1, 1);
    world.submit(0, 0);
    world.run(100.0);
    for node in 0..4 {
        let call = world.read(node);
        world.run(100.0);
        assert_eq!(world.outcome(call), Some(Ok("1 1".to_string())));
    }
}

#[test]
fn a_lost_member_costs_less_than_two_and_a_half_seconds() {
    for lost in 0..3 {
        for seed in 0..20 {
            let mut world = World::new(seed, 3, 0, 1);
            world.start_all(true);
            world.run(2000.0);
            world.kill(lost);
            let call = world.submit((lost + 1) % 3, 0);
            world.run(2500.0);
            assert_eq!(
                world.outcome(call),
                Some(Ok("won 1".to_string())),
                "lost {lost}, seed {seed}"
            );
        }
    }
}
