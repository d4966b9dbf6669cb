//! TWICE: what may run once is sent again only where it has not run for certain. REFUSED: no promise where it may have run.
use crate::harness::{printer, request, Stage};
use crate::upstream::seal;

/// Routes whose requests may run once, with two upstreams a try.
const TWO_TRIES: [&str; 2] = ["/pay/a", "/letters/a"];

fn refusal(id: &str, status: &str, more: &str) -> String {
    format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{more}Content-Length: 4\r\n\r\nbusy")
}

/// After a reset, a close or silence a request that was sent may have run.
#[test]
fn a_reset_after_reading_is_a_bad_gateway() {
    let stage = Stage::serving("a_reset_after_reading_is_a_bad_gateway", 3);
    let mut client = stage.client();
    for (at, target) in TWO_TRIES.iter().enumerate() {
        client.post(target, &format!("a{at}"), "body");
        stage.asked().reset();
        let answer = client.answer();
        assert_eq!((answer.status(), answer.header("retry-after")), (502, None));
        client.post(target, &format!("b{at}"), "body");
        stage.asked().close();
        assert_eq!(client.answer().status(), 502);
    }
    stage.finish_unwritten();
}

/// A reset that comes before the request was read: it was written, and may have run.
#[test]
fn an_upstream_that_resets_at_once_is_asked_once() {
    let stage = Stage::empty("an_upstream_that_resets_at_once_is_asked_once");
    stage.tell_alone();
    let listener = std::net::TcpListener::bind((stage.ip.as_str(), 0)).unwrap();
    stage.list(vec![printer(
        "i-resets",
        listener.local_addr().unwrap().to_string(),
    )]);
    stage.settle();
    let mut client = stage.client();
    client.post("/pay/a", "r1", "body");
    // Connections to it come up, and are reset as soon as something was written: probes, and one request.
    let (done, over) = std::sync::mpsc::channel::<()>();
    let address = listener.local_addr().unwrap();
    let resetting = std::thread::spawn(move || {
        let mut requests = 0;
        for stream in listener.incoming().flatten() {
            if over.try_recv().is_ok() {
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
    assert_eq!(client.answer().status(), 502);
    done.send(()).unwrap();
    let _ = std::net::TcpStream::connect(address);
    assert_eq!(resetting.join().unwrap(), 1, "it was written once");
    stage.finish_unwritten();
}

/// Only an answer with `Not-Executed`, and 421, say that it did not run: then it goes elsewhere.
#[test]
fn what_has_not_run_goes_elsewhere() {
    let stage = Stage::serving("what_has_not_run_goes_elsewhere", 6);
    let mut client = stage.client();
    let refusals = [
        ("503 Full", "Not-Executed: 1\r\n"),
        ("429 Slow", "Not-Executed: 1\r\nRetry-After: 1\r\n"),
        ("408 Late", "Not-Executed: 1\r\n"),
        ("421 Another", ""),
    ];
    for (at, (status, more)) in refusals.iter().enumerate() {
        let id = format!("r{at}");
        client.post("/pay/a", &id, "body");
        let mut first = stage.asked();
        let turned_away = first.identifier.clone();
        first.say(&refusal(&id, status, more));
        first.keep();
        let second = stage.asked();
        assert_ne!(second.identifier, turned_away, "it goes to another");
        assert_eq!(
            (second.id(), second.request.text().as_str()),
            (id.as_str(), "body")
        );
        second.answer("paid");
        let answer = client.answer();
        assert_eq!((answer.status(), answer.text().as_str()), (200, "paid"));
    }
    stage.finish_unwritten();
}

/// The same of a stream that can't be resumed.
#[test]
fn a_stream_that_was_turned_away_goes_elsewhere() {
    let stage = Stage::serving("a_stream_that_was_turned_away_goes_elsewhere", 2);
    let mut client = stage.client();
    client.post("/letters/a", "r1", "body");
    let mut first = stage.asked();
    first.say(&refusal("r1", "503 Full", "Not-Executed: 1\r\n"));
    first.keep();
    let second = stage.begun_stream(&mut client);
    second.end_stream();
    client.stream_is_whole();
    stage.finish();
}

/// With one upstream a try, and with two that both turn it away: a promise, and when to come back.
#[test]
fn what_was_turned_away_to_the_end_is_promised() {
    let stage = Stage::serving("what_was_turned_away_to_the_end_is_promised", 3);
    let mut client = stage.client();
    for (id, target, tries) in [
        ("r1", "/pay/once/a", 1),
        ("r2", "/pay/a", 2),
        ("r3", "/letters/a", 2),
    ] {
        client.post(target, id, "body");
        for _ in 0..tries {
            let mut asked = stage.asked();
            asked.say(&refusal(id, "503 Full", "Not-Executed: 1\r\n"));
            asked.keep();
        }
        let answer = client.answer();
        assert_eq!(answer.status(), 503);
        let again: f64 = answer
            .header("retry-after")
            .expect("when to come back")
            .parse()
            .unwrap();
        assert!(again > 0.0 && again < 5.0);
    }
    stage.finish_unwritten();
}

/// One turned it away, the next may have run it: no promise any more.
#[test]
fn turned_away_and_then_reset_is_no_promise() {
    let stage = Stage::serving("turned_away_and_then_reset_is_no_promise", 3);
    let mut client = stage.client();
    client.post("/pay/a", "r1", "body");
    let mut first = stage.asked();
    first.say(&refusal("r1", "421 Another", ""));
    first.keep();
    stage.asked().reset();
    assert_eq!(client.answer().status(), 502);
    stage.finish();
}

/// A connection that never came up: nothing was sent, and another is asked.
#[test]
fn a_refused_connection_goes_elsewhere() {
    let stage = Stage::empty("a_refused_connection_goes_elsewhere");
    stage.tell_alone();
    // Nothing listens there.
    let address = format!("{}:9", crate::harness::fresh_ip());
    stage.list(vec![printer("i-dead", address)]);
    stage.settle();
    let mut client = stage.client();
    client.post("/pay/once/a", "r1", "body");
    // It is in hand, and was at the only upstream there is.
    stage
        .control_node
        .until_state("the request", |state| state.open == 1);
    let live = stage.upstream("printer", "a");
    stage.relist(vec![live], &[]);
    stage.asked().answer("paid");
    assert_eq!(client.answer().text(), "paid");
    stage.finish();
}

/// Nowhere to go: a promise, early enough to come back.
#[test]
fn without_any_upstream_it_is_promised() {
    let stage = Stage::serving("without_any_upstream_it_is_promised", 0);
    let mut client = stage.client();
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
        let answer = client.answer();
        assert_eq!(answer.status(), 503);
        assert!(answer.header("retry-after").is_some());
    }
    stage.finish();
}

/// What may run once goes on a kept connection only while its upstream is proven alive: it was heard lately, and no kept
/// connection of its service broke without a word of late.
#[test]
fn what_may_run_once_goes_on_a_kept_connection_only_while_its_upstream_is_proven_alive() {
    let stage = Stage::serving("what_may_run_once_goes_on_a_kept_connection", 1);
    let mut client = stage.client();
    client.get("/slips/a", "r1");
    stage.asked().answer("one");
    client.answer();
    for (id, target) in [("r2", "/slips/b"), ("r3", "/pay/a")] {
        client.post(target, id, "body");
        let asked = stage.asked();
        assert!(
            asked.earlier > 0,
            "{target}: its upstream was heard just now"
        );
        asked.answer("done");
        assert_eq!(client.answer().status(), 200);
    }
    // A kept connection breaks without a word; its request may run twice, and does.
    client.get("/slips/c", "r4");
    let asked = stage.asked();
    assert!(asked.earlier > 0);
    asked.close();
    stage.asked().answer("again");
    assert_eq!(client.answer().status(), 200);
    for (id, target) in [("r5", "/pay/b"), ("r6", "/pay/c"), ("r7", "/letters/a")] {
        client.post(target, id, "body");
        let asked = stage.asked();
        assert_eq!(asked.earlier, 0, "{target}");
        asked.answer("paid");
        assert_eq!(client.answer().status(), 200);
    }
    stage.finish_unwritten();
}

/// Silence is no reason to end an answer sooner, nor to send it again.
#[test]
fn a_silent_upstream_is_waited_for_to_the_deadline() {
    let stage = Stage::serving("a_silent_upstream_is_waited_for_to_the_deadline", 3);
    let began = std::time::Instant::now();
    let mut clients = Vec::new();
    for (id, target) in [("r1", "/quick/pay/a"), ("r2", "/quick/letters/a")] {
        let mut client = stage.client();
        client.send(&request(
            "POST",
            target,
            id,
            &["Deadline-Remaining: 2500"],
            "body",
        ));
        clients.push((client, stage.asked()));
    }
    for (mut client, asked) in clients {
        assert_eq!(client.answer().status(), 504);
        assert!(began.elapsed().as_millis() >= 2400, "not before its time");
        drop(asked);
    }
    stage.finish_unwritten();
}

/// `attempts` is the largest number of upstreams that a try is sent to: one that is silent is not raced beyond it.
#[test]
fn a_silent_upstream_is_not_raced_beyond_the_attempts() {
    let stage = Stage::serving("a_silent_upstream_is_not_raced_beyond_the_attempts", 4);
    let mut client = stage.client();
    client.get_with("/quick/once/a", "r1", &["Deadline-Remaining: 3000"]);
    let asked = stage.asked();
    assert_eq!(client.answer().status(), 504);
    drop(asked);
    stage.finish();
}

/// The same where the first one failed, and the second is silent.
#[test]
fn a_silent_second_is_not_raced_by_a_third() {
    let stage = Stage::serving("a_silent_second_is_not_raced_by_a_third", 4);
    let mut client = stage.client();
    client.get_with("/quick/a", "r1", &["Deadline-Remaining: 3000"]);
    stage.asked().close();
    let second = stage.asked();
    assert_eq!(client.answer().status(), 504);
    drop(second);
    stage.finish();
}

/// One that raced a silent one and broke: with both, the two attempts are spent.
#[test]
fn a_race_spends_the_attempts() {
    let stage = Stage::serving("a_race_spends_the_attempts", 4);
    let mut client = stage.client();
    client.get_with("/quick/a", "r1", &["Deadline-Remaining: 3000"]);
    let silent = stage.asked();
    stage.asked().close();
    assert_eq!(client.answer().status(), 504);
    drop(silent);
    stage.finish();
}

/// A silent upstream and a request that may run twice: another one answers it.
#[test]
fn a_silent_upstream_is_raced_by_another() {
    let stage = Stage::serving("a_silent_upstream_is_raced_by_another", 2);
    let mut client = stage.client();
    client.get("/quick/a", "r1");
    let silent = stage.asked();
    stage.asked().answer("whole");
    assert_eq!(client.answer().text(), "whole");
    silent.until_closed();
    stage.finish();
}

/// REFUSED: a promise that the upstream does not make is not made for it.
#[test]
fn a_refusal_without_a_word_on_running_is_no_promise() {
    let stage = Stage::serving("a_refusal_without_a_word_on_running_is_no_promise", 3);
    let mut client = stage.client();
    for (at, status) in ["503 Busy", "429 Slow", "408 Late"].iter().enumerate() {
        for target in TWO_TRIES {
            let id = format!("r{at}{}", &target[1..4]);
            client.post(target, &id, "body");
            let mut asked = stage.asked();
            let seal = format!("Server-Seal: {}\r\nRetry-After: 1\r\n", seal(&id, "x"));
            asked.say(&refusal(&id, status, &seal));
            asked.keep();
            assert_eq!(client.answer().status(), 502);
        }
    }
    stage.finish_unwritten();
}

/// MIXED: a failure that is not passed on with its own status does not bear its upstream's seal. The same for what may run
/// twice, where no further upstream may be asked.
#[test]
fn a_failure_under_another_status_bears_no_seal() {
    let stage = Stage::serving("a_failure_under_another_status_bears_no_seal", 3);
    let mut client = stage.client();
    for (at, status) in ["503 Busy", "429 Slow", "408 Late"].iter().enumerate() {
        for target in ["/pay/once/a", "/slips/once/a"] {
            let id = format!("r{at}{}", &target[1..4]);
            client.post(target, &id, "body");
            let mut asked = stage.asked();
            let seal = format!("Server-Seal: {}\r\nRetry-After: 1\r\n", seal(&id, "x"));
            asked.say(&refusal(&id, status, &seal));
            asked.keep();
            let answer = client.answer();
            assert_eq!(
                (answer.status(), answer.header("server-seal")),
                (502, None),
                "{status}"
            );
            assert_eq!(
                answer.header("retry-after"),
                None,
                "it may have run: no promise"
            );
        }
    }
    stage.finish_unwritten();
}

/// A refusal that breaks off says as little as any other answer that does.
#[test]
fn a_cut_refusal_with_not_executed_is_one_all_the_same() {
    let stage = Stage::serving("a_cut_refusal_with_not_executed_is_one_all_the_same", 2);
    let mut client = stage.client();
    client.post("/pay/a", "r1", "body");
    let mut first = stage.asked();
    first.say(
        "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 10\r\n\r\nbu",
    );
    first.close();
    stage.asked().answer("paid");
    assert_eq!(client.answer().text(), "paid");
    stage.finish();
}

/// `Not-Executed` in the answer to another request says nothing of this one.
#[test]
fn a_refusal_of_another_request_is_no_promise() {
    let stage = Stage::serving("a_refusal_of_another_request_is_no_promise", 3);
    let mut client = stage.client();
    client.post("/pay/a", "r1", "body");
    let mut asked = stage.asked();
    asked.say(&refusal("r0", "503 Full", "Not-Executed: 1\r\n"));
    asked.keep();
    assert_eq!(client.answer().status(), 502);
    stage.finish();
}

/// BUDGET: the share of one proxy among very many has no second send in it.
#[test]
fn without_budget_nothing_is_sent_again() {
    use sandtrack_protocol::frames::ToProxy;
    let stage = Stage::serving("without_budget_nothing_is_sent_again", 3);
    let control_nodes = vec![stage.control_node.address.clone()];
    stage.control_node.tell(ToProxy::Census {
        control_nodes,
        proxies: 1000,
        rank: 0,
    });
    stage.settle();
    let mut client = stage.client();
    client.get("/slips/a", "r1");
    stage.asked().close();
    assert_eq!(client.answer().status(), 502);
    client.post("/pay/a", "r2", "body");
    let mut asked = stage.asked();
    asked.say(&refusal("r2", "503 Full", "Not-Executed: 1\r\n"));
    asked.keep();
    assert_eq!(client.answer().status(), 503);
    stage.finish_unwritten();
}
