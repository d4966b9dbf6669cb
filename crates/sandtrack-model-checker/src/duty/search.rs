//! The search of the duty's states.
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use stateright::{Checker, HasDiscoveries, Model, Property};

use super::{Action, Budget, DutyWorld, Rule};

/// The properties by their rules.
const PROPERTIES: [(&str, Rule); 3] = [
    ("one-holder-a-term", Rule::OneHolderATerm),
    ("lists-of-one-holder-a-term", Rule::OneGiverATerm),
    ("no-list-of-an-older-term", Rule::ListOfOlderTerm),
];

struct DutyModel {
    initial: DutyWorld,
    only: Option<Rule>,
}

impl Model for DutyModel {
    type State = DutyWorld;
    type Action = Action;

    fn init_states(&self) -> Vec<DutyWorld> {
        vec![self.initial.clone()]
    }

    fn actions(&self, state: &DutyWorld, actions: &mut Vec<Action>) {
        state.actions(actions);
    }

    fn next_state(&self, last: &DutyWorld, action: Action) -> Option<DutyWorld> {
        let mut next = last.clone();
        next.take(action);
        // A rule that is not asked for must not end the run.
        if let Some(only) = self.only {
            next.broken.retain(|rule| *rule == only);
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let [one, other, third] = PROPERTIES;
        let mut all: Vec<Property<Self>> = vec![
            Property::always(one.0, |_, world: &DutyWorld| {
                !world.broken.contains(&Rule::OneHolderATerm)
            }),
            Property::always(other.0, |_, world: &DutyWorld| {
                !world.broken.contains(&Rule::OneGiverATerm)
            }),
            Property::always(third.0, |_, world: &DutyWorld| {
                !world.broken.contains(&Rule::ListOfOlderTerm)
            }),
        ];
        let rule = |name: &str| {
            PROPERTIES
                .iter()
                .find(|(known, _)| *known == name)
                .map(|(_, rule)| *rule)
        };
        all.retain(|property| {
            self.only
                .is_none_or(|only| rule(property.name) == Some(only))
        });
        all
    }
}

/// What a search found.
#[derive(Clone, Debug)]
pub struct Report {
    pub states: usize,
    pub unique: usize,
    pub depth: usize,
    pub took: Duration,
    /// Whether all states within the budget were seen.
    pub whole: bool,
    /// For each property that fell, the actions that led there.
    pub fell: BTreeMap<&'static str, Vec<Action>>,
}

/// The rule of a property.
pub fn rule_of(property: &str) -> Option<Rule> {
    PROPERTIES
        .iter()
        .find(|(name, _)| *name == property)
        .map(|(_, rule)| *rule)
}

/// Searches breadth first, so that a counterexample is among the shortest; `states`: at most so many, 0 for all.
pub fn search(machines: usize, budget: Budget, only: Option<Rule>, states: usize) -> Report {
    let model = DutyModel {
        initial: DutyWorld::prepared(machines, budget),
        only,
    };
    let mut builder = model.checker().finish_when(HasDiscoveries::AnyFailures);
    if states > 0 {
        builder = builder.target_state_count(states);
    }
    let began = Instant::now();
    let found = builder.spawn_bfs().join();
    let fell: BTreeMap<&'static str, Vec<Action>> = found
        .discoveries()
        .into_iter()
        .map(|(name, path)| (name, path.into_actions()))
        .collect();
    Report {
        states: found.state_count(),
        unique: found.unique_state_count(),
        depth: found.max_depth(),
        took: began.elapsed(),
        whole: (states == 0 || found.state_count() < states) && fell.is_empty(),
        fell,
    }
}
