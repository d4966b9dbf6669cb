//! Failure detection for whole zones.
mod common;
use common::{balancer, entry, index_of, probe_all, request};
use sandtrack_proxy::placement::balancer::{Balancer, SendOutcome};
use sandtrack_proxy::placement::selection::Placement;
use sandtrack_proxy::placement::zone_health::ZoneFailureDetector;
use std::collections::BTreeSet;

/// Three upstreams in each of two zones of the own region, all probed.
fn two_zones() -> Balancer {
    let names = ["a", "b"]
        .into_iter()
        .flat_map(|zone| (0..3).map(move |at| (zone, at)));
    let mut balancer = balancer(
        names
            .map(|(zone, at)| entry(&format!("{zone}{at}"), "model", zone))
            .collect(),
    );
    probe_all(&mut balancer, 0.0);
    balancer
}

/// A send to this upstream fails.
fn fail_one(balancer: &mut Balancer, now: f64, identifier: &str) {
    let index = index_of(balancer, identifier);
    balancer.send_started(index);
    balancer.send_finished(now, index, SendOutcome::ConnectionFailed);
}

/// Zones to which 200 requests go at this time.
fn zones_picked(balancer: &mut Balancer, now: f64) -> BTreeSet<String> {
    let request = request(balancer, "/letters/1", &[]);
    let mut zones = BTreeSet::new();
    for _ in 0..200 {
        if let Placement::Send(index) = balancer.choose_upstream(now, &request, &[]) {
            zones.insert(balancer.upstreams.get(index).entry.zone.clone());
        }
    }
    zones
}

#[test]
fn a_zone_has_failed_once_two_of_its_upstreams_failed_and_none_was_seen_since() {
    let mut zones = ZoneFailureDetector::default();
    assert!(!zones.upstream_failed(0.0, "a", "a1"));
    assert!(
        !zones.upstream_failed(0.0, "a", "a1"),
        "the same one twice is one"
    );
    assert!(
        !zones.upstream_failed(0.0, "b", "b1"),
        "another zone's do not count"
    );
    assert!(zones.upstream_failed(0.0, "a", "a2"));
    assert!(!zones.upstream_failed(0.0, "a", "a3"), "it is said once");
    assert!(zones.has_failed(0.0, "a") && !zones.has_failed(0.0, "b"));
    zones.upstream_seen("a");
    assert!(!zones.has_failed(0.0, "a"));
}

#[test]
fn a_failed_zone_gets_nothing_until_one_of_its_upstreams_is_seen() {
    let mut balancer = two_zones();
    fail_one(&mut balancer, 1000.0, "b0");
    assert_eq!(
        zones_picked(&mut balancer, 1200.0).len(),
        2,
        "one failure says nothing of its zone"
    );
    fail_one(&mut balancer, 1300.0, "b1");
    assert_eq!(
        zones_picked(&mut balancer, 1500.0)
            .into_iter()
            .collect::<Vec<_>>(),
        ["a"]
    );
    let seen = index_of(&balancer, "b2");
    balancer.upstream_seen(1600.0, seen);
    assert_eq!(zones_picked(&mut balancer, 1700.0).len(), 2);
}

#[test]
fn upstreams_of_a_failed_zone_are_probed_at_once() {
    let mut balancer = two_zones();
    fail_one(&mut balancer, 1000.0, "b0");
    balancer.probes_due(1000.0);
    fail_one(&mut balancer, 1010.0, "b1");
    let due = balancer.probes_due(1010.0);
    let zones: BTreeSet<String> = due
        .iter()
        .map(|probe| balancer.upstreams.get(probe.upstream).entry.zone.clone())
        .collect();
    assert_eq!(due.len(), 2, "b1 and b2, b0 is under way: {due:?}");
    assert_eq!(zones.into_iter().collect::<Vec<_>>(), ["b"]);
}

#[test]
fn where_every_zone_looks_failed_all_are_used() {
    let mut balancer = two_zones();
    for identifier in ["a0", "a1", "b0", "b1"] {
        fail_one(&mut balancer, 1000.0, identifier);
    }
    assert_eq!(zones_picked(&mut balancer, 1300.0).len(), 2);
}

#[test]
fn a_failure_counts_until_its_upstream_would_have_been_probed_again() {
    let mut zones = ZoneFailureDetector::default();
    zones.upstream_failed(0.0, "a", "a1");
    assert!(
        !zones.upstream_failed(5001.0, "a", "a2"),
        "the other failure is too old"
    );
    assert!(zones.upstream_failed(5002.0, "a", "a3"));
    assert!(zones.has_failed(10_001.0, "a") && !zones.has_failed(10_002.0, "a"));
}

/// No other upstream of the zone is in use, so that none is probed: only time can end the failure.
#[test]
fn a_zone_whose_failed_upstreams_were_removed_is_used_again() {
    let mut balancer = two_zones();
    fail_one(&mut balancer, 1000.0, "b0");
    fail_one(&mut balancer, 1000.0, "b1");
    assert_eq!(zones_picked(&mut balancer, 1200.0).len(), 1);
    for identifier in ["b0", "b1"] {
        balancer.upstreams.remove(identifier);
    }
    assert_eq!(zones_picked(&mut balancer, 6001.0).len(), 2);
}
