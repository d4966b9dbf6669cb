//! Rare orders of events that were found by the troubled simulations, each by itself.
mod simulation;

use simulation::{DiskMode, Simulation};

fn settled(seeds: usize, observers: usize, tolerated_machine_losses: usize) -> Simulation {
    Simulation::settled(3, seeds, observers, tolerated_machine_losses)
}

/// A member whose disk doesn't take the next view learns what that view committed. It tells so under its old epoch,
/// and a former head with another entry at that number must not take it as an acknowledgement.
#[test]
fn what_an_observer_applied_is_no_acknowledgement() {
    let mut simulation = settled(5, 0, 2);
    assert_eq!(simulation.checks.newest_view().unwrap().chain.len(), 5);
    let head = simulation.checks.newest_view().unwrap().chain[0]
        .address
        .clone();
    assert_eq!(head, "m1");
    simulation.cut(&[0], &[1, 2, 3, 4]);
    simulation.submit(0, 0);
    simulation.run(5.0); // on the disk of the head, and nowhere else
    simulation.kill(0);
    simulation.set_disk(1, DiskMode::Stalled);
    simulation.run(5000.0);
    let call = simulation.submit(2, 0);
    simulation.run(500.0);
    assert_eq!(simulation.outcome(call), Some(Ok("won 1".to_string())));
    simulation.heal();
    simulation.cut(&[0], &[2, 3, 4]);
    simulation.start(0, false);
    simulation.run(1000.0);
    assert_eq!(
        simulation.nodes[0]
            .replica
            .as_ref()
            .unwrap()
            .machine()
            .version,
        2
    );
}

/// A proposal that only some accepted is finished while all are there, not when its head has lost its disk: here
/// the first of it is the only one that it calls complete.
#[test]
fn an_accepted_view_is_brought_to_its_end() {
    let mut simulation = settled(3, 0, 1);
    simulation.kill(2);
    simulation.run(2500.0);
    simulation.start(2, false);
    assert!(
        simulation.run_until(3000.0, |simulation| simulation.logged("m1 knows view 3")),
        "the joiner is taken in"
    );
    simulation.kill(1); // and not brought in sync
    let proposed = "m1 -> m3: e3 accept 1 of m1/0: view 4: chain [m1/0 m3/0]";
    assert!(
        simulation.run_until(3000.0, |simulation| simulation.logged(proposed)),
        "a proposal"
    );
    simulation.network.cut.insert((2, 0));
    simulation.run(2.0); // accepted, but the proposer never hears of it
    assert!(!simulation.logged("knows view 4"));
    simulation.kill(0);
    simulation.start(1, false);
    simulation.start(0, false);
    simulation.heal();
    simulation.run(5000.0);
    assert!(simulation.is_fully_replicated());
    simulation.wipe(0);
    simulation.run(500.0);
    simulation.start(0, false);
    let call = simulation.submit(1, 0);
    simulation.run(3500.0);
    assert_eq!(simulation.outcome(call), Some(Ok("won 1".to_string())));
}

/// An observer that starts while nobody is up asks the seeds at each pulse until one answers.
#[test]
fn an_observer_that_starts_alone_finds_the_seeds() {
    let mut simulation = Simulation::new(1, 3, 1, 1);
    simulation.start(3, true);
    simulation.run(3000.0);
    simulation.start_all(true);
    simulation.run(1000.0);
    assert_eq!(
        simulation.nodes[3].replica.as_ref().unwrap().view().epoch,
        1
    );
}

/// The log is replaced by a snapshot when it gets long, and a member that was away gets it so.
#[test]
fn a_long_log_is_compacted_and_a_late_member_gets_a_snapshot() {
    let mut simulation = settled(3, 0, 1);
    simulation.log = None;
    simulation.kill(2);
    simulation.run(2500.0);
    for _ in 0..1200 {
        let base = simulation.newest().version;
        simulation.submit(0, base);
        simulation.run(12.0);
    }
    assert!(
        simulation.nodes[0].disk.len() < 1000,
        "{} records",
        simulation.nodes[0].disk.len()
    );
    simulation.start(2, false);
    simulation.run(2000.0);
    let replica = simulation.nodes[2].replica.as_ref().unwrap();
    assert_eq!(
        (replica.machine().applied, replica.is_caught_up()),
        (1200, true)
    );
    assert_eq!(simulation.checks.newest_view().unwrap().chain.len(), 3);
    // It comes back from its own disk.
    simulation.kill(2);
    simulation.start(2, false);
    simulation.run(100.0);
    assert_eq!(
        simulation.nodes[2]
            .replica
            .as_ref()
            .unwrap()
            .machine()
            .applied,
        1200
    );
}

/// A lone machine that starts again shows what was surely committed, and answers nothing.
#[test]
fn a_lone_machine_shows_what_was_committed_and_answers_nothing() {
    let mut simulation = settled(3, 0, 1);
    simulation.submit(0, 0);
    simulation.run(2000.0);
    for index in 0..3 {
        simulation.kill(index);
    }
    simulation.start(2, false);
    let calls = [simulation.submit(2, 1), simulation.read(2)];
    simulation.run(6000.0);
    assert_eq!(
        simulation.nodes[2]
            .replica
            .as_ref()
            .unwrap()
            .machine()
            .version,
        1
    );
    assert!(calls
        .iter()
        .all(|call| simulation.outcome(*call).unwrap().is_err()));
    assert!(!simulation.nodes[2].replica.as_ref().unwrap().is_caught_up());
}

/// A member that ends in an orderly way is left out before anyone would suspect it.
#[test]
fn a_member_that_leaves_is_left_out_at_once() {
    for leaver in 0..3 {
        let mut simulation = settled(3, 0, 1);
        simulation.input(leaver, sandtrack_replication::Input::Leave);
        simulation.run(300.0);
        simulation.kill(leaver);
        let call = simulation.submit((leaver + 1) % 3, 0);
        simulation.run(50.0);
        assert_eq!(
            simulation.outcome(call),
            Some(Ok("won 1".to_string())),
            "{leaver} left"
        );
    }
}

/// A member that is back before anyone suspects it lacks what came meanwhile. It gets it while new orders keep coming,
/// not only in a pause between them.
#[test]
fn a_gap_is_filled_while_commands_keep_coming() {
    for returning in [1, 2] {
        let mut simulation = settled(3, 0, 1);
        simulation.kill(returning);
        let mut calls = Vec::new();
        for round in 0..60 {
            if round == 12 {
                simulation.start(returning, false);
            }
            calls.push(simulation.submit(0, simulation.newest().version));
            simulation.run(50.0);
        }
        let early: Vec<u64> = calls.into_iter().take(40).collect();
        assert!(
            early
                .iter()
                .all(|call| matches!(simulation.outcome(*call), Some(Ok(_)))),
            "{returning} returned"
        );
    }
}

/// What a member is passed while its own disk still writes goes with its next write; it is not passed again for want
/// of room, after a wait.
#[test]
fn a_slower_disk_down_the_chain_takes_what_comes_meanwhile() {
    let mut simulation = settled(3, 0, 1);
    simulation.set_disk(2, DiskMode::Slow(10.0));
    let mut calls = Vec::new();
    for _ in 0..40 {
        calls.push(simulation.submit(0, simulation.newest().version));
        simulation.run(4.0);
    }
    simulation.run(200.0);
    let slowest = calls
        .iter()
        .map(|call| simulation.latency(*call).unwrap_or(f64::MAX))
        .fold(0.0, f64::max);
    assert!(slowest < 60.0, "{slowest}");
}

/// What was passed while a write was under way follows that write: when the write is refused, it follows nothing.
#[test]
fn entries_after_a_refused_write_are_not_taken() {
    let mut simulation = settled(3, 0, 1);
    simulation.set_disk(2, DiskMode::Stalled);
    simulation.submit(0, 0);
    simulation.run(5.0); // under way on the disk of the last
    simulation.submit(0, 0);
    simulation.run(5.0); // waits there
    assert!(simulation.logged("m2 -> m3: e1 pass 2@1"));
    // Nobody hears that its disk was full: it stays in the chain, and tries again.
    simulation.network.cut.extend([(2, 0), (2, 1)]);
    simulation.set_disk(2, DiskMode::Full);
    simulation.run(5.0);
    simulation.set_disk(2, DiskMode::Well);
    simulation.run(600.0);
    simulation.heal();
    let call = simulation.submit(0, 0);
    simulation.run(4000.0);
    assert!(
        matches!(simulation.outcome(call), Some(Ok(_))),
        "{:?}",
        simulation.outcome(call)
    );
    let replica = simulation.nodes[2].replica.as_ref().unwrap();
    assert!(replica.machine().applied == 3 && replica.is_caught_up());
}

/// Six machines in three zones that bear the loss of two, or of a zone: a majority of the voters outlasts both. A
/// fourth voter alone would let a zone take it, so two more come at once.
#[test]
fn voters_survive_the_tolerated_losses() {
    let mut simulation = Simulation::new(3, 6, 0, 2);
    simulation.tolerated_zone_losses = 1;
    simulation.start_all(true);
    simulation.run(4000.0);
    let view = simulation.checks.newest_view().unwrap().clone();
    assert_eq!((view.chain.len(), view.voters.len()), (5, 5), "{view}");
    // Voters of the first view that are lost for good, both at once.
    for lost in [0, 1] {
        simulation.wipe(lost);
        simulation.nodes[lost].removed = true;
    }
    simulation.run(4000.0);
    let call = simulation.submit(2, 0);
    simulation.run(500.0);
    assert_eq!(simulation.outcome(call), Some(Ok("won 1".to_string())));
}

/// Ballots begin anew with each epoch, so a late answer of the epoch before may bear the name of a proposal of this
/// one. It is no promise for it, and no acceptance.
#[test]
fn late_answers_of_an_earlier_epoch_count_for_nothing() {
    let mut simulation = settled(3, 0, 1);
    simulation.kill(2);
    simulation.hold = ["m1 -> m2: e1 promise", "m1 -> m2: e1 accepted"]
        .map(str::to_string)
        .to_vec();
    simulation.run_until(3000.0, |simulation| {
        simulation.logged("held back: m1 -> m2: e1 promise")
    });
    assert!(simulation.release("m1 -> m2: e1 promise 1 of m2/0"));
    simulation.run_until(500.0, |simulation| {
        simulation.logged("held back: m1 -> m2: e1 accepted")
    });
    assert!(simulation.release("m1 -> m2: e1 accepted 1 of m2/0"));
    simulation.run(500.0);
    assert_eq!(simulation.checks.newest_view().unwrap().epoch, 2);
    // In epoch 2 the same member proposes to take the third in, and hears nobody from then on.
    simulation.start(2, false);
    assert!(simulation.run_until(2000.0, |simulation| simulation
        .logged("m2 -> m3: e2 prepare 1 of m2/0")));
    simulation.cut(&[1], &[0, 2]);
    simulation.run(5.0);
    assert!(simulation.release("m1 -> m2: e1 promise 1 of m2/0"));
    simulation.run(5.0);
    assert!(simulation.release("m1 -> m2: e1 accepted 1 of m2/0"));
    simulation.run(200.0);
    assert_eq!(
        simulation.nodes[1].replica.as_ref().unwrap().view().epoch,
        2,
        "alone it decides nothing"
    );
    simulation.run(5000.0);
    let call = simulation.submit(0, 0);
    simulation.run(100.0);
    assert_eq!(simulation.outcome(call), Some(Ok("won 1".to_string())));
}

/// A proposer that starts anew has lost what it didn't write, also the number of its proposal. What it proposed before
/// may still be under way, and is not taken for its new proposal.
#[test]
fn a_proposer_that_starts_anew_uses_another_ballot() {
    for seed in 0..4 {
        let mut simulation = Simulation::settled(seed, 3, 0, 1);
        simulation.kill(2);
        simulation.run(2500.0);
        let view = simulation.checks.newest_view().unwrap().to_string();
        assert_eq!(view, "view 2: chain [m1/0 m2/0] voters [m1/0 m2/0 m3/0]");
        // The first proposal: m2 never writes its own promise; its acceptances are under way for long.
        simulation.start(2, false);
        let held = [
            "m2 -> m1: e2 accept",
            "m2 -> m3: e2 accept",
            "m1 -> m2: e2 prepare",
            "m1 -> m3: e2 prepare",
        ];
        simulation.hold = held.map(str::to_string).to_vec();
        simulation.set_disk(1, DiskMode::Stalled);
        let first = "m2 -> m3: e2 accept 1 of m2/0: view 3: chain [m1/0 m2/0 m3/0]";
        assert!(simulation.run_until(2000.0, |simulation| simulation
            .logged(&format!("held back: {first}"))));
        simulation.lose_power(0);
        simulation.lose_power(1);
        // The second one is another: m1 is gone.
        simulation.set_disk(1, DiskMode::Well);
        simulation.start(1, false);
        let second = "held back: m2 -> m3: e2 accept 1 of m2/0: view 3: chain [m2/0 m3/0]";
        simulation.run_until(3000.0, |simulation| simulation.logged(second));
        assert!(simulation.release(first));
        simulation.network.cut.extend([(1, 0), (1, 2)]); // what m2 takes for decided, nobody else hears
        simulation.run(5.0);
        simulation.cut(&[1], &[0, 2]);
        simulation.hold.clear();
        simulation.start(0, false);
        simulation.run(5000.0);
        simulation.heal();
        simulation.run(5000.0);
        let call = simulation.submit(0, 0);
        simulation.run(100.0);
        assert_eq!(simulation.outcome(call), Some(Ok("won 1".to_string())));
    }
}

/// Messages that a network held back come for seconds after their sender was killed. They were sent before others that came
/// already: nobody takes them for a sign of life.
#[test]
fn late_messages_of_a_machine_that_is_gone_are_no_sign_of_life() {
    let statuses = ["m3 -> m1: e1 status", "m3 -> m2: e1 status"];
    let mut simulation = settled(3, 0, 1);
    for _ in 0..10 {
        simulation.hold = statuses.map(str::to_owned).to_vec();
        simulation.run(400.0);
        simulation.hold.clear();
        simulation.run(600.0);
    }
    simulation.kill(2);
    for _ in 0..10 {
        for begin in statuses {
            assert!(simulation.release(begin), "a status of it still comes");
        }
        simulation.run(200.0);
    }
    let view = simulation.checks.newest_view().unwrap();
    assert!(
        view.chain.iter().all(|member| member.address != "m3"),
        "it is left out: {view:?}"
    );
    let call = simulation.submit(0, 0);
    simulation.run(500.0);
    assert_eq!(simulation.outcome(call), Some(Ok("won 1".to_string())));
}
