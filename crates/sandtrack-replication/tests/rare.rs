//! Rare orders of events that were found by the troubled worlds, each by itself.
mod world;

use world::{DiskMode, World};

fn calm(seeds: usize, observers: usize, borne: usize) -> World {
    World::calm(3, seeds, observers, borne)
}

/// A member whose disk doesn't take the next view learns what that view committed. It tells so under its old epoch,
/// and a former head with another entry at that number must not take it as an acknowledgement.
#[test]
fn what_an_observer_learned_is_no_acknowledgement() {
    let mut world = calm(5, 0, 2);
    assert_eq!(world.checks.newest_view().unwrap().chain.len(), 5);
    let head = world.checks.newest_view().unwrap().chain[0].address.clone();
    assert_eq!(head, "m1");
    world.cut(&[0], &[1, 2, 3, 4]);
    world.submit(0, 0);
    world.run(5.0); // on the disk of the head, and nowhere else
    world.kill(0);
    world.set_disk(1, DiskMode::Stalled);
    world.run(5000.0);
    let call = world.submit(2, 0);
    world.run(500.0);
    assert_eq!(world.outcome(call), Some(Ok("won 1".to_string())));
    world.heal();
    world.cut(&[0], &[2, 3, 4]);
    world.start(0, false);
    world.run(1000.0);
    assert_eq!(
        world.nodes[0].replica.as_ref().unwrap().machine().version,
        2
    );
}

/// A proposal that only some accepted is finished while all are there, not when its head has lost its disk: here
/// the first of it is the only one that it calls complete.
#[test]
fn an_accepted_view_is_brought_to_its_end() {
    let mut world = calm(3, 0, 1);
    world.kill(2);
    world.run(2500.0);
    world.start(2, false);
    assert!(
        world.run_until(3000.0, |world| world.said("m1 knows view 3")),
        "the joiner is taken in"
    );
    world.kill(1); // and not brought in line
    let proposed = "m1 -> m3: e3 accept 1 of m1/0: view 4: chain [m1/0 m3/0]";
    assert!(
        world.run_until(3000.0, |world| world.said(proposed)),
        "a proposal"
    );
    world.network.cut.insert((2, 0));
    world.run(2.0); // accepted, but the proposer never hears of it
    assert!(!world.said("knows view 4"));
    world.kill(0);
    world.start(1, false);
    world.start(0, false);
    world.heal();
    world.run(5000.0);
    assert!(world.is_whole());
    world.wipe(0);
    world.run(500.0);
    world.start(0, false);
    let call = world.submit(1, 0);
    world.run(3500.0);
    assert_eq!(world.outcome(call), Some(Ok("won 1".to_string())));
}

/// An observer that starts while nobody is up asks the seeds at each pulse until one answers.
#[test]
fn an_observer_that_starts_alone_finds_the_seeds() {
    let mut world = World::new(1, 3, 1, 1);
    world.start(3, true);
    world.run(3000.0);
    world.start_all(true);
    world.run(1000.0);
    assert_eq!(world.nodes[3].replica.as_ref().unwrap().view().epoch, 1);
}

/// The log is replaced by a snapshot when it gets long, and a member that was away gets it so.
#[test]
fn a_long_log_is_compacted_and_a_late_member_gets_a_snapshot() {
    let mut world = calm(3, 0, 1);
    world.log = None;
    world.kill(2);
    world.run(2500.0);
    for _ in 0..1200 {
        let base = world.newest().version;
        world.submit(0, base);
        world.run(12.0);
    }
    assert!(
        world.nodes[0].disk.len() < 1000,
        "{} records",
        world.nodes[0].disk.len()
    );
    world.start(2, false);
    world.run(2000.0);
    let replica = world.nodes[2].replica.as_ref().unwrap();
    assert_eq!(
        (replica.machine().applied, replica.is_caught_up()),
        (1200, true)
    );
    assert_eq!(world.checks.newest_view().unwrap().chain.len(), 3);
    // It comes back from its own disk.
    world.kill(2);
    world.start(2, false);
    world.run(100.0);
    assert_eq!(
        world.nodes[2].replica.as_ref().unwrap().machine().applied,
        1200
    );
}

/// A lone machine that starts again shows what was surely committed, and answers nothing.
#[test]
fn a_lone_machine_shows_what_was_committed_and_answers_nothing() {
    let mut world = calm(3, 0, 1);
    world.submit(0, 0);
    world.run(2000.0);
    for index in 0..3 {
        world.kill(index);
    }
    world.start(2, false);
    let calls = [world.submit(2, 1), world.read(2)];
    world.run(6000.0);
    assert_eq!(
        world.nodes[2].replica.as_ref().unwrap().machine().version,
        1
    );
    assert!(calls
        .iter()
        .all(|call| world.outcome(*call).unwrap().is_err()));
    assert!(!world.nodes[2].replica.as_ref().unwrap().is_caught_up());
}

/// A member that ends in an orderly way is left out before anyone would suspect it.
#[test]
fn a_member_that_leaves_is_left_out_at_once() {
    for leaver in 0..3 {
        let mut world = calm(3, 0, 1);
        world.input(leaver, sandtrack_replication::Input::Leave);
        world.run(300.0);
        world.kill(leaver);
        let call = world.submit((leaver + 1) % 3, 0);
        world.run(50.0);
        assert_eq!(
            world.outcome(call),
            Some(Ok("won 1".to_string())),
            "{leaver} left"
        );
    }
}

/// A member that is back before anyone suspects it lacks what came meanwhile. It gets it while new orders keep coming,
/// not only in a pause between them.
#[test]
fn a_gap_is_filled_while_orders_keep_coming() {
    for returning in [1, 2] {
        let mut world = calm(3, 0, 1);
        world.kill(returning);
        let mut calls = Vec::new();
        for round in 0..60 {
            if round == 12 {
                world.start(returning, false);
            }
            calls.push(world.submit(0, world.newest().version));
            world.run(50.0);
        }
        let early: Vec<u64> = calls.into_iter().take(40).collect();
        assert!(
            early
                .iter()
                .all(|call| matches!(world.outcome(*call), Some(Ok(_)))),
            "{returning} returned"
        );
    }
}

/// What a member is passed while its own disk still writes goes with its next write; it is not passed again for want
/// of room, after a wait.
#[test]
fn a_slower_disk_down_the_chain_takes_what_comes_meanwhile() {
    let mut world = calm(3, 0, 1);
    world.set_disk(2, DiskMode::Slow(10.0));
    let mut calls = Vec::new();
    for _ in 0..40 {
        calls.push(world.submit(0, world.newest().version));
        world.run(4.0);
    }
    world.run(200.0);
    let slowest = calls
        .iter()
        .map(|call| world.took(*call).unwrap_or(f64::MAX))
        .fold(0.0, f64::max);
    assert!(slowest < 60.0, "{slowest}");
}

/// What was passed while a write was under way follows that write: when the write is refused, it follows nothing.
#[test]
fn entries_after_a_refused_write_are_not_taken() {
    let mut world = calm(3, 0, 1);
    world.set_disk(2, DiskMode::Stalled);
    world.submit(0, 0);
    world.run(5.0); // under way on the disk of the last
    world.submit(0, 0);
    world.run(5.0); // waits there
    assert!(world.said("m2 -> m3: e1 pass 2@1"));
    // Nobody hears that its disk was full: it stays in the chain, and tries again.
    world.network.cut.extend([(2, 0), (2, 1)]);
    world.set_disk(2, DiskMode::Full);
    world.run(5.0);
    world.set_disk(2, DiskMode::Well);
    world.run(600.0);
    world.heal();
    let call = world.submit(0, 0);
    world.run(4000.0);
    assert!(
        matches!(world.outcome(call), Some(Ok(_))),
        "{:?}",
        world.outcome(call)
    );
    let replica = world.nodes[2].replica.as_ref().unwrap();
    assert!(replica.machine().applied == 3 && replica.is_caught_up());
}

/// Six machines in three zones that bear the loss of two, or of a zone: a majority of the voters outlasts both. A
/// fourth voter alone would let a zone take it, so two more come at once.
#[test]
fn voters_outlast_what_is_to_be_borne() {
    let mut world = World::new(3, 6, 0, 2);
    world.zones_borne = 1;
    world.start_all(true);
    world.run(4000.0);
    let view = world.checks.newest_view().unwrap().clone();
    assert_eq!((view.chain.len(), view.voters.len()), (5, 5), "{view}");
    // Voters of the first view that are lost for good, both at once.
    for lost in [0, 1] {
        world.wipe(lost);
        world.nodes[lost].removed = true;
    }
    world.run(4000.0);
    let call = world.submit(2, 0);
    world.run(500.0);
    assert_eq!(world.outcome(call), Some(Ok("won 1".to_string())));
}

/// Ballots begin anew with each epoch, so a late answer of the epoch before may bear the name of a proposal of this
/// one. It is no promise for it, and no acceptance.
#[test]
fn late_answers_of_an_earlier_epoch_count_for_nothing() {
    let mut world = calm(3, 0, 1);
    world.kill(2);
    world.hold = ["m1 -> m2: e1 promise", "m1 -> m2: e1 accepted"]
        .map(str::to_string)
        .to_vec();
    world.run_until(3000.0, |world| {
        world.said("held back: m1 -> m2: e1 promise")
    });
    assert!(world.release("m1 -> m2: e1 promise 1 of m2/0"));
    world.run_until(500.0, |world| {
        world.said("held back: m1 -> m2: e1 accepted")
    });
    assert!(world.release("m1 -> m2: e1 accepted 1 of m2/0"));
    world.run(500.0);
    assert_eq!(world.checks.newest_view().unwrap().epoch, 2);
    // In epoch 2 the same member proposes to take the third in, and hears nobody from then on.
    world.start(2, false);
    assert!(world.run_until(2000.0, |world| world.said("m2 -> m3: e2 prepare 1 of m2/0")));
    world.cut(&[1], &[0, 2]);
    world.run(5.0);
    assert!(world.release("m1 -> m2: e1 promise 1 of m2/0"));
    world.run(5.0);
    assert!(world.release("m1 -> m2: e1 accepted 1 of m2/0"));
    world.run(200.0);
    assert_eq!(
        world.nodes[1].replica.as_ref().unwrap().view().epoch,
        2,
        "alone it decides nothing"
    );
    world.run(5000.0);
    let call = world.submit(0, 0);
    world.run(100.0);
    assert_eq!(world.outcome(call), Some(Ok("won 1".to_string())));
}

/// A proposer that starts anew has lost what it didn't write, also the number of its proposal. What it proposed before
/// may still be under way, and is not taken for its new proposal.
#[test]
fn a_proposer_that_starts_anew_uses_another_ballot() {
    for seed in 0..4 {
        let mut world = World::calm(seed, 3, 0, 1);
        world.kill(2);
        world.run(2500.0);
        let view = world.checks.newest_view().unwrap().to_string();
        assert_eq!(view, "view 2: chain [m1/0 m2/0] voters [m1/0 m2/0 m3/0]");
        // The first proposal: m2 never writes its own promise; its acceptances are under way for long.
        world.start(2, false);
        let held = [
            "m2 -> m1: e2 accept",
            "m2 -> m3: e2 accept",
            "m1 -> m2: e2 prepare",
            "m1 -> m3: e2 prepare",
        ];
        world.hold = held.map(str::to_string).to_vec();
        world.set_disk(1, DiskMode::Stalled);
        let first = "m2 -> m3: e2 accept 1 of m2/0: view 3: chain [m1/0 m2/0 m3/0]";
        assert!(world.run_until(2000.0, |world| world.said(&format!("held back: {first}"))));
        world.lose_power(0);
        world.lose_power(1);
        // The second one is another: m1 is gone.
        world.set_disk(1, DiskMode::Well);
        world.start(1, false);
        let second = "held back: m2 -> m3: e2 accept 1 of m2/0: view 3: chain [m2/0 m3/0]";
        world.run_until(3000.0, |world| world.said(second));
        assert!(world.release(first));
        world.network.cut.extend([(1, 0), (1, 2)]); // what m2 takes for decided, nobody else hears
        world.run(5.0);
        world.cut(&[1], &[0, 2]);
        world.hold.clear();
        world.start(0, false);
        world.run(5000.0);
        world.heal();
        world.run(5000.0);
        let call = world.submit(0, 0);
        world.run(100.0);
        assert_eq!(world.outcome(call), Some(Ok("won 1".to_string())));
    }
}

/// Messages that a network held back come for seconds after their sender was killed. They were sent before others that came
/// already: nobody takes them for a sign of life.
#[test]
fn late_messages_of_a_machine_that_is_gone_are_no_sign_of_life() {
    let statuses = ["m3 -> m1: e1 status", "m3 -> m2: e1 status"];
    let mut world = calm(3, 0, 1);
    for _ in 0..10 {
        world.hold = statuses.map(str::to_owned).to_vec();
        world.run(400.0);
        world.hold.clear();
        world.run(600.0);
    }
    world.kill(2);
    for _ in 0..10 {
        for begin in statuses {
            assert!(world.release(begin), "a status of it still comes");
        }
        world.run(200.0);
    }
    let view = world.checks.newest_view().unwrap();
    assert!(
        view.chain.iter().all(|member| member.address != "m3"),
        "it is left out: {view:?}"
    );
    let call = world.submit(0, 0);
    world.run(500.0);
    assert_eq!(world.outcome(call), Some(Ok("won 1".to_string())));
}
