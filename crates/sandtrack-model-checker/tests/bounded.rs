//! The bounded run: all states of small set-ups, the same in every run, within a minute.
use sandtrack_control::state_machine::ControlState;
use sandtrack_model_checker::checker::{search, Bounds, Report, Search};
use sandtrack_model_checker::machine::{LatestRules, Machine, Register};
use sandtrack_model_checker::setup::Setup;

/// A set-up with smaller budgets.
fn small(name: &str, deviations: u8, sends: u8, ticks: u8) -> Setup {
    let mut setup = Setup::by_name(name).expect("a set-up");
    setup.budget.deviations = deviations;
    setup.budget.sends = sends;
    setup.budget.ticks = ticks;
    setup
}

/// All states of the set-up, no property falls.
fn holds<M: Machine>(setup: &Setup) -> Report {
    let bounds = Bounds {
        depth: 0,
        states: 0,
        seconds: 0,
        threads: 1,
    };
    let report = search::<M>(setup, None, Search::DepthFirst, bounds);
    println!("{report}");
    assert!(report.counterexamples.is_empty(), "{report}");
    assert!(report.is_complete, "{report}");
    report
}

#[test]
fn rival_changes_with_a_delayed_message() {
    holds::<Register>(&small("calls", 1, 2, 1));
}

#[test]
fn a_crash_at_every_step_and_a_new_view() {
    holds::<Register>(&small("crash", 1, 1, 5));
}

#[test]
fn a_power_loss_at_every_step() {
    holds::<Register>(&small("power", 1, 1, 3));
}

#[test]
fn a_machine_frozen_at_every_step() {
    holds::<Register>(&small("freeze", 1, 1, 5));
}

#[test]
fn a_disk_lost_at_every_step() {
    holds::<Register>(&small("wipe", 1, 1, 5));
}

#[test]
fn all_orders_of_the_events_of_one_change() {
    let mut setup = small("free", 0, 1, 0);
    setup.budget.single_ticks = 1;
    holds::<Register>(&setup);
}

#[test]
fn the_real_control_state_with_a_crash() {
    holds::<ControlState>(&small("crash", 1, 1, 2));
}

#[test]
fn the_same_search_sees_the_same_states() {
    let setup = small("calls", 1, 1, 1);
    let (one, other) = (holds::<Register>(&setup), holds::<Register>(&setup));
    assert_eq!(
        (one.states, one.unique, one.depth),
        (other.states, other.unique, other.depth)
    );
}

#[test]
fn two_partitioned_voters_propose_rival_views() {
    holds::<Register>(&small("rival-views", 1, 0, 2));
}

/// Two changes under way at once, the second invalid by the first. The chain does not check the second: a barrier comes first.
#[test]
fn two_changes_that_share_a_key_are_under_way_at_once() {
    holds::<ControlState>(&small("dependent-changes", 1, 2, 1));
}

/// The same with the check where the chain applies a change.
#[test]
fn two_changes_that_share_a_key_are_checked_by_the_chain() {
    holds::<LatestRules>(&small("dependent-changes", 1, 2, 1));
}

/// The first states of the set-up in which a control state without the check of the stamp falls, and the register.
#[test]
fn an_overtaken_operation_has_no_effect_on_the_real_control_state() {
    let setup = Setup::by_name("overtaken-order").expect("a set-up");
    let bounds = Bounds {
        depth: 0,
        states: 10_000,
        seconds: 0,
        threads: 1,
    };
    let report = search::<ControlState>(&setup, None, Search::DepthFirst, bounds);
    println!("{report}");
    assert!(report.counterexamples.is_empty(), "{report}");
    assert!(report.states >= 10_000, "{report}");
}
