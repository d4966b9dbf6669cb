//! Members that were away while hundreds of changes came, with a large state and slow links: they catch up while changes
//! go on, nobody is suspected for it, and before they have caught up they neither lead nor answer.
mod simulation;

use simulation::bandwidth::TEN_MBIT;
use simulation::{DiskMode, Simulation, Time};

/// Bytes of a large state.
const STATE: usize = 4 << 20;
/// Milliseconds that the state takes on a link of 10 Mbit/s.
const ON_THE_WAY: Time = STATE as f64 / TEN_MBIT;
/// The machine that is away.
const AWAY: usize = 2;

/// Three machines on links of 10 Mbit/s with a large state, of which one was away for so long that the others' logs
/// begin after its end.
fn with_one_away() -> Simulation {
    let mut simulation = Simulation::new(5, 3, 0, 1);
    simulation.state_padding = STATE;
    for machine in 0..3 {
        simulation.network.bandwidth.limit(machine, TEN_MBIT);
    }
    simulation.start_all(true);
    simulation.run(2000.0);
    change(&mut simulation, 10);
    simulation.kill(AWAY);
    simulation.run(2500.0);
    change(&mut simulation, 700);
    simulation
}

/// Changes one after the other, each acknowledged.
fn change(simulation: &mut Simulation, count: usize) {
    for _ in 0..count {
        let call = simulation.submit(0, simulation.newest().version);
        let answered =
            simulation.run_until(6000.0, |simulation| simulation.latency(call).is_some());
        assert!(
            answered && matches!(simulation.outcome(call), Some(Ok(_))),
            "{:?}",
            simulation.outcome(call)
        );
    }
}

/// Changes each 20 ms for a span, at the head; how long the slowest took.
fn changes_go_on(
    simulation: &mut Simulation,
    span: Time,
    done: impl Fn(&Simulation) -> bool,
) -> (bool, Time) {
    let end = simulation.now + span;
    let mut calls = Vec::new();
    while simulation.now < end && !done(simulation) {
        calls.push(simulation.submit(0, simulation.newest().version));
        simulation.run(20.0);
    }
    let is_done = done(simulation);
    simulation.run(2000.0);
    let slowest = calls
        .iter()
        .map(|call| simulation.latency(*call).unwrap_or(Time::INFINITY))
        .fold(0.0, Time::max);
    (is_done, slowest)
}

fn is_in_sync(simulation: &Simulation, machine: usize) -> bool {
    let replica = simulation.nodes[machine].replica.as_ref().unwrap();
    let chain = &simulation.checks.newest_view().unwrap().chain;
    chain.contains(replica.member()) && replica.is_caught_up()
}

fn log_of(simulation: &Simulation, machine: usize) -> usize {
    simulation.nodes[machine].disk.len()
}

/// Bytes on their way to a machine since the last look.
fn received(simulation: &mut Simulation, machine: usize) -> usize {
    simulation
        .network
        .bandwidth
        .received
        .insert(machine, 0)
        .unwrap_or(0)
}

#[test]
fn a_large_state_is_caught_up_with_over_a_slow_link_while_commands_go_on() {
    let mut simulation = with_one_away();
    assert!(log_of(&simulation, 0) < 700, "the log was compacted");
    let views = simulation.checks.views();
    let began = simulation.now;
    simulation.start(AWAY, false);
    let (is_in_sync, slowest) = changes_go_on(&mut simulation, 3.0 * ON_THE_WAY, |simulation| {
        is_in_sync(simulation, AWAY)
    });
    let latency = simulation.now - 2000.0 - began;
    assert!(is_in_sync, "not in line after {latency} ms");
    println!("in line after {latency:.0} ms, slowest change {slowest:.0} ms");
    assert!(latency < 2.0 * ON_THE_WAY, "in line after {latency} ms");
    assert!(slowest < 1000.0, "a change took {slowest} ms");
    assert_eq!(
        simulation.checks.views(),
        views + 1,
        "nobody is suspected: the only new view takes the joiner in"
    );
}

#[test]
fn a_break_of_the_link_costs_no_more_than_what_was_under_way() {
    let mut simulation = with_one_away();
    simulation.start(AWAY, false);
    received(&mut simulation, AWAY);
    for _ in 0..3 {
        simulation.run(ON_THE_WAY / 4.0);
        simulation.cut(&[0, 1], &[AWAY]);
        simulation.run(700.0);
        simulation.heal();
    }
    assert!(simulation.run_until(2.0 * ON_THE_WAY, |simulation| is_in_sync(simulation, AWAY)));
    let bytes = received(&mut simulation, AWAY);
    println!("{bytes} bytes");
    assert!(
        bytes < STATE + STATE / 8,
        "{bytes} bytes were sent for a state of {STATE}"
    );
}

#[test]
fn a_transfer_keeps_one_copy_at_each_end_and_none_afterwards() {
    let mut simulation = with_one_away();
    simulation.start(AWAY, false);
    let bytes = |simulation: &Simulation, machine: usize| {
        simulation.nodes[machine]
            .replica
            .as_ref()
            .unwrap()
            .snapshot_transfer_bytes()
    };
    let mut most = 0;
    let end = simulation.now + 2.0 * ON_THE_WAY;
    while simulation.now < end {
        simulation.run(20.0);
        most = (0..3)
            .map(|machine| bytes(&simulation, machine))
            .fold(most, usize::max);
    }
    assert!(is_in_sync(&simulation, AWAY));
    assert!((STATE..STATE + STATE / 8).contains(&most), "{most} bytes");
    assert_eq!([0, 1, 2].map(|machine| bytes(&simulation, machine)), [0; 3]);
}

#[test]
fn a_snapshot_that_does_not_match_its_digest_is_refused_and_fetched_anew() {
    let mut simulation = with_one_away();
    simulation.network.flipped_words = Some((AWAY, "bytes from byte 1638400"));
    simulation.start(AWAY, false);
    let refused = |simulation: &Simulation| {
        simulation.nodes[AWAY]
            .replica
            .as_ref()
            .unwrap()
            .snapshots_rejected()
    };
    assert!(simulation.run_until(2.0 * ON_THE_WAY, |simulation| refused(simulation) == 1));
    assert!(!is_in_sync(&simulation, AWAY));
    assert!(
        simulation.nodes[AWAY]
            .replica
            .as_ref()
            .unwrap()
            .machine()
            .applied
            < 700,
        "nothing of it is taken"
    );
    change(&mut simulation, 3);
    simulation.network.flipped_words = None;
    assert!(simulation.run_until(2.0 * ON_THE_WAY, |simulation| is_in_sync(simulation, AWAY)));
    assert_eq!(refused(&simulation), 1);
}

/// A member that gets nowhere does not hold the chain up for ever, nor again and again.
#[test]
fn a_joiner_that_makes_no_progress_is_left_out() {
    let mut simulation = with_one_away();
    simulation.network.lost_words = Some((AWAY, "in line after"));
    simulation.start(AWAY, false);
    let taken_in =
        |simulation: &Simulation| simulation.checks.newest_view().unwrap().chain.len() == 3;
    assert!(
        simulation.run_until(3.0 * ON_THE_WAY, taken_in),
        "the joiner is taken in"
    );
    assert!(
        simulation.run_until(5000.0, |simulation| !taken_in(simulation)),
        "and left out"
    );
    let (_, slowest) = changes_go_on(&mut simulation, 5000.0, |_| false);
    assert!(slowest < 1000.0, "a change took {slowest} ms");
    simulation.network.lost_words = None;
    assert!(
        simulation.run_until(15_000.0, |simulation| is_in_sync(simulation, AWAY)),
        "it comes back when it can"
    );
}

/// Three hundred changes of 2 KiB came meanwhile, and the log still holds them.
#[test]
fn a_member_with_an_old_log_neither_leads_nor_answers_before_it_has_caught_up() {
    let mut simulation = Simulation::new(6, 3, 0, 1);
    simulation.command_padding = 2048;
    for machine in 0..3 {
        simulation.network.bandwidth.limit(machine, TEN_MBIT);
    }
    simulation.start_all(true);
    simulation.run(2000.0);
    change(&mut simulation, 10);
    simulation.kill(AWAY);
    simulation.run(2500.0);
    change(&mut simulation, 300);
    let old = simulation.nodes[AWAY].disk.len();
    simulation.start(AWAY, false);
    assert!(old > 0);
    let began = simulation.now;
    let mut calls = Vec::new();
    while !is_in_sync(&simulation, AWAY) {
        let replica = simulation.nodes[AWAY].replica.as_ref().unwrap();
        let behind = replica.machine().applied < 310;
        assert!(
            !(behind && replica.is_caught_up()),
            "it does not pass for caught up"
        );
        let view = simulation.checks.newest_view().unwrap().clone();
        assert_ne!(
            view.chain[0].address, simulation.nodes[AWAY].address,
            "it does not lead"
        );
        calls.push(simulation.read(AWAY)); // the checks of the simulation refuse an old answer
        simulation.run(5.0);
        assert!(simulation.now < began + 2000.0, "in line within 2 s");
    }
    simulation.run(4500.0);
    assert!(calls
        .iter()
        .any(|call| matches!(simulation.outcome(*call), Some(Ok(_)))));
}

/// The last complete member is away when the others come back with old logs: nobody acknowledges in its place.
#[test]
fn members_with_old_logs_alone_acknowledge_nothing() {
    let mut simulation = Simulation::new(7, 3, 0, 1);
    simulation.start_all(true);
    simulation.run(2000.0);
    simulation.kill(AWAY);
    simulation.run(2500.0);
    change(&mut simulation, 300);
    simulation.kill(0);
    simulation.kill(1);
    simulation.run(1000.0);
    simulation.start(AWAY, false);
    let calls = [simulation.submit(AWAY, 0), simulation.read(AWAY)];
    simulation.run(6000.0);
    assert!(calls
        .iter()
        .all(|call| matches!(simulation.outcome(*call), Some(Err(_)))));
    simulation.start(0, false);
    assert!(simulation.run_until(4000.0, |simulation| is_in_sync(simulation, AWAY)));
    assert_eq!(
        simulation.nodes[AWAY]
            .replica
            .as_ref()
            .unwrap()
            .machine()
            .applied,
        300
    );
    change(&mut simulation, 1);
}

/// A change of 256 KiB takes 210 ms on each link of 10 Mbit/s; what is still under way is not passed again and again.
#[test]
fn large_commands_one_after_the_other_go_through_slow_links() {
    let mut simulation = Simulation::new(8, 3, 0, 1);
    simulation.command_padding = 256 * 1024;
    for machine in 0..3 {
        simulation.network.bandwidth.limit(machine, TEN_MBIT);
    }
    simulation.start_all(true);
    simulation.run(2000.0);
    let views = simulation.checks.views();
    received(&mut simulation, 1);
    let calls: Vec<u64> = (0..5).map(|_| simulation.submit(0, 0)).collect();
    simulation.run(6000.0);
    assert!(calls
        .iter()
        .all(|call| matches!(simulation.outcome(*call), Some(Ok(_)))));
    let bytes = received(&mut simulation, 1);
    assert!(
        bytes < 6 * 256 * 1024,
        "{bytes} bytes were passed for 5 changes"
    );
    assert_eq!(simulation.checks.views(), views);
}

/// Of five machines two are away, and a third goes: the chain is too short before one that lacks the state is back. It
/// learns outside the chain, which takes no longer.
#[test]
fn one_that_is_needed_for_any_commit_catches_up_first_too() {
    let mut simulation = Simulation::new(9, 5, 0, 2);
    simulation.state_padding = STATE;
    for machine in 0..5 {
        simulation.network.bandwidth.limit(machine, TEN_MBIT);
    }
    simulation.start_all(true);
    simulation.run(2000.0);
    simulation.kill(3);
    simulation.kill(4);
    simulation.run(2500.0);
    change(&mut simulation, 700);
    simulation.kill(2);
    simulation.run(2500.0);
    simulation.start(3, false);
    let began = simulation.now;
    assert!(simulation.run_until(2.0 * ON_THE_WAY, |simulation| is_in_sync(simulation, 3)));
    let latency = simulation.now - began;
    println!("in line after {latency:.0} ms");
    assert!(latency < 1.5 * ON_THE_WAY, "in line after {latency} ms");
    change(&mut simulation, 1);
}

/// Milliseconds that an acknowledgement may take.
const ACKNOWLEDGE: Time = 6000.0;
/// Bytes for each millisecond of a disk of 120 MB/s, and the time of a write on one that takes 30 times as long.
const DISK: Time = 120_000.0;
const SLOW: DiskMode = DiskMode::Slow(0.5 * 30.0);

/// 900 changes with some disks slow; each log is rewritten on the way.
fn rewritten_on_slow_disks(state: usize, slow: &[usize]) -> Simulation {
    let mut simulation = Simulation::new(10, 3, 0, 1);
    simulation.state_padding = state;
    simulation.disk_speed = Some(DISK);
    simulation.start_all(true);
    simulation.run(2000.0);
    for machine in slow {
        simulation.set_disk(*machine, SLOW);
    }
    let calls: Vec<u64> = (0..900)
        .map(|_| {
            simulation.run(20.0);
            simulation.submit(0, simulation.newest().version)
        })
        .collect();
    simulation.run(10_000.0);
    assert!(
        (0..3).all(|machine| log_of(&simulation, machine) < 800),
        "the logs were rewritten"
    );
    let slowest = calls
        .iter()
        .map(|call| simulation.latency(*call).unwrap())
        .fold(0.0, Time::max);
    assert!(
        calls
            .iter()
            .all(|call| matches!(simulation.outcome(*call), Some(Ok(_)))),
        "slowest {slowest} ms"
    );
    println!("slowest change {slowest:.0} ms");
    assert!(slowest < ACKNOWLEDGE, "a change took {slowest} ms");
    simulation
}

#[test]
fn a_rewrite_on_slow_disks_holds_commands_up_for_less_than_an_acknowledgement_may_take() {
    let simulation = rewritten_on_slow_disks(STATE, &[0, 1, 2]);
    assert_eq!(simulation.checks.views(), 1, "nobody is left out for it");
}

/// A rewrite of 8 MiB takes 2.1 s on such a disk, which is more than the 1.2 s after which a write counts as stalled: the
/// others go on, and the member comes back with what it wrote.
#[test]
fn a_member_whose_rewrite_takes_long_does_not_hold_the_others_up_and_comes_back() {
    for slow in 0..3 {
        let simulation = rewritten_on_slow_disks(2 * STATE, &[slow]);
        assert!(
            (0..3).all(|machine| is_in_sync(&simulation, machine)),
            "{slow} is back"
        );
    }
}

/// A new machine lacks only some dozen changes by their number, but the log begins after them, and the state is large.
#[test]
fn a_joiner_that_lacks_few_commands_but_the_whole_state_catches_up_first() {
    let mut simulation = Simulation::new(11, 3, 0, 1);
    (simulation.state_padding, simulation.command_padding) = (STATE, 32 * 1024);
    simulation.start_all(true);
    simulation.run(2000.0);
    simulation.kill(AWAY);
    simulation.run(2500.0);
    change(&mut simulation, 36);
    simulation.command_padding = 0;
    for machine in 0..3 {
        simulation.network.bandwidth.limit(machine, TEN_MBIT);
    }
    simulation.wipe(AWAY);
    simulation.start(AWAY, false);
    let (is_in_sync, slowest) = changes_go_on(&mut simulation, 2.0 * ON_THE_WAY, |simulation| {
        is_in_sync(simulation, AWAY)
    });
    assert!(is_in_sync);
    println!("slowest change {slowest:.0} ms");
    assert!(slowest < 1000.0, "a change took {slowest} ms");
}

/// More changes come during the transfer than a log holds: it is kept, so that one transfer is enough.
#[test]
fn the_log_is_kept_while_a_snapshot_is_on_its_way() {
    let mut simulation = with_one_away();
    simulation.start(AWAY, false);
    received(&mut simulation, AWAY);
    let end = simulation.now + 2.0 * ON_THE_WAY;
    while simulation.now < end && !is_in_sync(&simulation, AWAY) {
        simulation.submit(0, simulation.newest().version);
        simulation.run(8.0);
    }
    assert!(is_in_sync(&simulation, AWAY));
    let bytes = received(&mut simulation, AWAY);
    println!("{bytes} bytes");
    assert!(
        bytes < STATE + STATE / 4,
        "{bytes} bytes were sent for a state of {STATE}"
    );
}
