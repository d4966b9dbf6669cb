//! The election of the poller of the platform's endpoint list: all states with one fault.
use sandtrack_model_checker::poller_election::search::{rule_of, search};
use sandtrack_model_checker::poller_election::ElectionBudget;

/// One of each kind, one of them in all.
const ONE_FAULT: ElectionBudget = ElectionBudget {
    ticks: 12,
    deviations: 1,
    freezes: 1,
    partitions: 1,
    isolations: 1,
    restarts: 1,
    shutdowns: 1,
};

/// A partitioned machine restarts: it knows no leader.
const RESTART_CUT_OFF: ElectionBudget = ElectionBudget {
    ticks: 10,
    deviations: 2,
    freezes: 0,
    partitions: 0,
    isolations: 1,
    restarts: 1,
    shutdowns: 0,
};

fn holds(machines: usize, budget: ElectionBudget, property: &str) {
    let rule = rule_of(property).expect("a property");
    let report = search(machines, budget, Some(rule), 0);
    println!("{report:?}");
    assert!(report.counterexamples.is_empty(), "{report:?}");
    assert!(report.is_complete, "{report:?}");
}

#[test]
fn a_term_has_one_leader() {
    holds(3, ONE_FAULT, "one-holder-a-term");
}

#[test]
fn accepted_lists_of_a_term_come_from_one_machine() {
    holds(3, ONE_FAULT, "lists-of-one-holder-a-term");
}

#[test]
fn no_list_of_an_older_term_is_accepted() {
    holds(3, ONE_FAULT, "no-list-of-an-older-term");
}

#[test]
fn a_partitioned_machine_that_restarts_does_not_lead() {
    holds(3, RESTART_CUT_OFF, "one-holder-a-term");
    holds(3, RESTART_CUT_OFF, "lists-of-one-holder-a-term");
}
