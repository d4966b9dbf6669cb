//! Which view should come next, from what a voter knows. Pure. Any answer is safe as long as its head is a
//! complete member of the former chain; the rest is for the system to go on, and not to flap.
use std::collections::BTreeMap;

use crate::message::DiskHealth;
use crate::{Address, Member, View};

/// A joiner that lacks more entries than this learns them first, unless it is needed at once.
const MAX_JOINER_LAG_ENTRIES: u64 = 64;
/// The fewest members of a full chain.
const MIN_FULL_CHAIN_LENGTH: usize = 3;

/// What is known of one process.
#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    /// None when it was never heard.
    pub(crate) incarnation: Option<u64>,
    pub(crate) zone: String,
    pub(crate) disk: DiskHealth,
    pub(crate) epoch: u64,
    pub(crate) in_sync_epoch: u64,
    pub(crate) applied: u64,
    pub(crate) hears: Vec<Address>,
    /// Heard of late: what it tells is as new as that.
    pub(crate) is_heard: bool,
    /// Heard of late, and hears this process.
    pub(crate) is_connected: bool,
    /// Neither for so long, while this process was awake.
    pub(crate) is_silent: bool,
    /// Milliseconds since it was heard, while this process was awake.
    pub(crate) silent_for: f64,
}

impl PeerState {
    pub(crate) fn never_heard(awake: f64, silence: f64) -> Self {
        Self {
            incarnation: None,
            zone: String::new(),
            disk: DiskHealth::Healthy,
            epoch: 0,
            in_sync_epoch: 0,
            applied: 0,
            hears: Vec::new(),
            is_heard: false,
            is_connected: false,
            is_silent: awake > silence,
            silent_for: awake,
        }
    }

    pub(crate) fn is_alive(&self, member: &Member) -> bool {
        self.is_connected && self.incarnation == Some(member.incarnation)
    }

    /// It can write, and stays.
    pub(crate) fn disk_works(&self) -> bool {
        matches!(
            self.disk,
            DiskHealth::Healthy | DiskHealth::Absent | DiskHealth::CatchingUp
        )
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.disk == DiskHealth::Leaving
    }

    /// It can write; it may be about to leave.
    pub(crate) fn can_write(&self) -> bool {
        self.disk_works() || self.is_leaving()
    }
}

pub(crate) struct ReconfigurationPolicy {
    pub(crate) tolerated_machine_losses: usize,
    pub(crate) tolerated_zone_losses: usize,
    /// Milliseconds of silence after which a voter may be replaced.
    pub(crate) voter_replacement_timeout: f64,
}

/// Why another view is wanted; the more urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ChangeReason {
    /// A member is lost, or can't write.
    MemberLost,
    /// Another process may come in, or take a dead voter's place.
    MemberJoined,
    /// Two neighbours of the chain don't hear each other, but both are heard here.
    NeighboursDisconnected,
    /// A proposal was accepted here and neither agreed upon nor replaced.
    UnfinishedProposal,
}

type PeerStates = BTreeMap<Address, PeerState>;

/// The view that should follow, and why; None when the present one is as good as can be.
pub(crate) fn next_view(
    view: &View,
    me: &Member,
    known: &PeerStates,
    limits: &ReconfigurationPolicy,
) -> Option<(View, ChangeReason)> {
    let survivors = surviving_members(view, me, known);
    let survivors = without_leaving_members(view, survivors, known, limits);
    let lost = survivors.len() < view.chain.len();
    let (survivors, disconnected) = without_disconnected(survivors, known);
    let mut next = view_of_survivors(view, &survivors, known)?;
    let mut joined = add_joiners(view, &mut next, me, known, limits);
    if limits.tolerated_zone_losses > 0 && !lost && !disconnected && !joined {
        joined = improve_zone_spread(view, &mut next, me, known, limits);
    }
    choose_voters(view, &mut next, known, limits);
    if next.chain == view.chain && next.voters == view.voters {
        return None;
    }
    let commits = |view: &View| {
        view.may_commit(
            limits.tolerated_machine_losses,
            limits.tolerated_zone_losses,
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

/// Whether `member` should be left behind, as far as can be seen from here.
fn is_suspected(view: &View, me: &Member, member: &Member, known: &PeerStates) -> bool {
    let Some(it) = known.get(&member.address) else {
        return true;
    };
    if it
        .incarnation
        .is_some_and(|incarnation| incarnation != member.incarnation)
        || !it.can_write()
    {
        return true;
    }
    if it.disk == DiskHealth::CatchingUp {
        return true;
    }
    if it.is_connected || !it.is_silent {
        return false;
    }
    let neighbours = [view.predecessor(member), view.successor(member)];
    // One that hears nobody of the chain may still be heard by all. Its neighbours find out, if they have a vote.
    let hears = |other: &Member| other != member && it.hears.contains(&other.address);
    let is_deaf = it.is_heard && !view.chain.iter().any(hears);
    let has_judge = neighbours
        .iter()
        .flatten()
        .any(|neighbour| view.voters.contains(neighbour));
    neighbours.contains(&Some(me))
        || is_deaf && !has_judge
        || !known
            .values()
            .any(|other| other.is_connected && other.hears.contains(&member.address))
}

/// Whether `me`, which was told to stop, has to stay until the others can go on without it: it is in the chain (see
/// [`without_leaving_members`]), or a majority of the voters is not there without it.
pub(crate) fn is_needed(view: &View, me: &Member, known: &PeerStates) -> bool {
    let mut members = view.chain.iter().chain(&view.voters);
    if members.all(|member| member == me) {
        return false; // nobody could take its place
    }
    let stays = |voter: &&Member| {
        let it = known.get(&voter.address).filter(|it| it.is_alive(voter));
        // One of the chain that is about to leave has to stay as well.
        *voter != me
            && it.is_some_and(|it| it.disk_works() || it.is_leaving() && view.chain.contains(voter))
    };
    let is_vote_needed =
        || view.voters.contains(me) && view.voters.iter().filter(stays).count() < view.majority();
    view.chain.contains(me) || is_vote_needed()
}

/// The members of the chain that are not suspected.
fn surviving_members(view: &View, me: &Member, known: &PeerStates) -> Vec<Member> {
    let suspect = |member: &&Member| !is_suspected(view, me, member, known);
    view.chain.iter().filter(suspect).cloned().collect()
}

/// Leaves out each member that is about to leave, the last first, as long as the complete ones among the others are
/// enough to commit: they hold all that was ever committed, and outlast what is to be borne.
fn without_leaving_members(
    view: &View,
    survivors: Vec<Member>,
    known: &PeerStates,
    limits: &ReconfigurationPolicy,
) -> Vec<Member> {
    let mut rest = survivors;
    for position in (0..rest.len()).rev() {
        if !known
            .get(&rest[position].address)
            .is_some_and(PeerState::is_leaving)
        {
            continue;
        }
        let mut others = rest.clone();
        others.remove(position);
        let complete: Vec<Member> = others
            .iter()
            .filter(|member| is_complete(view, member, known))
            .cloned()
            .collect();
        let suffices = view_of_survivors(view, &complete, known).is_some_and(|left| {
            left.may_commit(
                limits.tolerated_machine_losses,
                limits.tolerated_zone_losses,
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
fn is_complete(view: &View, member: &Member, known: &PeerStates) -> bool {
    let Some(position) = view.position(member) else {
        return false;
    };
    position == 0
        || known
            .get(&member.address)
            .is_some_and(|it| it.in_sync_epoch >= view.since[position])
}

fn are_connected(one: &Address, other: &Address, known: &PeerStates) -> bool {
    let hears = |one: &Address, other: &Address| {
        known
            .get(one)
            .is_some_and(|known| !known.is_connected || known.hears.contains(other))
    };
    hears(one, other) && hears(other, one)
}

/// Without those that don't hear their predecessor, or aren't heard by it.
fn without_disconnected(survivors: Vec<Member>, known: &PeerStates) -> (Vec<Member>, bool) {
    let mut linked: Vec<Member> = Vec::new();
    let mut disconnected = false;
    for member in survivors {
        let fits = linked
            .last()
            .is_none_or(|last| are_connected(&last.address, &member.address, known));
        if fits {
            linked.push(member);
        } else {
            disconnected = true;
        }
    }
    (linked, disconnected)
}

/// The view with those that stay: first the complete ones, in their order. None when there is none.
fn view_of_survivors(view: &View, survivors: &[Member], known: &PeerStates) -> Option<View> {
    let mut next = View {
        epoch: view.epoch + 1,
        ..View::none()
    };
    let mut incomplete = Vec::new();
    for member in survivors {
        let position = view.position(member)?;
        if is_complete(view, member, known) {
            next.chain.push(member.clone());
            next.since.push(view.since[position]);
            next.zones.push(zone(view, member, known));
        } else {
            incomplete.push(member.clone());
        }
    }
    if next.chain.is_empty() {
        return None;
    }
    for member in incomplete {
        next.since.push(next.epoch);
        next.zones.push(zone(view, &member, known));
        next.chain.push(member);
    }
    Some(next)
}

/// As the process tells it, or as the view knows it.
fn zone(view: &View, member: &Member, known: &PeerStates) -> String {
    let it = known
        .get(&member.address)
        .filter(|it| it.incarnation == Some(member.incarnation));
    let notified = it.map(|it| it.zone.clone()).filter(|zone| !zone.is_empty());
    let chain = view.chain.iter().zip(&view.zones);
    let mut all = chain.chain(view.voters.iter().zip(&view.voter_zones));
    notified
        .or_else(|| {
            all.find(|(other, _)| *other == member)
                .map(|(_, zone)| zone.clone())
        })
        .unwrap_or_default()
}

/// Takes processes that are ready in at the end of the chain; true when there were any.
fn add_joiners(
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

fn push(next: &mut View, member: Member, known: &PeerStates) {
    next.zones.push(
        known
            .get(&member.address)
            .map(|it| it.zone.clone())
            .unwrap_or_default(),
    );
    next.since.push(next.epoch);
    next.chain.push(member);
}

/// Of the processes outside the chain that are ready: one of a zone that the chain lacks, a voter, the first.
fn choose_joiner(
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

/// The process as a member, if it could be taken in: it is here, has this view, and can write.
fn ready(view: &View, address: &Address, it: &PeerState, known: &PeerStates) -> Option<Member> {
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

/// Puts a process of a zone that a full chain lacks in the place of the last member whose zone it has twice. True
/// when that was done.
fn improve_zone_spread(
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

/// The voters: each of the chain, and then each other process that is ready, takes the place of its own former
/// identity, or a free one, or that of the voter outside the chain that leaves or has been dead for longest; never so that the
/// loss of a zone that is to be borne would take the majority.
fn choose_voters(view: &View, next: &mut View, known: &PeerStates, limits: &ReconfigurationPolicy) {
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
fn set_voter(next: &mut View, position: usize, member: &Member, zone: String) {
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
fn with_two_more_voters(
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
fn replaceable_voter(
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
fn colocated_voter(next: &View, limits: &ReconfigurationPolicy) -> Option<usize> {
    if next.voters_survive_zone_loss(limits.tolerated_zone_losses) {
        return None;
    }
    (0..next.voters.len()).rev().find(|position| {
        let shared = next.voter_zones[..*position].contains(&next.voter_zones[*position]);
        shared && !next.chain.contains(&next.voters[*position])
    })
}

fn is_dead(voter: &Member, known: &PeerStates, voter_replacement_timeout: f64) -> bool {
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
