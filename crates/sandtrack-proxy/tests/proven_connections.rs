//! Idle connections for what may run only once.
mod common;
use common::{balancer, entry};
use sandtrack_proxy::placement::balancer::{Balancer, SendOutcome};

/// Two upstreams of one service and one of another.
fn known() -> Balancer {
    balancer(vec![
        entry("m1", "model", "a"),
        entry("m2", "model", "a"),
        entry("p1", "printer", "a"),
    ])
}

fn place_of(balancer: &Balancer, identifier: &str) -> usize {
    balancer.upstreams.place(identifier).expect("it is listed")
}

#[test]
fn an_upstream_is_proven_alive_for_a_while_after_it_was_heard() {
    let mut balancer = known();
    let (one, other) = (place_of(&balancer, "m1"), place_of(&balancer, "m2"));
    let lasts = balancer.policy.proven_alive_ms;
    assert!(
        !balancer.is_proven_alive(1000.0, one),
        "nothing was heard yet"
    );
    balancer.heard(1000.0, one);
    assert!(balancer.is_proven_alive(1000.0 + lasts, one));
    assert!(
        !balancer.is_proven_alive(1001.0 + lasts, one),
        "too long ago"
    );
    assert!(
        !balancer.is_proven_alive(1000.0, other),
        "another one was heard"
    );
}

#[test]
fn one_that_failed_since_is_not_proven_alive() {
    let mut balancer = known();
    let place = place_of(&balancer, "m1");
    balancer.heard(1000.0, place);
    balancer.sent(place);
    balancer.ended(1010.0, place, SendOutcome::ConnectionFailed);
    assert!(!balancer.is_proven_alive(1020.0, place));
}

#[test]
fn an_idle_connection_that_broke_without_a_word_is_a_warning_for_its_whole_service() {
    let mut balancer = known();
    let lasts = balancer.policy.idle_distrust_ms;
    let places = ["m1", "m2", "p1"].map(|identifier| place_of(&balancer, identifier));
    places
        .iter()
        .for_each(|place| balancer.heard(1000.0, *place));
    balancer.idle_connection_broke(1000.0, places[0]);
    let proven =
        |balancer: &Balancer, now: f64| places.map(|place| balancer.is_proven_alive(now, place));
    assert_eq!(proven(&balancer, 1100.0), [false, false, true]);
    places
        .iter()
        .for_each(|place| balancer.heard(1000.0 + lasts, *place));
    assert_eq!(proven(&balancer, 1000.0 + lasts), [true, true, true]);
}
