//! No request is held a quarter of a second past its route's `timeout_ms`, whoever is silent; one that was not executed by
//! then is told when to retry.
use crate::harness::{printer_entry, request, Harness, LIMITS};
use crate::upstream::UpstreamRequest;
use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

/// The time of all routes here, and what may be held beyond it, in ms.
const ROUTE_TIMEOUT_MS: u128 = 1500;
const DEADLINE_TOLERANCE_MS: u128 = 250;

/// A proxy whose routes hold a request for [`ROUTE_TIMEOUT_MS`] at most; each client would wait for 20 s.
fn harness_with_short_timeouts(name: &str, upstreams: usize) -> Harness {
    let harness = Harness::unconfigured(name);
    harness.make_ready_with(upstreams, &routes(), LIMITS);
    harness
}

fn routes() -> String {
    let route = |name: &str, kind: &str, extra_fields: &str| {
        format!(
            r#"{{"name":"{name}","host":"post.example","path_prefix":"/{name}/","kind":"{kind}","timeout_ms":{ROUTE_TIMEOUT_MS},
"target_latency_ms":60000,"priority":1,"service":"printer","attempts":2{extra_fields}}}"#
        )
    };
    let routes = [
        route("read", "read_only", ""),
        route("pay", "mutating", ""),
        route(
            "letters",
            "streaming",
            r#","resumable":false,"gap_aim_ms":600000"#,
        ),
        route(
            "tags",
            "streaming",
            r#","resumable":true,"gap_aim_ms":600000"#,
        ),
    ];
    routes.join(",")
}

fn assert_answered_in_time(started_at: Instant, what: &str) {
    let elapsed = started_at.elapsed().as_millis();
    assert!(
        elapsed <= ROUTE_TIMEOUT_MS + DEADLINE_TOLERANCE_MS,
        "{what} was held for {elapsed} ms"
    );
}

fn assert_upstream_released_in_time(started_at: Instant, released_at: Instant) {
    let elapsed = (released_at - started_at).as_millis();
    assert!(
        elapsed <= ROUTE_TIMEOUT_MS + DEADLINE_TOLERANCE_MS,
        "its upstream was held for {elapsed} ms"
    );
}

/// A client that keeps its body back: what has not run is told to come back, and nothing was passed on.
#[test]
fn a_withheld_body_times_out_at_the_deadline() {
    let harness = harness_with_short_timeouts("a_withheld_body_times_out_at_the_deadline", 1);
    for (id, target) in [("r1", "/pay/a"), ("r2", "/read/a"), ("r3", "/tags/a")] {
        let mut client = harness.client();
        let started_at = Instant::now();
        client.send(&request("POST", target, id, &[], "").replace(": 0\r\n", ": 10\r\n"));
        let response = client.response();
        assert_answered_in_time(started_at, target);
        assert_eq!(
            (response.status(), response.header("request-id")),
            (408, Some(id))
        );
        assert!(
            response.header("retry-after").is_some(),
            "when to come back"
        );
        client.expect_closed();
    }
    harness.finish_with_transcript();
}

/// A silent upstream, before its head and behind it, for each kind of request.
#[test]
fn a_silent_upstream_times_out_at_the_deadline() {
    let harness = harness_with_short_timeouts("a_silent_upstream_times_out_at_the_deadline", 1);
    for target in ["/pay/a", "/read/a", "/letters/a", "/tags/a"] {
        for with_head in [false, true] {
            let mut client = harness.client();
            let started_at = Instant::now();
            let id = format!("{}{with_head}", &target[1..4]);
            client.post(target, &id, "body");
            let mut upstream_request = harness.next_upstream_request();
            if with_head {
                upstream_request.send(&format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\n"
                ));
            }
            let response = client.response();
            assert_answered_in_time(started_at, target);
            assert_eq!(response.status(), 504, "{target}");
            upstream_request.expect_closed();
        }
    }
    harness.finish();
}

/// A stream that began is cut at its time.
#[test]
fn a_stream_is_aborted_at_the_deadline() {
    let harness = harness_with_short_timeouts("a_stream_is_aborted_at_the_deadline", 1);
    for target in ["/letters/a", "/tags/a"] {
        let mut client = harness.client();
        let started_at = Instant::now();
        client.post(target, &format!("r{}", &target[1..4]), "prompt");
        let upstream_request = harness.started_stream(&mut client);
        client.expect_stream_aborted();
        assert_answered_in_time(started_at, target);
        upstream_request.expect_closed();
    }
    harness.finish_with_transcript();
}

/// Writes events until the connection is closed.
fn flood(upstream_request: UpstreamRequest) -> std::thread::JoinHandle<Instant> {
    let mut stream: TcpStream = upstream_request.into_stream();
    std::thread::spawn(move || {
        for id in 1_u64.. {
            let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(2000));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                break;
            }
        }
        Instant::now()
    })
}

/// An answer that never stops: there is always more to read, and the time counts all the same.
#[test]
fn an_endless_stream_is_aborted_at_the_deadline() {
    let harness = harness_with_short_timeouts("an_endless_stream_is_aborted_at_the_deadline", 1);
    let mut client = harness.client();
    let started_at = Instant::now();
    client.post("/letters/a", "r1", "prompt");
    let mut upstream_request = harness.next_upstream_request();
    upstream_request.start_stream();
    let flood = flood(upstream_request);
    client.stream_head();
    client.drain_until_truncated();
    // What is left in the client's own buffers by then is not held by the proxy.
    assert_upstream_released_in_time(started_at, flood.join().unwrap());
    harness.finish();
}

/// A client that takes nothing: its upstream is let go at the time, and not seconds later.
#[test]
fn a_client_that_does_not_read_frees_its_upstream_at_the_deadline() {
    let harness = harness_with_short_timeouts(
        "a_client_that_does_not_read_frees_its_upstream_at_the_deadline",
        1,
    );
    let mut client = harness.client();
    let started_at = Instant::now();
    client.post("/letters/a", "r1", "prompt");
    let mut upstream_request = harness.next_upstream_request();
    upstream_request.start_stream();
    assert_upstream_released_in_time(started_at, flood(upstream_request).join().unwrap());
    client.disconnect();
    harness.finish();
}

/// A request that came while the one before it on its connection was carried: its time counts from then.
#[test]
fn the_deadline_of_a_pipelined_request_counts_from_its_first_byte() {
    let harness = harness_with_short_timeouts(
        "the_deadline_of_a_pipelined_request_counts_from_its_first_byte",
        1,
    );
    let mut client = harness.client();
    let started_at = Instant::now();
    client.send(
        &[
            request("POST", "/pay/a", "r1", &[], "one"),
            request("POST", "/pay/a", "r2", &[], "two"),
        ]
        .concat(),
    );
    let upstream_request = harness.next_upstream_request();
    assert_eq!(client.response().status(), 504);
    let response = client.response();
    assert_answered_in_time(started_at, "the second request");
    assert_eq!(
        (response.status(), response.header("request-id")),
        (503, Some("r2"))
    );
    assert!(response.header("retry-after").is_some(), "it has not run");
    upstream_request.expect_closed();
    harness.finish();
}

/// An upstream that does not take the request: it may run what it has of it, so there is no promise.
#[test]
fn an_upstream_that_does_not_read_times_out_at_the_deadline() {
    let harness = Harness::unconfigured("an_upstream_that_does_not_read_times_out_at_the_deadline");
    harness.send_single_proxy_census();
    // Connections come up, and nothing is read from them.
    let listener = std::net::TcpListener::bind((harness.ip.as_str(), 0)).unwrap();
    harness.send_upstream_list(vec![printer_entry(
        "i-deaf",
        listener.local_addr().unwrap().to_string(),
    )]);
    harness.configure(&routes());
    // More than the buffers of a connection take.
    let body = "x".repeat(1_900_000);
    for (id, target) in [("r1", "/pay/a"), ("r2", "/letters/a")] {
        let mut client = harness.client();
        let started_at = Instant::now();
        client.send_bytes(id, request("POST", target, id, &[], &body).as_bytes());
        let response = client.response();
        assert_answered_in_time(started_at, target);
        assert_eq!(response.status(), 504, "{target}");
    }
    drop(listener);
    harness.finish();
}

/// No upstream at all: refused long before the time, with when to come back.
#[test]
fn without_an_upstream_a_request_is_rejected_within_its_deadline() {
    let harness = harness_with_short_timeouts(
        "without_an_upstream_a_request_is_rejected_within_its_deadline",
        0,
    );
    for target in ["/pay/a", "/read/a", "/letters/a", "/tags/a"] {
        let mut client = harness.client();
        let started_at = Instant::now();
        client.post(target, "r1", "body");
        let response = client.response();
        assert_answered_in_time(started_at, target);
        assert_eq!(response.status(), 503, "{target}");
        assert!(response.header("retry-after").is_some(), "{target}");
    }
    harness.finish();
}
