//! Idle connections for non-idempotent requests.
mod common;
use common::{balancer, entry, index_of};
use sandtrack_proxy::placement::balancer::{Balancer, SendOutcome};

/// Two upstreams of one service and one of another.
fn known() -> Balancer {
    balancer(vec![
        entry("m1", "model", "a"),
        entry("m2", "model", "a"),
        entry("p1", "printer", "a"),
    ])
}

#[test]
fn idle_connections_are_trusted_for_a_while_after_their_upstream_was_seen() {
    let mut balancer = known();
    let (one, other) = (index_of(&balancer, "m1"), index_of(&balancer, "m2"));
    let lasts = balancer.policy.idle_trust_ms;
    assert!(
        !balancer.allows_idle_connection_reuse(1000.0, one),
        "never seen yet"
    );
    balancer.upstream_seen(1000.0, one);
    assert!(balancer.allows_idle_connection_reuse(1000.0 + lasts, one));
    assert!(
        !balancer.allows_idle_connection_reuse(1001.0 + lasts, one),
        "too long ago"
    );
    assert!(
        !balancer.allows_idle_connection_reuse(1000.0, other),
        "another one was seen"
    );
}

#[test]
fn idle_connections_are_not_trusted_after_a_failure() {
    let mut balancer = known();
    let index = index_of(&balancer, "m1");
    balancer.upstream_seen(1000.0, index);
    balancer.send_started(index);
    balancer.send_finished(1010.0, index, SendOutcome::ConnectionFailed);
    assert!(!balancer.allows_idle_connection_reuse(1020.0, index));
}

#[test]
fn an_idle_connection_found_closed_is_a_warning_for_its_whole_service() {
    let mut balancer = known();
    let lasts = balancer.policy.idle_distrust_ms;
    let indices = ["m1", "m2", "p1"].map(|identifier| index_of(&balancer, identifier));
    indices
        .iter()
        .for_each(|index| balancer.upstream_seen(1000.0, *index));
    balancer.idle_connection_failed(1000.0, indices[0]);
    let proven = |balancer: &Balancer, now: f64| {
        indices.map(|index| balancer.allows_idle_connection_reuse(now, index))
    };
    assert_eq!(proven(&balancer, 1100.0), [false, false, true]);
    indices
        .iter()
        .for_each(|index| balancer.upstream_seen(1000.0 + lasts, *index));
    assert_eq!(proven(&balancer, 1000.0 + lasts), [true, true, true]);
}
