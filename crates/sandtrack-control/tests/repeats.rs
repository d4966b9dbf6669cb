//! An order that was acknowledged and is sent again is acknowledged again or left without a clear answer, never refused; and
//! of two operators that pick one number one wins.
mod common;
use common::cluster::Cluster;
use common::{good, message};
use sandtrack_control::arrivals::Arrival;
use sandtrack_control::control;
use sandtrack_control::control_state::{Command, ControlState, Form, Outcome, Question};
use sandtrack_control::operator_calls::{Known, OperatorCalls, Step};
use sandtrack_control::taken::TAKEN_KEPT;
use sandtrack_replication::{Refusal, StateMachine};

const REPLACE: &str = "/v1/configuration/replace";
const BEGIN: &str = "/v1/evacuation/kita-hall/begin";
const FINISH: &str = "/v1/evacuation/kita-hall/finish";

/// A control state, and the number of its last command.
#[derive(Default)]
struct Log {
    state: ControlState,
    number: u64,
}

impl Log {
    fn apply(&mut self, command: &Command) -> Outcome {
        self.number += 1;
        let outcome = self.state.apply(self.number, &borsh::to_vec(command).expect("a command"));
        borsh::from_slice(&outcome).expect("an outcome")
    }

    fn replace(&mut self, based_on: u64, body: &str) -> Outcome {
        self.apply(&Command::Configure { form: Form::Replace, based_on, body: body.into() })
    }

    fn update(&mut self, based_on: u64, body: &str) -> Outcome {
        self.apply(&Command::Configure { form: Form::Update, based_on, body: body.into() })
    }

    /// Through a snapshot, as a member that joins gets it.
    fn restored(&self) -> Log {
        let mut state = ControlState::default();
        assert!(state.restore(&self.state.snapshot()));
        assert_eq!(state.snapshot(), self.state.snapshot(), "the same on both");
        Log { state, number: self.number }
    }
}

fn update(version: u64) -> String {
    format!(r#"{{"version_number":{version},"remove_names":{{"routes":["r-{version}"]}}}}"#)
}

/// The first configuration, and `count` updates on top of each other.
fn changed(count: u64) -> Log {
    let mut log = Log::default();
    assert_eq!(log.replace(0, &good(7)), Outcome::Taken { version: 7 });
    for version in 8..8 + count {
        assert_eq!(log.update(version - 1, &update(version)), Outcome::Taken { version });
    }
    log
}

#[test]
fn every_order_is_known_again_after_hundreds_of_changes_or_left_unclear() {
    for count in [0, 1, TAKEN_KEPT as u64 - 1, TAKEN_KEPT as u64, 300, 700] {
        let mut log = changed(count);
        let mut restored = log.restored();
        for log in [&mut log, &mut restored] {
            let mut unclear = 0;
            for version in 7..8 + count {
                let outcome = match version {
                    7 => log.replace(0, &good(7)),
                    _ => log.update(version - 1, &update(version)),
                };
                match outcome {
                    Outcome::Taken { version: told } => assert_eq!(told, version),
                    Outcome::Forgotten => unclear += 1,
                    other => panic!("{version} of {count} is refused: {other:?}"),
                }
            }
            assert_eq!(unclear, (count + 1).saturating_sub(TAKEN_KEPT as u64), "after {count} changes");
            assert_eq!(log.state.version(), 7 + count, "nothing has changed");
            // What lost is told so, as long as that is known.
            let current = 7 + count;
            if count > 1 {
                let lost = log.replace(current - 1, &good(current + 2));
                assert_eq!(lost, Outcome::Other { current });
            }
        }
    }
}

#[test]
fn what_is_not_known_any_more_has_no_definite_answer() {
    assert_eq!(control::outcome(Ok(Outcome::Forgotten)).status, 503);
    assert_eq!(control::outcome(Ok(Outcome::Superseded { number: 3 })).status, 503);
}

#[test]
fn of_two_orders_under_one_number_one_is_taken() {
    let mut log = changed(3);
    let (mine, theirs) = (good(11), good(11).replace("8000", "5000"));
    assert_eq!(log.replace(10, &mine), Outcome::Taken { version: 11 });
    for mut log in [log.restored(), log] {
        assert_eq!(log.replace(10, &theirs), Outcome::Other { current: 10 + 1 });
        assert_eq!(log.replace(10, &mine), Outcome::Taken { version: 11 });
        assert_eq!(log.replace(9, &mine), Outcome::Other { current: 11 }, "the base is part of an order");
        assert_eq!(log.update(10, &mine), Outcome::Other { current: 11 }, "and so is the form");
    }
}

#[test]
fn two_operators_under_one_number_at_each_pair_of_nodes() {
    for (one, other) in [(1, 2), (2, 1), (1, 3), (3, 1), (2, 3), (3, 2), (1, 1)] {
        for gap in [0.0, 3.0, 12.0, 30.0] {
            let mut cluster = Cluster::start(3);
            cluster.run(1000.0);
            cluster.insist(&[2], REPLACE, 0, &good(7));
            let (mine, theirs) = (good(9), good(9).replace("8000", "5000"));
            let first = cluster.call(one, "POST", REPLACE, 7, &mine);
            cluster.run(gap);
            let second = cluster.call(other, "POST", REPLACE, 7, &theirs);
            cluster.run(300.0);
            let statuses: Vec<u16> = [first, second]
                .iter()
                .filter_map(|call| cluster.answer(*call).map(|(_, reply)| reply.status))
                .collect();
            assert!(statuses == [200, 412] || statuses == [412, 200], "{one} {other} {gap}: {statuses:?}");
            // Each is sent again, to another node, as if its answer had been lost.
            let repeats = [
                cluster.call(other, "POST", REPLACE, 7, &mine),
                cluster.call(one, "POST", REPLACE, 7, &theirs),
            ];
            cluster.run(300.0);
            for (repeat, status) in repeats.into_iter().zip(statuses) {
                assert_eq!(cluster.answer(repeat).map(|(_, reply)| reply.status), Some(status));
            }
        }
    }
}

#[test]
fn repeated_while_the_first_copy_is_still_on_its_way() {
    for delay in [20.0, 200.0, 600.0, 2000.0] {
        let mut cluster = Cluster::start(4);
        cluster.run(1000.0);
        cluster.insist(&[2], REPLACE, 0, &good(7));
        cluster.run(1000.0);
        (1..=3).for_each(|to| cluster.slow(4, to, delay));
        let first = cluster.call(4, "POST", REPLACE, 7, &good(9));
        let begin = cluster.call(4, "POST", BEGIN, 0, "");
        cluster.run(10.0);
        cluster.insist(&[3], REPLACE, 7, &good(9));
        cluster.insist(&[3], BEGIN, 0, "");
        cluster.insist(&[2], REPLACE, 9, &good(12));
        cluster.run(4000.0);
        for call in [first, begin] {
            let status = cluster.answer(call).map(|(_, reply)| reply.status);
            assert!(matches!(status, Some(200 | 503)), "{delay}: {status:?}");
        }
        for house in 1..=3 {
            assert_eq!(cluster.control_node(house).control_state().version(), 12, "{delay}");
        }
        assert!(cluster.evacuated().iter().take(3).all(|zones| zones == &["kita-hall"]), "{delay}");
    }
}

#[test]
fn repeated_after_the_chain_was_repaired_and_after_a_wipe() {
    for gone in 1..=3 {
        let others: Vec<usize> = (1..=3).filter(|house| *house != gone).collect();
        let mut cluster = Cluster::start(3);
        cluster.run(1000.0);
        cluster.insist(&[2], REPLACE, 0, &good(7));
        cluster.insist(&[gone], REPLACE, 7, &good(9));
        cluster.insist(&[gone], BEGIN, 0, "");
        cluster.kill(gone, true);
        // In the new view, what was acknowledged in the old one.
        for (target, based_on, body) in
            [(REPLACE, 7, good(9)), (REPLACE, 0, good(7)), (BEGIN, 0, String::new())]
        {
            cluster.insist(&others, target, based_on, &body);
        }
        cluster.insist(&others, FINISH, 0, "");
        cluster.insist(&others, REPLACE, 9, &good(11));
        cluster.wipe(gone);
        cluster.boot(gone, false);
        cluster.run(4000.0);
        for house in 1..=3 {
            for (based_on, version) in [(0, 7), (7, 9), (9, 11)] {
                cluster.insist(&[house], REPLACE, based_on, &good(version));
            }
            assert_eq!(cluster.control_node(house).control_state().version(), 11);
        }
        assert!(cluster.evacuated().iter().all(Vec::is_empty));
    }
}

/// A large configuration takes longer along a chain across regions than its caller waits, each time that it is sent. Once it is
/// known as taken, only a read has to pass.
#[test]
fn one_that_was_taken_too_late_is_acknowledged_when_it_is_sent_again() {
    let mut cluster = Cluster::start(3);
    cluster.run(1000.0);
    cluster.insist(&[2], REPLACE, 0, &good(7));
    for (from, to) in [(1, 2), (2, 1), (1, 3), (3, 1), (2, 3), (3, 2)] {
        cluster.slow(from, to, 150.0);
    }
    cluster.run(1000.0);
    let first = cluster.call(3, "POST", REPLACE, 7, &good(9));
    cluster.run(1200.0);
    assert_eq!(cluster.answer(first).map(|(_, reply)| reply.status), Some(503), "too late");
    assert!((1..=3).all(|house| cluster.control_node(house).control_state().version() == 9), "it is taken");
    let handed_on = cluster.submits.len();
    for house in [3, 2, 1] {
        let repeat = cluster.call(house, "POST", REPLACE, 7, &good(9));
        cluster.run(1200.0);
        let (_, reply) = cluster.answer(repeat).expect("an answer");
        assert_eq!((reply.status, reply.body.as_str()), (200, r#"{"version_number":9}"#), "at {house}");
    }
    assert_eq!(cluster.submits.len(), handed_on, "it is not passed on once more");
}

/// A control node that knows that version 9 was taken.
struct Took;

impl Known for Took {
    fn passes_callers_on(&self) -> bool {
        false
    }

    fn last_order(&self, _: &str) -> u64 {
        0
    }

    fn version_taken(&self, command: &Command) -> Option<u64> {
        matches!(command, Command::Configure { based_on: 7, .. }).then_some(9)
    }

    fn names_zone(&self, _: &str) -> bool {
        true
    }
}

#[test]
fn one_that_is_known_as_taken_waits_for_the_chain_and_is_never_told_as_refused() {
    let contact = borsh::to_vec(&None::<String>).expect("an answer");
    let unsure = control::unsure();
    for (result, status, body) in [
        (Ok(contact), 200, r#"{"version_number":9}"#),
        (Err(Refusal::TimedOut), 503, unsure.body.as_str()),
        (Err(Refusal::NoMajority), 503, unsure.body.as_str()),
        (Err(Refusal::Full), 503, unsure.body.as_str()),
    ] {
        let mut calls = OperatorCalls::new(0.0);
        let call = calls.begin(Arrival::at(10.0));
        let replace = message("POST", REPLACE, &[("Based-On-Version", "7")], &good(9));
        let step = calls.call(10.0, call, &replace, &Took);
        assert_eq!(step, Step::Read { call, question: Question::Contact });
        let Some(Step::Reply { reply, .. }) = calls.answer(20.0, call, result, &Took) else {
            panic!("it is answered");
        };
        assert_eq!((reply.status, reply.body.as_str()), (status, body));
    }
}
