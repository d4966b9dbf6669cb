//! A state of the model: a cluster, and its transitions. The replicas are the real ones; the network, the disks, the
//! clocks and the callers are modelled.
use std::fmt::{self, Debug, Formatter};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use crate::action::Action;
use crate::hashing::hash_of;
use crate::history::History;
use crate::machine::Machine;
use crate::node::{Membership, Node};
use crate::partitions::Partitions;
use crate::setup::{Budget, Scheduling, Setup};

mod call_id;
mod enabled_actions;
mod event;
mod network;
mod nodes;
mod operator_calls;
mod transitions;

pub use event::{Event, Queued};
pub use operator_calls::PendingCall;

/// The number of steps that preparing a state may take.
const MAX_PREPARE_STEPS: usize = 10_000;
/// Ticks after which two partitioned machines are about to propose.
const PARTITIONED_TICKS: u32 = 5;
/// Ticks after which the first view is complete.
const FIRST_VIEW_TICKS: u8 = 6;

/// A state of the model.
#[derive(Clone)]
pub struct Cluster<M: Machine> {
    /// The set-up of the search.
    pub setup: Arc<Setup>,
    /// All machines, also the spare ones.
    pub nodes: Vec<Arc<Node<M>>>,
    /// Events in flight, in the order of their causes; sorted by hash in free scheduling.
    pub queue: Vec<Arc<Queued>>,
    /// Delayed events, sorted by hash.
    pub delayed: Vec<Arc<Queued>>,
    /// The active partitions.
    pub partitions: Partitions,
    /// Ticks since the start.
    pub now: u32,
    /// Ticks since the last fault.
    pub steady_ticks: u8,
    /// How often each kind of action may still happen.
    pub budget: Budget,
    /// How often each operation was sent.
    pub sent: Vec<u8>,
    /// The call of an evacuation whose response its operator waits for.
    pub pending_call: Option<PendingCall>,
    /// What was observed from outside so far.
    pub history: Arc<History>,
}

impl<M: Machine> Hash for Cluster<M> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        for node in &self.nodes {
            node.as_ref().fingerprint_into(state);
        }
        for event in self.queue.iter().chain(&self.delayed) {
            event.hash.hash(state);
        }
        self.queue.len().hash(state);
        (
            &self.partitions,
            self.steady_ticks,
            &self.budget,
            &self.sent,
            &self.pending_call,
            &self.history,
        )
            .hash(state);
    }
}

/// Compares fingerprints, as the search does.
impl<M: Machine> PartialEq for Cluster<M> {
    fn eq(&self, other: &Self) -> bool {
        hash_of(self) == hash_of(other)
    }
}

impl<M: Machine> Debug for Cluster<M> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "tick {}, {} under way", self.now, self.queue.len())?;
        if let Some(view) = self.history.views.values().next_back() {
            write!(f, ", {view}")?;
        }
        write!(f, ", acknowledged {:?}", self.history.acknowledged)
    }
}

impl<M: Machine> Cluster<M> {
    /// The initial state of a set-up: all machines in the chain, the first operations acknowledged.
    ///
    /// # Panics
    /// Panics where the set-up can't be prepared.
    pub fn prepared(setup: &Setup) -> Self {
        let ordered = Setup {
            scheduling: Scheduling::Ordered,
            ..setup.clone()
        };
        let mut cluster = Self::new(ordered);
        for index in 0..setup.machines {
            cluster.start(index, true);
        }
        cluster.play(|cluster| cluster.now >= u32::from(FIRST_VIEW_TICKS));
        for operation in 0..setup.prepared_operations {
            cluster.take(Action::Send { operation, node: 0 });
            cluster.play(|cluster| cluster.history.acknowledged.contains(&operation));
        }
        let end = cluster.now + 2;
        cluster.play(|cluster| cluster.now >= end && cluster.next_due().is_none());
        if let Some((one, other)) = setup.partitioned_pair {
            cluster.partitions.insert(one, other);
            cluster.partitions.insert(other, one);
            let end = cluster.now + PARTITIONED_TICKS;
            cluster.play(|cluster| cluster.now >= end && cluster.next_due().is_none());
        }
        cluster.setup = Arc::new(setup.clone());
        cluster.budget = setup.budget;
        cluster.pending_call = None;
        cluster.steady_ticks = setup.steady_ticks_between_losses.unwrap_or(0);
        cluster
    }

    fn new(setup: Setup) -> Self {
        let plenty = Budget {
            ticks: u8::MAX,
            sends: u8::MAX,
            ..Budget::default()
        };
        let membership = |index| {
            if index < setup.machines {
                Membership::Present
            } else {
                Membership::Spare
            }
        };
        let all = 0..setup.machines + setup.spares;
        Self {
            nodes: all
                .map(|index| Arc::new(Node::new(index, membership(index))))
                .collect(),
            queue: Vec::new(),
            delayed: Vec::new(),
            partitions: Partitions::default(),
            now: 0,
            steady_ticks: 0,
            budget: plenty,
            sent: vec![0; setup.script.len()],
            pending_call: None,
            history: Arc::default(),
            setup: Arc::new(setup),
        }
    }

    /// Follows the default schedule until the condition holds.
    fn play(&mut self, holds: impl Fn(&Self) -> bool) {
        for _ in 0..MAX_PREPARE_STEPS {
            if holds(self) {
                return;
            }
            self.take(self.next_due().map_or(Action::Tick, Action::Deliver));
        }
        panic!("{}: the state can't be prepared", self.setup.name);
    }

    /// The index of the first queued event of a machine that is not frozen.
    pub fn next_due(&self) -> Option<usize> {
        self.queue
            .iter()
            .position(|event| !self.nodes[event.node()].frozen)
    }

    /// Whether a machine is down, frozen or partitioned, or a message is delayed.
    pub fn has_active_fault(&self) -> bool {
        let down = self
            .nodes
            .iter()
            .any(|node| node.membership == Membership::Present && !node.is_awake());
        down || !self.partitions.is_empty() || !self.delayed.is_empty()
    }
}
