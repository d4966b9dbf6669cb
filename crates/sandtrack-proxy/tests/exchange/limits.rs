//! Limits that change while a connection rests: those in force count.
use crate::harness::{request, Harness, ROUTES};
use std::time::Duration;

const SHORT_IDLE_TIMEOUT_MS: u64 = 2000;

fn limits(header_size_bytes: usize, idle_timeout_ms: u64) -> String {
    format!(
        r#"{{"header_size_bytes":{header_size_bytes},"body_size_bytes":2000000,"header_timeout_ms":30000,
"idle_timeout_ms":{idle_timeout_ms}}}"#
    )
}

fn with_limits(name: &str, limits: &str) -> Harness {
    let harness = Harness::unconfigured(name);
    harness.send_single_proxy_census();
    let entry = harness.add_upstream("printer", "a");
    harness.send_upstream_list(vec![entry]);
    harness.configure_limits(ROUTES, limits);
    harness
}

/// A client may take a connection up that has rested for longer than the earlier limit allowed.
#[test]
fn an_idle_connection_is_kept_when_the_idle_timeout_grows() {
    let harness = with_limits(
        "an_idle_connection_is_kept_when_the_idle_timeout_grows",
        &limits(2048, SHORT_IDLE_TIMEOUT_MS),
    );
    let mut client = harness.client();
    client.get("/slips/a", "r1");
    harness.next_upstream_request().respond("first");
    client.response();
    harness.configure_limits(ROUTES, &limits(2048, 60_000));
    client.expect_idle_for(Duration::from_millis(SHORT_IDLE_TIMEOUT_MS + 500));
    client.get("/slips/b", "r2");
    harness.next_upstream_request().respond("second");
    assert_eq!(client.response().text(), "second");
    harness.finish();
}

/// A connection that has rested since before the change takes a head of the length that is allowed now.
#[test]
fn the_head_limit_in_force_applies() {
    let harness = with_limits("the_head_limit_in_force_applies", &limits(2048, 60_000));
    let mut client = harness.client();
    client.get("/slips/a", "r1");
    harness.next_upstream_request().respond("first");
    client.response();
    harness.configure_limits(ROUTES, &limits(40_000, 60_000));
    let long = format!("X-Long: {}", "x".repeat(30_000));
    client.send_bytes(
        "a request with a head of 30,000 bytes",
        request("GET", "/slips/b", "r2", &[&long], "").as_bytes(),
    );
    let upstream_request = harness.next_upstream_request();
    assert!(
        upstream_request.message.head.contains(&long),
        "the header is passed on"
    );
    upstream_request.respond("second");
    assert_eq!(client.response().text(), "second");
    harness.finish();
}

/// "No limit", as an operator may write it: no clock tells such a time, and no process may end by it.
#[test]
fn a_timeout_beyond_the_clocks_range_is_a_long_one() {
    let unlimited = r#"{"header_size_bytes":2048,"body_size_bytes":2000000,"header_timeout_ms":1e300,"idle_timeout_ms":1e300}"#;
    let harness = with_limits("a_timeout_beyond_the_clocks_range_is_a_long_one", unlimited);
    let mut client = harness.client();
    client.get("/slips/a", "r1");
    harness.next_upstream_request().respond("first");
    assert_eq!(client.response().text(), "first");
    let routes = ROUTES.replace("\"timeout_ms\":60000", "\"timeout_ms\":1e300");
    assert_ne!(routes, ROUTES, "the routes have such a time");
    harness.configure_limits(&routes, unlimited);
    client.get("/slips/b", "r2");
    harness.next_upstream_request().respond("second");
    assert_eq!(client.response().text(), "second");
    harness.finish();
}
