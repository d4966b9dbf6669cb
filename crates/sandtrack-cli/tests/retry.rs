//! What is tried next, with a played clock: no socket, no waiting.
use assert_matches::assert_matches;
use sandtrack_cli::call::{told, Call, ORDER_MS, REPEAT_MS};
use sandtrack_cli::error::CliError;
use sandtrack_cli::retry::{Retry, Step, PAUSE_FIRST_MS, PAUSE_MOST_MS};
use sandtrack_cli::transport::TransportError;
use sandtrack_protocol::codes;
use sandtrack_sidecar_core::message::{Head, Headers, Message};
use std::net::SocketAddr;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, last], 8166))
}

fn answer(status: u16, headers: &[(&str, &str)], body: &str) -> Message {
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

fn plain(status: u16) -> Result<Message, TransportError> {
    Ok(answer(status, &[], ""))
}

/// Plays a call whose every try comes to the same, each taking `takes` ms: when each try began and where it went, how it
/// ended and when.
fn play(
    addresses: &[SocketAddr],
    length: f64,
    takes: f64,
    result: &Result<Message, TransportError>,
) -> (Vec<(f64, SocketAddr)>, Step, f64) {
    let (mut now, mut tries) = (1000.0, Vec::new());
    let mut retry = Retry::new(addresses, now, now + length);
    loop {
        match retry.step(now) {
            Step::Pause(pause) => now += pause,
            Step::Try { address, .. } => {
                tries.push((now, address));
                now += takes;
                retry.came(now, result.clone());
            }
            end => return (tries, end, now),
        }
        assert!(tries.len() < 1000, "it never ends");
    }
}

#[test]
fn each_failure_moves_on_to_the_next_address_after_a_pause_that_grows_up_to_a_bound() {
    let addresses = [address(1), address(2), address(3)];
    let silent = Err(TransportError::Silent);
    let (tries, end, _) = play(&addresses, REPEAT_MS, 1000.0, &silent);
    for (at, (_, address)) in tries.iter().enumerate() {
        assert_eq!(*address, addresses[at % 3]);
    }
    let pauses: Vec<f64> = tries
        .windows(2)
        .map(|pair| pair[1].0 - pair[0].0 - 1000.0)
        .collect();
    assert_eq!(pauses[..6], [50.0, 100.0, 200.0, 400.0, 800.0, 1000.0]);
    assert!(
        pauses
            .iter()
            .all(|pause| (PAUSE_FIRST_MS..=PAUSE_MOST_MS).contains(pause)),
        "{pauses:?}"
    );
    assert_matches!(
        end,
        Step::GivenUp {
            unclear: true,
            last: Some(Err(TransportError::Silent))
        }
    );
}

#[test]
fn nothing_is_sent_after_its_time_and_the_rest_of_it_is_not_waited_for() {
    for takes in [0.0, 7.0, 130.0, 999.0, 1000.0, 4999.0, 5000.0, 9000.0] {
        let (tries, end, over) = play(&[address(1), address(2)], ORDER_MS, takes, &plain(503));
        assert!(
            tries.iter().all(|(at, _)| *at <= 1000.0 + ORDER_MS),
            "{takes}: {tries:?}"
        );
        assert_matches!(end, Step::GivenUp { .. });
        assert!(over <= 1000.0 + ORDER_MS + takes, "{takes}: over at {over}");
    }
}

#[test]
fn these_answers_end_a_call_at_once() {
    for status in [200, 201, 204, 400, 409, 412, 413, 422] {
        let (tries, end, _) = play(&[address(1), address(2)], REPEAT_MS, 1.0, &plain(status));
        assert_eq!(tries.len(), 1, "{status}");
        assert_matches!(end, Step::Answered(answer) if answer.head.status == status);
    }
}

#[test]
fn any_other_4xx_ends_it_at_the_third_try() {
    for status in [401, 403, 404, 405, 410, 421, 431, 451] {
        let (tries, end, _) = play(&[address(1), address(2)], REPEAT_MS, 1.0, &plain(status));
        assert_eq!(
            tries
                .iter()
                .map(|(_, address)| *address)
                .collect::<Vec<_>>(),
            [1, 2, 1].map(address)
        );
        assert_matches!(end, Step::Answered(answer) if answer.head.status == status);
    }
}

#[test]
fn these_answers_and_every_failure_are_repeated_until_the_time_is_over() {
    let failures = [
        Err(TransportError::NotConnected(
            std::io::ErrorKind::ConnectionRefused,
        )),
        Err(TransportError::Silent),
        Err(TransportError::Broken),
        Err(TransportError::Garbled),
    ];
    let statuses = [408, 429, 500, 501, 502, 503, 504, 302].map(plain);
    for result in failures.iter().chain(&statuses) {
        let (tries, end, _) = play(&[address(1)], REPEAT_MS, 1.0, result);
        assert!(tries.len() > 15, "{result:?}: {} tries", tries.len());
        assert_matches!(end, Step::GivenUp { last: Some(last), .. } if last == *result);
    }
}

#[test]
fn whether_it_may_be_in_force_is_told_by_every_try() {
    let coded = |code: &str| Ok(answer(503, &[], &format!("{{\"code\":\"{code}\"}}")));
    let clear = [
        Err(TransportError::NotConnected(
            std::io::ErrorKind::ConnectionRefused,
        )),
        coded("E303"),
        coded("E502"),
        plain(429),
        plain(408),
    ];
    for result in &clear {
        let (_, end, _) = play(&[address(1)], REPEAT_MS, 1.0, result);
        assert_matches!(end, Step::GivenUp { unclear: false, .. }, "{result:?}");
    }
    let unclear = [
        Err(TransportError::Silent),
        Err(TransportError::Broken),
        Err(TransportError::Garbled),
        coded("E304"),
        plain(500),
        plain(504),
    ];
    for result in &unclear {
        let mut retry = Retry::new(&[address(1)], 0.0, 1000.0);
        retry.came(0.0, result.clone());
        retry.came(100.0, coded("E303"));
        assert!(
            retry.is_unclear(),
            "{result:?}: a later clear no does not undo it"
        );
    }
}

#[test]
fn retry_after_stretches_a_pause_up_to_its_bound() {
    for (value, pause) in [
        ("0.2", 200.0),
        ("0", 50.0),
        ("7", 1000.0),
        ("soon", 50.0),
        ("-1", 50.0),
        ("NaN", 50.0),
    ] {
        let mut retry = Retry::new(&[address(1)], 0.0, REPEAT_MS);
        retry.came(10.0, Ok(answer(503, &[("Retry-After", value)], "")));
        assert_eq!(retry.step(10.0), Step::Pause(pause), "{value}");
    }
}

#[test]
fn a_redirect_is_followed_at_once_and_twice_for_each_address_asked() {
    let sent_on = |to: &str| Ok(answer(307, &[("Location", to)], ""));
    let mut retry = Retry::new(&[address(1), address(2)], 0.0, REPEAT_MS);
    for (at, target) in [(7, "/v1/configuration/read"), (8, "/other")] {
        retry.came(0.0, sent_on(&format!("http://10.1.0.{at}:8166{target}")));
        let expected = Step::Try {
            address: address(at),
            target: Some(target.to_owned()),
        };
        assert_eq!(retry.step(0.0), expected);
    }
    retry.came(0.0, sent_on("http://10.1.0.9:8166/"));
    assert_eq!(retry.step(0.0), Step::Pause(PAUSE_FIRST_MS));
    assert_eq!(
        retry.step(PAUSE_FIRST_MS),
        Step::Try {
            address: address(2),
            target: None
        }
    );
    retry.came(60.0, sent_on("http://10.1.0.9:8166"));
    assert_eq!(
        retry.step(60.0),
        Step::Try {
            address: address(9),
            target: Some("/".to_owned())
        }
    );
}

#[test]
fn a_redirect_that_names_no_address_is_a_failure() {
    for to in [
        "",
        "/path",
        "https://10.1.0.9:8166/",
        "http://control.example/",
        "http://10.1.0.9/",
        "http://10.1.0.9:8166/a b",
    ] {
        let mut retry = Retry::new(&[address(1), address(2)], 0.0, REPEAT_MS);
        retry.came(0.0, Ok(answer(307, &[("Location", to)], "")));
        assert_eq!(retry.step(0.0), Step::Pause(PAUSE_FIRST_MS), "{to}");
    }
}

#[test]
fn orders_that_are_no_configurations_are_sent_again_only_for_a_limited_time() {
    assert_eq!(Call::evacuate("a", true).repeat_for(None), ORDER_MS);
    assert_eq!(
        Call::evacuate("a", false).repeat_for(Some(60_000.0)),
        ORDER_MS
    );
    assert_eq!(Call::evacuate("a", false).repeat_for(Some(100.0)), 100.0);
    assert_eq!(Call::replace(0, Vec::new()).repeat_for(None), REPEAT_MS);
    assert_eq!(
        Call::update(1, Vec::new()).repeat_for(Some(60_000.0)),
        60_000.0
    );
    assert_eq!(Call::read().repeat_for(Some(60_000.0)), 60_000.0);
}

#[test]
fn a_second_of_silence_is_a_failure_and_a_large_body_has_more() {
    assert_eq!(Call::read().silence(), 1000.0);
    assert_eq!(Call::replace(0, vec![b' '; 4_000_000]).silence(), 5000.0);
}

#[test]
fn an_answer_without_a_code_of_its_own_has_one_by_its_status() {
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
        assert_matches!(told(&answer(status, &[], body)), CliError::Coded { code, .. } if code == expected, "{status} {body}");
    }
}
