//! Datagrams from outside: what is written is read back, every bound holds, and what is none of ours is told as that.
use proptest::prelude::*;
use sandtrack_membership::config::{Identity, DATAGRAM_LEAST, FORGET, LABEL_MOST, NAME_MOST};
use sandtrack_membership::wire::{
    cluster_tag, read, Message, Place, Process, Record, Refused, State, Told, Writer, BUCKETS,
    FACT_MOST, SPEAKS,
};

fn identity(datagram: usize) -> Identity {
    Identity {
        cluster: "wire".into(),
        name: "n".repeat(NAME_MOST).into(),
        advertise: "10.255.255.255:65535".parse().unwrap(),
        zone: "z".repeat(LABEL_MOST).into(),
        region: "r".repeat(LABEL_MOST).into(),
        seeds: Vec::new(),
        datagram,
        forget: FORGET,
    }
}

fn process(name: &str) -> Process {
    Process {
        name: name.into(),
        nonce: u32::MAX,
    }
}

fn record(name: &str, state: State) -> Record {
    let who = identity(DATAGRAM_LEAST);
    let place = Place::new(who.advertise, who.zone, who.region);
    let mut record = Record::new(process(name), 1 << 48, state, &place, 255);
    (record.by, record.age_s) = (u32::MAX, u32::MAX);
    record
}

fn writer(datagram: usize, message: &Message) -> Writer {
    let who = identity(datagram);
    Writer::new(
        cluster_tag("wire"),
        &who,
        &process(&who.name),
        1 << 48,
        message,
    )
}

/// The least bound must hold the longest of each, or a member could say nothing.
#[test]
fn the_longest_of_each_fits_into_the_least_datagram() {
    let long = "n".repeat(NAME_MOST);
    let messages = [
        Message::Gossip,
        Message::Ping {
            seq: u32::MAX,
            to: process(&long),
        },
        Message::ask(
            u32::MAX,
            process(&long),
            "10.255.255.255:65535".parse().unwrap(),
        ),
        Message::Welcome {
            pieces: u16::MAX,
            piece: u16::MAX,
        },
        Message::Compare {
            hashes: vec![u32::MAX; BUCKETS / 4],
        },
        Message::Table {
            want: u64::MAX,
            buckets: 64,
        },
    ];
    for message in messages {
        let bytes = writer(DATAGRAM_LEAST, &message).finish();
        assert!(
            bytes.len() <= DATAGRAM_LEAST,
            "{message:?}: {}",
            bytes.len()
        );
        assert_eq!(read(cluster_tag("wire"), &bytes).unwrap().message, message);
    }
    let mut gossip = writer(DATAGRAM_LEAST, &Message::Gossip);
    assert!(
        gossip.record(&record(&long, State::Failed)),
        "a record beside the header"
    );
    assert!(!gossip.record(&record(&long, State::Failed)), "not two");
    assert!(gossip.finish().len() <= DATAGRAM_LEAST);
    let mut gossip = writer(DATAGRAM_LEAST, &Message::Gossip);
    let told = Told {
        teller: process(&long),
        kind: 1,
        number: 1,
        age: 1,
        bytes: vec![0; 64],
    };
    assert!(gossip.fact(&told), "and so does a fact");
}

#[test]
fn what_is_none_of_ours_is_told_as_that() {
    let bytes = writer(1200, &Message::Join).finish();
    assert_eq!(read(cluster_tag("other"), &bytes), Err(Refused::Foreign));
    for cut in 0..bytes.len() {
        assert_eq!(
            read(cluster_tag("wire"), &bytes[..cut]),
            Err(Refused::Garbage),
            "cut at {cut}"
        );
    }
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 0x10;
        assert!(
            read(cluster_tag("wire"), &changed).is_err(),
            "changed at {at}"
        );
    }
    let mut later = bytes.clone();
    later[1] = SPEAKS + 1;
    assert_eq!(read(cluster_tag("wire"), &later), Err(Refused::Later));
    assert_eq!(
        read(cluster_tag("wire"), &[0xF1; 1201]),
        Err(Refused::Garbage)
    );
}

/// Seals what a sender of another version might write.
fn sealed(body: &[u8]) -> Vec<u8> {
    let mut bytes = writer(1200, &Message::Gossip).finish();
    bytes.extend(body);
    sandtrack_membership::wire::seal(&mut bytes);
    bytes
}

/// Versions must be able to talk: sections and messages that are not known are passed over, and longer ones read as far as known.
#[test]
fn what_a_later_version_adds_is_passed_over() {
    let unknown = sealed(&[200, 3, 1, 2, 3]);
    assert_eq!(
        read(cluster_tag("wire"), &unknown).unwrap().message,
        Message::Gossip
    );
    let mut section = postcard::to_allocvec(&record("a", State::Alive)).unwrap();
    section.extend([7; 20]);
    let longer = sealed(&postcard::to_allocvec(&(2u8, section.as_slice())).unwrap());
    assert_eq!(
        read(cluster_tag("wire"), &longer).unwrap().records,
        [record("a", State::Alive)]
    );
    let cut = sealed(&[2, 40, 1, 2]);
    assert_eq!(
        read(cluster_tag("wire"), &cut),
        Err(Refused::Garbage),
        "a section that ends before its length"
    );
}

#[test]
fn names_addresses_and_figures_that_cannot_be_are_refused() {
    let read_one = |record: Record| {
        let mut gossip = writer(1200, &Message::Gossip);
        assert!(gossip.record(&record));
        read(cluster_tag("wire"), &gossip.finish())
    };
    assert!(read_one(record("a", State::Alive)).is_ok());
    for name in ["", "line\nend", &"x".repeat(NAME_MOST + 1)] {
        assert_eq!(
            read_one(record(name, State::Alive)),
            Err(Refused::Garbage),
            "{name:?}"
        );
    }
    let mut odd = record("a", State::Alive);
    odd.incarnation = (1 << 48) + 1;
    assert_eq!(read_one(odd), Err(Refused::Garbage));
    for address in [
        "0.0.0.0:1",
        "255.255.255.255:1",
        "224.0.0.1:1",
        "10.0.0.1:0",
    ] {
        let place = Place::new(address.parse().unwrap(), "".into(), "".into());
        let odd = Record::new(process("a"), 1, State::Alive, &place, 1);
        assert_eq!(read_one(odd), Err(Refused::Garbage), "{address}");
    }
    let mut gossip = writer(1200, &Message::Gossip);
    let told = Told {
        teller: process("a"),
        kind: 1,
        number: 1,
        age: 1,
        bytes: vec![0; FACT_MOST + 1],
    };
    assert!(gossip.fact(&told));
    assert_eq!(
        read(cluster_tag("wire"), &gossip.finish()),
        Err(Refused::Garbage)
    );
}

proptest! {
    /// Whatever it is asked to hold, a datagram holds to its bound and is read back as it was written.
    #[test]
    fn what_is_written_is_read_back(
        bound in DATAGRAM_LEAST..1200usize,
        names in proptest::collection::vec("[a-z0-9-]{1,48}", 0..60),
        states in proptest::collection::vec(0..5usize, 60),
        facts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..FACT_MOST), 0..20),
    ) {
        let all = [State::Joining, State::Alive, State::Suspect, State::Failed, State::Left];
        let mut out = writer(bound, &Message::Ack { seq: 7 });
        let records: Vec<Record> = names.iter().zip(&states).map(|(name, n)| record(name, all[*n])).collect();
        let kept: Vec<Record> = records.into_iter().filter(|record| out.record(record)).collect();
        let facts = facts.into_iter().map(|bytes| Told { teller: process("t"), kind: 9, number: 3, age: 5, bytes });
        let told: Vec<Told> = facts.filter(|told| out.fact(told)).collect();
        let bytes = out.finish();
        prop_assert!(bytes.len() <= bound);
        let datagram = read(cluster_tag("wire"), &bytes).unwrap();
        prop_assert_eq!((datagram.records, datagram.facts), (kept, told));
    }
}
