//! The users' five points, and a late order, with real control nodes and proxies. Verdicts are by what operators, clients and
//! upstreams saw; a slow machine takes longer and comes to the same.
use sandtrack_fault_tests::system::scenarios::{play, Options, Scenario};
use std::path::PathBuf;
use std::sync::Mutex;

/// One after the other: the processes share the machine with all other tests.
static TURN: Mutex<()> = Mutex::new(());

/// As a program's first thread has it: without optimisation a whole scenario takes more than a test's thread.
const STACK: usize = 8 << 20;

fn held(scenario: Scenario) {
    let _turn = TURN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let options = Options::new(
        PathBuf::from(env!("CARGO_BIN_EXE_sandtrack-fault-tests")),
        None,
    );
    let played = std::thread::Builder::new()
        .stack_size(STACK)
        .spawn(move || play(scenario, &options));
    let played = played.expect("a thread").join().expect("a report");
    let report = played.unwrap_or_else(|error| panic!("{scenario:?}: {error}"));
    eprint!("{}", report.text());
    assert!(report.is_kept(), "{}", report.text());
}

#[test]
fn of_two_operators_under_one_number_one_is_confirmed() {
    held(Scenario::TwoOperators);
}

#[test]
fn losses_right_after_repairs_lose_nothing() {
    held(Scenario::SecondLoss);
}

#[test]
fn a_member_that_was_away_for_hundreds_of_changes_leads_with_the_newest() {
    held(Scenario::LateLeader);
}

#[test]
fn clients_get_their_own_bytes_and_nothing_runs_twice() {
    held(Scenario::Exchanges);
}

#[test]
fn a_control_machine_that_is_cut_off_confirms_refuses_and_tells_nothing() {
    held(Scenario::CutOff);
}

#[test]
fn a_member_that_leaves_takes_no_needed_copy_with_it() {
    held(Scenario::LeavingMember);
}

#[test]
fn a_late_order_does_not_undo_a_confirmed_one() {
    held(Scenario::LateOrder);
}

/// A rolling restart here, as there is no other build: pairs of changes that depend on each other are under way.
#[test]
fn control_nodes_are_replaced_with_dependent_changes_under_way() {
    held(Scenario::Upgrade);
}
