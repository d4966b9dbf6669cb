//! Signals, and settings that are wrong. LOST: around planned work nobody loses a request.
use crate::harness::{fresh_ip, settings, Stage, BOUNDS};
use crate::process::Proxy;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Told to stop: it says so, what is in hand is finished, what comes is served and its connection closed, and it ends with
/// status 0 within the grace.
#[test]
fn told_to_stop_it_finishes_what_is_in_hand() {
    let mut stage = Stage::serving("told_to_stop_it_finishes_what_is_in_hand", 1);
    let (mut held, mut idle, mut checker) = (stage.client(), stage.client(), stage.checker());
    held.post("/pay/a", "r1", "body");
    let in_hand = stage.asked();
    idle.get("/slips/a", "r2");
    stage.asked().answer("before");
    assert_eq!(idle.answer().header("connection"), None);
    stage.proxy.signal("TERM");
    stage.note("SIGTERM");
    let state = stage
        .control_node
        .until_state("leaving", |state| state.leaving);
    assert!(!state.ready);
    checker.send("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(checker.answer().status(), 503);
    // On a connection that stood idle, and on a new one.
    for (mut client, id) in [(idle, "r3"), (stage.client(), "r4")] {
        client.post("/pay/a", id, "body");
        stage.asked().answer("while leaving");
        let answer = client.answer();
        assert_eq!(
            (answer.text().as_str(), answer.header("connection")),
            ("while leaving", Some("close"))
        );
        client.until_closed();
    }
    in_hand.answer("paid");
    assert_eq!(held.answer().text(), "paid");
    held.until_closed();
    stage.proxy.ends_within(8.0);
    stage.finish();
}

/// A stream that goes on past the time in which it accepts is finished.
#[test]
fn a_stream_in_hand_is_finished() {
    let mut stage = Stage::serving("a_stream_in_hand_is_finished", 1);
    let mut client = stage.client();
    client.post("/letters/a", "r1", "body");
    let mut asked = stage.begun_stream(&mut client);
    stage.proxy.signal("TERM");
    let told = Instant::now();
    stage
        .control_node
        .until_state("leaving", |state| state.leaving);
    // It accepts for a while, and then no longer.
    let mut id = 2;
    while TcpStream::connect(format!("{}:8161", stage.ip)).is_ok() {
        assert!(
            told.elapsed() < Duration::from_secs(20),
            "it accepts without end"
        );
        stage.control_node.until_state("a beat", |_| true);
    }
    for _ in 0..3 {
        asked.event(id, "more");
        client.gets_event(id, "more");
        id += 1;
    }
    asked.end_stream();
    client.stream_is_whole();
    stage.proxy.ends_within(8.0);
    stage.finish();
}

/// An upstream that is at work to the end of the grace does not keep it: it ends by itself before it is killed.
#[test]
fn what_never_ends_does_not_outlast_the_grace() {
    let bounds = BOUNDS.replace("\"grace_s\":8", "\"grace_s\":5");
    let mut stage = Stage::with_bounds("what_never_ends_does_not_outlast_the_grace", &bounds);
    stage.serve(1);
    let mut client = stage.client();
    client.post("/letters/a", "r1", "body");
    let _asked = stage.begun_stream(&mut client);
    stage.proxy.signal("TERM");
    stage.proxy.ends_within(5.0);
    client.stream_is_cut();
    stage.finish();
}

/// The grace is the deployment's: with a short one it ends within that as well.
#[test]
fn a_short_grace_is_kept() {
    let bounds = BOUNDS.replace("\"grace_s\":8", "\"grace_s\":3");
    let mut stage = Stage::with_bounds("a_short_grace_is_kept", &bounds);
    stage.serve(1);
    stage.proxy.signal("TERM");
    stage.proxy.ends_within(3.0);
    stage.finish();
}

/// Without a configuration it ends as well.
#[test]
fn told_to_stop_before_it_serves_it_ends() {
    let mut stage = Stage::empty("told_to_stop_before_it_serves_it_ends");
    stage.proxy.signal("TERM");
    stage
        .control_node
        .until_state("leaving", |state| state.leaving);
    stage.proxy.ends_within(8.0);
    stage.finish();
}

/// SIGHUP: requests in hand go on, and a faulty settings file changes nothing.
#[test]
fn settings_are_read_again_and_it_serves_on() {
    let stage = Stage::serving("settings_are_read_again_and_it_serves_on", 1);
    let mut client = stage.client();
    let path = stage.proxy.settings.clone();
    let good = std::fs::read_to_string(&path).unwrap();
    client.post("/pay/a", "r1", "body");
    let in_hand = stage.asked();
    for (at, faulty) in ["", "{\"node_name\":", "{}", "[]"].iter().enumerate() {
        std::fs::write(&path, faulty).unwrap();
        stage.proxy.signal("HUP");
        stage
            .proxy
            .until_logged_times("settings are kept as they were: E10", at + 1);
    }
    std::fs::write(&path, good.replace("\"grace_s\":8", "\"grace_s\":9")).unwrap();
    stage.proxy.signal("HUP");
    stage.proxy.until_logged_times("settings read again", 1);
    in_hand.answer("paid");
    assert_eq!(client.answer().text(), "paid");
    let mut checker = stage.checker();
    checker.send("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(checker.answer().status(), 200);
    for mut client in [client, stage.client()] {
        client.get("/slips/a", "r2");
        stage.asked().answer("on");
        let answer = client.answer();
        assert_eq!(
            (answer.text().as_str(), answer.header("connection")),
            ("on", None)
        );
    }
    stage.finish();
}

/// The file may change without a signal, and a zone that it names then has a region, also for upstreams that were listed before.
#[test]
fn settings_that_change_without_a_signal_are_read() {
    let stage = Stage::empty("settings_that_change_without_a_signal_are_read");
    stage.tell_alone();
    stage.list(vec![stage.upstream("printer", "d")]);
    stage.settle();
    let mut client = stage.client();
    client.get_with("/slips/south/a", "r1", &["Deadline-Remaining: 300"]);
    assert_eq!(
        client.answer().status(),
        503,
        "nobody knows yet where zone d is"
    );
    let path = stage.proxy.settings.clone();
    let settings = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, "{\"node_name\":").unwrap();
    stage
        .proxy
        .until_logged_times("settings are kept as they were: E101", 1);
    std::fs::write(
        &path,
        settings.replace("\"c\":\"south\"", "\"c\":\"south\",\"d\":\"south\""),
    )
    .unwrap();
    stage.proxy.until_logged_times("settings read again", 1);
    let mut client = stage.client();
    client.get("/slips/south/a", "r2");
    stage.asked().answer("served at home");
    assert_eq!(client.answer().text(), "served at home");
    stage.finish_unwritten();
}

/// Settings that are wrong: exit code 2, and the code of what is wrong in the log.
#[test]
fn wrong_settings_end_it_with_their_code() {
    let good = settings("127.0.0.1", false, &[], BOUNDS);
    for (name, settings, code) in [
        ("no-file", None, "E101"),
        ("no-json", Some("{\"node_name\":".to_owned()), "E101"),
        (
            "no-zone",
            Some(good.replace("\"zone\":", "\"zoe\":")),
            "E102",
        ),
        (
            "no-ports",
            Some(good.replace("internal_port_range", "ports")),
            "E102",
        ),
        ("bad-ports", Some(good.replace("7735]", "\"x\"]")), "E102"),
    ] {
        let mut proxy = Proxy::start(&format!("wrong-{name}"), settings.as_deref());
        assert_eq!(
            proxy.ended(Duration::from_secs(20)).code(),
            Some(2),
            "{name}"
        );
        let logged = proxy.logged();
        assert!(
            logged.contains(code) && logged.contains("\"level\":\"ERROR\""),
            "{name}: {logged}"
        );
    }
}

/// An address that can't be listened on: exit code 1, and its code.
#[test]
fn an_address_in_use_ends_it_with_its_code() {
    let ip = fresh_ip();
    let _taken = std::net::TcpListener::bind(format!("{ip}:8161")).unwrap();
    let good = settings(&ip, false, &[], BOUNDS);
    let no_address = good.replace(":8167", ":readiness");
    for (name, settings) in [
        ("taken", good),
        ("no-address", no_address.replace(":8161", ":8162")),
    ] {
        let mut proxy = Proxy::start(&format!("listen-{name}"), Some(&settings));
        assert_eq!(
            proxy.ended(Duration::from_secs(20)).code(),
            Some(1),
            "{name}"
        );
        assert!(
            proxy.logged().contains("E103"),
            "{name}: {}",
            proxy.logged()
        );
    }
}
