//! What was observed from outside so far. Rules about the past are checked here as things happen; violations are kept, and
//! `properties` maps them to properties.
use std::collections::{BTreeMap, BTreeSet};

use sandtrack_replication::{Member, View};

use crate::hashing::hash_of;
use crate::machine::{CallOutcome, Machine, Operation, VisibleConfiguration};
use crate::node::Node;

/// A rule that a single step can violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// An acknowledged change is read back as it was acknowledged.
    ReadBack,
    /// At most one change on a version is acknowledged.
    OneChangeOnAVersion,
    /// No accepted change is rejected when it is submitted again.
    ResubmissionRejected,
    /// What a process shows never gets older.
    VersionWentBack,
    /// No older view commits after a newer one.
    OldViewCommitted,
    /// A definite response requires a majority of the voters.
    ResponseWithoutMajority,
    /// A view requires the accepted votes of a majority of the voters before it.
    ViewWithoutMajority,
    /// No excluded member whose disk is lost returns.
    LostMemberReturned,
    /// No overtaken evacuation operation takes effect.
    OvertakenOperationTookEffect,
    /// All processes apply the same commands in the same order.
    HistoriesDiffer,
}

/// A call without a response yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OpenCall {
    /// The newest change that was acknowledged before the call began.
    floor: VisibleConfiguration,
    /// The machines that have received a message since, as a bit set.
    heard_from: u32,
}

/// What was observed so far, and the rules that were violated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct History {
    /// The violated rules.
    pub violations: BTreeSet<Rule>,
    /// Acknowledged operations by their index in the script, in the order of their first acknowledgement.
    pub acknowledged: Vec<usize>,
    /// The newest configuration that was acknowledged.
    pub newest: VisibleConfiguration,
    /// Changes that were accepted, acknowledged or not.
    accepted_changes: BTreeSet<usize>,
    /// The hash of each committed command.
    pub commits: Vec<u64>,
    /// The last epoch in which something was committed.
    newest_epoch: u64,
    /// The agreed views by epoch.
    pub views: BTreeMap<u64, View>,
    /// Epoch, voter, and hash of the view that it accepted on its disk to follow that epoch.
    accepted: BTreeSet<(u64, Member, u64)>,
    /// What each process showed last, by machine and number of its start: applied number and version.
    shown: BTreeMap<(usize, u64), (u64, u64)>,
    /// Members whose disk is lost.
    pub lost_members: BTreeSet<Member>,
    open: BTreeMap<u64, OpenCall>,
}

impl History {
    fn check(&mut self, holds: bool, rule: Rule) {
        if !holds {
            self.violations.insert(rule);
        }
    }

    /// A call was sent to a machine.
    pub fn call_began(&mut self, call: u64, node: usize) {
        self.open.insert(
            call,
            OpenCall {
                floor: self.newest,
                heard_from: 1 << node,
            },
        );
    }

    /// Whether an open call has yet to see this machine receive a message.
    pub fn awaits(&self, node: usize) -> bool {
        self.open
            .values()
            .any(|call| call.heard_from & (1 << node) == 0)
    }

    /// A machine received a message of another one.
    pub fn message_received(&mut self, node: usize) {
        for call in self.open.values_mut() {
            call.heard_from |= 1 << node;
        }
    }

    /// A call ended without a definite response.
    pub fn call_ended(&mut self, call: u64) {
        self.open.remove(&call);
    }

    /// A call got a definite response from `node`.
    pub fn answered<M: Machine>(
        &mut self,
        call: u64,
        script_index: usize,
        script: &[Operation],
        outcome: CallOutcome,
        node: &Node<M>,
    ) {
        let Some(open) = self.open.remove(&call) else {
            return;
        };
        self.check_majority(&open, node);
        let operation = script[script_index];
        match (operation, outcome) {
            (Operation::Read, CallOutcome::Read(shown)) => {
                let fresh = shown.version >= open.floor.version;
                let same = shown.version != open.floor.version || shown == open.floor;
                self.check(fresh && same, Rule::ReadBack);
            }
            (
                Operation::Change {
                    based_on,
                    version,
                    mark,
                }
                | Operation::GiveKey {
                    based_on,
                    version,
                    tenant: mark,
                },
                CallOutcome::Accepted,
            ) => {
                let others = self
                    .acknowledged
                    .iter()
                    .filter(|other| **other != script_index);
                let clash = others
                    .map(|other| script[*other].based_on())
                    .any(|theirs| theirs == Some(based_on));
                self.check(!clash, Rule::OneChangeOnAVersion);
                if version > self.newest.version {
                    self.newest = VisibleConfiguration { version, mark };
                }
                self.acknowledge(script_index);
            }
            (Operation::Evacuate { .. }, CallOutcome::Accepted) => self.acknowledge(script_index),
            (Operation::Change { .. } | Operation::GiveKey { .. }, _) => self.check(
                !self.accepted_changes.contains(&script_index),
                Rule::ResubmissionRejected,
            ),
            _ => self.check(false, Rule::ResubmissionRejected),
        }
    }

    fn acknowledge(&mut self, script_index: usize) {
        if !self.acknowledged.contains(&script_index) {
            self.acknowledged.push(script_index);
        }
    }

    fn check_majority<M: Machine>(&mut self, open: &OpenCall, node: &Node<M>) {
        let Some(view) = node.replica.as_ref().map(|replica| replica.view().clone()) else {
            return;
        };
        let heard_from = view.voters.iter().filter(|voter| {
            let index = voter
                .address
                .trim_start_matches('m')
                .parse::<usize>()
                .unwrap_or(1)
                - 1;
            open.heard_from & (1 << index) != 0
        });
        let majority = 2 * heard_from.count() > view.voters.len();
        self.check(majority, Rule::ResponseWithoutMajority);
    }

    /// A process applied a command; `epoch` of the entry where it is known.
    pub fn applied(
        &mut self,
        number: u64,
        epoch: Option<u64>,
        command: &[u8],
        script_index: Option<usize>,
        won: bool,
    ) {
        let hash = hash_of(&command);
        let at = number as usize - 1;
        if let Some(known) = self.commits.get(at) {
            let same = *known == hash;
            self.check(same, Rule::HistoriesDiffer);
            return;
        }
        self.check(at == self.commits.len(), Rule::HistoriesDiffer);
        if let Some(epoch) = epoch {
            self.check(epoch >= self.newest_epoch, Rule::OldViewCommitted);
            self.newest_epoch = self.newest_epoch.max(epoch);
        }
        self.commits.push(hash);
        if let (Some(script_index), true) = (script_index, won) {
            self.accepted_changes.insert(script_index);
        }
    }

    /// A view was reported as agreed upon.
    pub fn view_agreed(&mut self, view: &View) {
        if let Some(known) = self.views.get(&view.epoch) {
            let same = known == view;
            self.check(same, Rule::ViewWithoutMajority);
            return;
        }
        if let Some(before) = self.views.get(&(view.epoch - 1)) {
            let hash = hash_of(view);
            let votes = before.voters.iter().filter(|voter| {
                self.accepted
                    .contains(&(before.epoch, (*voter).clone(), hash))
            });
            let majority = 2 * votes.count() > before.voters.len();
            self.check(majority, Rule::ViewWithoutMajority);
        }
        let returned = self
            .lost_members
            .iter()
            .any(|member| self.returns(member, view));
        self.check(!returned, Rule::LostMemberReturned);
        self.views.insert(view.epoch, view.clone());
    }

    /// Whether a view names a lost member that an earlier view had already excluded.
    fn returns(&self, member: &Member, view: &View) -> bool {
        let names = |view: &View| view.chain.contains(member) || view.voters.contains(member);
        let since = self
            .views
            .values()
            .find(|view| names(view))
            .map(|view| view.epoch);
        let left =
            since.is_some_and(|since| self.views.range(since..).any(|(_, view)| !names(view)));
        names(view) && left
    }

    /// What a process shows: its machine and start, with the applied number and the version.
    fn shown_by<M: Machine>(node: &Node<M>) -> Option<((usize, u64), (u64, u64))> {
        let replica = node.replica.as_ref()?;
        let version = replica.machine().visible_configuration().version;
        Some((
            (node.index, node.starts),
            (replica.applied_number(), version),
        ))
    }

    /// The view that a process has accepted on its disk.
    fn accepted_by<M: Machine>(node: &Node<M>) -> Option<(u64, Member, u64)> {
        let replica = node.replica.as_ref()?;
        let facts = replica.durable_facts();
        let view = facts.accepted?;
        Some((facts.epoch, replica.member().clone(), hash_of(&view)))
    }

    /// Whether a process has accepted a view on its disk that is not recorded.
    pub fn has_new_acceptance<M: Machine>(&self, node: &Node<M>) -> bool {
        Self::accepted_by(node).is_some_and(|accepted| !self.accepted.contains(&accepted))
    }

    /// Records the view that a process has accepted on its disk.
    pub fn record_accepted<M: Machine>(&mut self, node: &Node<M>) {
        self.accepted.extend(Self::accepted_by(node));
    }

    /// Whether a process shows something that is not recorded, or violates a rule.
    pub fn has_changed<M: Machine>(
        &self,
        node: &Node<M>,
        script: &[Operation],
        issued: u32,
    ) -> bool {
        let shows =
            Self::shown_by(node).is_some_and(|(who, what)| self.shown.get(&who) != Some(&what));
        shows || !self.rules_of_state(node, script, issued).is_empty()
    }

    /// Checks and records the state of a process after each of its steps.
    pub fn observe<M: Machine>(&mut self, node: &Node<M>, script: &[Operation], issued: u32) {
        if let Some((who, now)) = Self::shown_by(node) {
            let before = self.shown.insert(who, now).unwrap_or_default();
            self.check(
                now.0 >= before.0 && now.1 >= before.1,
                Rule::VersionWentBack,
            );
        }
        let violations = self.rules_of_state(node, script, issued);
        self.violations.extend(violations);
    }

    /// The rules that the state of a process violates by itself, where it has applied all that is committed.
    fn rules_of_state<M: Machine>(
        &self,
        node: &Node<M>,
        script: &[Operation],
        issued: u32,
    ) -> Vec<Rule> {
        let replica = node.replica.as_ref();
        let current =
            replica.filter(|replica| replica.applied_number() == self.commits.len() as u64);
        let Some(machine) = current.map(|replica| replica.machine()) else {
            return Vec::new();
        };
        let mut violations = Vec::new();
        let shown = machine.visible_configuration();
        if shown.version < self.newest.version
            || shown.version == self.newest.version && shown != self.newest
        {
            violations.push(Rule::ReadBack);
        }
        if self.is_overtaken(machine.is_evacuated(), script, issued) {
            violations.push(Rule::OvertakenOperationTookEffect);
        }
        violations
    }

    /// Whether the last evacuation operation is acknowledged, and the state differs from what it asked for.
    fn is_overtaken(&self, evacuated: bool, script: &[Operation], issued: u32) -> bool {
        let was_issued = |script_index: &usize| issued & (1 << script_index) != 0;
        let is_evacuation =
            |script_index: &usize| matches!(script[*script_index], Operation::Evacuate { .. });
        let last = (0..script.len())
            .rev()
            .filter(was_issued)
            .find(is_evacuation);
        let acknowledged = last.filter(|script_index| self.acknowledged.contains(script_index));
        acknowledged.is_some_and(|script_index| {
            script[script_index] != Operation::Evacuate { begin: evacuated }
        })
    }
}
