//! A model of the lease on polling the platform's endpoint list, a singleton role. The election is the real
//! [`PollerElection`] of the control nodes; what the control node does with it on a tick, on a heartbeat of a peer and after a
//! freeze is modelled here in small.
//!
//! A heartbeat carries the claim, whether the leader has timed out, and, from a leader that has polled, the list. Links keep
//! the order of their frames. A partition delays a link one way: what was sent arrives when the partition heals.
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};

use sandtrack_control::endpoint_poller::{
    PeerReport, PollerElection, PollerLease, HOLDER_TIMEOUT_MS,
};

use crate::node::address;
use crate::partitions::Partitions;

pub mod search;

/// Milliseconds between two ticks: the heartbeat interval of the control nodes.
pub const TICK_MS: f64 = 150.0;
/// Ticks from becoming the leader to having polled the list.
const LIST_READ_TICKS: u8 = 2;

/// How often each kind of action may still happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ElectionBudget {
    /// Ticks of all machines.
    pub ticks: u8,
    /// All faults together.
    pub deviations: u8,
    /// Freezes of a process.
    pub freezes: u8,
    /// One-way partitions between two machines.
    pub partitions: u8,
    /// Partitions between one machine and all others.
    pub isolations: u8,
    /// Restarts of a process.
    pub restarts: u8,
    /// Shutdowns of a leader, which names its successor.
    pub shutdowns: u8,
}

/// An action of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ElectionAction {
    /// The oldest frame of a link arrives.
    Deliver {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
    },
    /// All clocks advance by one tick, and all processes that run handle what is due.
    Tick,
    /// A process stops to take steps.
    Freeze(usize),
    /// A frozen process is resumed.
    Wake(usize),
    /// A one-way partition between two machines.
    Partition {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
    },
    /// A partition between a machine and all others.
    Isolate(usize),
    /// All partitions end.
    Heal,
    /// The process restarts; what was on its links is lost.
    Restart(usize),
    /// The leader shuts down gracefully.
    Shutdown(usize),
}

/// A rule that a single step can violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ElectionRule {
    /// There is at most one leader in a term.
    OneLeaderPerTerm,
    /// Accepted lists of one term come from one machine.
    OneListSenderPerTerm,
    /// No list is accepted whose claim is older than the one that the receiver knows.
    ListFromOlderTerm,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Heartbeat {
    claim: (u64, String),
    silent: bool,
    shutting_down: bool,
    has_list: bool,
}

impl Heartbeat {
    fn claim(&self) -> PollerLease {
        PollerLease {
            term: self.claim.0,
            holder: self.claim.1.clone(),
        }
    }
}

#[derive(Clone, Debug)]
struct PeerState {
    at: f64,
    report: PeerReport,
    shutting_down: bool,
}

#[derive(Clone, Debug)]
struct Process {
    election: PollerElection,
    peers: BTreeMap<String, PeerState>,
    clock: f64,
    /// When it ran last.
    last_run: f64,
    frozen: bool,
    shutting_down: bool,
    /// Ticks for which it has been the leader, up to [`LIST_READ_TICKS`].
    leader_ticks: u8,
}

impl Process {
    fn new(index: usize, now: f64) -> Self {
        Self {
            election: PollerElection::new(&address(index), now),
            peers: BTreeMap::new(),
            clock: now,
            last_run: now,
            frozen: false,
            shutting_down: false,
            leader_ticks: 0,
        }
    }

    /// Before all else: a process that did not run for long is the leader no more.
    fn begin(&mut self) {
        if self.clock - self.last_run > HOLDER_TIMEOUT_MS {
            self.election.reset_after_pause(self.clock);
        }
        self.last_run = self.clock;
    }

    /// The peers that sent a heartbeat lately and are not shutting down.
    fn live(&self) -> BTreeMap<String, PeerReport> {
        let live =
            |peers: &&PeerState| !peers.shutting_down && self.clock - peers.at <= HOLDER_TIMEOUT_MS;
        let live = self.peers.iter().filter(|(_, peers)| live(peers));
        live.map(|(address, peers)| (address.clone(), peers.report.clone()))
            .collect()
    }

    fn has_list(&self) -> bool {
        self.election.is_holder() && self.leader_ticks >= LIST_READ_TICKS
    }
}

/// A state of the model.
#[derive(Clone)]
pub struct ElectionCluster {
    processes: Vec<Process>,
    links: BTreeMap<(usize, usize), VecDeque<Heartbeat>>,
    partitions: Partitions,
    now: f64,
    budget: ElectionBudget,
    leaders: BTreeSet<(u64, usize)>,
    list_senders: BTreeSet<(u64, usize)>,
    /// The violated rules.
    pub violations: BTreeSet<ElectionRule>,
}

impl Hash for ElectionCluster {
    fn hash<H: Hasher>(&self, state: &mut H) {
        for process in &self.processes {
            format!("{process:?}").hash(state);
        }
        (
            &self.links,
            &self.partitions,
            &self.budget,
            &self.leaders,
            &self.list_senders,
            &self.violations,
        )
            .hash(state);
    }
}

/// Compares fingerprints, as the search does.
impl PartialEq for ElectionCluster {
    fn eq(&self, other: &Self) -> bool {
        crate::hashing::hash_of(self) == crate::hashing::hash_of(other)
    }
}

impl std::fmt::Debug for ElectionCluster {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let claims = self
            .processes
            .iter()
            .map(|process| process.election.lease());
        let claims: Vec<String> = claims
            .map(|claim| format!("{} {}", claim.term, claim.holder))
            .collect();
        write!(f, "{:.0} ms, claims {claims:?}", self.now)
    }
}

impl ElectionCluster {
    /// The initial state: all machines run and know the first leader, which has polled the list.
    pub fn prepared(machines: usize, budget: ElectionBudget) -> Self {
        let processes = (0..machines)
            .map(|index| Process::new(index, 0.0))
            .collect();
        let mut cluster = Self {
            processes,
            links: BTreeMap::new(),
            partitions: Partitions::default(),
            now: 0.0,
            budget: ElectionBudget {
                ticks: u8::MAX,
                ..ElectionBudget::default()
            },
            leaders: BTreeSet::new(),
            list_senders: BTreeSet::new(),
            violations: BTreeSet::new(),
        };
        for _ in 0..=LIST_READ_TICKS + 1 {
            cluster.take(ElectionAction::Tick);
            while let Some(action) = cluster.next_due() {
                cluster.take(action);
            }
        }
        cluster.budget = budget;
        cluster
    }

    fn order(&self) -> Vec<String> {
        (0..self.processes.len()).map(address).collect()
    }

    /// The delivery of the next frame that can arrive.
    fn next_due(&self) -> Option<ElectionAction> {
        let arrives = |link: &(usize, usize)| {
            !self.partitions.separates(link.0, link.1) && !self.processes[link.1].frozen
        };
        let filled = self
            .links
            .iter()
            .filter(|(_, frames)| !frames.is_empty())
            .map(|(link, _)| *link);
        filled
            .filter(arrives)
            .map(|(from, to)| ElectionAction::Deliver { from, to })
            .next()
    }

    /// Adds all enabled actions. Time advances when all that can arrive has arrived.
    pub fn actions(&self, actions: &mut Vec<ElectionAction>) {
        if !self.violations.is_empty() {
            return;
        }
        match self.next_due() {
            Some(deliver) => actions.push(deliver),
            None => {
                if self.budget.ticks > 0 {
                    actions.push(ElectionAction::Tick);
                }
                let frozen =
                    (0..self.processes.len()).filter(|index| self.processes[*index].frozen);
                actions.extend(frozen.map(ElectionAction::Wake));
                if !self.partitions.is_empty() {
                    actions.push(ElectionAction::Heal);
                }
            }
        }
        if self.budget.deviations > 0 {
            self.faults(actions);
        }
    }

    fn faults(&self, actions: &mut Vec<ElectionAction>) {
        let budget = &self.budget;
        let all = 0..self.processes.len();
        for from in all.clone().filter(|_| budget.partitions > 0) {
            let others = all
                .clone()
                .filter(|to| *to != from && !self.partitions.separates(from, *to));
            actions.extend(others.map(|to| ElectionAction::Partition { from, to }));
        }
        for index in all {
            let process = &self.processes[index];
            if budget.isolations > 0 {
                actions.push(ElectionAction::Isolate(index));
            }
            if budget.restarts > 0 {
                actions.push(ElectionAction::Restart(index));
            }
            if budget.freezes > 0 && !process.frozen {
                actions.push(ElectionAction::Freeze(index));
            }
            if budget.shutdowns > 0
                && !process.frozen
                && !process.shutting_down
                && process.election.is_holder()
            {
                actions.push(ElectionAction::Shutdown(index));
            }
        }
    }

    /// Takes an action that is known to be enabled.
    pub fn take(&mut self, action: ElectionAction) {
        self.spend(action);
        match action {
            ElectionAction::Deliver { from, to } => self.deliver(from, to),
            ElectionAction::Tick => self.tick(),
            ElectionAction::Freeze(index) => self.processes[index].frozen = true,
            ElectionAction::Wake(index) => {
                let now = self.now;
                let process = &mut self.processes[index];
                (process.frozen, process.clock) = (false, now);
            }
            ElectionAction::Partition { from, to } => {
                self.partitions.insert(from, to);
            }
            ElectionAction::Isolate(index) => {
                self.partitions.isolate(index, self.processes.len());
            }
            ElectionAction::Heal => self.partitions.heal(),
            ElectionAction::Restart(index) => {
                self.processes[index] = Process::new(index, self.now);
                self.links
                    .retain(|(from, to), _| *from != index && *to != index);
            }
            ElectionAction::Shutdown(index) => self.shut_down(index),
        }
        self.record_leaders();
    }

    fn spend(&mut self, action: ElectionAction) {
        let budget = &mut self.budget;
        let own = match action {
            ElectionAction::Deliver { .. } | ElectionAction::Wake(_) | ElectionAction::Heal => {
                return
            }
            ElectionAction::Tick => return budget.ticks = budget.ticks.saturating_sub(1),
            ElectionAction::Freeze(_) => &mut budget.freezes,
            ElectionAction::Partition { .. } => &mut budget.partitions,
            ElectionAction::Isolate(_) => &mut budget.isolations,
            ElectionAction::Restart(_) => &mut budget.restarts,
            ElectionAction::Shutdown(_) => &mut budget.shutdowns,
        };
        *own = own.saturating_sub(1);
        budget.deviations = budget.deviations.saturating_sub(1);
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        let order = self.order();
        for index in 0..self.processes.len() {
            let process = &mut self.processes[index];
            if process.frozen {
                continue;
            }
            process.clock = self.now;
            process.begin();
            if !process.shutting_down {
                let live = process.live();
                process
                    .election
                    .take_over(process.clock, &order, &live, &order);
            }
            let holds = process.election.is_holder();
            process.leader_ticks = if holds {
                (process.leader_ticks + 1).min(LIST_READ_TICKS)
            } else {
                0
            };
            self.heartbeat(index);
        }
    }

    fn heartbeat(&mut self, index: usize) {
        let process = &self.processes[index];
        let claim = process.election.lease();
        let heartbeat = Heartbeat {
            claim: (claim.term, claim.holder.clone()),
            silent: process.election.is_holder_timed_out(process.clock),
            shutting_down: process.shutting_down,
            has_list: process.has_list(),
        };
        for to in (0..self.processes.len()).filter(|to| *to != index) {
            self.links
                .entry((index, to))
                .or_default()
                .push_back(heartbeat.clone());
        }
    }

    fn deliver(&mut self, from: usize, to: usize) {
        let Some(heartbeat) = self
            .links
            .get_mut(&(from, to))
            .and_then(VecDeque::pop_front)
        else {
            return;
        };
        let (sender, claim) = (address(from), heartbeat.claim());
        let process = &mut self.processes[to];
        process.begin();
        process
            .election
            .observe_lease(process.clock, &sender, &claim);
        let report = PeerReport {
            lease: claim.clone(),
            holder_timed_out: heartbeat.silent,
        };
        process.peers.insert(
            sender,
            PeerState {
                at: process.clock,
                report,
                shutting_down: heartbeat.shutting_down,
            },
        );
        let takes = heartbeat.has_list && process.election.accepts_endpoints_from(&address(from));
        if takes {
            let older = claim < *process.election.lease();
            self.list_senders.insert((claim.term, from));
            self.check(!older, ElectionRule::ListFromOlderTerm);
            let list_senders = self
                .list_senders
                .iter()
                .filter(|(term, _)| *term == claim.term)
                .count();
            self.check(list_senders == 1, ElectionRule::OneListSenderPerTerm);
        }
    }

    /// As in the control node: names a successor, and notifies all peers at once.
    fn shut_down(&mut self, index: usize) {
        let order = self.order();
        let process = &mut self.processes[index];
        process.begin();
        process.shutting_down = true;
        let live = process.live();
        process.election.hand_over(&order, &live);
        self.heartbeat(index);
    }

    fn record_leaders(&mut self) {
        for (index, process) in self.processes.iter().enumerate() {
            if process.election.is_holder() {
                self.leaders.insert((process.election.lease().term, index));
            }
        }
        let terms: BTreeSet<u64> = self.leaders.iter().map(|(term, _)| *term).collect();
        let single = terms.len() == self.leaders.len();
        self.check(single, ElectionRule::OneLeaderPerTerm);
    }

    fn check(&mut self, holds: bool, rule: ElectionRule) {
        if !holds {
            self.violations.insert(rule);
        }
    }
}
