//! Members that come back at the worst moment: exactly while the next view is proposed, and machines that were replaced
//! and are started again with their old disks; and two voters that propose at the same moment. Whatever they do, there is
//! one view for an epoch, nothing acknowledged is lost (`world/checks.rs`), and the others go on.
mod world;

use sandtrack_replication::{Member, Replica};
use world::register::Register;
use world::{Time, World};

/// What is asked at any time is answered within so many milliseconds, once the view is repaired.
const ACKNOWLEDGE: Time = 4000.0;

/// The steps of a proposal, as messages.
const STEPS: [&str; 5] = [
    ": e1 prepare",
    ": e1 promise",
    ": e1 accept ",
    ": e1 accepted",
    "knows view 2",
];

#[derive(Clone, Copy, Debug)]
enum Absence {
    Frozen,
    CutOff,
    Killed,
}

fn calm(seed: u64, machines: usize, borne: usize) -> World {
    let mut world = World::new(seed, machines, 0, borne);
    world.start_all(true);
    world.run(4000.0);
    world.log = Some(Vec::new());
    world
}

fn won(world: &World, call: u64) -> bool {
    world.outcome(call).is_some_and(|outcome| outcome.is_ok())
}

fn leave(world: &mut World, index: usize, absence: Absence) {
    let others: Vec<usize> = (0..world.nodes.len())
        .filter(|other| *other != index)
        .collect();
    match absence {
        Absence::Frozen => world.freeze(index),
        Absence::CutOff => world.cut(&[index], &others),
        Absence::Killed => world.kill(index),
    }
}

fn come_back(world: &mut World, index: usize, absence: Absence) {
    match absence {
        Absence::Frozen => world.thaw(index),
        Absence::CutOff => world.heal(),
        Absence::Killed => world.start(index, false),
    }
}

/// Orders and reads through each process, answered in time.
fn all_answer(world: &mut World, case: &str) {
    for index in world.running() {
        let calls = [
            world.submit(index, world.newest().version),
            world.read(index),
        ];
        world.run(ACKNOWLEDGE);
        for call in calls {
            assert!(
                won(world, call),
                "{case}: m{} answers {:?}",
                index + 1,
                world.outcome(call)
            );
        }
    }
    world.checks.nothing_lost(&world.newest());
}

fn returns_at(index: usize, absence: Absence, step: &str, after: Time, seed: u64) {
    let case = format!(
        "m{} {absence:?}, back {after} ms after `{step}`, seed {seed}",
        index + 1
    );
    let mut world = calm(seed, 3, 1);
    world.submit(0, 0);
    world.run(100.0);
    leave(&mut world, index, absence);
    assert!(
        world.run_until(4000.0, |world| world.said(step)),
        "{case}: never said"
    );
    world.run(after);
    come_back(&mut world, index, absence);
    // What it believes at that moment is worth nothing: reads must not be old, of two orders at most one wins.
    for node in 0..3 {
        world.submit(node, 1);
        world.read(node);
    }
    world.run(ACKNOWLEDGE);
    assert!(
        world.is_whole(),
        "{case}: {}",
        world.checks.newest_view().unwrap()
    );
    all_answer(&mut world, &case);
}

#[test]
fn a_member_comes_back_while_the_next_view_is_proposed() {
    for index in 0..3 {
        for absence in [Absence::Frozen, Absence::CutOff, Absence::Killed] {
            for step in STEPS {
                for (seed, after) in [0.0, 0.4, 0.8, 1.2, 2.0, 5.0].into_iter().enumerate() {
                    returns_at(index, absence, step, after, seed as u64);
                }
            }
        }
    }
}

/// The first two members of the chain propose at the same moment, each without having heard of the other's proposal; what
/// they ask each other and the rest for arrives in both orders, some milliseconds apart.
fn two_propose(machines: usize, borne: usize, first: usize, apart: Time, seed: u64) {
    let case = format!(
        "{machines} machines, m{} is heard first by {apart} ms, seed {seed}",
        first + 1
    );
    let mut world = calm(seed, machines, borne);
    world.kill(machines - 1);
    let epoch = world.checks.newest_view().unwrap().epoch;
    let prepare =
        |from: usize, to: usize| format!("m{} -> m{}: e{epoch} prepare", from + 1, to + 1);
    world.hold = (0..machines)
        .flat_map(|to| [prepare(0, to), prepare(1, to)])
        .collect();
    let held = |world: &World, from, to| world.said(&format!("held back: {}", prepare(from, to)));
    let both = |world: &World| held(world, 0, 1) && held(world, 1, 0);
    assert!(world.run_until(4000.0, both), "{case}: both propose");
    world.hold.clear();
    for from in [first, 1 - first] {
        for to in 0..machines - 1 {
            world.release(&prepare(from, to));
        }
        world.run(apart);
    }
    let call = world.submit(first, 0);
    world.run(ACKNOWLEDGE);
    assert!(won(&world, call), "{case}: {:?}", world.outcome(call));
    world.start(machines - 1, false);
    world.run(ACKNOWLEDGE);
    assert!(world.is_whole(), "{case}");
    all_answer(&mut world, &case);
}

#[test]
fn two_voters_propose_at_the_same_moment() {
    for (machines, borne) in [(3, 1), (5, 2)] {
        for first in [0, 1] {
            for (seed, apart) in [0.0, 0.3, 0.6, 1.0, 1.5, 2.5, 4.0, 8.0]
                .into_iter()
                .enumerate()
            {
                two_propose(machines, borne, first, apart, seed as u64);
            }
        }
    }
}

/// The third machine loses power and is replaced; another order is taken by the new view. What its disk held is kept.
fn replaced() -> (World, Vec<Vec<u8>>) {
    let mut world = calm(3, 3, 1);
    world.submit(0, 0);
    world.run(1000.0);
    world.lose_power(2);
    let old_disk = world.nodes[2].disk.clone();
    world.nodes[2].removed = true;
    let successor = world.add(true);
    world.start(successor, false);
    world.run(5000.0);
    let view = world.checks.newest_view().unwrap();
    let has = |address: &str| {
        view.chain
            .iter()
            .chain(&view.voters)
            .any(|member| member.address == address)
    };
    assert!(has("m4") && !has("m3"), "{view}");
    let call = world.submit(0, 1);
    world.run(100.0);
    assert!(won(&world, call));
    world.log = Some(Vec::new());
    (world, old_disk)
}

fn start_with(world: &mut World, index: usize, disk: Vec<Vec<u8>>) {
    world.nodes[index].disk = disk;
    world.start(index, false);
}

/// It took part in nothing that counts: no vote, no acknowledgement, no place in a view. What it says in the epoch that its
/// old disk knows is refused by all who know a later one.
fn took_no_part(world: &World, case: &str) {
    for words in [
        "promise",
        "accepted",
        "ack synced",
        "in line after",
        "pass ",
    ] {
        let counts = |line: &&String| {
            line.contains(" m3 -> ") && line.contains(words) && !line.contains(": e1 ")
        };
        let line = world.log.iter().flatten().find(counts);
        assert!(line.is_none(), "{case}: {line:?}");
    }
    let view = world.checks.newest_view().unwrap();
    assert!(
        !view.chain.iter().any(|member| member.address == "m3"),
        "{case}: {view}"
    );
}

/// Voters that confirm the view that a process knows, as far as it has heard of late.
fn confirming(replica: &Replica<Register>) -> usize {
    let me = replica.member();
    let attestation = |address: &str| {
        if address == me.address {
            return Some(replica.view_attestation());
        }
        replica.view_attestation_of(address)
    };
    let view = replica.view();
    let confirms = |voter: &&Member| {
        attestation(&voter.address)
            .is_some_and(|attestation| attestation.confirms(&voter.address, view))
    };
    view.voters.iter().filter(confirms).count()
}

/// All others are there: it learns of the later view, and at most passes on what the chain answers.
#[test]
fn a_replaced_machine_that_is_started_again_only_observes() {
    for cut in [&[][..], &[0], &[1], &[3], &[0, 1], &[1, 3], &[0, 3]] {
        let case = format!("it does not hear {cut:?}");
        let (mut world, disk) = replaced();
        world.cut(&[2], cut);
        start_with(&mut world, 2, disk);
        let calls = [world.read(2), world.submit(2, 2)];
        world.run(5000.0);
        assert!(
            calls.iter().all(|call| world.outcome(*call).is_some()),
            "{case}"
        );
        took_no_part(&world, &case);
        let call = world.submit(0, world.newest().version);
        world.run(100.0);
        assert!(won(&world, call), "{case}: the others go on");
        world.checks.nothing_lost(&world.newest());
    }
}

/// Not all others are there: it makes up for none of them.
#[test]
fn a_replaced_machine_makes_no_majority_and_no_chain() {
    for there in [&[][..], &[0], &[1], &[3]] {
        let case = format!("only {there:?} are there");
        let (mut world, disk) = replaced();
        for index in [0, 1, 3].into_iter().filter(|index| !there.contains(index)) {
            world.kill(index);
        }
        let epoch = world.checks.newest_view().unwrap().epoch;
        start_with(&mut world, 2, disk);
        let nodes: Vec<usize> = there.iter().copied().chain([2]).collect();
        for _ in 0..6 {
            let calls: Vec<u64> = nodes
                .iter()
                .flat_map(|node| {
                    [
                        world.submit(*node, 1),
                        world.submit(*node, 2),
                        world.read(*node),
                    ]
                })
                .collect();
            world.run(4500.0);
            for call in calls {
                assert!(!won(&world, call), "{case}: {:?}", world.outcome(call));
            }
        }
        assert_eq!(
            world.checks.newest_view().unwrap().epoch,
            epoch,
            "{case}: no view without a majority"
        );
        for node in &nodes {
            let replica = world.nodes[*node].replica.as_ref().unwrap();
            let confirming = confirming(replica);
            assert!(
                confirming < replica.view().majority(),
                "{case}: m{} has the lease",
                node + 1
            );
        }
        for index in [0, 1, 3].into_iter().filter(|index| !there.contains(index)) {
            world.start(index, false);
        }
        world.run(ACKNOWLEDGE);
        all_answer(&mut world, &case);
    }
}

/// Two machines that were replaced one after the other are started again by themselves: they were a majority of the
/// first view, but the second one knows, or accepted, what came after it.
#[test]
fn two_replaced_machines_are_no_majority_of_the_view_that_they_were_in() {
    let (mut world, third) = replaced();
    world.run(4000.0);
    world.lose_power(1);
    let second = world.nodes[1].disk.clone();
    world.nodes[1].removed = true;
    let successor = world.add(true);
    world.start(successor, false);
    world.run(5000.0);
    let epoch = world.checks.newest_view().unwrap().epoch;
    let others: Vec<usize> = vec![0, 3, successor];
    world.cut(&[1, 2], &others);
    start_with(&mut world, 2, third);
    start_with(&mut world, 1, second);
    for _ in 0..4 {
        let calls = [1, 2]
            .map(|node| [world.submit(node, 2), world.read(node)])
            .concat();
        world.run(4500.0);
        for call in calls {
            assert!(!won(&world, call), "{:?}", world.outcome(call));
        }
    }
    assert_eq!(world.checks.newest_view().unwrap().epoch, epoch);
    let call = world.submit(0, world.newest().version);
    world.run(100.0);
    assert!(won(&world, call), "the others go on");
}
