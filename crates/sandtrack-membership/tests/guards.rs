//! Guards that a whole fleet shows only now and then, each alone: records against the table, and single datagrams against a
//! member.
use sandtrack_membership::config::{Identity, FORGET};
use sandtrack_membership::table::{News, Table, MEMBERS_MOST};
use sandtrack_membership::wire::{
    cluster_tag, read, Datagram, Message, Place, Process, Record, State, Told, Writer,
};
use sandtrack_membership::{Fleet, Note};
use std::net::SocketAddrV4;

fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, number as u8 + 1].into(), 7946)
}

fn record(name: &str, nonce: u32, incarnation: u64, state: State) -> Record {
    let place = Place::new(address(9), "z".into(), "r".into());
    Record::new(
        Process {
            name: name.into(),
            nonce,
        },
        incarnation,
        state,
        &place,
        1,
    )
}

/// A table that holds "a" of nonce 5 in that state.
fn table(incarnation: u64, state: State) -> Table {
    let mut table = Table::new();
    table.apply(&record("a", 5, incarnation, state), 1_000, FORGET, false);
    table
}

fn after(mut table: Table, record: &Record) -> (State, u64, u32) {
    table.apply(record, 2_000, FORGET, false);
    let member = table.get("a").expect("known");
    (member.state, member.incarnation, member.process.nonce)
}

#[test]
fn the_later_incarnation_goes_before_and_within_one_the_graver_state() {
    use State::*;
    let states = [Joining, Alive, Suspect, Failed, Left];
    for known in states {
        for told in states {
            for incarnation in [2, 3, 4] {
                let held = after(table(3, known), &record("a", 5, incarnation, told)).0;
                let news = incarnation == 4 || incarnation == 3 && told > known;
                // Who is held for there is not taken for failed by a word: it has its time to refute.
                let told = if told == Failed && known.is_present() {
                    Suspect
                } else {
                    told
                };
                assert_eq!(
                    held,
                    if news { told } else { known },
                    "{told:?} {incarnation} against {known:?} 3"
                );
            }
        }
    }
}

#[test]
fn of_two_processes_of_a_name_the_later_life_goes_before_and_who_only_asks_goes_behind() {
    use State::*;
    assert_eq!(
        after(table(3, Alive), &record("a", 9, 3, Joining)),
        (Alive, 3, 5),
        "though its draw is higher"
    );
    assert_eq!(
        after(table(3, Joining), &record("a", 1, 3, Alive)),
        (Alive, 3, 1)
    );
    assert_eq!(
        after(table(3, Alive), &record("a", 9, 3, Alive)),
        (Alive, 3, 9),
        "the draw, so that all agree"
    );
    assert_eq!(
        after(table(3, Alive), &record("a", 1, 3, Alive)),
        (Alive, 3, 5)
    );
    assert_eq!(
        after(table(3, Failed), &record("a", 1, 4, Joining)),
        (Joining, 4, 1)
    );
    assert_eq!(
        after(table(3, Alive), &record("a", 1, 2, Left)),
        (Alive, 3, 5)
    );
}

#[test]
fn an_incarnation_far_ahead_is_nonsense_of_one_that_is_heard_unless_it_says_so_itself() {
    let far = record("a", 5, 3 + (1 << 20) + 1, State::Suspect);
    let mut heard = table(3, State::Alive);
    heard.members[0].hear(1_500);
    assert_eq!(heard.apply(&far, 2_000, FORGET, false), News::Refused);
    assert_ne!(heard.apply(&far, 2_000, FORGET, true), News::Refused);
    let mut silent = table(3, State::Alive);
    assert_ne!(
        silent.apply(&far, 2_000, FORGET, false),
        News::Refused,
        "nobody vouches for it"
    );
}

/// Else what ended would be taught anew for ever, or fill the memory.
#[test]
fn what_ended_is_let_go_and_not_taken_in_again_and_members_are_bounded() {
    let mut left = table(3, State::Left);
    let hashes = left.hashes(64);
    assert!(left.sweep(200_000, FORGET).is_empty());
    assert_eq!(left.hashes(64), hashes);
    assert!(
        left.sweep(250_000, FORGET).is_empty(),
        "it is known still ..."
    );
    assert_eq!(left.hashes(64), vec![0; 64], "... and not told on");
    assert_eq!(left.of_buckets(u64::MAX, 64).count(), 0);
    assert_eq!(left.sweep(400_000, FORGET).len(), 1);
    let mut old = record("a", 5, 3, State::Left);
    old.age_s = 290;
    assert_eq!(left.apply(&old, 400_000, FORGET, false), News::Refused);
    assert!(left.is_empty() && left.place("a").is_none());

    let mut full = Table::new();
    for n in 0..MEMBERS_MOST + 10 {
        full.apply(
            &record(&format!("m{n}"), 1, 1, State::Alive),
            0,
            FORGET,
            false,
        );
    }
    assert_eq!(
        (full.len(), full.count(State::Alive)),
        (MEMBERS_MOST, MEMBERS_MOST)
    );
}

#[test]
fn of_two_facts_of_a_kind_the_later_is_kept_also_where_numbers_come_round() {
    let mut table = table(3, State::Alive);
    let mut learns = |number: u32, byte: u8| {
        let teller = Process {
            name: "a".into(),
            nonce: 5,
        };
        table.learn(
            &Told {
                teller,
                kind: 700,
                number,
                age: 0,
                bytes: vec![byte],
            },
            1_000,
        )
    };
    assert!(
        learns(u32::MAX, 1) && learns(3, 2),
        "3 comes after the highest"
    );
    assert!(!learns(u32::MAX, 1) && !learns(3, 9));
    assert_eq!(*table.members[0].facts[0].bytes, [2]);
}

fn identity(number: usize) -> Identity {
    Identity {
        cluster: "guards".into(),
        name: format!("n{number}").into(),
        advertise: address(number),
        zone: "z".into(),
        region: "r".into(),
        seeds: vec![address(0)],
        datagram: 1200,
        forget: FORGET,
    }
}

/// It says that somebody is suspected, or worse.
fn accuses(datagram: &Datagram) -> bool {
    datagram
        .records
        .iter()
        .any(|record| record.state >= State::Suspect)
}

/// A few members, of which the test sees every datagram and drops what it wants.
struct Net {
    members: Vec<Fleet>,
    now: u64,
    stopped: Option<usize>,
}

impl Net {
    fn new(count: usize) -> Self {
        let members = (0..count)
            .map(|n| Fleet::new(identity(n), n as u64, 0))
            .collect();
        let mut net = Net {
            members,
            now: 0,
            stopped: None,
        };
        (0..count).for_each(|n| net.members[n].start(0));
        net.run(8_000, |_, _, _| true);
        net
    }

    fn run(&mut self, time: u64, passes: impl Fn(usize, usize, &Datagram) -> bool) {
        for _ in 0..time {
            self.now += 1;
            for from in 0..self.members.len() {
                if self.stopped == Some(from) {
                    continue;
                }
                if self.members[from]
                    .next_due()
                    .is_some_and(|due| due <= self.now)
                {
                    self.members[from].tick(self.now);
                }
                for (to, bytes) in self.members[from].take_datagrams() {
                    let Some(to) = (0..self.members.len()).find(|n| address(*n) == to) else {
                        continue;
                    };
                    let datagram = read(cluster_tag("guards"), &bytes).expect("one of ours");
                    if passes(from, to, &datagram) {
                        self.members[to].datagram(address(from), &bytes, self.now);
                    }
                }
            }
        }
    }

    fn process(&self, number: usize) -> Process {
        self.members[number].own_word().process
    }

    /// One gets a datagram that says that it is of this member, and holds these records.
    fn tell(&mut self, to: usize, of: usize, incarnation: u64, records: &[Record]) {
        let of = self.process(of);
        let mut writer = Writer::new(
            cluster_tag("guards"),
            &identity(1),
            &of,
            incarnation,
            &Message::Gossip,
        );
        assert!(records.iter().all(|record| writer.record(record)));
        self.members[to].datagram(address(1), &writer.finish(), self.now);
    }

    /// It hears nothing and does nothing for this time.
    fn stop(&mut self, number: usize, time: u64) {
        self.stopped = Some(number);
        self.run(time, |_, to, _| to != number);
        self.stopped = None;
    }

    /// Several accuse it.
    fn suspect(&self, number: usize) -> Vec<Record> {
        let place = Place::new(address(number), "z".into(), "r".into());
        let accused = (10..14).map(|by| {
            let mut suspect = Record::new(self.process(number), 1, State::Suspect, &place, 1);
            suspect.by = by;
            suspect
        });
        accused.collect()
    }

    fn states(&self, of: &str) -> Vec<Option<State>> {
        self.members
            .iter()
            .map(|member| member.state_of(of))
            .collect()
    }

    fn failures(&mut self) -> usize {
        let failed = |note: &Note| {
            matches!(
                note,
                Note::Member {
                    to: State::Failed,
                    ..
                }
            )
        };
        self.members
            .iter_mut()
            .map(|member| {
                member
                    .take_notes()
                    .iter()
                    .filter(|note| failed(note))
                    .count()
            })
            .sum()
    }
}

/// Its answers get lost, and what it says itself comes through: it lives.
#[test]
fn one_whose_own_datagrams_come_is_not_accused_for_answers_that_do_not() {
    let mut net = Net::new(3);
    net.failures();
    net.run(20_000, |from, _, datagram| {
        from != 2 || !matches!(datagram.message, Message::Ack { .. })
    });
    assert_eq!(net.failures(), 0);
}

/// The same where nobody else is there to ask: what was heard of it meanwhile is the only thing that speaks for it.
#[test]
fn one_of_two_that_is_heard_is_not_even_suspected() {
    let mut net = Net::new(2);
    net.run(20_000, |from, _, datagram| {
        from != 1 || !matches!(datagram.message, Message::Ack { .. })
    });
    assert_eq!(net.members[0].counts().suspicions, 0);
}

/// One stands still for half a minute while a probe is out, and again with a suspect whose time is nearly over: what it did not
/// hear meanwhile is no evidence, neither for a suspicion nor for its end.
#[test]
fn one_that_stood_still_judges_nobody_by_what_it_did_not_hear() {
    for moment in (0..600).step_by(20) {
        let mut net = Net::new(2);
        net.run(moment, |from, _, _| from != 1);
        net.stop(0, 30_000);
        net.run(1_500, |_, _, _| true);
        assert_eq!(
            net.members[0].counts().suspicions,
            0,
            "stopped after {moment} ms"
        );
    }
    for moment in (0..1_700).step_by(20) {
        let mut net = Net::new(6);
        let suspect = net.suspect(2);
        net.tell(0, 1, 1, &suspect);
        // Nobody tells the suspect.
        net.run(moment, |_, _, datagram| !accuses(datagram));
        net.stop(0, 30_000);
        net.run(200, |_, _, datagram| !accuses(datagram));
        assert_eq!(
            net.members[0].counts().failures,
            0,
            "stopped after {moment} ms"
        );
    }
}

/// What is said of it reaches nobody, but with the ping that asks for its last word.
#[test]
fn a_suspect_is_asked_itself_before_it_is_held_for_failed() {
    let mut net = Net::new(6);
    let accused = net.suspect(2);
    net.tell(0, 1, 1, &accused);
    assert_eq!(net.members[0].state_of("n2"), Some(State::Suspect));
    net.run(1_450, |_, _, datagram| !accuses(datagram));
    assert_eq!(
        net.members[0].state_of("n2"),
        Some(State::Suspect),
        "its time is nearly over"
    );
    net.run(3_000, |from, to, datagram| {
        !accuses(datagram)
            || (from, to) == (0, 2) && matches!(datagram.message, Message::Ping { .. })
    });
    assert_eq!(net.members[0].state_of("n2"), Some(State::Alive));
    let accused: u64 = net
        .members
        .iter()
        .map(|member| member.counts().failures)
        .sum();
    assert_eq!(accused, 0);
}

/// Several accuse it at once when its time alone would be long over: it is asked all the same, and has time to answer.
#[test]
fn a_suspect_has_time_for_its_last_word_however_late_others_join_in() {
    let mut net = Net::new(6);
    let accused = net.suspect(2);
    for (wait, accused) in [(0, &accused[..1]), (2_000, &accused[1..])] {
        net.run(wait, |_, _, datagram| !accuses(datagram));
        net.tell(0, 1, 1, accused);
    }
    assert_eq!(net.members[0].state_of("n2"), Some(State::Suspect));
    // It is asked at the next look, 100 ms later, and its answer may take 200 ms.
    net.run(299, |_, _, datagram| !accuses(datagram));
    assert_eq!(net.members[0].counts().failures, 0);
}

/// More than can be looked at in a second is dropped unread, and told as that.
#[test]
fn a_flood_is_dropped_unread() {
    let mut net = Net::new(2);
    let now = net.now;
    (0..5_000).for_each(|_| net.members[0].datagram(address(7), b"x", now));
    net.run(2_000, |_, _, _| true);
    let refused = |note: &Note| match note {
        Note::Refused { garbage, over, .. } => Some((*garbage, *over)),
        _ => None,
    };
    let (garbage, over) = net.members[0]
        .take_notes()
        .iter()
        .find_map(refused)
        .expect("it is told");
    assert!(
        garbage <= 2_000 && over >= 3_000,
        "{garbage} garbage, {over} over"
    );
    assert_eq!(net.members[0].state_of("n1"), Some(State::Alive));
}

/// A liar says that one is another process somewhere else: that one hears of it as soon as it speaks to whoever believes it.
#[test]
fn one_that_is_shadowed_by_an_invention_is_back_within_seconds() {
    let mut net = Net::new(4);
    let invented = record("n2", 1, 50, State::Alive);
    for n in [0, 1, 3] {
        net.tell(
            n,
            if n == 1 { 0 } else { 1 },
            1,
            std::slice::from_ref(&invented),
        );
    }
    net.run(5_000, |_, _, _| true);
    for member in &net.members {
        let seen = member.members();
        let held = seen.iter().find(|seen| seen.name == "n2").expect("known");
        assert_eq!(
            (held.place.address, held.state),
            (address(2), State::Alive),
            "{}",
            member.name()
        );
    }
}

/// A liar says in one's own name that it is far ahead: it goes on from there, and can refute what is said of it then.
#[test]
fn one_goes_on_from_an_incarnation_that_others_hold_it_for() {
    let mut net = Net::new(3);
    net.tell(0, 2, 1 << 40, &[]);
    net.run(6_000, |_, _, _| true);
    let failed = record("n2", net.process(2).nonce, 1 << 40, State::Failed);
    net.tell(0, 1, 1, &[failed]);
    net.run(6_000, |_, _, _| true);
    assert_eq!(net.states("n2"), [Some(State::Alive); 3]);
}
