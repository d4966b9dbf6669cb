//! Who votes on the view after the next.

use super::joiners::eligible_member;
use super::peer_state::{PeerState, PeerStates};
use super::survivors::zone;
use super::ReconfigurationPolicy;
use super::MIN_FULL_CHAIN_LENGTH;
use crate::view::{Member, View};

/// Chooses the voters: each member of the chain, and then each other ready process, takes the seat of its own former
/// identity, or a free one, or that of a voter outside the chain that leaves or has been dead for longest; never such
/// that the loss of a tolerated number of zones would take the majority.
pub(super) fn choose_voters(
    view: &View,
    next: &mut View,
    peers: &PeerStates,
    policy: &ReconfigurationPolicy,
) {
    let max_voters = MIN_FULL_CHAIN_LENGTH
        .max(2 * policy.tolerated_machine_losses + 1)
        .max(view.voters.len());
    next.voters = view.voters.clone();
    next.voter_zones = view
        .voters
        .iter()
        .map(|voter| zone(view, voter, peers))
        .collect();
    let is_leaving = |member: &&Member| {
        peers
            .get(&member.address)
            .is_some_and(PeerState::is_leaving)
    };
    let mut candidates: Vec<Member> = next
        .chain
        .iter()
        .filter(|member| !is_leaving(member))
        .cloned()
        .collect();
    candidates.extend(
        peers
            .iter()
            .filter_map(|(address, peer)| eligible_member(view, address, peer, peers)),
    );
    for member in &candidates {
        if next.voters.contains(member) {
            continue;
        }
        if let Some(position) = next
            .voters
            .iter()
            .position(|voter| voter.address == member.address)
        {
            next.voters[position] = member.clone();
            continue;
        }
        let free = (next.voters.len() < max_voters).then_some(next.voters.len());
        let position_to_fill = replaceable_voter(next, peers, policy.voter_replacement_timeout)
            .or(free)
            .or_else(|| colocated_voter(next, policy));
        let Some(position) = position_to_fill else {
            continue;
        };
        let mut other = next.clone();
        set_voter(&mut other, position, member, zone(view, member, peers));
        if other.voters_survive_zone_loss(policy.tolerated_zone_losses)
            || !next.voters_survive_zone_loss(policy.tolerated_zone_losses)
        {
            *next = other;
        }
    }
    while next.voters.len() + 2 <= max_voters {
        let Some(larger) = with_two_more_voters(view, next, &candidates, peers, policy) else {
            break;
        };
        *next = larger;
    }
}

/// Puts `member` at `position` of the voters, or at their end.
pub(super) fn set_voter(next: &mut View, position: usize, member: &Member, zone: String) {
    if position == next.voters.len() {
        next.voters.push(member.clone());
        next.voter_zones.push(zone);
    } else {
        next.voters[position] = member.clone();
        next.voter_zones[position] = zone;
    }
}

/// An even number of voters bears no more than the odd one before it, and may bear the loss of a zone less well: then
/// no single voter can be added, but two at once can.
pub(super) fn with_two_more_voters(
    view: &View,
    next: &View,
    candidates: &[Member],
    peers: &PeerStates,
    policy: &ReconfigurationPolicy,
) -> Option<View> {
    let outside: Vec<&Member> = candidates
        .iter()
        .filter(|member| !next.voters.contains(member))
        .collect();
    let pairs = outside
        .iter()
        .enumerate()
        .flat_map(|(index, one)| outside[index + 1..].iter().map(move |other| (*one, *other)));
    let larger = pairs
        .filter(|(one, other)| one != other)
        .map(|(one, other)| {
            let mut larger = next.clone();
            for member in [one, other] {
                let end = larger.voters.len();
                set_voter(&mut larger, end, member, zone(view, member, peers));
            }
            larger
        });
    larger
        .into_iter()
        .find(|larger| larger.voters_survive_zone_loss(policy.tolerated_zone_losses))
}

/// The voter outside the chain that has been dead for longest, or leaves.
pub(super) fn replaceable_voter(
    next: &View,
    peers: &PeerStates,
    voter_replacement_timeout: f64,
) -> Option<usize> {
    let silence = |voter: &Member| {
        peers
            .get(&voter.address)
            .map_or(f64::MAX, |peer| peer.silent_for)
    };
    let outside = next
        .voters
        .iter()
        .enumerate()
        .filter(|(_, voter)| !next.chain.contains(voter));
    let dead = outside.filter(|(_, voter)| is_dead(voter, peers, voter_replacement_timeout));
    dead.max_by(|one, other| silence(one.1).total_cmp(&silence(other.1)))
        .map(|(position, _)| position)
}

/// While the loss of a zone would take the majority: the last voter outside the chain that shares its zone.
pub(super) fn colocated_voter(next: &View, policy: &ReconfigurationPolicy) -> Option<usize> {
    if next.voters_survive_zone_loss(policy.tolerated_zone_losses) {
        return None;
    }
    (0..next.voters.len()).rev().find(|position| {
        let shared = next.voter_zones[..*position].contains(&next.voter_zones[*position]);
        shared && !next.chain.contains(&next.voters[*position])
    })
}

pub(super) fn is_dead(voter: &Member, peers: &PeerStates, voter_replacement_timeout: f64) -> bool {
    let Some(peer) = peers.get(&voter.address) else {
        return true;
    };
    let other_identity = peer
        .incarnation
        .is_some_and(|incarnation| incarnation != voter.incarnation);
    let is_reachable = peers
        .values()
        .any(|other| other.is_connected && other.heard_from.contains(&voter.address));
    other_identity
        || peer.is_leaving()
        || (peer.silent_for > voter_replacement_timeout && !is_reachable)
}
