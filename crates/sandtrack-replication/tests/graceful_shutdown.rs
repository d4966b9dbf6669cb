//! Members that are told to stop: they go at once where the others have what they hold, and stay where not.
mod simulation;

use simulation::{Simulation, Time};

/// A process that was told to stop is ended after so many milliseconds, whatever it does.
const GRACE: Time = 8000.0;

fn settled(machines: usize, tolerated_machine_losses: usize) -> Simulation {
    let mut simulation = Simulation::new(5, machines, 1, tolerated_machine_losses);
    simulation.start_all(true);
    simulation.run(4000.0);
    simulation.log = Some(Vec::new());
    simulation
}

/// Told to stop, it runs until it may end; gives how long it stayed.
fn end(simulation: &mut Simulation, index: usize) -> Time {
    let told = simulation.now;
    simulation.run_until(GRACE, |simulation| !simulation.is_needed(index));
    simulation.kill(index);
    simulation.now - told
}

fn order(simulation: &mut Simulation, node: usize, patience: Time) {
    let call = simulation.submit(node, simulation.newest().version);
    simulation.run(patience);
    let outcome = simulation.outcome(call);
    assert!(
        matches!(outcome, Some(Ok(_))),
        "an order through machine {node}: {outcome:?}"
    );
}

/// One member holds what was acknowledged last, another is back without it, the third is being replaced. The first is
/// told to stop, and its machine is gone for good after it.
#[test]
fn the_only_copy_stays_until_others_have_it() {
    let mut simulation = settled(3, 1);
    simulation.kill(2);
    simulation.run(2500.0);
    order(&mut simulation, 0, 100.0); // on machines 0 and 1 alone
    simulation.wipe(1);
    simulation.start(2, false);
    simulation.request_shutdown(0);
    simulation.run(1000.0);
    assert!(simulation.is_needed(0), "the others don't have it");
    simulation.start(1, false);
    let stayed = end(&mut simulation, 0);
    assert!(stayed < GRACE, "it goes as soon as the others have it");
    simulation.wipe(0);
    simulation.nodes[0].removed = true;
    for node in [1, 2] {
        let read = simulation.read(node);
        simulation.run(3000.0);
        assert_eq!(
            simulation.outcome(read),
            Some(Ok("1 1".to_string())),
            "read at machine {node}"
        );
    }
    order(&mut simulation, 1, 100.0);
}

/// Where the others are too few without it, it takes part until one more is there.
#[test]
fn where_the_chain_is_too_short_without_it_a_member_stays() {
    for (leaver, other) in [(0, 1), (1, 0)] {
        let mut simulation = settled(3, 1);
        simulation.kill(2);
        simulation.run(2500.0);
        simulation.request_shutdown(leaver);
        for _ in 0..8 {
            order(&mut simulation, other, 500.0);
        }
        assert!(simulation.is_needed(leaver));
        simulation.start(2, false);
        assert!(end(&mut simulation, leaver) < 1500.0);
        order(&mut simulation, other, 100.0);
    }
}

/// The new machine first, then SIGTERM: the new one takes the places of the old one in the chain and among the voters,
/// and any one of the machines may be lost after that.
#[test]
fn a_planned_replacement_hands_both_places_on() {
    for leaver in 0..3 {
        let mut simulation = settled(3, 1);
        order(&mut simulation, 0, 100.0);
        let successor = simulation.add(true);
        simulation.start(successor, false);
        simulation.run(1000.0);
        simulation.request_shutdown(leaver);
        let stayed = end(&mut simulation, leaver);
        assert!(stayed < 300.0, "{stayed}");
        simulation.nodes[leaver].removed = true;
        let left = (leaver + 1) % 3;
        order(&mut simulation, left, 100.0);
        let view = simulation.checks.newest_view().unwrap().clone();
        let address = &simulation.nodes[successor].address;
        assert!(
            view.voters.iter().any(|voter| voter.address == *address),
            "{view}"
        );
        assert!(
            view.chain.iter().any(|member| member.address == *address),
            "{view}"
        );
        simulation.wipe((leaver + 2) % 3);
        order(&mut simulation, left, 3000.0);
        simulation.checks.check_nothing_lost(&simulation.newest());
    }
}

/// All are told to stop in turn and started again; orders go on all the time.
#[test]
fn a_restart_of_all_in_turn_goes_through() {
    for (machines, tolerated_machine_losses) in [(3, 1), (6, 2)] {
        let mut simulation = settled(machines, tolerated_machine_losses);
        for leaver in 0..machines {
            simulation.request_shutdown(leaver);
            order(&mut simulation, (leaver + 1) % machines, 200.0);
            assert!(end(&mut simulation, leaver) < 300.0);
            for _ in 0..10 {
                order(&mut simulation, (leaver + 1) % machines, 100.0);
            }
            simulation.start(leaver, false);
            for _ in 0..40 {
                order(&mut simulation, leaver, 100.0);
            }
            assert!(simulation.is_fully_replicated());
        }
    }
}

/// The next is told to stop as soon as the one before runs again.
#[test]
fn a_hasty_restart_of_all_in_turn_goes_through() {
    let mut simulation = settled(3, 1);
    for leaver in [0, 1, 2, 0, 1, 2] {
        simulation.request_shutdown(leaver);
        assert!(end(&mut simulation, leaver) < 1500.0);
        simulation.start(leaver, false);
        order(&mut simulation, (leaver + 1) % 3, 1500.0);
    }
    simulation.checks.check_nothing_lost(&simulation.newest());
}

/// Two of three at once: one goes, the other stays until the first is back.
#[test]
fn of_two_that_leave_one_stays() {
    for (one, other) in [(0, 1), (1, 2), (0, 2)] {
        let mut simulation = settled(3, 1);
        simulation.request_shutdown(one);
        simulation.request_shutdown(other);
        simulation.run(500.0);
        let needed = [simulation.is_needed(one), simulation.is_needed(other)];
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
        simulation.kill(first);
        order(&mut simulation, 3, 200.0);
        simulation.start(first, false);
        assert!(end(&mut simulation, second) < 1500.0);
        order(&mut simulation, 3, 200.0);
    }
}

/// Nobody could take its place.
#[test]
fn a_lone_process_goes_at_once() {
    let mut simulation = Simulation::new(5, 1, 0, 0);
    simulation.start_all(true);
    simulation.run(2000.0);
    order(&mut simulation, 0, 100.0);
    simulation.request_shutdown(0);
    assert!(!simulation.is_needed(0));
}
