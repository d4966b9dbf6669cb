//! Reports and log lines of played days.

use sandtrack_fault_scenarios::verdict::{suspicions, Evacuation, Report};

const CLEAN: &str = r#"{"G": 0.78, "breaks": {}, "short": [], "exits_n": 0, "fault": null, "config_ack_ms": 3683,
  "events": [{"at_s": 4, "to_s": 7.5, "kind": "evacuate (warm)", "what": "quay", "planned": true},
             {"at_s": 3.9, "to_s": 10.9, "kind": "node_freeze", "what": "front-quay-1", "planned": false}]}"#;

fn line(at_s: f64, node: &str, event: &str) -> String {
    format!("  {at_s:.4} {node}/control {{\"at\":1.0,\"part\":\"sandtrack_control::node\",\"event\":\"{event}\"}}\n")
}

fn suspicions_of(lines: &[String]) -> Vec<String> {
    suspicions(&lines.concat(), &Report::parse(CLEAN).expect("a report"))
}

#[test]
fn a_clean_report_is_no_find() {
    let report = Report::parse(CLEAN).expect("a report");
    assert!(!report.is_find());
    assert_eq!((report.worth, report.slowest_ack_ms), (0.78, 3683));
    let evacuation = Evacuation {
        zone: "quay".to_owned(),
        begin_s: 4.0,
        finish_s: 7.5,
    };
    assert_eq!(report.evacuations, [evacuation]);
}

#[test]
fn broken_rules_failed_gates_exits_and_faults_are_finds() {
    let changes = [
        (
            "\"breaks\": {}",
            r#""breaks": {"CONFIG": [3, "an acknowledged change is not read back"]}"#,
        ),
        ("\"short\": []", r#""short": ["Acks"]"#),
        ("\"exits_n\": 0", "\"exits_n\": 1"),
        ("\"fault\": null", "\"fault\": \"too busy\""),
    ];
    for (from, to) in changes {
        let report = Report::parse(&CLEAN.replace(from, to)).expect("a report");
        assert!(report.is_find(), "{to}");
    }
}

#[test]
fn a_text_that_is_no_json_is_an_error() {
    assert!(Report::parse("no report").is_err());
}

#[test]
fn an_ordinary_log_raises_no_suspicion() {
    let lines = [
        line(-9.1, "a", "number 1: version 3"),
        line(-9.0, "b", "number 1: version 3"),
        line(4.2, "a", "number 2: version 3"),
        line(5.0, "b", "this process did not run for 2400 ms"),
        line(5.1, "b", "number 2: version 3"),
        line(5.3, "a", "number 3: version 4"),
    ];
    assert_eq!(suspicions_of(&lines), Vec::<String>::new());
}

#[test]
fn numbers_and_versions_that_go_back_are_told() {
    let back = [
        line(1.0, "a", "number 7: version 9"),
        line(2.0, "a", "number 6: version 8"),
    ];
    assert_eq!(suspicions_of(&back).len(), 1);
    let older = [
        line(1.0, "a", "number 7: version 9"),
        line(2.0, "a", "number 8: version 8"),
    ];
    assert_eq!(suspicions_of(&older).len(), 1);
    let restarted = [
        line(1.0, "a", "number 7: version 9"),
        line(2.0, "a", "serving control at 10.1.0.13:8166").replace("::node", "::program"),
        line(2.1, "a", "number 7: version 9"),
    ];
    assert_eq!(suspicions_of(&restarted), Vec::<String>::new());
}

#[test]
fn a_proxy_whose_configuration_goes_back_is_told() {
    let back = [
        line(1.0, "a", "configuration 7 in force"),
        line(2.0, "a", "configuration 6 in force"),
    ];
    assert_eq!(suspicions_of(&back).len(), 1);
    let others = [
        line(1.0, "a", "configuration 7 in force"),
        line(1.5, "b", "configuration 6 in force"),
        line(2.0, "a", "proxy started"),
        line(2.1, "a", "configuration 6 in force"),
    ];
    assert_eq!(suspicions_of(&others), Vec::<String>::new());
}

#[test]
fn one_number_with_two_versions_is_told() {
    let split = [
        line(1.0, "a", "number 7: version 9"),
        line(1.5, "b", "number 7: version 10"),
    ];
    assert_eq!(suspicions_of(&split).len(), 1);
}

/// Of several orders of one write the log tells the version of the last.
#[test]
fn orders_of_one_write_are_told_with_the_last_version() {
    let lines = [
        line(1.0, "a", "number 7: version 9"),
        line(1.5, "a", "number 8: version 10"),
        line(2.0, "b", "number 7: version 10"),
        line(2.0, "b", "number 8: version 10"),
    ];
    assert_eq!(suspicions_of(&lines), Vec::<String>::new());
}

/// The evacuation of `quay` is ordered at 4.0 and over at 7.5.
fn evacuation(at_s: f64, node: &str, number: u64, what: &str) -> String {
    line(
        at_s,
        node,
        &format!("number {number}: version 3, after evacuation of quay {what}"),
    )
}

#[test]
fn a_begin_that_undoes_a_confirmed_finish_is_told() {
    let late = [
        evacuation(4.3, "a", 2, "begins"),
        evacuation(7.6, "a", 3, "is over"),
        evacuation(11.2, "a", 4, "begins"),
        evacuation(11.3, "b", 4, "begins"),
    ];
    let found = suspicions_of(&late);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains("number 4"));
}

#[test]
fn a_finish_that_undoes_a_begin_is_told() {
    let late = [
        evacuation(4.3, "a", 2, "begins"),
        evacuation(5.0, "a", 3, "is over"),
    ];
    assert_eq!(suspicions_of(&late).len(), 1);
}

#[test]
fn a_finish_that_comes_after_the_next_begin_is_told() {
    let again = CLEAN.replace(
        "\"events\": [",
        r#""events": [{"at_s": 9, "to_s": 20, "kind": "evacuate", "what": "quay", "planned": true}, "#,
    );
    let late = [
        evacuation(4.3, "a", 2, "begins"),
        evacuation(7.6, "a", 3, "is over"),
        evacuation(9.2, "a", 4, "begins"),
        evacuation(11.2, "a", 5, "is over"),
    ];
    let found = suspicions(&late.concat(), &Report::parse(&again).expect("a report"));
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains("number 5"));
}

#[test]
fn ordered_evacuations_and_their_copies_raise_no_suspicion() {
    let lines = [
        evacuation(4.3, "a", 2, "begins"),
        evacuation(4.4, "b", 2, "begins"),
        evacuation(5.9, "a", 3, "begins"),
        evacuation(8.1, "a", 4, "is over"),
        evacuation(9.0, "a", 5, "is over"),
        evacuation(9.1, "b", 3, "begins"),
        evacuation(9.1, "b", 4, "is over"),
        evacuation(9.2, "b", 5, "is over"),
    ];
    assert_eq!(suspicions_of(&lines), Vec::<String>::new());
}

#[test]
fn panics_and_loops_of_pauses_are_told() {
    let panicked = ["  3.0 a/proxy thread 'main' panicked at src/main.rs\n".to_owned()];
    assert_eq!(suspicions_of(&panicked).len(), 1);
    let paused: Vec<String> = (0..10)
        .map(|n| line(f64::from(n), "a", "this process did not run for 300 ms"))
        .collect();
    assert_eq!(suspicions_of(&paused).len(), 1);
}
