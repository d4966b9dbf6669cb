//! What counts as the response to a health check.
use crate::harness::{printer_entry, Harness};
use crate::http_connection::HttpConnection;
use crate::upstream::{response_text, HEALTH};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const IDENTIFIER: &str = "i-hangs";

/// An upstream that is healthy until it has answered a request. Then it hangs, and what it sends on a connection is a late
/// copy of that response.
fn serve_until_hung(listener: TcpListener) {
    let hangs = Arc::new(AtomicBool::new(false));
    for stream in listener.incoming().flatten() {
        let hangs = hangs.clone();
        std::thread::spawn(move || {
            let mut connection = HttpConnection::new(stream);
            connection.set_read_timeout(None);
            while let Some(request) = connection.read_message() {
                let is_health_check = request.head.starts_with(&format!("GET {HEALTH} "));
                let response = if is_health_check && !hangs.load(Ordering::SeqCst) {
                    format!(
                        "HTTP/1.1 200 OK\r\nInstance-Id: {IDENTIFIER}\r\nContent-Length: 0\r\n\r\n"
                    )
                } else {
                    response_text("r1", "one")
                };
                connection.send(response.as_bytes());
                hangs.fetch_or(!is_health_check, Ordering::SeqCst);
            }
        });
    }
}

/// Guards against a late copy of a response to a request that is taken for the response to a health check on the same
/// connection: an upstream that hangs counted as healthy.
#[test]
fn a_late_response_to_a_request_is_no_health_response() {
    let harness = Harness::unconfigured("a_late_response_to_a_request_is_no_health_response");
    harness.send_single_proxy_census();
    let listener = TcpListener::bind((harness.ip.as_str(), 0)).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || serve_until_hung(listener));
    harness.send_upstream_list(vec![printer_entry(IDENTIFIER, address)]);
    harness.wait_until_applied();
    let mut client = harness.client();
    client.get("/slips/a", "r1");
    assert_eq!(client.response().text(), "one");
    let unhealthy = "sandtrack_proxy_upstreams{service=\"printer\",state=\"unhealthy\"}";
    harness.wait_for_metric(unhealthy, 1);
    harness.finish();
}
