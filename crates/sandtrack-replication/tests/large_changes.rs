//! Changes of megabytes over links of 10 Mbit/s: they are on their way for seconds, and nobody is suspected for it; small
//! changes and reads are answered once the large one is through, and nothing is sent many times over.
mod world;

use world::bandwidth::TEN_MBIT;
use world::{Time, World};

const MEGABYTE: usize = 1 << 20;
/// Milliseconds between two heartbeats of one member to another that nothing may exceed: the silence after which a member
/// is suspected is 900.
const HEARTBEAT_GAP: Time = 450.0;

/// Milliseconds that so many bytes take on a link of 10 Mbit/s.
fn on_the_way(bytes: usize) -> Time {
    bytes as f64 / TEN_MBIT
}

fn slow_links(seed: u64, machines: usize, observers: usize) -> World {
    let mut world = World::new(seed, machines, observers, 1);
    for machine in 0..machines + observers {
        world.network.bandwidth.limit(machine, TEN_MBIT);
    }
    world.start_all(true);
    world.run(2000.0);
    world
}

fn applied(world: &World, machine: usize) -> u64 {
    world.nodes[machine]
        .replica
        .as_ref()
        .unwrap()
        .machine()
        .applied
}

fn received(world: &mut World, machine: usize) -> usize {
    world
        .network
        .bandwidth
        .received
        .insert(machine, 0)
        .unwrap_or(0)
}

fn is_in_line(world: &World, machine: usize) -> bool {
    let replica = world.nodes[machine].replica.as_ref().unwrap();
    let chain = &world.checks.newest_view().unwrap().chain;
    chain.contains(replica.member()) && replica.is_caught_up()
}

/// One large change through a machine; all have it within `span`, by the view that was there before.
fn goes_through(world: &mut World, through: usize, bytes: usize, span: Time) {
    let views = world.checks.views();
    let before = world.newest().applied;
    world.network.heartbeats.clear();
    world.padding = bytes;
    world.submit(through, world.newest().version);
    world.padding = 0;
    let all =
        |world: &World| (0..world.nodes.len()).all(|machine| applied(world, machine) > before);
    let began = world.now;
    assert!(
        world.run_until(span, all),
        "{bytes} bytes through {through}: not everywhere after {span} ms"
    );
    println!(
        "{bytes} bytes through {through}: everywhere after {:.0} ms",
        world.now - began
    );
    world.run(1000.0);
    assert_eq!(world.checks.views(), views, "nobody is suspected");
    let gap = world.network.heartbeats.longest;
    assert!(
        gap <= HEARTBEAT_GAP,
        "a heartbeat came {gap:.0} ms after the one before"
    );
}

#[test]
fn a_large_change_holds_up_no_heartbeat_on_the_chain() {
    for megabytes in [2, 4] {
        let bytes = megabytes * MEGABYTE;
        let mut world = slow_links(21, 3, 0);
        goes_through(&mut world, 0, bytes, 2.2 * on_the_way(bytes) + 500.0);
        for machine in 1..3 {
            let came = received(&mut world, machine);
            assert!(
                came < bytes + bytes / 8,
                "{came} bytes came to {machine} for a change of {bytes}"
            );
        }
    }
}

#[test]
fn a_large_change_holds_up_no_heartbeat_on_its_way_to_the_head_and_to_observers() {
    for megabytes in [2, 4] {
        let bytes = megabytes * MEGABYTE;
        for through in [2, 3] {
            let mut world = slow_links(22, 3, 2);
            goes_through(&mut world, through, bytes, 4.5 * on_the_way(bytes) + 500.0);
            let came = received(&mut world, 0);
            assert!(
                came < bytes + bytes / 8,
                "{came} bytes came to the head for a change of {bytes}"
            );
        }
    }
}

/// The chain passes the call on to the head where the way to it is cut.
#[test]
fn a_large_change_is_passed_on_to_the_head_without_holding_up_heartbeats() {
    let mut world = slow_links(23, 3, 1);
    let bytes = 2 * MEGABYTE;
    world.cut(&[0], &[3]);
    world.run(1500.0);
    let views = world.checks.views();
    world.padding = bytes;
    world.submit(3, world.newest().version);
    world.padding = 0;
    world.network.heartbeats.clear();
    assert!(world.run_until(20_000.0, |world| (0..3)
        .all(|machine| applied(world, machine) > 0)));
    assert_eq!(world.checks.views(), views, "nobody is suspected");
    let gap = world.network.heartbeats.longest;
    assert!(
        gap <= HEARTBEAT_GAP,
        "a heartbeat came {gap:.0} ms after the one before"
    );
}

/// Small changes that come while a large one is on its way wait for it, and reads don't.
#[test]
fn reads_and_heartbeats_pass_a_large_change() {
    let mut world = slow_links(24, 3, 0);
    let bytes = 2 * MEGABYTE;
    world.padding = bytes;
    world.submit(0, 0);
    world.padding = 0;
    world.run(300.0);
    for _ in 0..10 {
        let read = world.read(1);
        world.run(500.0);
        if applied(&world, 2) == 0 && world.nodes[2].disk.len() < 4 {
            let took = world.took(read).unwrap_or(Time::INFINITY);
            assert!(took < 300.0, "a read took {took} ms");
        }
    }
}

/// A member that was away for one large change, and one that is new, are brought in line past it.
#[test]
fn members_are_brought_in_line_over_large_changes() {
    for wiped in [false, true] {
        let mut world = slow_links(25, 3, 0);
        let call = world.submit(0, 0);
        world.run(500.0);
        assert!(world.took(call).is_some());
        if wiped {
            world.wipe(2);
        } else {
            world.kill(2);
        }
        world.run(2500.0);
        for _ in 0..2 {
            world.padding = 4 * MEGABYTE;
            world.submit(0, world.newest().version);
            world.padding = 0;
            world.run(1.5 * on_the_way(4 * MEGABYTE));
        }
        assert_eq!((applied(&world, 0), applied(&world, 1)), (3, 3));
        let views = world.checks.views();
        world.start(2, false);
        received(&mut world, 2);
        world.network.heartbeats.clear();
        let began = world.now;
        let span = 1.5 * on_the_way(8 * MEGABYTE) + 1500.0;
        assert!(
            world.run_until(span, |world| is_in_line(world, 2)),
            "wiped {wiped}: not in line"
        );
        println!("wiped {wiped}: in line after {:.0} ms", world.now - began);
        world.run(2000.0);
        let came = received(&mut world, 2);
        assert!(came < 9 * MEGABYTE, "wiped {wiped}: {came} bytes came");
        assert_eq!(
            world.checks.views(),
            views + 1,
            "wiped {wiped}: the only new view takes it in"
        );
        let gap = world.network.heartbeats.longest;
        assert!(
            gap <= HEARTBEAT_GAP,
            "a heartbeat came {gap:.0} ms after the one before"
        );
    }
}

/// A break of the link costs what was under way, and the change comes through.
#[test]
fn a_large_change_goes_on_after_a_short_break_of_the_link() {
    let mut world = slow_links(26, 3, 0);
    let bytes = 4 * MEGABYTE;
    let views = world.checks.views();
    world.padding = bytes;
    world.submit(0, 0);
    world.padding = 0;
    received(&mut world, 1);
    world.run(on_the_way(bytes) / 2.0);
    world.cut(&[0], &[1]);
    world.run(300.0);
    world.heal();
    assert!(world.run_until(2.5 * on_the_way(bytes), |world| (0..3)
        .all(|machine| applied(world, machine) > 0)));
    let came = received(&mut world, 1);
    assert!(came < bytes + bytes / 8, "{came} bytes came");
    assert_eq!(world.checks.views(), views);
}

#[test]
fn nothing_of_a_large_change_is_kept_once_it_is_through() {
    let mut world = slow_links(27, 3, 1);
    world.padding = 2 * MEGABYTE;
    world.submit(2, 0);
    world.padding = 0;
    world.run(12_000.0);
    for machine in 0..4 {
        assert_eq!(applied(&world, machine), 1);
        assert_eq!(
            world.nodes[machine]
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
fn a_large_change_between_regions_is_not_held_up_by_the_round_trip() {
    let mut world = World::new(28, 3, 0, 1);
    world.network.between_regions = 100.0;
    world.start_all(true);
    world.run(3000.0);
    world.padding = 4 * MEGABYTE;
    let call = world.submit(0, 0);
    world.padding = 0;
    assert!(world.run_until(8000.0, |world| (0..3)
        .all(|machine| applied(world, machine) > 0)));
    let took = world.now - world.calls[&call].began;
    println!("everywhere after {took:.0} ms");
    assert!(took < 5000.0, "everywhere after {took:.0} ms");
}
