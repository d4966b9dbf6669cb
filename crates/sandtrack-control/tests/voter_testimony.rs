//! A voter that accepted a later view, and was cut off before it heard that this view was decided, no longer confirms the
//! earlier one; nor does one that came back with an empty disk. No bench, no sockets, no sleep: the clock is counted.
mod common;
use common::cluster::{upstream, Cluster};
use common::{is_definite, valid_configuration};
use sandtrack_control::quorum_lease::QUORUM_LEASE_MS;
use sandtrack_protocol::frames::ToProxy;

const REPLACE: &str = "/v1/configuration/replace";
/// The member that view 3 leaves out, and the voter outside the chain.
const LEFT_OUT: usize = 2;
const VOTER: usize = 3;
/// The chain of view 3.
const HEAD: usize = 1;
const TAIL: usize = 4;

/// Four control nodes: the chain of view 2 is 1, 2 and 4; the voters are 1, 2 and 3. Version 7 is in force.
fn voter_outside_the_chain() -> Cluster {
    let mut cluster = Cluster::start(4);
    cluster.list = Some(vec![upstream("i-1", false)]);
    cluster.run(1500.0);
    cluster.submit_until_accepted(&[HEAD], REPLACE, 0, &valid_configuration(7));
    cluster.kill(VOTER, true);
    assert!(
        cluster.run_until_epoch(HEAD, 2, 2000.0),
        "a view without it, before another may have its vote"
    );
    cluster.run(300.0);
    cluster.boot(VOTER, false);
    cluster.run(2000.0);
    assert_eq!(
        cluster.epochs.get(&HEAD),
        Some(&2),
        "it is no more than a voter"
    );
    cluster
}

/// The left-out member and the voter hear each other; of the chain of view 3 only the head and the voter do, until the
/// voter has accepted that view.
fn accepted_by_a_voter_that_is_cut_off() -> Cluster {
    let mut cluster = voter_outside_the_chain();
    for (one, other) in [(LEFT_OUT, HEAD), (LEFT_OUT, TAIL), (VOTER, TAIL)] {
        cluster.cut(one, other, true);
    }
    cluster.dropped_messages.push((HEAD, VOTER, "new view 3"));
    assert!(
        cluster.run_until_epoch(HEAD, 3, 3000.0),
        "view 3 is decided"
    );
    assert_eq!(
        cluster.epochs.get(&VOTER),
        Some(&2),
        "by a voter that does not hear so"
    );
    cluster.cut(HEAD, VOTER, true);
    cluster
}

/// The versions that a proxy was told.
fn told(cluster: &Cluster, name: &str) -> Vec<u64> {
    let version = |frame: &ToProxy| match frame {
        ToProxy::Configuration { version, .. } | ToProxy::Changes { version, .. } => Some(*version),
        _ => None,
    };
    cluster.proxies[name]
        .frames
        .iter()
        .filter_map(version)
        .collect()
}

/// After version 9 was acknowledged by the chain of the later view, proxies start one after the other at the member that
/// it leaves out.
fn assert_no_old_configuration_is_served(cluster: &mut Cluster, case: &str) {
    let decided = cluster.now;
    cluster.submit_until_accepted(&[HEAD], REPLACE, 7, &valid_configuration(9));
    cluster.run((decided + QUORUM_LEASE_MS + 50.0 - cluster.now).max(0.0));
    for number in 0..40 {
        let name = format!("c-{number}");
        cluster.connect(&name, "asahi-hall", "kamikawa", LEFT_OUT);
        cluster.run(100.0);
        let after = cluster.now - decided;
        assert_eq!(
            told(cluster, &name),
            [0; 0],
            "{case}: {after} ms after view 3 was decided"
        );
    }
}

#[test]
fn a_voter_that_accepted_a_later_view_confirms_the_earlier_one_no_more() {
    let mut cluster = accepted_by_a_voter_that_is_cut_off();
    // The voter does not hear the other any more, so it can't bring the view to its end.
    cluster.cut_one_way(LEFT_OUT, VOTER, true);
    assert_no_old_configuration_is_served(&mut cluster, "bound by what it accepted");
}

/// Operators' calls rest on the chain, not on the lease: neither of the two can answer one from what it holds.
#[test]
fn without_testimony_no_operator_gets_a_definite_response() {
    let mut cluster = accepted_by_a_voter_that_is_cut_off();
    cluster.submit_until_accepted(&[HEAD], REPLACE, 7, &valid_configuration(9));
    for _ in 0..12 {
        let at = |cluster: &mut Cluster, machine| {
            [
                cluster.call(machine, "GET", "/v1/configuration/read", 0, ""),
                cluster.call(machine, "POST", REPLACE, 7, &valid_configuration(8)),
                cluster.call(machine, "POST", REPLACE, 5, &valid_configuration(8)),
                cluster.call(machine, "POST", "/v1/evacuation/kita-hall/begin", 0, ""),
            ]
        };
        let calls = [at(&mut cluster, LEFT_OUT), at(&mut cluster, VOTER)].concat();
        cluster.run(1000.0);
        for call in calls {
            let answer = cluster.answer(call);
            assert!(
                !answer.is_some_and(|(_, reply)| is_definite(reply)),
                "{answer:?}"
            );
        }
    }
}

#[test]
fn a_member_left_out_of_a_view_that_it_knows_tells_nothing_before_it_has_caught_up() {
    let mut cluster = accepted_by_a_voter_that_is_cut_off();
    assert_no_old_configuration_is_served(
        &mut cluster,
        "both bring view 3 to its end, and hear nobody of its chain",
    );
}

/// A voter that accepted the later view, and lost its disk since, is another member: what it forgot counts for nothing.
#[test]
fn a_voter_that_forgot_with_its_disk_what_it_accepted_confirms_nothing() {
    let mut cluster = accepted_by_a_voter_that_is_cut_off();
    cluster.kill(VOTER, true);
    cluster.wipe(VOTER);
    cluster.boot(VOTER, false);
    assert_no_old_configuration_is_served(&mut cluster, "on an empty disk");
}

/// How long members 2 and 3, of three voters, give proxies nothing, in ms: the longest span within `ms`.
fn longest_pause(cluster: &mut Cluster, ms: f64) -> f64 {
    let until = cluster.now + ms;
    let mut fed = [cluster.now; 2];
    let mut longest: f64 = 0.0;
    while cluster.now < until {
        cluster.run(1.0);
        for (number, fed) in [LEFT_OUT, VOTER].into_iter().zip(&mut fed) {
            let now = cluster.now;
            if cluster.control_node(number).may_push_configuration(now) {
                *fed = now;
            }
            longest = longest.max(now - *fed);
        }
    }
    longest
}

/// The chain is 1, 2 and 4, the voters are 1, 2 and 3; 4 is lost, and 1 proposes to go on with 3. `offset` ms pass before.
fn about_to_propose(offset: f64) -> Cluster {
    let mut cluster = voter_outside_the_chain();
    cluster.run(offset);
    cluster.replica_messages.clear();
    cluster.kill(TAIL, true);
    cluster
}

/// As before; only voter 2 accepts, and the proposer is cut off at that moment.
fn accepted_by_one(offset: f64) -> Cluster {
    let mut cluster = about_to_propose(offset);
    cluster.dropped_messages.push((HEAD, VOTER, "accept "));
    assert!(
        cluster.run_until_said(LEFT_OUT, HEAD, "accepted", 3000.0),
        "one voter accepts"
    );
    for other in [LEFT_OUT, VOTER] {
        cluster.cut(HEAD, other, true);
    }
    cluster.dropped_messages.clear();
    cluster
}

const OFFSETS: [f64; 8] = [0.0, 23.0, 47.0, 71.0, 97.0, 113.0, 149.0, 181.0];

fn longest_of(play: impl Fn(f64) -> f64) -> f64 {
    OFFSETS.into_iter().map(play).fold(0.0, f64::max)
}

/// A view that is decided takes the lease only for as long as it takes to be told.
#[test]
fn a_view_change_interrupts_the_lease_for_a_moment() {
    let longest = longest_of(|offset| longest_pause(&mut about_to_propose(offset), 4000.0));
    println!("a view change: {longest} ms");
    assert!(longest <= 500.0, "{longest} ms");
}

/// A view that one voter accepted is brought to its end by the others, who go on without its proposer.
#[test]
fn a_proposal_that_fails_takes_the_lease_until_the_others_bring_it_to_its_end() {
    let lost_for_good = longest_of(|offset| longest_pause(&mut accepted_by_one(offset), 5000.0));
    let cut_for_a_moment = longest_of(|offset| {
        let mut cluster = accepted_by_one(offset);
        cluster.run(400.0);
        for other in [LEFT_OUT, VOTER] {
            cluster.cut(HEAD, other, false);
        }
        400.0 + longest_pause(&mut cluster, 4000.0)
    });
    println!(
        "its proposer is lost: {lost_for_good} ms; it is cut off for 400 ms: {cut_for_a_moment} ms"
    );
    assert!(lost_for_good <= 2000.0, "{lost_for_good} ms");
    assert!(cut_for_a_moment <= 2000.0, "{cut_for_a_moment} ms");
}
