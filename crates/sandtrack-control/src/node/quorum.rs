//! Whether a control node has a quorum: it hears a majority of the voters of its view, and is caught up. On the wire, in the
//! status and in metrics that is called `attached`. Without it no committed state is served.
use super::ControlNode;
use crate::Millis;
use sandtrack_replication::Address;

/// A voter counts as present for this long after something was heard of it, in ms.
pub(super) const VOTER_SEEN_MS: Millis = 1000.0;
/// A repair of the chain may take this long, in ms, without a proxy having to look for another control node: it would find
/// the same there.
const CHAIN_REPAIR_MS: Millis = 2500.0;

impl ControlNode {
    /// Whether it hears a majority of the voters of its view, and has caught up, or had before a repair of the chain.
    pub fn has_quorum(&self, now: Millis) -> bool {
        self.sees_majority(now) && self.was_recently_caught_up(now)
    }

    fn sees_majority(&self, now: Millis) -> bool {
        let voters = self.voters();
        let is_present = |voter: &&Address| {
            **voter == self.peers.me.address || self.peers.is_seen(now, voter, VOTER_SEEN_MS)
        };
        let present = voters.iter().filter(is_present).count();
        2 * present > voters.len()
    }

    fn was_recently_caught_up(&self, now: Millis) -> bool {
        let lately = self
            .last_caught_up
            .is_some_and(|at| now - at <= CHAIN_REPAIR_MS);
        lately || self.replica.is_caught_up()
    }

    /// Whether proxies may be sent configurations and evacuations: the quorum lease is valid, and everything that was
    /// acknowledged in the view is known here.
    pub fn may_push_configuration(&self, now: Millis) -> bool {
        let me = &self.peers.me.address;
        let is_confirmed = self.quorum_lease.is_valid(
            now,
            me,
            self.replica.view_attestation(),
            self.replica.view(),
        );
        self.has_quorum(now) && is_confirmed && self.replica.is_up_to_date(self.complete_in_epoch)
    }

    /// Addresses of the voters of the view.
    pub(super) fn voters(&self) -> Vec<Address> {
        self.replica
            .view()
            .voters
            .iter()
            .map(|member| member.address.clone())
            .collect()
    }
}
