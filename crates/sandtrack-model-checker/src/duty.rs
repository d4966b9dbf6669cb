//! Model of the singleton duty: who reads the platform's list. The election is the real [`PollerElection`] of the control nodes; what the
//! control node does with it on a tick, on a beat of a peer and after a freeze is told again here, in small.
//!
//! A beat carries the claim, whether the holder is heard, and, from a holder that has read, the list. Links keep the order
//! of their frames. A cut stalls a link one way: what was sent comes when the cut ends.
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};

use sandtrack_control::endpoint_poller::{
    PeerReport, PollerElection, PollerLease, HOLDER_TIMEOUT_MS,
};

use crate::node::address;

pub mod search;

/// Milliseconds between two ticks: a beat of the control nodes.
pub const TICK_MS: f64 = 150.0;
/// Ticks from becoming the reader to having read the list.
const READING_TICKS: u8 = 2;

/// How often each thing may happen still.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    pub ticks: u8,
    /// All that follows together.
    pub deviations: u8,
    pub freezes: u8,
    /// One way, between two machines.
    pub cuts: u8,
    pub isolations: u8,
    pub restarts: u8,
    /// A holder is told to stop and names its successor.
    pub leaves: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// The oldest frame of a link arrives.
    Deliver {
        from: usize,
        to: usize,
    },
    /// All clocks go on, and all processes that run look at what is due.
    Tick,
    Freeze(usize),
    Wake(usize),
    Cut {
        from: usize,
        to: usize,
    },
    Isolate(usize),
    Heal,
    /// The process ends and starts anew; what was on its links is lost.
    Restart(usize),
    Leave(usize),
}

/// A rule that can be broken by one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Two machines held under one term.
    OneHolderATerm,
    /// Lists of two machines were taken that they sent under one term.
    OneGiverATerm,
    /// A list was taken from one whose claim is below the claim that the taker knows.
    ListOfOlderTerm,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Beat {
    claim: (u64, String),
    silent: bool,
    leaving: bool,
    list: bool,
}

impl Beat {
    fn claim(&self) -> PollerLease {
        PollerLease {
            term: self.claim.0,
            holder: self.claim.1.clone(),
        }
    }
}

#[derive(Clone, Debug)]
struct Heard {
    at: f64,
    report: PeerReport,
    leaving: bool,
}

#[derive(Clone, Debug)]
struct Process {
    election: PollerElection,
    heard: BTreeMap<String, Heard>,
    clock: f64,
    /// When it ran last.
    last: f64,
    frozen: bool,
    leaving: bool,
    /// Ticks for which it has been the holder, up to those that a reading takes.
    reading: u8,
}

impl Process {
    fn new(index: usize, now: f64) -> Self {
        Self {
            election: PollerElection::new(&address(index), now),
            heard: BTreeMap::new(),
            clock: now,
            last: now,
            frozen: false,
            leaving: false,
            reading: 0,
        }
    }

    /// Before all else: a process that did not run for long is the holder no more.
    fn begin(&mut self) {
        if self.clock - self.last > HOLDER_TIMEOUT_MS {
            self.election.resumed(self.clock);
        }
        self.last = self.clock;
    }

    /// The peers that were heard lately and are not leaving.
    fn live(&self) -> BTreeMap<String, PeerReport> {
        let live = |heard: &&Heard| !heard.leaving && self.clock - heard.at <= HOLDER_TIMEOUT_MS;
        let live = self.heard.iter().filter(|(_, heard)| live(heard));
        live.map(|(address, heard)| (address.clone(), heard.report.clone()))
            .collect()
    }

    fn has_list(&self) -> bool {
        self.election.is_holder() && self.reading >= READING_TICKS
    }
}

/// A state of the model.
#[derive(Clone)]
pub struct DutyWorld {
    processes: Vec<Process>,
    links: BTreeMap<(usize, usize), VecDeque<Beat>>,
    cuts: BTreeSet<(usize, usize)>,
    now: f64,
    budget: Budget,
    holders: BTreeSet<(u64, usize)>,
    givers: BTreeSet<(u64, usize)>,
    pub broken: BTreeSet<Rule>,
}

impl Hash for DutyWorld {
    fn hash<H: Hasher>(&self, state: &mut H) {
        for process in &self.processes {
            format!("{process:?}").hash(state);
        }
        (
            &self.links,
            &self.cuts,
            &self.budget,
            &self.holders,
            &self.givers,
            &self.broken,
        )
            .hash(state);
    }
}

/// By fingerprint, like the search itself.
impl PartialEq for DutyWorld {
    fn eq(&self, other: &Self) -> bool {
        crate::hashing::hash_of(self) == crate::hashing::hash_of(other)
    }
}

impl std::fmt::Debug for DutyWorld {
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

impl DutyWorld {
    /// All machines run and know the first holder, which has read the list.
    pub fn prepared(machines: usize, budget: Budget) -> Self {
        let processes = (0..machines)
            .map(|index| Process::new(index, 0.0))
            .collect();
        let mut world = Self {
            processes,
            links: BTreeMap::new(),
            cuts: BTreeSet::new(),
            now: 0.0,
            budget: Budget {
                ticks: u8::MAX,
                ..Budget::default()
            },
            holders: BTreeSet::new(),
            givers: BTreeSet::new(),
            broken: BTreeSet::new(),
        };
        for _ in 0..=READING_TICKS + 1 {
            world.take(Action::Tick);
            while let Some(action) = world.due() {
                world.take(action);
            }
        }
        world.budget = budget;
        world
    }

    fn order(&self) -> Vec<String> {
        (0..self.processes.len()).map(address).collect()
    }

    /// The next frame to arrive.
    fn due(&self) -> Option<Action> {
        let arrives =
            |link: &(usize, usize)| !self.cuts.contains(link) && !self.processes[link.1].frozen;
        let filled = self
            .links
            .iter()
            .filter(|(_, frames)| !frames.is_empty())
            .map(|(link, _)| *link);
        filled
            .filter(arrives)
            .map(|(from, to)| Action::Deliver { from, to })
            .next()
    }

    /// All that may happen next. Time goes on when all that can arrive has arrived.
    pub fn actions(&self, actions: &mut Vec<Action>) {
        if !self.broken.is_empty() {
            return;
        }
        match self.due() {
            Some(deliver) => actions.push(deliver),
            None => {
                if self.budget.ticks > 0 {
                    actions.push(Action::Tick);
                }
                let frozen =
                    (0..self.processes.len()).filter(|index| self.processes[*index].frozen);
                actions.extend(frozen.map(Action::Wake));
                if !self.cuts.is_empty() {
                    actions.push(Action::Heal);
                }
            }
        }
        if self.budget.deviations > 0 {
            self.faults(actions);
        }
    }

    fn faults(&self, actions: &mut Vec<Action>) {
        let budget = &self.budget;
        let all = 0..self.processes.len();
        for from in all.clone().filter(|_| budget.cuts > 0) {
            let others = all
                .clone()
                .filter(|to| *to != from && !self.cuts.contains(&(from, *to)));
            actions.extend(others.map(|to| Action::Cut { from, to }));
        }
        for index in all {
            let process = &self.processes[index];
            if budget.isolations > 0 {
                actions.push(Action::Isolate(index));
            }
            if budget.restarts > 0 {
                actions.push(Action::Restart(index));
            }
            if budget.freezes > 0 && !process.frozen {
                actions.push(Action::Freeze(index));
            }
            if budget.leaves > 0
                && !process.frozen
                && !process.leaving
                && process.election.is_holder()
            {
                actions.push(Action::Leave(index));
            }
        }
    }

    pub fn take(&mut self, action: Action) {
        self.spend(action);
        match action {
            Action::Deliver { from, to } => self.deliver(from, to),
            Action::Tick => self.tick(),
            Action::Freeze(index) => self.processes[index].frozen = true,
            Action::Wake(index) => {
                let now = self.now;
                let process = &mut self.processes[index];
                (process.frozen, process.clock) = (false, now);
            }
            Action::Cut { from, to } => {
                self.cuts.insert((from, to));
            }
            Action::Isolate(index) => {
                let others = (0..self.processes.len()).filter(|other| *other != index);
                self.cuts
                    .extend(others.flat_map(|other| [(index, other), (other, index)]));
            }
            Action::Heal => self.cuts.clear(),
            Action::Restart(index) => {
                self.processes[index] = Process::new(index, self.now);
                self.links
                    .retain(|(from, to), _| *from != index && *to != index);
            }
            Action::Leave(index) => self.leave(index),
        }
        self.note_holders();
    }

    fn spend(&mut self, action: Action) {
        let budget = &mut self.budget;
        let own = match action {
            Action::Deliver { .. } | Action::Wake(_) | Action::Heal => return,
            Action::Tick => return budget.ticks = budget.ticks.saturating_sub(1),
            Action::Freeze(_) => &mut budget.freezes,
            Action::Cut { .. } => &mut budget.cuts,
            Action::Isolate(_) => &mut budget.isolations,
            Action::Restart(_) => &mut budget.restarts,
            Action::Leave(_) => &mut budget.leaves,
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
            if !process.leaving {
                let live = process.live();
                process
                    .election
                    .take_over(process.clock, &order, &live, &order);
            }
            let holds = process.election.is_holder();
            process.reading = if holds {
                (process.reading + 1).min(READING_TICKS)
            } else {
                0
            };
            self.beat(index);
        }
    }

    fn beat(&mut self, index: usize) {
        let process = &self.processes[index];
        let claim = process.election.lease();
        let beat = Beat {
            claim: (claim.term, claim.holder.clone()),
            silent: process.election.is_holder_timed_out(process.clock),
            leaving: process.leaving,
            list: process.has_list(),
        };
        for to in (0..self.processes.len()).filter(|to| *to != index) {
            self.links
                .entry((index, to))
                .or_default()
                .push_back(beat.clone());
        }
    }

    fn deliver(&mut self, from: usize, to: usize) {
        let Some(beat) = self
            .links
            .get_mut(&(from, to))
            .and_then(VecDeque::pop_front)
        else {
            return;
        };
        let (sender, claim) = (address(from), beat.claim());
        let process = &mut self.processes[to];
        process.begin();
        process
            .election
            .observe_lease(process.clock, &sender, &claim);
        let report = PeerReport {
            lease: claim.clone(),
            holder_timed_out: beat.silent,
        };
        process.heard.insert(
            sender,
            Heard {
                at: process.clock,
                report,
                leaving: beat.leaving,
            },
        );
        let takes = beat.list && process.election.accepts_endpoints_from(&address(from));
        if takes {
            let older = claim < *process.election.lease();
            self.givers.insert((claim.term, from));
            self.check(!older, Rule::ListOfOlderTerm);
            let givers = self
                .givers
                .iter()
                .filter(|(term, _)| *term == claim.term)
                .count();
            self.check(givers == 1, Rule::OneGiverATerm);
        }
    }

    /// As in the control node: the successor is named, and all are told at once.
    fn leave(&mut self, index: usize) {
        let order = self.order();
        let process = &mut self.processes[index];
        process.begin();
        process.leaving = true;
        let live = process.live();
        process.election.hand_over(&order, &live);
        self.beat(index);
    }

    fn note_holders(&mut self) {
        for (index, process) in self.processes.iter().enumerate() {
            if process.election.is_holder() {
                self.holders.insert((process.election.lease().term, index));
            }
        }
        let terms: BTreeSet<u64> = self.holders.iter().map(|(term, _)| *term).collect();
        let single = terms.len() == self.holders.len();
        self.check(single, Rule::OneHolderATerm);
    }

    fn check(&mut self, holds: bool, rule: Rule) {
        if !holds {
            self.broken.insert(rule);
        }
    }
}
