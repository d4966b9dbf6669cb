//! An order that was acknowledged and is sent again is acknowledged again or left without a clear answer, never refused; and
//! of two operators that pick one number one wins.
mod common;
use common::cluster::Cluster;
use common::{is_definite, message, route, valid_configuration};
use sandtrack_control::operator_api::call_age::Arrival;
use sandtrack_control::operator_api::pending_calls::{CallContext, PendingCalls, Step};
use sandtrack_control::operator_api::{requests, responses};
use sandtrack_control::state_machine::accepted_configurations::MAX_ACCEPTED_CONFIGURATIONS;
use sandtrack_control::state_machine::{
    ChangeKind, Command, ControlState, Outcome, Precheck, Query,
};
use sandtrack_replication::{CallError, StateMachine};

const REPLACE: &str = "/v1/configuration/replace";
const PRINT: &str = r#""service":"print""#;
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
        let outcome = self
            .state
            .apply(self.number, &borsh::to_vec(command).expect("a command"));
        borsh::from_slice(&outcome).expect("an outcome")
    }

    fn replace(&mut self, based_on: u64, body: &str) -> Outcome {
        self.apply(&Command::Configure {
            kind: ChangeKind::Replace,
            based_on,
            body: body.into(),
        })
    }

    fn update(&mut self, based_on: u64, body: &str) -> Outcome {
        self.apply(&Command::Configure {
            kind: ChangeKind::Update,
            based_on,
            body: body.into(),
        })
    }

    /// Through a snapshot, as a member that joins gets it.
    fn restored(&self) -> Log {
        let mut state = ControlState::default();
        assert!(state.restore(&self.state.snapshot()));
        assert_eq!(state.snapshot(), self.state.snapshot(), "the same on both");
        Log {
            state,
            number: self.number,
        }
    }
}

fn update(version: u64) -> String {
    format!(r#"{{"version_number":{version},"remove_names":{{"routes":["r-{version}"]}}}}"#)
}

/// The first configuration, and `count` updates on top of each other.
fn changed(count: u64) -> Log {
    let mut log = Log::default();
    assert_eq!(
        log.replace(0, &valid_configuration(7)),
        Outcome::Accepted { version: 7 }
    );
    for version in 8..8 + count {
        assert_eq!(
            log.update(version - 1, &update(version)),
            Outcome::Accepted { version }
        );
    }
    log
}

#[test]
fn every_order_is_known_again_after_hundreds_of_changes_or_left_unclear() {
    for count in [
        0,
        1,
        MAX_ACCEPTED_CONFIGURATIONS as u64 - 1,
        MAX_ACCEPTED_CONFIGURATIONS as u64,
        300,
        700,
    ] {
        let mut log = changed(count);
        let mut restored = log.restored();
        for log in [&mut log, &mut restored] {
            let mut unclear = 0;
            for version in 7..8 + count {
                let outcome = match version {
                    7 => log.replace(0, &valid_configuration(7)),
                    _ => log.update(version - 1, &update(version)),
                };
                match outcome {
                    Outcome::Accepted { version: told } => assert_eq!(told, version),
                    Outcome::Unknown => unclear += 1,
                    other => panic!("{version} of {count} is refused: {other:?}"),
                }
            }
            assert_eq!(
                unclear,
                (count + 1).saturating_sub(MAX_ACCEPTED_CONFIGURATIONS as u64),
                "after {count} changes"
            );
            assert_eq!(log.state.version(), 7 + count, "nothing has changed");
            // What lost is told so, as long as that is known.
            let current = 7 + count;
            if count > 1 {
                let lost = log.replace(current - 1, &valid_configuration(current + 2));
                assert_eq!(lost, Outcome::VersionConflict { current });
            }
        }
    }
}

#[test]
fn what_is_not_known_any_more_has_no_definite_answer() {
    assert_eq!(responses::command_result(Ok(Outcome::Unknown)).status, 503);
    assert_eq!(
        responses::command_result(Ok(Outcome::Superseded { number: 3 })).status,
        503
    );
}

#[test]
fn of_two_orders_under_one_number_one_is_taken() {
    let mut log = changed(3);
    let (mine, theirs) = (
        valid_configuration(11),
        valid_configuration(11).replace("8000", "5000"),
    );
    assert_eq!(log.replace(10, &mine), Outcome::Accepted { version: 11 });
    for mut log in [log.restored(), log] {
        assert_eq!(
            log.replace(10, &theirs),
            Outcome::VersionConflict { current: 10 + 1 }
        );
        assert_eq!(log.replace(10, &mine), Outcome::Accepted { version: 11 });
        assert_eq!(
            log.replace(9, &mine),
            Outcome::VersionConflict { current: 11 },
            "the base is part of an order"
        );
        assert_eq!(
            log.update(10, &mine),
            Outcome::VersionConflict { current: 11 },
            "and so is the form"
        );
    }
}

#[test]
fn two_operators_under_one_number_at_each_pair_of_nodes() {
    for (one, other) in [(1, 2), (2, 1), (1, 3), (3, 1), (2, 3), (3, 2), (1, 1)] {
        for gap in [0.0, 3.0, 12.0, 30.0] {
            let mut cluster = Cluster::start(3);
            cluster.run(1000.0);
            cluster.submit_until_accepted(&[2], REPLACE, 0, &valid_configuration(7));
            let (mine, theirs) = (
                valid_configuration(9),
                valid_configuration(9).replace("8000", "5000"),
            );
            let first = cluster.call(one, "POST", REPLACE, 7, &mine);
            cluster.run(gap);
            let second = cluster.call(other, "POST", REPLACE, 7, &theirs);
            cluster.run(300.0);
            let statuses: Vec<u16> = [first, second]
                .iter()
                .filter_map(|call| cluster.status(*call))
                .collect();
            assert!(
                statuses == [200, 412] || statuses == [412, 200],
                "{one} {other} {gap}: {statuses:?}"
            );
            // Each is sent again, to another node, as if its answer had been lost.
            let repeats = [
                cluster.call(other, "POST", REPLACE, 7, &mine),
                cluster.call(one, "POST", REPLACE, 7, &theirs),
            ];
            cluster.run(300.0);
            for (repeat, status) in repeats.into_iter().zip(statuses) {
                assert_eq!(cluster.status(repeat), Some(status));
            }
        }
    }
}

#[test]
fn repeated_while_the_first_copy_is_still_on_its_way() {
    for delay in [20.0, 200.0, 600.0, 2000.0] {
        let mut cluster = Cluster::start(4);
        cluster.run(1000.0);
        cluster.submit_until_accepted(&[2], REPLACE, 0, &valid_configuration(7));
        cluster.run(1000.0);
        (1..=3).for_each(|to| cluster.slow(4, to, delay));
        let first = cluster.call(4, "POST", REPLACE, 7, &valid_configuration(9));
        let begin = cluster.call(4, "POST", BEGIN, 0, "");
        cluster.run(10.0);
        cluster.submit_until_accepted(&[3], REPLACE, 7, &valid_configuration(9));
        cluster.submit_until_accepted(&[3], BEGIN, 0, "");
        cluster.submit_until_accepted(&[2], REPLACE, 9, &valid_configuration(12));
        cluster.run(4000.0);
        for call in [first, begin] {
            let (_, reply) = cluster.answer(call).expect("it is answered");
            assert!(
                reply.status == 200 || !is_definite(reply),
                "{delay}: {reply:?}"
            );
        }
        for machine in 1..=3 {
            assert_eq!(
                cluster.control_node(machine).control_state().version(),
                12,
                "{delay}"
            );
        }
        assert!(
            cluster
                .evacuated()
                .iter()
                .take(3)
                .all(|zones| zones == &["kita-hall"]),
            "{delay}"
        );
    }
}

#[test]
fn repeated_after_the_chain_was_repaired_and_after_a_wipe() {
    for gone in 1..=3 {
        let others: Vec<usize> = (1..=3).filter(|machine| *machine != gone).collect();
        let mut cluster = Cluster::start(3);
        cluster.run(1000.0);
        cluster.submit_until_accepted(&[2], REPLACE, 0, &valid_configuration(7));
        cluster.submit_until_accepted(&[gone], REPLACE, 7, &valid_configuration(9));
        cluster.submit_until_accepted(&[gone], BEGIN, 0, "");
        cluster.kill(gone, true);
        // In the new view, what was acknowledged in the old one.
        for (target, based_on, body) in [
            (REPLACE, 7, valid_configuration(9)),
            (REPLACE, 0, valid_configuration(7)),
            (BEGIN, 0, String::new()),
        ] {
            cluster.submit_until_accepted(&others, target, based_on, &body);
        }
        cluster.submit_until_accepted(&others, FINISH, 0, "");
        cluster.submit_until_accepted(&others, REPLACE, 9, &valid_configuration(11));
        cluster.wipe(gone);
        cluster.boot(gone, false);
        cluster.run(4000.0);
        for machine in 1..=3 {
            for (based_on, version) in [(0, 7), (7, 9), (9, 11)] {
                cluster.submit_until_accepted(
                    &[machine],
                    REPLACE,
                    based_on,
                    &valid_configuration(version),
                );
            }
            assert_eq!(cluster.control_node(machine).control_state().version(), 11);
        }
        assert!(cluster.evacuated().iter().all(Vec::is_empty));
    }
}

/// An update and a whole configuration that pick one number: whichever comes first is taken, and each is known again.
#[test]
fn an_update_and_a_replacement_under_one_number() {
    for replaces_first in [true, false] {
        let mut log = changed(3);
        let (whole, change) = (valid_configuration(11), update(11));
        let send = |log: &mut Log, replaces: bool| match replaces {
            true => log.replace(10, &whole),
            false => log.update(10, &change),
        };
        assert_eq!(
            send(&mut log, replaces_first),
            Outcome::Accepted { version: 11 }
        );
        assert_eq!(
            send(&mut log, !replaces_first),
            Outcome::VersionConflict { current: 11 }
        );
        let after = format!("{:?}", log.state.configuration_frame());
        for mut log in [log.restored(), log] {
            for _ in 0..2 {
                assert_eq!(
                    send(&mut log, !replaces_first),
                    Outcome::VersionConflict { current: 11 }
                );
                assert_eq!(
                    send(&mut log, replaces_first),
                    Outcome::Accepted { version: 11 }
                );
            }
            assert_eq!(
                format!("{:?}", log.state.configuration_frame()),
                after,
                "repeats change nothing"
            );
            // With a change on top of it both keep their answers.
            assert_eq!(
                log.update(11, &update(13)),
                Outcome::Accepted { version: 13 }
            );
            assert_eq!(
                send(&mut log, !replaces_first),
                Outcome::VersionConflict { current: 13 }
            );
            assert_eq!(
                send(&mut log, replaces_first),
                Outcome::Accepted { version: 11 }
            );
            assert_eq!(log.state.version(), 13);
        }
    }
}

/// The number of the current configuration with other bytes, whatever it says that it builds on.
#[test]
fn other_bytes_under_the_current_number_are_never_taken() {
    let mut log = changed(3);
    let before = log.state.configuration_frame();
    for bytes in [
        valid_configuration(10).replace("8000", "5000"),
        valid_configuration(10) + "\n",
    ] {
        assert_eq!(
            log.replace(9, &bytes),
            Outcome::VersionConflict { current: 10 }
        );
        assert_eq!(
            log.replace(0, &bytes),
            Outcome::VersionConflict { current: 10 }
        );
        assert!(matches!(
            log.replace(10, &bytes),
            Outcome::Invalid { code: 207, .. }
        ));
    }
    assert_eq!(log.state.configuration_frame(), before);
}

/// Before the first configuration the version is 0.
#[test]
fn the_first_configuration_builds_on_0() {
    let mut log = Log::default();
    assert_eq!(
        log.replace(1, &valid_configuration(7)),
        Outcome::VersionConflict { current: 0 }
    );
    assert!(
        matches!(
            log.replace(0, &valid_configuration(0)),
            Outcome::Invalid { .. }
        ),
        "0 is no version"
    );
    assert!(
        matches!(log.update(0, &update(7)), Outcome::Invalid { .. }),
        "there is nothing to update"
    );
    assert_eq!(log.state.version(), 0);
    let (mine, theirs) = (
        valid_configuration(7),
        valid_configuration(7).replace("8000", "5000"),
    );
    assert_eq!(log.replace(0, &mine), Outcome::Accepted { version: 7 });
    assert_eq!(
        log.replace(0, &theirs),
        Outcome::VersionConflict { current: 7 }
    );
    assert_eq!(log.replace(0, &mine), Outcome::Accepted { version: 7 });
    for header in ["", "-0", "0x0", "0.0", "18446744073709551616"] {
        let call = message("POST", REPLACE, &[("Based-On-Version", header)], &mine);
        assert_eq!(
            requests::parse(&call).map_err(|reply| reply.status),
            Err(400),
            "`{header}`"
        );
    }
}

/// The loser of two operators is sent again while its first copy is still under way, and after that: it is never taken.
#[test]
fn a_loser_stays_one_while_its_first_copy_is_still_on_its_way() {
    for delay in [20.0, 200.0, 600.0, 2000.0] {
        let mut cluster = Cluster::start(4);
        cluster.run(1000.0);
        cluster.submit_until_accepted(&[2], REPLACE, 0, &valid_configuration(7));
        cluster.run(1000.0);
        (1..=3).for_each(|to| cluster.slow(4, to, delay));
        let (mine, theirs) = (
            valid_configuration(9),
            valid_configuration(9).replace("8000", "5000"),
        );
        let mut losers = vec![cluster.call(4, "POST", REPLACE, 7, &mine)];
        cluster.submit_until_accepted(&[3], REPLACE, 7, &theirs);
        let taken = cluster
            .control_node(3)
            .control_state()
            .configuration_frame();
        if cluster.status(losers[0]) == Some(200) {
            panic!("{delay}: both were acknowledged");
        }
        losers.extend((1..=3).map(|machine| cluster.call(machine, "POST", REPLACE, 7, &mine)));
        cluster.run(1000.0);
        for loser in &losers[1..] {
            assert_eq!(cluster.status(*loser), Some(412), "{delay}");
        }
        cluster.run(4000.0);
        let first = cluster.status(losers[0]);
        assert!(matches!(first, Some(412 | 503)), "{delay}: {first:?}");
        for machine in 1..=3 {
            assert_eq!(
                cluster
                    .control_node(machine)
                    .control_state()
                    .configuration_frame(),
                taken,
                "{delay}"
            );
            cluster.submit_until_accepted(&[machine], REPLACE, 7, &theirs);
        }
    }
}

/// Whatever an update leads to: it is refused, or a member that gets it as text reads the same.
#[test]
fn an_update_never_leads_to_what_can_not_be_read_back() {
    let body = |more: &str| format!("{{\"version_number\":9,{more}}}");
    let (first, second) = (route("a", "/a/", PRINT), route("a", "/b/", PRINT));
    let refused = [
        (0, r#""remove_names":{"routes":["r-none"]}"#.to_owned()),
        (0, r#""set_items":{"routes":[]}"#.to_owned()),
        (7, r#""routes":5"#.to_owned()),
        (7, r#""services":{}"#.to_owned()),
        (7, format!(r#""routes":[{first},{second}]"#)),
        (
            7,
            format!(
                r#""routes":[{}]"#,
                route("a", "/a/", r#""service":"nobody""#)
            ),
        ),
        (7, r#""tags":[{"no":"name"}]"#.to_owned()),
        (
            7,
            r#""set_items":{"version_number":[{"name":"x"}]}"#.to_owned(),
        ),
    ];
    for (based_on, more) in refused {
        let mut log = if based_on == 0 {
            Log::default()
        } else {
            changed(0)
        };
        let outcome = log.update(based_on, &body(&more));
        assert!(
            matches!(outcome, Outcome::Invalid { .. }),
            "{more}: {outcome:?}"
        );
        assert_eq!(log.state.version(), based_on, "{more}");
    }
    let taken = [
        format!(r#""routes":[{first}]"#),
        r#""tags":[]"#.to_owned(),
        r#""tags":[{"name":"x"}]"#.to_owned(),
        r#""tags":["x",{"name":"y"}]"#.to_owned(),
        r#""limits":{"header_size_bytes":8192}"#.to_owned(),
    ];
    for more in taken {
        let mut log = changed(0);
        assert_eq!(
            log.update(7, &body(&more)),
            Outcome::Accepted { version: 9 },
            "{more}"
        );
        let restored = log.restored();
        assert_eq!(
            restored.state.configuration_frame(),
            log.state.configuration_frame(),
            "{more}"
        );
        // Both go on alike.
        let add = format!(
            r#"{{"version_number":11,"set_items":{{"routes":[{second}],"tags":[{{"name":"z"}}]}}}}"#
        );
        let mut both = [log, restored];
        for log in &mut both {
            assert_eq!(
                log.update(9, &add),
                Outcome::Accepted { version: 11 },
                "{more}"
            );
        }
        assert_eq!(
            both[0].state.configuration_frame(),
            both[1].state.configuration_frame(),
            "{more}"
        );
    }
}

/// A large configuration takes longer along a chain across regions than its caller waits, each time that it is sent. Once it is
/// known as taken, only a read has to pass.
#[test]
fn one_that_was_taken_too_late_is_acknowledged_when_it_is_sent_again() {
    let mut cluster = Cluster::start(3);
    cluster.run(1000.0);
    cluster.submit_until_accepted(&[2], REPLACE, 0, &valid_configuration(7));
    for (from, to) in [(1, 2), (2, 1), (1, 3), (3, 1), (2, 3), (3, 2)] {
        cluster.slow(from, to, 150.0);
    }
    cluster.run(1000.0);
    let first = cluster.call(3, "POST", REPLACE, 7, &valid_configuration(9));
    cluster.run(1200.0);
    assert_eq!(
        cluster.answer(first).map(|(_, reply)| reply.status),
        Some(503),
        "too late"
    );
    assert!(
        (1..=3).all(|machine| cluster.control_node(machine).control_state().version() == 9),
        "it is taken"
    );
    let handed_on = cluster.forwarded_calls.len();
    for machine in [3, 2, 1] {
        let repeat = cluster.call(machine, "POST", REPLACE, 7, &valid_configuration(9));
        cluster.run(1200.0);
        let (_, reply) = cluster.answer(repeat).expect("an answer");
        assert_eq!(
            (reply.status, reply.body.as_str()),
            (200, r#"{"version_number":9}"#),
            "at {machine}"
        );
    }
    assert_eq!(
        cluster.forwarded_calls.len(),
        handed_on,
        "it is not passed on once more"
    );
}

/// A control node that knows that version 9 was taken.
struct Took;

impl CallContext for Took {
    fn redirects_callers(&self) -> bool {
        false
    }

    fn last_evacuation_command(&self, _: &str) -> u64 {
        0
    }

    fn accepted_version(&self, command: &Command) -> Option<u64> {
        matches!(command, Command::Configure { based_on: 7, .. }).then_some(9)
    }

    fn precheck(&self, _: &Command) -> Precheck {
        Precheck::Passed
    }
    fn is_known_zone(&self, _: &str) -> bool {
        true
    }
}

#[test]
fn one_that_is_known_as_taken_waits_for_the_chain_and_is_never_told_as_refused() {
    let contact = borsh::to_vec(&None::<String>).expect("an answer");
    let unsure = responses::unacknowledged();
    for (result, status, body) in [
        (Ok(contact), 200, r#"{"version_number":9}"#),
        (Err(CallError::TimedOut), 503, unsure.body.as_str()),
        (Err(CallError::NoMajority), 503, unsure.body.as_str()),
        (Err(CallError::Full), 503, unsure.body.as_str()),
    ] {
        let mut calls = PendingCalls::new(0.0);
        let call = calls.register(Arrival::at(10.0));
        let replace = message(
            "POST",
            REPLACE,
            &[("Based-On-Version", "7")],
            &valid_configuration(9),
        );
        let step = calls.handle(10.0, call, &replace, &Took);
        assert_eq!(
            step,
            Step::Read {
                call,
                query: Query::Liveness
            }
        );
        let Some(Step::Reply { reply, .. }) = calls.complete(20.0, call, result, &Took) else {
            panic!("it is answered");
        };
        assert_eq!((reply.status, reply.body.as_str()), (status, body));
    }
}
