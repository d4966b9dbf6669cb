//! Members that were away while hundreds of changes came, with a large state and slow links: they catch up while changes
//! go on, nobody is suspected for it, and before they have caught up they neither lead nor answer.
mod world;

use world::bandwidth::TEN_MBIT;
use world::{DiskMode, Time, World};

/// Bytes of a large state.
const STATE: usize = 4 << 20;
/// Milliseconds that the state takes on a link of 10 Mbit/s.
const ON_THE_WAY: Time = STATE as f64 / TEN_MBIT;
/// The machine that is away.
const AWAY: usize = 2;

/// Three machines on links of 10 Mbit/s with a large state, of which one was away for so long that the others' logs
/// begin after its end.
fn with_one_away() -> World {
    let mut world = World::new(5, 3, 0, 1);
    world.ballast = STATE;
    for machine in 0..3 {
        world.network.bandwidth.limit(machine, TEN_MBIT);
    }
    world.start_all(true);
    world.run(2000.0);
    change(&mut world, 10);
    world.kill(AWAY);
    world.run(2500.0);
    change(&mut world, 700);
    world
}

/// Changes one after the other, each acknowledged.
fn change(world: &mut World, count: usize) {
    for _ in 0..count {
        let call = world.submit(0, world.newest().version);
        let answered = world.run_until(6000.0, |world| world.took(call).is_some());
        assert!(
            answered && matches!(world.outcome(call), Some(Ok(_))),
            "{:?}",
            world.outcome(call)
        );
    }
}

/// Changes each 20 ms for a span, at the head; how long the slowest took.
fn changes_go_on(world: &mut World, span: Time, done: impl Fn(&World) -> bool) -> (bool, Time) {
    let end = world.now + span;
    let mut calls = Vec::new();
    while world.now < end && !done(world) {
        calls.push(world.submit(0, world.newest().version));
        world.run(20.0);
    }
    let is_done = done(world);
    world.run(2000.0);
    let slowest = calls
        .iter()
        .map(|call| world.took(*call).unwrap_or(Time::INFINITY))
        .fold(0.0, Time::max);
    (is_done, slowest)
}

fn is_in_line(world: &World, machine: usize) -> bool {
    let replica = world.nodes[machine].replica.as_ref().unwrap();
    let chain = &world.checks.newest_view().unwrap().chain;
    chain.contains(replica.member()) && replica.is_caught_up()
}

fn log_of(world: &World, machine: usize) -> usize {
    world.nodes[machine].disk.len()
}

/// Bytes on their way to a machine since the last look.
fn received(world: &mut World, machine: usize) -> usize {
    world
        .network
        .bandwidth
        .received
        .insert(machine, 0)
        .unwrap_or(0)
}

#[test]
fn a_large_state_is_caught_up_with_over_a_slow_link_while_changes_go_on() {
    let mut world = with_one_away();
    assert!(log_of(&world, 0) < 700, "the log was compacted");
    let views = world.checks.views();
    let began = world.now;
    world.start(AWAY, false);
    let (in_line, slowest) = changes_go_on(&mut world, 3.0 * ON_THE_WAY, |world| {
        is_in_line(world, AWAY)
    });
    let took = world.now - 2000.0 - began;
    assert!(in_line, "not in line after {took} ms");
    println!("in line after {took:.0} ms, slowest change {slowest:.0} ms");
    assert!(took < 2.0 * ON_THE_WAY, "in line after {took} ms");
    assert!(slowest < 1000.0, "a change took {slowest} ms");
    assert_eq!(
        world.checks.views(),
        views + 1,
        "nobody is suspected: the only new view takes the joiner in"
    );
}

#[test]
fn a_break_of_the_link_costs_no_more_than_what_was_under_way() {
    let mut world = with_one_away();
    world.start(AWAY, false);
    received(&mut world, AWAY);
    for _ in 0..3 {
        world.run(ON_THE_WAY / 4.0);
        world.cut(&[0, 1], &[AWAY]);
        world.run(700.0);
        world.heal();
    }
    assert!(world.run_until(2.0 * ON_THE_WAY, |world| is_in_line(world, AWAY)));
    let bytes = received(&mut world, AWAY);
    println!("{bytes} bytes");
    assert!(
        bytes < STATE + STATE / 8,
        "{bytes} bytes were sent for a state of {STATE}"
    );
}

#[test]
fn a_transfer_keeps_one_copy_at_each_end_and_none_afterwards() {
    let mut world = with_one_away();
    world.start(AWAY, false);
    let bytes = |world: &World, machine: usize| {
        world.nodes[machine]
            .replica
            .as_ref()
            .unwrap()
            .snapshot_transfer_bytes()
    };
    let mut most = 0;
    let end = world.now + 2.0 * ON_THE_WAY;
    while world.now < end {
        world.run(20.0);
        most = (0..3)
            .map(|machine| bytes(&world, machine))
            .fold(most, usize::max);
    }
    assert!(is_in_line(&world, AWAY));
    assert!((STATE..STATE + STATE / 8).contains(&most), "{most} bytes");
    assert_eq!([0, 1, 2].map(|machine| bytes(&world, machine)), [0; 3]);
}

#[test]
fn a_snapshot_that_does_not_match_its_digest_is_refused_and_fetched_anew() {
    let mut world = with_one_away();
    world.network.flipped_words = Some((AWAY, "bytes from byte 1638400"));
    world.start(AWAY, false);
    let refused = |world: &World| {
        world.nodes[AWAY]
            .replica
            .as_ref()
            .unwrap()
            .snapshots_rejected()
    };
    assert!(world.run_until(2.0 * ON_THE_WAY, |world| refused(world) == 1));
    assert!(!is_in_line(&world, AWAY));
    assert!(
        world.nodes[AWAY]
            .replica
            .as_ref()
            .unwrap()
            .machine()
            .applied
            < 700,
        "nothing of it is taken"
    );
    change(&mut world, 3);
    world.network.flipped_words = None;
    assert!(world.run_until(2.0 * ON_THE_WAY, |world| is_in_line(world, AWAY)));
    assert_eq!(refused(&world), 1);
}

/// A member that gets nowhere does not hold the chain up for ever, nor again and again.
#[test]
fn a_joiner_that_makes_no_progress_is_left_out() {
    let mut world = with_one_away();
    world.network.lost_words = Some((AWAY, "in line after"));
    world.start(AWAY, false);
    let taken_in = |world: &World| world.checks.newest_view().unwrap().chain.len() == 3;
    assert!(
        world.run_until(3.0 * ON_THE_WAY, taken_in),
        "the joiner is taken in"
    );
    assert!(
        world.run_until(5000.0, |world| !taken_in(world)),
        "and left out"
    );
    let (_, slowest) = changes_go_on(&mut world, 5000.0, |_| false);
    assert!(slowest < 1000.0, "a change took {slowest} ms");
    world.network.lost_words = None;
    assert!(
        world.run_until(15_000.0, |world| is_in_line(world, AWAY)),
        "it comes back when it can"
    );
}

/// Three hundred changes of 2 KiB came meanwhile, and the log still holds them.
#[test]
fn a_member_with_an_old_log_neither_leads_nor_answers_before_it_has_caught_up() {
    let mut world = World::new(6, 3, 0, 1);
    world.padding = 2048;
    for machine in 0..3 {
        world.network.bandwidth.limit(machine, TEN_MBIT);
    }
    world.start_all(true);
    world.run(2000.0);
    change(&mut world, 10);
    world.kill(AWAY);
    world.run(2500.0);
    change(&mut world, 300);
    let old = world.nodes[AWAY].disk.len();
    world.start(AWAY, false);
    assert!(old > 0);
    let began = world.now;
    let mut calls = Vec::new();
    while !is_in_line(&world, AWAY) {
        let replica = world.nodes[AWAY].replica.as_ref().unwrap();
        let behind = replica.machine().applied < 310;
        assert!(
            !(behind && replica.is_caught_up()),
            "it does not pass for caught up"
        );
        let view = world.checks.newest_view().unwrap().clone();
        assert_ne!(
            view.chain[0].address, world.nodes[AWAY].address,
            "it does not lead"
        );
        calls.push(world.read(AWAY)); // the checks of the world refuse an old answer
        world.run(5.0);
        assert!(world.now < began + 2000.0, "in line within 2 s");
    }
    world.run(4500.0);
    assert!(calls
        .iter()
        .any(|call| matches!(world.outcome(*call), Some(Ok(_)))));
}

/// The last complete member is away when the others come back with old logs: nobody acknowledges in its place.
#[test]
fn members_with_old_logs_alone_acknowledge_nothing() {
    let mut world = World::new(7, 3, 0, 1);
    world.start_all(true);
    world.run(2000.0);
    world.kill(AWAY);
    world.run(2500.0);
    change(&mut world, 300);
    world.kill(0);
    world.kill(1);
    world.run(1000.0);
    world.start(AWAY, false);
    let calls = [world.submit(AWAY, 0), world.read(AWAY)];
    world.run(6000.0);
    assert!(calls
        .iter()
        .all(|call| matches!(world.outcome(*call), Some(Err(_)))));
    world.start(0, false);
    assert!(world.run_until(4000.0, |world| is_in_line(world, AWAY)));
    assert_eq!(
        world.nodes[AWAY]
            .replica
            .as_ref()
            .unwrap()
            .machine()
            .applied,
        300
    );
    change(&mut world, 1);
}

/// A change of 256 KiB takes 210 ms on each link of 10 Mbit/s; what is still under way is not passed again and again.
#[test]
fn large_changes_one_after_the_other_go_through_slow_links() {
    let mut world = World::new(8, 3, 0, 1);
    world.padding = 256 * 1024;
    for machine in 0..3 {
        world.network.bandwidth.limit(machine, TEN_MBIT);
    }
    world.start_all(true);
    world.run(2000.0);
    let views = world.checks.views();
    received(&mut world, 1);
    let calls: Vec<u64> = (0..5).map(|_| world.submit(0, 0)).collect();
    world.run(6000.0);
    assert!(calls
        .iter()
        .all(|call| matches!(world.outcome(*call), Some(Ok(_)))));
    let bytes = received(&mut world, 1);
    assert!(
        bytes < 6 * 256 * 1024,
        "{bytes} bytes were passed for 5 changes"
    );
    assert_eq!(world.checks.views(), views);
}

/// Of five machines two are away, and a third goes: the chain is too short before one that lacks the state is back. It
/// learns outside the chain, which takes no longer.
#[test]
fn one_that_is_needed_for_any_commit_learns_first_too() {
    let mut world = World::new(9, 5, 0, 2);
    world.ballast = STATE;
    for machine in 0..5 {
        world.network.bandwidth.limit(machine, TEN_MBIT);
    }
    world.start_all(true);
    world.run(2000.0);
    world.kill(3);
    world.kill(4);
    world.run(2500.0);
    change(&mut world, 700);
    world.kill(2);
    world.run(2500.0);
    world.start(3, false);
    let began = world.now;
    assert!(world.run_until(2.0 * ON_THE_WAY, |world| is_in_line(world, 3)));
    let took = world.now - began;
    println!("in line after {took:.0} ms");
    assert!(took < 1.5 * ON_THE_WAY, "in line after {took} ms");
    change(&mut world, 1);
}

/// Milliseconds that an acknowledgement may take.
const ACKNOWLEDGE: Time = 6000.0;
/// Bytes for each millisecond of a disk of 120 MB/s, and the time of a write on one that takes 30 times as long.
const DISK: Time = 120_000.0;
const SLOW: DiskMode = DiskMode::Slow(0.5 * 30.0);

/// 900 changes with some disks slow; each log is rewritten on the way.
fn rewritten_on_slow_disks(state: usize, slow: &[usize]) -> World {
    let mut world = World::new(10, 3, 0, 1);
    world.ballast = state;
    world.disk_speed = Some(DISK);
    world.start_all(true);
    world.run(2000.0);
    for machine in slow {
        world.set_disk(*machine, SLOW);
    }
    let calls: Vec<u64> = (0..900)
        .map(|_| {
            world.run(20.0);
            world.submit(0, world.newest().version)
        })
        .collect();
    world.run(10_000.0);
    assert!(
        (0..3).all(|machine| log_of(&world, machine) < 800),
        "the logs were rewritten"
    );
    let slowest = calls
        .iter()
        .map(|call| world.took(*call).unwrap())
        .fold(0.0, Time::max);
    assert!(
        calls
            .iter()
            .all(|call| matches!(world.outcome(*call), Some(Ok(_)))),
        "slowest {slowest} ms"
    );
    println!("slowest change {slowest:.0} ms");
    assert!(slowest < ACKNOWLEDGE, "a change took {slowest} ms");
    world
}

#[test]
fn a_rewrite_on_slow_disks_holds_changes_up_for_less_than_an_acknowledgement_may_take() {
    let world = rewritten_on_slow_disks(STATE, &[0, 1, 2]);
    assert_eq!(world.checks.views(), 1, "nobody is left out for it");
}

/// A rewrite of 8 MiB takes 2.1 s on such a disk, which is more than the 1.2 s after which a write counts as stalled: the
/// others go on, and the member comes back with what it wrote.
#[test]
fn a_member_whose_rewrite_takes_long_does_not_hold_the_others_up_and_comes_back() {
    for slow in 0..3 {
        let world = rewritten_on_slow_disks(2 * STATE, &[slow]);
        assert!(
            (0..3).all(|machine| is_in_line(&world, machine)),
            "{slow} is back"
        );
    }
}

/// A new machine lacks only some dozen changes by their number, but the log begins after them, and the state is large.
#[test]
fn a_joiner_that_lacks_few_changes_but_the_whole_state_learns_first() {
    let mut world = World::new(11, 3, 0, 1);
    (world.ballast, world.padding) = (STATE, 32 * 1024);
    world.start_all(true);
    world.run(2000.0);
    world.kill(AWAY);
    world.run(2500.0);
    change(&mut world, 36);
    world.padding = 0;
    for machine in 0..3 {
        world.network.bandwidth.limit(machine, TEN_MBIT);
    }
    world.wipe(AWAY);
    world.start(AWAY, false);
    let (in_line, slowest) = changes_go_on(&mut world, 2.0 * ON_THE_WAY, |world| {
        is_in_line(world, AWAY)
    });
    assert!(in_line);
    println!("slowest change {slowest:.0} ms");
    assert!(slowest < 1000.0, "a change took {slowest} ms");
}

/// More changes come during the transfer than a log holds: it is kept, so that one transfer is enough.
#[test]
fn the_log_is_kept_while_a_snapshot_is_on_its_way() {
    let mut world = with_one_away();
    world.start(AWAY, false);
    received(&mut world, AWAY);
    let end = world.now + 2.0 * ON_THE_WAY;
    while world.now < end && !is_in_line(&world, AWAY) {
        world.submit(0, world.newest().version);
        world.run(8.0);
    }
    assert!(is_in_line(&world, AWAY));
    let bytes = received(&mut world, AWAY);
    println!("{bytes} bytes");
    assert!(
        bytes < STATE + STATE / 4,
        "{bytes} bytes were sent for a state of {STATE}"
    );
}
