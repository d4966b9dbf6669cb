//! The search: breadth first, depth first, or long walks from a seed. What it found is told with its cost.
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

use stateright::{Checker, Chooser, HasDiscoveries, Model, Property};

use crate::action::Action;
use crate::hashing::hash_of;
use crate::machine::Machine;
use crate::properties;
use crate::setup::{Scheduling, Setup};
use crate::world::World;

/// How to search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Search {
    BreadthFirst,
    DepthFirst,
    /// Long walks, drawn from a seed.
    Walks {
        seed: u64,
    },
}

/// Where a search ends at the latest. 0 is no bound.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub depth: usize,
    pub states: usize,
    pub seconds: u64,
    pub threads: usize,
}

/// What a search found, and what it took.
#[derive(Clone, Debug)]
pub struct Report {
    pub setup: &'static str,
    pub states: usize,
    pub unique: usize,
    pub depth: usize,
    pub took: Duration,
    /// Most memory that the process had so far, in MiB; 0 where it isn't known.
    pub memory: u64,
    /// Whether all states within the set-up's budgets were seen.
    pub whole: bool,
    /// For each property that fell, the actions that led there.
    pub fell: BTreeMap<&'static str, Vec<Action>>,
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let seconds = self.took.as_secs_f64();
        let extent = if self.whole { "whole" } else { "bounded" };
        write!(
            f,
            "{}: {} states, {} unique, depth {}, {seconds:.1} s, {} MiB, {extent}",
            self.setup, self.states, self.unique, self.depth, self.memory
        )?;
        for (name, actions) in &self.fell {
            write!(f, "\n  {name} fell after {} actions", actions.len())?;
        }
        Ok(())
    }
}

/// The model as the checker wants it.
pub struct ReplicationModel<M: Machine> {
    initial: World<M>,
    /// All where it is `None`.
    only: Option<String>,
    /// No state is followed after this moment.
    deadline: Option<Instant>,
}

impl<M: Machine> ReplicationModel<M> {
    /// The model of a set-up; of all properties, or `only` of one.
    pub fn new(setup: &Setup, only: Option<String>) -> Self {
        Self {
            initial: World::prepared(setup),
            only,
            deadline: None,
        }
    }

    /// The properties that a state breaks.
    pub fn broken(&self, world: &World<M>) -> Vec<&'static str> {
        let broken = self
            .properties()
            .into_iter()
            .filter(|property| !(property.condition)(self, world));
        broken.map(|property| property.name).collect()
    }
}

impl<M: Machine> Model for ReplicationModel<M> {
    type State = World<M>;
    type Action = Action;

    fn init_states(&self) -> Vec<World<M>> {
        vec![self.initial.clone()]
    }

    fn actions(&self, state: &World<M>, actions: &mut Vec<Action>) {
        if self
            .deadline
            .is_none_or(|deadline| Instant::now() < deadline)
        {
            state.actions(actions);
        }
    }

    fn next_state(&self, last: &World<M>, action: Action) -> Option<World<M>> {
        let mut next = last.clone();
        next.take(action);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut all: Vec<Property<Self>> = vec![
            Property::always("acknowledged-change-is-read-back", |_, world| {
                properties::acknowledged_change_is_read_back(world)
            }),
            Property::always("one-change-on-a-version", |_, world| {
                properties::one_change_on_a_version(world)
            }),
            Property::always("repeat-is-never-refused", |_, world| {
                properties::repeat_is_never_refused(world)
            }),
            Property::always("versions-never-go-back", |_, world| {
                properties::versions_never_go_back(world)
            }),
            Property::always("old-view-confirms-nothing", |_, world| {
                properties::old_view_confirms_nothing(world)
            }),
            Property::always("one-history", |_, world| properties::one_history(world)),
            Property::always("no-answer-without-majority", |_, world| {
                properties::no_answer_without_majority(world)
            }),
            Property::always("view-has-a-majority-of-disks", |_, world| {
                properties::view_has_a_majority_of_disks(world)
            }),
            Property::always("replaced-member-never-returns", |_, world| {
                properties::replaced_member_never_returns(world)
            }),
            Property::always("majority-and-complete-member", |_, world| {
                properties::majority_and_complete_member(world)
            }),
            Property::always("overtaken-order-has-no-effect", |_, world| {
                properties::overtaken_order_has_no_effect(world)
            }),
        ];
        all.retain(|property| self.only.as_ref().is_none_or(|only| only == property.name));
        all
    }

    fn within_boundary(&self, state: &World<M>) -> bool {
        state.setup.scheduling == Scheduling::Ordered
            || state.queue.len() <= state.setup.most_events
    }
}

/// Draws the default step most of the time, so that a walk's troubles lie apart.
#[derive(Clone)]
struct WalkChooser;

/// Of this many steps, one departs from the default schedule.
const DEPARTURE: u64 = 12;

impl<M: Machine> Chooser<ReplicationModel<M>> for WalkChooser {
    type State = u64;

    fn new_state(&self, seed: u64) -> u64 {
        seed
    }

    fn choose_initial_state(&self, _state: &mut u64, _initial: &[World<M>]) -> usize {
        0
    }

    fn choose_action(&self, state: &mut u64, _current: &World<M>, actions: &[Action]) -> usize {
        *state = hash_of(state);
        match state.is_multiple_of(DEPARTURE) {
            true => (*state / DEPARTURE) as usize % actions.len(),
            false => 0,
        }
    }
}

/// Searches all states of a set-up within the bounds.
pub fn search<M: Machine>(
    setup: &Setup,
    only: Option<String>,
    search: Search,
    bounds: Bounds,
) -> Report {
    let mut model = ReplicationModel::<M>::new(setup, only);
    if bounds.seconds > 0 {
        model.deadline = Some(Instant::now() + Duration::from_secs(bounds.seconds));
    }
    let mut builder = model
        .checker()
        .threads(bounds.threads.max(1))
        .finish_when(HasDiscoveries::AnyFailures);
    if bounds.depth > 0 {
        builder = builder.target_max_depth(bounds.depth);
    }
    if bounds.states > 0 {
        builder = builder.target_state_count(bounds.states);
    }
    let began = Instant::now();
    match search {
        Search::BreadthFirst => report(setup, bounds, began, &builder.spawn_bfs().join()),
        Search::DepthFirst => report(setup, bounds, began, &builder.spawn_dfs().join()),
        Search::Walks { seed } => {
            // Walks never come to an end by themselves.
            let builder = builder.timeout(Duration::from_secs(bounds.seconds.max(1)));
            let found = builder.spawn_simulation(seed, WalkChooser).join();
            Report {
                whole: false,
                ..report(setup, bounds, began, &found)
            }
        }
    }
}

fn report<M: Machine>(
    setup: &Setup,
    bounds: Bounds,
    began: Instant,
    found: &impl Checker<ReplicationModel<M>>,
) -> Report {
    let took = began.elapsed();
    let fell: BTreeMap<&'static str, Vec<Action>> = found
        .discoveries()
        .into_iter()
        .map(|(name, path)| (name, path.into_actions()))
        .collect();
    let in_states = bounds.states == 0 || found.state_count() < bounds.states;
    let in_depth = bounds.depth == 0 || found.max_depth() < bounds.depth;
    let in_time = bounds.seconds == 0 || took < Duration::from_secs(bounds.seconds);
    Report {
        setup: setup.name,
        states: found.state_count(),
        unique: found.unique_state_count(),
        depth: found.max_depth(),
        took,
        memory: memory(),
        whole: in_states && in_depth && in_time && fell.is_empty(),
        fell,
    }
}

/// Of this process, in MiB, as the kernel tells it.
fn memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1024
}
