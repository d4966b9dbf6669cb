//! The retry policy with a simulated clock: no sockets, no waiting.
use assert_matches::assert_matches;
use sandtrack_cli::call::{error_from_response, Call, DEFAULT_RETRY_MS, MAX_EVACUATION_RETRY_MS};
use sandtrack_cli::error::CliError;
use sandtrack_cli::retry::{Retry, Step, INITIAL_BACKOFF_MS, MAX_BACKOFF_MS};
use sandtrack_cli::transport::TransportError;
use sandtrack_protocol::codes;
use sandtrack_sidecar_core::message::{Head, Headers, Message};
use std::net::SocketAddr;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, last], 8166))
}

fn response(status: u16, headers: &[(&str, &str)], body: &str) -> Message {
    let headers = headers
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect();
    let head = Head {
        method: String::new(),
        target: String::new(),
        status,
        headers: Headers(headers),
        keep_alive: false,
        chunks: true,
    };
    Message {
        head,
        body: body.as_bytes().to_vec(),
    }
}

fn status_only(status: u16) -> Result<Message, TransportError> {
    Ok(response(status, &[], ""))
}

/// Runs a call whose attempts all have the same result after `attempt_ms` each. Returns start and address of each attempt,
/// the last step and its time.
fn run_call(
    addresses: &[SocketAddr],
    length: f64,
    attempt_ms: f64,
    result: &Result<Message, TransportError>,
) -> (Vec<(f64, SocketAddr)>, Step, f64) {
    let (mut now, mut attempts) = (1000.0, Vec::new());
    let mut retry = Retry::new(addresses, now, now + length);
    loop {
        match retry.step(now) {
            Step::Backoff(pause) => now += pause,
            Step::Attempt { address, .. } => {
                attempts.push((now, address));
                now += attempt_ms;
                retry.record_result(now, result.clone());
            }
            end => return (attempts, end, now),
        }
        assert!(attempts.len() < 1000, "it never ends");
    }
}

#[test]
fn each_failure_moves_on_to_the_next_address_with_bounded_exponential_backoff() {
    let addresses = [address(1), address(2), address(3)];
    let timed_out = Err(TransportError::TimedOut);
    let (attempts, end, _) = run_call(&addresses, DEFAULT_RETRY_MS, 1000.0, &timed_out);
    for (at, (_, address)) in attempts.iter().enumerate() {
        assert_eq!(*address, addresses[at % 3]);
    }
    let pauses: Vec<f64> = attempts
        .windows(2)
        .map(|pair| pair[1].0 - pair[0].0 - 1000.0)
        .collect();
    assert_eq!(pauses[..6], [50.0, 100.0, 200.0, 400.0, 800.0, 1000.0]);
    assert!(
        pauses
            .iter()
            .all(|pause| (INITIAL_BACKOFF_MS..=MAX_BACKOFF_MS).contains(pause)),
        "{pauses:?}"
    );
    assert_matches!(
        end,
        Step::GaveUp {
            outcome_unknown: true,
            last_result: Some(Err(TransportError::TimedOut))
        }
    );
}

#[test]
fn no_attempt_or_backoff_begins_after_the_deadline() {
    for attempt_ms in [0.0, 7.0, 130.0, 999.0, 1000.0, 4999.0, 5000.0, 9000.0] {
        let (attempts, end, over) = run_call(
            &[address(1), address(2)],
            MAX_EVACUATION_RETRY_MS,
            attempt_ms,
            &status_only(503),
        );
        assert!(
            attempts
                .iter()
                .all(|(at, _)| *at <= 1000.0 + MAX_EVACUATION_RETRY_MS),
            "{attempt_ms}: {attempts:?}"
        );
        assert_matches!(end, Step::GaveUp { .. });
        assert!(
            over <= 1000.0 + MAX_EVACUATION_RETRY_MS + attempt_ms,
            "{attempt_ms}: over at {over}"
        );
    }
}

#[test]
fn definite_responses_end_the_call_at_once() {
    for status in [200, 201, 204, 400, 409, 412, 413, 422] {
        let (attempts, end, _) = run_call(
            &[address(1), address(2)],
            DEFAULT_RETRY_MS,
            1.0,
            &status_only(status),
        );
        assert_eq!(attempts.len(), 1, "{status}");
        assert_matches!(end, Step::Responded(response) if response.head.status == status);
    }
}

#[test]
fn any_other_4xx_ends_the_call_at_the_third_attempt() {
    for status in [401, 403, 404, 405, 410, 421, 431, 451] {
        let (attempts, end, _) = run_call(
            &[address(1), address(2)],
            DEFAULT_RETRY_MS,
            1.0,
            &status_only(status),
        );
        assert_eq!(
            attempts
                .iter()
                .map(|(_, address)| *address)
                .collect::<Vec<_>>(),
            [1, 2, 1].map(address)
        );
        assert_matches!(end, Step::Responded(response) if response.head.status == status);
    }
}

#[test]
fn transient_responses_and_transport_errors_are_retried_until_the_deadline() {
    let failures = [
        Err(TransportError::NotConnected(
            std::io::ErrorKind::ConnectionRefused,
        )),
        Err(TransportError::TimedOut),
        Err(TransportError::ConnectionClosed),
        Err(TransportError::InvalidResponse),
    ];
    let statuses = [408, 429, 500, 501, 502, 503, 504, 302].map(status_only);
    for result in failures.iter().chain(&statuses) {
        let (attempts, end, _) = run_call(&[address(1)], DEFAULT_RETRY_MS, 1.0, result);
        assert!(
            attempts.len() > 15,
            "{result:?}: {} attempts",
            attempts.len()
        );
        assert_matches!(end, Step::GaveUp { last_result: Some(last), .. } if last == *result);
    }
}

#[test]
fn outcome_is_unknown_after_any_indefinite_attempt() {
    let coded = |code: &str| Ok(response(503, &[], &format!("{{\"code\":\"{code}\"}}")));
    let definite = [
        Err(TransportError::NotConnected(
            std::io::ErrorKind::ConnectionRefused,
        )),
        coded("E303"),
        coded("E502"),
        status_only(429),
        status_only(408),
    ];
    for result in &definite {
        let (_, end, _) = run_call(&[address(1)], DEFAULT_RETRY_MS, 1.0, result);
        assert_matches!(
            end,
            Step::GaveUp {
                outcome_unknown: false,
                ..
            },
            "{result:?}"
        );
    }
    let indefinite = [
        Err(TransportError::TimedOut),
        Err(TransportError::ConnectionClosed),
        Err(TransportError::InvalidResponse),
        coded("E304"),
        status_only(500),
        status_only(504),
    ];
    for result in &indefinite {
        let mut retry = Retry::new(&[address(1)], 0.0, 1000.0);
        retry.record_result(0.0, result.clone());
        retry.record_result(100.0, coded("E303"));
        assert!(
            retry.is_outcome_unknown(),
            "{result:?}: a later definite refusal does not undo it"
        );
    }
}

#[test]
fn retry_after_extends_the_backoff_up_to_its_maximum() {
    for (value, pause) in [
        ("0.2", 200.0),
        ("0", 50.0),
        ("7", 1000.0),
        ("soon", 50.0),
        ("-1", 50.0),
        ("NaN", 50.0),
    ] {
        let mut retry = Retry::new(&[address(1)], 0.0, DEFAULT_RETRY_MS);
        retry.record_result(10.0, Ok(response(503, &[("Retry-After", value)], "")));
        assert_eq!(retry.step(10.0), Step::Backoff(pause), "{value}");
    }
}

#[test]
fn redirects_are_followed_at_once_and_twice_for_each_address() {
    let redirect_to = |to: &str| Ok(response(307, &[("Location", to)], ""));
    let mut retry = Retry::new(&[address(1), address(2)], 0.0, DEFAULT_RETRY_MS);
    for (at, target) in [(7, "/v1/configuration/read"), (8, "/other")] {
        retry.record_result(
            0.0,
            redirect_to(&format!("http://10.1.0.{at}:8166{target}")),
        );
        let expected = Step::Attempt {
            address: address(at),
            target: Some(target.to_owned()),
        };
        assert_eq!(retry.step(0.0), expected);
    }
    retry.record_result(0.0, redirect_to("http://10.1.0.9:8166/"));
    assert_eq!(retry.step(0.0), Step::Backoff(INITIAL_BACKOFF_MS));
    assert_eq!(
        retry.step(INITIAL_BACKOFF_MS),
        Step::Attempt {
            address: address(2),
            target: None
        }
    );
    retry.record_result(60.0, redirect_to("http://10.1.0.9:8166"));
    assert_eq!(
        retry.step(60.0),
        Step::Attempt {
            address: address(9),
            target: Some("/".to_owned())
        }
    );
}

#[test]
fn redirects_without_an_ip_address_are_failures() {
    for to in [
        "",
        "/path",
        "https://10.1.0.9:8166/",
        "http://control.example/",
        "http://10.1.0.9/",
        "http://10.1.0.9:8166/a b",
    ] {
        let mut retry = Retry::new(&[address(1), address(2)], 0.0, DEFAULT_RETRY_MS);
        retry.record_result(0.0, Ok(response(307, &[("Location", to)], "")));
        assert_eq!(retry.step(0.0), Step::Backoff(INITIAL_BACKOFF_MS), "{to}");
    }
}

#[test]
fn evacuations_are_retried_only_for_a_limited_time() {
    assert_eq!(
        Call::evacuate("a", true).retry_period(None),
        MAX_EVACUATION_RETRY_MS
    );
    assert_eq!(
        Call::evacuate("a", false).retry_period(Some(60_000.0)),
        MAX_EVACUATION_RETRY_MS
    );
    assert_eq!(Call::evacuate("a", false).retry_period(Some(100.0)), 100.0);
    assert_eq!(
        Call::replace(0, Vec::new()).retry_period(None),
        DEFAULT_RETRY_MS
    );
    assert_eq!(
        Call::update(1, Vec::new()).retry_period(Some(60_000.0)),
        60_000.0
    );
    assert_eq!(Call::read().retry_period(Some(60_000.0)), 60_000.0);
}

#[test]
fn response_timeout_grows_with_the_body() {
    assert_eq!(Call::read().response_timeout(), 1000.0);
    assert_eq!(
        Call::replace(0, vec![b' '; 4_000_000]).response_timeout(),
        5000.0
    );
}

#[test]
fn responses_without_a_code_get_one_by_their_status() {
    let cases = [
        (400, "", codes::CONFIGURATION_UNREADABLE),
        (413, "<html>", codes::CONFIGURATION_UNREADABLE),
        (412, "{}", codes::ANOTHER_VERSION),
        (409, "[]", codes::ANOTHER_VERSION),
        (404, "{\"code\":7}", codes::BAD_CALL),
        (503, "{\"code\":\"303\"}", codes::NOT_NOW),
        (400, "{\"code\":\"E206\"}", codes::NO_TIMEOUT),
    ];
    for (status, body, expected) in cases {
        assert_matches!(error_from_response(&response(status, &[], body)), CliError::Coded { code, .. } if code == expected, "{status} {body}");
    }
}
