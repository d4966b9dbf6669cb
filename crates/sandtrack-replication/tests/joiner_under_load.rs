//! Members that come back while changes keep coming as fast as they may: they get in line in a stated time over links of
//! 10 Mbit/s, and nothing is sent to them that a later snapshot holds.
mod world;

use world::bandwidth::TEN_MBIT;
use world::{Time, World};

const STATE: usize = 4 << 20;
const AWAY: usize = 2;

/// Three machines on links of 10 Mbit/s, of which one was away for `changes` of `padding` bytes.
fn one_away(seed: u64, state: usize, changes: usize, padding: usize) -> World {
    let mut world = World::new(seed, 3, 0, 1);
    world.ballast = state;
    world.start_all(true);
    world.run(2000.0);
    world.kill(AWAY);
    world.run(2500.0);
    world.padding = padding;
    for _ in 0..changes {
        let call = world.submit(0, world.newest().version);
        assert!(world.run_until(6000.0, |world| world.took(call).is_some()));
    }
    world.padding = 0;
    for machine in 0..3 {
        world.network.bandwidth.limit(machine, TEN_MBIT);
    }
    world.network.bandwidth.received.insert(AWAY, 0);
    world
}

fn is_in_line(world: &World, machine: usize) -> bool {
    let replica = world.nodes[machine].replica.as_ref().unwrap();
    let chain = &world.checks.newest_view().unwrap().chain;
    chain.contains(replica.member()) && replica.is_caught_up()
}

/// Starts the member that was away while a change of `bytes` comes each `every` ms; how long until it is in line.
fn comes_back(world: &mut World, bytes: usize, every: Time, within: Time) -> Time {
    world.start(AWAY, false);
    let began = world.now;
    world.padding = bytes;
    let mut calls = Vec::new();
    while world.now < began + within && !is_in_line(world, AWAY) {
        calls.push(world.submit(0, world.newest().version));
        world.run(every);
    }
    let took = world.now - began;
    let came = world.network.bandwidth.received[&AWAY];
    println!("in line after {took:.0} ms, {came} bytes came to it");
    assert!(
        is_in_line(world, AWAY),
        "not in line after {took:.0} ms, {came} bytes came to it"
    );
    world.padding = 0;
    world.run(4500.0);
    let slowest = calls
        .iter()
        .map(|call| world.took(*call).unwrap_or(Time::INFINITY))
        .fold(0.0, Time::max);
    println!("slowest change {slowest:.0} ms");
    assert!(slowest < 1000.0, "a change took {slowest:.0} ms");
    took
}

/// 250 changes a second.
const EVERY: Time = 4.0;

#[test]
fn a_joiner_is_in_line_in_twice_the_transfer_under_250_small_changes_a_second() {
    let mut world = one_away(31, STATE, 700, 0);
    let transfer = STATE as f64 / TEN_MBIT;
    let took = comes_back(&mut world, 0, EVERY, 4.0 * transfer);
    assert!(took < 2.0 * transfer, "in line after {took:.0} ms");
}

/// Half of the link is taken by changes of 2 KiB.
#[test]
fn a_joiner_is_in_line_under_changes_that_take_half_of_its_link() {
    let mut world = one_away(32, STATE, 700, 2048);
    let transfer = STATE as f64 / TEN_MBIT;
    let took = comes_back(&mut world, 2048, EVERY, 8.0 * transfer);
    assert!(took < 3.0 * transfer, "in line after {took:.0} ms");
}

/// What it lacks is 2,000 changes, more than the log holds; the state is small, so a snapshot is shorter.
#[test]
fn a_joiner_with_a_small_state_is_in_line_at_once_under_250_changes_a_second() {
    let mut world = one_away(33, 10_000, 2000, 0);
    let took = comes_back(&mut world, 0, EVERY, 10_000.0);
    assert!(took < 2000.0, "in line after {took:.0} ms");
}

/// The log holds 300 changes of 3 KiB, which is 0.7 s of the link.
#[test]
fn a_joiner_that_learns_from_the_log_is_in_line_within_two_seconds_under_250_changes_a_second() {
    let mut world = one_away(34, 10_000, 300, 3000);
    let took = comes_back(&mut world, 0, EVERY, 10_000.0);
    assert!(took < 2000.0, "in line after {took:.0} ms");
}
