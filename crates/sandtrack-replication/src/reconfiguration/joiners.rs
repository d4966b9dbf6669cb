//! Which processes enter the chain.

use super::peer_state::{PeerState, PeerStates};
use super::survivors::are_connected;
use super::ReconfigurationPolicy;
use super::MIN_FULL_CHAIN_LENGTH;
use crate::message::DiskHealth;
use crate::view::{Address, Member, View};

/// A joiner that lags by more entries catches up first, unless it is needed at once.
const MAX_JOINER_LAG_ENTRIES: u64 = 64;

/// Takes processes that are ready in at the end of the chain; true when there were any.
pub(super) fn add_joiners(
    view: &View,
    next: &mut View,
    me: &Member,
    peers: &PeerStates,
    policy: &ReconfigurationPolicy,
) -> bool {
    let target_length = MIN_FULL_CHAIN_LENGTH.max(2 * policy.tolerated_machine_losses + 1);
    let mut joined = false;
    let is_leaving = |member: &&Member| {
        peers
            .get(&member.address)
            .is_some_and(PeerState::is_leaving)
    };
    // A member that is about to leave, and has to wait for others, takes no place of theirs.
    let target_length = target_length + next.chain.iter().filter(is_leaving).count();
    while next.chain.len() < target_length {
        let Some(member) = choose_joiner(view, next, me, peers, policy) else {
            break;
        };
        push(next, member, peers);
        joined = true;
    }
    joined
}

pub(super) fn push(next: &mut View, member: Member, peers: &PeerStates) {
    next.zones.push(
        peers
            .get(&member.address)
            .map(|peer| peer.zone.clone())
            .unwrap_or_default(),
    );
    next.since.push(next.epoch);
    next.chain.push(member);
}

/// The best of the ready processes outside the chain: in a zone that the chain lacks, then a voter, then the first.
pub(super) fn choose_joiner(
    view: &View,
    next: &View,
    me: &Member,
    peers: &PeerStates,
    policy: &ReconfigurationPolicy,
) -> Option<Member> {
    let max_applied = peers
        .values()
        .filter(|peer| peer.is_connected)
        .map(|peer| peer.applied)
        .max()
        .unwrap_or(0);
    let is_needed = !next.may_commit(
        policy.tolerated_machine_losses,
        policy.tolerated_zone_losses,
    );
    let tail = next.chain.last()?;
    let candidates = peers.iter().filter_map(|(address, peer)| {
        let member = eligible_member(view, address, peer, peers)?;
        // The chain can't go on while a member fetches the state, so also one that is needed does so before.
        let is_caught_up = peer.disk != DiskHealth::CatchingUp
            && (is_needed || peer.applied + MAX_JOINER_LAG_ENTRIES >= max_applied);
        let is_linked = peers
            .get(&tail.address)
            .is_some_and(|tail| tail.is_connected)
            && are_connected(&tail.address, address, peers);
        (is_caught_up && is_linked && !next.chain.contains(&member)).then_some((member, peer))
    });
    let best = candidates.min_by_key(|(member, peer)| {
        let zone_present = !peer.zone.is_empty() && next.zones.contains(&peer.zone);
        (
            zone_present,
            !view.voters.contains(member),
            member != me,
            member.address.clone(),
        )
    });
    best.map(|(member, _)| member)
}

/// The process as a member, if it may enter the chain: it is connected, has this view, and can write.
pub(super) fn eligible_member(
    view: &View,
    address: &Address,
    peer: &PeerState,
    peers: &PeerStates,
) -> Option<Member> {
    let has_no_disk = |peer: &PeerState| peer.disk == DiskHealth::Absent;
    let chain_has_no_disks = || {
        view.chain
            .iter()
            .filter_map(|member| peers.get(&member.address))
            .all(has_no_disk)
    };
    let is_eligible = peer.is_connected
        && peer.epoch == view.epoch
        && peer.disk_works()
        && (!has_no_disk(peer) || chain_has_no_disks());
    is_eligible.then_some(Member {
        address: address.clone(),
        incarnation: peer.incarnation?,
    })
}

/// Replaces the last member that shares its zone with another by a process of a zone that a full chain lacks. Returns
/// true if it did.
pub(super) fn improve_zone_spread(
    view: &View,
    next: &mut View,
    me: &Member,
    peers: &PeerStates,
    policy: &ReconfigurationPolicy,
) -> bool {
    let duplicate_zone = (0..next.chain.len()).rev().find(|position| {
        next.zones[..*position].contains(&next.zones[*position])
            && !next.zones[*position].is_empty()
    });
    let Some(position) = duplicate_zone else {
        return false;
    };
    let mut other = next.clone();
    other.chain.remove(position);
    other.since.remove(position);
    other.zones.remove(position);
    let complete = other
        .since
        .iter()
        .filter(|since| **since < other.epoch)
        .count();
    let joiner = choose_joiner(view, &other, me, peers, policy).filter(|joiner| {
        peers
            .get(&joiner.address)
            .is_some_and(|peer| !peer.zone.is_empty() && !other.zones.contains(&peer.zone))
    });
    let Some(joiner) = joiner.filter(|_| complete > policy.tolerated_machine_losses) else {
        return false;
    };
    push(&mut other, joiner, peers);
    *next = other;
    true
}
