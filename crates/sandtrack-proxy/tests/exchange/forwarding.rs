//! Requests that meet no trouble, and those that are refused before they are carried.
use crate::harness::{request, Harness, ROUTES};
use crate::upstream::seal;

/// MIXED, UNASKED: method, path, query, headers and body reach the upstream unchanged, the answer the client; what concerns
/// one connection stays on it.
#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    let harness = Harness::with_upstreams("a_request_and_its_response_are_forwarded_unchanged", 1);
    let mut client = harness.client();
    let headers = [
        "Connection: keep-alive, X-Hop",
        "X-Hop: of this connection",
        "Keep-Alive: timeout=5",
        "TE: trailers",
        "X-Kept: a, b;c=\"d\"",
        "x-kept: twice",
        "Expected-Instance: i-of-the-client",
        "Accept: */*",
    ];
    client.get_with("/slips/a%2Fb/?x=1&y=%20z&x=2", "r1", &headers);
    let mut upstream_request = harness.next_upstream_request();
    assert!(upstream_request
        .message
        .head
        .starts_with("GET /slips/a%2Fb/?x=1&y=%20z&x=2 HTTP/1.1\n"));
    assert_eq!(
        upstream_request.message.header("expected-instance"),
        Some(upstream_request.identifier.as_str())
    );
    let remaining: f64 = upstream_request
        .message
        .header("deadline-remaining")
        .unwrap()
        .parse()
        .unwrap();
    assert!(remaining > 0.0 && remaining <= 20_000.0, "{remaining}");
    for hop_by_hop in [
        "connection",
        "x-hop",
        "keep-alive",
        "te",
        "transfer-encoding",
    ] {
        assert_eq!(
            upstream_request.message.header(hop_by_hop),
            None,
            "{hop_by_hop}"
        );
    }
    upstream_request.send(
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: 3e1b.07\r\nConnection: keep-alive, X-Mine\r\nX-Mine: 1\r\n\
         Keep-Alive: timeout=9\r\nX-Passed: on\r\nContent-Length: 9\r\n\r\nthe bytes",
    );
    upstream_request.keep_open();
    let response = client.response();
    assert_eq!(
        (response.status(), response.text().as_str()),
        (200, "the bytes")
    );
    assert_eq!(response.header("server-seal"), Some("3e1b.07"));
    assert_eq!(response.header("x-mine"), None);
    // The same connection goes on.
    client.get("/slips/2", "r2");
    harness.next_upstream_request().respond("two");
    assert_eq!(client.response().text(), "two");
    harness.finish_with_transcript();
}

/// UNASKED: a body in chunks is the same body.
#[test]
fn a_chunked_body_is_forwarded_unchanged() {
    let harness = Harness::with_upstreams("a_chunked_body_is_forwarded_unchanged", 1);
    let mut client = harness.client();
    let chunks = "5\r\nhello\r\n1;ext=1\r\n \r\n7\r\nGET / H\r\n0\r\nX-Trailer: 1\r\n\r\n";
    client.post_with("/pay/a?b=c", "r1", &["Transfer-Encoding: chunked"], chunks);
    let mut upstream_request = harness.next_upstream_request();
    assert!(upstream_request
        .message
        .head
        .starts_with("POST /pay/a?b=c HTTP/1.1\n"));
    assert_eq!(upstream_request.message.text(), "hello GET / H");
    upstream_request.send(
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npaid\r\n3\r\n up\r\n\
         0\r\n\r\n",
    );
    upstream_request.keep_open();
    assert_eq!(client.response().text(), "paid up");
    harness.finish_with_transcript();
}

/// MIXED, UNASKED: the same of bodies larger than any buffer.
#[test]
fn large_bodies_are_forwarded_whole() {
    let harness = Harness::with_upstreams("large_bodies_are_forwarded_whole", 1);
    let mut client = harness.client();
    let body: Vec<u8> = (0..1_500_000_u32).map(|at| (at % 251) as u8).collect();
    let head = request("POST", "/pay/large", "r1", &[], "").replace(": 0\r\n", ": 1500000\r\n");
    client.send_bytes(
        "r1, and a body of 1500000 bytes",
        &[head.as_bytes(), &body].concat(),
    );
    let mut upstream_request = harness.next_upstream_request();
    assert!(
        upstream_request.message.body == body,
        "the body is the client's"
    );
    let head =
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nContent-Length: 1500000\r\n\r\n";
    upstream_request.send_bytes("(1500000 bytes)", &[head.as_bytes(), &body].concat());
    upstream_request.keep_open();
    let response = client.response();
    assert!(response.body == body, "the body is the upstream's");
    harness.finish_with_transcript();
}

/// A client that waits to be told to go on is told, and its upstream is not asked for it.
#[test]
fn expect_100_continue_is_answered() {
    let harness = Harness::with_upstreams("expect_100_continue_is_answered", 1);
    let mut client = harness.client();
    client.send(
        &request("POST", "/pay/a", "r1", &["Expect: 100-continue"], "")
            .replace(": 0\r\n", ": 4\r\n"),
    );
    let interim = client.any_response().expect("it is told to go on");
    assert_eq!(interim.status(), 100);
    client.send("body");
    let upstream_request = harness.next_upstream_request();
    assert_eq!(
        (
            upstream_request.message.text().as_str(),
            upstream_request.message.header("expect")
        ),
        ("body", None)
    );
    upstream_request.respond("paid");
    assert_eq!(client.response().text(), "paid");
    harness.finish_with_transcript();
}

/// MIXED: an interim answer is no answer.
#[test]
fn interim_responses_are_skipped() {
    let harness = Harness::with_upstreams("interim_responses_are_skipped", 1);
    let mut client = harness.client();
    client.post("/pay/a", "r1", "body");
    let mut upstream_request = harness.next_upstream_request();
    upstream_request
        .send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
    upstream_request.respond("paid");
    assert_eq!(client.response().text(), "paid");
    harness.finish_with_transcript();
}

/// A client that says that it closes has the connection closed after its answer.
#[test]
fn connection_close_is_confirmed() {
    let harness = Harness::with_upstreams("connection_close_is_confirmed", 1);
    let mut client = harness.client();
    client.get_with("/slips/a", "r1", &["Connection: close"]);
    harness.next_upstream_request().respond("one");
    assert_eq!(client.response().header("connection"), Some("close"));
    client.expect_closed();
    harness.finish_with_transcript();
}

/// A failure of the upstream's own is its answer, with its seal.
#[test]
fn an_upstreams_failure_is_forwarded() {
    let harness = Harness::with_upstreams("an_upstreams_failure_is_forwarded", 2);
    let mut client = harness.client();
    for (id, status) in [
        ("r1", "500 Oops"),
        ("r2", "404 Not Found"),
        ("r3", "409 Conflict"),
        ("r4", "400 Bad"),
    ] {
        client.post("/pay/a", id, "body");
        let mut upstream_request = harness.next_upstream_request();
        upstream_request.send(&format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nServer-Seal: {}\r\nContent-Length: 3\r\n\r\nwhy",
            seal(id, "x")
        ));
        upstream_request.keep_open();
        let response = client.response();
        assert_eq!(
            Some(response.status().to_string().as_str()),
            status.split(' ').next()
        );
        assert_eq!(
            (response.text().as_str(), response.header("server-seal")),
            ("why", Some(seal(id, "x").as_str()))
        );
    }
    // Which of the two it goes to is drawn.
    harness.finish();
}

/// No route matches: another host, no path, a path that a prefix only begins like.
#[test]
fn a_request_without_a_route_gets_404() {
    let harness = Harness::with_upstreams("a_request_without_a_route_gets_404", 1);
    let mut client = harness.client();
    for (id, target, host) in [
        ("r1", "/none/a", "post.example"),
        ("r2", "/slips/a", "other.example"),
        ("r3", "/slips", "post.example"),
        ("r4", "/", "post.example"),
    ] {
        client.send(&request("GET", target, id, &[], "").replace("post.example", host));
        assert_eq!(client.response().status(), 404);
    }
    // The longest prefix, and a host however it is written.
    client.send(
        &request("GET", "/slips/a", "r5", &[], "").replace("post.example", "POST.example:8161"),
    );
    harness.next_upstream_request().respond("found");
    assert_eq!(client.response().text(), "found");
    harness.finish_with_transcript();
}

/// Readiness, and what is answered before there is a configuration: a promise with a time to come back.
#[test]
fn the_proxy_is_ready_once_it_has_a_configuration() {
    let harness = Harness::unconfigured("the_proxy_is_ready_once_it_has_a_configuration");
    let (mut readiness_client, mut client) = (harness.readiness_client(), harness.client());
    let check = "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
    readiness_client.send(check);
    assert_eq!(readiness_client.response().status(), 503);
    client.post("/pay/a", "r1", "body");
    let rejected = client.response();
    assert_eq!(rejected.status(), 503);
    let retry_after: f64 = rejected
        .header("retry-after")
        .expect("when to come back")
        .parse()
        .unwrap();
    assert!(retry_after > 0.0 && retry_after < 5.0);
    harness.make_ready(1);
    readiness_client.send(check);
    assert_eq!(readiness_client.response().status(), 200);
    client.post("/pay/a", "r2", "body");
    harness.next_upstream_request().respond("paid");
    assert_eq!(client.response().text(), "paid");
    harness.finish_with_transcript();
}

/// One with a configuration and no list is not ready: it could not serve.
#[test]
fn the_proxy_is_not_ready_without_an_upstream_list() {
    let harness = Harness::unconfigured("the_proxy_is_not_ready_without_an_upstream_list");
    let mut readiness_client = harness.readiness_client();
    let check = "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
    harness.configure(ROUTES);
    readiness_client.send(check);
    assert_eq!(readiness_client.response().status(), 503);
    let entry = harness.add_upstream("printer", "a");
    harness.send_upstream_list(vec![entry]);
    harness
        .control_node
        .wait_for_state("ready", |state| state.ready);
    readiness_client.send(check);
    assert_eq!(readiness_client.response().status(), 200);
    harness.finish_with_transcript();
}

/// DENIED is for what is proper: what passes the limits is refused, whole, and nothing of it reaches an upstream.
#[test]
fn requests_over_the_limits_are_rejected() {
    let harness = Harness::with_upstreams("requests_over_the_limits_are_rejected", 1);
    let long = format!("X-Long: {}", "x".repeat(2100));
    let mut client = harness.client();
    client.get_with("/slips/a", "r1", &[&long]);
    let rejected = client.response();
    assert_eq!(
        (rejected.status(), rejected.header("connection")),
        (431, Some("close"))
    );
    client.expect_closed();
    // A head within the limit is taken.
    let mut client = harness.client();
    client.get_with("/slips/a", "r2", &[&long[..1800]]);
    harness.next_upstream_request().respond("taken");
    assert_eq!(client.response().status(), 200);

    let mut client = harness.client();
    let head = request("POST", "/pay/a", "r3", &[], "").replace(": 0\r\n", ": 2000001\r\n");
    client.send_bytes(
        "r3, and a body of 2000001 bytes",
        &[head.as_bytes(), &vec![b'x'; 2_000_001]].concat(),
    );
    assert_eq!(client.response().status(), 413);
    client.expect_closed();

    let mut client = harness.client();
    let head = request("POST", "/pay/a", "r4", &["Transfer-Encoding: chunked"], "");
    let body = [
        b"1e8481\r\n".as_slice(),
        &vec![b'x'; 2_000_001],
        b"\r\n0\r\n\r\n",
    ]
    .concat();
    client.send_bytes(
        "r4, and a body of 2000001 bytes in a chunk",
        &[head.as_bytes(), &body].concat(),
    );
    assert_eq!(client.response().status(), 413);
    client.expect_closed();
    harness.finish_with_transcript();
}

/// UNASKED: what can be read in two ways is not carried, and what may be smuggled in it is not run.
#[test]
fn ambiguous_requests_are_rejected() {
    let harness = Harness::with_upstreams("ambiguous_requests_are_rejected", 1);
    let inner = "GET /slips/smuggled HTTP/1.1\r\nHost: post.example\r\nRequest-Id: evil\r\n\r\n";
    let start = "POST /pay/a HTTP/1.1\r\nHost: post.example\r\nRequest-Id: r1\r\n";
    let length = inner.len();
    for ambiguous in [
        format!(
            "{start}Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{inner}",
            length + 5
        ),
        format!("{start}Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n{inner}"),
        format!("{start}Content-Length: 0\r\nContent-Length: {length}\r\n\r\n{inner}"),
        format!("{start}Content-Length: +0\r\n\r\n{inner}"),
        format!("{start}Content-Length: 0, {length}\r\n\r\n{inner}"),
        format!("{start}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n{inner}"),
        format!("{start}Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n{inner}"),
        format!("{start}Content-Length : {length}\r\n\r\n{inner}"),
        format!("{start}X-A: b\r\n Content-Length: {length}\r\n\r\n{inner}"),
        format!("{start}Transfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n{inner}"),
        format!("{start}X-A: b\nContent-Length: 0\r\n\r\n{inner}"),
    ] {
        let mut client = harness.client();
        client.send(&ambiguous);
        assert_eq!(client.response().status(), 400);
        client.expect_closed();
    }
    harness.finish_with_transcript();
}

/// MIXED: requests that come at once on one connection are run one at a time and answered in order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let harness = Harness::with_upstreams("pipelined_requests_are_answered_in_order", 3);
    let mut client = harness.client();
    let requests: Vec<String> = ["r1", "r2", "r3"]
        .iter()
        .map(|id| request("POST", "/pay/a", id, &[], id))
        .collect();
    client.send(&requests.concat());
    for id in ["r1", "r2", "r3"] {
        let upstream_request = harness.next_upstream_request();
        assert_eq!(
            (
                upstream_request.id(),
                upstream_request.message.text().as_str()
            ),
            (id, id)
        );
        // Two beats: the proxy had all the time to take the next one up.
        harness.control_node.received_so_far();
        for _ in 0..2 {
            let state = harness.control_node.wait_for_state("a beat", |_| true);
            assert_eq!(state.requests_in_flight, 1, "one is in hand");
        }
        harness.assert_no_upstream_request();
        upstream_request.respond(&format!("to {id}"));
        let response = client.response();
        assert_eq!(
            (response.header("request-id"), response.text()),
            (Some(id), format!("to {id}"))
        );
    }
    harness.finish();
}
