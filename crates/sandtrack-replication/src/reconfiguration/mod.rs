//! Which view should come next, from what a voter knows. Pure.
//!
//! Any answer is safe as long as its head is a complete member of the former chain, that is one that holds all that
//! was ever committed. The rest is for progress, and against flapping.
mod joiners;
mod peer_state;
mod survivors;
mod voters;

use crate::view::{Member, View};
use joiners::{add_joiners, improve_zone_spread};
use survivors::{
    surviving_members, view_of_survivors, without_disconnected, without_leaving_members,
};
use voters::choose_voters;

pub(crate) use peer_state::{PeerState, PeerStates};

/// A chain with fewer members takes in joiners.
const MIN_FULL_CHAIN_LENGTH: usize = 3;

pub(crate) struct ReconfigurationPolicy {
    pub(crate) tolerated_machine_losses: usize,
    pub(crate) tolerated_zone_losses: usize,
    /// Milliseconds of silence after which a voter may be replaced.
    pub(crate) voter_replacement_timeout: f64,
}

/// Why another view is wanted, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ChangeReason {
    /// A member has failed, or can't write.
    MemberLost,
    /// A process can join the chain, or replace a dead voter.
    MemberJoined,
    /// Two neighbours of the chain don't hear each other, but both are heard here.
    NeighboursDisconnected,
    /// A proposal was accepted here, and neither decided nor replaced.
    UnfinishedProposal,
}

/// The view that should follow, and why; None when the present one is as good as can be.
pub(crate) fn next_view(
    view: &View,
    me: &Member,
    peers: &PeerStates,
    policy: &ReconfigurationPolicy,
) -> Option<(View, ChangeReason)> {
    let survivors = surviving_members(view, me, peers);
    let survivors = without_leaving_members(view, survivors, peers, policy);
    let lost = survivors.len() < view.chain.len();
    let (survivors, disconnected) = without_disconnected(survivors, peers);
    let mut next = view_of_survivors(view, &survivors, peers)?;
    let mut joined = add_joiners(view, &mut next, me, peers, policy);
    if policy.tolerated_zone_losses > 0 && !lost && !disconnected && !joined {
        joined = improve_zone_spread(view, &mut next, me, peers, policy);
    }
    choose_voters(view, &mut next, peers, policy);
    if next.chain == view.chain && next.voters == view.voters {
        return None;
    }
    let commits = |view: &View| {
        view.may_commit(
            policy.tolerated_machine_losses,
            policy.tolerated_zone_losses,
        )
    };
    if !commits(&next) && (commits(view) || next.chain.len() <= view.chain.len()) {
        return None;
    }
    let reason = match (lost, disconnected, joined) {
        (true, _, _) => ChangeReason::MemberLost,
        (_, true, _) => ChangeReason::NeighboursDisconnected,
        _ => ChangeReason::MemberJoined,
    };
    Some((next, reason))
}

/// Whether `me`, which is shutting down, has to stay until the others can continue without it: it is in the chain (see
/// [`without_leaving_members`]), or the voters have no majority without it.
pub(crate) fn is_needed(view: &View, me: &Member, peers: &PeerStates) -> bool {
    let mut members = view.chain.iter().chain(&view.voters);
    if members.all(|member| member == me) {
        return false; // nobody could take its place
    }
    let stays = |voter: &&Member| {
        let peer = peers
            .get(&voter.address)
            .filter(|peer| peer.is_alive(voter));
        // One of the chain that is about to leave has to stay as well.
        *voter != me
            && peer.is_some_and(|peer| {
                peer.disk_works() || peer.is_leaving() && view.chain.contains(voter)
            })
    };
    let is_vote_needed =
        || view.voters.contains(me) && view.voters.iter().filter(stays).count() < view.majority();
    view.chain.contains(me) || is_vote_needed()
}
