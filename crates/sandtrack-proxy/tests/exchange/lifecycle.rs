//! Signals, and settings that are wrong. LOST: around planned work nobody loses a request.
use crate::harness::{settings, unused_ip, Harness, BOUNDS};
use crate::proxy_process::ProxyProcess;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Told to stop: it says so, what is in hand is finished, what comes is served and its connection closed, and it ends with
/// status 0 within the grace.
#[test]
fn open_requests_are_finished_while_draining() {
    let mut harness = Harness::with_upstreams("open_requests_are_finished_while_draining", 1);
    let (mut busy_client, mut idle_client, mut readiness_client) = (
        harness.client(),
        harness.client(),
        harness.readiness_client(),
    );
    busy_client.post("/pay/a", "r1", "body");
    let open_request = harness.next_upstream_request();
    idle_client.get("/slips/a", "r2");
    harness.next_upstream_request().respond("before");
    assert_eq!(idle_client.response().header("connection"), None);
    harness.proxy.signal("TERM");
    harness.record("SIGTERM");
    let state = harness
        .control_node
        .wait_for_state("leaving", |state| state.draining);
    assert!(!state.ready);
    readiness_client.send("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(readiness_client.response().status(), 503);
    // On a connection that stood idle, and on a new one.
    for (mut client, id) in [(idle_client, "r3"), (harness.client(), "r4")] {
        client.post("/pay/a", id, "body");
        harness.next_upstream_request().respond("while leaving");
        let response = client.response();
        assert_eq!(
            (response.text().as_str(), response.header("connection")),
            ("while leaving", Some("close"))
        );
        client.expect_closed();
    }
    open_request.respond("paid");
    assert_eq!(busy_client.response().text(), "paid");
    busy_client.expect_closed();
    harness.proxy.assert_exits_within(8.0);
    harness.finish_with_transcript();
}

/// A stream that goes on past the time in which it accepts is finished.
#[test]
fn an_open_stream_is_finished_while_draining() {
    let mut harness = Harness::with_upstreams("an_open_stream_is_finished_while_draining", 1);
    let mut client = harness.client();
    client.post("/letters/a", "r1", "body");
    let mut upstream_request = harness.started_stream(&mut client);
    harness.proxy.signal("TERM");
    let draining_since = Instant::now();
    harness
        .control_node
        .wait_for_state("leaving", |state| state.draining);
    // It accepts for a while, and then no longer.
    let mut id = 2;
    while TcpStream::connect(format!("{}:8161", harness.ip)).is_ok() {
        assert!(
            draining_since.elapsed() < Duration::from_secs(20),
            "it accepts without end"
        );
        harness.control_node.wait_for_state("a beat", |_| true);
    }
    for _ in 0..3 {
        upstream_request.send_event(id, "more");
        client.expect_event(id, "more");
        id += 1;
    }
    upstream_request.end_stream();
    client.expect_stream_complete();
    harness.proxy.assert_exits_within(8.0);
    harness.finish_with_transcript();
}

/// An upstream that is at work to the end of the grace does not keep it: it ends by itself before it is killed.
#[test]
fn an_endless_stream_does_not_outlast_the_grace_period() {
    let bounds = BOUNDS.replace("\"grace_s\":8", "\"grace_s\":5");
    let mut harness = Harness::with_bounds(
        "an_endless_stream_does_not_outlast_the_grace_period",
        &bounds,
    );
    harness.make_ready(1);
    let mut client = harness.client();
    client.post("/letters/a", "r1", "body");
    let _upstream_request = harness.started_stream(&mut client);
    harness.proxy.signal("TERM");
    harness.proxy.assert_exits_within(5.0);
    client.expect_stream_aborted();
    harness.finish_with_transcript();
}

/// The grace is the deployment's: with a short one it ends within that as well.
#[test]
fn a_short_grace_period_is_kept() {
    let bounds = BOUNDS.replace("\"grace_s\":8", "\"grace_s\":3");
    let mut harness = Harness::with_bounds("a_short_grace_period_is_kept", &bounds);
    harness.make_ready(1);
    harness.proxy.signal("TERM");
    harness.proxy.assert_exits_within(3.0);
    harness.finish_with_transcript();
}

/// Without a configuration it ends as well.
#[test]
fn a_stop_before_serving_ends_the_process() {
    let mut harness = Harness::unconfigured("a_stop_before_serving_ends_the_process");
    harness.proxy.signal("TERM");
    harness
        .control_node
        .wait_for_state("leaving", |state| state.draining);
    harness.proxy.assert_exits_within(8.0);
    harness.finish_with_transcript();
}

/// SIGHUP: requests in hand go on, and a faulty settings file changes nothing.
#[test]
fn settings_are_reloaded_while_serving() {
    let harness = Harness::with_upstreams("settings_are_reloaded_while_serving", 1);
    let mut client = harness.client();
    let path = harness.proxy.settings.clone();
    let valid = std::fs::read_to_string(&path).unwrap();
    client.post("/pay/a", "r1", "body");
    let open_request = harness.next_upstream_request();
    for (at, invalid) in ["", "{\"node_name\":", "{}", "[]"].iter().enumerate() {
        std::fs::write(&path, invalid).unwrap();
        harness.proxy.signal("HUP");
        harness
            .proxy
            .wait_for_log_lines("settings are kept as they were: E10", at + 1);
    }
    std::fs::write(&path, valid.replace("\"grace_s\":8", "\"grace_s\":9")).unwrap();
    harness.proxy.signal("HUP");
    harness.proxy.wait_for_log_lines("settings reloaded", 1);
    open_request.respond("paid");
    assert_eq!(client.response().text(), "paid");
    let mut readiness_client = harness.readiness_client();
    readiness_client.send("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(readiness_client.response().status(), 200);
    for mut client in [client, harness.client()] {
        client.get("/slips/a", "r2");
        harness.next_upstream_request().respond("on");
        let response = client.response();
        assert_eq!(
            (response.text().as_str(), response.header("connection")),
            ("on", None)
        );
    }
    harness.finish_with_transcript();
}

/// The file may change without a signal, and a zone that it names then has a region, also for upstreams that were listed before.
#[test]
fn changed_settings_are_reloaded_without_a_signal() {
    let harness = Harness::unconfigured("changed_settings_are_reloaded_without_a_signal");
    harness.send_single_proxy_census();
    harness.send_upstream_list(vec![harness.add_upstream("printer", "d")]);
    harness.wait_until_applied();
    let mut client = harness.client();
    client.get_with("/slips/south/a", "r1", &["Deadline-Remaining: 300"]);
    assert_eq!(
        client.response().status(),
        503,
        "nobody knows yet where zone d is"
    );
    let path = harness.proxy.settings.clone();
    let settings = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, "{\"node_name\":").unwrap();
    harness
        .proxy
        .wait_for_log_lines("settings are kept as they were: E101", 1);
    std::fs::write(
        &path,
        settings.replace("\"c\":\"south\"", "\"c\":\"south\",\"d\":\"south\""),
    )
    .unwrap();
    harness.proxy.wait_for_log_lines("settings reloaded", 1);
    let mut client = harness.client();
    client.get("/slips/south/a", "r2");
    harness.next_upstream_request().respond("served at home");
    assert_eq!(client.response().text(), "served at home");
    harness.finish();
}

/// Settings that are wrong: exit code 2, and the code of what is wrong in the log.
#[test]
fn invalid_settings_end_the_process_with_their_code() {
    let valid = settings("127.0.0.1", false, &[], BOUNDS);
    for (name, settings, code) in [
        ("no-file", None, "E101"),
        ("no-json", Some("{\"node_name\":".to_owned()), "E101"),
        (
            "no-zone",
            Some(valid.replace("\"zone\":", "\"zoe\":")),
            "E102",
        ),
        (
            "no-ports",
            Some(valid.replace("internal_port_range", "ports")),
            "E102",
        ),
        ("bad-ports", Some(valid.replace("7735]", "\"x\"]")), "E102"),
    ] {
        let mut proxy = ProxyProcess::start(&format!("wrong-{name}"), settings.as_deref());
        assert_eq!(
            proxy.wait_for_exit(Duration::from_secs(20)).code(),
            Some(2),
            "{name}"
        );
        let log_text = proxy.log_text();
        assert!(
            log_text.contains(code) && log_text.contains("\"level\":\"ERROR\""),
            "{name}: {log_text}"
        );
    }
}

/// An address that can't be listened on: exit code 1, and its code.
#[test]
fn an_address_in_use_ends_the_process_with_its_code() {
    let ip = unused_ip();
    let _taken = std::net::TcpListener::bind(format!("{ip}:8161")).unwrap();
    let valid = settings(&ip, false, &[], BOUNDS);
    let no_address = valid.replace(":8167", ":readiness");
    for (name, settings) in [
        ("taken", valid),
        ("no-address", no_address.replace(":8161", ":8162")),
    ] {
        let mut proxy = ProxyProcess::start(&format!("listen-{name}"), Some(&settings));
        assert_eq!(
            proxy.wait_for_exit(Duration::from_secs(20)).code(),
            Some(1),
            "{name}"
        );
        assert!(
            proxy.log_text().contains("E103"),
            "{name}: {}",
            proxy.log_text()
        );
    }
}
