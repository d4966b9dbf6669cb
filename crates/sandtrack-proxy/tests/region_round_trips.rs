//! Regions at any distance are reached: time-outs follow the measured round trip.
mod common;
use common::{balancer, entry, index_of, request};
use sandtrack_protocol::frames::UpstreamEntry;
use sandtrack_proxy::control_session::decisions::connect_timeout;
use sandtrack_proxy::placement::balancer::{Balancer, SendOutcome};
use sandtrack_proxy::placement::region_round_trips::RegionRoundTrips;
use sandtrack_proxy::placement::selection::Placement;
use sandtrack_proxy::policy::Policy;

/// One-way delays in ms.
const WAYS: [f64; 10] = [
    1.0, 5.0, 20.0, 35.0, 75.0, 100.0, 140.0, 300.0, 600.0, 1000.0,
];
const LATENCY_TARGET: f64 = 1000.0;

fn far_fleet() -> Vec<UpstreamEntry> {
    (0..4)
        .map(|at| entry(&format!("c{at}"), "model", "c"))
        .collect()
}

#[test]
fn probes_measure_a_round_trip_of_any_length_within_few_attempts() {
    let policy = Policy::default();
    for way in WAYS {
        let mut trips = RegionRoundTrips::default();
        // A connection and a response on it.
        let takes = 4.0 * way;
        let mut attempts = 0;
        while trips.get("south").is_none() && attempts < 8 {
            attempts += 1;
            match takes <= trips.probe_timeout(0.0, "south", None, &policy) {
                true => trips.sample(0.0, "south", 2.0 * way, &policy),
                false => trips.timed_out(0.0, "south"),
            }
        }
        assert_eq!(
            trips.get("south"),
            Some(2.0 * way),
            "{way} ms one way, {attempts} tries"
        );
        assert!(attempts <= 3, "{way} ms one way: {attempts} tries");
        let takes_next = 2.0 * way;
        assert!(
            trips.connect_timeout("south", LATENCY_TARGET, &policy) > takes_next,
            "{way} ms one way"
        );
        assert!(
            trips.probe_timeout(0.0, "south", None, &policy) > takes,
            "{way} ms one way"
        );
    }
}

#[test]
fn requests_alone_reach_a_region_whose_round_trip_fits_their_latency_target() {
    let policy = Policy::default();
    for way in WAYS.into_iter().filter(|way| 2.0 * way <= LATENCY_TARGET) {
        let mut trips = RegionRoundTrips::default();
        let mut attempts = 0;
        while trips.get("south").is_none() && attempts < 16 {
            attempts += 1;
            match 2.0 * way <= trips.connect_timeout("south", LATENCY_TARGET, &policy) {
                true => trips.sample(0.0, "south", 2.0 * way, &policy),
                false => trips.timed_out(0.0, "south"),
            }
        }
        assert!(attempts <= 4, "{way} ms one way: {attempts} tries");
    }
}

/// Whether a request is connected to an upstream at this one-way delay, after some attempts.
fn is_reached(balancer: &mut Balancer, way: f64) -> bool {
    let request = request(balancer, "/letters/1", &[]);
    let mut now = 0.0;
    for _ in 0..20 {
        now += 200.0;
        let Placement::Send(index) = balancer.choose_upstream(now, &request, &[]) else {
            continue;
        };
        balancer.send_started(index);
        if 2.0 * way <= balancer.connect_timeout(&request, index) {
            balancer.record_round_trip(now, index, 2.0 * way);
            balancer.send_finished(now, index, SendOutcome::Completed);
            return true;
        }
        balancer.connect_timed_out(now, index);
        balancer.send_finished(now, index, SendOutcome::ConnectionFailed);
    }
    false
}

#[test]
fn time_outs_on_an_unknown_round_trip_count_against_no_upstream() {
    for way in [140.0, 300.0] {
        let mut balancer = balancer(far_fleet());
        assert!(is_reached(&mut balancer, way), "{way} ms one way");
        let all: Vec<usize> = balancer.upstreams.listed().collect();
        let blamed = all
            .iter()
            .filter(|index| !balancer.upstreams.get(**index).failures.is_empty())
            .count();
        assert_eq!(blamed, 0, "{way} ms one way");
    }
}

#[test]
fn the_loss_of_a_measured_region_is_detected_after_one_round_trip() {
    let mut balancer = balancer(far_fleet());
    let index = index_of(&balancer, "c0");
    balancer.record_round_trip(0.0, index, 70.0);
    let request = request(&balancer, "/letters/1", &[]);
    for at in 0..5 {
        let now = 100.0 + f64::from(at);
        assert!(
            balancer.connect_timeout(&request, index) <= 150.0 + 2.0 * 70.0,
            "however many failed"
        );
        balancer.send_started(index);
        balancer.connect_timed_out(now, index);
        balancer.send_finished(now, index, SendOutcome::ConnectionFailed);
    }
    assert!(
        !balancer.upstreams.get(index).failures.is_healthy(),
        "and counts against the upstream"
    );
}

#[test]
fn a_round_trip_that_became_longer_is_measured_anew() {
    let policy = Policy::default();
    let mut trips = RegionRoundTrips::default();
    trips.sample(0.0, "south", 4.0, &policy);
    // Now a round trip takes 600 ms, a probe on a new connection 1,200.
    let mut now = 100.0;
    while 1200.0 > trips.probe_timeout(now, "south", Some(4.0), &policy) {
        trips.timed_out(now, "south");
        now += 1200.0;
        assert!(now < 20_000.0, "never measured again");
    }
    trips.sample(now, "south", 600.0, &policy);
    assert_eq!(trips.get("south"), Some(600.0));
}

#[test]
fn a_request_is_not_hedged_before_a_round_trip() {
    let mut balancer = balancer(far_fleet());
    let index = index_of(&balancer, "c0");
    let request = request(&balancer, "/letters/1", &[]);
    for way in WAYS {
        balancer.record_round_trip(0.0, index, 2.0 * way);
        let trip = balancer
            .region_round_trip("south")
            .expect("it was measured");
        assert!(
            balancer.hedge_delay(&request, index) >= 2.0 * trip,
            "{way} ms one way"
        );
    }
}

#[test]
fn a_session_reaches_control_nodes_at_any_distance() {
    for way in WAYS {
        let reached =
            (0..8).find(|vain| connect_timeout(*vain).as_secs_f64() * 1000.0 >= 2.0 * way);
        assert!(reached.is_some(), "{way} ms one way");
    }
    assert_eq!(
        connect_timeout(0).as_millis(),
        350,
        "a dead one holds up the first round no longer than before"
    );
}
