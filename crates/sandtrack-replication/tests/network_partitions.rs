//! A member that is cut off for twenty seconds, both ways or one way, while orders and reads come on both sides: its
//! side confirms nothing, the other side goes on, and it is back in sync soon after the cut.
mod simulation;

use rand::Rng;
use simulation::{Simulation, Time};

const CUT: Time = 20_000.0;
/// The others answer whatever they are asked during the cut within so many milliseconds.
const ACKNOWLEDGE: Time = 3000.0;
/// So many milliseconds after the cut it is in sync again.
const CATCH_UP: Time = 4000.0;

#[derive(Clone, Copy, Debug)]
enum Way {
    Both,
    Outward,
    Inward,
}

fn cut(simulation: &mut Simulation, index: usize, way: Way) {
    for other in (0..simulation.nodes.len()).filter(|other| *other != index) {
        if !matches!(way, Way::Inward) {
            simulation.network.cut.insert((index, other));
        }
        if !matches!(way, Way::Outward) {
            simulation.network.cut.insert((other, index));
        }
    }
}

/// Calls that were begun in `span` through the machine `one`, and through others.
fn calls(simulation: &mut Simulation, one: usize, span: Time) -> (Vec<u64>, Vec<u64>) {
    let (mut here, mut elsewhere) = (Vec::new(), Vec::new());
    let end = simulation.now + span;
    while simulation.now < end {
        let node = simulation.random.gen_range(0..simulation.nodes.len());
        // Each side builds on what it knows itself.
        let base = simulation.nodes[node]
            .replica
            .as_ref()
            .unwrap()
            .machine()
            .version;
        let call = if simulation.random.gen_bool(0.6) {
            simulation.submit(node, base)
        } else {
            simulation.read(node)
        };
        if node == one {
            here.push(call);
        } else {
            elsewhere.push(call);
        }
        let pause: Time = simulation.random.gen_range(20.0..150.0);
        simulation.run(pause);
    }
    (here, elsewhere)
}

fn play(
    machines: usize,
    tolerated_machine_losses: usize,
    index: usize,
    way: Way,
    between_regions: Time,
    seed: u64,
) {
    let case =
        format!("{machines} machines, {index} cut {way:?}, {between_regions} ms, seed {seed}");
    let mut simulation = Simulation::new(seed, machines, 1, tolerated_machine_losses);
    simulation.network.between_regions = between_regions;
    simulation.start_all(true);
    simulation.run(4000.0);
    calls(&mut simulation, index, 1000.0);
    simulation.run(1000.0);
    cut(&mut simulation, index, way);
    let (here, elsewhere) = calls(&mut simulation, index, CUT);
    for call in &here {
        let outcome = simulation.outcome(*call);
        assert!(
            !matches!(outcome, Some(Ok(_))),
            "{case}: the side that is cut off answers {outcome:?}"
        );
    }
    simulation.heal();
    let healed = simulation.now;
    let is_back = |simulation: &Simulation| {
        let replica = simulation.nodes[index].replica.as_ref().unwrap();
        let in_chain = replica.view().chain.contains(replica.member());
        (in_chain || machines > replica.view().chain.len()) && replica.is_caught_up()
    };
    assert!(
        simulation.run_until(CATCH_UP, is_back),
        "{case}: back in line after the cut"
    );
    simulation.run(healed + CATCH_UP - simulation.now);
    for call in &elsewhere {
        let outcome = simulation.outcome(*call);
        assert!(
            matches!(outcome, Some(Ok(_))),
            "{case}: the others answer {outcome:?}"
        );
        let latency = simulation.latency(*call).unwrap();
        assert!(
            latency <= ACKNOWLEDGE,
            "{case}: the others answer after {latency} ms"
        );
    }
    let (here, _) = calls(&mut simulation, index, 2000.0);
    simulation.run(2000.0);
    let outcomes: Vec<_> = here.iter().map(|call| simulation.outcome(*call)).collect();
    assert!(
        outcomes
            .iter()
            .all(|outcome| matches!(outcome, Some(Ok(_)))),
        "{case}: afterwards {outcomes:?}"
    );
    simulation.checks.check_nothing_lost(&simulation.newest());
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
