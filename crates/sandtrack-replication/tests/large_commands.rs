//! Changes of megabytes over links of 10 Mbit/s: they are on their way for seconds, and nobody is suspected for it; small
//! changes and reads are answered once the large one is through, and nothing is sent many times over.
mod simulation;

use simulation::bandwidth::TEN_MBIT;
use simulation::{Simulation, Time};

const MEGABYTE: usize = 1 << 20;
/// Milliseconds between two heartbeats of one member to another that nothing may exceed: the silence after which a member
/// is suspected is 900.
const HEARTBEAT_GAP: Time = 450.0;

/// Milliseconds that so many bytes take on a link of 10 Mbit/s.
fn on_the_way(bytes: usize) -> Time {
    bytes as f64 / TEN_MBIT
}

fn slow_links(seed: u64, machines: usize, observers: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, machines, observers, 1);
    for machine in 0..machines + observers {
        simulation.network.bandwidth.limit(machine, TEN_MBIT);
    }
    simulation.start_all(true);
    simulation.run(2000.0);
    simulation
}

fn applied(simulation: &Simulation, machine: usize) -> u64 {
    simulation.nodes[machine]
        .replica
        .as_ref()
        .unwrap()
        .machine()
        .applied
}

fn received(simulation: &mut Simulation, machine: usize) -> usize {
    simulation
        .network
        .bandwidth
        .received
        .insert(machine, 0)
        .unwrap_or(0)
}

fn is_in_sync(simulation: &Simulation, machine: usize) -> bool {
    let replica = simulation.nodes[machine].replica.as_ref().unwrap();
    let chain = &simulation.checks.newest_view().unwrap().chain;
    chain.contains(replica.member()) && replica.is_caught_up()
}

/// One large change through a machine; all have it within `span`, by the view that was there before.
fn goes_through(simulation: &mut Simulation, through: usize, bytes: usize, span: Time) {
    let views = simulation.checks.views();
    let before = simulation.newest().applied;
    simulation.network.heartbeats.clear();
    simulation.command_padding = bytes;
    simulation.submit(through, simulation.newest().version);
    simulation.command_padding = 0;
    let all = |simulation: &Simulation| {
        (0..simulation.nodes.len()).all(|machine| applied(simulation, machine) > before)
    };
    let began = simulation.now;
    assert!(
        simulation.run_until(span, all),
        "{bytes} bytes through {through}: not everywhere after {span} ms"
    );
    println!(
        "{bytes} bytes through {through}: everywhere after {:.0} ms",
        simulation.now - began
    );
    simulation.run(1000.0);
    assert_eq!(simulation.checks.views(), views, "nobody is suspected");
    let gap = simulation.network.heartbeats.longest;
    assert!(
        gap <= HEARTBEAT_GAP,
        "a heartbeat came {gap:.0} ms after the one before"
    );
}

#[test]
fn a_large_command_holds_up_no_heartbeat_on_the_chain() {
    for megabytes in [2, 4] {
        let bytes = megabytes * MEGABYTE;
        let mut simulation = slow_links(21, 3, 0);
        goes_through(&mut simulation, 0, bytes, 2.2 * on_the_way(bytes) + 500.0);
        for machine in 1..3 {
            let came = received(&mut simulation, machine);
            assert!(
                came < bytes + bytes / 8,
                "{came} bytes came to {machine} for a change of {bytes}"
            );
        }
    }
}

#[test]
fn a_large_command_holds_up_no_heartbeat_on_its_way_to_the_head_and_to_observers() {
    for megabytes in [2, 4] {
        let bytes = megabytes * MEGABYTE;
        for through in [2, 3] {
            let mut simulation = slow_links(22, 3, 2);
            goes_through(
                &mut simulation,
                through,
                bytes,
                4.5 * on_the_way(bytes) + 500.0,
            );
            let came = received(&mut simulation, 0);
            assert!(
                came < bytes + bytes / 8,
                "{came} bytes came to the head for a change of {bytes}"
            );
        }
    }
}

/// The chain passes the call on to the head where the way to it is cut.
#[test]
fn a_large_command_is_passed_on_to_the_head_without_holding_up_heartbeats() {
    let mut simulation = slow_links(23, 3, 1);
    let bytes = 2 * MEGABYTE;
    simulation.cut(&[0], &[3]);
    simulation.run(1500.0);
    let views = simulation.checks.views();
    simulation.command_padding = bytes;
    simulation.submit(3, simulation.newest().version);
    simulation.command_padding = 0;
    simulation.network.heartbeats.clear();
    assert!(simulation.run_until(20_000.0, |simulation| (0..3)
        .all(|machine| applied(simulation, machine) > 0)));
    assert_eq!(simulation.checks.views(), views, "nobody is suspected");
    let gap = simulation.network.heartbeats.longest;
    assert!(
        gap <= HEARTBEAT_GAP,
        "a heartbeat came {gap:.0} ms after the one before"
    );
}

/// Small changes that come while a large one is on its way wait for it, and reads don't.
#[test]
fn reads_and_heartbeats_pass_a_large_command() {
    let mut simulation = slow_links(24, 3, 0);
    let bytes = 2 * MEGABYTE;
    simulation.command_padding = bytes;
    simulation.submit(0, 0);
    simulation.command_padding = 0;
    simulation.run(300.0);
    for _ in 0..10 {
        let read = simulation.read(1);
        simulation.run(500.0);
        if applied(&simulation, 2) == 0 && simulation.nodes[2].disk.len() < 4 {
            let latency = simulation.latency(read).unwrap_or(Time::INFINITY);
            assert!(latency < 300.0, "a read took {latency} ms");
        }
    }
}

/// A member that was away for one large change, and one that is new, are brought in sync past it.
#[test]
fn members_are_synchronised_over_large_commands() {
    for wiped in [false, true] {
        let mut simulation = slow_links(25, 3, 0);
        let call = simulation.submit(0, 0);
        simulation.run(500.0);
        assert!(simulation.latency(call).is_some());
        if wiped {
            simulation.wipe(2);
        } else {
            simulation.kill(2);
        }
        simulation.run(2500.0);
        for _ in 0..2 {
            simulation.command_padding = 4 * MEGABYTE;
            simulation.submit(0, simulation.newest().version);
            simulation.command_padding = 0;
            simulation.run(1.5 * on_the_way(4 * MEGABYTE));
        }
        assert_eq!((applied(&simulation, 0), applied(&simulation, 1)), (3, 3));
        let views = simulation.checks.views();
        simulation.start(2, false);
        received(&mut simulation, 2);
        simulation.network.heartbeats.clear();
        let began = simulation.now;
        let span = 1.5 * on_the_way(8 * MEGABYTE) + 1500.0;
        assert!(
            simulation.run_until(span, |simulation| is_in_sync(simulation, 2)),
            "wiped {wiped}: not in line"
        );
        println!(
            "wiped {wiped}: in line after {:.0} ms",
            simulation.now - began
        );
        simulation.run(2000.0);
        let came = received(&mut simulation, 2);
        assert!(came < 9 * MEGABYTE, "wiped {wiped}: {came} bytes came");
        assert_eq!(
            simulation.checks.views(),
            views + 1,
            "wiped {wiped}: the only new view takes it in"
        );
        let gap = simulation.network.heartbeats.longest;
        assert!(
            gap <= HEARTBEAT_GAP,
            "a heartbeat came {gap:.0} ms after the one before"
        );
    }
}

/// A break of the link costs what was under way, and the change comes through.
#[test]
fn a_large_command_goes_on_after_a_short_break_of_the_link() {
    let mut simulation = slow_links(26, 3, 0);
    let bytes = 4 * MEGABYTE;
    let views = simulation.checks.views();
    simulation.command_padding = bytes;
    simulation.submit(0, 0);
    simulation.command_padding = 0;
    received(&mut simulation, 1);
    simulation.run(on_the_way(bytes) / 2.0);
    simulation.cut(&[0], &[1]);
    simulation.run(300.0);
    simulation.heal();
    assert!(
        simulation.run_until(2.5 * on_the_way(bytes), |simulation| (0..3)
            .all(|machine| applied(simulation, machine) > 0))
    );
    let came = received(&mut simulation, 1);
    assert!(came < bytes + bytes / 8, "{came} bytes came");
    assert_eq!(simulation.checks.views(), views);
}

#[test]
fn nothing_of_a_large_command_is_kept_once_it_is_through() {
    let mut simulation = slow_links(27, 3, 1);
    simulation.command_padding = 2 * MEGABYTE;
    simulation.submit(2, 0);
    simulation.command_padding = 0;
    simulation.run(12_000.0);
    for machine in 0..4 {
        assert_eq!(applied(&simulation, machine), 1);
        assert_eq!(
            simulation.nodes[machine]
                .replica
                .as_ref()
                .unwrap()
                .fragment_bytes(),
            0
        );
    }
}

/// Between regions a round trip takes long: as much is under way as it needs.
#[test]
fn a_large_command_between_regions_is_not_held_up_by_the_round_trip() {
    let mut simulation = Simulation::new(28, 3, 0, 1);
    simulation.network.between_regions = 100.0;
    simulation.start_all(true);
    simulation.run(3000.0);
    simulation.command_padding = 4 * MEGABYTE;
    let call = simulation.submit(0, 0);
    simulation.command_padding = 0;
    assert!(simulation.run_until(8000.0, |simulation| (0..3)
        .all(|machine| applied(simulation, machine) > 0)));
    let latency = simulation.now - simulation.calls[&call].began;
    println!("everywhere after {latency:.0} ms");
    assert!(latency < 5000.0, "everywhere after {latency:.0} ms");
}
