//! A port on a network gets anything: a million datagrams, random, cut, doubled, old and changed ones, some of them with a check
//! that fits. Nobody is held for failed by them, memory and time stay bounded, and nothing panics.
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64;
use sandtrack_membership::config::{Identity, FORGET};
use sandtrack_membership::table::{KINDS_MOST, MEMBERS_MOST};
use sandtrack_membership::wire::{
    cluster_tag, seal, Message, Place, Process, Record, State, Told, Writer,
};
use sandtrack_membership::{Fleet, Note};
use std::net::SocketAddrV4;

fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(
        [10, 0, (number / 250) as u8, (number % 250 + 1) as u8].into(),
        7946,
    )
}

fn identity(number: usize) -> Identity {
    Identity {
        cluster: "hostile".into(),
        name: format!("n{number}").into(),
        advertise: address(number),
        zone: "z".into(),
        region: "r".into(),
        seeds: vec![address(0), address(1)],
        datagram: 1200,
        forget: FORGET,
    }
}

/// Five members on a network without loss; what they send each other is kept.
struct Small {
    members: Vec<Fleet>,
    now: u64,
    sent: Vec<Vec<u8>>,
}

impl Small {
    fn new() -> Self {
        let members = (0..5)
            .map(|n| Fleet::new(identity(n), n as u64, 0))
            .collect();
        let mut small = Small {
            members,
            now: 0,
            sent: Vec::new(),
        };
        (0..5).for_each(|n| small.members[n].start(0));
        small.run(10_000);
        small
    }

    /// Time passes; what was sent arrives in the next millisecond.
    fn run(&mut self, time: u64) {
        for _ in 0..time {
            self.now += 1;
            for n in 0..self.members.len() {
                if self.members[n]
                    .next_due()
                    .is_some_and(|due| due <= self.now)
                {
                    self.members[n].tick(self.now);
                }
                for (to, bytes) in self.members[n].take_datagrams() {
                    if self.sent.len() < 4_000 {
                        self.sent.push(bytes.clone());
                    }
                    if let Some(at) = (0..self.members.len()).find(|at| address(*at) == to) {
                        self.members[at].datagram(address(n), &bytes, self.now);
                    }
                }
            }
        }
    }

    /// Pairs of which one holds the other for failed or for gone.
    fn lost(&self) -> usize {
        let lost = |member: &Fleet| {
            let there = |of: &usize| {
                member
                    .state_of(&format!("n{of}"))
                    .is_some_and(State::is_present)
            };
            (0..5).filter(|of| !there(of)).count()
        };
        self.members.iter().map(lost).sum()
    }
}

/// None of these carries a word that a member did not send so: the check does not fit, or an old datagram comes again.
#[test]
fn a_million_datagrams_that_no_member_sent_so_fail_nobody() {
    let mut small = Small::new();
    assert_eq!(small.lost(), 0);
    let mut rng = Pcg64::seed_from_u64(1);
    let kept = small.sent.clone();
    let mut buffer = [0u8; 1500];
    for n in 0..1_000_000u32 {
        let to = rng.gen_range(0..5);
        let old = &kept[rng.gen_range(0..kept.len())];
        let bytes = match n % 4 {
            0 => {
                let length = rng.gen_range(0..buffer.len());
                rng.fill_bytes(&mut buffer[..length]);
                &buffer[..length]
            }
            1 => &old[..rng.gen_range(0..old.len())],
            2 => {
                buffer[..old.len()].copy_from_slice(old);
                for _ in 0..rng.gen_range(1..6) {
                    buffer[rng.gen_range(0..old.len())] ^= 1 << rng.gen_range(0..8);
                }
                &buffer[..old.len()]
            }
            // As it was, from whenever it was, and from anywhere.
            _ => &old[..],
        };
        let now = small.now;
        small.members[to].datagram(address(rng.gen_range(0..9)), bytes, now);
        if n % 200 == 0 {
            // 1,000 a second to each: half of what they look at.
            small.run(40);
            small.sent.clear();
        }
    }
    small.run(5_000);
    assert_eq!(small.lost(), 0, "somebody was failed by what nobody said");
    for member in &mut small.members {
        let notes = member.take_notes();
        let failed = notes
            .iter()
            .filter(|note| {
                matches!(
                    note,
                    Note::Member {
                        to: State::Failed,
                        ..
                    }
                )
            })
            .count();
        assert_eq!(
            (failed, member.expected()),
            (0, 5),
            "nobody fails, and nobody is invented"
        );
        assert!(member.counts().refused > 100_000);
    }
}

/// These carry lies with a check that fits: there is no sign-in yet. Memory is bounded, and one who lives is held for failed no
/// longer than an invention is vouched for.
#[test]
fn lies_are_bounded_and_the_living_come_back() {
    let mut small = Small::new();
    let mut rng = Pcg64::seed_from_u64(2);
    let cluster = cluster_tag("hostile");
    let states = [
        State::Joining,
        State::Alive,
        State::Suspect,
        State::Failed,
        State::Left,
    ];
    for n in 0..30_000u32 {
        let name = |rng: &mut Pcg64| match rng.gen_range(0..3) {
            0 => format!("n{}", rng.gen_range(0..5)),
            1 => format!("made-up-{}", rng.gen_range(0..200)),
            _ => format!("n{}", rng.gen_range(0..9)),
        };
        let liar = Identity {
            name: name(&mut rng).into(),
            ..identity(rng.gen_range(0..9))
        };
        let process = Process {
            name: liar.name.clone(),
            nonce: rng.gen_range(0..3),
        };
        let message = match rng.gen_range(0..8) {
            0 => Message::Join,
            1 => Message::Compare {
                hashes: vec![rng.gen(); 16],
            },
            2 => Message::Table {
                want: rng.gen(),
                buckets: 64,
            },
            3 => Message::Ping {
                seq: rng.gen(),
                to: process.clone(),
            },
            4 => Message::ask(rng.gen(), process.clone(), address(rng.gen_range(0..9))),
            5 => Message::Welcome {
                pieces: rng.gen(),
                piece: rng.gen(),
            },
            6 => Message::Ack {
                seq: rng.gen_range(0..500),
            },
            _ => Message::Nack {
                seq: rng.gen_range(0..500),
            },
        };
        let mut writer = Writer::new(
            cluster,
            &liar,
            &process,
            rng.gen_range(0..1 << 40),
            &message,
        );
        for _ in 0..20 {
            let nonce = rng.gen_range(0..3);
            let about = Process {
                name: name(&mut rng).into(),
                nonce,
            };
            let incarnation = if rng.gen() {
                rng.gen_range(0..40)
            } else {
                rng.gen_range(0..1 << 40)
            };
            let place = Place::new(address(rng.gen_range(0..2_000)), "z".into(), "r".into());
            let mut record = Record::new(
                about.clone(),
                incarnation,
                states[rng.gen_range(0..5)],
                &place,
                1,
            );
            (record.by, record.age_s) = (rng.gen(), rng.gen_range(0..10_000));
            writer.record(&record);
            let kind = rng.gen_range(0..100);
            writer.fact(&Told {
                teller: about,
                kind,
                number: rng.gen(),
                age: rng.gen(),
                bytes: vec![1; 90],
            });
        }
        let mut bytes = writer.finish();
        if rng.gen_range(0..4) == 0 {
            let at = rng.gen_range(6..bytes.len());
            bytes[at] = rng.gen();
            seal(&mut bytes);
        }
        let (to, now) = (rng.gen_range(0..5), small.now);
        small.members[to].datagram(address(8), &bytes, now);
        if n % 100 == 0 {
            small.run(30);
            small.sent.clear();
        }
    }
    for member in &small.members {
        assert!(member.members().len() <= MEMBERS_MOST + 1);
        let facts = member.members().iter().map(|seen| seen.facts.len()).max();
        assert!(facts.unwrap_or(0) <= KINDS_MOST);
    }
    // What was invented is vouched for by its own datagrams for a minute, and has to be probed to be found out.
    small.run(150_000);
    assert_eq!(small.lost(), 0, "all five live, and say so");
}
