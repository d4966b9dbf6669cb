//! Which control node a proxy is with: pure decisions, on a clock that is only counted.
use sandtrack_protocol::frames::FORMAT;
use sandtrack_protocol::settings::Settings;
use sandtrack_proxy::control_session::decisions::{
    candidates, check_welcome, AcceptedNodes, Attachment, WelcomeError, DETACHED_SEARCH_INTERVAL_MS,
};

fn settings(loss_counted: bool) -> Settings {
    let text = format!(
        r#"{{"node_name":"front-a-1","role":"proxy","ip_address":"10.1.0.1","zone":"a","region":"north",
        "zones":{{"a":"north"}},"listen_addresses":{{"front":"10.1.0.1:8161"}},"internal_port_range":[7720,7735],
        "seed_nodes":["10.2.0.1:8166","10.1.0.1:8166"],"first_start":true,"loss_counted":{loss_counted}}}"#
    );
    Settings::parse(text.into_bytes()).expect("settings")
}

#[test]
fn candidates_are_the_own_node_then_named_ones_then_seeds_each_once() {
    let named = ["10.3.0.1:7721".to_owned(), "10.2.0.1:7721".to_owned()];
    assert_eq!(
        candidates(&settings(true), &named),
        ["10.1.0.1:7721", "10.3.0.1:7721", "10.2.0.1:7721"]
    );
    assert_eq!(
        candidates(&settings(false), &[]),
        ["10.2.0.1:7721", "10.1.0.1:7721"]
    );
}

#[test]
fn a_ready_proxy_accepts_a_detached_node_only_after_a_failed_round() {
    let rounds: Vec<AcceptedNodes> = (0..4)
        .map(|vain| AcceptedNodes::for_round(true, vain))
        .collect();
    assert_eq!(
        rounds,
        [
            AcceptedNodes::Attached,
            AcceptedNodes::Any,
            AcceptedNodes::Attached,
            AcceptedNodes::Any
        ]
    );
    assert!((0..4).all(|vain| AcceptedNodes::for_round(false, vain) == AcceptedNodes::Any));
}

#[test]
fn a_welcome_is_checked_for_its_format_and_majority() {
    assert_eq!(check_welcome(FORMAT, true, AcceptedNodes::Attached), Ok(()));
    assert_eq!(check_welcome(FORMAT, false, AcceptedNodes::Any), Ok(()));
    assert_eq!(
        check_welcome(FORMAT, false, AcceptedNodes::Attached),
        Err(WelcomeError::Detached)
    );
    assert_eq!(
        check_welcome(FORMAT + 1, true, AcceptedNodes::Any),
        Err(WelcomeError::Format(FORMAT + 1))
    );
}

#[test]
fn an_attached_node_is_searched_for_only_while_detached_and_at_intervals() {
    let mut attachment = Attachment::new(0.0, true);
    assert!(!attachment.take_search_due(5_000.0), "it hears a majority");
    attachment.on_heartbeat(5_000.0, false);
    attachment.on_heartbeat(5_250.0, false);
    assert!(
        !attachment.take_search_due(5_000.0 + DETACHED_SEARCH_INTERVAL_MS),
        "a repair of the chain passes"
    );
    assert!(attachment.take_search_due(5_001.0 + DETACHED_SEARCH_INTERVAL_MS));
    assert!(
        !attachment.take_search_due(5_900.0 + DETACHED_SEARCH_INTERVAL_MS),
        "it asked a moment ago"
    );
    assert!(attachment.take_search_due(5_002.0 + 2.0 * DETACHED_SEARCH_INTERVAL_MS));
    attachment.on_heartbeat(8_000.0, true);
    assert!(!attachment.take_search_due(20_000.0));
}
