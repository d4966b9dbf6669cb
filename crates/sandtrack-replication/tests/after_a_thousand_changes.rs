//! A member that was away for a thousand changes, small ones and such of 40 KB, with its log rewritten meanwhile and on
//! disks that are slow, stall or fill: it is in line within a stated time, and before that it neither leads nor answers.
mod world;

use world::{DiskMode, Time, World};

/// The changes that are missed, and the share of them that are long.
const CHANGES: usize = 1000;
/// Number of the last change that was made while the member was away.
const MISSED: u64 = BEFORE as u64 + CHANGES as u64;
/// Changes before it was away.
const BEFORE: usize = 10;
const LONG: usize = 40_000;
const LONG_EACH: usize = 4;
/// Bytes for each millisecond of a disk of 120 MB/s, and the time of a write on one that takes 26 times as long.
const DISK: Time = 120_000.0;
const SLOW: DiskMode = DiskMode::Slow(0.5 * 26.0);
/// Bytes of the state besides the register.
const STATE: usize = 2 << 20;
/// Milliseconds until a member is in line whose disk works, however slowly.
const IN_LINE: Time = 3000.0;

fn world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 0, 1);
    world.ballast = STATE;
    world.disk_speed = Some(DISK);
    world.start_all(true);
    world.run(2000.0);
    change(&mut world, BEFORE);
    world
}

/// Changes one after the other, each acknowledged, one in four of them long.
fn change(world: &mut World, count: usize) {
    let through = world.running()[0];
    for number in 0..count {
        world.padding = if number % LONG_EACH == 0 { LONG } else { 0 };
        let call = world.submit(through, world.newest().version);
        world.padding = 0;
        assert!(world.run_until(6000.0, |world| world.took(call).is_some()));
        assert!(
            matches!(world.outcome(call), Some(Ok(_))),
            "{:?}",
            world.outcome(call)
        );
    }
}

fn is_in_line(world: &World, machine: usize) -> bool {
    let replica = world.nodes[machine].replica.as_ref().unwrap();
    let chain = &world.checks.newest_view().unwrap().chain;
    chain.contains(replica.member()) && replica.is_caught_up()
}

/// The member at `away` misses a thousand changes and comes back with its old log.
fn comes_back(world: &mut World, away: usize) {
    world.kill(away);
    world.run(2500.0);
    change(world, CHANGES);
    world.start(away, false);
}

/// Plays until the member is in line, with a change and a read at it now and then; how long that took. An answer from old
/// state would be refused by the checks of the world.
fn until_in_line(world: &mut World, away: usize, within: Time) -> Time {
    let began = world.now;
    let mut reads = Vec::new();
    while !is_in_line(world, away) {
        let replica = world.nodes[away].replica.as_ref().unwrap();
        assert!(
            replica.machine().applied >= MISSED || !replica.is_caught_up(),
            "it passes for caught up"
        );
        let head = world.checks.newest_view().unwrap().chain[0].address.clone();
        assert_ne!(head, world.nodes[away].address, "it leads");
        reads.push(world.read(away));
        world.submit((away + 1) % 3, world.newest().version);
        world.run(20.0);
        assert!(world.now < began + within, "not in line after {within} ms");
    }
    let took = world.now - began;
    world.run(5000.0);
    assert!(reads.iter().all(|read| world.took(*read).is_some()));
    println!("machine {away}: in line after {took:.0} ms");
    took
}

#[test]
fn a_member_that_missed_a_thousand_changes_is_in_line_soon_wherever_it_stood() {
    for away in 0..3 {
        let mut world = world(41);
        comes_back(&mut world, away);
        until_in_line(&mut world, away, IN_LINE);
    }
}

#[test]
fn slow_disks_everywhere_don_t_keep_it_out() {
    for away in 0..3 {
        let mut world = world(42);
        comes_back(&mut world, away);
        (0..3).for_each(|machine| world.set_disk(machine, SLOW));
        until_in_line(&mut world, away, IN_LINE);
    }
}

#[test]
fn a_disk_that_stalls_keeps_it_out_for_as_long_as_it_stalls() {
    for away in 0..3 {
        let mut world = world(43);
        comes_back(&mut world, away);
        world.set_disk(away, DiskMode::Stalled);
        world.run(4000.0);
        assert!(!is_in_line(&world, away));
        world.set_disk(away, DiskMode::Well);
        until_in_line(&mut world, away, IN_LINE);
    }
}

#[test]
fn a_disk_that_is_full_keeps_it_out_for_as_long_as_it_is_full() {
    for away in 0..3 {
        let mut world = world(44);
        comes_back(&mut world, away);
        world.set_disk(away, DiskMode::Full);
        world.run(4000.0);
        assert!(!is_in_line(&world, away));
        change(&mut world, 5);
        world.set_disk(away, DiskMode::Well);
        until_in_line(&mut world, away, IN_LINE);
    }
}

/// The disk it learns from stalls, fills or is slow; with two left and one loss to be borne, changes wait for that disk, and
/// the state does not.
#[test]
fn troubles_of_another_disk_don_t_keep_it_out_for_longer() {
    for (mode, away) in [
        (DiskMode::Stalled, 2),
        (DiskMode::Full, 2),
        (SLOW, 2),
        (DiskMode::Stalled, 0),
    ] {
        let mut world = world(45);
        comes_back(&mut world, away);
        let other = (away + 1) % 3;
        world.set_disk(other, mode);
        world.run(2000.0);
        world.set_disk(other, DiskMode::Well);
        until_in_line(&mut world, away, IN_LINE);
        assert!(
            world.run_until(10_000.0, World::is_whole),
            "{mode:?}: all are in line again"
        );
    }
}

/// It is killed, loses power or loses its disk while its own log is rewritten, over and over.
#[test]
fn killed_again_while_it_catches_up_it_is_in_line_all_the_same() {
    for step in 1..12 {
        let mut world = world(46);
        world.set_disk(2, SLOW);
        comes_back(&mut world, 2);
        world.run(f64::from(step) * 40.0);
        match step % 3 {
            0 => world.kill(2),
            1 => world.lose_power(2),
            _ => world.wipe(2),
        }
        world.run(100.0);
        world.start(2, false);
        until_in_line(&mut world, 2, IN_LINE);
        world.checks.nothing_lost(&world.newest());
    }
}
