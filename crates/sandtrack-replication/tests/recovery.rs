//! What a process makes of a WAL that it can't read, or that is another member's: it comes back as a new member, and
//! nothing of the former content is read with what it writes.
use sandtrack_replication::{Effect, Input, Replica, Settings, StateMachine};

#[derive(Default)]
struct Nothing;

impl StateMachine for Nothing {
    fn apply(&mut self, _: u64, _: &[u8]) -> Vec<u8> {
        Vec::new()
    }

    fn query(&self, _: &[u8]) -> Vec<u8> {
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _: &[u8]) -> bool {
        true
    }
}

fn settings(me: &str, first_start: bool, incarnation: u64) -> Settings {
    let mut settings = Settings::new(me, &["a", "b", "c"]);
    settings.first_start = first_start;
    settings.new_incarnation = incarnation;
    settings
}

/// What the first write holds, and whether it replaces the content.
fn first_write(effects: &[Effect]) -> Option<(u64, Vec<Vec<u8>>, bool)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Write { ticket, records } => Some((*ticket, records.clone(), false)),
        Effect::Rewrite { ticket, records } => Some((*ticket, records.clone(), true)),
        _ => None,
    })
}

/// The WAL of seed `a` after its very first start.
fn wal_of_a() -> Vec<Vec<u8>> {
    let (mut replica, effects) = Replica::new(settings("a", true, 7), &[], Nothing, 0.0);
    let (ticket, records, replaces) = first_write(&effects).unwrap();
    assert!(!replaces, "an empty WAL is appended to");
    replica.handle(1.0, Input::Written { ticket }, &mut Vec::new());
    records
}

fn comes_back_as_new(me: &str, found: &[Vec<u8>]) {
    let (replica, effects) = Replica::new(settings(me, false, 8), found, Nothing, 0.0);
    assert_eq!(replica.member().incarnation, 8);
    assert_eq!(
        replica.view().epoch,
        0,
        "no view and no promise of the former member"
    );
    let (_, records, replaces) = first_write(&effects).unwrap();
    assert!(replaces, "the former content is replaced");
    let (again, _) = Replica::new(settings(me, false, 9), &records, Nothing, 0.0);
    assert_eq!((again.member().incarnation, again.view().epoch), (8, 0));
}

#[test]
fn a_record_that_cant_be_read_makes_a_new_member() {
    let mut found = wal_of_a();
    found.push(vec![255; 7]);
    comes_back_as_new("a", &found);
}

#[test]
fn the_wal_of_another_address_makes_a_new_member() {
    comes_back_as_new("d", &wal_of_a());
}

#[test]
fn its_own_wal_makes_the_same_member() {
    let (replica, _) = Replica::new(settings("a", false, 8), &wal_of_a(), Nothing, 0.0);
    assert_eq!((replica.member().incarnation, replica.view().epoch), (0, 1));
}
