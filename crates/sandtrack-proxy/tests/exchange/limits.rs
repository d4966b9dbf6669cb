//! Limits that change while a connection rests: those in force count.
use crate::harness::{request, Stage, ROUTES};
use std::time::Duration;

const SHORT_REST_MS: u64 = 2000;

fn limits(header_size_bytes: usize, idle_timeout_ms: u64) -> String {
    format!(
        r#"{{"header_size_bytes":{header_size_bytes},"body_size_bytes":2000000,"header_timeout_ms":30000,
"idle_timeout_ms":{idle_timeout_ms}}}"#
    )
}

fn with_limits(name: &str, limits: &str) -> Stage {
    let stage = Stage::empty(name);
    stage.tell_alone();
    let entry = stage.upstream("printer", "a");
    stage.list(vec![entry]);
    stage.configure_limits(ROUTES, limits);
    stage
}

/// A client may take a connection up that has rested for longer than the earlier limit allowed.
#[test]
fn a_resting_connection_is_kept_when_the_limit_grows() {
    let stage = with_limits(
        "a_resting_connection_is_kept_when_the_limit_grows",
        &limits(2048, SHORT_REST_MS),
    );
    let mut client = stage.client();
    client.get("/slips/a", "r1");
    stage.asked().answer("first");
    client.answer();
    stage.configure_limits(ROUTES, &limits(2048, 60_000));
    client.rests_for(Duration::from_millis(SHORT_REST_MS + 500));
    client.get("/slips/b", "r2");
    stage.asked().answer("second");
    assert_eq!(client.answer().text(), "second");
    stage.finish_unwritten();
}

/// A connection that has rested since before the change takes a head of the length that is allowed now.
#[test]
fn a_head_may_be_as_long_as_is_in_force() {
    let stage = with_limits(
        "a_head_may_be_as_long_as_is_in_force",
        &limits(2048, 60_000),
    );
    let mut client = stage.client();
    client.get("/slips/a", "r1");
    stage.asked().answer("first");
    client.answer();
    stage.configure_limits(ROUTES, &limits(40_000, 60_000));
    let long = format!("X-Long: {}", "x".repeat(30_000));
    client.send_bytes(
        "a request with a head of 30,000 bytes",
        request("GET", "/slips/b", "r2", &[&long], "").as_bytes(),
    );
    let asked = stage.asked();
    assert!(
        asked.request.head.contains(&long),
        "the header is passed on"
    );
    asked.answer("second");
    assert_eq!(client.answer().text(), "second");
    stage.finish_unwritten();
}

/// "No limit", as an operator may write it: no clock tells such a time, and no process may end by it.
#[test]
fn a_time_that_no_clock_can_tell_is_a_long_one() {
    let endless = r#"{"header_size_bytes":2048,"body_size_bytes":2000000,"header_timeout_ms":1e300,"idle_timeout_ms":1e300}"#;
    let stage = with_limits("a_time_that_no_clock_can_tell_is_a_long_one", endless);
    let mut client = stage.client();
    client.get("/slips/a", "r1");
    stage.asked().answer("first");
    assert_eq!(client.answer().text(), "first");
    let routes = ROUTES.replace("\"timeout_ms\":60000", "\"timeout_ms\":1e300");
    assert_ne!(routes, ROUTES, "the routes have such a time");
    stage.configure_limits(&routes, endless);
    client.get("/slips/b", "r2");
    stage.asked().answer("second");
    assert_eq!(client.answer().text(), "second");
    stage.finish_unwritten();
}
