//! QuorumLease with a majority as a lease: pure, on a clock that is only counted.
use sandtrack_control::quorum_lease::{QuorumLease, QUORUM_LEASE_MS};
use sandtrack_replication::{Member, View, ViewAttestation};

const ME: &str = "a";
/// Of the disks of the voters, and of one that came after.
const INCARNATION: u64 = 5;
const LATER_INCARNATION: u64 = 6;

fn view(epoch: u64, voters: &[&str]) -> View {
    let member = |address: &&str| Member {
        address: (*address).to_owned(),
        incarnation: INCARNATION,
    };
    let voters: Vec<Member> = voters.iter().map(member).collect();
    let zones = vec![String::new(); voters.len()];
    View {
        epoch,
        chain: voters.clone(),
        since: vec![1; voters.len()],
        zones: zones.clone(),
        voter_zones: zones,
        voters,
    }
}

fn bound_to(bound: u64) -> ViewAttestation {
    ViewAttestation {
        incarnation: INCARNATION,
        highest_epoch: bound,
    }
}

fn says(bound: u64) -> Option<ViewAttestation> {
    Some(bound_to(bound))
}

fn confirmed(lease: &QuorumLease, now: f64, epoch: u64) -> bool {
    lease.is_valid(now, ME, bound_to(epoch), &view(epoch, &["a", "b", "c"]))
}

#[test]
fn the_lease_expires_after_the_last_report() {
    let mut lease = QuorumLease::default();
    assert!(!confirmed(&lease, 0.0, 1), "nothing was heard yet");
    lease.record(1000.0, "b", says(1));
    assert!(confirmed(&lease, 1000.0 + QUORUM_LEASE_MS, 1));
    assert!(!confirmed(&lease, 1001.0 + QUORUM_LEASE_MS, 1));
    lease.record(2000.0, "b", None);
    assert!(
        confirmed(&lease, 2100.0, 1),
        "a beat renews what its replica said"
    );
}

#[test]
fn a_heartbeat_without_testimony_does_not_confirm_the_epoch() {
    let mut lease = QuorumLease::default();
    lease.record(1000.0, "b", None);
    assert!(!confirmed(&lease, 1001.0, 1));
}

#[test]
fn a_voter_that_knows_a_later_view_does_not_confirm_an_old_one() {
    let mut lease = QuorumLease::default();
    lease.record(1000.0, "b", says(2));
    assert!(!confirmed(&lease, 1001.0, 1));
    assert!(confirmed(&lease, 1001.0, 2), "once that view is known here");
    lease.record(1002.0, "c", says(1));
    assert!(
        confirmed(&lease, 1003.0, 2),
        "one that is behind confirms too"
    );
}

#[test]
fn a_lost_or_new_link_confirms_nothing() {
    let mut lease = QuorumLease::default();
    lease.record(1000.0, "b", says(1));
    lease.remove_peer("b");
    assert!(!confirmed(&lease, 1001.0, 1));
}

#[test]
fn a_pause_voids_the_lease_and_buffered_frames_do_not_renew_it() {
    let mut lease = QuorumLease::default();
    lease.record(1000.0, "b", says(1));
    lease.invalidate(1500.0);
    assert!(!confirmed(&lease, 1500.0, 1));
    lease.record(1501.0, "b", says(1));
    lease.record(1502.0, "c", says(1));
    assert!(
        !confirmed(&lease, 1502.0, 1),
        "that may have been said before"
    );
    assert!(!confirmed(&lease, 1900.0, 1));
    lease.record(1900.0, "c", says(1));
    assert!(confirmed(&lease, 1900.0, 1));
}

#[test]
fn only_voters_count_and_an_empty_view_is_never_confirmed() {
    let mut lease = QuorumLease::default();
    for stranger in ["x", "y", "z"] {
        lease.record(1000.0, stranger, says(1));
    }
    assert!(!confirmed(&lease, 1001.0, 1));
    assert!(
        !lease.is_valid(1001.0, ME, bound_to(0), &view(0, &[])),
        "a view that nobody knows"
    );
}

/// What it accepted may have been decided, whether it heard so or not.
#[test]
fn a_voter_that_accepted_a_later_view_does_not_confirm_the_earlier_one() {
    let mut lease = QuorumLease::default();
    lease.record(1000.0, "b", says(1));
    assert!(confirmed(&lease, 1001.0, 1));
    lease.record(1002.0, "b", says(2));
    assert!(!confirmed(&lease, 1003.0, 1));
    lease.record(1004.0, "b", None);
    assert!(!confirmed(&lease, 1005.0, 1), "nor does its beat");
    lease.record(1006.0, "c", says(1));
    assert!(confirmed(&lease, 1007.0, 1), "the others are a majority");
}

#[test]
fn the_node_counts_itself_by_the_same_rule() {
    let mut lease = QuorumLease::default();
    lease.record(1000.0, "b", says(1));
    let view = view(1, &["a", "b", "c"]);
    assert!(lease.is_valid(1001.0, ME, bound_to(1), &view));
    assert!(
        !lease.is_valid(1001.0, ME, bound_to(2), &view),
        "it accepted a later view"
    );
    let stranger = ViewAttestation {
        incarnation: LATER_INCARNATION,
        highest_epoch: 1,
    };
    assert!(
        !lease.is_valid(1001.0, ME, stranger, &view),
        "its disk is not that of the voter"
    );
    lease.record(1002.0, "c", says(1));
    assert!(
        lease.is_valid(1003.0, ME, bound_to(2), &view),
        "the others are a majority"
    );
}

/// What it accepted before is forgotten with its disk.
#[test]
fn a_voter_with_a_new_disk_does_not_confirm() {
    let mut lease = QuorumLease::default();
    lease.record(
        1000.0,
        "b",
        Some(ViewAttestation {
            incarnation: LATER_INCARNATION,
            highest_epoch: 0,
        }),
    );
    assert!(!confirmed(&lease, 1001.0, 1));
}
