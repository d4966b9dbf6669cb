//! The lease under which a control node serves committed state to proxies: a majority of the voters of its view confirmed
//! that view a short time ago.
//!
//! A process that was frozen or partitioned away believes an old view; without the lease it would serve an old
//! configuration. It is the lease read of Raft (Ongaro, section 6.4.1) with the voters' heartbeats as the renewals; time is
//! the process's own monotonic clock.
use crate::Millis;
use sandtrack_replication::{Address, View, ViewAttestation};
use std::collections::BTreeMap;

/// How long a voter's report counts, in ms. It is shorter than the shortest pause of the process that is noticed
/// (`MIN_FREEZE_MS` of `node::timers`), so that what came before a pause never counts after it.
pub const QUORUM_LEASE_MS: Millis = 600.0;
/// After a pause of the process, reports are ignored for this long, in ms: they may have been in the socket buffers since
/// before it. By then the peers have closed such connections, or have sent something new.
const STALE_INPUT_MS: Millis = 300.0;

#[derive(Clone, Copy, Debug, PartialEq)]
struct VoterReport {
    last_received: Millis,
    /// The last one of its replica; none before the replica's first message.
    attestation: Option<ViewAttestation>,
}

/// The last report of each peer, and from when on reports count.
#[derive(Clone, Debug, Default)]
pub struct QuorumLease {
    reports: BTreeMap<Address, VoterReport>,
    ignore_until: Millis,
}

impl QuorumLease {
    /// A frame of a peer arrived; `attestation` comes with frames of its replica.
    pub fn record(&mut self, now: Millis, peer: &str, attestation: Option<ViewAttestation>) {
        if now < self.ignore_until {
            return;
        }
        let report = self.reports.entry(peer.to_owned()).or_insert(VoterReport {
            last_received: now,
            attestation,
        });
        report.last_received = now;
        report.attestation = attestation.or(report.attestation);
    }

    /// The link with a peer was lost or replaced: its reports no longer count.
    pub fn remove_peer(&mut self, peer: &str) {
        self.reports.remove(peer);
    }

    /// This process was paused: the lease is void until a majority has reported anew.
    pub fn invalidate(&mut self, now: Millis) {
        self.reports.clear();
        self.ignore_until = now + STALE_INPUT_MS;
    }

    /// Whether a majority of the view's voters reported within the lease, and neither knows nor accepted a later view.
    /// This process, at address `me`, counts itself by the same rule.
    pub fn is_valid(
        &self,
        now: Millis,
        own_address: &str,
        own_attestation: ViewAttestation,
        view: &View,
    ) -> bool {
        let confirms = |address: &str| {
            if address == own_address {
                return own_attestation.confirms(address, view);
            }
            let report = self
                .reports
                .get(address)
                .filter(|report| now - report.last_received <= QUORUM_LEASE_MS);
            report
                .and_then(|report| report.attestation)
                .is_some_and(|attestation| attestation.confirms(address, view))
        };
        let confirming = view
            .voters
            .iter()
            .filter(|voter| confirms(&voter.address))
            .count();
        now >= self.ignore_until && confirming >= view.majority()
    }
}
