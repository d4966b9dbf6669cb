//! A member that was away for a thousand changes, small ones and such of 40 KB, with its log rewritten meanwhile and on
//! disks that are slow, stall or fill: it is in sync within a stated time, and before that it neither leads nor answers.
mod simulation;

use simulation::{DiskMode, Simulation, Time};

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
/// Milliseconds until a member is in sync whose disk works, however slowly.
const IN_LINE: Time = 3000.0;

fn simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, 3, 0, 1);
    simulation.state_padding = STATE;
    simulation.disk_speed = Some(DISK);
    simulation.start_all(true);
    simulation.run(2000.0);
    change(&mut simulation, BEFORE);
    simulation
}

/// Changes one after the other, each acknowledged, one in four of them long.
fn change(simulation: &mut Simulation, count: usize) {
    let through = simulation.running()[0];
    for number in 0..count {
        simulation.command_padding = if number % LONG_EACH == 0 { LONG } else { 0 };
        let call = simulation.submit(through, simulation.newest().version);
        simulation.command_padding = 0;
        assert!(simulation.run_until(6000.0, |simulation| simulation.latency(call).is_some()));
        assert!(
            matches!(simulation.outcome(call), Some(Ok(_))),
            "{:?}",
            simulation.outcome(call)
        );
    }
}

fn is_in_sync(simulation: &Simulation, machine: usize) -> bool {
    let replica = simulation.nodes[machine].replica.as_ref().unwrap();
    let chain = &simulation.checks.newest_view().unwrap().chain;
    chain.contains(replica.member()) && replica.is_caught_up()
}

/// The member at `away` misses a thousand changes and comes back with its old log.
fn restart_after_absence(simulation: &mut Simulation, away: usize) {
    simulation.kill(away);
    simulation.run(2500.0);
    change(simulation, CHANGES);
    simulation.start(away, false);
}

/// Plays until the member is in sync, with a change and a read at it now and then; how long that took. An answer from old
/// state would be refused by the checks of the simulation.
fn time_until_in_sync(simulation: &mut Simulation, away: usize, within: Time) -> Time {
    let began = simulation.now;
    let mut reads = Vec::new();
    while !is_in_sync(simulation, away) {
        let replica = simulation.nodes[away].replica.as_ref().unwrap();
        assert!(
            replica.machine().applied >= MISSED || !replica.is_caught_up(),
            "it passes for caught up"
        );
        let head = simulation.checks.newest_view().unwrap().chain[0]
            .address
            .clone();
        assert_ne!(head, simulation.nodes[away].address, "it leads");
        reads.push(simulation.read(away));
        simulation.submit((away + 1) % 3, simulation.newest().version);
        simulation.run(20.0);
        assert!(
            simulation.now < began + within,
            "not in line after {within} ms"
        );
    }
    let latency = simulation.now - began;
    simulation.run(5000.0);
    assert!(reads.iter().all(|read| simulation.latency(*read).is_some()));
    println!("machine {away}: in line after {latency:.0} ms");
    latency
}

#[test]
fn a_member_that_missed_a_thousand_commands_is_in_sync_soon_wherever_it_stood() {
    for away in 0..3 {
        let mut simulation = simulation(41);
        restart_after_absence(&mut simulation, away);
        time_until_in_sync(&mut simulation, away, IN_LINE);
    }
}

#[test]
fn slow_disks_everywhere_don_t_keep_it_out() {
    for away in 0..3 {
        let mut simulation = simulation(42);
        restart_after_absence(&mut simulation, away);
        (0..3).for_each(|machine| simulation.set_disk(machine, SLOW));
        time_until_in_sync(&mut simulation, away, IN_LINE);
    }
}

#[test]
fn a_disk_that_stalls_keeps_it_out_for_as_long_as_it_stalls() {
    for away in 0..3 {
        let mut simulation = simulation(43);
        restart_after_absence(&mut simulation, away);
        simulation.set_disk(away, DiskMode::Stalled);
        simulation.run(4000.0);
        assert!(!is_in_sync(&simulation, away));
        simulation.set_disk(away, DiskMode::Well);
        time_until_in_sync(&mut simulation, away, IN_LINE);
    }
}

#[test]
fn a_disk_that_is_full_keeps_it_out_for_as_long_as_it_is_full() {
    for away in 0..3 {
        let mut simulation = simulation(44);
        restart_after_absence(&mut simulation, away);
        simulation.set_disk(away, DiskMode::Full);
        simulation.run(4000.0);
        assert!(!is_in_sync(&simulation, away));
        change(&mut simulation, 5);
        simulation.set_disk(away, DiskMode::Well);
        time_until_in_sync(&mut simulation, away, IN_LINE);
    }
}

/// The disk it learns from stalls, fills or is slow; with two left and one loss to be borne, changes wait for that disk, and
/// the state does not.
#[test]
fn faults_of_another_disk_don_t_keep_it_out_for_longer() {
    for (mode, away) in [
        (DiskMode::Stalled, 2),
        (DiskMode::Full, 2),
        (SLOW, 2),
        (DiskMode::Stalled, 0),
    ] {
        let mut simulation = simulation(45);
        restart_after_absence(&mut simulation, away);
        let other = (away + 1) % 3;
        simulation.set_disk(other, mode);
        simulation.run(2000.0);
        simulation.set_disk(other, DiskMode::Well);
        time_until_in_sync(&mut simulation, away, IN_LINE);
        assert!(
            simulation.run_until(10_000.0, Simulation::is_fully_replicated),
            "{mode:?}: all are in line again"
        );
    }
}

/// It is killed, loses power or loses its disk while its own log is rewritten, over and over.
#[test]
fn killed_again_while_it_catches_up_it_is_in_sync_all_the_same() {
    for step in 1..12 {
        let mut simulation = simulation(46);
        simulation.set_disk(2, SLOW);
        restart_after_absence(&mut simulation, 2);
        simulation.run(f64::from(step) * 40.0);
        match step % 3 {
            0 => simulation.kill(2),
            1 => simulation.lose_power(2),
            _ => simulation.wipe(2),
        }
        simulation.run(100.0);
        simulation.start(2, false);
        time_until_in_sync(&mut simulation, 2, IN_LINE);
        simulation.checks.check_nothing_lost(&simulation.newest());
    }
}
