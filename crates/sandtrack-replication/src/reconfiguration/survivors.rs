//! Which members of the chain stay: failure suspicion, departures and broken links.

use super::peer_state::{PeerState, PeerStates};
use super::ReconfigurationPolicy;
use crate::message::DiskHealth;
use crate::view::{Address, Member, View};

/// Whether `member` should be left behind, as far as can be seen from here.
pub(super) fn is_suspected(view: &View, me: &Member, member: &Member, peers: &PeerStates) -> bool {
    let Some(peer) = peers.get(&member.address) else {
        return true;
    };
    if peer
        .incarnation
        .is_some_and(|incarnation| incarnation != member.incarnation)
        || !peer.can_write()
    {
        return true;
    }
    if peer.disk == DiskHealth::CatchingUp {
        return true;
    }
    if peer.is_connected || !peer.is_silent {
        return false;
    }
    let neighbours = [view.predecessor(member), view.successor(member)];
    // A member that hears nobody of the chain may still be heard by all. Its neighbours detect that, if they have a vote.
    let receives_from =
        |other: &Member| other != member && peer.heard_from.contains(&other.address);
    let receives_from_no_member = peer.is_reporting && !view.chain.iter().any(receives_from);
    let has_voting_neighbour = neighbours
        .iter()
        .flatten()
        .any(|neighbour| view.voters.contains(neighbour));
    neighbours.contains(&Some(me))
        || receives_from_no_member && !has_voting_neighbour
        || !peers
            .values()
            .any(|other| other.is_connected && other.heard_from.contains(&member.address))
}

/// The members of the chain that are not suspected.
pub(super) fn surviving_members(view: &View, me: &Member, peers: &PeerStates) -> Vec<Member> {
    let suspect = |member: &&Member| !is_suspected(view, me, member, peers);
    view.chain.iter().filter(suspect).cloned().collect()
}

/// Drops each leaving member, the last first, as long as the complete ones among the others are enough to commit: they
/// hold all that was ever committed, and survive the losses that have to be tolerated.
pub(super) fn without_leaving_members(
    view: &View,
    survivors: Vec<Member>,
    peers: &PeerStates,
    policy: &ReconfigurationPolicy,
) -> Vec<Member> {
    let mut rest = survivors;
    for position in (0..rest.len()).rev() {
        if !peers
            .get(&rest[position].address)
            .is_some_and(PeerState::is_leaving)
        {
            continue;
        }
        let mut others = rest.clone();
        others.remove(position);
        let complete: Vec<Member> = others
            .iter()
            .filter(|member| is_complete(view, member, peers))
            .cloned()
            .collect();
        let suffices = view_of_survivors(view, &complete, peers).is_some_and(|left| {
            left.may_commit(
                policy.tolerated_machine_losses,
                policy.tolerated_zone_losses,
            )
        });
        if suffices {
            rest = others;
        }
    }
    rest
}

/// Whether a member of the chain has all that was ever committed. The head of a view has, or the view would not have
/// been proposed.
pub(super) fn is_complete(view: &View, member: &Member, peers: &PeerStates) -> bool {
    let Some(position) = view.position(member) else {
        return false;
    };
    position == 0
        || peers
            .get(&member.address)
            .is_some_and(|peer| peer.in_sync_epoch >= view.since[position])
}

pub(super) fn are_connected(one: &Address, other: &Address, peers: &PeerStates) -> bool {
    let receives_from = |one: &Address, other: &Address| {
        peers
            .get(one)
            .is_some_and(|peer| !peer.is_connected || peer.heard_from.contains(other))
    };
    receives_from(one, other) && receives_from(other, one)
}

/// Without those that don't hear their predecessor, or aren't heard by it.
pub(super) fn without_disconnected(
    survivors: Vec<Member>,
    peers: &PeerStates,
) -> (Vec<Member>, bool) {
    let mut linked: Vec<Member> = Vec::new();
    let mut disconnected = false;
    for member in survivors {
        let fits = linked
            .last()
            .is_none_or(|last| are_connected(&last.address, &member.address, peers));
        if fits {
            linked.push(member);
        } else {
            disconnected = true;
        }
    }
    (linked, disconnected)
}

/// The view with those that stay: first the complete ones, in their order. None when there is none.
pub(super) fn view_of_survivors(
    view: &View,
    survivors: &[Member],
    peers: &PeerStates,
) -> Option<View> {
    let mut next = View {
        epoch: view.epoch + 1,
        ..View::none()
    };
    let mut incomplete = Vec::new();
    for member in survivors {
        let position = view.position(member)?;
        if is_complete(view, member, peers) {
            next.chain.push(member.clone());
            next.since.push(view.since[position]);
            next.zones.push(zone(view, member, peers));
        } else {
            incomplete.push(member.clone());
        }
    }
    if next.chain.is_empty() {
        return None;
    }
    for member in incomplete {
        next.since.push(next.epoch);
        next.zones.push(zone(view, &member, peers));
        next.chain.push(member);
    }
    Some(next)
}

/// The zone as the process reports it, or as the view has it.
pub(super) fn zone(view: &View, member: &Member, peers: &PeerStates) -> String {
    let peer = peers
        .get(&member.address)
        .filter(|peer| peer.incarnation == Some(member.incarnation));
    let reported = peer
        .map(|peer| peer.zone.clone())
        .filter(|zone| !zone.is_empty());
    let chain = view.chain.iter().zip(&view.zones);
    let mut all = chain.chain(view.voters.iter().zip(&view.voter_zones));
    reported
        .or_else(|| {
            all.find(|(other, _)| *other == member)
                .map(|(_, zone)| zone.clone())
        })
        .unwrap_or_default()
}
