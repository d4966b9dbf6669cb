//! The process's memory limit bounds the sum of the bodies that it holds, and not only each: a process that exceeds it is
//! killed, with all its open requests.
use crate::harness::{request, Harness, ROUTES};
use crate::upstream::{seal, UpstreamRequest};

const MEMORY_MB: u32 = 64;
const LIMITS: &str = r#"{"header_size_bytes":2048,"body_size_bytes":4194304,"header_timeout_ms":30000,"idle_timeout_ms":60000}"#;
const LARGE_BODY_BYTES: usize = 4 << 20;
const MAX_RESPONSE_BYTES: usize = 8 << 20;

fn ready_harness(name: &str, upstreams: usize) -> Harness {
    let harness = Harness::with_memory(name, MEMORY_MB);
    harness.make_ready_with(upstreams, ROUTES, LIMITS);
    harness
}

fn assert_memory(harness: &Harness) {
    let peak = harness.proxy.peak_memory_mb();
    assert!(peak < f64::from(MEMORY_MB), "{peak:.0} MB of {MEMORY_MB}");
}

/// What is short is served while long bodies are in hand, some of which are forwarded; these.
fn serve_short_request_while_large_ones_are_in_flight(harness: &Harness) -> Vec<UpstreamRequest> {
    let mut short = harness.client();
    short.post("/pay/b", "short", "one");
    let mut forwarded = Vec::new();
    loop {
        let upstream_request = harness.next_upstream_request();
        if upstream_request.id() == "short" {
            upstream_request.respond("served");
            break;
        }
        forwarded.push(upstream_request);
    }
    assert_eq!(short.response().text(), "served");
    assert_memory(harness);
    assert!(!forwarded.is_empty(), "some long bodies are forwarded");
    forwarded
}

/// Each body is within the operator's limit, and so is each client; together they are twice the memory of the process.
#[test]
fn concurrent_large_bodies_stay_within_the_memory_budget_and_the_rest_is_rejected() {
    const CLIENTS: usize = 32;
    let harness = ready_harness("long_bodies_at_once", 10);
    let body = "x".repeat(LARGE_BODY_BYTES);
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| harness.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let bytes = request("POST", "/pay/a", &format!("r{number}"), &[], &body);
        client.send_bytes("a long body", bytes.as_bytes());
    }
    let forwarded = serve_short_request_while_large_ones_are_in_flight(&harness);
    let forwarded: Vec<String> = forwarded
        .into_iter()
        .map(|upstream_request| {
            let id = upstream_request.id().to_owned();
            upstream_request.respond("done");
            id
        })
        .collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let response = client.response();
        if forwarded.contains(&format!("r{number}")) {
            assert_eq!((response.status(), response.text().as_str()), (200, "done"));
        } else {
            assert_eq!(response.status(), 503, "it is not forwarded");
            assert!(
                response.header("retry-after").is_some(),
                "it is told when to come back"
            );
        }
    }
    // Its room is given back: one more is forwarded.
    let mut next = harness.client();
    next.send_bytes(
        "a long body",
        request("POST", "/pay/a", "next", &[], &body).as_bytes(),
    );
    harness.next_upstream_request().respond("done");
    assert_eq!(next.response().status(), 200);
    assert_memory(&harness);
    harness.finish();
}

/// The same of bodies whose length is not told beforehand.
#[test]
fn large_chunked_bodies_stay_within_the_memory_budget() {
    const CLIENTS: usize = 32;
    let harness = ready_harness("long_bodies_in_chunks", 10);
    let body = format!(
        "{LARGE_BODY_BYTES:x}\r\n{}\r\n0\r\n\r\n",
        "x".repeat(LARGE_BODY_BYTES)
    );
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| harness.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("r{number}");
        let head = request("POST", "/pay/a", &id, &["Transfer-Encoding: chunked"], "");
        client.send_bytes("a long body in chunks", format!("{head}{body}").as_bytes());
    }
    let forwarded = serve_short_request_while_large_ones_are_in_flight(&harness);
    forwarded
        .into_iter()
        .for_each(|upstream_request| upstream_request.respond("done"));
    let statuses: Vec<u16> = clients
        .iter_mut()
        .map(|client| client.response().status())
        .collect();
    assert!(
        statuses.iter().all(|status| matches!(status, 200 | 503)),
        "{statuses:?}"
    );
    harness.finish();
}

/// Answers are collected whole before they are passed on, and clients may be slow to take them.
#[test]
fn concurrent_large_responses_stay_within_the_memory_budget() {
    const CLIENTS: usize = 20;
    let harness = ready_harness("long_answers_at_once", 10);
    let body = vec![b'y'; MAX_RESPONSE_BYTES];
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| harness.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.post("/pay/once/a", &format!("r{number}"), "");
    }
    // None takes its answer before all are there.
    let upstream_request: Vec<_> = (0..CLIENTS)
        .map(|_| harness.next_upstream_request())
        .collect();
    for mut upstream_request in upstream_request {
        let id = upstream_request.id().to_owned();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {}\r\nContent-Length: {MAX_RESPONSE_BYTES}\r\n\r\n",
            seal(&id, "long")
        );
        upstream_request.send_bytes("a long answer", &[head.as_bytes(), &body].concat());
        upstream_request.close();
    }
    let statuses: Vec<u16> = clients
        .iter_mut()
        .map(|client| {
            let response = client.response();
            assert!(
                response.status() != 200 || response.body == body,
                "it is whole"
            );
            response.status()
        })
        .collect();
    assert_memory(&harness);
    assert!(statuses.contains(&200), "{statuses:?}");
    assert!(
        statuses.iter().all(|status| matches!(status, 200 | 502)),
        "{statuses:?}"
    );
    // One alone has room.
    let mut last = harness.client();
    last.post("/pay/once/a", "last", "");
    harness.next_upstream_request().respond("short");
    assert_eq!(last.response().text(), "short");
    harness.finish();
}
