//! What was seen from outside so far. Rules that speak of the past are judged here as things happen; what was broken is
//! kept, and `properties` names it.
use std::collections::{BTreeMap, BTreeSet};

use sandtrack_replication::{Member, View};

use crate::hashing::hash_of;
use crate::machine::{Machine, Order, Shown, Told};
use crate::node::Node;

/// A rule that can be broken by one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    ReadBack,
    OneChangeOnAVersion,
    RepeatRefused,
    VersionWentBack,
    OldViewConfirmed,
    AnswerWithoutMajority,
    ViewWithoutMajority,
    ReplacedReturned,
    OvertakenOrderTookEffect,
    HistoriesDiffer,
}

/// A call that was not answered yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OpenCall {
    /// The newest change that was acknowledged to anyone before it began.
    floor: Shown,
    /// The machines that took a message since, as bits.
    heard: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct History {
    pub broken: BTreeSet<Rule>,
    /// Orders that were acknowledged, by their place in the script, in this order; each once.
    pub acknowledged: Vec<usize>,
    /// The newest configuration that was acknowledged.
    pub newest: Shown,
    /// Changes that were taken, acknowledged or not.
    taken: BTreeSet<usize>,
    /// The hash of each committed command.
    pub commits: Vec<u64>,
    /// The last epoch in which something was committed.
    newest_epoch: u64,
    pub views: BTreeMap<u64, View>,
    /// Epoch, voter, and hash of the view that it accepted on its disk to follow that epoch.
    accepted: BTreeSet<(u64, Member, u64)>,
    /// What each process showed last, by machine and start: applied number and version.
    shown: BTreeMap<(usize, u64), (u64, u64)>,
    /// Identities whose disk is lost.
    pub dead: BTreeSet<Member>,
    open: BTreeMap<u64, OpenCall>,
}

impl History {
    fn check(&mut self, holds: bool, rule: Rule) {
        if !holds {
            self.broken.insert(rule);
        }
    }

    pub fn call_began(&mut self, call: u64, node: usize) {
        self.open.insert(
            call,
            OpenCall {
                floor: self.newest,
                heard: 1 << node,
            },
        );
    }

    /// Whether a message that a machine takes matters to an open call.
    pub fn awaits(&self, node: usize) -> bool {
        self.open.values().any(|call| call.heard & (1 << node) == 0)
    }

    /// A machine took a message of another one.
    pub fn heard(&mut self, node: usize) {
        for call in self.open.values_mut() {
            call.heard |= 1 << node;
        }
    }

    /// A call ended without a definite answer.
    pub fn call_ended(&mut self, call: u64) {
        self.open.remove(&call);
    }

    /// A call got a definite answer from `node`.
    pub fn answered<M: Machine>(
        &mut self,
        call: u64,
        place: usize,
        script: &[Order],
        told: Told,
        node: &Node<M>,
    ) {
        let Some(open) = self.open.remove(&call) else {
            return;
        };
        self.check_majority(&open, node);
        let order = script[place];
        match (order, told) {
            (Order::Read, Told::Read(shown)) => {
                let fresh = shown.version >= open.floor.version;
                let same = shown.version != open.floor.version || shown == open.floor;
                self.check(fresh && same, Rule::ReadBack);
            }
            (
                Order::Change {
                    based_on,
                    version,
                    mark,
                },
                Told::Taken,
            ) => {
                let clash = self.acknowledged.iter().filter(|other| **other != place).any(|other| {
                    matches!(script[*other], Order::Change { based_on: theirs, .. } if theirs == based_on)
                });
                self.check(!clash, Rule::OneChangeOnAVersion);
                if version > self.newest.version {
                    self.newest = Shown { version, mark };
                }
                self.acknowledge(place);
            }
            (Order::Evacuate { .. }, Told::Taken) => self.acknowledge(place),
            (Order::Change { .. }, _) => {
                self.check(!self.taken.contains(&place), Rule::RepeatRefused)
            }
            _ => self.check(false, Rule::RepeatRefused),
        }
    }

    fn acknowledge(&mut self, place: usize) {
        if !self.acknowledged.contains(&place) {
            self.acknowledged.push(place);
        }
    }

    fn check_majority<M: Machine>(&mut self, open: &OpenCall, node: &Node<M>) {
        let Some(view) = node.replica.as_ref().map(|replica| replica.view().clone()) else {
            return;
        };
        let heard = view.voters.iter().filter(|voter| {
            let index = voter
                .address
                .trim_start_matches('m')
                .parse::<usize>()
                .unwrap_or(1)
                - 1;
            open.heard & (1 << index) != 0
        });
        let majority = 2 * heard.count() > view.voters.len();
        self.check(majority, Rule::AnswerWithoutMajority);
    }

    /// A process applied a command; `epoch` of the entry where it is known.
    pub fn applied(
        &mut self,
        number: u64,
        epoch: Option<u64>,
        command: &[u8],
        place: Option<usize>,
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
            self.check(epoch >= self.newest_epoch, Rule::OldViewConfirmed);
            self.newest_epoch = self.newest_epoch.max(epoch);
        }
        self.commits.push(hash);
        if let (Some(place), true) = (place, won) {
            self.taken.insert(place);
        }
    }

    /// A view was told of as agreed.
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
        let returned = self.dead.iter().any(|member| self.returns(member, view));
        self.check(!returned, Rule::ReplacedReturned);
        self.views.insert(view.epoch, view.clone());
    }

    /// Whether a view names an identity that is dead and that an earlier view was without again.
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
        let version = replica.machine().shown().version;
        Some((
            (node.index, node.starts),
            (replica.applied_number(), version),
        ))
    }

    /// What a process has accepted on its disk.
    fn accepted_by<M: Machine>(node: &Node<M>) -> Option<(u64, Member, u64)> {
        let replica = node.replica.as_ref()?;
        let facts = replica.durable_facts();
        let view = facts.accepted?;
        Some((facts.epoch, replica.member().clone(), hash_of(&view)))
    }

    /// Whether a process has accepted a view on its disk that is not noted.
    pub fn accepts_anew<M: Machine>(&self, node: &Node<M>) -> bool {
        Self::accepted_by(node).is_some_and(|accepted| !self.accepted.contains(&accepted))
    }

    pub fn note_accepted<M: Machine>(&mut self, node: &Node<M>) {
        self.accepted.extend(Self::accepted_by(node));
    }

    /// Whether a process shows something that is not noted, or breaks a rule.
    pub fn is_news<M: Machine>(&self, node: &Node<M>, script: &[Order], issued: u32) -> bool {
        let shows =
            Self::shown_by(node).is_some_and(|(who, what)| self.shown.get(&who) != Some(&what));
        shows || !self.rules_of_state(node, script, issued).is_empty()
    }

    /// Looks at a process after each of its steps.
    pub fn observe<M: Machine>(&mut self, node: &Node<M>, script: &[Order], issued: u32) {
        if let Some((who, now)) = Self::shown_by(node) {
            let before = self.shown.insert(who, now).unwrap_or_default();
            self.check(
                now.0 >= before.0 && now.1 >= before.1,
                Rule::VersionWentBack,
            );
        }
        let broken = self.rules_of_state(node, script, issued);
        self.broken.extend(broken);
    }

    /// The rules that the state of a process breaks by itself, where it has applied all that is committed.
    fn rules_of_state<M: Machine>(
        &self,
        node: &Node<M>,
        script: &[Order],
        issued: u32,
    ) -> Vec<Rule> {
        let replica = node.replica.as_ref();
        let current =
            replica.filter(|replica| replica.applied_number() == self.commits.len() as u64);
        let Some(machine) = current.map(|replica| replica.machine()) else {
            return Vec::new();
        };
        let mut broken = Vec::new();
        let shown = machine.shown();
        if shown.version < self.newest.version
            || shown.version == self.newest.version && shown != self.newest
        {
            broken.push(Rule::ReadBack);
        }
        if self.is_overtaken(machine.is_evacuated(), script, issued) {
            broken.push(Rule::OvertakenOrderTookEffect);
        }
        broken
    }

    /// Whether the last evacuation that was ordered is acknowledged, and the state is not what it ordered.
    fn is_overtaken(&self, evacuated: bool, script: &[Order], issued: u32) -> bool {
        let was_issued = |place: &usize| issued & (1 << place) != 0;
        let is_evacuation = |place: &usize| matches!(script[*place], Order::Evacuate { .. });
        let last = (0..script.len())
            .rev()
            .filter(was_issued)
            .find(is_evacuation);
        let acknowledged = last.filter(|place| self.acknowledged.contains(place));
        acknowledged.is_some_and(|place| script[place] != Order::Evacuate { begin: evacuated })
    }
}
