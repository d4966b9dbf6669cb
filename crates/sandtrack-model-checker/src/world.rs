//! A state of the model, and what each action makes of it. The replicas are the real ones; the network, the disks, the
//! clocks and the callers are modelled.
use std::collections::BTreeSet;
use std::fmt::{self, Debug, Formatter};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use crate::action::Action;
use crate::hashing::hash_of;
use crate::history::History;
use crate::machine::Machine;
use crate::node::{Node, Place};
use crate::setup::{Budget, Scheduling, Setup};

mod callers;
mod event;
mod machines;
mod network;
mod possible;
mod steps;

pub use callers::Waiting;
pub use event::{Event, Queued};

/// Steps that preparing a state may take.
const PREPARE_STEPS: usize = 10_000;
/// Ticks after which two machines that are apart are about to propose.
const APART_TICKS: u32 = 5;
/// Ticks in which the first view settles.
const SETTLE_TICKS: u8 = 6;

/// A state of the model.
#[derive(Clone)]
pub struct World<M: Machine> {
    pub setup: Arc<Setup>,
    pub nodes: Vec<Arc<Node<M>>>,
    /// In the order of their causes; sorted by hash in free scheduling.
    pub queue: Vec<Arc<Queued>>,
    pub held: Vec<Arc<Queued>>,
    pub cuts: BTreeSet<(usize, usize)>,
    /// Ticks since the start.
    pub now: u32,
    /// Ticks since the last trouble.
    pub calm: u8,
    pub budget: Budget,
    /// How often each order was sent.
    pub sent: Vec<u8>,
    /// The call of an evacuation that its operator waits for.
    pub waiting: Option<Waiting>,
    pub history: Arc<History>,
}

impl<M: Machine> Hash for World<M> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        for node in &self.nodes {
            node.as_ref().fingerprint_into(state);
        }
        for event in self.queue.iter().chain(&self.held) {
            event.hash.hash(state);
        }
        self.queue.len().hash(state);
        (
            &self.cuts,
            self.calm,
            &self.budget,
            &self.sent,
            &self.waiting,
            &self.history,
        )
            .hash(state);
    }
}

/// By fingerprint, like the search itself.
impl<M: Machine> PartialEq for World<M> {
    fn eq(&self, other: &Self) -> bool {
        hash_of(self) == hash_of(other)
    }
}

impl<M: Machine> Debug for World<M> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "tick {}, {} under way", self.now, self.queue.len())?;
        if let Some(view) = self.history.views.values().next_back() {
            write!(f, ", {view}")?;
        }
        write!(f, ", acknowledged {:?}", self.history.acknowledged)
    }
}

impl<M: Machine> World<M> {
    /// The state that a run of this set-up starts from: all machines in line, the first orders acknowledged.
    ///
    /// # Panics
    /// Where the set-up can't be prepared.
    pub fn prepared(setup: &Setup) -> Self {
        let ordered = Setup {
            scheduling: Scheduling::Ordered,
            ..setup.clone()
        };
        let mut world = Self::new(ordered);
        for index in 0..setup.machines {
            world.start(index, true);
        }
        world.play(|world| world.now >= u32::from(SETTLE_TICKS));
        for order in 0..setup.prepared {
            world.take(Action::Send { order, node: 0 });
            world.play(|world| world.history.acknowledged.contains(&order));
        }
        let end = world.now + 2;
        world.play(|world| world.now >= end && world.due().is_none());
        if let Some((one, other)) = setup.apart {
            world.cuts.extend([(one, other), (other, one)]);
            let end = world.now + APART_TICKS;
            world.play(|world| world.now >= end && world.due().is_none());
        }
        world.setup = Arc::new(setup.clone());
        world.budget = setup.budget;
        world.waiting = None;
        world.calm = setup.calm_between_losses.unwrap_or(0);
        world
    }

    fn new(setup: Setup) -> Self {
        let plenty = Budget {
            ticks: u8::MAX,
            sends: u8::MAX,
            ..Budget::default()
        };
        let place = |index| {
            if index < setup.machines {
                Place::Present
            } else {
                Place::Spare
            }
        };
        let all = 0..setup.machines + setup.spares;
        Self {
            nodes: all
                .map(|index| Arc::new(Node::new(index, place(index))))
                .collect(),
            queue: Vec::new(),
            held: Vec::new(),
            cuts: BTreeSet::new(),
            now: 0,
            calm: 0,
            budget: plenty,
            sent: vec![0; setup.script.len()],
            waiting: None,
            history: Arc::default(),
            setup: Arc::new(setup),
        }
    }

    /// Plays the default schedule until it holds.
    fn play(&mut self, holds: impl Fn(&Self) -> bool) {
        for _ in 0..PREPARE_STEPS {
            if holds(self) {
                return;
            }
            self.take(self.due().map_or(Action::Tick, Action::Deliver));
        }
        panic!("{}: the state can't be prepared", self.setup.name);
    }

    /// The first event that happens to a machine that is not frozen.
    pub fn due(&self) -> Option<usize> {
        self.queue
            .iter()
            .position(|event| !self.nodes[event.node()].frozen)
    }

    /// Whether a machine is down, frozen or cut off, or a message is held back.
    pub fn troubled(&self) -> bool {
        let down = self
            .nodes
            .iter()
            .any(|node| node.place == Place::Present && !node.is_awake());
        down || !self.cuts.is_empty() || !self.held.is_empty()
    }
}
