//! A member that is cut off for twenty seconds, both ways or one way, while orders and reads come on both sides: its
//! side confirms nothing, the other side goes on, and it is back in line soon after the cut.
mod world;

use rand::Rng;
use world::{Time, World};

const CUT: Time = 20_000.0;
/// The others answer whatever they are asked during the cut within so many milliseconds.
const ACKNOWLEDGE: Time = 3000.0;
/// So many milliseconds after the cut it is in line again.
const CATCH_UP: Time = 4000.0;

#[derive(Clone, Copy, Debug)]
enum Way {
    Both,
    Outward,
    Inward,
}

fn cut(world: &mut World, index: usize, way: Way) {
    for other in (0..world.nodes.len()).filter(|other| *other != index) {
        if !matches!(way, Way::Inward) {
            world.network.cut.insert((index, other));
        }
        if !matches!(way, Way::Outward) {
            world.network.cut.insert((other, index));
        }
    }
}

/// Calls that were begun in `span` through the machine `one`, and through others.
fn calls(world: &mut World, one: usize, span: Time) -> (Vec<u64>, Vec<u64>) {
    let (mut here, mut elsewhere) = (Vec::new(), Vec::new());
    let end = world.now + span;
    while world.now < end {
        let node = world.random.gen_range(0..world.nodes.len());
        // Each side builds on what it knows itself.
        let base = world.nodes[node]
            .replica
            .as_ref()
            .unwrap()
            .machine()
            .version;
        let call = if world.random.gen_bool(0.6) {
            world.submit(node, base)
        } else {
            world.read(node)
        };
        if node == one {
            here.push(call)
        } else {
            elsewhere.push(call)
        }
        let pause: Time = world.random.gen_range(20.0..150.0);
        world.run(pause);
    }
    (here, elsewhere)
}

fn play(machines: usize, borne: usize, index: usize, way: Way, between_regions: Time, seed: u64) {
    let case =
        format!("{machines} machines, {index} cut {way:?}, {between_regions} ms, seed {seed}");
    let mut world = World::new(seed, machines, 1, borne);
    world.network.between_regions = between_regions;
    world.start_all(true);
    world.run(4000.0);
    calls(&mut world, index, 1000.0);
    world.run(1000.0);
    cut(&mut world, index, way);
    let (here, elsewhere) = calls(&mut world, index, CUT);
    for call in &here {
        let outcome = world.outcome(*call);
        assert!(
            !matches!(outcome, Some(Ok(_))),
            "{case}: the side that is cut off answers {outcome:?}"
        );
    }
    world.heal();
    let healed = world.now;
    let is_back = |world: &World| {
        let replica = world.nodes[index].replica.as_ref().unwrap();
        let in_chain = replica.view().chain.contains(replica.member());
        (in_chain || machines > replica.view().chain.len()) && replica.is_caught_up()
    };
    assert!(
        world.run_until(CATCH_UP, is_back),
        "{case}: back in line after the cut"
    );
    world.run(healed + CATCH_UP - world.now);
    for call in &elsewhere {
        let outcome = world.outcome(*call);
        assert!(
            matches!(outcome, Some(Ok(_))),
            "{case}: the others answer {outcome:?}"
        );
        let took = world.took(*call).unwrap();
        assert!(
            took <= ACKNOWLEDGE,
            "{case}: the others answer after {took} ms"
        );
    }
    let (here, _) = calls(&mut world, index, 2000.0);
    world.run(2000.0);
    let outcomes: Vec<_> = here.iter().map(|call| world.outcome(*call)).collect();
    assert!(
        outcomes
            .iter()
            .all(|outcome| matches!(outcome, Some(Ok(_)))),
        "{case}: afterwards {outcomes:?}"
    );
    world.checks.nothing_lost(&world.newest());
}

#[test]
fn one_of_three_is_cut_off() {
    for index in 0..3 {
        for way in [Way::Both, Way::Outward, Way::Inward] {
            for seed in 0..4 {
                play(3, 1, index, way, [0.0, 55.0][seed as usize % 2], seed);
            }
        }
    }
}

#[test]
fn one_of_six_is_cut_off() {
    for index in 0..6 {
        for way in [Way::Both, Way::Outward, Way::Inward] {
            play(6, 2, index, way, 0.0, index as u64);
        }
    }
}
