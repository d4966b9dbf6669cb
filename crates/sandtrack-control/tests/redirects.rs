//! An order that finds no acknowledgement while the chain is repaired: its caller is sent on to a control node that is heard.
mod common;
use common::cluster::Cluster;
use common::valid_configuration;

const BEGIN: &str = "/v1/evacuation/kita-hall/begin";
const READ: &str = "/v1/configuration/read";

fn settled() -> Cluster {
    let mut cluster = Cluster::start(3);
    cluster.run(1000.0);
    cluster.submit_until_accepted(
        &[2],
        "/v1/configuration/replace",
        0,
        &valid_configuration(7),
    );
    cluster.run(1500.0);
    cluster
}

/// The control node that an answer sends its caller on to, by the address in its location.
fn sent_on_to(cluster: &Cluster, call: u64) -> Option<usize> {
    let (_, reply) = cluster.answer(call)?;
    let location = reply.location.as_ref().filter(|_| reply.status == 307)?;
    let target = location.strip_prefix("http://10.")?;
    assert!(target.ends_with(&format!(":8166{BEGIN}")), "{location}");
    target.split('.').next()?.parse().ok()
}

/// Follows as callers do, twice at most; the last status and how long all of it took.
fn follow(cluster: &mut Cluster, first: usize, frozen: usize) -> (Option<u16>, f64) {
    let began = cluster.now;
    let mut machine = first;
    for _ in 0..=2 {
        let call = cluster.call(machine, "POST", BEGIN, 0, "");
        let limit = cluster.now + 1000.0;
        while cluster.answer(call).is_none() && cluster.now < limit {
            cluster.run(10.0);
        }
        match sent_on_to(cluster, call) {
            Some(next) => {
                assert_ne!(next, frozen, "sent on to one that stands still");
                machine = next;
            }
            None => return (cluster.status(call), cluster.now - began),
        }
    }
    (None, cluster.now - began)
}

#[test]
fn a_caller_is_redirected_past_a_paused_node_without_a_delay() {
    for frozen in 1..=3 {
        for first in (1..=3).filter(|machine| *machine != frozen) {
            for after in [1.0, 10.0, 40.0, 100.0, 200.0, 300.0, 500.0, 700.0] {
                let mut cluster = settled();
                cluster.freeze(frozen, true);
                cluster.run(after);
                let (status, took) = follow(&mut cluster, first, frozen);
                assert_eq!(
                    status,
                    Some(200),
                    "{frozen} froze {after} ms before, {first} was asked"
                );
                assert!(
                    took < 1800.0,
                    "{took} ms: {frozen} froze {after} ms before, {first} was asked"
                );
            }
        }
    }
}

#[test]
fn a_partitioned_node_redirects_nobody() {
    let mut cluster = settled();
    cluster.cut(1, 2, true);
    cluster.cut(1, 3, true);
    cluster.run(1500.0);
    let call = cluster.call(1, "POST", BEGIN, 0, "");
    cluster.run(1000.0);
    assert_eq!(cluster.status(call), Some(503));
    assert_eq!(sent_on_to(&cluster, call), None);
}

#[test]
fn a_read_that_finds_no_answer_says_so() {
    let mut cluster = settled();
    cluster.freeze(1, true);
    let call = cluster.call(2, "GET", READ, 0, "");
    cluster.run(900.0);
    assert_eq!(cluster.status(call), Some(503));
}

#[test]
fn a_node_that_shuts_down_redirects_callers_at_once() {
    let mut cluster = settled();
    // The others need it, so that it stays.
    cluster.freeze(2, true);
    cluster.terminate(3);
    cluster.run(20.0);
    let call = cluster.call(3, "POST", BEGIN, 0, "");
    cluster.run(30.0);
    assert_eq!(sent_on_to(&cluster, call), Some(1));
}
