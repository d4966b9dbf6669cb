//! TWICE and REFUSED where one request is sent more than once: all its sends bear the client's `Request-Id`, so only the
//! connection tells the response to one from a late copy of the response to another.
use crate::harness::{Harness, ROUTES};
use crate::upstream::UpstreamRequest;
use std::io::Write;
use std::net::TcpStream;

/// The response of an upstream that has no room for the request with this id.
fn rejection(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy"
    )
}

/// Rejects the request and keeps its connection open; returns the connection for further writes.
fn reject(mut upstream_request: UpstreamRequest) -> TcpStream {
    let text = rejection(upstream_request.id());
    upstream_request.send(&text);
    upstream_request.keep_open_and_keep_writer()
}

/// Sends a request that may run once; its only upstream rejects the first send, runs the second one, and sends its rejection
/// once more when the second one has come.
fn assert_late_rejection_is_ignored(name: &str, routes: &str) {
    let harness = Harness::with_upstreams(name, 1);
    harness.configure(routes);
    let mut client = harness.client();
    client.get("/slips/a", "r1");
    harness.next_upstream_request().respond("one");
    assert_eq!(client.response().text(), "one");
    client.post("/pay/a", "r2", "body");
    let first = harness.next_upstream_request();
    assert!(first.earlier_requests > 0, "on a kept connection");
    let mut writer = reject(first);
    let second = harness.next_upstream_request();
    assert_eq!(second.id(), "r2");
    // Its connection may be closed.
    let _ = writer.write_all(rejection("r2").as_bytes());
    harness.record("the rejection is sent once more on the first connection");
    second.respond("paid");
    let response = client.response();
    assert_eq!((response.status(), response.text().as_str()), (200, "paid"));
    harness.assert_no_upstream_request();
    harness.finish();
}

/// Guards against a promise that a request did not run, given for a late copy of the rejection of an earlier send.
#[test]
fn a_late_rejection_of_an_earlier_send_is_no_promise_for_the_last_one() {
    assert_late_rejection_is_ignored(
        "a_late_rejection_of_an_earlier_send_is_no_promise_for_the_last_one",
        ROUTES,
    );
}

/// Guards against a second run of a request whose second send was taken for rejected, by a late copy of the first rejection.
#[test]
fn a_late_rejection_of_an_earlier_send_leads_to_no_further_send() {
    let three_attempts = ROUTES.replace("\"attempts\":2", "\"attempts\":3");
    assert_late_rejection_is_ignored(
        "a_late_rejection_of_an_earlier_send_leads_to_no_further_send",
        &three_attempts,
    );
}
