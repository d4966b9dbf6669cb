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
    known: &PeerStates,
    limits: &ReconfigurationPolicy,
) -> bool {
    let full = MIN_FULL_CHAIN_LENGTH.max(2 * limits.tolerated_machine_losses + 1);
    let mut joined = false;
    let is_leaving = |member: &&Member| {
        known
            .get(&member.address)
            .is_some_and(PeerState::is_leaving)
    };
    // A member that is about to leave, and has to wait for others, takes no place of theirs.
    let full = full + next.chain.iter().filter(is_leaving).count();
    while next.chain.len() < full {
        let Some(member) = choose_joiner(view, next, me, known, limits) else {
            break;
        };
        push(next, member, known);
        joined = true;
    }
    joined
}

pub(super) fn push(next: &mut View, member: Member, known: &PeerStates) {
    next.zones.push(
        known
            .get(&member.address)
            .map(|it| it.zone.clone())
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
    known: &PeerStates,
    limits: &ReconfigurationPolicy,
) -> Option<Member> {
    let newest = known
        .values()
        .filter(|it| it.is_connected)
        .map(|it| it.applied)
        .max()
        .unwrap_or(0);
    let needed = !next.may_commit(
        limits.tolerated_machine_losses,
        limits.tolerated_zone_losses,
    );
    let tail = next.chain.last()?;
    let ready = known.iter().filter_map(|(address, it)| {
        let member = ready(view, address, it, known)?;
        // The chain can't go on while a member fetches the state, so also one that is needed does so before.
        let fresh = it.disk != DiskHealth::CatchingUp
            && (needed || it.applied + MAX_JOINER_LAG_ENTRIES >= newest);
        let linked = known
            .get(&tail.address)
            .is_some_and(|tail| tail.is_connected)
            && are_connected(&tail.address, address, known);
        (fresh && linked && !next.chain.contains(&member)).then_some((member, it))
    });
    let best = ready.min_by_key(|(member, it)| {
        let zone_there = !it.zone.is_empty() && next.zones.contains(&it.zone);
        (
            zone_there,
            !view.voters.contains(member),
            member != me,
            member.address.clone(),
        )
    });
    best.map(|(member, _)| member)
}

/// The process as a member, if it may enter the chain: it is connected, has this view, and can write.
pub(super) fn ready(
    view: &View,
    address: &Address,
    it: &PeerState,
    known: &PeerStates,
) -> Option<Member> {
    let without_disk = |it: &PeerState| it.disk == DiskHealth::Absent;
    let all_without = || {
        view.chain
            .iter()
            .filter_map(|member| known.get(&member.address))
            .all(without_disk)
    };
    let fits = it.is_connected
        && it.epoch == view.epoch
        && it.disk_works()
        && (!without_disk(it) || all_without());
    fits.then_some(Member {
        address: address.clone(),
        incarnation: it.incarnation?,
    })
}

/// Replaces the last member that shares its zone with another by a process of a zone that a full chain lacks. Returns
/// true if it did.
pub(super) fn improve_zone_spread(
    view: &View,
    next: &mut View,
    me: &Member,
    known: &PeerStates,
    limits: &ReconfigurationPolicy,
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
    let joiner = choose_joiner(view, &other, me, known, limits).filter(|joiner| {
        known
            .get(&joiner.address)
            .is_some_and(|it| !it.zone.is_empty() && !other.zones.contains(&it.zone))
    });
    let Some(joiner) = joiner.filter(|_| complete > limits.tolerated_machine_losses) else {
        return false;
    };
    push(&mut other, joiner, known);
    *next = other;
    true
}
