//! When a process may serve its own state without asking the chain (a lease read): what voters attest about the views
//! that they know or accepted, and whether the local state holds all that was acknowledged in the latest known view.
use crate::message::Status;
use crate::peers::Peer;
use crate::{Member, Replica, StateMachine, View};

/// What a voter attests about the views that it is bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewAttestation {
    /// Of its disk. With another disk it is another member, which does not know what the former one accepted.
    pub incarnation: u64,
    /// The latest epoch whose view it knows, or accepted on its disk.
    pub highest_epoch: u64,
}

impl ViewAttestation {
    /// Whether it comes from a voter of the view, under this address, that neither knows nor accepted a later one.
    ///
    /// The next view is decided by a majority of acceptances. So if a majority confirms this view, no later one had been
    /// decided when the first of them attested.
    pub fn confirms(&self, address: &str, view: &View) -> bool {
        let is_sender =
            |voter: &Member| voter.address == address && voter.incarnation == self.incarnation;
        self.highest_epoch <= view.epoch && view.voters.iter().any(is_sender)
    }
}

impl<M: StateMachine> Replica<M> {
    /// This process's own attestation.
    pub fn view_attestation(&self) -> ViewAttestation {
        ViewAttestation {
            incarnation: self.me.incarnation,
            highest_epoch: self.highest_epoch(),
        }
    }

    /// The latest attestation of another process since it started.
    pub fn view_attestation_of(&self, address: &str) -> Option<ViewAttestation> {
        let peer = self.peers.all.get(address)?;
        Some(ViewAttestation {
            incarnation: peer.incarnation,
            highest_epoch: peer.highest_epoch,
        })
    }

    /// The latest epoch whose view is known here, or was accepted on the disk. A promise binds to no view: what was only
    /// promised can't have been decided.
    pub(crate) fn highest_epoch(&self) -> u64 {
        let accepted = self
            .durable
            .accepted
            .as_ref()
            .map_or(0, |(_, view)| view.epoch);
        self.latest_view.epoch.max(accepted)
    }

    /// The epoch in which this process, as an in-sync member of the chain, has applied all acknowledged commands; `None`
    /// while it has not.
    pub fn fully_applied_epoch(&self) -> Option<u64> {
        let is_up_to_date = self.is_in_sync() && self.chain.confirmed >= self.chain.initial_end;
        is_up_to_date.then_some(self.durable.view.epoch)
    }

    /// Whether `machine()` holds all that was acknowledged up to and in the latest view known here. `held` is the last
    /// epoch that [`Self::fully_applied_epoch`] returned since this process started.
    ///
    /// A member that has been in the chain without a break since then does: each command acknowledged since was applied
    /// here before the head answered. Any other process relies on the last status of its replication source.
    pub fn is_up_to_date(&self, last_fully_applied: Option<u64>) -> bool {
        match self.latest_view.position(&self.me) {
            Some(position) => last_fully_applied >= Some(self.latest_view.since[position]),
            None => self.is_level_with_source(),
        }
    }

    fn is_level_with_source(&self) -> bool {
        let Some(source) = &self.source else {
            return false;
        };
        let is_live =
            |peer: &&Peer| self.now - peer.last_heard <= self.settings.timings.failure_timeout;
        let peer = self.peers.all.get(source).filter(is_live);
        let is_in_chain = |peer: &&Peer| {
            let member = Member {
                address: source.clone(),
                incarnation: peer.incarnation,
            };
            self.latest_view.position(&member).is_some() && peer.epoch == self.latest_view.epoch
        };
        let status = peer
            .filter(is_in_chain)
            .and_then(|peer| peer.status.as_ref());
        let is_up_to_date = |status: &&Status| status.fully_applied_epoch(self.latest_view.epoch);
        status
            .filter(is_up_to_date)
            .is_some_and(|status| status.applied <= self.applied.position.number)
    }
}

impl Status {
    /// Whether its sender, in the chain of this epoch, has applied all that was acknowledged: it is in sync, and what it
    /// applied was confirmed in this epoch, not only read from its log after a start.
    fn fully_applied_epoch(&self, epoch: u64) -> bool {
        let confirmed =
            self.confirmed >= self.applied && (self.confirmed > 0 || self.durable_end == 0);
        self.in_sync_epoch == epoch && confirmed
    }
}
