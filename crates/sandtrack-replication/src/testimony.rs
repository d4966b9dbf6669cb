//! What a process may rely on when it hands out its own state without asking the chain: what voters say of the views that
//! they know or accepted, and whether the state here holds all that was acknowledged in the latest view known here.
use crate::message::Status;
use crate::peers::Peer;
use crate::{Member, Replica, StateMachine, View};

/// What a process says of itself as a voter: whether it may speak for a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Testimony {
    /// Of its disk. With another disk it is another member, which knows nothing of what the one before accepted.
    pub incarnation: u64,
    /// The latest epoch whose view it knows, or accepted on its disk.
    pub bound: u64,
}

impl Testimony {
    /// Whether it is a voter of the view, under this address, and neither knows nor accepted a later one.
    ///
    /// The view after it is decided by a majority of acceptances, so a majority that confirms the view shows that no later
    /// one was decided before the first of them spoke.
    pub fn confirms(&self, address: &str, view: &View) -> bool {
        let is_it =
            |voter: &Member| voter.address == address && voter.incarnation == self.incarnation;
        self.bound <= view.epoch && view.voters.iter().any(is_it)
    }
}

impl<M: StateMachine> Replica<M> {
    /// What this process says of itself as a voter.
    pub fn testimony(&self) -> Testimony {
        Testimony {
            incarnation: self.me.incarnation,
            bound: self.bound(),
        }
    }

    /// What another process said of itself as a voter, since it started.
    pub fn testimony_of(&self, address: &str) -> Option<Testimony> {
        let peer = self.peers.all.get(address)?;
        Some(Testimony {
            incarnation: peer.incarnation,
            bound: peer.bound,
        })
    }

    /// The latest epoch whose view is known here, or was accepted on the disk. A promise binds to no view: what was only
    /// promised can't have been decided.
    pub(crate) fn bound(&self) -> u64 {
        let accepted = self
            .image
            .accepted
            .as_ref()
            .map_or(0, |(_, view)| view.epoch);
        self.latest.epoch.max(accepted)
    }

    /// The epoch in which this process, as a member of the chain in line, holds all that was acknowledged; none while it
    /// does not.
    pub fn holds_all_in(&self) -> Option<u64> {
        let holds_all = self.in_line() && self.chain.confirmed >= self.chain.floor;
        holds_all.then_some(self.image.view.epoch)
    }

    /// Whether `machine()` holds all that was acknowledged up to and in the latest view known here. `held` is the last
    /// epoch that [`Self::holds_all_in`] gave since this process started.
    ///
    /// A member of the chain without a break since then does: each order that was acknowledged since was applied here
    /// before the head answered. Any other process rests on the last status of the member that it learns from.
    pub fn holds_all(&self, held: Option<u64>) -> bool {
        match self.latest.position(&self.me) {
            Some(position) => held >= Some(self.latest.since[position]),
            None => self.source_holds_no_more(),
        }
    }

    fn source_holds_no_more(&self) -> bool {
        let Some(source) = &self.source else {
            return false;
        };
        let is_near = |peer: &&Peer| self.now - peer.heard <= self.settings.timings.silence;
        let peer = self.peers.all.get(source).filter(is_near);
        let in_chain = |peer: &&Peer| {
            let member = Member {
                address: source.clone(),
                incarnation: peer.incarnation,
            };
            self.latest.position(&member).is_some() && peer.epoch == self.latest.epoch
        };
        let status = peer.filter(in_chain).and_then(|peer| peer.status.as_ref());
        let holds_all = |status: &&Status| status.holds_all_in(self.latest.epoch);
        status
            .filter(holds_all)
            .is_some_and(|status| status.applied <= self.applied.at.number)
    }
}

impl Status {
    /// Whether its sender, in the chain of this epoch, has applied all that was acknowledged: it is in line, and what it
    /// applied was confirmed in this epoch, not only read from its log after a start.
    fn holds_all_in(&self, epoch: u64) -> bool {
        let confirmed = self.confirmed >= self.applied && (self.confirmed > 0 || self.synced == 0);
        self.aligned == epoch && confirmed
    }
}
