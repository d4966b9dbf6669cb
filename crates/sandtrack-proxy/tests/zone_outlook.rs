//! Zones that look lost as a whole.
mod common;
use common::{balancer, entry, probe_all, request};
use sandtrack_proxy::placement::balancer::{Balancer, SendOutcome};
use sandtrack_proxy::placement::choice::Placed;
use sandtrack_proxy::placement::zone_outlook::ZoneOutlook;
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

fn place_of(balancer: &Balancer, identifier: &str) -> usize {
    balancer.upstreams.place(identifier).expect("it is listed")
}

/// A send to this upstream comes to nothing.
fn break_one(balancer: &mut Balancer, now: f64, identifier: &str) {
    let place = place_of(balancer, identifier);
    balancer.sent(place);
    balancer.ended(now, place, SendOutcome::ConnectionFailed);
}

/// Zones to which 200 requests go at this time.
fn zones_drawn(balancer: &mut Balancer, now: f64) -> BTreeSet<String> {
    let request = request(balancer, "/letters/1", &[]);
    let mut zones = BTreeSet::new();
    for _ in 0..200 {
        if let Placed::Send(place) = balancer.place(now, &request, &[]) {
            zones.insert(balancer.upstreams.get(place).entry.zone.clone());
        }
    }
    zones
}

#[test]
fn a_zone_is_silent_once_two_of_it_failed_and_none_was_heard_since() {
    let mut outlook = ZoneOutlook::default();
    assert!(!outlook.failed(0.0, "a", "a1"));
    assert!(!outlook.failed(0.0, "a", "a1"), "the same one twice is one");
    assert!(
        !outlook.failed(0.0, "b", "b1"),
        "another zone's do not count"
    );
    assert!(outlook.failed(0.0, "a", "a2"));
    assert!(!outlook.failed(0.0, "a", "a3"), "it is told once");
    assert!(outlook.is_silent(0.0, "a") && !outlook.is_silent(0.0, "b"));
    outlook.heard("a");
    assert!(!outlook.is_silent(0.0, "a"));
}

#[test]
fn a_zone_that_fell_silent_gets_nothing_until_one_of_it_is_heard() {
    let mut balancer = two_zones();
    break_one(&mut balancer, 1000.0, "b0");
    assert_eq!(
        zones_drawn(&mut balancer, 1200.0).len(),
        2,
        "one failure says nothing of its zone"
    );
    break_one(&mut balancer, 1300.0, "b1");
    assert_eq!(
        zones_drawn(&mut balancer, 1500.0)
            .into_iter()
            .collect::<Vec<_>>(),
        ["a"]
    );
    let heard = place_of(&balancer, "b2");
    balancer.heard(1600.0, heard);
    assert_eq!(zones_drawn(&mut balancer, 1700.0).len(), 2);
}

#[test]
fn those_of_a_silent_zone_are_probed_at_once() {
    let mut balancer = two_zones();
    break_one(&mut balancer, 1000.0, "b0");
    balancer.probes_due(1000.0);
    break_one(&mut balancer, 1010.0, "b1");
    let due = balancer.probes_due(1010.0);
    let zones: BTreeSet<String> = due
        .iter()
        .map(|(place, ..)| balancer.upstreams.get(*place).entry.zone.clone())
        .collect();
    assert_eq!(due.len(), 2, "b1 and b2, b0 is under way: {due:?}");
    assert_eq!(zones.into_iter().collect::<Vec<_>>(), ["b"]);
}

#[test]
fn where_every_zone_looks_lost_the_signs_are_wrong() {
    let mut balancer = two_zones();
    for identifier in ["a0", "a1", "b0", "b1"] {
        break_one(&mut balancer, 1000.0, identifier);
    }
    assert_eq!(zones_drawn(&mut balancer, 1300.0).len(), 2);
}

#[test]
fn a_failure_counts_until_its_upstream_would_have_been_asked_again() {
    let mut outlook = ZoneOutlook::default();
    outlook.failed(0.0, "a", "a1");
    assert!(
        !outlook.failed(5001.0, "a", "a2"),
        "the other failure is too old"
    );
    assert!(outlook.failed(5002.0, "a", "a3"));
    assert!(outlook.is_silent(10_001.0, "a") && !outlook.is_silent(10_002.0, "a"));
}

/// Nothing of the zone is in use, so that none of the others is probed: only time can tell that it is back.
#[test]
fn a_zone_whose_failed_ones_are_gone_for_good_is_used_again() {
    let mut balancer = two_zones();
    break_one(&mut balancer, 1000.0, "b0");
    break_one(&mut balancer, 1000.0, "b1");
    assert_eq!(zones_drawn(&mut balancer, 1200.0).len(), 1);
    for identifier in ["b0", "b1"] {
        balancer.upstreams.gone(identifier);
    }
    assert_eq!(zones_drawn(&mut balancer, 6001.0).len(), 2);
}
