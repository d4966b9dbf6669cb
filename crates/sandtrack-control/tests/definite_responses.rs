//! A definite answer rests on the call alone or on what a majority confirmed at that moment: a process that hears no majority,
//! or whose state is old, gives no other.
mod common;
use common::cluster::{upstream, Cluster};
use common::valid_configuration;

const REPLACE: &str = "/v1/configuration/replace";
const UPDATE: &str = "/v1/configuration/update";
const READ: &str = "/v1/configuration/read";
const NOWHERE: &str = "/v1/evacuation/nowhere/begin";

/// Four control nodes, the first three in the chain, with a configuration.
fn settled() -> Cluster {
    let mut cluster = Cluster::start(4);
    cluster.list = Some(vec![upstream("i-1", false)]);
    cluster.run(1000.0);
    cluster.submit_until_accepted(&[2], REPLACE, 0, &valid_configuration(7));
    cluster.run(1500.0);
    cluster
}

fn answer(cluster: &Cluster, call: u64) -> (u16, String) {
    let (_, reply) = cluster.answer(call).expect("an answer");
    (reply.status, reply.body.clone())
}

/// Calls that are refused for what the state is, and what is wrong with them.
fn refused_by_state(cluster: &mut Cluster, machine: usize) -> Vec<(&'static str, u64)> {
    let update = r#"{"version_number":5,"remove_names":{"routes":["r-none"]}}"#;
    vec![
        (
            "no such zone",
            cluster.call(machine, "POST", NOWHERE, 0, ""),
        ),
        (
            "another version is current",
            cluster.call(machine, "POST", REPLACE, 3, &valid_configuration(9)),
        ),
        (
            "a version not above",
            cluster.call(machine, "POST", REPLACE, 7, &valid_configuration(5)),
        ),
        (
            "an update not above",
            cluster.call(machine, "POST", UPDATE, 7, update),
        ),
        (
            "nothing known is taken away",
            cluster.call(machine, "POST", UPDATE, 6, update),
        ),
    ]
}

fn malformed(cluster: &mut Cluster, machine: usize) -> Vec<(u16, u64)> {
    vec![
        (400, cluster.call(machine, "POST", REPLACE, 7, "{")),
        (
            400,
            cluster.call(
                machine,
                "POST",
                REPLACE,
                7,
                &valid_configuration(9).replace("\"timeout_ms\":8000", "\"timeout_ms\":0"),
            ),
        ),
        (
            404,
            cluster.call(machine, "POST", "/v2/configuration", 0, ""),
        ),
        (405, cluster.call(machine, "GET", REPLACE, 0, "")),
    ]
}

#[test]
fn with_a_majority_each_call_gets_its_answer() {
    let mut cluster = settled();
    for machine in 1..=4 {
        let calls = refused_by_state(&mut cluster, machine);
        cluster.run(300.0);
        let statuses: Vec<u16> = calls
            .iter()
            .map(|(_, call)| answer(&cluster, *call).0)
            .collect();
        assert_eq!(statuses, [404, 412, 400, 400, 412], "at {machine}");
    }
}

#[test]
fn without_a_majority_only_malformed_calls_get_a_definite_answer() {
    for alone in 1..=4 {
        let mut cluster = settled();
        (1..=4)
            .filter(|machine| *machine != alone)
            .for_each(|machine| cluster.cut(alone, machine, true));
        for after in [0.0, 500.0, 3000.0] {
            cluster.run(after);
            let calls = refused_by_state(&mut cluster, alone);
            let malformed = malformed(&mut cluster, alone);
            let read = cluster.call(alone, "GET", READ, 0, "");
            cluster.run(1000.0);
            for (what, call) in calls.into_iter().chain([("read", read)]) {
                assert_eq!(
                    answer(&cluster, call).0,
                    503,
                    "{alone} after {after}: {what}"
                );
            }
            for (status, call) in malformed {
                assert_eq!(answer(&cluster, call).0, status, "{alone} after {after}");
            }
        }
    }
}

#[test]
fn a_process_that_starts_knows_nothing_definite() {
    let mut cluster = settled();
    (1..=4).for_each(|machine| cluster.kill(machine, true));
    cluster.wipe(1);
    cluster.run(100.0);
    cluster.boot(1, false);
    cluster.run(100.0);
    let calls = refused_by_state(&mut cluster, 1);
    let read = cluster.call(1, "GET", READ, 0, "");
    cluster.run(1000.0);
    for (what, call) in calls.into_iter().chain([("read", read)]) {
        assert_eq!(answer(&cluster, call).0, 503, "{what}");
    }
}

#[test]
fn a_resumed_process_gives_no_definite_response_to_pending_calls() {
    for frozen in 1..=4 {
        let mut cluster = settled();
        let before = refused_by_state(&mut cluster, frozen);
        cluster.run(1.0);
        cluster.freeze(frozen, true);
        cluster.run(100.0);
        let during = refused_by_state(&mut cluster, frozen);
        let others: Vec<usize> = (1..=3).filter(|machine| *machine != frozen).collect();
        cluster.submit_until_accepted(&others, REPLACE, 7, &valid_configuration(9));
        cluster.run(2000.0);
        cluster.freeze(frozen, false);
        cluster.run(1500.0);
        for (what, call) in before.into_iter().chain(during) {
            assert_eq!(answer(&cluster, call).0, 503, "{frozen}: {what}");
        }
    }
}

/// The fourth node's zone is in nobody's settings: it was added later.
#[test]
fn a_zone_that_only_others_name_is_known() {
    let mut cluster = settled();
    cluster.submit_until_accepted(&[1], "/v1/evacuation/minami-hall/begin", 0, "");
    // Of an upstream on the platform's list, and of a proxy.
    let mut later = upstream("i-2", false);
    later.zone = "nishi-hall".to_owned();
    cluster.list = Some(vec![later]);
    cluster.connect("c-hiyama", "hiyama-hall", "ishikari", 2);
    cluster.run(2000.0);
    for machine in 1..=4 {
        cluster.submit_until_accepted(&[machine], "/v1/evacuation/nishi-hall/begin", 0, "");
        cluster.submit_until_accepted(&[machine], "/v1/evacuation/hiyama-hall/begin", 0, "");
        let call = cluster.call(machine, "POST", NOWHERE, 0, "");
        cluster.run(300.0);
        assert_eq!(answer(&cluster, call).0, 404, "{machine}");
    }
}

/// Whatever is cut or stands still: an answer to a read is not older than what was acknowledged before it was asked for.
#[test]
fn a_read_is_never_older_than_what_was_acknowledged_before_it() {
    let pairs: Vec<(usize, usize)> = (1..=3)
        .flat_map(|from| (1..=3).map(move |to| (from, to)))
        .filter(|(from, to)| from != to)
        .collect();
    let mut troubles: Vec<Vec<(usize, usize)>> = pairs.iter().map(|pair| vec![*pair]).collect();
    for one in 1..=3 {
        troubles.push(
            pairs
                .iter()
                .copied()
                .filter(|(from, _)| *from == one)
                .collect(),
        );
        troubles.push(pairs.iter().copied().filter(|(_, to)| *to == one).collect());
        troubles.push(
            pairs
                .iter()
                .copied()
                .filter(|(from, to)| *from == one || *to == one)
                .collect(),
        );
    }
    let mut answered = 0;
    for (at, trouble) in troubles.iter().enumerate() {
        for frozen in [None, Some(at % 3 + 1)] {
            let mut cluster = settled();
            trouble
                .iter()
                .for_each(|(from, to)| cluster.cut_one_way(*from, *to, true));
            frozen
                .into_iter()
                .for_each(|machine| cluster.freeze(machine, true));
            let (mut acknowledged, mut reads) = (7, Vec::new());
            for version in 8..14 {
                let orders: Vec<u64> = (1..=3)
                    .map(|machine| {
                        cluster.call(
                            machine,
                            "POST",
                            REPLACE,
                            acknowledged,
                            &valid_configuration(version),
                        )
                    })
                    .collect();
                for _ in 0..9 {
                    reads.extend(
                        (1..=4).map(|machine| {
                            (acknowledged, cluster.call(machine, "GET", READ, 0, ""))
                        }),
                    );
                    cluster.run(110.0);
                    let taken = |call: &u64| {
                        cluster
                            .answer(*call)
                            .is_some_and(|(_, reply)| reply.status == 200)
                    };
                    if orders.iter().any(taken) {
                        acknowledged = version;
                    }
                }
                if version == 11 {
                    frozen
                        .into_iter()
                        .for_each(|machine| cluster.freeze(machine, false));
                    trouble
                        .iter()
                        .for_each(|(from, to)| cluster.cut_one_way(*from, *to, false));
                }
            }
            cluster.run(1500.0);
            for (floor, read) in reads {
                let Some((_, reply)) = cluster
                    .answer(read)
                    .filter(|(_, reply)| reply.status == 200)
                else {
                    continue;
                };
                answered += 1;
                let old = (7..floor).any(|version| {
                    reply
                        .body
                        .contains(&format!("\"version_number\":{version},"))
                });
                assert!(
                    !old,
                    "{trouble:?}, {frozen:?} frozen: older than {floor}: {}",
                    reply.body
                );
            }
        }
    }
    assert!(answered > 1000, "{answered} reads were answered");
}
