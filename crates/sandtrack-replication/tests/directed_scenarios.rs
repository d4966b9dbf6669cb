//! Guards of the replica that no random run reaches by itself: each test falls when its guard is taken out (`.ci/mutations.list`).
mod simulation;

use sandtrack_replication::{CallError, Member, View};
use simulation::{DiskMode, Simulation};

fn settled(seeds: usize, observers: usize, tolerated_machine_losses: usize) -> Simulation {
    Simulation::settled(3, seeds, observers, tolerated_machine_losses)
}

/// A chain that can't commit takes no command into its log: there it would wait for the chain to grow, and come into force
/// long after its caller was told that it surely is not.
#[test]
fn a_chain_that_is_too_short_takes_no_command() {
    let mut simulation = Simulation::new(3, 1, 0, 1);
    simulation.start_all(true);
    simulation.run(2000.0);
    let call = simulation.submit(0, 0);
    simulation.run(6000.0);
    assert_eq!(
        simulation.outcome(call),
        Some(Err(CallError::NoMajority)),
        "surely not in force"
    );
    let joiner = simulation.add(true);
    simulation.start(joiner, false);
    simulation.run(3000.0);
    assert_eq!(simulation.checks.newest_view().unwrap().chain.len(), 2);
    assert_eq!(simulation.newest().version, 0, "nor ever after");
    let call = simulation.submit(0, 0);
    simulation.run(500.0);
    assert!(matches!(simulation.outcome(call), Some(Ok(_))));
}

/// The second machine is cut off, and the head writes something that does not end.
fn parted_with_a_stalled_head() -> Simulation {
    let mut simulation = settled(3, 0, 1);
    simulation.cut(&[1], &[0, 2]);
    simulation.set_disk(0, DiskMode::Stalled);
    simulation.submit(0, 0);
    simulation
}

/// All is well again; gives how many commands came into force.
fn applied_after_recovery(simulation: &mut Simulation) -> u64 {
    simulation.hold.clear();
    simulation.heal();
    simulation.run(6000.0);
    simulation.newest().applied
}

/// The head's own call was given up before it came into a write: its caller was told that it surely is not in force.
#[test]
fn a_call_of_the_head_that_was_answered_meanwhile_is_not_run() {
    let mut simulation = parted_with_a_stalled_head();
    simulation.cut(&[0], &[2]);
    let call = simulation.submit(0, 0);
    simulation.run(4300.0);
    assert_eq!(simulation.outcome(call), Some(Err(CallError::NoMajority)));
    simulation.set_disk(0, DiskMode::Well);
    simulation.run(50.0);
    assert_eq!(
        applied_after_recovery(&mut simulation),
        1,
        "only what was being written"
    );
}

#[test]
fn a_command_that_the_head_could_not_write_for_long_is_dropped() {
    let mut simulation = parted_with_a_stalled_head();
    let call = simulation.submit(2, 0);
    simulation.run(5.0);
    simulation.cut(&[0], &[2]);
    simulation.run(5000.0);
    assert_eq!(simulation.outcome(call), Some(Err(CallError::TimedOut)));
    simulation.set_disk(0, DiskMode::Well);
    simulation.run(50.0);
    assert_eq!(
        applied_after_recovery(&mut simulation),
        1,
        "only what was being written"
    );
}

/// A process that was frozen finds another view when it wakes. It does not take up what it gave up long ago.
#[test]
fn a_call_that_was_given_up_is_not_sent_again() {
    let mut simulation = settled(3, 0, 1);
    simulation.hold = ["m3 -> m1: e1 submit", "m3 -> m2: e1 submit"]
        .map(str::to_string)
        .to_vec();
    simulation.submit(2, 0);
    simulation.freeze(2);
    simulation.run(6000.0);
    assert_eq!(simulation.checks.newest_view().unwrap().epoch, 2);
    simulation.hold.clear();
    simulation.thaw(2);
    assert_eq!(applied_after_recovery(&mut simulation), 0);
}

/// Two machines of three: no other head can take a command that the one has no room for.
fn of_three_two_are_left(observers: usize) -> Simulation {
    let mut simulation = settled(3, observers, 1);
    simulation.kill(1);
    simulation.run(2500.0);
    let view = simulation.checks.newest_view().unwrap();
    assert_eq!(
        view.chain
            .iter()
            .map(|member| member.address.as_str())
            .collect::<Vec<_>>(),
        ["m1", "m3"]
    );
    simulation
}

/// Its caller was told that it surely is not in force.
#[test]
fn a_late_copy_of_a_command_that_was_refused_is_not_run() {
    let mut simulation = of_three_two_are_left(0);
    simulation.set_disk(0, DiskMode::Full);
    simulation.hold = vec!["m3 -> m1: e2 submit".to_string()];
    let call = simulation.submit(2, 0);
    simulation.run(5.0);
    assert!(simulation.release("m3 -> m1: e2 submit"));
    simulation.run(5000.0);
    assert_eq!(simulation.outcome(call), Some(Err(CallError::Full)));
    simulation.set_disk(0, DiskMode::Well);
    simulation.run(1000.0);
    assert!(simulation.release("m3 -> m1: e2 submit"));
    assert_eq!(applied_after_recovery(&mut simulation), 0);
}

/// Guards against a refusal of one send that is taken for that of a later one: the head that had no room for the command
/// starts again with room, and knows nothing of what it refused. Its caller was told that the command surely is not in force.
#[test]
fn a_refusal_of_an_earlier_send_does_not_refuse_a_later_one() {
    let mut simulation = of_three_two_are_left(0);
    simulation.set_disk(0, DiskMode::Full);
    let call = simulation.submit(2, 0);
    simulation.run(50.0);
    simulation.kill(0);
    simulation.set_disk(0, DiskMode::Well);
    simulation.start(0, false);
    simulation.hold = vec!["m1 -> m3: e2 outcome".to_string()];
    simulation.run(5000.0);
    assert_eq!(simulation.outcome(call), Some(Err(CallError::TimedOut)));
    assert_eq!(applied_after_recovery(&mut simulation), 1);
}

/// Whom the other process gave it to is not known here.
#[test]
fn a_call_that_another_passed_on_is_never_definitely_not_applied() {
    let mut simulation = of_three_two_are_left(1);
    simulation.set_disk(0, DiskMode::Full);
    let call = simulation.submit(3, 0);
    simulation.run(5000.0);
    assert_eq!(simulation.outcome(call), Some(Err(CallError::TimedOut)));
}

/// One head refused it, the next one has it still under way.
#[test]
fn a_call_that_one_head_refused_and_another_may_run_is_not_definitely_not_applied() {
    let mut simulation = settled(3, 0, 1);
    simulation.cut(&[0], &[2]);
    simulation.run(1500.0); // nobody else is there who could pass it on
    assert_eq!(simulation.checks.views(), 1);
    simulation.hold = vec!["m1 -> m2: e1 submit".to_string()];
    simulation.set_disk(0, DiskMode::Full);
    let call = simulation.submit(0, 0);
    simulation.run(5000.0);
    assert!(
        simulation.logged("held back: m1 -> m2: e1 submit"),
        "the next head is given it"
    );
    assert_eq!(simulation.outcome(call), Some(Err(CallError::TimedOut)));
}

/// The new head has it from the former chain. Were its answer given before the others of its own chain have it, one more
/// loss would take what was just acknowledged.
#[test]
fn a_call_is_answered_once_all_of_the_present_chain_have_it() {
    let mut simulation = settled(3, 1, 1);
    simulation.kill(2);
    simulation.run(2500.0);
    simulation.hold = [
        "m2 -> m1: e2 ack",
        "m2 -> m1: e2 status",
        "m2 -> m3: e4 in line",
    ]
    .map(str::to_string)
    .to_vec();
    let call = simulation.submit(3, 0);
    simulation.run(50.0);
    assert!(
        simulation.logged("m2 applied 1") && simulation.outcome(call).is_none(),
        "committed, and the head does not know"
    );
    simulation.kill(0);
    simulation.start(2, false);
    assert!(simulation.run_until(3000.0, |simulation| simulation
        .logged("held back: m2 -> m3: e4 in line")));
    simulation.run(500.0);
    assert!(
        simulation.logged("m4 -> m2: e4 submit"),
        "the caller's process asks the new head"
    );
    assert_eq!(simulation.outcome(call), None);
    simulation.hold.clear();
    simulation.run(500.0);
    assert_eq!(simulation.outcome(call), Some(Ok("won 1".to_string())));
}

fn addresses(members: &[Member]) -> Vec<&str> {
    members
        .iter()
        .map(|member| member.address.as_str())
        .collect()
}

fn newest_view(simulation: &Simulation) -> View {
    simulation.checks.newest_view().unwrap().clone()
}

/// The vote of a machine that is gone passes to another that is ready: then one more may go.
#[test]
fn a_voter_that_is_silent_for_long_is_replaced() {
    let mut simulation = settled(4, 0, 1);
    simulation.kill(2);
    simulation.run(6000.0);
    assert_eq!(
        addresses(&newest_view(&simulation).voters),
        ["m1", "m2", "m4"]
    );
    simulation.kill(0);
    simulation.run(4000.0);
    let call = simulation.submit(1, 0);
    simulation.run(500.0);
    assert!(matches!(simulation.outcome(call), Some(Ok(_))));
}

/// One that is cut off from a single other process keeps its vote, also where that one is who proposes.
#[test]
fn a_voter_that_others_hear_is_not_replaced() {
    let mut simulation = settled(4, 0, 1);
    simulation.kill(2);
    simulation.run(1500.0);
    assert_eq!(
        addresses(&newest_view(&simulation).chain),
        ["m1", "m2", "m4"]
    );
    simulation.start(2, false);
    simulation.cut(&[0], &[2]);
    simulation.run(8000.0);
    assert_eq!(
        addresses(&newest_view(&simulation).voters),
        ["m1", "m2", "m3"]
    );
}

/// The new identity takes the vote of its former one, not that of a machine that has been away for longer and comes back.
#[test]
fn a_wiped_voter_takes_its_own_place() {
    let mut simulation = settled(5, 0, 2);
    assert_eq!(newest_view(&simulation).voters.len(), 5);
    simulation.kill(3);
    simulation.run(5000.0);
    simulation.wipe(2);
    simulation.start(2, false);
    simulation.run(2000.0);
    let voters = newest_view(&simulation).voters;
    assert!(
        voters.contains(simulation.nodes[2].member.as_ref().unwrap()),
        "{voters:?}"
    );
    let mut once = addresses(&voters);
    once.sort_unstable();
    assert_eq!(once, ["m1", "m2", "m3", "m4", "m5"]);
}

/// Two of the first three are in one zone, whose loss would take the majority.
#[test]
fn a_voter_that_shares_its_zone_makes_place_for_one_of_another() {
    let mut simulation = Simulation::new(3, 4, 0, 1);
    simulation.tolerated_zone_losses = 1;
    for (machine, zone) in ["a", "a", "b", "c"].into_iter().enumerate() {
        simulation.nodes[machine].zone = zone.to_string();
    }
    simulation.start_all(true);
    simulation.run(6000.0);
    let mut voters = newest_view(&simulation).voter_zones;
    voters.sort_unstable();
    assert_eq!(voters, ["a", "b", "c"]);
}

/// All of a zone is gone. Its vote waits for it: with two of another zone, that one's loss would take the majority.
#[test]
fn no_voter_comes_by_whom_a_zone_would_take_the_majority() {
    let mut simulation = Simulation::new(3, 6, 0, 1);
    simulation.tolerated_zone_losses = 1;
    simulation.start_all(true);
    simulation.run(4000.0);
    simulation.kill(1);
    simulation.kill(4);
    simulation.run(8000.0);
    let view = newest_view(&simulation);
    assert!(
        !addresses(&view.chain).contains(&"m2") && view.chain.len() == 3,
        "{view}"
    );
    assert_eq!(addresses(&view.voters), ["m1", "m2", "m3"]);
}

/// An observer that lost one lot and got the next waits for the first.
#[test]
fn what_an_observer_applies_follows_the_state_without_a_gap() {
    let mut simulation = settled(3, 1, 1);
    simulation.hold = [
        "m1 -> m4: e1 learn",
        "m2 -> m4: e1 learn",
        "m3 -> m4: e1 learn",
    ]
    .map(str::to_string)
    .to_vec();
    simulation.submit(0, 0);
    simulation.run(20.0);
    assert!(simulation.logged("m4: e1 learn: 1@1"));
    simulation.hold.clear();
    simulation.submit(0, 1);
    simulation.run(2000.0);
    assert_eq!(
        simulation.nodes[3]
            .replica
            .as_ref()
            .unwrap()
            .machine()
            .applied,
        2
    );
}

/// The first machine has an entry that was never committed, and learns another one in its place; its disk takes nothing.
fn with_a_divergent_log() -> Simulation {
    let mut simulation = settled(3, 0, 1);
    simulation.cut(&[0], &[1, 2]);
    simulation.submit(0, 0);
    simulation.run(4500.0); // its caller is told that it is not known
    let call = simulation.submit(1, 0);
    simulation.run(100.0);
    assert!(matches!(simulation.outcome(call), Some(Ok(_))));
    simulation.heal();
    assert!(simulation.run_until(3000.0, |simulation| simulation.logged("-> m1: e2 prepare")));
    simulation.set_disk(0, DiskMode::Full); // so that it is not taken in
    simulation.run(2000.0);
    assert_eq!(newest_view(&simulation).epoch, 2);
    let replica = simulation.nodes[0].replica.as_ref().unwrap();
    assert_eq!((replica.machine().applied, replica.applied_epoch()), (1, 2));
    simulation
}

/// What it learned is not in its log: there the number belongs to the entry that was never committed.
#[test]
fn a_divergent_entry_is_never_marked_as_committed() {
    let mut simulation = with_a_divergent_log();
    simulation.cut(&[0], &[1, 2]);
    simulation.set_disk(0, DiskMode::Well);
    simulation.run(600.0); // it tries its disk
    simulation.kill(0);
    simulation.start(0, false);
    let replica = simulation.nodes[0].replica.as_ref().unwrap();
    assert_eq!(
        replica.machine().applied,
        0,
        "a lone machine shows what was surely committed"
    );
    simulation.heal();
    simulation.run(4000.0);
    assert!(simulation.is_fully_replicated());
}

/// Its log is no source for others before it is in sync.
#[test]
fn a_divergent_log_sends_no_committed_entries() {
    let mut simulation = with_a_divergent_log();
    simulation.hold = vec!["m3 -> m1: e3 in line".to_string()];
    simulation.set_disk(0, DiskMode::Well);
    assert!(simulation.run_until(3000.0, |simulation| simulation
        .logged("held back: m3 -> m1: e3 in line")));
    // Each picks a member of the chain by its address: one of three picks the first machine.
    let observers: Vec<usize> = (0..3).map(|_| simulation.add(false)).collect();
    observers
        .iter()
        .for_each(|observer| simulation.start(*observer, false));
    simulation.run(1500.0);
    assert!(simulation.logged("learns from m1"));
    let applied = |observer: &usize| {
        simulation.nodes[*observer]
            .replica
            .as_ref()
            .unwrap()
            .machine()
            .applied
    };
    assert_eq!(observers.iter().map(applied).collect::<Vec<_>>(), [1, 1, 1]);
}

/// A member whose disk stalls was asked for a promise in the first epoch, under a ballot whose name the third epoch has as
/// well. By then it is no voter. Two guards hold this, and either one is enough: what was wanted in an earlier epoch is
/// dropped, and a proposer counts voters alone.
#[test]
fn a_promise_wanted_in_an_earlier_epoch_counts_for_nothing() {
    let mut simulation = settled(4, 0, 1);
    simulation.set_disk(2, DiskMode::Stalled);
    simulation.submit(0, 0);
    assert!(simulation.run_until(3000.0, |simulation| simulation
        .logged("m1 -> m3: e1 prepare 1 of m1/0")));
    simulation.run(5.0);
    simulation.cut(&[2], &[0, 1, 3]);
    simulation.run(6000.0);
    let view = newest_view(&simulation);
    assert_eq!(
        (view.epoch, addresses(&view.voters)),
        (3, vec!["m1", "m2", "m4"])
    );
    simulation.heal();
    simulation.run(1000.0);
    assert!(simulation.logged("m3 knows view 3"));
    simulation.hold = vec!["m4 -> m1: e3 promise".to_string()];
    simulation.kill(1);
    assert!(simulation.run_until(3000.0, |simulation| simulation
        .logged("held back: m4 -> m1: e3 promise 1 of m1/0")));
    simulation.set_disk(2, DiskMode::Well);
    simulation.run(100.0);
    assert!(
        !simulation.logged("m1 -> m4: e3 accept"),
        "one voter of three has promised"
    );
    simulation.hold.clear();
    simulation.run(3000.0);
    let call = simulation.submit(0, simulation.newest().version);
    simulation.run(500.0);
    assert!(matches!(simulation.outcome(call), Some(Ok(_))));
}

/// An entry that was never committed, and nothing in its place: what the next head enters has the same number.
#[test]
fn an_end_that_the_predecessor_does_not_hold_is_cut() {
    let mut simulation = settled(3, 0, 1);
    simulation.cut(&[0], &[1, 2]);
    simulation.submit(0, 0);
    simulation.run(4500.0); // its caller is told that it is not known
    simulation.heal();
    simulation.run(2000.0);
    assert!(simulation.is_fully_replicated());
    let call = simulation.submit(1, 0);
    simulation.run(500.0);
    assert_eq!(simulation.outcome(call), Some(Ok("won 1".to_string())));
    let states = [0, 1, 2].map(|machine| {
        simulation.nodes[machine]
            .replica
            .as_ref()
            .unwrap()
            .machine()
            .clone()
    });
    assert!(states.iter().all(|state| *state == states[0]), "{states:?}");
}

/// A machine that was alone, started again under settings by which that is not enough: what it acknowledged stands on its
/// disk, but its process does not know that it was committed.
fn alone_under_stricter_settings() -> Simulation {
    let mut simulation = Simulation::new(3, 1, 0, 0);
    simulation.start_all(true);
    simulation.run(2000.0);
    let call = simulation.submit(0, 0);
    assert!(simulation.run_until(100.0, |simulation| simulation.outcome(call).is_some()));
    simulation.kill(0);
    simulation.tolerated_machine_losses = 1;
    simulation.start(0, false);
    simulation
}

#[test]
fn a_chain_that_is_too_short_commits_nothing() {
    let mut simulation = alone_under_stricter_settings();
    simulation.run(3000.0);
    assert_eq!(
        simulation.nodes[0]
            .replica
            .as_ref()
            .unwrap()
            .machine()
            .applied,
        0
    );
    let joiner = simulation.add(true);
    simulation.start(joiner, false);
    simulation.run(3000.0);
    assert_eq!(
        simulation.nodes[0]
            .replica
            .as_ref()
            .unwrap()
            .machine()
            .applied,
        1
    );
}

#[test]
fn a_tail_that_holds_what_it_does_not_know_as_committed_answers_no_read() {
    let mut simulation = alone_under_stricter_settings();
    let read = simulation.read(0);
    simulation.run(5000.0);
    assert!(
        matches!(simulation.outcome(read), Some(Err(_))),
        "{:?}",
        simulation.outcome(read)
    );
}

/// A copy of a command comes when its entry has gone from the log, by a rewrite.
#[test]
fn a_command_that_went_from_the_log_is_known_again() {
    let mut simulation = settled(3, 0, 1);
    simulation.log = None;
    let change = |simulation: &mut Simulation, count: usize| {
        for _ in 0..count {
            simulation.submit(0, simulation.newest().version);
            simulation.run(12.0);
        }
    };
    change(&mut simulation, 450);
    simulation.hold = vec!["m3 -> m1: e1 submit".to_string()];
    let call = simulation.submit(2, simulation.newest().version);
    simulation.run(5.0);
    assert!(simulation.release("m3 -> m1: e1 submit"));
    simulation.run(50.0);
    assert!(matches!(simulation.outcome(call), Some(Ok(_))));
    change(&mut simulation, 150);
    assert!(
        simulation.nodes[0].disk.len() < 400,
        "the log was rewritten"
    );
    assert!(simulation.release("m3 -> m1: e1 submit"));
    simulation.run(500.0);
    assert_eq!(simulation.newest().applied, 601);
}

/// The third one is in the chain, but not in sync: with the second one alone there would be one copy.
#[test]
fn a_leaver_waits_for_a_member_that_is_not_in_sync() {
    let mut simulation = settled(3, 0, 1);
    simulation.kill(2);
    simulation.run(2500.0);
    simulation.hold = vec!["m2 -> m3: e3 in line".to_string()];
    simulation.start(2, false);
    assert!(simulation.run_until(3000.0, |simulation| simulation
        .logged("held back: m2 -> m3: e3 in line")));
    simulation.request_shutdown(0);
    simulation.run(1000.0);
    assert!(simulation.is_needed(0));
    simulation.hold.clear();
    simulation.run(1000.0);
    assert!(!simulation.is_needed(0));
}

/// Bytes of a change of which four make a log long enough to be rewritten.
const LARGE: usize = 300 * 1024;

/// The first machine rewrites its log, and starts again with what it finds.
fn rewrite_and_start_again(simulation: &mut Simulation) {
    simulation.command_padding = LARGE;
    for _ in 0..4 {
        simulation.submit(0, 0);
        simulation.run(5.0);
    }
    simulation.run(20.0);
    simulation.kill(0);
    simulation.start(0, false);
}

/// The second machine decides with the first one, and is cut off before anyone hears of it.
#[test]
fn a_rewritten_log_keeps_what_was_accepted() {
    let mut simulation = settled(3, 0, 1);
    simulation.cut(&[2], &[0, 1]);
    simulation.hold = vec!["m2 -> m1: e1 new view".to_string()];
    assert!(simulation.run_until(3000.0, |simulation| simulation.logged("m2 knows view 2")));
    simulation.cut(&[1], &[0]);
    rewrite_and_start_again(&mut simulation);
    simulation.run(1500.0);
    simulation.heal();
    simulation.cut(&[1], &[0, 2]);
    // The checks of the simulation refuse another view 2.
    assert!(simulation.run_until(8000.0, |simulation| simulation.logged("m1 knows view 2")));
}

const LOWER: &str = "1 of m2/0";
const HIGHER: &str = "1 of m3/0";

/// The second and the third machine don't hear each other, and each proposes to go on with the first one alone: the second
/// one under the lower ballot.
fn two_proposers(hold: &[&str]) -> Simulation {
    let mut simulation = settled(3, 0, 1);
    simulation.cut(&[1], &[2]);
    simulation.hold = hold.iter().map(|begin| format!("{begin} 1 of m")).collect();
    simulation
}

fn wait_for(simulation: &mut Simulation, words: &str) {
    assert!(
        simulation.run_until(3000.0, |simulation| simulation.logged(words)),
        "`{words}` was never said"
    );
}

/// The third machine is promised the first one's vote, then what the second one asks of it arrives. Nobody hears of what
/// the second one decides: the first one still takes part in the same epoch. Two views of it would be refused by the checks of
/// the simulation.
fn the_lower_ballot_decides_nothing(simulation: &mut Simulation, asked: &str) {
    assert!(simulation.release(&format!("m2 -> m1: e1 {asked} {LOWER}")));
    simulation.set_disk(0, DiskMode::Well);
    simulation.hold = vec!["m2 -> m1:".to_string(), "m3 -> m1: e1 accept".to_string()];
    simulation.run(20.0);
    if asked == "prepare" {
        simulation.release(&format!("m2 -> m1: e1 accept {LOWER}"));
        simulation.run(20.0);
    }
    assert!(simulation.release(&format!("m3 -> m1: e1 accept {HIGHER}")));
    simulation.run(20.0);
    assert!(simulation.logged("m3 knows view 2") && !simulation.logged("m2 knows view 2"));
}

#[test]
fn a_rewritten_log_keeps_the_promise() {
    let mut simulation = two_proposers(&["m2 -> m1: e1 accept", "m3 -> m1: e1 accept"]);
    wait_for(
        &mut simulation,
        &format!("held back: m3 -> m1: e1 accept {HIGHER}"),
    );
    rewrite_and_start_again(&mut simulation);
    the_lower_ballot_decides_nothing(&mut simulation, "accept");
}

/// The promise of the higher ballot is being written as the lower one is to be accepted.
#[test]
fn what_was_promised_meanwhile_is_not_accepted_under_a_lower_ballot() {
    let mut simulation = two_proposers(&["m2 -> m1: e1 accept", "m3 -> m1: e1 accept"]);
    wait_for(
        &mut simulation,
        &format!("held back: m2 -> m1: e1 accept {LOWER}"),
    );
    simulation.set_disk(0, DiskMode::Stalled);
    wait_for(&mut simulation, &format!("m3 -> m1: e1 prepare {HIGHER}"));
    simulation.run(5.0);
    the_lower_ballot_decides_nothing(&mut simulation, "accept");
}

/// The promise of the higher ballot is being written as the lower one asks for one.
#[test]
fn what_was_promised_meanwhile_is_not_promised_to_a_lower_ballot() {
    let mut simulation = two_proposers(&["m2 -> m1: e1 prepare", "m3 -> m1: e1 accept"]);
    wait_for(
        &mut simulation,
        &format!("held back: m2 -> m1: e1 prepare {LOWER}"),
    );
    simulation.set_disk(0, DiskMode::Stalled);
    wait_for(&mut simulation, &format!("m3 -> m1: e1 prepare {HIGHER}"));
    simulation.run(5.0);
    the_lower_ballot_decides_nothing(&mut simulation, "prepare");
}

/// A member with an entry that was never committed comes back, and another one behind it in the chain. Before it is in sync
/// it brings nobody else in sync: the entry would be at the tail, and pass for committed.
#[test]
fn only_one_that_is_in_sync_synchronises_others() {
    let mut simulation = settled(5, 0, 2);
    simulation.cut(&[0], &[1, 2, 3, 4]);
    simulation.submit(0, 0);
    simulation.run(4500.0); // its caller is told that it is not known
    simulation.kill(4);
    simulation.run(3000.0);
    let next = newest_view(&simulation).epoch + 1;
    simulation.hold = vec![format!("m4 -> m1: e{next} in line")];
    simulation.start(4, false);
    simulation.heal();
    simulation.run(2000.0);
    assert_eq!(
        addresses(&newest_view(&simulation).chain),
        ["m2", "m3", "m4", "m1", "m5"]
    );
    assert!(simulation.logged(&format!("m5 -> m1: e{next} align me")));
    simulation.hold.clear();
    simulation.run(1000.0);
    let call = simulation.submit(1, 0);
    simulation.run(500.0);
    assert_eq!(simulation.outcome(call), Some(Ok("won 1".to_string())));
}

/// Of the chain one member is lost, one can't get in sync for so long that the others go on without it, and the last one
/// has never been in sync: nobody who is left in the chain has all that was acknowledged.
fn only_an_incomplete_member_stays() -> Simulation {
    let mut simulation = settled(4, 0, 1);
    let call = simulation.submit(0, 0);
    simulation.run(100.0);
    assert!(matches!(simulation.outcome(call), Some(Ok(_))));
    simulation.network.lost_words = Some((1, "in line after"));
    simulation.hold = vec!["m2 -> m4: e2 in line".to_string()];
    simulation.kill(2);
    assert!(simulation.run_until(3000.0, |simulation| simulation.logged("m1 knows view 2")));
    assert_eq!(
        addresses(&newest_view(&simulation).chain),
        ["m1", "m2", "m4"]
    );
    simulation.run(500.0);
    simulation.start(2, false); // a voter outside the chain, which keeps its vote
    simulation.run(1400.0);
    simulation.kill(2);
    simulation.run(900.0);
    simulation.kill(0);
    simulation.run(1100.0);
    assert!(simulation.logged("m2 -> m4: e2 status aligned 1 synced 1 applied 1, catching up"));
    simulation.start(2, false); // from here a majority of the voters is there
    simulation
}

#[test]
fn an_incomplete_member_does_not_lead() {
    let mut simulation = only_an_incomplete_member_stays();
    simulation.run(4000.0);
    assert_ne!(addresses(&newest_view(&simulation).chain)[0], "m4");
    simulation.network.lost_words = None;
    simulation.hold.clear();
    simulation.run(12_000.0);
    let call = simulation.submit(1, simulation.newest().version);
    simulation.run(500.0);
    assert!(
        matches!(simulation.outcome(call), Some(Ok(_))),
        "the one that has all of it leads"
    );
    simulation.checks.check_nothing_lost(&simulation.newest());
}

/// The second line behind it: a head that is not complete is not in sync, so it neither answers nor confirms.
#[test]
fn an_incomplete_head_confirms_nothing() {
    let mut simulation = only_an_incomplete_member_stays();
    let mut calls = Vec::new();
    for _ in 0..8 {
        calls.push(simulation.read(3)); // the checks of the simulation refuse an old answer
        calls.push(simulation.submit(3, 0));
        simulation.run(500.0);
    }
    assert!(calls
        .iter()
        .all(|call| !matches!(simulation.outcome(*call), Some(Ok(_)))));
}

/// A voter outside the chain is told to stop as another voter is lost: without it there is no majority, so nobody could go
/// on. Its vote passes to another process first.
#[test]
fn a_voter_stays_while_the_majority_needs_it() {
    let mut simulation = settled(4, 0, 1);
    simulation.kill(2);
    simulation.run(1500.0);
    simulation.start(2, false);
    simulation.run(1500.0);
    let view = newest_view(&simulation);
    assert_eq!(
        (addresses(&view.chain), addresses(&view.voters)),
        (vec!["m1", "m2", "m4"], vec!["m1", "m2", "m3"])
    );
    assert!(!simulation.is_needed(2), "a majority is there without it");
    simulation.hold = ["m3 -> m1: e2 promise", "m1 -> m3: e2 promise"]
        .map(str::to_string)
        .to_vec();
    simulation.kill(1);
    simulation.request_shutdown(2);
    simulation.run(1500.0);
    assert!(simulation.is_needed(2));
    simulation.hold.clear();
    simulation.run(2000.0);
    assert!(!simulation.is_needed(2));
    assert_eq!(
        addresses(&newest_view(&simulation).voters),
        ["m1", "m2", "m4"]
    );
}
