//! A client gets the complete response to its own request, with its seal, or one that is no success, whatever upstreams send
//! (rule MIXED).
use crate::harness::Harness;
use crate::http_connection::TEST_TIMEOUT;
use crate::upstream::UpstreamRequest;
use std::io::{Read, Write};

const SHORT_BODY: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nContent-Length: 100\r\n\r\nonly a part";
const UNTERMINATED_CHUNKS: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n";
const TRUNCATED_HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-S";
const OTHER_REQUEST_ID: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Seal: s0\r\nContent-Length: 5\r\n\r\nother";
const NO_RESPONSE: &str = "\u{1}\u{2}garbage that is no answer\r\n\r\n";
const MALFORMED_CHUNK: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbytes\r\n";
const TWO_CONTENT_LENGTHS: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nbytes";
/// What an upstream answers a probe: it may come late, in the place where an answer is due.
const HEALTH_CHECK_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n";
const WITHOUT_SEAL: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nbytes";

/// A request that may run twice gets its answer from another upstream.
fn assert_retried_elsewhere(name: &str, wrong: &str) {
    let harness = Harness::with_upstreams(name, 2);
    let mut client = harness.client();
    client.get_with("/slips/a", "r1", &[]);
    let mut first = harness.next_upstream_request();
    first.send(wrong);
    first.close();
    let second = harness.next_upstream_request();
    assert_eq!(second.id(), "r1");
    second.respond("whole");
    let response = client.response();
    assert_eq!(
        (response.status(), response.text().as_str()),
        (200, "whole")
    );
    assert_eq!(response.header("server-seal"), Some("seal.r1"));
    // Nothing of the first one comes later either.
    client.post_with("/pay/b", "r2", &["Connection: close"], "body");
    harness.next_upstream_request().respond("next");
    assert_eq!(client.response().text(), "next");
    client.expect_closed();
    harness.finish();
}

/// One that may run once is not sent again, and its client is not told a success.
fn assert_not_forwarded(name: &str, wrong: &str) {
    let harness = Harness::with_upstreams(name, 2);
    let mut client = harness.client();
    client.post("/pay/a", "r1", "body");
    let mut upstream_request = harness.next_upstream_request();
    upstream_request.send(wrong);
    upstream_request.close();
    assert_eq!(client.response().status(), 502);
    harness.finish_with_transcript();
}

macro_rules! invalid_responses {
    ($($elsewhere:ident, $once:ident: $wrong:expr;)*) => {$(
        #[test]
        fn $elsewhere() {
            assert_retried_elsewhere(stringify!($elsewhere), $wrong);
        }

        #[test]
        fn $once() {
            assert_not_forwarded(stringify!($once), $wrong);
        }
    )*};
}

invalid_responses! {
    a_short_body_is_retried_elsewhere, a_short_body_is_no_success: SHORT_BODY;
    unterminated_chunks_are_retried_elsewhere, unterminated_chunks_are_no_success: UNTERMINATED_CHUNKS;
    a_truncated_head_is_retried_elsewhere, a_truncated_head_is_no_success: TRUNCATED_HEAD;
    another_request_id_is_retried_elsewhere, another_request_id_is_no_success: OTHER_REQUEST_ID;
    bytes_that_are_no_response_are_retried_elsewhere, bytes_that_are_no_response_are_no_success: NO_RESPONSE;
    a_malformed_chunk_is_retried_elsewhere, a_malformed_chunk_is_no_success: MALFORMED_CHUNK;
    two_content_lengths_are_retried_elsewhere, two_content_lengths_are_no_success: TWO_CONTENT_LENGTHS;
    a_health_check_response_is_retried_elsewhere, a_health_check_response_is_no_success: HEALTH_CHECK_RESPONSE;
    a_response_without_seal_is_retried_elsewhere, a_response_without_seal_is_no_success: WITHOUT_SEAL;
    a_close_without_a_response_is_retried_elsewhere, a_close_without_a_response_is_no_success: "";
}

/// The answer to another request comes first, and the right one behind it: neither is passed on from that connection.
#[test]
fn a_late_response_before_the_right_one_is_not_forwarded() {
    let harness =
        Harness::with_upstreams("a_late_response_before_the_right_one_is_not_forwarded", 2);
    let mut client = harness.client();
    client.get_with("/slips/a", "r1", &[]);
    let mut first = harness.next_upstream_request();
    first.send(OTHER_REQUEST_ID);
    first.respond("late");
    harness.next_upstream_request().respond("whole");
    assert_eq!(client.response().text(), "whole");
    harness.finish_with_transcript();
}

/// A surplus answer right behind a whole one: the connection is not used again.
#[test]
fn a_surplus_response_behind_a_complete_one_reaches_no_client() {
    let harness = Harness::with_upstreams(
        "a_surplus_response_behind_a_complete_one_reaches_no_client",
        1,
    );
    let mut client = harness.client();
    client.get("/slips/a", "r1");
    let mut upstream_request = harness.next_upstream_request();
    upstream_request.send(&format!(
        "{}{OTHER_REQUEST_ID}",
        crate::upstream::response_text("r1", "one")
    ));
    assert_eq!(client.response().text(), "one");
    upstream_request.expect_closed();
    let mut other = harness.client();
    other.get("/slips/b", "r2");
    harness.next_upstream_request().respond("two");
    assert_eq!(other.response().text(), "two");
    client.get("/slips/c", "r3");
    harness.next_upstream_request().respond("three");
    assert_eq!(client.response().text(), "three");
    harness.finish_with_transcript();
}

/// One that comes while the connection stands idle: with the id of nobody, of the request before, or of none.
#[test]
fn a_surplus_response_on_an_idle_connection_reaches_no_client() {
    let harness = Harness::with_upstreams(
        "a_surplus_response_on_an_idle_connection_reaches_no_client",
        1,
    );
    let mut client = harness.client();
    for (at, surplus) in [
        OTHER_REQUEST_ID,
        HEALTH_CHECK_RESPONSE,
        NO_RESPONSE,
        SHORT_BODY,
    ]
    .iter()
    .enumerate()
    {
        let (id, next) = (format!("a{at}"), format!("b{at}"));
        client.get("/slips/a", &id);
        let upstream_request = harness.next_upstream_request();
        let mut writer = upstream_request.respond_and_keep_writer("one");
        assert_eq!(client.response().text(), "one");
        writer.write_all(surplus.as_bytes()).unwrap();
        harness.record("a surplus response is sent on the idle connection");
        client.get("/slips/b", &next);
        harness.next_upstream_request().respond("two");
        let response = client.response();
        assert_eq!(
            (response.text().as_str(), response.header("request-id")),
            ("two", Some(next.as_str()))
        );
    }
    harness.finish_with_transcript();
}

/// It comes when the next request is already on that connection: the ids tell them apart.
#[test]
fn a_surplus_response_in_place_of_the_next_reaches_no_client() {
    let harness = Harness::with_upstreams(
        "a_surplus_response_in_place_of_the_next_reaches_no_client",
        1,
    );
    let mut client = harness.client();
    for (at, surplus) in [OTHER_REQUEST_ID, HEALTH_CHECK_RESPONSE, NO_RESPONSE]
        .iter()
        .enumerate()
    {
        let id = format!("a{at}");
        client.get_with("/slips/a", &id, &[]);
        let mut upstream_request = harness.next_upstream_request();
        upstream_request.send(surplus);
        upstream_request.respond("behind it");
        // The same upstream is asked again, as there is no other.
        harness.next_upstream_request().respond("whole");
        let response = client.response();
        assert_eq!(
            (response.text().as_str(), response.header("request-id")),
            ("whole", Some(id.as_str()))
        );
    }
    harness.finish_with_transcript();
}

/// All upstreams cut it short: the client gets a whole answer that is no success.
#[test]
fn two_truncated_responses_are_a_bad_gateway() {
    let harness = Harness::with_upstreams("two_truncated_responses_are_a_bad_gateway", 3);
    let mut client = harness.client();
    client.get_with("/slips/a", "r1", &[]);
    for _ in 0..2 {
        let mut upstream_request = harness.next_upstream_request();
        upstream_request.send(SHORT_BODY);
        upstream_request.close();
    }
    assert_eq!(client.response().status(), 502);
    harness.finish_with_transcript();
}

/// An upstream that failed and another that did not: the success is the second one's.
#[test]
fn a_failure_of_one_upstream_is_retried_at_another() {
    let harness = Harness::with_upstreams("a_failure_of_one_upstream_is_retried_at_another", 2);
    let mut client = harness.client();
    client.get_with("/slips/a", "r1", &[]);
    let mut upstream_request = harness.next_upstream_request();
    upstream_request.send(
        "HTTP/1.1 500 Oops\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nContent-Length: 3\r\n\r\nwhy",
    );
    upstream_request.keep_open();
    harness.next_upstream_request().respond("whole");
    assert_eq!(client.response().text(), "whole");
    harness.finish_with_transcript();
}

/// An idle connection that its upstream closes meanwhile costs nobody an answer.
#[test]
fn a_closed_idle_connection_is_not_used() {
    let harness = Harness::with_upstreams("a_closed_idle_connection_is_not_used", 1);
    let mut client = harness.client();
    client.get("/slips/once/a", "r1");
    let upstream_request: UpstreamRequest = harness.next_upstream_request();
    let mut writer = upstream_request.respond_and_keep_writer("one");
    assert_eq!(client.response().text(), "one");
    writer.shutdown(std::net::Shutdown::Both).unwrap();
    writer.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert_eq!(writer.read(&mut [0; 16]).unwrap_or(0), 0);
    client.get("/slips/once/b", "r2");
    harness.next_upstream_request().respond("two");
    assert_eq!(client.response().text(), "two");
    harness.finish_with_transcript();
}
