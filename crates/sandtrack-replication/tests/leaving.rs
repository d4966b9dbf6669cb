//! Members that are told to stop: they go at once where the others have what they hold, and stay where not.
mod world;

use world::{Time, World};

/// A process that was told to stop is ended after so many milliseconds, whatever it does.
const GRACE: Time = 8000.0;

fn calm(machines: usize, borne: usize) -> World {
    let mut world = World::new(5, machines, 1, borne);
    world.start_all(true);
    world.run(4000.0);
    world.log = Some(Vec::new());
    world
}

/// Told to stop, it runs until it may end; gives how long it stayed.
fn end(world: &mut World, index: usize) -> Time {
    let told = world.now;
    world.run_until(GRACE, |world| !world.is_needed(index));
    world.kill(index);
    world.now - told
}

fn order(world: &mut World, node: usize, patience: Time) {
    let call = world.submit(node, world.newest().version);
    world.run(patience);
    let outcome = world.outcome(call);
    assert!(
        matches!(outcome, Some(Ok(_))),
        "an order through machine {node}: {outcome:?}"
    );
}

/// One member holds what was acknowledged last, another is back without it, the third is being replaced. The first is
/// told to stop, and its machine is gone for good after it.
#[test]
fn the_only_copy_stays_until_others_have_it() {
    let mut world = calm(3, 1);
    world.kill(2);
    world.run(2500.0);
    order(&mut world, 0, 100.0); // on machines 0 and 1 alone
    world.wipe(1);
    world.start(2, false);
    world.tell_to_stop(0);
    world.run(1000.0);
    assert!(world.is_needed(0), "the others don't have it");
    world.start(1, false);
    let stayed = end(&mut world, 0);
    assert!(stayed < GRACE, "it goes as soon as the others have it");
    world.wipe(0);
    world.nodes[0].removed = true;
    for node in [1, 2] {
        let read = world.read(node);
        world.run(3000.0);
        assert_eq!(
            world.outcome(read),
            Some(Ok("1 1".to_string())),
            "read at machine {node}"
        );
    }
    order(&mut world, 1, 100.0);
}

/// Where the others are too few without it, it takes part until one more is there.
#[test]
fn where_the_chain_is_too_short_without_it_a_member_stays() {
    for (leaver, other) in [(0, 1), (1, 0)] {
        let mut world = calm(3, 1);
        world.kill(2);
        world.run(2500.0);
        world.tell_to_stop(leaver);
        for _ in 0..8 {
            order(&mut world, other, 500.0);
        }
        assert!(world.is_needed(leaver));
        world.start(2, false);
        assert!(end(&mut world, leaver) < 1500.0);
        order(&mut world, other, 100.0);
    }
}

/// The new machine first, then SIGTERM: the new one takes the places of the old one in the chain and among the voters,
/// and any one of the machines may be lost after that.
#[test]
fn a_planned_replacement_hands_both_places_on() {
    for leaver in 0..3 {
        let mut world = calm(3, 1);
        order(&mut world, 0, 100.0);
        let successor = world.add(true);
        world.start(successor, false);
        world.run(1000.0);
        world.tell_to_stop(leaver);
        let stayed = end(&mut world, leaver);
        assert!(stayed < 300.0, "{stayed}");
        world.nodes[leaver].removed = true;
        let left = (leaver + 1) % 3;
        order(&mut world, left, 100.0);
        let view = world.checks.newest_view().unwrap().clone();
        let address = &world.nodes[successor].address;
        assert!(
            view.voters.iter().any(|voter| voter.address == *address),
            "{view}"
        );
        assert!(
            view.chain.iter().any(|member| member.address == *address),
            "{view}"
        );
        world.wipe((leaver + 2) % 3);
        order(&mut world, left, 3000.0);
        world.checks.nothing_lost(&world.newest());
    }
}

/// All are told to stop in turn and started again; orders go on all the time.
#[test]
fn a_restart_of_all_in_turn_goes_through() {
    for (machines, borne) in [(3, 1), (6, 2)] {
        let mut world = calm(machines, borne);
        for leaver in 0..machines {
            world.tell_to_stop(leaver);
            order(&mut world, (leaver + 1) % machines, 200.0);
            assert!(end(&mut world, leaver) < 300.0);
            for _ in 0..10 {
                order(&mut world, (leaver + 1) % machines, 100.0);
            }
            world.start(leaver, false);
            for _ in 0..40 {
                order(&mut world, leaver, 100.0);
            }
            assert!(world.is_whole());
        }
    }
}

/// The next is told to stop as soon as the one before runs again.
#[test]
fn a_hasty_restart_of_all_in_turn_goes_through() {
    let mut world = calm(3, 1);
    for leaver in [0, 1, 2, 0, 1, 2] {
        world.tell_to_stop(leaver);
        assert!(end(&mut world, leaver) < 1500.0);
        world.start(leaver, false);
        order(&mut world, (leaver + 1) % 3, 1500.0);
    }
    world.checks.nothing_lost(&world.newest());
}

/// Two of three at once: one goes, the other stays until the first is back.
#[test]
fn of_two_that_leave_one_stays() {
    for (one, other) in [(0, 1), (1, 2), (0, 2)] {
        let mut world = calm(3, 1);
        world.tell_to_stop(one);
        world.tell_to_stop(other);
        world.run(500.0);
        let needed = [world.is_needed(one), world.is_needed(other)];
        assert_eq!(
            needed.iter().filter(|needed| **needed).count(),
            1,
            "{one} and {other}: {needed:?}"
        );
        let (first, second) = if needed[0] {
            (other, one)
        } else {
            (one, other)
        };
        world.kill(first);
        order(&mut world, 3, 200.0);
        world.start(first, false);
        assert!(end(&mut world, second) < 1500.0);
        order(&mut world, 3, 200.0);
    }
}

/// Nobody could take its place.
#[test]
fn a_lone_process_goes_at_once() {
    let mut world = World::new(5, 1, 0, 0);
    world.start_all(true);
    world.run(2000.0);
    order(&mut world, 0, 100.0);
    world.tell_to_stop(0);
    assert!(!world.is_needed(0));
}
