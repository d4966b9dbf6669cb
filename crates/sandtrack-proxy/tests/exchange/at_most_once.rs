//! A non-idempotent request is retried only where it was certainly not executed (rule TWICE), and no response promises so
//! where it may have been executed (rule REFUSED).
use crate::harness::{printer_entry, request, Harness};
use crate::upstream::{seal, UpstreamRequest};

/// Non-idempotent routes with two attempts.
const TWO_ATTEMPTS: [&str; 2] = ["/pay/a", "/letters/a"];

/// Rejects a request with this status line and these headers, and keeps the connection open.
fn reject(mut upstream_request: UpstreamRequest, id: &str, status: &str, headers: &str) {
    upstream_request.send(&format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{headers}Content-Length: 4\r\n\r\nbusy"
    ));
    upstream_request.keep_open();
}

/// After a reset, a close or silence a request that was sent may have run.
#[test]
fn a_reset_after_reading_is_a_bad_gateway() {
    let harness = Harness::with_upstreams("a_reset_after_reading_is_a_bad_gateway", 3);
    let mut client = harness.client();
    for (at, target) in TWO_ATTEMPTS.iter().enumerate() {
        client.post(target, &format!("a{at}"), "body");
        harness.next_upstream_request().reset();
        let response = client.response();
        assert_eq!(
            (response.status(), response.header("retry-after")),
            (502, None)
        );
        client.post(target, &format!("b{at}"), "body");
        harness.next_upstream_request().close();
        assert_eq!(client.response().status(), 502);
    }
    harness.finish();
}

/// A reset that comes before the request was read: it was written, and may have run.
#[test]
fn an_upstream_that_resets_at_once_gets_one_attempt() {
    let harness = Harness::unconfigured("an_upstream_that_resets_at_once_gets_one_attempt");
    harness.send_single_proxy_census();
    let listener = std::net::TcpListener::bind((harness.ip.as_str(), 0)).unwrap();
    harness.send_upstream_list(vec![printer_entry(
        "i-resets",
        listener.local_addr().unwrap().to_string(),
    )]);
    harness.wait_until_applied();
    let mut client = harness.client();
    client.post("/pay/a", "r1", "body");
    // Connections to it come up, and are reset as soon as something was written: probes, and one request.
    let (stop_resetting, stop) = std::sync::mpsc::channel::<()>();
    let address = listener.local_addr().unwrap();
    let resetting = std::thread::spawn(move || {
        let mut requests = 0;
        for stream in listener.incoming().flatten() {
            if stop.try_recv().is_ok() {
                return requests;
            }
            let mut first = [0; 4];
            let count = stream.peek(&mut first).unwrap_or(0);
            requests += usize::from(count > 0 && b"POST".starts_with(&first[..count]));
            // Closed with bytes unread: a reset.
            drop(stream);
        }
        requests
    });
    assert_eq!(client.response().status(), 502);
    stop_resetting.send(()).unwrap();
    let _ = std::net::TcpStream::connect(address);
    assert_eq!(resetting.join().unwrap(), 1, "it was written once");
    harness.finish();
}

/// Only an answer with `Not-Executed`, and 421, say that it did not run: then it goes elsewhere.
#[test]
fn a_request_that_was_not_executed_is_retried_elsewhere() {
    let harness =
        Harness::with_upstreams("a_request_that_was_not_executed_is_retried_elsewhere", 6);
    let mut client = harness.client();
    let rejections = [
        ("503 Full", "Not-Executed: 1\r\n"),
        ("429 Slow", "Not-Executed: 1\r\nRetry-After: 1\r\n"),
        ("408 Late", "Not-Executed: 1\r\n"),
        ("421 Another", ""),
    ];
    for (at, (status, headers)) in rejections.iter().enumerate() {
        let id = format!("r{at}");
        client.post("/pay/a", &id, "body");
        let first = harness.next_upstream_request();
        let rejected_by = first.identifier.clone();
        reject(first, &id, status, headers);
        let second = harness.next_upstream_request();
        assert_ne!(second.identifier, rejected_by, "it goes to another");
        assert_eq!(
            (second.id(), second.message.text().as_str()),
            (id.as_str(), "body")
        );
        second.respond("paid");
        let response = client.response();
        assert_eq!((response.status(), response.text().as_str()), (200, "paid"));
    }
    harness.finish();
}

/// The same of a stream that can't be resumed.
#[test]
fn a_rejected_stream_is_retried_elsewhere() {
    let harness = Harness::with_upstreams("a_rejected_stream_is_retried_elsewhere", 2);
    let mut client = harness.client();
    client.post("/letters/a", "r1", "body");
    reject(
        harness.next_upstream_request(),
        "r1",
        "503 Full",
        "Not-Executed: 1\r\n",
    );
    let second = harness.started_stream(&mut client);
    second.end_stream();
    client.expect_stream_complete();
    harness.finish_with_transcript();
}

/// With one upstream a try, and with two that both turn it away: a promise, and when to come back.
#[test]
fn a_request_that_every_attempt_rejects_gets_503_with_retry_after() {
    let harness = Harness::with_upstreams(
        "a_request_that_every_attempt_rejects_gets_503_with_retry_after",
        3,
    );
    let mut client = harness.client();
    for (id, target, attempts) in [
        ("r1", "/pay/once/a", 1),
        ("r2", "/pay/a", 2),
        ("r3", "/letters/a", 2),
    ] {
        client.post(target, id, "body");
        for _ in 0..attempts {
            reject(
                harness.next_upstream_request(),
                id,
                "503 Full",
                "Not-Executed: 1\r\n",
            );
        }
        let response = client.response();
        assert_eq!(response.status(), 503);
        let retry_after: f64 = response
            .header("retry-after")
            .expect("when to come back")
            .parse()
            .unwrap();
        assert!(retry_after > 0.0 && retry_after < 5.0);
    }
    harness.finish();
}

/// One turned it away, the next may have run it: no promise any more.
#[test]
fn a_reset_after_a_rejection_is_a_bad_gateway() {
    let harness = Harness::with_upstreams("a_reset_after_a_rejection_is_a_bad_gateway", 3);
    let mut client = harness.client();
    client.post("/pay/a", "r1", "body");
    reject(harness.next_upstream_request(), "r1", "421 Another", "");
    harness.next_upstream_request().reset();
    assert_eq!(client.response().status(), 502);
    harness.finish_with_transcript();
}

/// A connection that never came up: nothing was sent, and another is asked.
#[test]
fn a_refused_connection_is_retried_elsewhere() {
    let harness = Harness::unconfigured("a_refused_connection_is_retried_elsewhere");
    harness.send_single_proxy_census();
    // Nothing listens there.
    let address = format!("{}:9", crate::harness::unused_ip());
    harness.send_upstream_list(vec![printer_entry("i-dead", address)]);
    harness.wait_until_applied();
    let mut client = harness.client();
    client.post("/pay/once/a", "r1", "body");
    // It is in hand, and was at the only upstream there is.
    harness
        .control_node
        .wait_for_state("the request", |state| state.requests_in_flight == 1);
    let live = harness.add_upstream("printer", "a");
    harness.send_upstream_changes(vec![live], &[]);
    harness.next_upstream_request().respond("paid");
    assert_eq!(client.response().text(), "paid");
    harness.finish_with_transcript();
}

/// Nowhere to go: a promise, early enough to come back.
#[test]
fn without_an_upstream_a_request_gets_503_with_retry_after() {
    let harness =
        Harness::with_upstreams("without_an_upstream_a_request_gets_503_with_retry_after", 0);
    let mut client = harness.client();
    for (id, target) in [
        ("r1", "/pay/a"),
        ("r2", "/letters/a"),
        ("r3", "/slips/a"),
        ("r4", "/tags/a"),
    ] {
        client.send(&request(
            "POST",
            target,
            id,
            &["Deadline-Remaining: 500"],
            "body",
        ));
        let response = client.response();
        assert_eq!(response.status(), 503);
        assert!(response.header("retry-after").is_some());
    }
    harness.finish_with_transcript();
}

/// What may run once goes on a kept connection only while its upstream is proven alive: it was heard lately, and no kept
/// connection of its service broke without a word of late.
#[test]
fn a_non_idempotent_request_reuses_a_connection_only_while_its_upstream_is_proven_alive() {
    let harness = Harness::with_upstreams("a_non_idempotent_request_reuses_a_connection", 1);
    let mut client = harness.client();
    client.get("/slips/a", "r1");
    harness.next_upstream_request().respond("one");
    client.response();
    for (id, target) in [("r2", "/slips/b"), ("r3", "/pay/a")] {
        client.post(target, id, "body");
        let upstream_request = harness.next_upstream_request();
        assert!(
            upstream_request.earlier_requests > 0,
            "{target}: its upstream was heard just now"
        );
        upstream_request.respond("done");
        assert_eq!(client.response().status(), 200);
    }
    // A kept connection breaks without a word; its request may run twice, and does.
    client.get("/slips/c", "r4");
    let upstream_request = harness.next_upstream_request();
    assert!(upstream_request.earlier_requests > 0);
    upstream_request.close();
    harness.next_upstream_request().respond("again");
    assert_eq!(client.response().status(), 200);
    for (id, target) in [("r5", "/pay/b"), ("r6", "/pay/c"), ("r7", "/letters/a")] {
        client.post(target, id, "body");
        let upstream_request = harness.next_upstream_request();
        assert_eq!(upstream_request.earlier_requests, 0, "{target}");
        upstream_request.respond("paid");
        assert_eq!(client.response().status(), 200);
    }
    harness.finish();
}

/// Silence is no reason to end an answer sooner, nor to send it again.
#[test]
fn a_non_idempotent_request_waits_for_a_silent_upstream_until_its_deadline() {
    let harness = Harness::with_upstreams(
        "a_non_idempotent_request_waits_for_a_silent_upstream_until_its_deadline",
        3,
    );
    let started_at = std::time::Instant::now();
    let mut clients = Vec::new();
    for (id, target) in [("r1", "/quick/pay/a"), ("r2", "/quick/letters/a")] {
        let mut client = harness.client();
        client.send(&request(
            "POST",
            target,
            id,
            &["Deadline-Remaining: 2500"],
            "body",
        ));
        clients.push((client, harness.next_upstream_request()));
    }
    for (mut client, upstream_request) in clients {
        assert_eq!(client.response().status(), 504);
        assert!(
            started_at.elapsed().as_millis() >= 2400,
            "not before its time"
        );
        drop(upstream_request);
    }
    harness.finish();
}

/// `attempts` is the largest number of upstreams that a try is sent to: one that is silent is not raced beyond it.
#[test]
fn a_silent_upstream_is_not_hedged_beyond_max_attempts() {
    let harness = Harness::with_upstreams("a_silent_upstream_is_not_hedged_beyond_max_attempts", 4);
    let mut client = harness.client();
    client.get_with("/quick/once/a", "r1", &["Deadline-Remaining: 3000"]);
    let upstream_request = harness.next_upstream_request();
    assert_eq!(client.response().status(), 504);
    drop(upstream_request);
    harness.finish_with_transcript();
}

/// The same where the first one failed, and the second is silent.
#[test]
fn a_silent_retry_is_not_hedged_beyond_max_attempts() {
    let harness = Harness::with_upstreams("a_silent_retry_is_not_hedged_beyond_max_attempts", 4);
    let mut client = harness.client();
    client.get_with("/quick/a", "r1", &["Deadline-Remaining: 3000"]);
    harness.next_upstream_request().close();
    let second = harness.next_upstream_request();
    assert_eq!(client.response().status(), 504);
    drop(second);
    harness.finish_with_transcript();
}

/// One that raced a silent one and broke: with both, the two attempts are spent.
#[test]
fn a_hedged_attempt_counts_against_max_attempts() {
    let harness = Harness::with_upstreams("a_hedged_attempt_counts_against_max_attempts", 4);
    let mut client = harness.client();
    client.get_with("/quick/a", "r1", &["Deadline-Remaining: 3000"]);
    let silent = harness.next_upstream_request();
    harness.next_upstream_request().close();
    assert_eq!(client.response().status(), 504);
    drop(silent);
    harness.finish_with_transcript();
}

/// A silent upstream and a request that may run twice: another one answers it.
#[test]
fn an_idempotent_request_to_a_silent_upstream_is_hedged() {
    let harness =
        Harness::with_upstreams("an_idempotent_request_to_a_silent_upstream_is_hedged", 2);
    let mut client = harness.client();
    client.get("/quick/a", "r1");
    let silent = harness.next_upstream_request();
    harness.next_upstream_request().respond("whole");
    assert_eq!(client.response().text(), "whole");
    silent.expect_closed();
    harness.finish_with_transcript();
}

/// REFUSED: a promise that the upstream does not make is not made for it.
#[test]
fn a_rejection_without_not_executed_is_a_bad_gateway() {
    let harness = Harness::with_upstreams("a_rejection_without_not_executed_is_a_bad_gateway", 3);
    let mut client = harness.client();
    for (at, status) in ["503 Busy", "429 Slow", "408 Late"].iter().enumerate() {
        for target in TWO_ATTEMPTS {
            let id = format!("r{at}{}", &target[1..4]);
            client.post(target, &id, "body");
            let upstream_request = harness.next_upstream_request();
            let seal = format!("Server-Seal: {}\r\nRetry-After: 1\r\n", seal(&id, "x"));
            reject(upstream_request, &id, status, &seal);
            assert_eq!(client.response().status(), 502);
        }
    }
    harness.finish();
}

/// MIXED: a failure that is not passed on with its own status does not bear its upstream's seal. The same for what may run
/// twice, where no further upstream may be asked.
#[test]
fn a_failure_under_another_status_bears_no_seal() {
    let harness = Harness::with_upstreams("a_failure_under_another_status_bears_no_seal", 3);
    let mut client = harness.client();
    for (at, status) in ["503 Busy", "429 Slow", "408 Late"].iter().enumerate() {
        for target in ["/pay/once/a", "/slips/once/a"] {
            let id = format!("r{at}{}", &target[1..4]);
            client.post(target, &id, "body");
            let upstream_request = harness.next_upstream_request();
            let seal = format!("Server-Seal: {}\r\nRetry-After: 1\r\n", seal(&id, "x"));
            reject(upstream_request, &id, status, &seal);
            let response = client.response();
            assert_eq!(
                (response.status(), response.header("server-seal")),
                (502, None),
                "{status}"
            );
            assert_eq!(
                response.header("retry-after"),
                None,
                "it may have run: no promise"
            );
        }
    }
    harness.finish();
}

/// A refusal that breaks off says as little as any other answer that does.
#[test]
fn a_truncated_rejection_with_not_executed_counts() {
    let harness = Harness::with_upstreams("a_truncated_rejection_with_not_executed_counts", 2);
    let mut client = harness.client();
    client.post("/pay/a", "r1", "body");
    let mut first = harness.next_upstream_request();
    first.send(
        "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 10\r\n\r\nbu",
    );
    first.close();
    harness.next_upstream_request().respond("paid");
    assert_eq!(client.response().text(), "paid");
    harness.finish_with_transcript();
}

/// `Not-Executed` in the answer to another request says nothing of this one.
#[test]
fn a_rejection_of_another_request_does_not_count() {
    let harness = Harness::with_upstreams("a_rejection_of_another_request_does_not_count", 3);
    let mut client = harness.client();
    client.post("/pay/a", "r1", "body");
    reject(
        harness.next_upstream_request(),
        "r0",
        "503 Full",
        "Not-Executed: 1\r\n",
    );
    assert_eq!(client.response().status(), 502);
    harness.finish_with_transcript();
}

/// BUDGET: the share of one proxy among very many has no second send in it.
#[test]
fn without_retry_budget_nothing_is_retried() {
    use sandtrack_protocol::frames::ToProxy;
    let harness = Harness::with_upstreams("without_retry_budget_nothing_is_retried", 3);
    let control_nodes = vec![harness.control_node.address.clone()];
    harness.control_node.send(ToProxy::Census {
        control_nodes,
        proxies: 1000,
        rank: 0,
    });
    harness.wait_until_applied();
    let mut client = harness.client();
    client.get("/slips/a", "r1");
    harness.next_upstream_request().close();
    assert_eq!(client.response().status(), 502);
    client.post("/pay/a", "r2", "body");
    reject(
        harness.next_upstream_request(),
        "r2",
        "503 Full",
        "Not-Executed: 1\r\n",
    );
    assert_eq!(client.response().status(), 503);
    harness.finish();
}
