//! The memory that a process may have bounds the bodies that it holds in sum, not only each: one that passes it is killed, with
//! all requests in hand.
use crate::harness::{request, Stage, ROUTES};
use crate::upstream::{seal, Asked};

const MEMORY_MB: u32 = 64;
const LIMITS: &str = r#"{"header_size_bytes":2048,"body_size_bytes":4194304,"header_timeout_ms":30000,"idle_timeout_ms":60000}"#;
const LONG: usize = 4 << 20;
const LONGEST_ANSWER: usize = 8 << 20;

fn serving(name: &str, upstreams: usize) -> Stage {
    let stage = Stage::with_memory(name, MEMORY_MB);
    stage.tell_alone();
    stage.list(
        (0..upstreams)
            .map(|_| stage.upstream("printer", "a"))
            .collect(),
    );
    stage.configure_limits(ROUTES, LIMITS);
    stage
}

fn assert_memory(stage: &Stage) {
    let peak = stage.proxy.peak_memory_mb();
    assert!(peak < f64::from(MEMORY_MB), "{peak:.0} MB of {MEMORY_MB}");
}

/// What is short is served while long bodies are in hand, some of which are carried; these.
fn carried_while_short_is_served(stage: &Stage) -> Vec<Asked> {
    let mut short = stage.client();
    short.post("/pay/b", "short", "one");
    let mut carried = Vec::new();
    loop {
        let asked = stage.asked();
        if asked.id() == "short" {
            asked.answer("served");
            break;
        }
        carried.push(asked);
    }
    assert_eq!(short.answer().text(), "served");
    assert_memory(stage);
    assert!(!carried.is_empty(), "some long bodies are carried");
    carried
}

/// Each body is within the operator's limit, and so is each client; together they are twice the memory of the process.
#[test]
fn long_bodies_at_once_stay_within_the_memory_and_the_rest_is_sent_away_unrun() {
    const CLIENTS: usize = 32;
    let stage = serving("long_bodies_at_once", 10);
    let body = "x".repeat(LONG);
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| stage.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let bytes = request("POST", "/pay/a", &format!("r{number}"), &[], &body);
        client.send_bytes("a long body", bytes.as_bytes());
    }
    let carried = carried_while_short_is_served(&stage);
    let carried: Vec<String> = carried
        .into_iter()
        .map(|asked| {
            let id = asked.id().to_owned();
            asked.answer("done");
            id
        })
        .collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let answer = client.answer();
        if carried.contains(&format!("r{number}")) {
            assert_eq!((answer.status(), answer.text().as_str()), (200, "done"));
        } else {
            assert_eq!(answer.status(), 503, "it is not carried");
            assert!(
                answer.header("retry-after").is_some(),
                "it is told when to come back"
            );
        }
    }
    // Its room is given back: one more is carried.
    let mut next = stage.client();
    next.send_bytes(
        "a long body",
        request("POST", "/pay/a", "next", &[], &body).as_bytes(),
    );
    stage.asked().answer("done");
    assert_eq!(next.answer().status(), 200);
    assert_memory(&stage);
    stage.finish_unwritten();
}

/// The same of bodies whose length is not told beforehand.
#[test]
fn long_bodies_in_chunks_stay_within_the_memory() {
    const CLIENTS: usize = 32;
    let stage = serving("long_bodies_in_chunks", 10);
    let body = format!("{LONG:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(LONG));
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| stage.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("r{number}");
        let head = request("POST", "/pay/a", &id, &["Transfer-Encoding: chunked"], "");
        client.send_bytes("a long body in chunks", format!("{head}{body}").as_bytes());
    }
    let carried = carried_while_short_is_served(&stage);
    carried.into_iter().for_each(|asked| asked.answer("done"));
    let statuses: Vec<u16> = clients
        .iter_mut()
        .map(|client| client.answer().status())
        .collect();
    assert!(
        statuses.iter().all(|status| matches!(status, 200 | 503)),
        "{statuses:?}"
    );
    stage.finish_unwritten();
}

/// Answers are collected whole before they are passed on, and clients may be slow to take them.
#[test]
fn long_answers_at_once_stay_within_the_memory() {
    const CLIENTS: usize = 20;
    let stage = serving("long_answers_at_once", 10);
    let body = vec![b'y'; LONGEST_ANSWER];
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| stage.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.post("/pay/once/a", &format!("r{number}"), "");
    }
    // None takes its answer before all are there.
    let asked: Vec<_> = (0..CLIENTS).map(|_| stage.asked()).collect();
    for mut asked in asked {
        let id = asked.id().to_owned();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {}\r\nContent-Length: {LONGEST_ANSWER}\r\n\r\n",
            seal(&id, "long")
        );
        asked.say_bytes("a long answer", &[head.as_bytes(), &body].concat());
        asked.close();
    }
    let statuses: Vec<u16> = clients
        .iter_mut()
        .map(|client| {
            let answer = client.answer();
            assert!(answer.status() != 200 || answer.body == body, "it is whole");
            answer.status()
        })
        .collect();
    assert_memory(&stage);
    assert!(statuses.contains(&200), "{statuses:?}");
    assert!(
        statuses.iter().all(|status| matches!(status, 200 | 502)),
        "{statuses:?}"
    );
    // One alone has room.
    let mut last = stage.client();
    last.post("/pay/once/a", "last", "");
    stage.asked().answer("short");
    assert_eq!(last.answer().text(), "short");
    stage.finish_unwritten();
}
