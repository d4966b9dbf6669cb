//! The search of the election's states.
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use stateright::{Checker, HasDiscoveries, Model, Property};

use super::{ElectionAction, ElectionBudget, ElectionCluster, ElectionRule};

/// The names of the properties, with their rules.
const PROPERTIES: [(&str, ElectionRule); 3] = [
    ("one-holder-a-term", ElectionRule::OneLeaderPerTerm),
    (
        "lists-of-one-holder-a-term",
        ElectionRule::OneListSenderPerTerm,
    ),
    ("no-list-of-an-older-term", ElectionRule::ListFromOlderTerm),
];

struct ElectionModel {
    initial: ElectionCluster,
    only: Option<ElectionRule>,
}

impl Model for ElectionModel {
    type State = ElectionCluster;
    type Action = ElectionAction;

    fn init_states(&self) -> Vec<ElectionCluster> {
        vec![self.initial.clone()]
    }

    fn actions(&self, state: &ElectionCluster, actions: &mut Vec<ElectionAction>) {
        state.actions(actions);
    }

    fn next_state(
        &self,
        last: &ElectionCluster,
        action: ElectionAction,
    ) -> Option<ElectionCluster> {
        let mut next = last.clone();
        next.take(action);
        // A rule that is not asked for must not end the run.
        if let Some(only) = self.only {
            next.violations.retain(|rule| *rule == only);
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let [one, other, third] = PROPERTIES;
        let mut all: Vec<Property<Self>> = vec![
            Property::always(one.0, |_, cluster: &ElectionCluster| {
                !cluster.violations.contains(&ElectionRule::OneLeaderPerTerm)
            }),
            Property::always(other.0, |_, cluster: &ElectionCluster| {
                !cluster
                    .violations
                    .contains(&ElectionRule::OneListSenderPerTerm)
            }),
            Property::always(third.0, |_, cluster: &ElectionCluster| {
                !cluster
                    .violations
                    .contains(&ElectionRule::ListFromOlderTerm)
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

/// The result of a search.
#[derive(Clone, Debug)]
pub struct Report {
    /// The number of generated states.
    pub states: usize,
    /// The number of distinct states.
    pub unique: usize,
    /// The greatest number of actions from the initial state.
    pub depth: usize,
    /// The duration.
    pub took: Duration,
    /// Whether all states within the budget were seen.
    pub is_complete: bool,
    /// For each violated property, the actions that lead to the violation.
    pub counterexamples: BTreeMap<&'static str, Vec<ElectionAction>>,
}

/// The rule of a property.
pub fn rule_of(property: &str) -> Option<ElectionRule> {
    PROPERTIES
        .iter()
        .find(|(name, _)| *name == property)
        .map(|(_, rule)| *rule)
}

/// Searches breadth first, so that a counterexample is among the shortest; `states` bounds the states, 0 is no bound.
pub fn search(
    machines: usize,
    budget: ElectionBudget,
    only: Option<ElectionRule>,
    states: usize,
) -> Report {
    let model = ElectionModel {
        initial: ElectionCluster::prepared(machines, budget),
        only,
    };
    let mut builder = model.checker().finish_when(HasDiscoveries::AnyFailures);
    if states > 0 {
        builder = builder.target_state_count(states);
    }
    let began = Instant::now();
    let found = builder.spawn_bfs().join();
    let counterexamples: BTreeMap<&'static str, Vec<ElectionAction>> = found
        .discoveries()
        .into_iter()
        .map(|(name, path)| (name, path.into_actions()))
        .collect();
    Report {
        states: found.state_count(),
        unique: found.unique_state_count(),
        depth: found.max_depth(),
        took: began.elapsed(),
        is_complete: (states == 0 || found.state_count() < states) && counterexamples.is_empty(),
        counterexamples,
    }
}
