//! MIXED: upstreams in trouble. A client gets the whole answer to its own request, with its seal, or an answer that is no
//! success.
use crate::harness::Stage;
use crate::upstream::Asked;
use crate::wire::PATIENCE;
use std::io::{Read, Write};

const LENGTH_NOT_MET: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nContent-Length: 100\r\n\r\nonly a part";
const CHUNKS_NOT_ENDED: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n";
const WITHIN_A_HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-S";
const ANOTHER_ID: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Seal: s0\r\nContent-Length: 5\r\n\r\nother";
const NO_ANSWER: &str = "\u{1}\u{2}garbage that is no answer\r\n\r\n";
const BAD_CHUNK: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbytes\r\n";
const TWO_LENGTHS: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nbytes";
/// What an upstream answers a probe: it may come late, in the place where an answer is due.
const TO_A_PROBE: &str = "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n";
const WITHOUT_SEAL: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nbytes";

/// A request that may run twice gets its answer from another upstream.
fn tried_elsewhere(name: &str, wrong: &str) {
    let stage = Stage::serving(name, 2);
    let mut client = stage.client();
    client.get_with("/slips/a", "r1", &[]);
    let mut first = stage.asked();
    first.say(wrong);
    first.close();
    let second = stage.asked();
    assert_eq!(second.id(), "r1");
    second.answer("whole");
    let answer = client.answer();
    assert_eq!((answer.status(), answer.text().as_str()), (200, "whole"));
    assert_eq!(answer.header("server-seal"), Some("seal.r1"));
    // Nothing of the first one comes later either.
    client.post_with("/pay/b", "r2", &["Connection: close"], "body");
    stage.asked().answer("next");
    assert_eq!(client.answer().text(), "next");
    client.until_closed();
    stage.finish_unwritten();
}

/// One that may run once is not sent again, and its client is not told a success.
fn not_passed_on(name: &str, wrong: &str) {
    let stage = Stage::serving(name, 2);
    let mut client = stage.client();
    client.post("/pay/a", "r1", "body");
    let mut asked = stage.asked();
    asked.say(wrong);
    asked.close();
    assert_eq!(client.answer().status(), 502);
    stage.finish();
}

macro_rules! wrong_answers {
    ($($elsewhere:ident, $once:ident: $wrong:expr;)*) => {$(
        #[test]
        fn $elsewhere() {
            tried_elsewhere(stringify!($elsewhere), $wrong);
        }

        #[test]
        fn $once() {
            not_passed_on(stringify!($once), $wrong);
        }
    )*};
}

wrong_answers! {
    a_short_body_is_tried_elsewhere, a_short_body_is_no_success: LENGTH_NOT_MET;
    open_chunks_are_tried_elsewhere, open_chunks_are_no_success: CHUNKS_NOT_ENDED;
    a_cut_head_is_tried_elsewhere, a_cut_head_is_no_success: WITHIN_A_HEAD;
    another_id_is_tried_elsewhere, another_id_is_no_success: ANOTHER_ID;
    bytes_that_are_no_answer_are_tried_elsewhere, bytes_that_are_no_answer_are_no_success: NO_ANSWER;
    a_bad_chunk_is_tried_elsewhere, a_bad_chunk_is_no_success: BAD_CHUNK;
    two_lengths_are_tried_elsewhere, two_lengths_are_no_success: TWO_LENGTHS;
    a_probes_answer_is_tried_elsewhere, a_probes_answer_is_no_success: TO_A_PROBE;
    an_answer_without_seal_is_tried_elsewhere, an_answer_without_seal_is_no_success: WITHOUT_SEAL;
    silence_and_a_close_are_tried_elsewhere, silence_and_a_close_are_no_success: "";
}

/// The answer to another request comes first, and the right one behind it: neither is passed on from that connection.
#[test]
fn a_late_answer_before_the_right_one_is_not_passed_on() {
    let stage = Stage::serving("a_late_answer_before_the_right_one_is_not_passed_on", 2);
    let mut client = stage.client();
    client.get_with("/slips/a", "r1", &[]);
    let mut first = stage.asked();
    first.say(ANOTHER_ID);
    first.answer("late");
    stage.asked().answer("whole");
    assert_eq!(client.answer().text(), "whole");
    stage.finish();
}

/// A surplus answer right behind a whole one: the connection is not used again.
#[test]
fn a_surplus_answer_behind_a_whole_one_reaches_nobody() {
    let stage = Stage::serving("a_surplus_answer_behind_a_whole_one_reaches_nobody", 1);
    let mut client = stage.client();
    client.get("/slips/a", "r1");
    let mut asked = stage.asked();
    asked.say(&format!(
        "{}{ANOTHER_ID}",
        crate::upstream::answer("r1", "one")
    ));
    assert_eq!(client.answer().text(), "one");
    asked.until_closed();
    let mut other = stage.client();
    other.get("/slips/b", "r2");
    stage.asked().answer("two");
    assert_eq!(other.answer().text(), "two");
    client.get("/slips/c", "r3");
    stage.asked().answer("three");
    assert_eq!(client.answer().text(), "three");
    stage.finish();
}

/// One that comes while the connection stands idle: with the id of nobody, of the request before, or of none.
#[test]
fn a_surplus_answer_on_a_kept_connection_reaches_nobody() {
    let stage = Stage::serving("a_surplus_answer_on_a_kept_connection_reaches_nobody", 1);
    let mut client = stage.client();
    for (at, surplus) in [ANOTHER_ID, TO_A_PROBE, NO_ANSWER, LENGTH_NOT_MET]
        .iter()
        .enumerate()
    {
        let (id, next) = (format!("a{at}"), format!("b{at}"));
        client.get("/slips/a", &id);
        let asked = stage.asked();
        let mut writer = asked.answer_and_write("one");
        assert_eq!(client.answer().text(), "one");
        writer.write_all(surplus.as_bytes()).unwrap();
        stage.note("a surplus answer comes on it");
        client.get("/slips/b", &next);
        stage.asked().answer("two");
        let answer = client.answer();
        assert_eq!(
            (answer.text().as_str(), answer.header("request-id")),
            ("two", Some(next.as_str()))
        );
    }
    stage.finish();
}

/// It comes when the next request is already on that connection: the ids tell them apart.
#[test]
fn a_surplus_answer_in_the_place_of_the_next_reaches_nobody() {
    let stage = Stage::serving(
        "a_surplus_answer_in_the_place_of_the_next_reaches_nobody",
        1,
    );
    let mut client = stage.client();
    for (at, surplus) in [ANOTHER_ID, TO_A_PROBE, NO_ANSWER].iter().enumerate() {
        let id = format!("a{at}");
        client.get_with("/slips/a", &id, &[]);
        let mut asked = stage.asked();
        asked.say(surplus);
        asked.answer("behind it");
        // The same upstream is asked again, as there is no other.
        stage.asked().answer("whole");
        let answer = client.answer();
        assert_eq!(
            (answer.text().as_str(), answer.header("request-id")),
            ("whole", Some(id.as_str()))
        );
    }
    stage.finish();
}

/// All upstreams cut it short: the client gets a whole answer that is no success.
#[test]
fn two_cut_answers_are_a_bad_gateway() {
    let stage = Stage::serving("two_cut_answers_are_a_bad_gateway", 3);
    let mut client = stage.client();
    client.get_with("/slips/a", "r1", &[]);
    for _ in 0..2 {
        let mut asked = stage.asked();
        asked.say(LENGTH_NOT_MET);
        asked.close();
    }
    assert_eq!(client.answer().status(), 502);
    stage.finish();
}

/// An upstream that failed and another that did not: the success is the second one's.
#[test]
fn a_failure_of_one_is_tried_elsewhere() {
    let stage = Stage::serving("a_failure_of_one_is_tried_elsewhere", 2);
    let mut client = stage.client();
    client.get_with("/slips/a", "r1", &[]);
    let mut asked = stage.asked();
    asked.say(
        "HTTP/1.1 500 Oops\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nContent-Length: 3\r\n\r\nwhy",
    );
    asked.keep();
    stage.asked().answer("whole");
    assert_eq!(client.answer().text(), "whole");
    stage.finish();
}

/// An idle connection that its upstream closes meanwhile costs nobody an answer.
#[test]
fn a_closed_idle_connection_is_not_used() {
    let stage = Stage::serving("a_closed_idle_connection_is_not_used", 1);
    let mut client = stage.client();
    client.get("/slips/once/a", "r1");
    let asked: Asked = stage.asked();
    let mut writer = asked.answer_and_write("one");
    assert_eq!(client.answer().text(), "one");
    writer.shutdown(std::net::Shutdown::Both).unwrap();
    writer.set_read_timeout(Some(PATIENCE)).unwrap();
    assert_eq!(writer.read(&mut [0; 16]).unwrap_or(0), 0);
    client.get("/slips/once/b", "r2");
    stage.asked().answer("two");
    assert_eq!(client.answer().text(), "two");
    stage.finish();
}
