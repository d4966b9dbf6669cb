//! Whole exchanges of three control nodes with their proxies, callers and platform, as approved transcripts. No bench, no
//! sockets, no sleep: the clock is counted.
mod common;
use common::assert_transcript;
use common::cluster::{upstream, Cluster};
use common::{route, valid_configuration};
use sandtrack_control::node::{Effect, Input};
use sandtrack_control::sessions::SessionAction;
use sandtrack_protocol::frames::{self, ToControl, ToProxy};

const REPLACE: &str = "/v1/configuration/replace";
const UPDATE: &str = "/v1/configuration/update";
const READ: &str = "/v1/configuration/read";

/// Three control nodes, a configuration, and a proxy in each zone.
fn settled() -> Cluster {
    let mut cluster = Cluster::start(3);
    cluster.list = Some(vec![upstream("i-1", false), upstream("i-2", false)]);
    cluster.run(1000.0);
    let call = cluster.call(2, "POST", REPLACE, 0, &valid_configuration(7));
    cluster.run(500.0);
    assert_eq!(cluster.status(call), Some(200));
    cluster.connect("c-odori", "odori-hall", "ishikari", 1);
    cluster.connect("c-asahi", "asahi-hall", "kamikawa", 2);
    cluster.connect("c-kita", "kita-hall", "ishikari", 3);
    cluster.run(1500.0);
    cluster
}

fn forget_frames(cluster: &mut Cluster) {
    cluster
        .proxies
        .values_mut()
        .for_each(|proxy| proxy.frames.clear());
}

#[test]
fn first_start_to_a_change_at_every_proxy() {
    let mut cluster = Cluster::start(3);
    cluster.list = Some(vec![upstream("i-1", false), upstream("i-2", false)]);
    cluster.say("proxies come before there is a configuration");
    cluster.run(400.0);
    cluster.connect("c-odori", "odori-hall", "ishikari", 1);
    cluster.connect("c-asahi", "asahi-hall", "kamikawa", 2);
    let early = cluster.call(3, "GET", READ, 0, "");
    cluster.run(1000.0);
    cluster.note_answer("read", early);
    cluster.note_proxies();
    cluster.say("the first configuration");
    let call = cluster.call(2, "POST", REPLACE, 0, &valid_configuration(7));
    cluster.run(400.0);
    cluster.note_answer("replace", call);
    cluster.note_proxies();
    cluster.say("one more proxy, and a change of named items");
    cluster.connect("c-kita", "kita-hall", "ishikari", 3);
    cluster.run(500.0);
    let more = route("r-lm", "/lm/", r#""service":"lm""#);
    let update = format!(
        r#"{{"version_number":9,"set_items":{{"routes":[{more}]}},"remove_names":{{"routes":["r-print"]}}}}"#
    );
    let call = cluster.call(3, "POST", UPDATE, 7, &update);
    cluster.run(400.0);
    cluster.note_answer("update", call);
    cluster.note_proxies();
    cluster.say("a zone is evacuated, and an upstream drains");
    cluster.list = Some(vec![upstream("i-1", true), upstream("i-3", false)]);
    let call = cluster.call(1, "POST", "/v1/evacuation/kita-hall/begin", 0, "");
    cluster.run(1000.0);
    cluster.note_answer("evacuation", call);
    cluster.note_proxies();
    cluster.say("the directory");
    for machine in 1..=3 {
        cluster.note_directory(machine, "odori-hall");
    }
    cluster.say("read back");
    let call = cluster.call(1, "GET", READ, 0, "");
    cluster.run(400.0);
    cluster.note_answer("read", call);
    assert_transcript("cluster-start", &cluster.transcript.clone());
}

#[test]
fn nothing_is_sent_to_proxies_before_it_is_committed() {
    let mut cluster = settled();
    forget_frames(&mut cluster);
    cluster.cut(1, 2, true);
    cluster.cut(1, 3, true);
    cluster.cut(2, 3, true);
    let call = cluster.call(1, "POST", REPLACE, 7, &valid_configuration(9));
    cluster.run(880.0);
    let (after, reply) = cluster
        .answer(call)
        .expect("an honest answer before its caller moves on");
    assert!(after <= 900.0 && reply.status == 503, "{after} {reply:?}");
    for proxy in cluster.proxies.values() {
        let only_who_is_there = |frame: &ToProxy| matches!(frame, ToProxy::Census { .. });
        assert!(
            proxy.frames.iter().all(only_who_is_there),
            "{:?}",
            proxy.frames
        );
    }
    cluster.run(2000.0);
    assert!(cluster
        .proxies
        .values()
        .all(|proxy| proxy.attached == Some(false)));
    for (one, other) in [(1, 2), (1, 3), (2, 3)] {
        cluster.cut(one, other, false);
    }
    cluster.run(5000.0);
    let again = cluster.call(2, "POST", REPLACE, 7, &valid_configuration(9));
    cluster.run(1000.0);
    assert_eq!(
        cluster.status(again),
        Some(200),
        "the same once more is taken"
    );
    let read = cluster.call(3, "GET", READ, 0, "");
    cluster.run(1000.0);
    assert!(cluster
        .answer(read)
        .is_some_and(|(_, reply)| reply.body.contains("\"version_number\":9")));
    assert!(cluster
        .proxies
        .values()
        .all(|proxy| proxy.attached == Some(true)));
}

#[test]
fn of_two_operators_at_once_one_wins_everywhere() {
    let mut cluster = settled();
    forget_frames(&mut cluster);
    let mine = cluster.call(1, "POST", REPLACE, 7, &valid_configuration(8));
    let theirs = cluster.call(
        3,
        "POST",
        REPLACE,
        7,
        &valid_configuration(10).replace("8000", "5000"),
    );
    cluster.run(500.0);
    let statuses: Vec<u16> = [mine, theirs]
        .iter()
        .filter_map(|call| cluster.answer(*call))
        .map(|(_, reply)| reply.status)
        .collect();
    assert!(
        statuses == [200, 412] || statuses == [412, 200],
        "{statuses:?}"
    );
    let won = if statuses[0] == 200 { 8 } else { 10 };
    for machine in 1..=3 {
        assert_eq!(cluster.control_node(machine).control_state().version(), won);
    }
    for proxy in cluster.proxies.values() {
        assert_eq!(
            proxy.frames.len(),
            1,
            "each proxy hears of the winner alone: {:?}",
            proxy.frames
        );
    }
}

#[test]
fn proxies_connect_disconnect_and_time_out() {
    let mut cluster = settled();
    forget_frames(&mut cluster);
    let note = |cluster: &mut Cluster| {
        for machine in 1..=3 {
            cluster.note_directory(machine, "odori-hall");
        }
    };
    cluster.say("all are there");
    note(&mut cluster);
    cluster.say("one is told to stop: it is out at once");
    cluster.state("c-odori", |state| state.draining = true);
    cluster.run(30.0);
    note(&mut cluster);
    cluster.say("its session ends");
    cluster.disconnect("c-odori");
    cluster.run(300.0);
    note(&mut cluster);
    cluster.note_proxies();
    cluster.say("it is back");
    cluster.proxies.remove("c-odori");
    cluster.connect("c-odori", "odori-hall", "ishikari", 1);
    cluster.run(300.0);
    note(&mut cluster);
    cluster.note_proxies();
    cluster.say("one falls silent: it is out after a second");
    if let Some(proxy) = cluster.proxies.get_mut("c-odori") {
        proxy.silent = true;
    }
    cluster.run(700.0);
    note(&mut cluster);
    cluster.run(700.0);
    note(&mut cluster);
    cluster.run(300.0);
    cluster.note_proxies();
    cluster.say("it may be frozen or cut off: its share is given to others only when it has ended");
    cluster.run(30_000.0);
    cluster.note_proxies();
    assert_transcript("cluster-proxies", &cluster.transcript.clone());
}

#[test]
fn a_proxy_that_missed_a_change_gets_the_complete_configuration() {
    let mut cluster = settled();
    forget_frames(&mut cluster);
    let now = cluster.now;
    let mut effects = Vec::new();
    let session = 1;
    cluster.control_node(1).handle(
        now,
        Input::SessionFrame {
            session,
            frame: ToControl::WantConfiguration,
        },
        &mut effects,
    );
    assert_eq!(effects.len(), 1, "{effects:?}");
    let Effect::Session(SessionAction::Send { bytes, .. }) = &effects[0] else {
        panic!("{effects:?}")
    };
    let frame = frames::decode::<ToProxy>(bytes)
        .expect("a frame")
        .expect("whole")
        .0;
    assert!(
        matches!(frame, ToProxy::Configuration { version: 7, .. }),
        "{frame:?}"
    );
}

#[test]
fn a_control_node_is_killed_and_comes_back() {
    let mut cluster = settled();
    forget_frames(&mut cluster);
    cluster.say("control node 1, which reads the list, loses power; its proxy goes to another");
    cluster.kill(1, true);
    let at = cluster.now;
    cluster.run(200.0);
    cluster.connect("c-odori", "odori-hall", "ishikari", 3);
    cluster.list = Some(vec![upstream("i-2", true)]);
    cluster.run(2500.0);
    cluster.note_proxies();
    assert!(
        cluster.fetches_since(2, at) > 0 && cluster.fetches_since(3, at) == 0,
        "the next one reads"
    );
    cluster.say("a change without it");
    let call = cluster.call(3, "POST", REPLACE, 7, &valid_configuration(9));
    cluster.run(900.0);
    cluster.note_answer("replace", call);
    cluster.note_proxies();
    cluster.note_directory(2, "odori-hall");
    cluster.say("it is back");
    cluster.boot(1, false);
    cluster.run(3000.0);
    let versions: Vec<u64> = (1..=3)
        .map(|machine| cluster.control_node(machine).control_state().version())
        .collect();
    cluster.note(&format!("versions {versions:?}"));
    cluster.note_directory(1, "odori-hall");
    cluster.say("all are killed at once, and come back with their disks");
    for machine in 1..=3 {
        cluster.kill(machine, false);
    }
    cluster.run(50.0);
    for machine in 1..=3 {
        cluster.boot(machine, false);
    }
    let names = [
        ("c-odori", "odori-hall"),
        ("c-asahi", "asahi-hall"),
        ("c-kita", "kita-hall"),
    ];
    for (at, (name, zone)) in names.into_iter().enumerate() {
        cluster.connect(name, zone, "ishikari", at + 1);
    }
    cluster.run(1500.0);
    cluster.note_proxies();
    let call = cluster.call(2, "GET", READ, 0, "");
    cluster.run(900.0);
    assert!(cluster
        .answer(call)
        .is_some_and(|(_, reply)| reply.body.contains("\"version_number\":9")));
    assert_transcript("cluster-kill", &cluster.transcript.clone());
}

#[test]
fn sigterm_hands_over_roles_and_ends_the_process() {
    let mut cluster = settled();
    forget_frames(&mut cluster);
    let now = cluster.now;
    let call = cluster.call(1, "POST", REPLACE, 7, &valid_configuration(9));
    cluster.run(6.0);
    cluster.terminate(1);
    cluster.run(500.0);
    assert!(cluster.has_exited(1), "at once, as nothing holds it");
    assert_eq!(
        cluster.status(call),
        Some(200),
        "calls under way are finished"
    );
    let next = cluster.call(2, "POST", REPLACE, 9, &valid_configuration(12));
    cluster.run(300.0);
    assert_eq!(
        cluster.status(next),
        Some(200),
        "the others go on without it"
    );
    cluster.run(700.0);
    let proxy = &cluster.proxies["c-odori"];
    assert_eq!(
        proxy.attached,
        Some(false),
        "its proxy goes elsewhere at once"
    );
    assert!(
        cluster.fetches_since(1, now + 450.0) == 0 && cluster.fetches_since(2, now) >= 2,
        "the duty went to the next"
    );
}

#[test]
fn a_partitioned_control_node_reports_it_and_keeps_the_proxy_count() {
    let mut cluster = settled();
    forget_frames(&mut cluster);
    cluster.say("control node 1 is cut off; its proxy stays with it");
    cluster.cut(1, 2, true);
    cluster.cut(1, 3, true);
    cluster.run(8000.0);
    cluster.note_proxies();
    cluster.note_directory(1, "odori-hall");
    cluster.note_directory(2, "odori-hall");
    let at = cluster.now;
    let call = cluster.call(1, "POST", "/v1/evacuation/kita-hall/begin", 0, "");
    cluster.run(2000.0);
    assert_eq!(cluster.status(call), Some(503));
    assert!(
        cluster.fetches_since(1, at) > 0,
        "it reads the list for itself"
    );
    let call = cluster.call(2, "POST", REPLACE, 7, &valid_configuration(9));
    cluster.run(900.0);
    cluster.note_answer("replace at 2", call);
    cluster.say("the cut is healed");
    cluster.cut(1, 2, false);
    cluster.cut(1, 3, false);
    cluster.run(4000.0);
    cluster.note_proxies();
    assert_transcript("cluster-cut", &cluster.transcript.clone());
}

#[test]
fn a_resumed_control_node_does_not_serve_its_old_state() {
    let mut cluster = settled();
    cluster.freeze(1, true);
    cluster.run(4000.0);
    let call = cluster.call(2, "POST", REPLACE, 7, &valid_configuration(9));
    cluster.run(900.0);
    assert_eq!(cluster.status(call), Some(200));
    cluster.list = Some(vec![upstream("i-2", true)]);
    cluster.run(1000.0);
    let at = cluster.now;
    cluster.freeze(1, false);
    let read = cluster.call(1, "GET", READ, 0, "");
    cluster.run(900.0);
    if let Some((_, reply)) = cluster.answer(read) {
        assert!(
            reply.status == 503 || reply.body.contains("\"version_number\":9"),
            "never the old one: {reply:?}"
        );
    } else {
        panic!("no answer");
    }
    cluster.run(3000.0);
    assert_eq!(
        cluster.fetches_since(1, at),
        0,
        "the duty is another's by now"
    );
    assert_eq!(cluster.control_node(1).control_state().version(), 9);
    let counts = cluster.control_node(1).upstreams().counts();
    assert_eq!(
        counts.get("print"),
        Some(&(1, 1)),
        "what was read before the freeze is not in force"
    );
}

#[test]
fn a_wiped_control_node_learns_from_the_others() {
    let mut cluster = settled();
    let call = cluster.call(1, "POST", REPLACE, 7, &valid_configuration(9));
    cluster.run(300.0);
    assert_eq!(cluster.status(call), Some(200));
    cluster.kill(1, true);
    cluster.wipe(1);
    cluster.run(100.0);
    cluster.boot(1, false);
    cluster.run(4000.0);
    assert_eq!(cluster.control_node(1).control_state().version(), 9);
    let repeat = cluster.call(1, "POST", REPLACE, 7, &valid_configuration(9));
    cluster.run(500.0);
    assert_eq!(cluster.status(repeat), Some(200));
}

#[test]
fn the_platform_is_down_for_a_while() {
    let mut cluster = settled();
    forget_frames(&mut cluster);
    cluster.list = None;
    cluster.run(5000.0);
    cluster.list = Some(vec![upstream("i-2", false)]);
    let at = cluster.now;
    cluster.run(1300.0);
    let gone: Vec<usize> = cluster
        .proxies
        .values()
        .map(|proxy| proxy.frames.len())
        .collect();
    assert_eq!(
        gone,
        [1, 1, 1],
        "one report to each proxy when it is back, and none before"
    );
    assert!((1..=3).all(|machine| cluster.fetches_since(machine, at) < 6));
}
