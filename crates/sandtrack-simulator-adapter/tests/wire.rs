//! The built adapter on lines written for the project: what it answers, and how it ends on bad input.
use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Stdio};

fn run(lines: &[String]) -> (i32, Vec<Value>, String) {
    run_with(&[], lines)
}

fn run_with(words: &[&str], lines: &[String]) -> (i32, Vec<Value>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sandtrack-simulator-adapter"))
        .args(words)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    for line in lines {
        // The adapter may have ended on an earlier line.
        if writeln!(input, "{line}").is_err() {
            break;
        }
    }
    drop(input);
    let output = child.wait_with_output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let replies = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    (
        output.status.code().unwrap(),
        replies,
        String::from_utf8(output.stderr).unwrap(),
    )
}

fn batch(wall: f64, events: Value) -> String {
    json!({ "wall": wall, "events": events }).to_string()
}

fn config() -> Value {
    json!({
        "azs": ["north", "south"], "locality": "north", "me": 0, "siblings": 2, "step": 1.0,
        "some-new-setting": {"a": [1]},
        "classes": [
            {"name": "read", "aim": 200.0, "deadline": 900.0, "effect": "repeatable", "value": 1.0},
            {"name": "pay", "aim": 200.0, "deadline": 900.0, "effect": "once", "value": 3.0, "key-scope": "all"},
        ],
        "discovery": "on_request",
        "feedback": {"how": "on_probe", "columns": ["active"]},
        "weights": "off",
        "limits": {"cancel": true, "probes": true, "peers": false, "parallel-tries": false, "max-attempts": 3,
                   "retry-after": true, "max-retry-after": 400.0, "connect-timeout": 100.0},
        "penalties": {"probe": 0.01, "cross-zone": 0.1},
        "rules": {"answer-slack": 5.0, "ask-within": 8000.0, "cold": 5000.0, "cold-share": 0.4,
                  "drain-grace": 300.0, "fall": 1000.0, "fall-multiple": 3.0},
    })
}

fn start(sidecar: &str) -> Value {
    json!([
        {"cmd": "PowerOn", "sidecar": sidecar, "prng": 99, "config": config()},
        {"cmd": "Pool", "list": 3, "members-list": [
            {"upstream": "192.0.2.1:80", "health": "Ready", "pod": 0, "shape": "m", "scale": 1, "locality": "north"},
        ]},
        {"cmd": "DirectoryUpdate", "sidecar": sidecar, "scope": "stale_copy", "gen": 1, "list": 3},
    ])
}

fn job(sidecar: &str, call: &str, class: &str) -> Value {
    json!({"cmd": "JobIn", "sidecar": sidecar, "call": call, "not-after": 1800.0, "class": class})
}

fn commands(reply: &Value) -> Vec<&str> {
    reply["decisions"]
        .as_array()
        .unwrap()
        .iter()
        .map(|d| d["cmd"].as_str().unwrap())
        .collect()
}

#[test]
fn a_day_in_small() {
    let call = "00ab66cba5d3a91c";
    let done = json!({"cmd": "Done", "sidecar": "sidecar/1", "call": call, "round-no": 0,
        "upstream": "192.0.2.1:80", "code": "ok", "elapsed": 12.0, "closed": true});
    let (status, replies, errors) = run(&[
        batch(1000.0, json!([])),
        batch(1000.0, start("sidecar/1")),
        batch(
            1001.0,
            json!([{"cmd": "Sampled", "sidecar": "sidecar/1", "elapsed": 0.5, "code": "ok",
            "upstream": "192.0.2.1:80", "telemetry": {"active": 2, "novelty": 1.5}}]),
        ),
        batch(1002.0, json!([job("sidecar/1", call, "read")])),
        batch(1014.0, json!([done.clone()])),
        batch(
            1015.0,
            json!([done, {"cmd": "Due", "sidecar": "sidecar/1", "nonce": 987654}]),
        ),
    ]);
    assert_eq!((status, errors.as_str()), (0, ""));
    assert_eq!(replies.len(), 6);
    assert_eq!(replies[0], json!({"decisions": []}));
    let first = commands(&replies[1]);
    assert!(first.contains(&"Tail") && first.contains(&"Check") && first.contains(&"Schedule"));
    let issue = &replies[3]["decisions"][0];
    assert_eq!(issue["cmd"], "Issue");
    assert_eq!(
        (&issue["call"], &issue["upstream"]),
        (&json!(call), &json!("192.0.2.1:80"))
    );
    // An outcome for a closed request and a timer nobody set: no action.
    assert_eq!(replies[5], json!({"decisions": []}));
}

#[test]
fn an_instance_that_starts_again_starts_from_nothing() {
    let stop = json!([{"cmd": "Destroy", "sidecar": "sidecar/1"}]);
    let lines = [
        batch(1000.0, start("sidecar/1")),
        batch(1002.0, json!([job("sidecar/1", "00000000000000aa", "pay")])),
        batch(1003.0, stop),
        batch(1004.0, json!([job("sidecar/1", "00000000000000ab", "pay")])),
        batch(1000.0, start("sidecar/1")),
        batch(1002.0, json!([job("sidecar/1", "00000000000000aa", "pay")])),
    ];
    let (status, replies, _) = run(&lines);
    assert_eq!(status, 0);
    assert_eq!(replies[3], json!({"decisions": []}));
    assert_eq!(replies[1]["decisions"][0], replies[5]["decisions"][0]);
}

#[test]
fn instances_share_nothing() {
    let alone = run(&[
        batch(1000.0, start("sidecar/1")),
        batch(
            1002.0,
            json!([job("sidecar/1", "00000000000000aa", "read")]),
        ),
    ]);
    let beside = run(&[
        batch(1000.0, start("sidecar/0")),
        batch(
            1001.0,
            json!([job("sidecar/0", "00000000000000bb", "read")]),
        ),
        batch(1000.0, start("sidecar/1")),
        batch(
            1002.0,
            json!([job("sidecar/1", "00000000000000aa", "read")]),
        ),
    ]);
    assert_eq!(alone.1[..], beside.1[2..]);
}

/// What instances of a fleet say to each other in their first seconds, carried from one to the other: payloads by sender.
fn talk(words: &[&str], permitted: bool) -> Vec<(u64, String)> {
    let power = |me: u64| {
        let mut config = config();
        config["me"] = me.into();
        config["limits"]["peers"] = permitted.into();
        json!({"cmd": "PowerOn", "sidecar": format!("sidecar/{me}"), "prng": me, "config": config})
    };
    let mut lines = vec![batch(1000.0, json!([power(0), power(1)]))];
    let (mut said, mut due) = (Vec::new(), Vec::new());
    for _ in 0..40 {
        let (status, replies, _) = run_with(words, &lines);
        assert_eq!(status, 0);
        let mut events = Vec::new();
        for decision in replies.last().unwrap()["decisions"].as_array().unwrap() {
            let sidecar = decision["sidecar"].as_str().unwrap();
            let me: u64 = sidecar.rsplit('/').next().unwrap().parse().unwrap();
            match decision["cmd"].as_str().unwrap() {
                "WritePeer" => {
                    assert_eq!(decision["dest"], 1 - me);
                    let content = decision["content"].as_str().unwrap().to_owned();
                    events.push(
                        json!({"cmd": "Memo", "sidecar": format!("sidecar/{}", 1 - me),
                                       "origin-peer": me, "content": content}),
                    );
                    said.push((me, content));
                }
                "Schedule" => due.push((
                    decision["instant"].as_f64().unwrap(),
                    sidecar.to_owned(),
                    decision["nonce"].clone(),
                )),
                _ => {}
            }
        }
        let wall = due.iter().map(|due| due.0).fold(f64::MAX, f64::min);
        if events.is_empty() {
            let (now, later) = due
                .into_iter()
                .partition(|due: &(f64, String, Value)| due.0 <= wall);
            due = later;
            events.extend(now.into_iter().map(
                |(_, sidecar, nonce)| json!({"cmd": "Due", "sidecar": sidecar, "nonce": nonce}),
            ));
        }
        lines.push(batch(
            if wall < f64::MAX { wall } else { 1000.0 },
            events.into(),
        ));
    }
    said
}

#[test]
fn instances_talk_where_the_word_and_the_settings_both_say_so() {
    let said = talk(&["--fleet"], true);
    for me in [0, 1] {
        assert!(
            said.iter().filter(|said| said.0 == me).count() > 5,
            "{me}: {said:?}"
        );
    }
    assert!(
        said.iter().all(|(_, content)| content.len() <= 512),
        "256 bytes at most"
    );
    assert!(talk(&["--fleet"], false).is_empty() && talk(&[], true).is_empty());
    assert_eq!(run_with(&["--fleets"], &[]).0, 2);
}

#[test]
fn settings_that_contradict_themselves_are_named_by_their_key() {
    let mut events = start("sidecar/1");
    events[0]["config"]["classes"][1]["name"] = "read".into();
    let (status, _, errors) = run(&[batch(1000.0, events)]);
    assert_eq!(status, 2);
    assert!(errors.contains("config.classes[1].name"), "{errors}");
}

#[test]
fn what_is_unknown_is_skipped_and_noted_once() {
    let odd = json!([{"cmd": "Novelty", "sidecar": "sidecar/1"}, {"cmd": "Novelty"}]);
    let (status, replies, errors) = run(&[batch(1.0, odd.clone()), batch(2.0, odd)]);
    assert_eq!((status, replies.len(), errors.lines().count()), (0, 2, 1));
}

#[test]
fn a_malformed_line_ends_it_with_the_line_and_the_reason() {
    let empty = batch(1.0, json!([]));
    let started = batch(1000.0, start("sidecar/1"));
    let lacking = [
        ("not json", "expected"),
        ("[]", "wall"),
        ("{\"events\":[]}", "wall"),
        ("{\"wall\":1.0}", "events"),
        ("{\"wall\":1.0,\"events\":[{\"cmd\":\"JobIn\",\"sidecar\":\"sidecar/1\"}]}", "call"),
        ("{\"wall\":1.0,\"events\":[{\"sidecar\":\"sidecar/1\"}]}", "cmd"),
        ("{\"wall\":1.0,\"events\":[{\"cmd\":\"ClientGone\",\"sidecar\":\"sidecar/1\",\"call\":\"zz\"}]}", "call"),
        (
            "{\"wall\":1.0,\"events\":[{\"cmd\":\"DirectoryUpdate\",\"sidecar\":\"sidecar/1\",\"scope\":\"whole\",\"list\":9}]}",
            "list",
        ),
    ];
    for (line, named) in lacking {
        let (status, replies, errors) = run(&[
            empty.clone(),
            started.clone(),
            line.to_owned(),
            empty.clone(),
        ]);
        assert_eq!((status, replies.len()), (2, 2), "{line}");
        assert!(
            errors.contains("line 3") && errors.contains(named),
            "{line}: {errors}"
        );
    }
}
