//! Members that come back at the worst moment: exactly while the next view is proposed, and machines that were replaced
//! and are started again with their old disks; and two voters that propose at the same moment. Whatever they do, there is
//! one view for an epoch, nothing acknowledged is lost (`simulation/checks.rs`), and the others go on.
mod simulation;

use sandtrack_replication::{Member, Replica};
use simulation::register::Register;
use simulation::{Simulation, Time};

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

fn settled(seed: u64, machines: usize, tolerated_machine_losses: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, machines, 0, tolerated_machine_losses);
    simulation.start_all(true);
    simulation.run(4000.0);
    simulation.log = Some(Vec::new());
    simulation
}

fn won(simulation: &Simulation, call: u64) -> bool {
    simulation
        .outcome(call)
        .is_some_and(|outcome| outcome.is_ok())
}

fn leave(simulation: &mut Simulation, index: usize, absence: Absence) {
    let others: Vec<usize> = (0..simulation.nodes.len())
        .filter(|other| *other != index)
        .collect();
    match absence {
        Absence::Frozen => simulation.freeze(index),
        Absence::CutOff => simulation.cut(&[index], &others),
        Absence::Killed => simulation.kill(index),
    }
}

fn come_back(simulation: &mut Simulation, index: usize, absence: Absence) {
    match absence {
        Absence::Frozen => simulation.thaw(index),
        Absence::CutOff => simulation.heal(),
        Absence::Killed => simulation.start(index, false),
    }
}

/// Orders and reads through each process, answered in time.
fn all_answer(simulation: &mut Simulation, case: &str) {
    for index in simulation.running() {
        let calls = [
            simulation.submit(index, simulation.newest().version),
            simulation.read(index),
        ];
        simulation.run(ACKNOWLEDGE);
        for call in calls {
            assert!(
                won(simulation, call),
                "{case}: m{} answers {:?}",
                index + 1,
                simulation.outcome(call)
            );
        }
    }
    simulation.checks.check_nothing_lost(&simulation.newest());
}

fn returns_at(index: usize, absence: Absence, step: &str, after: Time, seed: u64) {
    let case = format!(
        "m{} {absence:?}, back {after} ms after `{step}`, seed {seed}",
        index + 1
    );
    let mut simulation = settled(seed, 3, 1);
    simulation.submit(0, 0);
    simulation.run(100.0);
    leave(&mut simulation, index, absence);
    assert!(
        simulation.run_until(4000.0, |simulation| simulation.logged(step)),
        "{case}: never said"
    );
    simulation.run(after);
    come_back(&mut simulation, index, absence);
    // What it believes at that moment is worth nothing: reads must not be old, of two orders at most one wins.
    for node in 0..3 {
        simulation.submit(node, 1);
        simulation.read(node);
    }
    simulation.run(ACKNOWLEDGE);
    assert!(
        simulation.is_fully_replicated(),
        "{case}: {}",
        simulation.checks.newest_view().unwrap()
    );
    all_answer(&mut simulation, &case);
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
fn two_propose(
    machines: usize,
    tolerated_machine_losses: usize,
    first: usize,
    apart: Time,
    seed: u64,
) {
    let case = format!(
        "{machines} machines, m{} is heard first by {apart} ms, seed {seed}",
        first + 1
    );
    let mut simulation = settled(seed, machines, tolerated_machine_losses);
    simulation.kill(machines - 1);
    let epoch = simulation.checks.newest_view().unwrap().epoch;
    let prepare =
        |from: usize, to: usize| format!("m{} -> m{}: e{epoch} prepare", from + 1, to + 1);
    simulation.hold = (0..machines)
        .flat_map(|to| [prepare(0, to), prepare(1, to)])
        .collect();
    let held = |simulation: &Simulation, from, to| {
        simulation.logged(&format!("held back: {}", prepare(from, to)))
    };
    let both = |simulation: &Simulation| held(simulation, 0, 1) && held(simulation, 1, 0);
    assert!(simulation.run_until(4000.0, both), "{case}: both propose");
    simulation.hold.clear();
    for from in [first, 1 - first] {
        for to in 0..machines - 1 {
            simulation.release(&prepare(from, to));
        }
        simulation.run(apart);
    }
    let call = simulation.submit(first, 0);
    simulation.run(ACKNOWLEDGE);
    assert!(
        won(&simulation, call),
        "{case}: {:?}",
        simulation.outcome(call)
    );
    simulation.start(machines - 1, false);
    simulation.run(ACKNOWLEDGE);
    assert!(simulation.is_fully_replicated(), "{case}");
    all_answer(&mut simulation, &case);
}

#[test]
fn two_voters_propose_at_the_same_moment() {
    for (machines, tolerated_machine_losses) in [(3, 1), (5, 2)] {
        for first in [0, 1] {
            for (seed, apart) in [0.0, 0.3, 0.6, 1.0, 1.5, 2.5, 4.0, 8.0]
                .into_iter()
                .enumerate()
            {
                two_propose(
                    machines,
                    tolerated_machine_losses,
                    first,
                    apart,
                    seed as u64,
                );
            }
        }
    }
}

/// The third machine loses power and is replaced; another order is taken by the new view. What its disk held is kept.
fn replaced() -> (Simulation, Vec<Vec<u8>>) {
    let mut simulation = settled(3, 3, 1);
    simulation.submit(0, 0);
    simulation.run(1000.0);
    simulation.lose_power(2);
    let old_disk = simulation.nodes[2].disk.clone();
    simulation.nodes[2].removed = true;
    let successor = simulation.add(true);
    simulation.start(successor, false);
    simulation.run(5000.0);
    let view = simulation.checks.newest_view().unwrap();
    let has = |address: &str| {
        view.chain
            .iter()
            .chain(&view.voters)
            .any(|member| member.address == address)
    };
    assert!(has("m4") && !has("m3"), "{view}");
    let call = simulation.submit(0, 1);
    simulation.run(100.0);
    assert!(won(&simulation, call));
    simulation.log = Some(Vec::new());
    (simulation, old_disk)
}

fn start_with(simulation: &mut Simulation, index: usize, disk: Vec<Vec<u8>>) {
    simulation.nodes[index].disk = disk;
    simulation.start(index, false);
}

/// It took part in nothing that counts: no vote, no acknowledgement, no place in a view. What it says in the epoch that its
/// old disk knows is refused by all who know a later one.
fn took_no_part(simulation: &Simulation, case: &str) {
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
        let line = simulation.log.iter().flatten().find(counts);
        assert!(line.is_none(), "{case}: {line:?}");
    }
    let view = simulation.checks.newest_view().unwrap();
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
        let (mut simulation, disk) = replaced();
        simulation.cut(&[2], cut);
        start_with(&mut simulation, 2, disk);
        let calls = [simulation.read(2), simulation.submit(2, 2)];
        simulation.run(5000.0);
        assert!(
            calls.iter().all(|call| simulation.outcome(*call).is_some()),
            "{case}"
        );
        took_no_part(&simulation, &case);
        let call = simulation.submit(0, simulation.newest().version);
        simulation.run(100.0);
        assert!(won(&simulation, call), "{case}: the others go on");
        simulation.checks.check_nothing_lost(&simulation.newest());
    }
}

/// Not all others are there: it makes up for none of them.
#[test]
fn a_replaced_machine_makes_no_majority_and_no_chain() {
    for there in [&[][..], &[0], &[1], &[3]] {
        let case = format!("only {there:?} are there");
        let (mut simulation, disk) = replaced();
        for index in [0, 1, 3].into_iter().filter(|index| !there.contains(index)) {
            simulation.kill(index);
        }
        let epoch = simulation.checks.newest_view().unwrap().epoch;
        start_with(&mut simulation, 2, disk);
        let nodes: Vec<usize> = there.iter().copied().chain([2]).collect();
        for _ in 0..6 {
            let calls: Vec<u64> = nodes
                .iter()
                .flat_map(|node| {
                    [
                        simulation.submit(*node, 1),
                        simulation.submit(*node, 2),
                        simulation.read(*node),
                    ]
                })
                .collect();
            simulation.run(4500.0);
            for call in calls {
                assert!(
                    !won(&simulation, call),
                    "{case}: {:?}",
                    simulation.outcome(call)
                );
            }
        }
        assert_eq!(
            simulation.checks.newest_view().unwrap().epoch,
            epoch,
            "{case}: no view without a majority"
        );
        for node in &nodes {
            let replica = simulation.nodes[*node].replica.as_ref().unwrap();
            let confirming = confirming(replica);
            assert!(
                confirming < replica.view().majority(),
                "{case}: m{} has the lease",
                node + 1
            );
        }
        for index in [0, 1, 3].into_iter().filter(|index| !there.contains(index)) {
            simulation.start(index, false);
        }
        simulation.run(ACKNOWLEDGE);
        all_answer(&mut simulation, &case);
    }
}

/// Two machines that were replaced one after the other are started again by themselves: they were a majority of the
/// first view, but the second one knows, or accepted, what came after it.
#[test]
fn two_replaced_machines_are_no_majority_of_the_view_that_they_were_in() {
    let (mut simulation, third) = replaced();
    simulation.run(4000.0);
    simulation.lose_power(1);
    let second = simulation.nodes[1].disk.clone();
    simulation.nodes[1].removed = true;
    let successor = simulation.add(true);
    simulation.start(successor, false);
    simulation.run(5000.0);
    let epoch = simulation.checks.newest_view().unwrap().epoch;
    let others: Vec<usize> = vec![0, 3, successor];
    simulation.cut(&[1, 2], &others);
    start_with(&mut simulation, 2, third);
    start_with(&mut simulation, 1, second);
    for _ in 0..4 {
        let calls = [1, 2]
            .map(|node| [simulation.submit(node, 2), simulation.read(node)])
            .concat();
        simulation.run(4500.0);
        for call in calls {
            assert!(!won(&simulation, call), "{:?}", simulation.outcome(call));
        }
    }
    assert_eq!(simulation.checks.newest_view().unwrap().epoch, epoch);
    let call = simulation.submit(0, simulation.newest().version);
    simulation.run(100.0);
    assert!(won(&simulation, call), "the others go on");
}
