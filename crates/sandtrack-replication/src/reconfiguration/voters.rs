//! Who votes on the view after the next.

use super::joiners::ready;
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
    known: &PeerStates,
    limits: &ReconfigurationPolicy,
) {
    let most = MIN_FULL_CHAIN_LENGTH
        .max(2 * limits.tolerated_machine_losses + 1)
        .max(view.voters.len());
    next.voters = view.voters.clone();
    next.voter_zones = view
        .voters
        .iter()
        .map(|voter| zone(view, voter, known))
        .collect();
    let is_leaving = |member: &&Member| {
        known
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
        known
            .iter()
            .filter_map(|(address, it)| ready(view, address, it, known)),
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
        let free = (next.voters.len() < most).then_some(next.voters.len());
        let place = replaceable_voter(next, known, limits.voter_replacement_timeout)
            .or(free)
            .or_else(|| colocated_voter(next, limits));
        let Some(position) = place else {
            continue;
        };
        let mut other = next.clone();
        set_voter(&mut other, position, member, zone(view, member, known));
        if other.voters_survive_zone_loss(limits.tolerated_zone_losses)
            || !next.voters_survive_zone_loss(limits.tolerated_zone_losses)
        {
            *next = other;
        }
    }
    while next.voters.len() + 2 <= most {
        let Some(larger) = with_two_more_voters(view, next, &candidates, known, limits) else {
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
    known: &PeerStates,
    limits: &ReconfigurationPolicy,
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
                set_voter(&mut larger, end, member, zone(view, member, known));
            }
            larger
        });
    larger
        .into_iter()
        .find(|larger| larger.voters_survive_zone_loss(limits.tolerated_zone_losses))
}

/// The voter outside the chain that has been dead for longest, or leaves.
pub(super) fn replaceable_voter(
    next: &View,
    known: &PeerStates,
    voter_replacement_timeout: f64,
) -> Option<usize> {
    let is_silent = |voter: &Member| {
        known
            .get(&voter.address)
            .map_or(f64::MAX, |it| it.silent_for)
    };
    let outside = next
        .voters
        .iter()
        .enumerate()
        .filter(|(_, voter)| !next.chain.contains(voter));
    let dead = outside.filter(|(_, voter)| is_dead(voter, known, voter_replacement_timeout));
    dead.max_by(|one, other| is_silent(one.1).total_cmp(&is_silent(other.1)))
        .map(|(position, _)| position)
}

/// While the loss of a zone would take the majority: the last voter outside the chain that shares its zone.
pub(super) fn colocated_voter(next: &View, limits: &ReconfigurationPolicy) -> Option<usize> {
    if next.voters_survive_zone_loss(limits.tolerated_zone_losses) {
        return None;
    }
    (0..next.voters.len()).rev().find(|position| {
        let shared = next.voter_zones[..*position].contains(&next.voter_zones[*position]);
        shared && !next.chain.contains(&next.voters[*position])
    })
}

pub(super) fn is_dead(voter: &Member, known: &PeerStates, voter_replacement_timeout: f64) -> bool {
    let Some(it) = known.get(&voter.address) else {
        return true;
    };
    let other_identity = it
        .incarnation
        .is_some_and(|incarnation| incarnation != voter.incarnation);
    let is_heard = known
        .values()
        .any(|other| other.is_connected && other.hears.contains(&voter.address));
    other_identity || it.is_leaving() || (it.silent_for > voter_replacement_timeout && !is_heard)
}
