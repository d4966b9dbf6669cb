//! The properties that must hold in every state, one function for each; true if it holds.
//!
//! CONFIG, LATER and DEPLOY are parts of the specification; 50 is the issue that lists the properties.
use sandtrack_replication::{Member, View};

use crate::cluster::Cluster;
use crate::history::Rule;
use crate::machine::Machine;
use crate::node::{Membership, Node};

/// CONFIG and DEPLOY (all machines struck at once): an acknowledged change is read back byte for byte, whatever was lost since.
pub fn acknowledged_change_is_read_back<M: Machine>(cluster: &Cluster<M>) -> bool {
    !cluster.history.violations.contains(&Rule::ReadBack)
}

/// CONFIG: of two changes that build on one version, one at most is acknowledged.
pub fn one_change_on_a_version<M: Machine>(cluster: &Cluster<M>) -> bool {
    !cluster
        .history
        .violations
        .contains(&Rule::OneChangeOnAVersion)
}

/// LATER and CONFIG: an accepted change that is submitted again is acknowledged again or gets no definite response.
pub fn repeat_is_never_refused<M: Machine>(cluster: &Cluster<M>) -> bool {
    !cluster
        .history
        .violations
        .contains(&Rule::ResubmissionRejected)
}

/// CONFIG: what one run of a process shows never gets older.
pub fn versions_never_go_back<M: Machine>(cluster: &Cluster<M>) -> bool {
    !cluster.history.violations.contains(&Rule::VersionWentBack)
}

/// 50: once a view has committed an entry, no older one commits another.
pub fn old_view_confirms_nothing<M: Machine>(cluster: &Cluster<M>) -> bool {
    !cluster.history.violations.contains(&Rule::OldViewCommitted)
}

/// All processes apply the same commands in the same order: what the properties above rest on.
pub fn one_history<M: Machine>(cluster: &Cluster<M>) -> bool {
    !cluster.history.violations.contains(&Rule::HistoriesDiffer)
}

/// 50: a definite response requires that a majority of the voters took a step since the call began.
pub fn no_answer_without_majority<M: Machine>(cluster: &Cluster<M>) -> bool {
    !cluster
        .history
        .violations
        .contains(&Rule::ResponseWithoutMajority)
}

/// 50: there is one view for each epoch, accepted on the disks of a majority of the voters of the view before it; what a
/// voter accepted on a disk that is lost since does not count.
pub fn view_has_a_majority_of_disks<M: Machine>(cluster: &Cluster<M>) -> bool {
    !cluster
        .history
        .violations
        .contains(&Rule::ViewWithoutMajority)
}

/// 50: a member whose disk is lost, and that a view has excluded, is in no later view.
pub fn replaced_member_never_returns<M: Machine>(cluster: &Cluster<M>) -> bool {
    !cluster
        .history
        .violations
        .contains(&Rule::LostMemberReturned)
}

/// LATER: once the last evacuation operation is acknowledged, no older one takes effect. Doesn't hold for
/// [`crate::machine::Register`], whose evacuations have no identity.
pub fn overtaken_order_has_no_effect<M: Machine>(cluster: &Cluster<M>) -> bool {
    !cluster
        .history
        .violations
        .contains(&Rule::OvertakenOperationTookEffect)
}

/// CONFIG: no process shows an invalid configuration, whatever is under way at once.
pub fn no_invalid_configuration_in_force<M: Machine>(cluster: &Cluster<M>) -> bool {
    let replicas = cluster
        .nodes
        .iter()
        .filter_map(|node| node.replica.as_ref());
    replicas
        .map(|replica| replica.machine())
        .all(Machine::has_valid_configuration)
}

/// DEPLOY, `tolerated_losses`: while losses keep their distance, a majority of the newest view's voters is alive, and a
/// complete member with all committed commands. Checks nothing in set-ups without that distance.
pub fn majority_and_complete_member<M: Machine>(cluster: &Cluster<M>) -> bool {
    if cluster.setup.steady_ticks_between_losses.is_none() {
        return true;
    }
    let Some(view) = cluster.history.views.values().next_back() else {
        return true;
    };
    let voters = view.voters.iter().filter(|voter| lives(cluster, voter));
    2 * voters.count() > view.voters.len()
        && cluster
            .nodes
            .iter()
            .any(|node| is_complete(cluster, view, node))
}

fn lives<M: Machine>(cluster: &Cluster<M>, member: &Member) -> bool {
    let node = cluster
        .nodes
        .iter()
        .find(|node| node.member.as_ref() == Some(member));
    node.is_some_and(|node| node.membership == Membership::Present && !is_lost(cluster, node))
}

fn is_lost<M: Machine>(cluster: &Cluster<M>, node: &Node<M>) -> bool {
    let index = node.index;
    let apart = |other: usize| {
        cluster.partitions.separates(index, other) || cluster.partitions.separates(other, index)
    };
    let mut others = cluster
        .nodes
        .iter()
        .filter(|other| other.index != index && other.membership == Membership::Present);
    let awake = node.replica.is_some() && !node.frozen;
    !awake || others.all(|other| apart(other.index))
}

fn is_complete<M: Machine>(cluster: &Cluster<M>, view: &View, node: &Node<M>) -> bool {
    let Some(replica) = node.replica.as_ref().filter(|_| !is_lost(cluster, node)) else {
        return false;
    };
    let position = view
        .chain
        .iter()
        .position(|member| member == replica.member());
    let facts = replica.durable_facts();
    position.is_some_and(|position| position == 0 || facts.in_sync_epoch >= view.since[position])
        && facts.end >= cluster.history.commits.len() as u64
}
