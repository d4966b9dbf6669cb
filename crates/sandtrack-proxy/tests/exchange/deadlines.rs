//! Nothing is held a quarter of a second past its route's `timeout_ms`, whoever is silent; what has not run by then is told
//! when to come back.
use crate::harness::{printer, request, Stage};
use crate::upstream::Asked;
use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

/// The time of all routes here, and what may be held beyond it, in ms.
const TIMEOUT: u128 = 1500;
const HELD_BEYOND: u128 = 250;

/// A proxy whose routes hold a request for [`TIMEOUT`] at most; each client would wait for 20 s.
fn short_routes(name: &str, upstreams: usize) -> Stage {
    let stage = Stage::empty(name);
    stage.tell_alone();
    let entries = (0..upstreams)
        .map(|_| stage.upstream("printer", "a"))
        .collect();
    stage.list(entries);
    stage.configure(&routes());
    stage
}

fn routes() -> String {
    let route = |name: &str, kind: &str, more: &str| {
        format!(
            r#"{{"name":"{name}","host":"post.example","path_prefix":"/{name}/","kind":"{kind}","timeout_ms":{TIMEOUT},
"target_latency_ms":60000,"priority":1,"service":"printer","attempts":2{more}}}"#
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

fn assert_held(began: Instant, what: &str) {
    let held = began.elapsed().as_millis();
    assert!(
        held <= TIMEOUT + HELD_BEYOND,
        "{what} was held for {held} ms"
    );
}

fn assert_let_go(began: Instant, over: Instant) {
    let held = (over - began).as_millis();
    assert!(
        held <= TIMEOUT + HELD_BEYOND,
        "its upstream was held for {held} ms"
    );
}

/// A client that keeps its body back: what has not run is told to come back, and nothing was passed on.
#[test]
fn a_body_that_does_not_come_is_not_waited_for() {
    let stage = short_routes("a_body_that_does_not_come_is_not_waited_for", 1);
    for (id, target) in [("r1", "/pay/a"), ("r2", "/read/a"), ("r3", "/tags/a")] {
        let mut client = stage.client();
        let began = Instant::now();
        client.send(&request("POST", target, id, &[], "").replace(": 0\r\n", ": 10\r\n"));
        let answer = client.answer();
        assert_held(began, target);
        assert_eq!(
            (answer.status(), answer.header("request-id")),
            (408, Some(id))
        );
        assert!(answer.header("retry-after").is_some(), "when to come back");
        client.until_closed();
    }
    stage.finish();
}

/// A silent upstream, before its head and behind it, for each kind of request.
#[test]
fn a_silent_upstream_is_not_waited_for_beyond_the_time() {
    let stage = short_routes("a_silent_upstream_is_not_waited_for_beyond_the_time", 1);
    for target in ["/pay/a", "/read/a", "/letters/a", "/tags/a"] {
        for with_head in [false, true] {
            let mut client = stage.client();
            let began = Instant::now();
            let id = format!("{}{with_head}", &target[1..4]);
            client.post(target, &id, "body");
            let mut asked = stage.asked();
            if with_head {
                asked.say(&format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\n"
                ));
            }
            let answer = client.answer();
            assert_held(began, target);
            assert_eq!(answer.status(), 504, "{target}");
            asked.until_closed();
        }
    }
    stage.finish_unwritten();
}

/// A stream that began is cut at its time.
#[test]
fn a_stream_is_not_held_beyond_the_time() {
    let stage = short_routes("a_stream_is_not_held_beyond_the_time", 1);
    for target in ["/letters/a", "/tags/a"] {
        let mut client = stage.client();
        let began = Instant::now();
        client.post(target, &format!("r{}", &target[1..4]), "prompt");
        let asked = stage.begun_stream(&mut client);
        client.stream_is_cut();
        assert_held(began, target);
        asked.until_closed();
    }
    stage.finish();
}

/// Writes events until the connection is closed.
fn flood(asked: Asked) -> std::thread::JoinHandle<Instant> {
    let mut stream: TcpStream = asked.into_stream();
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
fn a_stream_that_never_stops_is_cut_at_its_time() {
    let stage = short_routes("a_stream_that_never_stops_is_cut_at_its_time", 1);
    let mut client = stage.client();
    let began = Instant::now();
    client.post("/letters/a", "r1", "prompt");
    let mut asked = stage.asked();
    asked.begin_stream();
    let flood = flood(asked);
    client.stream();
    client.drain_until_cut();
    // What is left in the client's own buffers by then is not held by the proxy.
    assert_let_go(began, flood.join().unwrap());
    stage.finish_unwritten();
}

/// A client that takes nothing: its upstream is let go at the time, and not seconds later.
#[test]
fn a_client_that_takes_nothing_is_not_waited_for_beyond_the_time() {
    let stage = short_routes(
        "a_client_that_takes_nothing_is_not_waited_for_beyond_the_time",
        1,
    );
    let mut client = stage.client();
    let began = Instant::now();
    client.post("/letters/a", "r1", "prompt");
    let mut asked = stage.asked();
    asked.begin_stream();
    assert_let_go(began, flood(asked).join().unwrap());
    client.leave();
    stage.finish_unwritten();
}

/// A request that came while the one before it on its connection was carried: its time counts from then.
#[test]
fn a_request_behind_another_is_not_held_beyond_the_time() {
    let stage = short_routes("a_request_behind_another_is_not_held_beyond_the_time", 1);
    let mut client = stage.client();
    let began = Instant::now();
    client.send(
        &[
            request("POST", "/pay/a", "r1", &[], "one"),
            request("POST", "/pay/a", "r2", &[], "two"),
        ]
        .concat(),
    );
    let asked = stage.asked();
    assert_eq!(client.answer().status(), 504);
    let answer = client.answer();
    assert_held(began, "the second request");
    assert_eq!(
        (answer.status(), answer.header("request-id")),
        (503, Some("r2"))
    );
    assert!(answer.header("retry-after").is_some(), "it has not run");
    asked.until_closed();
    stage.finish_unwritten();
}

/// An upstream that does not take the request: it may run what it has of it, so there is no promise.
#[test]
fn an_upstream_that_takes_nothing_is_not_waited_for_beyond_the_time() {
    let stage = Stage::empty("an_upstream_that_takes_nothing_is_not_waited_for_beyond_the_time");
    stage.tell_alone();
    // Connections come up, and nothing is read from them.
    let listener = std::net::TcpListener::bind((stage.ip.as_str(), 0)).unwrap();
    stage.list(vec![printer(
        "i-deaf",
        listener.local_addr().unwrap().to_string(),
    )]);
    stage.configure(&routes());
    // More than the buffers of a connection take.
    let body = "x".repeat(1_900_000);
    for (id, target) in [("r1", "/pay/a"), ("r2", "/letters/a")] {
        let mut client = stage.client();
        let began = Instant::now();
        client.send_bytes(id, request("POST", target, id, &[], &body).as_bytes());
        let answer = client.answer();
        assert_held(began, target);
        assert_eq!(answer.status(), 504, "{target}");
    }
    drop(listener);
    stage.finish_unwritten();
}

/// No upstream at all: refused long before the time, with when to come back.
#[test]
fn without_an_upstream_it_is_given_up_within_the_time() {
    let stage = short_routes("without_an_upstream_it_is_given_up_within_the_time", 0);
    for target in ["/pay/a", "/read/a", "/letters/a", "/tags/a"] {
        let mut client = stage.client();
        let began = Instant::now();
        client.post(target, "r1", "body");
        let answer = client.answer();
        assert_held(began, target);
        assert_eq!(answer.status(), 503, "{target}");
        assert!(answer.header("retry-after").is_some(), "{target}");
    }
    stage.finish_unwritten();
}
