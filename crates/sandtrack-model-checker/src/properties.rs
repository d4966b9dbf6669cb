//! What has to hold in every state; one function for each property, with the rule that it stands for. True: it holds.
//!
//! RULES and LATER are the users' pages, 50 is the issue that lists the properties.
use sandtrack_replication::{Member, View};

use crate::history::Rule;
use crate::machine::Machine;
use crate::node::{Node, Place};
use crate::world::World;

/// CONFIG, and the closing fault of DEPLOY: what was acknowledged is read back by the same bytes, whatever was lost since.
pub fn acknowledged_change_is_read_back<M: Machine>(world: &World<M>) -> bool {
    !world.history.broken.contains(&Rule::ReadBack)
}

/// CONFIG: of two changes that build on one version, one at most is acknowledged.
pub fn one_change_on_a_version<M: Machine>(world: &World<M>) -> bool {
    !world.history.broken.contains(&Rule::OneChangeOnAVersion)
}

/// LATER, "on the wire" and CONFIG: an order that was taken is acknowledged again or left without a clear answer.
pub fn repeat_is_never_refused<M: Machine>(world: &World<M>) -> bool {
    !world.history.broken.contains(&Rule::RepeatRefused)
}

/// CONFIG, "a machine goes back": what one start of a process shows never gets older.
pub fn versions_never_go_back<M: Machine>(world: &World<M>) -> bool {
    !world.history.broken.contains(&Rule::VersionWentBack)
}

/// 50: once a view has committed an entry, no older one commits another.
pub fn old_view_confirms_nothing<M: Machine>(world: &World<M>) -> bool {
    !world.history.broken.contains(&Rule::OldViewConfirmed)
}

/// All processes apply the same commands in the same order: what the properties above rest on.
pub fn one_history<M: Machine>(world: &World<M>) -> bool {
    !world.history.broken.contains(&Rule::HistoriesDiffer)
}

/// 50: a definite answer takes a majority of the voters that took a step since the call began.
pub fn no_answer_without_majority<M: Machine>(world: &World<M>) -> bool {
    !world.history.broken.contains(&Rule::AnswerWithoutMajority)
}

/// 50, "a wiped member's promises count for nothing": there is one view for each epoch, accepted on the disks of a majority
/// of the voters before it, each in the life of the disk that the former view names.
pub fn view_has_a_majority_of_disks<M: Machine>(world: &World<M>) -> bool {
    !world.history.broken.contains(&Rule::ViewWithoutMajority)
}

/// 50: an identity whose disk is lost, and that a view was without, is in no later view.
pub fn replaced_member_never_returns<M: Machine>(world: &World<M>) -> bool {
    !world.history.broken.contains(&Rule::ReplacedReturned)
}

/// LATER, "an order that was overtaken": once the last evacuation that was ordered is acknowledged, no older order takes
/// effect. Doesn't hold for [`crate::machine::Register`], whose evacuations have no identity.
pub fn overtaken_order_has_no_effect<M: Machine>(world: &World<M>) -> bool {
    !world
        .history
        .broken
        .contains(&Rule::OvertakenOrderTookEffect)
}

/// DEPLOY, `tolerated_losses`: while losses keep their distance, a majority of the newest view's voters lives, and a
/// complete member with all that was committed. Holds nothing in set-ups without that distance.
pub fn majority_and_complete_member<M: Machine>(world: &World<M>) -> bool {
    if world.setup.calm_between_losses.is_none() {
        return true;
    }
    let Some(view) = world.history.views.values().next_back() else {
        return true;
    };
    let voters = view.voters.iter().filter(|voter| lives(world, voter));
    2 * voters.count() > view.voters.len()
        && world
            .nodes
            .iter()
            .any(|node| is_complete(world, view, node))
}

fn lives<M: Machine>(world: &World<M>, member: &Member) -> bool {
    let node = world
        .nodes
        .iter()
        .find(|node| node.member.as_ref() == Some(member));
    node.is_some_and(|node| node.place == Place::Present && !is_lost(world, node))
}

fn is_lost<M: Machine>(world: &World<M>, node: &Node<M>) -> bool {
    let index = node.index;
    let apart =
        |other: usize| world.cuts.contains(&(index, other)) || world.cuts.contains(&(other, index));
    let mut others = world
        .nodes
        .iter()
        .filter(|other| other.index != index && other.place == Place::Present);
    let awake = node.replica.is_some() && !node.frozen;
    !awake || others.all(|other| apart(other.index))
}

fn is_complete<M: Machine>(world: &World<M>, view: &View, node: &Node<M>) -> bool {
    let Some(replica) = node.replica.as_ref().filter(|_| !is_lost(world, node)) else {
        return false;
    };
    let position = view
        .chain
        .iter()
        .position(|member| member == replica.member());
    let facts = replica.durable_facts();
    position.is_some_and(|position| position == 0 || facts.in_sync_epoch >= view.since[position])
        && facts.end >= world.history.commits.len() as u64
}
