//! ORDER, and what becomes of streams: no event twice, none missing, and none that looks complete and is not.
use crate::harness::{request, Harness};
use sandtrack_protocol::frames::UpstreamEntry;

/// Events are passed on as they come, with the head and the stamp of the upstream.
#[test]
fn events_are_relayed_as_they_come() {
    let harness = Harness::with_upstreams("events_are_relayed_as_they_come", 1);
    let mut client = harness.client();
    client.post("/letters/a", "r1", "prompt");
    let mut upstream_request = harness.next_upstream_request();
    upstream_request.start_stream();
    upstream_request.send_event(1, "one");
    let head = client.stream_head();
    assert!(head.starts_with("HTTP/1.1 200 "));
    assert_eq!(
        crate::http_connection::header(&head, "server-seal"),
        Some("r1.upstream.1")
    );
    assert_eq!(
        crate::http_connection::header(&head, "content-type"),
        Some("text/event-stream")
    );
    client.expect_event(1, "one");
    upstream_request.send_event(2, "two");
    client.expect_event(2, "two");
    // Several in one piece, and one that carries more than its id.
    upstream_request
        .send_chunk("id: 3\ndata: three\n\nversions: 2\nid: 5\ndata: five\ndata: more\n\n");
    client.expect_event(3, "three");
    assert_eq!(
        client.next_event().as_deref(),
        Some("versions: 2\nid: 5\ndata: five\ndata: more")
    );
    // One in three pieces is passed on once it is whole.
    for chunk in ["id: 6\nda", "ta: six\n", "\n"] {
        upstream_request.send_chunk(chunk);
    }
    client.expect_event(6, "six");
    upstream_request.end_stream();
    client.expect_stream_complete();
    // The client's connection goes on.
    client.stream_end = None;
    client.get("/slips/a", "r2");
    harness.next_upstream_request().respond("two");
    assert_eq!(client.response().text(), "two");
    harness.finish_with_transcript();
}

/// A stream that can't be resumed and is cut in its middle: what the client has does not look complete.
#[test]
fn a_truncated_stream_does_not_look_complete() {
    let harness = Harness::with_upstreams("a_truncated_stream_does_not_look_complete", 3);
    for (id, reset) in [("r1", false), ("r2", true)] {
        let mut client = harness.client();
        client.post("/letters/a", id, "prompt");
        let mut upstream_request = harness.started_stream(&mut client);
        if reset {
            upstream_request.reset();
        } else {
            upstream_request.send_chunk("id: 2\ndata: half of it");
            upstream_request.close();
        }
        client.expect_stream_aborted();
    }
    harness.finish();
}

/// Cut before its first event: an answer that is no success.
#[test]
fn a_stream_truncated_before_its_first_event_is_a_bad_gateway() {
    let harness = Harness::with_upstreams(
        "a_stream_truncated_before_its_first_event_is_a_bad_gateway",
        3,
    );
    let mut client = harness.client();
    client.post("/letters/a", "r1", "prompt");
    let mut upstream_request = harness.next_upstream_request();
    upstream_request.start_stream();
    upstream_request.close();
    assert_eq!(client.response().status(), 502);
    harness.finish_with_transcript();
}

/// A stream whose upstream says that its length is not met.
#[test]
fn a_stream_shorter_than_its_content_length_does_not_look_complete() {
    let harness = Harness::with_upstreams(
        "a_stream_shorter_than_its_content_length_does_not_look_complete",
        2,
    );
    let mut client = harness.client();
    client.post("/letters/a", "r1", "prompt");
    let mut upstream_request = harness.next_upstream_request();
    upstream_request.send(
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nContent-Type: text/event-stream\r\n\
         Content-Length: 100\r\n\r\nid: 1\ndata: one\n\n",
    );
    client.stream_head();
    client.expect_event(1, "one");
    upstream_request.close();
    client.expect_stream_aborted();
    harness.finish_with_transcript();
}

/// One that may be resumed is taken up at another after the last whole event; head and stamp stay the first one's.
#[test]
fn a_truncated_stream_is_resumed_at_another_upstream() {
    let harness = Harness::with_upstreams("a_truncated_stream_is_resumed_at_another_upstream", 2);
    let mut client = harness.client();
    client.post_with("/tags/slow/a", "r1", &[], "prompt");
    let mut first = harness.next_upstream_request();
    assert_eq!(first.message.header("last-event-id"), None);
    first.start_stream();
    first.send_event(1, "one");
    first.send_event(3, "three");
    first.send_chunk("id: 4\ndata: half of i");
    let head = client.stream_head();
    client.expect_event(1, "one");
    client.expect_event(3, "three");
    first.close();
    let mut second = harness.next_upstream_request();
    assert_eq!(second.message.header("last-event-id"), Some("3"));
    assert_eq!(
        (second.id(), second.message.text().as_str()),
        ("r1", "prompt")
    );
    second.start_stream();
    second.send_event(4, "four");
    client.expect_event(4, "four");
    second.send_event(5, "five");
    second.end_stream();
    client.expect_event(5, "five");
    client.expect_stream_complete();
    assert_eq!(
        crate::http_connection::header(&head, "server-seal"),
        Some("r1.upstream.1")
    );
    harness.finish_with_transcript();
}

/// The client itself takes up a stream: its `Last-Event-Id` reaches the upstream, and another after a cut gets the newer one.
#[test]
fn a_clients_last_event_id_is_forwarded() {
    let harness = Harness::with_upstreams("a_clients_last_event_id_is_forwarded", 2);
    let mut client = harness.client();
    client.post_with("/tags/slow/a", "r1", &["Last-Event-Id: 7"], "prompt");
    let mut first = harness.next_upstream_request();
    assert_eq!(first.message.header("last-event-id"), Some("7"));
    first.start_stream();
    first.send_event(8, "eight");
    client.stream_head();
    client.expect_event(8, "eight");
    first.close();
    let mut second = harness.next_upstream_request();
    let last_event_ids: Vec<&str> = second
        .message
        .head
        .lines()
        .filter(|line| line.to_lowercase().starts_with("last-event-id"))
        .collect();
    assert_eq!(last_event_ids, ["Last-Event-Id: 8"]);
    second.start_stream();
    second.send_event(9, "nine");
    second.end_stream();
    client.expect_event(9, "nine");
    client.expect_stream_complete();
    harness.finish_with_transcript();
}

/// Cut before its first event, it is asked from the start elsewhere, with the head of the one that answers.
#[test]
fn a_resumable_stream_truncated_before_its_first_event_is_retried_elsewhere() {
    let harness = Harness::with_upstreams(
        "a_resumable_stream_truncated_before_its_first_event_is_retried_elsewhere",
        2,
    );
    let mut client = harness.client();
    client.post_with("/tags/slow/a", "r1", &[], "prompt");
    let mut first = harness.next_upstream_request();
    first.start_stream();
    first.send_chunk("id: 1\ndata: on");
    first.close();
    let mut second = harness.next_upstream_request();
    assert_eq!(second.message.header("last-event-id"), None);
    second.start_stream();
    second.send_event(1, "one");
    second.end_stream();
    let head = client.stream_head();
    assert_eq!(
        crate::http_connection::header(&head, "server-seal"),
        Some("r1.upstream.2")
    );
    client.expect_event(1, "one");
    client.expect_stream_complete();
    harness.finish_with_transcript();
}

/// The one that takes it up begins anew: none of its events that the client has is passed on.
#[test]
fn a_resumed_stream_that_starts_over_does_not_repeat_events() {
    let harness = Harness::with_upstreams(
        "a_resumed_stream_that_starts_over_does_not_repeat_events",
        2,
    );
    let mut client = harness.client();
    client.post_with("/tags/slow/a", "r1", &[], "prompt");
    let mut first = harness.next_upstream_request();
    first.start_stream();
    first.send_event(1, "one");
    first.send_event(2, "two");
    client.stream_head();
    client.expect_event(1, "one");
    client.expect_event(2, "two");
    first.close();
    let mut second = harness.next_upstream_request();
    second.start_stream();
    second.send_event(1, "uno");
    client.expect_stream_aborted();
    drop(second);
    harness.finish_with_transcript();
}

/// What it is taken up with is no stream: the client's answer does not look complete.
#[test]
fn a_stream_whose_resumption_fails_is_aborted() {
    let harness = Harness::with_upstreams("a_stream_whose_resumption_fails_is_aborted", 2);
    let mut client = harness.client();
    client.post_with("/tags/slow/a", "r1", &[], "prompt");
    let first = harness.started_stream(&mut client);
    first.close();
    let mut second = harness.next_upstream_request();
    second.send(
        "HTTP/1.1 500 Oops\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nContent-Length: 3\r\n\r\nwhy",
    );
    second.keep_open();
    client.expect_stream_aborted();
    harness.finish_with_transcript();
}

/// Pieces of another request's stream are not joined to it.
#[test]
fn a_stream_is_not_resumed_with_another_requests_stream() {
    let harness =
        Harness::with_upstreams("a_stream_is_not_resumed_with_another_requests_stream", 2);
    let mut client = harness.client();
    client.post_with("/tags/slow/a", "r1", &[], "prompt");
    let first = harness.started_stream(&mut client);
    first.close();
    let mut second = harness.next_upstream_request();
    second.send(
        "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Seal: s0\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
    );
    second.send_event(2, "another's");
    client.expect_stream_aborted();
    drop(second);
    harness.finish_with_transcript();
}

/// Silent in its middle: another takes it up, and the silent one is left.
#[test]
fn a_silent_stream_is_resumed_at_another_upstream() {
    let harness = Harness::with_upstreams("a_silent_stream_is_resumed_at_another_upstream", 2);
    let mut client = harness.client();
    client.post_with("/tags/a", "r1", &[], "prompt");
    let first = harness.started_stream(&mut client);
    let mut second = harness.next_upstream_request();
    assert_eq!(second.message.header("last-event-id"), Some("1"));
    second.start_stream();
    second.send_event(2, "two");
    client.expect_event(2, "two");
    first.expect_closed();
    second.end_stream();
    client.expect_stream_complete();
    harness.finish_with_transcript();
}

/// The silent one speaks first after all: it goes on, and the other one is left. The two attempts are spent: no third send
/// follows when it is silent again.
#[test]
fn a_silent_stream_that_continues_wins_over_its_hedge() {
    let harness = Harness::with_upstreams("a_silent_stream_that_continues_wins_over_its_hedge", 3);
    let mut client = harness.client();
    client.post_with("/tags/a", "r1", &["Deadline-Remaining: 5000"], "prompt");
    let mut first = harness.started_stream(&mut client);
    let second = harness.next_upstream_request();
    first.send_event(2, "two");
    client.expect_event(2, "two");
    second.expect_closed();
    // Silent to the end.
    client.expect_stream_aborted();
    drop(first);
    harness.finish_with_transcript();
}

/// The silent one breaks off while another is asked to take it up: that one goes on with it.
#[test]
fn a_silent_stream_that_breaks_is_resumed_by_its_hedge() {
    let harness = Harness::with_upstreams("a_silent_stream_that_breaks_is_resumed_by_its_hedge", 2);
    let mut client = harness.client();
    client.post_with("/tags/a", "r1", &[], "prompt");
    let first = harness.started_stream(&mut client);
    let mut second = harness.next_upstream_request();
    first.reset();
    harness.control_node.received_so_far();
    for _ in 0..2 {
        harness.control_node.wait_for_state("a beat", |_| true);
    }
    second.start_stream();
    second.send_event(2, "two");
    client.expect_event(2, "two");
    second.end_stream();
    client.expect_stream_complete();
    harness.finish_with_transcript();
}

/// ORDER: a new run would bring events without ids once more. A stream with such an event stays where it is, silent or broken.
#[test]
fn a_stream_with_events_without_ids_is_not_resumed() {
    let harness = Harness::with_upstreams("a_stream_with_events_without_ids_is_not_resumed", 2);
    let events = [
        ("r1", vec!["data: one\n\n"]),
        ("r2", vec!["id: 1\ndata: one\n\n", "data: two\n\n"]),
    ];
    for (id, events) in events {
        for reset in [false, true] {
            let mut client = harness.client();
            let id = format!("{id}{reset}");
            client.post_with("/tags/a", &id, &["Deadline-Remaining: 2500"], "prompt");
            let mut upstream_request = harness.next_upstream_request();
            upstream_request.start_stream();
            events
                .iter()
                .for_each(|event| upstream_request.send_chunk(event));
            client.stream_head();
            for event in &events {
                assert_eq!(client.next_event().as_deref(), Some(event.trim_end()));
            }
            if reset {
                upstream_request.reset();
                client.expect_stream_aborted();
            } else {
                client.expect_stream_aborted();
                upstream_request.expect_closed();
            }
        }
    }
    // Which of the two it goes to is drawn.
    harness.finish();
}

/// Silent before its first event, with its head or without: another is asked as well, and the first event counts.
#[test]
fn a_stream_silent_before_its_first_event_is_hedged() {
    for (name, with_head) in [
        ("a_stream_silent_before_its_head_is_hedged", false),
        ("a_stream_silent_before_its_first_event_is_hedged", true),
    ] {
        let harness = Harness::with_upstreams(name, 2);
        let mut client = harness.client();
        client.post("/quick/tags/a", "r1", "prompt");
        let mut first = harness.next_upstream_request();
        if with_head {
            first.start_stream();
        }
        let mut second = harness.next_upstream_request();
        assert_eq!(second.message.header("last-event-id"), None);
        second.start_stream();
        second.send_event(1, "one");
        let head = client.stream_head();
        assert_eq!(
            crate::http_connection::header(&head, "server-seal"),
            Some("r1.upstream.2")
        );
        client.expect_event(1, "one");
        first.expect_closed();
        second.end_stream();
        client.expect_stream_complete();
        harness.finish_with_transcript();
    }
}

/// TWICE: a silent stream that can't be resumed stays where it is.
#[test]
fn a_silent_non_idempotent_stream_is_not_hedged() {
    let harness = Harness::with_upstreams("a_silent_non_idempotent_stream_is_not_hedged", 3);
    let mut client = harness.client();
    client.send(&request(
        "POST",
        "/letters/a",
        "r1",
        &["Deadline-Remaining: 3000"],
        "prompt",
    ));
    let upstream_request = harness.started_stream(&mut client);
    client.expect_stream_aborted();
    upstream_request.expect_closed();
    harness.finish_with_transcript();
}

/// A client that leaves: its upstream is left as well, before the first event and after it, and by a request of any kind.
#[test]
fn a_client_that_disconnects_frees_its_upstream() {
    let harness = Harness::with_upstreams("a_client_that_disconnects_frees_its_upstream", 1);
    let mut client = harness.client();
    client.post("/letters/a", "r1", "prompt");
    let upstream_request = harness.started_stream(&mut client);
    client.disconnect();
    upstream_request.expect_closed();
    for (id, target) in [
        ("r2", "/letters/a"),
        ("r3", "/tags/slow/a"),
        ("r4", "/pay/a"),
        ("r5", "/slips/a"),
    ] {
        let mut client = harness.client();
        client.post_with(target, id, &[], "prompt");
        let upstream_request = harness.next_upstream_request();
        client.disconnect();
        upstream_request.expect_closed();
    }
    harness.finish_with_transcript();
}

/// GONE: a request whose client leaves while no upstream has room is sent to none later.
#[test]
fn a_client_that_disconnects_while_its_request_awaits_capacity_reaches_no_upstream() {
    let harness = Harness::unconfigured("a_client_that_leaves_while_its_request_waits");
    harness.send_single_proxy_census();
    // It has room for one request, and queues none beyond that.
    harness.send_upstream_list(vec![UpstreamEntry {
        slots: 1,
        ..harness.add_upstream("printer", "a")
    }]);
    harness.wait_until_applied();
    let mut first = harness.client();
    first.get("/slips/a", "first");
    let open_request = harness.next_upstream_request();
    let mut waiting = harness.client();
    waiting.get("/slips/a", "waiting");
    harness.wait_for_metric("sandtrack_proxy_requests_open", 2);
    waiting.disconnect();
    harness
        .proxy
        .wait_for_log_lines("request waiting on slips: its client left", 1);
    open_request.respond("whole");
    assert_eq!(first.response().text(), "whole");
    let mut next = harness.client();
    next.get("/slips/b", "next");
    let upstream_request = harness.next_upstream_request();
    assert_eq!(
        upstream_request.id(),
        "next",
        "nobody is asked for the one that left"
    );
    upstream_request.respond("whole");
    assert_eq!(next.response().text(), "whole");
    harness.finish();
}

/// GONE: both sends of a race end with their client.
#[test]
fn a_client_that_disconnects_during_a_hedge_frees_both_upstreams() {
    let harness = Harness::with_upstreams("a_client_that_leaves_within_a_race", 2);
    let mut client = harness.client();
    client.get("/quick/a", "r1");
    let (first, second) = (
        harness.next_upstream_request(),
        harness.next_upstream_request(),
    );
    assert_eq!((first.id(), second.id()), ("r1", "r1"));
    client.disconnect();
    first.expect_closed();
    second.expect_closed();
    harness.finish();
}

/// The deadline comes in the middle of a stream: it ends there, and does not look complete.
#[test]
fn a_stream_past_its_deadline_does_not_look_complete() {
    let harness = Harness::with_upstreams("a_stream_past_its_deadline_does_not_look_complete", 1);
    let mut client = harness.client();
    client.post_with(
        "/tags/slow/a",
        "r1",
        &["Deadline-Remaining: 1500"],
        "prompt",
    );
    let upstream_request = harness.started_stream(&mut client);
    client.expect_stream_aborted();
    upstream_request.expect_closed();
    harness.finish_with_transcript();
}

/// A stream's failure is passed on whole, with its seal.
#[test]
fn a_response_that_is_no_stream_is_forwarded_whole() {
    let harness = Harness::with_upstreams("a_response_that_is_no_stream_is_forwarded_whole", 1);
    let mut client = harness.client();
    client.post("/letters/a", "r1", "prompt");
    let mut upstream_request = harness.next_upstream_request();
    upstream_request.send("HTTP/1.1 404 Not Found\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nContent-Length: 3\r\n\r\nwhy");
    upstream_request.keep_open();
    let response = client.response();
    assert_eq!(
        (
            response.status(),
            response.text().as_str(),
            response.header("server-seal")
        ),
        (404, "why", Some("s1"))
    );
    harness.finish_with_transcript();
}

/// MIXED: a success without the seal, or of another request, is not begun.
#[test]
fn a_stream_of_another_request_is_not_relayed() {
    let harness = Harness::with_upstreams("a_stream_of_another_request_is_not_relayed", 2);
    for (id, head) in [
        ("r1", "Request-Id: r0\r\nServer-Seal: s0\r\n"),
        ("r2", "Request-Id: r2\r\n"),
        ("r3", "Server-Seal: s3\r\n"),
    ] {
        let mut client = harness.client();
        client.post("/letters/a", id, "prompt");
        let mut upstream_request = harness.next_upstream_request();
        upstream_request.send(&format!(
            "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n"
        ));
        upstream_request.send_event(1, "another's");
        assert_eq!(client.response().status(), 502, "{head}");
    }
    harness.finish();
}
