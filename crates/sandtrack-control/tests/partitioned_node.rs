//! A control node that is cut off from the others for twenty seconds while operators call both sides.
mod common;
use common::cluster::Cluster;
use common::{is_definite, valid_configuration};

const REPLACE: &str = "/v1/configuration/replace";
const READ: &str = "/v1/configuration/read";
const CUT_MS: f64 = 20_000.0;
/// From then on after the cut began, the others answer each call at once.
const REPAIRED_MS: f64 = 3000.0;
/// It answers again so many ms after the cut.
const CATCH_UP_MS: f64 = 4000.0;
const CALL_EVERY_MS: f64 = 400.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Both,
    Outward,
    Inward,
}

/// The version that an answer of 412 names.
fn current_told(cluster: &Cluster, call: u64) -> Option<u64> {
    let (_, reply) = cluster
        .answer(call)
        .filter(|(_, reply)| reply.status == 412)?;
    let after = reply.body.split("current ").nth(1)?;
    after.split('"').next()?.parse().ok()
}

fn cut(cluster: &mut Cluster, one: usize, way: Way) {
    for other in (1..=3).filter(|other| *other != one) {
        if way != Way::Inward {
            cluster.cut_one_way(one, other, true);
        }
        if way != Way::Outward {
            cluster.cut_one_way(other, one, true);
        }
    }
}

fn play(one: usize, way: Way) {
    let case = format!("{one} is cut off, {way:?}");
    let other = one % 3 + 1;
    let mut cluster = Cluster::configured(3);
    cut(&mut cluster, one, way);
    let began = cluster.now;
    let mut version = 7;
    while cluster.now - began < CUT_MS {
        let at = cluster.now - began;
        let here = [
            cluster.call(
                one,
                "POST",
                REPLACE,
                version,
                &valid_configuration(version + 1),
            ),
            cluster.call(
                one,
                "POST",
                REPLACE,
                version - 1,
                &valid_configuration(version + 2),
            ),
            cluster.call(one, "POST", "/v1/evacuation/kita-hall/begin", 0, ""),
            cluster.call(one, "GET", READ, 0, ""),
        ];
        let there = cluster.call(
            other,
            "POST",
            REPLACE,
            version,
            &valid_configuration(version + 3),
        );
        cluster.run(CALL_EVERY_MS.max(if at < REPAIRED_MS { 950.0 } else { 0.0 }));
        if cluster.status(there) == Some(200) {
            version += 3;
        } else if let (Way::Inward, Some(current)) = (way, current_told(&cluster, there)) {
            // An order of the deaf one came through, though its caller never hears of it.
            version = current;
        } else {
            // What is not acknowledged in time may be taken later; the operator sends it again.
            assert!(
                at < REPAIRED_MS,
                "{case}: after {at} ms {other} answers {:?}",
                cluster.answer(there)
            );
        }
        if at > 0.0 {
            cluster.run(900.0 - CALL_EVERY_MS);
        }
        for call in here {
            let answer = cluster.answer(call);
            let definite = answer.is_some_and(|(_, reply)| is_definite(reply));
            assert!(!definite, "{case}: it answers {answer:?} after {at} ms");
        }
    }
    for peer in (1..=3).filter(|peer| *peer != one) {
        cluster.cut(one, peer, false);
    }
    cluster.run(CATCH_UP_MS);
    let read = cluster.call(one, "GET", READ, 0, "");
    let order = cluster.call(
        one,
        "POST",
        REPLACE,
        version,
        &valid_configuration(version + 1),
    );
    cluster.run(500.0);
    let newest = format!("\"version_number\":{version}");
    assert!(
        cluster
            .answer(read)
            .is_some_and(|(_, reply)| reply.body.contains(&newest)),
        "{case}"
    );
    assert_eq!(cluster.status(order), Some(200), "{case}: afterwards");
}

#[test]
fn partitioned_both_ways_it_gives_no_definite_response() {
    (1..=3).for_each(|one| play(one, Way::Both));
}

#[test]
fn with_outgoing_traffic_lost_it_gives_no_definite_response() {
    (1..=3).for_each(|one| play(one, Way::Outward));
}

#[test]
fn with_incoming_traffic_lost_it_gives_no_definite_response() {
    (1..=3).for_each(|one| play(one, Way::Inward));
}
