//! Control nodes that are told to stop: they end soon where the others have what they hold, and stay where not.
mod common;
use common::cluster::Cluster;
use common::valid_configuration;

const REPLACE: &str = "/v1/configuration/replace";
const READ: &str = "/v1/configuration/read";

/// Orders a change through a control node; whether it was acknowledged within so many ms.
fn order(cluster: &mut Cluster, number: usize, version: u64, patience: f64) -> Option<u16> {
    let call = cluster.call(
        number,
        "POST",
        REPLACE,
        version - 1,
        &valid_configuration(version),
    );
    cluster.run(patience);
    cluster.status(call)
}

/// Runs until a control node has ended, for at most so many ms; how long that took.
fn run_until_ended(cluster: &mut Cluster, number: usize, patience: f64) -> f64 {
    let began = cluster.now;
    while !cluster.has_exited(number) && cluster.now - began < patience {
        cluster.run(20.0);
    }
    assert!(
        cluster.has_exited(number),
        "{number} has not ended after {patience} ms"
    );
    cluster.now - began
}

#[test]
fn where_the_others_are_too_few_it_stays_and_ends_with_the_next() {
    for (leaver, other) in [(1, 2), (2, 1)] {
        let mut cluster = Cluster::configured(3);
        cluster.kill(3, true);
        cluster.run(2500.0);
        cluster.terminate(leaver);
        cluster.run(3000.0);
        assert!(
            !cluster.has_exited(leaver),
            "the other one alone can't go on"
        );
        assert_eq!(
            order(&mut cluster, other, 8, 300.0),
            Some(200),
            "with both orders go on"
        );
        assert_eq!(
            order(&mut cluster, leaver, 9, 300.0),
            Some(503),
            "its callers go elsewhere"
        );
        cluster.boot(3, false);
        run_until_ended(&mut cluster, leaver, 2500.0);
        assert_eq!(
            order(&mut cluster, other, 9, 300.0),
            Some(200),
            "the others go on"
        );
    }
}

#[test]
fn the_only_replica_stays_until_others_have_caught_up() {
    let mut cluster = Cluster::configured(3);
    cluster.kill(3, true);
    cluster.run(2500.0);
    assert_eq!(order(&mut cluster, 1, 8, 300.0), Some(200));
    cluster.kill(2, true);
    cluster.wipe(2);
    cluster.boot(3, false);
    cluster.terminate(1);
    cluster.run(2000.0);
    assert!(
        !cluster.has_exited(1),
        "nobody else has what was acknowledged last"
    );
    cluster.boot(2, false);
    run_until_ended(&mut cluster, 1, 3000.0);
    cluster.wipe(1);
    let read = cluster.call(2, "GET", READ, 0, "");
    cluster.run(500.0);
    let (_, reply) = cluster.answer(read).expect("an answer");
    assert!(
        reply.status == 200 && reply.body.contains("\"version_number\":8"),
        "{reply:?}"
    );
    assert_eq!(order(&mut cluster, 3, 9, 500.0), Some(200));
}

#[test]
fn whoever_needs_it_it_ends_before_its_grace_is_over() {
    let mut cluster = Cluster::configured(3);
    cluster.kill(3, true);
    cluster.run(2500.0);
    cluster.terminate(1);
    let stayed = run_until_ended(&mut cluster, 1, 8000.0);
    assert!((6500.0..7500.0).contains(&stayed), "{stayed}");
}

#[test]
fn a_planned_replacement_of_each_goes_through() {
    for leaver in 1..=3 {
        let mut cluster = Cluster::configured(3);
        cluster.boot(4, false);
        cluster.run(1500.0);
        cluster.terminate(leaver);
        assert!(run_until_ended(&mut cluster, leaver, 1000.0) <= 500.0);
        let (one, other) = (leaver % 3 + 1, (leaver + 1) % 3 + 1);
        assert_eq!(
            order(&mut cluster, one, 8, 800.0),
            Some(200),
            "{leaver} was replaced"
        );
        cluster.run(4000.0);
        cluster.kill(other, true);
        cluster.wipe(other);
        cluster.run(2500.0);
        assert_eq!(
            order(&mut cluster, one, 9, 500.0),
            Some(200),
            "then {other} was lost"
        );
    }
}

#[test]
fn a_restart_of_all_in_turn_goes_through() {
    let mut cluster = Cluster::configured(3);
    for leaver in 1..=3 {
        cluster.terminate(leaver);
        assert!(run_until_ended(&mut cluster, leaver, 1000.0) <= 500.0);
        let other = leaver % 3 + 1;
        assert_eq!(
            order(&mut cluster, other, 7 + leaver as u64, 800.0),
            Some(200),
            "without {leaver}"
        );
        cluster.run(500.0);
        cluster.boot(leaver, false);
        cluster.run(4000.0);
    }
    assert_eq!(order(&mut cluster, 1, 11, 300.0), Some(200));
}
