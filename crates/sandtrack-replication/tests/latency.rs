//! settled simulations, and single losses: how long things take.
mod simulation;

use simulation::Simulation;

fn settled(machines: usize, observers: usize, tolerated_machine_losses: usize) -> Simulation {
    let mut simulation = Simulation::new(1, machines, observers, tolerated_machine_losses);
    simulation.start_all(true);
    simulation.run(2000.0);
    simulation
}

#[test]
fn a_commit_takes_one_pass_down_and_up() {
    let mut simulation = settled(3, 2, 1);
    for node in 0..5 {
        let call = simulation.submit(node, simulation.newest().version);
        simulation.run(100.0);
        assert_eq!(
            simulation.outcome(call),
            Some(Ok(format!("won {}", node + 1)))
        );
        // Three syncs of 0.5 ms, four hops of at most 1.2 ms; two more from outside the head.
        assert!(
            simulation.latency(call).unwrap() < 1.5 + 6.0 * 1.2 + 0.5,
            "{:?}",
            simulation.latency(call)
        );
    }
    assert_eq!(simulation.checks.views(), 1);
}

#[test]
fn a_read_is_answered_by_the_tail() {
    let mut simulation = settled(3, 1, 1);
    simulation.submit(0, 0);
    simulation.run(100.0);
    for node in 0..4 {
        let call = simulation.read(node);
        simulation.run(100.0);
        assert_eq!(simulation.outcome(call), Some(Ok("1 1".to_string())));
    }
}

#[test]
fn a_lost_member_costs_less_than_two_and_a_half_seconds() {
    for lost in 0..3 {
        for seed in 0..20 {
            let mut simulation = Simulation::new(seed, 3, 0, 1);
            simulation.start_all(true);
            simulation.run(2000.0);
            simulation.kill(lost);
            let call = simulation.submit((lost + 1) % 3, 0);
            simulation.run(2500.0);
            assert_eq!(
                simulation.outcome(call),
                Some(Ok("won 1".to_string())),
                "lost {lost}, seed {seed}"
            );
        }
    }
}
