//! Regions at any distance are reached: time-outs follow the way there.
mod common;
use common::{balancer, entry, request};
use sandtrack_protocol::frames::UpstreamEntry;
use sandtrack_proxy::control_session::decisions::connect_timeout;
use sandtrack_proxy::placement::balancer::{Balancer, SendOutcome};
use sandtrack_proxy::placement::choice::Placed;
use sandtrack_proxy::placement::region_trips::RegionTrips;
use sandtrack_proxy::policy::Policy;

/// One-way delays in ms.
const WAYS: [f64; 10] = [
    1.0, 5.0, 20.0, 35.0, 75.0, 100.0, 140.0, 300.0, 600.0, 1000.0,
];
const AIM: f64 = 1000.0;

fn far_fleet() -> Vec<UpstreamEntry> {
    (0..4)
        .map(|at| entry(&format!("c{at}"), "model", "c"))
        .collect()
}

#[test]
fn probes_measure_a_way_of_any_length_within_few_tries() {
    let policy = Policy::default();
    for way in WAYS {
        let mut trips = RegionTrips::default();
        // A connection and an answer on it.
        let takes = 4.0 * way;
        let mut tries = 0;
        while trips.get("south").is_none() && tries < 8 {
            tries += 1;
            match takes <= trips.probe_timeout(0.0, "south", None, &policy) {
                true => trips.sample(0.0, "south", 2.0 * way, &policy),
                false => trips.timed_out(0.0, "south"),
            }
        }
        assert_eq!(
            trips.get("south"),
            Some(2.0 * way),
            "{way} ms one way, {tries} tries"
        );
        assert!(tries <= 3, "{way} ms one way: {tries} tries");
        let takes_next = 2.0 * way;
        assert!(
            trips.connect_timeout("south", AIM, &policy) > takes_next,
            "{way} ms one way"
        );
        assert!(
            trips.probe_timeout(0.0, "south", None, &policy) > takes,
            "{way} ms one way"
        );
    }
}

#[test]
fn requests_alone_reach_a_region_whose_way_fits_their_aim() {
    let policy = Policy::default();
    for way in WAYS.into_iter().filter(|way| 2.0 * way <= AIM) {
        let mut trips = RegionTrips::default();
        let mut tries = 0;
        while trips.get("south").is_none() && tries < 16 {
            tries += 1;
            match 2.0 * way <= trips.connect_timeout("south", AIM, &policy) {
                true => trips.sample(0.0, "south", 2.0 * way, &policy),
                false => trips.timed_out(0.0, "south"),
            }
        }
        assert!(tries <= 4, "{way} ms one way: {tries} tries");
    }
}

/// Upstreams behind a way of this length; whether one of them is sent to once all have been tried.
fn is_reached(balancer: &mut Balancer, way: f64) -> bool {
    let request = request(balancer, "/letters/1", &[]);
    let mut now = 0.0;
    for _ in 0..20 {
        now += 200.0;
        let Placed::Send(place) = balancer.place(now, &request, &[]) else {
            continue;
        };
        balancer.sent(place);
        if 2.0 * way <= balancer.connect_timeout(&request, place) {
            balancer.note_trip(now, place, 2.0 * way);
            balancer.ended(now, place, SendOutcome::Completed);
            return true;
        }
        balancer.connect_timed_out(now, place);
        balancer.ended(now, place, SendOutcome::ConnectionFailed);
    }
    false
}

#[test]
fn time_outs_on_an_unknown_way_blame_no_upstream() {
    for way in [140.0, 300.0] {
        let mut balancer = balancer(far_fleet());
        assert!(is_reached(&mut balancer, way), "{way} ms one way");
        let all: Vec<usize> = balancer.upstreams.listed().collect();
        let blamed = all
            .iter()
            .filter(|place| !balancer.upstreams.get(**place).run.is_empty())
            .count();
        assert_eq!(blamed, 0, "{way} ms one way");
    }
}

#[test]
fn the_loss_of_a_region_that_is_known_is_told_as_soon_as_before() {
    let mut balancer = balancer(far_fleet());
    let place = balancer.upstreams.place("c0").expect("it is listed");
    balancer.note_trip(0.0, place, 70.0);
    let request = request(&balancer, "/letters/1", &[]);
    for at in 0..5 {
        let now = 100.0 + f64::from(at);
        assert!(
            balancer.connect_timeout(&request, place) <= 150.0 + 2.0 * 70.0,
            "however many failed"
        );
        balancer.sent(place);
        balancer.connect_timed_out(now, place);
        balancer.ended(now, place, SendOutcome::ConnectionFailed);
    }
    assert!(
        !balancer.upstreams.get(place).run.is_healthy(),
        "and counts against the upstream"
    );
}

#[test]
fn a_way_that_became_longer_is_measured_anew() {
    let policy = Policy::default();
    let mut trips = RegionTrips::default();
    trips.sample(0.0, "south", 4.0, &policy);
    // Now a way and back takes 600 ms, a probe on a new connection 1,200.
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
fn an_answer_is_not_overdue_before_the_way_there_and_back() {
    let mut balancer = balancer(far_fleet());
    let place = balancer.upstreams.place("c0").expect("it is listed");
    let request = request(&balancer, "/letters/1", &[]);
    for way in WAYS {
        balancer.note_trip(0.0, place, 2.0 * way);
        let trip = balancer.region_trip("south").expect("it was measured");
        assert!(
            balancer.patience(&request, place) >= 2.0 * trip,
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
