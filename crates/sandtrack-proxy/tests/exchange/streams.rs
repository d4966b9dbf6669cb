//! ORDER, and what becomes of streams: no event twice, none missing, and none that looks complete and is not.
use crate::harness::{request, Stage};
use sandtrack_protocol::frames::UpstreamEntry;

/// Events are passed on as they come, with the head and the stamp of the upstream.
#[test]
fn events_are_passed_on_as_they_come() {
    let stage = Stage::serving("events_are_passed_on_as_they_come", 1);
    let mut client = stage.client();
    client.post("/letters/a", "r1", "prompt");
    let mut asked = stage.asked();
    asked.begin_stream();
    asked.event(1, "one");
    let head = client.stream();
    assert!(head.starts_with("HTTP/1.1 200 "));
    assert_eq!(
        crate::wire::header(&head, "server-seal"),
        Some("r1.upstream.1")
    );
    assert_eq!(
        crate::wire::header(&head, "content-type"),
        Some("text/event-stream")
    );
    client.gets_event(1, "one");
    asked.event(2, "two");
    client.gets_event(2, "two");
    // Several in one piece, and one that carries more than its id.
    asked.chunk("id: 3\ndata: three\n\nversions: 2\nid: 5\ndata: five\ndata: more\n\n");
    client.gets_event(3, "three");
    assert_eq!(
        client.event().as_deref(),
        Some("versions: 2\nid: 5\ndata: five\ndata: more")
    );
    // One in three pieces is passed on once it is whole.
    for piece in ["id: 6\nda", "ta: six\n", "\n"] {
        asked.chunk(piece);
    }
    client.gets_event(6, "six");
    asked.end_stream();
    client.stream_is_whole();
    // The client's connection goes on.
    client.ended = None;
    client.get("/slips/a", "r2");
    stage.asked().answer("two");
    assert_eq!(client.answer().text(), "two");
    stage.finish();
}

/// A stream that can't be resumed and is cut in its middle: what the client has does not look complete.
#[test]
fn a_cut_stream_does_not_look_complete() {
    let stage = Stage::serving("a_cut_stream_does_not_look_complete", 3);
    for (id, reset) in [("r1", false), ("r2", true)] {
        let mut client = stage.client();
        client.post("/letters/a", id, "prompt");
        let mut asked = stage.begun_stream(&mut client);
        if reset {
            asked.reset();
        } else {
            asked.chunk("id: 2\ndata: half of it");
            asked.close();
        }
        client.stream_is_cut();
    }
    stage.finish_unwritten();
}

/// Cut before its first event: an answer that is no success.
#[test]
fn a_stream_cut_before_its_first_event_is_a_bad_gateway() {
    let stage = Stage::serving("a_stream_cut_before_its_first_event_is_a_bad_gateway", 3);
    let mut client = stage.client();
    client.post("/letters/a", "r1", "prompt");
    let mut asked = stage.asked();
    asked.begin_stream();
    asked.close();
    assert_eq!(client.answer().status(), 502);
    stage.finish();
}

/// A stream whose upstream says that its length is not met.
#[test]
fn a_stream_with_a_length_not_met_does_not_look_complete() {
    let stage = Stage::serving("a_stream_with_a_length_not_met_does_not_look_complete", 2);
    let mut client = stage.client();
    client.post("/letters/a", "r1", "prompt");
    let mut asked = stage.asked();
    asked.say(
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nContent-Type: text/event-stream\r\n\
         Content-Length: 100\r\n\r\nid: 1\ndata: one\n\n",
    );
    client.stream();
    client.gets_event(1, "one");
    asked.close();
    client.stream_is_cut();
    stage.finish();
}

/// One that may be resumed is taken up at another after the last whole event; head and stamp stay the first one's.
#[test]
fn a_cut_stream_is_taken_up_at_another() {
    let stage = Stage::serving("a_cut_stream_is_taken_up_at_another", 2);
    let mut client = stage.client();
    client.post_with("/tags/slow/a", "r1", &[], "prompt");
    let mut first = stage.asked();
    assert_eq!(first.request.header("last-event-id"), None);
    first.begin_stream();
    first.event(1, "one");
    first.event(3, "three");
    first.chunk("id: 4\ndata: half of i");
    let head = client.stream();
    client.gets_event(1, "one");
    client.gets_event(3, "three");
    first.close();
    let mut second = stage.asked();
    assert_eq!(second.request.header("last-event-id"), Some("3"));
    assert_eq!(
        (second.id(), second.request.text().as_str()),
        ("r1", "prompt")
    );
    second.begin_stream();
    second.event(4, "four");
    client.gets_event(4, "four");
    second.event(5, "five");
    second.end_stream();
    client.gets_event(5, "five");
    client.stream_is_whole();
    assert_eq!(
        crate::wire::header(&head, "server-seal"),
        Some("r1.upstream.1")
    );
    stage.finish();
}

/// The client itself takes up a stream: its `Last-Event-Id` reaches the upstream, and another after a cut gets the newer one.
#[test]
fn a_clients_own_last_event_id_is_passed_on() {
    let stage = Stage::serving("a_clients_own_last_event_id_is_passed_on", 2);
    let mut client = stage.client();
    client.post_with("/tags/slow/a", "r1", &["Last-Event-Id: 7"], "prompt");
    let mut first = stage.asked();
    assert_eq!(first.request.header("last-event-id"), Some("7"));
    first.begin_stream();
    first.event(8, "eight");
    client.stream();
    client.gets_event(8, "eight");
    first.close();
    let mut second = stage.asked();
    let all: Vec<&str> = second
        .request
        .head
        .lines()
        .filter(|line| line.to_lowercase().starts_with("last-event-id"))
        .collect();
    assert_eq!(all, ["Last-Event-Id: 8"]);
    second.begin_stream();
    second.event(9, "nine");
    second.end_stream();
    client.gets_event(9, "nine");
    client.stream_is_whole();
    stage.finish();
}

/// Cut before its first event, it is asked from the start elsewhere, with the head of the one that answers.
#[test]
fn a_resumable_stream_cut_before_its_first_event_starts_elsewhere() {
    let stage = Stage::serving(
        "a_resumable_stream_cut_before_its_first_event_starts_elsewhere",
        2,
    );
    let mut client = stage.client();
    client.post_with("/tags/slow/a", "r1", &[], "prompt");
    let mut first = stage.asked();
    first.begin_stream();
    first.chunk("id: 1\ndata: on");
    first.close();
    let mut second = stage.asked();
    assert_eq!(second.request.header("last-event-id"), None);
    second.begin_stream();
    second.event(1, "one");
    second.end_stream();
    let head = client.stream();
    assert_eq!(
        crate::wire::header(&head, "server-seal"),
        Some("r1.upstream.2")
    );
    client.gets_event(1, "one");
    client.stream_is_whole();
    stage.finish();
}

/// The one that takes it up begins anew: none of its events that the client has is passed on.
#[test]
fn one_that_begins_anew_does_not_repeat_events() {
    let stage = Stage::serving("one_that_begins_anew_does_not_repeat_events", 2);
    let mut client = stage.client();
    client.post_with("/tags/slow/a", "r1", &[], "prompt");
    let mut first = stage.asked();
    first.begin_stream();
    first.event(1, "one");
    first.event(2, "two");
    client.stream();
    client.gets_event(1, "one");
    client.gets_event(2, "two");
    first.close();
    let mut second = stage.asked();
    second.begin_stream();
    second.event(1, "uno");
    client.stream_is_cut();
    drop(second);
    stage.finish();
}

/// What it is taken up with is no stream: the client's answer does not look complete.
#[test]
fn a_stream_taken_up_with_a_failure_is_cut() {
    let stage = Stage::serving("a_stream_taken_up_with_a_failure_is_cut", 2);
    let mut client = stage.client();
    client.post_with("/tags/slow/a", "r1", &[], "prompt");
    let first = stage.begun_stream(&mut client);
    first.close();
    let mut second = stage.asked();
    second.say(
        "HTTP/1.1 500 Oops\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nContent-Length: 3\r\n\r\nwhy",
    );
    second.keep();
    client.stream_is_cut();
    stage.finish();
}

/// Pieces of another request's stream are not joined to it.
#[test]
fn a_stream_is_not_taken_up_with_another_requests() {
    let stage = Stage::serving("a_stream_is_not_taken_up_with_another_requests", 2);
    let mut client = stage.client();
    client.post_with("/tags/slow/a", "r1", &[], "prompt");
    let first = stage.begun_stream(&mut client);
    first.close();
    let mut second = stage.asked();
    second.say(
        "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Seal: s0\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
    );
    second.event(2, "another's");
    client.stream_is_cut();
    drop(second);
    stage.finish();
}

/// Silent in its middle: another takes it up, and the silent one is left.
#[test]
fn a_silent_stream_is_taken_up_at_another() {
    let stage = Stage::serving("a_silent_stream_is_taken_up_at_another", 2);
    let mut client = stage.client();
    client.post_with("/tags/a", "r1", &[], "prompt");
    let first = stage.begun_stream(&mut client);
    let mut second = stage.asked();
    assert_eq!(second.request.header("last-event-id"), Some("1"));
    second.begin_stream();
    second.event(2, "two");
    client.gets_event(2, "two");
    first.until_closed();
    second.end_stream();
    client.stream_is_whole();
    stage.finish();
}

/// The silent one speaks first after all: it goes on, and the other one is left. The two attempts are spent: no third send
/// follows when it is silent again.
#[test]
fn a_silent_stream_that_goes_on_keeps_its_client() {
    let stage = Stage::serving("a_silent_stream_that_goes_on_keeps_its_client", 3);
    let mut client = stage.client();
    client.post_with("/tags/a", "r1", &["Deadline-Remaining: 5000"], "prompt");
    let mut first = stage.begun_stream(&mut client);
    let second = stage.asked();
    first.event(2, "two");
    client.gets_event(2, "two");
    second.until_closed();
    // Silent to the end.
    client.stream_is_cut();
    drop(first);
    stage.finish();
}

/// The silent one breaks off while another is asked to take it up: that one goes on with it.
#[test]
fn a_silent_stream_that_breaks_is_taken_up_by_the_one_that_was_asked() {
    let stage = Stage::serving(
        "a_silent_stream_that_breaks_is_taken_up_by_the_one_that_was_asked",
        2,
    );
    let mut client = stage.client();
    client.post_with("/tags/a", "r1", &[], "prompt");
    let first = stage.begun_stream(&mut client);
    let mut second = stage.asked();
    first.reset();
    stage.control_node.heard_up_to_now();
    for _ in 0..2 {
        stage.control_node.until_state("a beat", |_| true);
    }
    second.begin_stream();
    second.event(2, "two");
    client.gets_event(2, "two");
    second.end_stream();
    client.stream_is_whole();
    stage.finish();
}

/// ORDER: a new run would bring events without ids once more. A stream with such an event stays where it is, silent or broken.
#[test]
fn a_stream_with_events_that_have_no_id_is_not_taken_up() {
    let stage = Stage::serving("a_stream_with_events_that_have_no_id_is_not_taken_up", 2);
    let events = [
        ("r1", vec!["data: one\n\n"]),
        ("r2", vec!["id: 1\ndata: one\n\n", "data: two\n\n"]),
    ];
    for (id, events) in events {
        for breaks in [false, true] {
            let mut client = stage.client();
            let id = format!("{id}{breaks}");
            client.post_with("/tags/a", &id, &["Deadline-Remaining: 2500"], "prompt");
            let mut asked = stage.asked();
            asked.begin_stream();
            events.iter().for_each(|event| asked.chunk(event));
            client.stream();
            for event in &events {
                assert_eq!(client.event().as_deref(), Some(event.trim_end()));
            }
            if breaks {
                asked.reset();
                client.stream_is_cut();
            } else {
                client.stream_is_cut();
                asked.until_closed();
            }
        }
    }
    // Which of the two it goes to is drawn.
    stage.finish_unwritten();
}

/// Silent before its first event, with its head or without: another is asked as well, and the first event counts.
#[test]
fn a_stream_silent_before_its_first_event_is_raced() {
    for (name, with_head) in [
        ("a_stream_silent_before_its_head_is_raced", false),
        ("a_stream_silent_before_its_first_event_is_raced", true),
    ] {
        let stage = Stage::serving(name, 2);
        let mut client = stage.client();
        client.post("/quick/tags/a", "r1", "prompt");
        let mut first = stage.asked();
        if with_head {
            first.begin_stream();
        }
        let mut second = stage.asked();
        assert_eq!(second.request.header("last-event-id"), None);
        second.begin_stream();
        second.event(1, "one");
        let head = client.stream();
        assert_eq!(
            crate::wire::header(&head, "server-seal"),
            Some("r1.upstream.2")
        );
        client.gets_event(1, "one");
        first.until_closed();
        second.end_stream();
        client.stream_is_whole();
        stage.finish();
    }
}

/// TWICE: a silent stream that can't be resumed stays where it is.
#[test]
fn a_silent_stream_that_may_run_once_stays_where_it_is() {
    let stage = Stage::serving("a_silent_stream_that_may_run_once_stays_where_it_is", 3);
    let mut client = stage.client();
    client.send(&request(
        "POST",
        "/letters/a",
        "r1",
        &["Deadline-Remaining: 3000"],
        "prompt",
    ));
    let asked = stage.begun_stream(&mut client);
    client.stream_is_cut();
    asked.until_closed();
    stage.finish();
}

/// A client that leaves: its upstream is left as well, before the first event and after it, and by a request of any kind.
#[test]
fn a_client_that_leaves_frees_its_upstream() {
    let stage = Stage::serving("a_client_that_leaves_frees_its_upstream", 1);
    let mut client = stage.client();
    client.post("/letters/a", "r1", "prompt");
    let asked = stage.begun_stream(&mut client);
    client.leave();
    asked.until_closed();
    for (id, target) in [
        ("r2", "/letters/a"),
        ("r3", "/tags/slow/a"),
        ("r4", "/pay/a"),
        ("r5", "/slips/a"),
    ] {
        let mut client = stage.client();
        client.post_with(target, id, &[], "prompt");
        let asked = stage.asked();
        client.leave();
        asked.until_closed();
    }
    stage.finish();
}

/// GONE: a request whose client leaves while no upstream has room is sent to none later.
#[test]
fn a_client_that_leaves_while_its_request_waits_for_room_costs_no_upstream_anything() {
    let stage = Stage::empty("a_client_that_leaves_while_its_request_waits");
    stage.tell_alone();
    // It has room for one request, and queues none beyond that.
    stage.list(vec![UpstreamEntry {
        slots: 1,
        ..stage.upstream("printer", "a")
    }]);
    stage.settle();
    let mut first = stage.client();
    first.get("/slips/a", "first");
    let in_hand = stage.asked();
    let mut waiting = stage.client();
    waiting.get("/slips/a", "waiting");
    stage.until_figure("sandtrack_proxy_requests_open", 2);
    waiting.leave();
    stage
        .proxy
        .until_logged_times("request waiting on slips: its client left", 1);
    in_hand.answer("whole");
    assert_eq!(first.answer().text(), "whole");
    let mut next = stage.client();
    next.get("/slips/b", "next");
    let asked = stage.asked();
    assert_eq!(asked.id(), "next", "nobody is asked for the one that left");
    asked.answer("whole");
    assert_eq!(next.answer().text(), "whole");
    stage.finish_unwritten();
}

/// GONE: both sends of a race end with their client.
#[test]
fn a_client_that_leaves_within_a_race_frees_both_upstreams() {
    let stage = Stage::serving("a_client_that_leaves_within_a_race", 2);
    let mut client = stage.client();
    client.get("/quick/a", "r1");
    let (first, second) = (stage.asked(), stage.asked());
    assert_eq!((first.id(), second.id()), ("r1", "r1"));
    client.leave();
    first.until_closed();
    second.until_closed();
    stage.finish_unwritten();
}

/// The deadline comes in the middle of a stream: it ends there, and does not look complete.
#[test]
fn a_stream_past_its_deadline_does_not_look_complete() {
    let stage = Stage::serving("a_stream_past_its_deadline_does_not_look_complete", 1);
    let mut client = stage.client();
    client.post_with(
        "/tags/slow/a",
        "r1",
        &["Deadline-Remaining: 1500"],
        "prompt",
    );
    let asked = stage.begun_stream(&mut client);
    client.stream_is_cut();
    asked.until_closed();
    stage.finish();
}

/// A stream's failure is passed on whole, with its seal.
#[test]
fn an_answer_that_is_no_stream_is_passed_on_whole() {
    let stage = Stage::serving("an_answer_that_is_no_stream_is_passed_on_whole", 1);
    let mut client = stage.client();
    client.post("/letters/a", "r1", "prompt");
    let mut asked = stage.asked();
    asked.say("HTTP/1.1 404 Not Found\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nContent-Length: 3\r\n\r\nwhy");
    asked.keep();
    let answer = client.answer();
    assert_eq!(
        (
            answer.status(),
            answer.text().as_str(),
            answer.header("server-seal")
        ),
        (404, "why", Some("s1"))
    );
    stage.finish();
}

/// MIXED: a success without the seal, or of another request, is not begun.
#[test]
fn a_stream_of_another_request_is_not_begun() {
    let stage = Stage::serving("a_stream_of_another_request_is_not_begun", 2);
    for (id, head) in [
        ("r1", "Request-Id: r0\r\nServer-Seal: s0\r\n"),
        ("r2", "Request-Id: r2\r\n"),
        ("r3", "Server-Seal: s3\r\n"),
    ] {
        let mut client = stage.client();
        client.post("/letters/a", id, "prompt");
        let mut asked = stage.asked();
        asked.say(&format!(
            "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n"
        ));
        asked.event(1, "another's");
        assert_eq!(client.answer().status(), 502, "{head}");
    }
    stage.finish_unwritten();
}
