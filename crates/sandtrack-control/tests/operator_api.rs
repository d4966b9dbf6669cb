//! The operators' calls and their answers, as whole exchanges with one control state. No replica, no sockets, no clock.
mod common;
use common::{
    assert_transcript, configuration, message, route, settings, valid_configuration, LIMITS,
    SERVICES,
};
use sandtrack_control::operator_api::requests::{self, Request};
use sandtrack_control::operator_api::responses::{self, Reply};
use sandtrack_control::state_machine::{Command, ControlState, Outcome, Query};
use sandtrack_replication::{CallError, StateMachine};

/// A counter with one control state behind it: what is ordered is committed at once.
struct Counter {
    control_state: ControlState,
    number: u64,
    transcript: String,
}

impl Counter {
    fn new() -> Counter {
        Counter {
            control_state: ControlState::default(),
            number: 0,
            transcript: String::new(),
        }
    }

    fn call(
        &mut self,
        what: &str,
        method: &str,
        target: &str,
        based_on: Option<&str>,
        body: &str,
    ) -> u16 {
        let headers: Vec<(&str, &str)> = based_on
            .map(|version| ("Based-On-Version", version))
            .into_iter()
            .collect();
        let reply = match requests::parse(&message(method, target, &headers, body)) {
            Err(reply) => reply,
            Ok(Request::Configure(command)) => self.apply(&command),
            Ok(Request::Evacuate { zone, begin }) if settings(1).zones.contains_key(&zone) => {
                let last_known = self.control_state.last_evacuation_command(&zone);
                self.apply(&Command::SetEvacuation {
                    zone,
                    begin,
                    last_known,
                })
            }
            Ok(Request::Evacuate { zone, .. }) => responses::unknown_zone(&zone),
            Ok(Request::Read) => {
                let answer = self
                    .control_state
                    .query(&borsh::to_vec(&Query::Configuration).expect("a question"));
                responses::query_result(Ok(borsh::from_slice(&answer).expect("an answer")))
            }
            Ok(Request::Status) => Reply::success("(status)".to_owned()),
        };
        let version = based_on.map_or(String::new(), |version| format!(" (on {version})"));
        self.transcript
            .push_str(&format!("# {what}\n{method} {target}{version}\n"));
        if body.len() < 200 && !body.is_empty() {
            self.transcript.push_str(&format!("{body}\n"));
        }
        self.transcript
            .push_str(&format!("-> {} {}\n\n", reply.status, reply.body));
        reply.status
    }

    fn apply(&mut self, command: &Command) -> Reply {
        self.number += 1;
        let outcome = self
            .control_state
            .apply(self.number, &borsh::to_vec(command).expect("a command"));
        responses::command_result(Ok(
            borsh::from_slice::<Outcome>(&outcome).expect("an outcome")
        ))
    }

    fn replace(&mut self, what: &str, based_on: &str, body: &str) -> u16 {
        self.call(
            what,
            "POST",
            "/v1/configuration/replace",
            Some(based_on),
            body,
        )
    }

    fn update(&mut self, what: &str, based_on: &str, body: &str) -> u16 {
        self.call(
            what,
            "POST",
            "/v1/configuration/update",
            Some(based_on),
            body,
        )
    }

    fn read(&mut self, what: &str) -> u16 {
        self.call(what, "GET", "/v1/configuration/read", None, "")
    }
}

#[test]
fn configurations_are_taken_updated_and_read_back() {
    let mut counter = Counter::new();
    assert_eq!(counter.read("before the first one"), 404);
    assert_eq!(
        counter.replace("the first one", "0", &valid_configuration(7)),
        200
    );
    assert_eq!(counter.read("it is read back"), 200);
    let added = route(
        "r-new",
        "/new/",
        r#""weighted_split":[{"service":"print","weight":90},{"service":"lm","weight":10}]"#,
    );
    let update = format!(
        r#"{{"version_number":9,"set_items":{{"routes":[{added}]}},"remove_names":{{"routes":["r-print","r-none"]}}}}"#
    );
    assert_eq!(
        counter.update(
            "a route comes, another goes, one to go is not there",
            "7",
            &update
        ),
        200
    );
    assert_eq!(counter.read("it is read back"), 200);
    let limits = r#"{"version_number":12,"limits":{"header_size_bytes":8192,"body_size_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    assert_eq!(counter.update("a field that is no list", "9", limits), 200);
    assert_eq!(
        counter.replace("a whole one on top", "12", &valid_configuration(100)),
        200
    );
    assert_eq!(counter.read("it is read back"), 200);
    assert_transcript("operator-configurations", &counter.transcript);
}

#[test]
fn every_kind_of_invalid_configuration_is_refused_and_changes_nothing() {
    let mut counter = Counter::new();
    assert_eq!(
        counter.replace("the first one", "0", &valid_configuration(7)),
        200
    );
    let one = |more: &str| configuration(9, &[route("r-print", "/print/", more)]);
    let print = r#""service":"print""#;
    let whole = valid_configuration(9);
    let cases: Vec<(&str, String)> = vec![
        ("cut_short", whole[..whole.len() / 2].to_owned()),
        ("cut_short: nothing at all", String::new()),
        ("no object", "[]".to_owned()),
        (
            "no services",
            format!(r#"{{"version_number":9,"routes":[],"limits":{LIMITS}}}"#),
        ),
        (
            "no routes",
            format!(r#"{{"version_number":9,"services":{SERVICES}}}"#),
        ),
        (
            "no version",
            format!(r#"{{"routes":[],"services":{SERVICES}}}"#),
        ),
        (
            "a version that is no number",
            valid_configuration(9).replace("\"version_number\":9", "\"version_number\":\"9\""),
        ),
        ("unknown_service", one(r#""service":"nobody""#)),
        (
            "unknown_service in a split",
            one(
                r#""weighted_split":[{"service":"print","weight":1},{"service":"nobody","weight":0}]"#,
            ),
        ),
        (
            "same_place",
            configuration(
                9,
                &[
                    route("r-one", "/print/", print),
                    route("r-two", "/print/", print),
                ],
            ),
        ),
        (
            "same_place, the host in capitals",
            configuration(
                9,
                &[
                    route("r-one", "/print/", print),
                    route("r-two", "/print/", print).replace("ficu95", "FICU95"),
                ],
            ),
        ),
        (
            "no_weight",
            one(r#""weighted_split":[{"service":"print","weight":0},{"service":"lm","weight":0}]"#),
        ),
        ("no_weight: no parts", one(r#""weighted_split":[]"#)),
        (
            "no_timeout",
            valid_configuration(9).replace("\"timeout_ms\":8000", "\"timeout_ms\":0"),
        ),
        (
            "no timeout is named",
            valid_configuration(9).replace("\"timeout_ms\":8000,", ""),
        ),
        (
            "same name",
            configuration(
                9,
                &[route("r-one", "/a/", print), route("r-one", "/b/", print)],
            ),
        ),
        ("no name", one(print).replace("\"name\":\"r-print\",", "")),
        (
            "a prefix without a slash at its end",
            configuration(9, &[route("r-one", "/print", print)]),
        ),
        (
            "old_version",
            valid_configuration(7).replace("8000", "7000"),
        ),
        ("old_version: lower", valid_configuration(3)),
    ];
    for (what, body) in &cases {
        assert_eq!(counter.replace(what, "7", body), 400, "{what}");
    }
    let updates = [
        (
            "update: cut_short",
            r#"{"version_number":9,"set_items":{"routes":["#,
        ),
        (
            "update: unknown_service, as it is taken away",
            r#"{"version_number":9,"remove_names":{"services":["print"]}}"#,
        ),
        (
            "update: old_version",
            r#"{"version_number":7,"remove_names":{"services":["lm"]}}"#,
        ),
        (
            "update: items that are no list",
            r#"{"version_number":9,"set_items":{"routes":{}}}"#,
        ),
        (
            "update: names that are no texts",
            r#"{"version_number":9,"remove_names":{"routes":[1]}}"#,
        ),
    ];
    for (what, body) in updates {
        assert_eq!(counter.update(what, "7", body), 400, "{what}");
    }
    assert_eq!(counter.read("nothing has changed"), 200);
    assert_eq!(counter.control_state.version(), 7);
    assert_eq!(
        counter.replace(
            "a good one is taken all the same",
            "7",
            &valid_configuration(8)
        ),
        200
    );
    assert_transcript("operator-invalid", &counter.transcript);
}

#[test]
fn a_repeat_is_acknowledged_again_and_of_two_on_the_same_version_one_wins() {
    let mut counter = Counter::new();
    assert_eq!(
        counter.replace("the first one", "0", &valid_configuration(7)),
        200
    );
    assert_eq!(
        counter.replace("the same once more", "0", &valid_configuration(7)),
        200
    );
    assert_eq!(
        counter.replace(
            "the same bytes on another version are not the same",
            "7",
            &valid_configuration(7)
        ),
        400
    );
    let mine = valid_configuration(9);
    let theirs = valid_configuration(10).replace("8000", "5000");
    assert_eq!(counter.replace("two at once: one wins", "7", &mine), 200);
    assert_eq!(
        counter.replace("two at once: the other loses", "7", &theirs),
        412
    );
    assert_eq!(
        counter.replace("the loser's repeat loses too", "7", &theirs),
        412
    );
    assert_eq!(
        counter.replace("the winner's repeat does not", "7", &mine),
        200
    );
    assert_eq!(
        counter.replace(
            "the same version with other content",
            "7",
            &mine.replace("8000", "4000")
        ),
        412
    );
    let update = r#"{"version_number":11,"remove_names":{"services":["lm"]}}"#;
    assert_eq!(counter.update("an update", "9", update), 200);
    assert_eq!(counter.update("its repeat", "9", update), 200);
    assert_eq!(
        counter.replace(
            "a late repeat of one that others were put on top of",
            "7",
            &mine
        ),
        200
    );
    assert_eq!(
        counter.control_state.version(),
        11,
        "a repeat changes nothing"
    );
    let snapshot = counter.control_state.snapshot();
    counter.control_state = ControlState::default();
    assert!(counter.control_state.restore(&snapshot));
    assert_eq!(
        counter.replace("a repeat after the state was restored", "7", &mine),
        200
    );
    assert_eq!(
        counter.replace("one that lost, after the state was restored", "7", &theirs),
        412
    );
    assert_eq!(counter.read("what is in force"), 200);
    assert_transcript("operator-repeats", &counter.transcript);
}

#[test]
fn evacuations_and_calls_that_are_none() {
    let mut counter = Counter::new();
    let post = |counter: &mut Counter, what: &str, target: &str| {
        counter.call(what, "POST", target, None, "")
    };
    assert_eq!(
        post(
            &mut counter,
            "before any configuration",
            "/v1/evacuation/odori-hall/begin"
        ),
        200
    );
    assert_eq!(
        post(&mut counter, "again", "/v1/evacuation/odori-hall/begin"),
        200
    );
    assert_eq!(
        counter.control_state.evacuation_number(),
        1,
        "a repeat changes nothing"
    );
    assert_eq!(
        counter.control_state.evacuated_zones().collect::<Vec<_>>(),
        ["odori-hall"]
    );
    assert_eq!(
        post(
            &mut counter,
            "taken back",
            "/v1/evacuation/odori-hall/finish"
        ),
        200
    );
    assert_eq!(counter.control_state.evacuated_zones().count(), 0);
    assert_eq!(
        post(
            &mut counter,
            "one that was never begun",
            "/v1/evacuation/kita-hall/finish"
        ),
        200
    );
    assert_eq!(
        post(&mut counter, "no such zone", "/v1/evacuation/nowhere/begin"),
        404
    );
    assert_eq!(
        post(
            &mut counter,
            "no such order",
            "/v1/evacuation/kita-hall/pause"
        ),
        404
    );
    assert_eq!(
        counter.call(
            "wrong method",
            "GET",
            "/v1/evacuation/kita-hall/begin",
            None,
            ""
        ),
        405
    );
    assert_eq!(
        counter.call(
            "wrong method",
            "GET",
            "/v1/configuration/replace",
            Some("0"),
            ""
        ),
        405
    );
    assert_eq!(
        post(&mut counter, "wrong method", "/v1/configuration/read"),
        405
    );
    assert_eq!(post(&mut counter, "unknown path", "/v2/configuration"), 404);
    assert_eq!(
        post(
            &mut counter,
            "a query does no harm",
            "/v1/evacuation/kita-hall/begin?now=1"
        ),
        200
    );
    let replace = "/v1/configuration/replace";
    assert_eq!(
        counter.call(
            "no version to build on",
            "POST",
            replace,
            None,
            &valid_configuration(7)
        ),
        400
    );
    assert_eq!(
        counter.call(
            "a version that is no number",
            "POST",
            replace,
            Some("first"),
            &valid_configuration(7)
        ),
        400
    );
    assert_eq!(counter.call("status", "GET", "/v1/status", None, ""), 200);
    assert_transcript("operator-others", &counter.transcript);
}

#[test]
fn refusals_of_the_replica_are_reported_as_they_are() {
    let mut transcript = String::new();
    for refusal in [CallError::NoMajority, CallError::TimedOut, CallError::Full] {
        for reply in [
            responses::command_result(Err(refusal)),
            responses::query_result(Err(refusal)),
        ] {
            transcript.push_str(&format!(
                "# {refusal}\n{}\n\n",
                String::from_utf8_lossy(&reply.bytes(false))
            ));
        }
    }
    assert_transcript("operator-refusals", &transcript.replace('\r', ""));
}

#[test]
fn a_snapshot_is_the_same_state_and_rubbish_is_none() {
    let mut control_state = ControlState::default();
    for (number, command) in [
        control_command("0", &valid_configuration(7)),
        control_command("7", &valid_configuration(9)),
        borsh::to_vec(&sandtrack_control::state_machine::Command::Evacuate {
            zone: "kita-hall".to_owned(),
            begin: true,
        })
        .expect("a command"),
    ]
    .iter()
    .enumerate()
    {
        control_state.apply(number as u64 + 1, command);
    }
    let mut other = ControlState::default();
    assert!(other.restore(&control_state.snapshot()));
    assert_eq!(other.snapshot(), control_state.snapshot());
    assert_eq!(
        (
            other.version(),
            other.configuration_number(),
            other.evacuation_number()
        ),
        (9, 2, 3)
    );
    assert!(!other.restore(b"rubbish"));
    assert_eq!(other.version(), 9, "what can't be read changes nothing");
    assert!(control_state.changes_since(1).is_some() && other.changes_since(1).is_none());
    let outcome = control_state.apply(4, b"rubbish");
    assert!(matches!(
        borsh::from_slice(&outcome),
        Ok(Outcome::Invalid { code: 301, .. })
    ));
}

fn control_command(based_on: &str, body: &str) -> Vec<u8> {
    let call = message(
        "POST",
        "/v1/configuration/replace",
        &[("Based-On-Version", based_on)],
        body,
    );
    match requests::parse(&call) {
        Ok(Request::Configure(command)) => borsh::to_vec(&command).expect("a command"),
        other => panic!("{other:?}"),
    }
}
