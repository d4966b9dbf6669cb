//! Two dozen real processes of the program, with faults injected between them. Every verdict is by events and counts: a slow
//! machine takes longer and comes to the same.
use sandtrack_fault_tests::report::Report;
use sandtrack_fault_tests::run::{play, Options};
use sandtrack_fault_tests::scenario;
use std::path::PathBuf;
use std::sync::{Condvar, Mutex};

/// So many fleets run at a time: each is two dozen processes.
static ROOM: (Mutex<usize>, Condvar) = (Mutex::new(4), Condvar::new());

struct Turn;

impl Turn {
    fn take() -> Turn {
        let room = ROOM
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut room = ROOM
            .1
            .wait_while(room, |room| *room == 0)
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        *room -= 1;
        Turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *ROOM
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner()) += 1;
        ROOM.1.notify_one();
    }
}

const HEAD: &str = r#"
processes = 24
zones = ["a", "b", "c"]
regions = { a = "east", b = "east", c = "west" }
client = { rps = 1.0 }
class = [
    { name = "read", share = 0.6, worth = 1.0, aim_ms = 2000.0, deadline_ms = 8000.0, effect = "repeatable", work_ms = 3.0 },
    { name = "pay", share = 0.4, worth = 3.0, aim_ms = 2000.0, deadline_ms = 8000.0, effect = "unsafe", work_ms = 3.0 },
]
pool = [{ zone = "a", count = 2 }, { zone = "b", count = 2 }, { zone = "c", count = 2 }]
step = [
"#;

fn run(name: &str, steps: &str) -> Report {
    let _turn = Turn::take();
    let text = format!("name = \"{name}\"\n{HEAD}{steps}]\n");
    let scenario = scenario::read(&text).unwrap_or_else(|fault| panic!("{name}: {fault}"));
    let program = vec![
        PathBuf::from(env!("CARGO_BIN_EXE_sandtrack-fault-tests")),
        PathBuf::from("program"),
    ];
    let played = play(
        &scenario,
        &Options {
            program,
            keep: None,
            tell: false,
        },
    );
    played.unwrap_or_else(|failed| panic!("{name}: {failed}"))
}

fn held(name: &str, steps: &str) -> Report {
    let report = run(name, steps);
    assert!(
        report.kept(),
        "{name}: {:#?}\n{}",
        report.broken(),
        report.text()
    );
    assert!(
        report.total.served > 0 && report.effects > 0,
        "{name}: nothing was asked"
    );
    report
}

#[test]
fn one_is_killed_one_leaves_one_stands_still_and_all_know() {
    held(
        "basics",
        r#"
        { do = "start" },
        { do = "until", is = "whole" },
        { do = "until", is = "serving" },
        { do = "kill", who = { names = ["n5"] } },
        { do = "until", is = "failed", who = { names = ["n5"] } },
        { do = "start", who = { names = ["n5"] } },
        { do = "until", is = "whole" },
        { do = "term", who = { names = ["n8", "n9"] } },
        { do = "until", is = "left", who = { names = ["n8", "n9"] } },
        # Long enough to be held for failed by all others; it holds nobody for failed when it is back.
        { do = "stop", who = { names = ["n2"] }, for_s = 12.0 },
        { do = "until", is = "failed", who = { names = ["n2"] } },
        { do = "until", is = "whole" },
        { do = "start", who = { names = ["n8", "n9"] } },
        { do = "until", is = "whole" },
        "#,
    );
}

#[test]
fn halves_apart_with_deaths_joins_and_restarts_are_whole_again() {
    let side =
        r#"{ names = ["n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9", "n10", "n11", "n23"]"#;
    let steps = r#"
        { do = "start", who = { names = ["n23", "n24"], but = true } },
        { do = "until", is = "whole" },
        { do = "cut", from = SIDE }, to = SIDE, but = true } },
        { do = "until", is = "view-cut-off" },
        { do = "kill", who = { names = ["n4", "n15", "n7", "n18"] } },
        { do = "start", who = { names = ["n7", "n18", "n23", "n24"] } },
        { do = "term", who = { names = ["n9", "n20"] } },
        { do = "wait", s = 4.0 },
        { do = "stays", is = "view-not-whole", s = 1.0 },
        { do = "mend" },
        { do = "until", is = "whole" },
        "#;
    held("halves", &steps.replace("SIDE", side));
}

/// The loss of one zone of three is no reason for the others to doubt themselves; the zone itself is cut off.
#[test]
fn a_zone_that_is_cut_off_knows_it_and_the_others_go_on() {
    held(
        "zone",
        r#"
        { do = "start" },
        { do = "until", is = "whole" },
        { do = "cut", from = { zone = "c" }, to = { zone = "c", but = true } },
        { do = "until", is = "view-cut-off", who = { zone = "c" } },
        { do = "stays", is = "view-whole", who = { zone = "a" }, s = 8.0 },
        { do = "mend" },
        { do = "until", is = "whole" },
        "#,
    );
}

#[test]
fn one_way_cuts_and_slow_ones_fail_nobody_else() {
    held(
        "one-way",
        r#"
        { do = "start" },
        { do = "until", is = "whole" },
        { do = "cut", from = { names = ["n6"] }, to = { names = ["n6"], but = true }, both = false },
        { do = "until", is = "view-cut-off", who = { names = ["n6"] } },
        { do = "stays", is = "nobody-failed", who = { names = ["n6"] }, s = 3.0 },
        { do = "mend" },
        { do = "until", is = "whole" },
        { do = "cut", from = { names = ["n7"], but = true }, to = { names = ["n7"] }, both = false },
        { do = "until", is = "view-cut-off", who = { names = ["n7"] } },
        { do = "stays", is = "nobody-failed", who = { names = ["n7"] }, s = 3.0 },
        { do = "mend" },
        { do = "until", is = "whole" },
        # Two zones can't reach each other, the third reaches both.
        { do = "cut", from = { zone = "a" }, to = { zone = "b" } },
        { do = "stays", is = "nobody-failed", s = 5.0 },
        { do = "mend" },
        { do = "net", net = { delay_ms = 250.0 }, who = { share = 0.2 } },
        { do = "stays", is = "nobody-failed", s = 10.0 },
        { do = "net", net = { loss = 0.05, twice = 0.05, reorder = 0.1, jitter_ms = 5.0 } },
        { do = "stays", is = "nobody-failed", s = 8.0 },
        { do = "until", is = "whole" },
        "#,
    );
}

#[test]
fn seeds_may_all_be_down_and_all_may_start_anew_at_once() {
    held(
        "seeds",
        r#"
        { do = "start", who = { names = ["n24"], but = true } },
        { do = "until", is = "whole" },
        { do = "kill", who = { names = ["n1", "n2", "n3"] } },
        { do = "until", is = "failed", who = { names = ["n1", "n2", "n3"] } },
        # It has nobody to ask, says so, and serves.
        { do = "start", who = { names = ["n24"] } },
        { do = "until", is = "view-cut-off", who = { names = ["n24"] } },
        { do = "until", is = "serving" },
        { do = "start", who = { names = ["n1", "n2", "n3"] } },
        { do = "until", is = "whole" },
        { do = "kill", who = {} },
        { do = "start" },
        { do = "until", is = "whole" },
        { do = "until", is = "serving" },
        "#,
    );
}

#[test]
fn a_name_started_twice_is_one_members_and_the_other_stays_out() {
    held(
        "twice",
        r#"
        { do = "rename", who = { names = ["n24"] }, name = "n23" },
        { do = "start", who = { names = ["n24"], but = true } },
        { do = "until", is = "whole", who = { names = ["n24"] } },
        { do = "start", who = { names = ["n24"] } },
        { do = "until", is = "view-cut-off", who = { names = ["n24"] } },
        { do = "stays", is = "whole", who = { names = ["n24"] }, s = 5.0 },
        { do = "until", is = "serving" },
        # The name is free: it takes it.
        { do = "kill", who = { names = ["n23"] } },
        { do = "until", is = "view-whole", who = { names = ["n24"] } },
        "#,
    );
}

#[test]
fn hostile_datagrams_between_real_processes_fail_nobody() {
    let report = held(
        "hostile",
        r#"
        { do = "start" },
        { do = "until", is = "whole" },
        { do = "garbage", who = { zone = "a" }, count = 2000 },
        { do = "stays", is = "nobody-failed", s = 3.0 },
        { do = "until", is = "whole" },
        "#,
    );
    let refused: u64 = report
        .ends
        .iter()
        .filter_map(|end| end.figures.get("fleet_refused"))
        .sum();
    assert!(refused > 1000, "{refused} were seen to be none");
}

/// A check that can't fail is none: what is not so is told as not so.
#[test]
fn the_rig_sees_what_is_not_so() {
    let report = run(
        "planted",
        r#"
        { do = "start" },
        { do = "until", is = "whole" },
        { do = "until", is = "failed", who = { names = ["n5"] }, limit_s = 1.0 },
        { do = "until", is = "view-cut-off", who = { names = ["n6"] }, limit_s = 1.0 },
        { do = "kill", who = { names = ["n7"] } },
        { do = "until", is = "whole", limit_s = 0.5 },
        { do = "until", is = "failed", who = { names = ["n7"] } },
        { do = "stays", is = "nobody-failed", s = 0.5 },
        { do = "cut", from = { names = ["n9"] }, to = { names = ["n9"], but = true } },
        { do = "wait", s = 8.0 },
        { do = "stays", is = "nobody-failed", s = 1.0 },
        "#,
    );
    let broken: Vec<&str> = report
        .verdicts
        .iter()
        .filter(|v| !v.kept)
        .map(|v| v.what.as_str())
        .collect();
    let expected = [
        "until failed",
        "until view-cut-off",
        "until whole",
        "stays nobody-failed",
    ];
    assert_eq!(broken, expected, "{}", report.text());
}
