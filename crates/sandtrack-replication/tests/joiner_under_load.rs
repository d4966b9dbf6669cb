//! Members that come back while changes keep coming as fast as they may: they get in sync in a stated time over links of
//! 10 Mbit/s, and nothing is sent to them that a later snapshot holds.
mod simulation;

use simulation::bandwidth::TEN_MBIT;
use simulation::{Simulation, Time};

const STATE: usize = 4 << 20;
const AWAY: usize = 2;

/// Three machines on links of 10 Mbit/s, of which one was away for `changes` of `command_padding` bytes.
fn one_away(seed: u64, state: usize, changes: usize, command_padding: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, 3, 0, 1);
    simulation.state_padding = state;
    simulation.start_all(true);
    simulation.run(2000.0);
    simulation.kill(AWAY);
    simulation.run(2500.0);
    simulation.command_padding = command_padding;
    for _ in 0..changes {
        let call = simulation.submit(0, simulation.newest().version);
        assert!(simulation.run_until(6000.0, |simulation| simulation.latency(call).is_some()));
    }
    simulation.command_padding = 0;
    for machine in 0..3 {
        simulation.network.bandwidth.limit(machine, TEN_MBIT);
    }
    simulation.network.bandwidth.received.insert(AWAY, 0);
    simulation
}

fn is_in_sync(simulation: &Simulation, machine: usize) -> bool {
    let replica = simulation.nodes[machine].replica.as_ref().unwrap();
    let chain = &simulation.checks.newest_view().unwrap().chain;
    chain.contains(replica.member()) && replica.is_caught_up()
}

/// Starts the member that was away while a change of `bytes` comes each `every` ms; how long until it is in sync.
fn restart_after_absence(
    simulation: &mut Simulation,
    bytes: usize,
    every: Time,
    within: Time,
) -> Time {
    simulation.start(AWAY, false);
    let began = simulation.now;
    simulation.command_padding = bytes;
    let mut calls = Vec::new();
    while simulation.now < began + within && !is_in_sync(simulation, AWAY) {
        calls.push(simulation.submit(0, simulation.newest().version));
        simulation.run(every);
    }
    let latency = simulation.now - began;
    let came = simulation.network.bandwidth.received[&AWAY];
    println!("in line after {latency:.0} ms, {came} bytes came to it");
    assert!(
        is_in_sync(simulation, AWAY),
        "not in line after {latency:.0} ms, {came} bytes came to it"
    );
    simulation.command_padding = 0;
    simulation.run(4500.0);
    let slowest = calls
        .iter()
        .map(|call| simulation.latency(*call).unwrap_or(Time::INFINITY))
        .fold(0.0, Time::max);
    println!("slowest change {slowest:.0} ms");
    assert!(slowest < 1000.0, "a change took {slowest:.0} ms");
    latency
}

/// 250 changes a second.
const EVERY: Time = 4.0;

#[test]
fn a_joiner_is_in_sync_in_twice_the_transfer_under_250_small_commands_a_second() {
    let mut simulation = one_away(31, STATE, 700, 0);
    let transfer = STATE as f64 / TEN_MBIT;
    let latency = restart_after_absence(&mut simulation, 0, EVERY, 4.0 * transfer);
    assert!(latency < 2.0 * transfer, "in line after {latency:.0} ms");
}

/// Half of the link is taken by changes of 2 KiB.
#[test]
fn a_joiner_is_in_sync_under_commands_that_take_half_of_its_link() {
    let mut simulation = one_away(32, STATE, 700, 2048);
    let transfer = STATE as f64 / TEN_MBIT;
    let latency = restart_after_absence(&mut simulation, 2048, EVERY, 8.0 * transfer);
    assert!(latency < 3.0 * transfer, "in line after {latency:.0} ms");
}

/// What it lacks is 2,000 changes, more than the log holds; the state is small, so a snapshot is shorter.
#[test]
fn a_joiner_with_a_small_state_is_in_sync_at_once_under_250_commands_a_second() {
    let mut simulation = one_away(33, 10_000, 2000, 0);
    let latency = restart_after_absence(&mut simulation, 0, EVERY, 10_000.0);
    assert!(latency < 2000.0, "in line after {latency:.0} ms");
}

/// The log holds 300 changes of 3 KiB, which is 0.7 s of the link.
#[test]
fn a_joiner_that_catches_up_from_the_log_is_in_sync_within_two_seconds_under_250_commands_a_second()
{
    let mut simulation = one_away(34, 10_000, 300, 3000);
    let latency = restart_after_absence(&mut simulation, 0, EVERY, 10_000.0);
    assert!(latency < 2000.0, "in line after {latency:.0} ms");
}
