//! Tenants and their API keys (incidents inc1, inc2 and inc3: docs/incidents/api-keys.md).
use crate::harness::{Harness, BOUNDS, LIMITS, ROUTES};
use crate::http_connection::TEST_TIMEOUT;
use crate::upstream::UpstreamRequest;
use std::time::{Duration, Instant};

/// A route that needs no key.
const PUBLIC_ROUTE: &str = r#"{"name":"open","host":"post.example","path_prefix":"/open/","kind":"read_only",
"timeout_ms":60000,"target_latency_ms":60000,"priority":2,"service":"printer","attempts":2,"public":true}"#;

const ALPHA: &str =
    r#"{"name":"alpha","api_keys":["key-a1","key-a2"],"priority":2,"home_regions":[]}"#;
const BETA: &str = r#"{"name":"beta","api_keys":["key-b1"],"priority":0,"home_regions":[]}"#;

const ALPHA_KEY: &str = "Authorization: Bearer key-a1";
const BETA_KEY: &str = "Authorization: Bearer key-b1";

/// Time between requests that are repeated until their answer changes.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

fn routes() -> String {
    format!("{ROUTES},{PUBLIC_ROUTE}")
}

/// The limits of a document, and its tenants behind them.
fn limits_and(tenants: &[&str]) -> String {
    format!(r#"{LIMITS},"tenants":[{}]"#, tenants.join(","))
}

/// A proxy with one upstream and these tenants.
fn harness(name: &str, tenants: &[&str]) -> Harness {
    let harness = Harness::unconfigured(name);
    harness.make_ready_with(1, &routes(), &limits_and(tenants));
    harness
}

/// The values that a request's header has at the upstream.
fn header_values<'a>(request: &'a UpstreamRequest, name: &str) -> Vec<&'a str> {
    let prefix = format!("{name}:");
    let lines = request.message.head.lines();
    lines
        .filter(|line| line.to_ascii_lowercase().starts_with(&prefix))
        .map(|line| line[prefix.len()..].trim())
        .collect()
}

/// Incident inc1 (ROUTE): a request whose key no configuration holds was run.
#[test]
fn a_request_without_a_known_key_is_not_run() {
    let harness = harness("a_request_without_a_known_key_is_not_run", &[ALPHA, BETA]);
    let mut client = harness.client();
    let cases: [&[&str]; 7] = [
        &[],
        &["Authorization: Bearer key-a3"],
        &["Authorization: Bearer"],
        &["Authorization: Basic key-a1"],
        &["Authorization: key-a1"],
        &["Authorization: Bearer key-a1 key-a2"],
        &[ALPHA_KEY, BETA_KEY],
    ];
    for (at, headers) in cases.iter().enumerate() {
        client.get_with("/slips/a", &format!("r{at}"), headers);
        let response = client.response();
        assert_eq!(response.status(), 401, "{headers:?}");
        assert_eq!(response.header("www-authenticate"), Some("Bearer"));
    }
    harness.assert_no_upstream_request();
    // What needs no key runs without one, and with any.
    for (at, headers) in cases.iter().take(2).enumerate() {
        client.get_with("/open/a", &format!("o{at}"), headers);
        harness.next_upstream_request().respond("open");
        assert_eq!(client.response().text(), "open");
    }
    harness.finish();
}

/// Incident inc2 (UNASKED): the client's key was passed on to the upstream.
#[test]
fn a_clients_key_never_reaches_an_upstream() {
    let harness = harness("a_clients_key_never_reaches_an_upstream", &[ALPHA, BETA]);
    let mut client = harness.client();
    let cases = [
        ("/slips/a", ALPHA_KEY, "alpha"),
        ("/slips/a", "authorization:  bearer   key-a2 ", "alpha"),
        ("/letters/a", BETA_KEY, "beta"),
        ("/open/a", BETA_KEY, "beta"),
    ];
    for (at, (target, key, tenant)) in cases.into_iter().enumerate() {
        let headers = [key, "Tenant-Name: another", "tenant-name: alpha"];
        client.get_with(target, &format!("r{at}"), &headers);
        let request = harness.next_upstream_request();
        assert!(
            !request.message.head.contains("key-"),
            "{}",
            request.message.head
        );
        assert!(header_values(&request, "authorization").is_empty());
        assert_eq!(header_values(&request, "tenant-name"), [tenant], "{target}");
        request.respond("whole");
        assert_eq!(client.response().text(), "whole");
    }
    // Without a known key there is no tenant to name, and what the client sent goes no further either.
    for (at, key) in ["Authorization: Bearer key-a3", "X-Other: 1"]
        .into_iter()
        .enumerate()
    {
        client.get_with("/open/a", &format!("o{at}"), &[key, "Tenant-Name: alpha"]);
        let request = harness.next_upstream_request();
        assert!(header_values(&request, "authorization").is_empty());
        assert!(header_values(&request, "tenant-name").is_empty());
        request.respond("open");
        assert_eq!(client.response().text(), "open");
    }
    harness.finish();
}

/// Incident inc3 (CONFIG): a key that had been revoked was still taken.
#[test]
fn a_revoked_key_is_refused_on_connections_that_were_open_before() {
    let harness = harness("a_revoked_key_is_refused", &[ALPHA, BETA]);
    let mut client = harness.client();
    client.get_with("/slips/a", "r1", &[ALPHA_KEY]);
    harness.next_upstream_request().respond("one");
    assert_eq!(client.response().status(), 200);
    // One key is revoked, the other one passes to another tenant.
    let without = r#"{"name":"alpha","api_keys":[]}"#;
    let with = r#"{"name":"beta","api_keys":["key-b1","key-a2"]}"#;
    harness.configure_limits(&routes(), &limits_and(&[without, with]));
    client.get_with("/slips/a", "r2", &[ALPHA_KEY]);
    assert_eq!(client.response().status(), 401);
    client.get_with(
        "/slips/a",
        "r3",
        &["Authorization: Bearer key-a2", "Tenant-Name: alpha"],
    );
    let request = harness.next_upstream_request();
    assert_eq!(header_values(&request, "tenant-name"), ["beta"]);
    request.respond("three");
    assert_eq!(client.response().text(), "three");
    harness.finish();
}

/// No tenant is left, which does not open the routes.
#[test]
fn an_empty_list_of_tenants_lets_nobody_in() {
    let harness = harness("an_empty_list_of_tenants_lets_nobody_in", &[]);
    let mut client = harness.client();
    client.get_with("/slips/a", "r1", &[ALPHA_KEY]);
    assert_eq!(client.response().status(), 401);
    harness.assert_no_upstream_request();
    harness.finish();
}

/// HOME: where the route and the tenant both have homes, both bind.
#[test]
fn a_request_stays_in_the_home_regions_of_its_tenant() {
    let harness = Harness::unconfigured("a_request_stays_in_the_home_regions_of_its_tenant");
    let south = r#"{"name":"alpha","api_keys":["key-a1"],"home_regions":["south"]}"#;
    let north = r#"{"name":"beta","api_keys":["key-b1"],"home_regions":["north"]}"#;
    harness.send_single_proxy_census();
    let entries = vec![
        harness.add_upstream("printer", "a"),
        harness.add_upstream("printer", "c"),
    ];
    let identifiers: Vec<String> = entries
        .iter()
        .map(|entry| entry.identifier.clone())
        .collect();
    harness.send_upstream_list(entries);
    harness.configure_limits(&routes(), &limits_and(&[south, north]));
    let mut client = harness.client();
    for (at, (key, expected)) in [(ALPHA_KEY, &identifiers[1]), (BETA_KEY, &identifiers[0])]
        .into_iter()
        .cycle()
        .take(8)
        .enumerate()
    {
        client.get_with("/slips/a", &format!("r{at}"), &[key]);
        let request = harness.next_upstream_request();
        assert_eq!(&request.identifier, expected, "request {at}");
        request.respond("whole");
        assert_eq!(client.response().status(), 200);
    }
    // The route's home is another one: no region may serve it.
    client.get_with(
        "/slips/south/a",
        "both",
        &[BETA_KEY, "Deadline-Remaining: 400"],
    );
    assert_eq!(client.response().status(), 503);
    harness.assert_no_upstream_request();
    harness.finish();
}

/// The route's priority comes after the tenant's.
#[test]
fn a_tenants_priority_comes_before_the_routes() {
    let harness = harness("a_tenants_priority_comes_before_the_routes", &[ALPHA, BETA]);
    let mut client = harness.client();
    let mut priorities = Vec::new();
    for (at, (target, key)) in [
        ("/letters/a", BETA_KEY),
        ("/slips/a", BETA_KEY),
        ("/letters/a", ALPHA_KEY),
        ("/slips/a", ALPHA_KEY),
    ]
    .into_iter()
    .enumerate()
    {
        client.get_with(
            target,
            &format!("r{at}"),
            &[key, "Prompt-Prefix: 5c1e07a2:80,e4402b7d:25", "Priority: 9"],
        );
        let request = harness.next_upstream_request();
        let priority_values = header_values(&request, "priority");
        assert_eq!(priority_values.len(), 1);
        let priority: u32 = priority_values[0].parse().expect("a number");
        assert!(priority <= 9, "{priority}");
        priorities.push(priority);
        request.respond("whole");
        assert_eq!(client.response().status(), 200);
    }
    assert!(
        priorities.windows(2).all(|pair| pair[0] < pair[1]),
        "{priorities:?}"
    );
    harness.finish();
}

/// Where revocation is closed, a proxy that can't have heard of a revocation lets no key pass.
#[test]
fn keys_are_refused_out_of_touch_where_revocation_is_closed() {
    let closed = BOUNDS.replacen('{', r#"{"revocation_closed":true,"revocation_ms":600,"#, 1);
    let harness = Harness::with_bounds("keys_are_refused_out_of_touch", &closed);
    harness.make_ready_with(1, &routes(), &limits_and(&[ALPHA]));
    let mut client = harness.client();
    client.get_with("/slips/a", "r0", &[ALPHA_KEY]);
    harness.next_upstream_request().respond("whole");
    assert_eq!(client.response().status(), 200);
    harness.control_node.set_attached(false);
    let (mut status, started_at) = (200, Instant::now());
    while started_at.elapsed() < TEST_TIMEOUT {
        std::thread::sleep(REQUEST_INTERVAL);
        client.get_with("/slips/a", "r1", &[ALPHA_KEY]);
        match harness.upstream_request_within(Duration::from_millis(100)) {
            Some(request) => request.respond("whole"),
            None => {
                status = client.response().status();
                break;
            }
        }
        assert_eq!(client.response().status(), 200);
    }
    assert_eq!(status, 503, "the keys are taken however old they are");
    // What needs no key is served on, and keys pass again once control is heard.
    client.get("/open/a", "open");
    harness.next_upstream_request().respond("open");
    assert_eq!(client.response().text(), "open");
    harness.control_node.set_attached(true);
    harness.wait_until_key_is_accepted(&mut client, "/slips/a", ALPHA_KEY);
    harness.finish();
}
