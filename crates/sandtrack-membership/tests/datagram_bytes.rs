//! Datagrams between members keep their bytes: processes of different builds exchange them.
#[path = "../../sandtrack-protocol/tests/common/fixtures.rs"]
mod fixtures;

use sandtrack_membership::config::{Identity, FORGET};
use sandtrack_membership::wire::{
    cluster_tag, read, Message, Place, Process, Record, State, Told, Writer,
};

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");
const FILE: &str = "datagrams.hex";
const CLUSTER: &str = "fixtures";

fn identity() -> Identity {
    Identity {
        cluster: CLUSTER.into(),
        name: "sender".into(),
        advertise: "10.1.2.3:7400".parse().expect("an address"),
        zone: "odori-hall".into(),
        region: "ishikari".into(),
        seeds: Vec::new(),
        datagram: 1200,
        forget: FORGET,
    }
}

fn process(name: &str) -> Process {
    Process {
        name: name.into(),
        nonce: 0x0102_0304,
    }
}

fn record(name: &str, state: State) -> Record {
    let who = identity();
    let place = Place::new(who.advertise, who.zone, who.region);
    let mut record = Record::new(process(name), 300, state, &place, 1);
    (record.by, record.age_s) = (0x0a0b_0c0d, 17);
    record
}

fn datagram(message: &Message, records: &[Record], facts: &[Told]) -> Vec<u8> {
    let mut writer = Writer::new(
        cluster_tag(CLUSTER),
        &identity(),
        &process("sender"),
        5,
        message,
    );
    assert!(
        records.iter().all(|record| writer.record(record)),
        "records have room"
    );
    assert!(
        facts.iter().all(|fact| writer.fact(fact)),
        "facts have room"
    );
    writer.finish()
}

/// Each kind of message alone, and one with a record of each state and a fact.
fn values() -> Vec<(&'static str, Message, Vec<Record>, Vec<Told>)> {
    let address = "10.4.5.6:7401".parse().expect("an address");
    let states = [
        State::Joining,
        State::Alive,
        State::Suspect,
        State::Failed,
        State::Left,
    ];
    let records = states.map(|state| record(state.word(), state)).to_vec();
    let fact = Told {
        teller: process("teller"),
        kind: 9,
        number: 300,
        age: 50,
        bytes: vec![1, 2, 3],
    };
    let alone = |name, message| (name, message, Vec::new(), Vec::new());
    vec![
        ("gossip", Message::Gossip, records, vec![fact]),
        alone(
            "ping",
            Message::Ping {
                seq: 300,
                to: process("target"),
            },
        ),
        alone("ack", Message::Ack { seq: 301 }),
        alone("ask", Message::ask(302, process("target"), address)),
        alone("reached", Message::Reached { seq: 303 }),
        alone("nack", Message::Nack { seq: 304 }),
        alone("join", Message::Join),
        alone(
            "welcome",
            Message::Welcome {
                pieces: 3,
                piece: 1,
            },
        ),
        alone(
            "compare",
            Message::Compare {
                hashes: vec![1, 2, 3, u32::MAX],
            },
        ),
        alone(
            "table",
            Message::Table {
                want: u64::MAX,
                buckets: 64,
            },
        ),
    ]
}

#[test]
fn datagrams_keep_their_bytes() {
    let encoded: Vec<_> = values()
        .iter()
        .map(|(name, message, records, facts)| {
            ((*name).to_owned(), datagram(message, records, facts))
        })
        .collect();
    fixtures::compare(PACKAGE, FILE, &encoded);
}

#[test]
fn datagrams_of_the_fixture_are_read_and_written_again_as_they_were() {
    for ((name, bytes), (_, message, records, facts)) in
        fixtures::read(PACKAGE, FILE).iter().zip(values())
    {
        let read = read(cluster_tag(CLUSTER), bytes).expect("a datagram");
        assert_eq!(
            (&read.message, &read.records, &read.facts),
            (&message, &records, &facts),
            "{name}"
        );
        assert_eq!(
            (&read.from.process, read.from.incarnation),
            (&process("sender"), 5),
            "{name}"
        );
        assert_eq!(read.from.address(), identity().advertise, "{name}");
        assert_eq!(
            &datagram(&read.message, &read.records, &read.facts),
            bytes,
            "{name}"
        );
    }
}
