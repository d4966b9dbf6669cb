//! Messages between replicas and records on their disks keep their bytes: processes of different builds exchange them, and
//! a later build reads the disk of an earlier one. Their types are private, so that samples come from worlds as they run.
#[path = "../../sandtrack-protocol/tests/common/fixtures.rs"]
mod fixtures;
mod simulation;

use fixtures::Encoded;
use sandtrack_replication::{Member, Message, Replica, Settings};
use simulation::register::Register;
use simulation::samples::Samples;
use simulation::{DiskMode, Simulation};
use std::collections::BTreeMap;

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");
const MESSAGES: &str = "messages.hex";
const RECORDS: &str = "records.hex";
/// Kinds of messages in the order of their numbers.
const MESSAGE_KINDS: [&str; 23] = [
    "status",
    "new_view",
    "prepare",
    "promise",
    "accept",
    "accepted",
    "outbid",
    "align",
    "in_line",
    "pass",
    "ack",
    "submit",
    "outcome",
    "disk_full",
    "read",
    "read_pass",
    "read_outcome",
    "learn",
    "offer",
    "fetch",
    "piece",
    "fragment",
    "fragment_taken",
];
/// Kinds of records in the order of their numbers.
const RECORD_KINDS: [&str; 9] = [
    "identity",
    "view",
    "promise",
    "accepted",
    "entry",
    "cut",
    "aligned",
    "committed",
    "snapshot",
];
/// Changes that are more than the log holds: who was away for them needs a snapshot.
const CHANGES: usize = 20;
/// Bytes of each of them: it goes as fragments.
const LARGE: usize = 100_000;

/// A simulation with changes, reads, cuts, full disks, a member that was away for long, and one that is wiped.
fn samples() -> Samples {
    let mut simulation = Simulation::new(7, 3, 1, 1);
    simulation.samples = Some(Samples::default());
    simulation.start_all(true);
    simulation.run(2000.0);
    changes(&mut simulation, 3);
    for machine in 0..4 {
        simulation.read(machine);
    }
    simulation.run(500.0);
    rival_proposals(&mut simulation);
    full_disk(&mut simulation);
    simulation.kill(2);
    simulation.command_padding = LARGE;
    changes(&mut simulation, CHANGES);
    simulation.start(2, false);
    simulation.run(6000.0);
    simulation.wipe(1);
    simulation.start(1, false);
    simulation.run(6000.0);
    simulation.samples.take().expect("samples")
}

/// Changes through the observer, one after the other.
fn changes(simulation: &mut Simulation, count: usize) {
    for _ in 0..count {
        simulation.submit(3, simulation.newest().version);
        simulation.run(500.0);
    }
}

/// Pairs of members are cut from each other in turn, so that several propose a view at the same time.
fn rival_proposals(simulation: &mut Simulation) {
    for cut in [[0, 1], [1, 2], [0, 2]] {
        simulation.cut(&cut[..1], &cut[1..]);
        simulation.submit(0, simulation.newest().version);
        simulation.run(2500.0);
        simulation.heal();
        simulation.run(3000.0);
    }
}

/// Every disk is full for a while.
fn full_disk(simulation: &mut Simulation) {
    (0..3).for_each(|machine| simulation.set_disk(machine, DiskMode::Full));
    simulation.submit(3, simulation.newest().version);
    simulation.run(4500.0);
    (0..3).for_each(|machine| simulation.set_disk(machine, DiskMode::Well));
    simulation.run(3000.0);
}

fn named(kinds: &[&str], samples: &BTreeMap<u8, Vec<u8>>) -> Vec<Encoded> {
    let sample = |(number, name): (u8, &&str)| {
        let bytes = samples
            .get(&number)
            .unwrap_or_else(|| panic!("no sample of {name}"));
        ((*name).to_owned(), bytes.clone())
    };
    (0..).zip(kinds).map(sample).collect()
}

#[test]
fn messages_and_records_keep_their_bytes() {
    let samples = samples();
    assert_eq!(
        samples.messages.len(),
        MESSAGE_KINDS.len(),
        "kinds of messages"
    );
    assert_eq!(
        samples.records.len(),
        RECORD_KINDS.len(),
        "kinds of records"
    );
    fixtures::compare(PACKAGE, MESSAGES, &named(&MESSAGE_KINDS, &samples.messages));
    fixtures::compare(PACKAGE, RECORDS, &named(&RECORD_KINDS, &samples.records));
}

#[test]
fn messages_of_the_fixture_are_read_and_written_again_as_they_were() {
    for (name, bytes) in fixtures::read(PACKAGE, MESSAGES) {
        let message: Message = borsh::from_slice(&bytes).expect("a message");
        assert_eq!(borsh::to_vec(&message).expect("bytes"), bytes, "{name}");
    }
}

/// A disk with any of the records behind who wrote it is taken by a replica for its own; one that can't be read is not.
#[test]
fn records_of_the_fixture_are_recovered() {
    let records = fixtures::read(PACKAGE, RECORDS);
    let identity = &records[0].1;
    let member: Member = borsh::from_slice(&identity[1..]).expect("a member");
    for (name, record) in &records {
        let mut settings = Settings::new(&member.address, &[]);
        settings.new_incarnation = member.incarnation + 1;
        settings.first_start = false;
        let disk = vec![identity.clone(), record.clone()];
        let (replica, _) = Replica::new(settings, &disk, Register::default(), 0.0);
        assert_eq!(replica.member(), &member, "{name}");
    }
}
