//! The search: breadth first, depth first, or long random walks from a seed. The report has its cost.
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

use stateright::{Checker, Chooser, HasDiscoveries, Model, Property};

use crate::action::Action;
use crate::cluster::Cluster;
use crate::hashing::hash_of;
use crate::machine::Machine;
use crate::properties;
use crate::setup::{Scheduling, Setup};

/// The strategy of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Search {
    /// All states, by their distance from the initial one.
    BreadthFirst,
    /// All states, one path after the other.
    DepthFirst,
    /// Long random walks.
    Walks {
        /// The seed of the random choices.
        seed: u64,
    },
}

/// The bounds of a search. 0 is no bound.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The number of actions from the initial state.
    pub depth: usize,
    /// The number of generated states.
    pub states: usize,
    /// The duration, in seconds.
    pub seconds: u64,
    /// The number of threads.
    pub threads: usize,
}

/// The result of a search and its cost.
#[derive(Clone, Debug)]
pub struct Report {
    /// The name of the set-up.
    pub setup: &'static str,
    /// The number of generated states.
    pub states: usize,
    /// The number of distinct states.
    pub unique: usize,
    /// The greatest number of actions from the initial state.
    pub depth: usize,
    /// The duration.
    pub took: Duration,
    /// The peak memory of the process, in MiB; 0 if it isn't known.
    pub memory: u64,
    /// Whether all states within the set-up's budgets were seen.
    pub is_complete: bool,
    /// For each violated property, the actions that lead to the violation.
    pub counterexamples: BTreeMap<&'static str, Vec<Action>>,
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let seconds = self.took.as_secs_f64();
        let extent = if self.is_complete { "whole" } else { "bounded" };
        write!(
            f,
            "{}: {} states, {} unique, depth {}, {seconds:.1} s, {} MiB, {extent}",
            self.setup, self.states, self.unique, self.depth, self.memory
        )?;
        for (name, actions) in &self.counterexamples {
            write!(f, "\n  {name} fell after {} actions", actions.len())?;
        }
        Ok(())
    }
}

/// The model, as `stateright` takes it.
pub struct ReplicationModel<M: Machine> {
    initial: Cluster<M>,
    /// The only property that is checked; all if `None`.
    only: Option<String>,
    /// No state is followed after this moment.
    deadline: Option<Instant>,
}

impl<M: Machine> ReplicationModel<M> {
    /// The model of a set-up, with all properties or `only` one.
    pub fn new(setup: &Setup, only: Option<String>) -> Self {
        Self {
            initial: Cluster::prepared(setup),
            only,
            deadline: None,
        }
    }

    /// The names of the properties that a state violates.
    pub fn violations(&self, cluster: &Cluster<M>) -> Vec<&'static str> {
        let violations = self
            .properties()
            .into_iter()
            .filter(|property| !(property.condition)(self, cluster));
        violations.map(|property| property.name).collect()
    }
}

impl<M: Machine> Model for ReplicationModel<M> {
    type State = Cluster<M>;
    type Action = Action;

    fn init_states(&self) -> Vec<Cluster<M>> {
        vec![self.initial.clone()]
    }

    fn actions(&self, state: &Cluster<M>, actions: &mut Vec<Action>) {
        if self
            .deadline
            .is_none_or(|deadline| Instant::now() < deadline)
        {
            state.actions(actions);
        }
    }

    fn next_state(&self, last: &Cluster<M>, action: Action) -> Option<Cluster<M>> {
        let mut next = last.clone();
        next.take(action);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut all: Vec<Property<Self>> = vec![
            Property::always("acknowledged-change-is-read-back", |_, cluster| {
                properties::acknowledged_change_is_read_back(cluster)
            }),
            Property::always("one-change-on-a-version", |_, cluster| {
                properties::one_change_on_a_version(cluster)
            }),
            Property::always("repeat-is-never-refused", |_, cluster| {
                properties::repeat_is_never_refused(cluster)
            }),
            Property::always("versions-never-go-back", |_, cluster| {
                properties::versions_never_go_back(cluster)
            }),
            Property::always("old-view-confirms-nothing", |_, cluster| {
                properties::old_view_confirms_nothing(cluster)
            }),
            Property::always("no-invalid-configuration-in-force", |_, cluster| {
                properties::no_invalid_configuration_in_force(cluster)
            }),
            Property::always("one-history", |_, cluster| properties::one_history(cluster)),
            Property::always("no-answer-without-majority", |_, cluster| {
                properties::no_answer_without_majority(cluster)
            }),
            Property::always("view-has-a-majority-of-disks", |_, cluster| {
                properties::view_has_a_majority_of_disks(cluster)
            }),
            Property::always("replaced-member-never-returns", |_, cluster| {
                properties::replaced_member_never_returns(cluster)
            }),
            Property::always("majority-and-complete-member", |_, cluster| {
                properties::majority_and_complete_member(cluster)
            }),
            Property::always("overtaken-order-has-no-effect", |_, cluster| {
                properties::overtaken_order_has_no_effect(cluster)
            }),
        ];
        all.retain(|property| self.only.as_ref().is_none_or(|only| only == property.name));
        all
    }

    fn within_boundary(&self, state: &Cluster<M>) -> bool {
        state.setup.scheduling == Scheduling::Ordered
            || state.queue.len() <= state.setup.max_events_in_flight
    }
}

/// Chooses the default step most of the time, so that a walk's faults are far apart.
#[derive(Clone)]
struct WalkChooser;

/// One of this many steps deviates from the default schedule.
const STEPS_PER_DEVIATION: u64 = 12;

impl<M: Machine> Chooser<ReplicationModel<M>> for WalkChooser {
    type State = u64;

    fn new_state(&self, seed: u64) -> u64 {
        seed
    }

    fn choose_initial_state(&self, _state: &mut u64, _initial: &[Cluster<M>]) -> usize {
        0
    }

    fn choose_action(&self, state: &mut u64, _current: &Cluster<M>, actions: &[Action]) -> usize {
        *state = hash_of(state);
        match state.is_multiple_of(STEPS_PER_DEVIATION) {
            true => (*state / STEPS_PER_DEVIATION) as usize % actions.len(),
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
                is_complete: false,
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
    let counterexamples: BTreeMap<&'static str, Vec<Action>> = found
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
        is_complete: in_states && in_depth && in_time && counterexamples.is_empty(),
        counterexamples,
    }
}

/// The peak resident memory of this process, in MiB, from `/proc/self/status`.
fn memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1024
}
