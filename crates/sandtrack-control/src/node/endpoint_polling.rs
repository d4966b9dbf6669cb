//! Polling of the platform's list: the lease of the poller, and the calls for pages.
use super::{ControlNode, Effect};
use crate::endpoint_poller::{PageResult, PollerLease, HOLDER_TIMEOUT_MS};
use crate::Millis;
use sandtrack_replication::Address;
use std::collections::BTreeSet;

impl ControlNode {
    /// A peer reported the lease of the poller.
    pub(super) fn peer_lease(&mut self, now: Millis, peer: &str, lease: &PollerLease) {
        let was_holder = self.election.is_holder();
        self.election.observe_lease(now, peer, lease);
        if was_holder != self.election.is_holder() {
            log::info!(
                "the platform's list is read by {}",
                self.election.lease().holder
            );
            self.poller.reset();
        }
    }

    /// Takes over polling if the holder of the lease timed out, or if there is none yet.
    pub(super) fn take_over_polling(&mut self, now: Millis) {
        let is_needed = self.election.is_holder_timed_out(now) || self.election.lease().term == 0;
        if self.leaving_since.is_some() || !is_needed {
            return;
        }
        let candidates = self.poller_candidates();
        let voters = self.voters();
        let live = self.peers.live(now, HOLDER_TIMEOUT_MS);
        if self.election.take_over(now, &candidates, &live, &voters) {
            log::info!(
                "it reads the platform's list from now on, term {}",
                self.election.lease().term
            );
        }
    }

    /// Hands the lease to another control node, if there is one.
    pub(super) fn hand_over_polling(&mut self, now: Millis) {
        let candidates = self.poller_candidates();
        let live = self.peers.live(now, HOLDER_TIMEOUT_MS);
        if self.election.hand_over(&candidates, &live) {
            log::info!(
                "the platform's list is read by {} from now on",
                self.election.lease().holder
            );
            self.poller.reset();
        }
    }

    /// Candidates for the lease, in order: the members of the chain, then all other known control nodes.
    fn poller_candidates(&self) -> Vec<Address> {
        let view = self.replica.view();
        let members = view.chain.iter().chain(&view.voters);
        let mut candidates: Vec<Address> = members.map(|member| member.address.clone()).collect();
        if candidates.is_empty() {
            candidates = super::peer_links::seeds(&self.settings);
        }
        let peers = self.peers.all().map(|(address, _, _)| address);
        let others: BTreeSet<&str> = peers.chain([self.peers.me.address.as_str()]).collect();
        candidates.extend(others.into_iter().map(str::to_owned));
        let mut seen = BTreeSet::new();
        candidates.retain(|address| seen.insert(address.clone()));
        candidates
    }

    /// A call to the platform ended: its page is applied if this node still polls.
    pub(super) fn page_fetched(&mut self, now: Millis, call: PageResult, out: &mut Vec<Effect>) {
        let is_fallback = !self.election.is_holder();
        if !self.election.should_poll(now) {
            self.poller.reset();
        }
        self.poller
            .page_fetched(now, is_fallback, call, &mut self.upstreams);
        self.fetch_page_if_due(now, out);
    }

    /// Requests the next page of the list, if this node polls and it is due.
    pub(super) fn fetch_page_if_due(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let has_platform = !self.settings.cloud_api.address.is_empty();
        if self.leaving_since.is_some() || !has_platform || !self.election.should_poll(now) {
            return;
        }
        let is_fallback = !self.election.is_holder();
        if let Some(token) =
            self.poller
                .next_page(now, is_fallback, self.settings.cloud_api.rate_per_s)
        {
            out.push(Effect::Fetch { token });
        }
    }
}
