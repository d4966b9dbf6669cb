//! Which control node a proxy is with: pure decisions, on a clock that is only counted.
use sandtrack_protocol::frames::FORMAT;
use sandtrack_protocol::settings::Settings;
use sandtrack_proxy::control_session::decisions::{
    candidates, judge_welcome, Accepted, Refused, Standing, DETACHED_LOOK_MS,
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
fn its_own_comes_first_then_those_named_then_the_seeds_each_once() {
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
fn one_that_is_ready_accepts_a_detached_one_only_after_a_round_in_vain() {
    let rounds: Vec<Accepted> = (0..4).map(|vain| Accepted::in_round(true, vain)).collect();
    assert_eq!(
        rounds,
        [
            Accepted::Attached,
            Accepted::Any,
            Accepted::Attached,
            Accepted::Any
        ]
    );
    assert!((0..4).all(|vain| Accepted::in_round(false, vain) == Accepted::Any));
}

#[test]
fn a_welcome_is_judged_by_its_format_and_its_majority() {
    assert_eq!(judge_welcome(FORMAT, true, Accepted::Attached), Ok(()));
    assert_eq!(judge_welcome(FORMAT, false, Accepted::Any), Ok(()));
    assert_eq!(
        judge_welcome(FORMAT, false, Accepted::Attached),
        Err(Refused::Detached)
    );
    assert_eq!(
        judge_welcome(FORMAT + 1, true, Accepted::Any),
        Err(Refused::Format(FORMAT + 1))
    );
}

#[test]
fn the_others_are_asked_only_while_its_own_is_detached_and_not_all_the_time() {
    let mut standing = Standing::new(0.0, true);
    assert!(!standing.take_look(5_000.0), "it hears a majority");
    standing.beat(5_000.0, false);
    standing.beat(5_250.0, false);
    assert!(
        !standing.take_look(5_000.0 + DETACHED_LOOK_MS),
        "a repair of the chain passes"
    );
    assert!(standing.take_look(5_001.0 + DETACHED_LOOK_MS));
    assert!(
        !standing.take_look(5_900.0 + DETACHED_LOOK_MS),
        "it asked a moment ago"
    );
    assert!(standing.take_look(5_002.0 + 2.0 * DETACHED_LOOK_MS));
    standing.beat(8_000.0, true);
    assert!(!standing.take_look(20_000.0));
}
