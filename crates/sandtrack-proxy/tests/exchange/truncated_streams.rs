//! ORDER where HTTP does not tell the end of a body: a response without a length or chunks ends with its connection, and so does
//! one whose upstream crashed. What ends within an event is truncated; all else is passed on as before.
use crate::harness::Harness;
use crate::upstream::UpstreamRequest;

const EVENT_STREAM: &str = "Content-Type: text/event-stream\r\n";

/// Sends the head of a response that ends with its connection.
fn start_close_delimited(upstream_request: &mut UpstreamRequest, headers: &str) {
    let id = upstream_request.id().to_owned();
    upstream_request.send(&format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.{id}\r\nConnection: close\r\n{headers}\r\n"
    ));
}

/// Guards against a stream that was broken off within an event and ended as complete; the cut is at each byte of the event.
#[test]
fn a_close_delimited_stream_that_ends_within_an_event_does_not_look_complete() {
    let harness = Harness::with_upstreams(
        "a_close_delimited_stream_that_ends_within_an_event_does_not_look_complete",
        3,
    );
    for event in ["id: 2\ndata: two\n\n", "id: 2\r\ndata: two\r\n\r\n"] {
        for cut in 1..event.len() {
            let mut client = harness.client();
            client.post("/letters/a", &format!("{}-{cut}", event.len()), "prompt");
            let mut upstream_request = harness.next_upstream_request();
            start_close_delimited(&mut upstream_request, EVENT_STREAM);
            upstream_request.send(&format!("id: 1\ndata: one\n\n{}", &event[..cut]));
            upstream_request.close();
            client.stream_head();
            client.expect_event(1, "one");
            client.expect_stream_aborted();
        }
    }
    harness.finish();
}

/// Guards against an upstream that crashed before its first event, whose stream reached the client as an empty, complete one.
#[test]
fn a_close_delimited_stream_that_ends_before_its_first_event_does_not_look_complete() {
    let harness = Harness::with_upstreams(
        "a_close_delimited_stream_that_ends_before_its_first_event_does_not_look_complete",
        3,
    );
    for (id, headers, sent) in [
        ("r1", EVENT_STREAM, ""),
        ("r2", EVENT_STREAM, ": working\n\n"),
        ("r3", EVENT_STREAM, "id: 1\ndata: on"),
        ("r4", "", "id: 1\ndata: one\n"),
    ] {
        let mut client = harness.client();
        client.post("/letters/a", id, "prompt");
        let mut upstream_request = harness.next_upstream_request();
        start_close_delimited(&mut upstream_request, headers);
        upstream_request.send(sent);
        upstream_request.close();
        if sent.ends_with("\n\n") {
            client.stream_head();
            client.drain_until_truncated();
        } else {
            assert_eq!(client.response().status(), 502, "{id}");
        }
    }
    harness.finish();
}

/// Guards against a resumable stream that is not resumed, as its truncated end was taken for its end.
#[test]
fn a_close_delimited_stream_that_ends_within_an_event_is_resumed() {
    let harness = Harness::with_upstreams(
        "a_close_delimited_stream_that_ends_within_an_event_is_resumed",
        2,
    );
    let mut client = harness.client();
    client.post_with("/tags/slow/a", "r1", &[], "prompt");
    let mut first = harness.next_upstream_request();
    start_close_delimited(&mut first, EVENT_STREAM);
    first.send("id: 1\ndata: one\n\nid: 2\ndata: t");
    client.stream_head();
    client.expect_event(1, "one");
    first.close();
    let mut second = harness.next_upstream_request();
    assert_eq!(second.message.header("last-event-id"), Some("1"));
    start_close_delimited(&mut second, EVENT_STREAM);
    second.send("id: 2\ndata: two\n\n");
    second.close();
    client.expect_event(2, "two");
    client.expect_stream_complete();
    harness.finish();
}

/// Guards against a resumed stream that ends as complete without the event that the first upstream had begun.
#[test]
fn a_resumption_that_ends_before_the_event_that_was_begun_does_not_look_complete() {
    let harness = Harness::with_upstreams(
        "a_resumption_that_ends_before_the_event_that_was_begun_does_not_look_complete",
        2,
    );
    let mut client = harness.client();
    client.post_with("/tags/slow/a", "r1", &[], "prompt");
    let mut first = harness.next_upstream_request();
    first.start_stream();
    first.send_chunk("id: 1\ndata: one\n\nid: 2\ndata: t");
    client.stream_head();
    client.expect_event(1, "one");
    first.close();
    let mut second = harness.next_upstream_request();
    start_close_delimited(&mut second, EVENT_STREAM);
    second.close();
    client.expect_stream_aborted();
    harness.finish();
}

/// Guards against a hedge that is given up for a stream that was broken off.
#[test]
fn a_close_delimited_stream_that_ends_within_an_event_leaves_its_hedge_in_flight() {
    let harness = Harness::with_upstreams(
        "a_close_delimited_stream_that_ends_within_an_event_leaves_its_hedge_in_flight",
        2,
    );
    let mut client = harness.client();
    client.post_with("/tags/a", "r1", &[], "prompt");
    let mut first = harness.next_upstream_request();
    start_close_delimited(&mut first, EVENT_STREAM);
    first.send("id: 1\ndata: one\n\nid: 2\ndata: t");
    client.stream_head();
    client.expect_event(1, "one");
    let mut second = harness.next_upstream_request();
    first.close();
    second.start_stream();
    second.send_event(2, "two");
    client.expect_event(2, "two");
    second.end_stream();
    client.expect_stream_complete();
    harness.finish();
}

/// Guards against a hedge that ends without the event that the silent stream has begun, and ends the client's stream with it.
#[test]
fn a_hedge_that_ends_before_the_event_that_was_begun_leaves_the_stream_in_flight() {
    let harness = Harness::with_upstreams(
        "a_hedge_that_ends_before_the_event_that_was_begun_leaves_the_stream_in_flight",
        2,
    );
    let mut client = harness.client();
    client.post_with("/tags/a", "r1", &[], "prompt");
    let mut first = harness.next_upstream_request();
    first.start_stream();
    first.send_chunk("id: 1\ndata: one\n\nid: 2\ndata: t");
    client.stream_head();
    client.expect_event(1, "one");
    let mut second = harness.next_upstream_request();
    start_close_delimited(&mut second, EVENT_STREAM);
    second.close();
    first.send_chunk("wo\n\n");
    client.expect_event(2, "two");
    first.end_stream();
    client.expect_stream_complete();
    harness.finish();
}

/// Guards against a collected event stream that was broken off within an event and is passed on as complete.
#[test]
fn a_collected_event_stream_that_ends_within_an_event_is_not_passed_on() {
    let harness = Harness::with_upstreams(
        "a_collected_event_stream_that_ends_within_an_event_is_not_passed_on",
        2,
    );
    let truncated = "id: 1\ndata: one\n\nid: 2\ndata: t";
    let mut client = harness.client();
    client.get("/slips/a", "r1");
    let mut first = harness.next_upstream_request();
    start_close_delimited(&mut first, EVENT_STREAM);
    first.send(truncated);
    first.close();
    let mut second = harness.next_upstream_request();
    start_close_delimited(&mut second, EVENT_STREAM);
    second.send("id: 1\ndata: one\n\n");
    second.close();
    assert_eq!(client.response().text(), "id: 1\ndata: one\n\n");
    client.post("/pay/a", "r2", "body");
    let mut upstream_request = harness.next_upstream_request();
    start_close_delimited(&mut upstream_request, EVENT_STREAM);
    upstream_request.send(truncated);
    upstream_request.close();
    assert_eq!(client.response().status(), 502);
    harness.finish();
}

/// Guards against a fix that takes complete responses away: nothing here shows that a part is missing.
#[test]
fn a_close_delimited_response_without_a_truncated_event_is_complete() {
    let harness = Harness::with_upstreams(
        "a_close_delimited_response_without_a_truncated_event_is_complete",
        1,
    );
    let event = "id: 8\ndata: eight\n\n";
    let resumed: &[&str] = &["Last-Event-Id: 7"];
    for (at, (headers, request_headers, body)) in [
        (EVENT_STREAM, &[][..], event.to_owned()),
        (EVENT_STREAM, &[][..], event.replace('\n', "\r\n")),
        (EVENT_STREAM, &[][..], event.replace('\n', "\r")),
        (EVENT_STREAM, &[][..], format!("{event}\n: done\n")),
        ("", &[][..], event.to_owned()),
        (
            "Content-Type: application/json\r\n",
            &[][..],
            "{}".to_owned(),
        ),
        // The client had the last event already.
        (EVENT_STREAM, resumed, String::new()),
    ]
    .into_iter()
    .enumerate()
    {
        let mut client = harness.client();
        client.post_with("/letters/a", &format!("r{at}"), request_headers, "prompt");
        let mut upstream_request = harness.next_upstream_request();
        start_close_delimited(&mut upstream_request, headers);
        upstream_request.send(&body);
        upstream_request.close();
        assert_eq!(client.response().text(), body);
    }
    harness.finish();
}

/// Guards against a fix that takes away bodies whose end HTTP tells: they are complete whatever they end with.
#[test]
fn a_framed_body_on_a_streaming_route_is_complete_whatever_it_ends_with() {
    let harness = Harness::with_upstreams(
        "a_framed_body_on_a_streaming_route_is_complete_whatever_it_ends_with",
        1,
    );
    for (at, body) in ["", "id: 1\ndata: one", "id: 1\ndata: one\n\nid: 2\nda"]
        .iter()
        .enumerate()
    {
        let mut client = harness.client();
        client.post("/letters/a", &format!("length{at}"), "prompt");
        let mut upstream_request = harness.next_upstream_request();
        let id = upstream_request.id().to_owned();
        upstream_request.send(&format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n{EVENT_STREAM}Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
        upstream_request.close();
        assert_eq!(client.response().text(), *body);
        client.post("/letters/a", &format!("chunks{at}"), "prompt");
        let mut upstream_request = harness.next_upstream_request();
        upstream_request.start_stream();
        if !body.is_empty() {
            upstream_request.send_chunk(body);
        }
        upstream_request.end_stream();
        assert_eq!(client.response().text(), *body);
    }
    harness.finish();
}
