//! Counterexamples are files that replay.
use sandtrack_control::state_machine::ControlState;
use sandtrack_model_checker::action::Action;
use sandtrack_model_checker::machine::{Register, Unstamped};
use sandtrack_model_checker::trace::{Trace, TraceError};

fn counterexample(name: &str) -> Trace {
    let path = format!(
        "{}/counterexamples/{name}.trace",
        env!("CARGO_MANIFEST_DIR")
    );
    let text = std::fs::read_to_string(path).expect("the file is there");
    Trace::parse(&text).expect("it is a trace")
}

/// An evacuation that was repeated elsewhere while its first copy lay in a socket undoes the confirmed finish. On the
/// register, whose evacuations have no identity: it stays as it is, also when the control state's have one.
#[test]
fn a_late_operation_undoes_a_confirmed_one() {
    let trace = counterexample("late-order");
    let outcome = trace.play::<Register>(|_, _| {}).expect("it can be played");
    assert_eq!(outcome.violations, ["overtaken-order-has-no-effect"]);
    assert_eq!(outcome.steps, trace.actions.len());
}

#[test]
fn a_trace_is_read_as_it_was_written() {
    let trace = counterexample("late-order");
    let again = Trace::parse(&trace.to_text()).expect("it is a trace");
    assert_eq!(again.actions, trace.actions);
    assert_eq!(again.setup.name, trace.setup.name);
}

#[test]
fn an_action_that_is_not_enabled_is_reported() {
    let mut trace = counterexample("late-order");
    trace.actions = vec![Action::Restart(0)];
    let error = TraceError::NotPossible {
        step: 1,
        action: Action::Restart(0),
    };
    assert_eq!(trace.play::<Register>(|_, _| {}), Err(error));
}

/// The stamp of an evacuation is needed, and suffices there: with it, the same actions break nothing.
#[test]
fn an_overtaken_operation_takes_effect_only_without_its_stamp() {
    let trace = counterexample("overtaken-order-unstamped");
    let unstamped = trace
        .play::<Unstamped>(|_, _| {})
        .expect("it can be played");
    assert_eq!(unstamped.violations, ["overtaken-order-has-no-effect"]);
    assert_eq!(unstamped.steps, trace.actions.len());
    let real = trace
        .play::<ControlState>(|_, _| {})
        .expect("it can be played");
    assert!(real.violations.is_empty(), "{real:?}");
    assert_eq!(real.steps, trace.actions.len());
}

/// The register falls on the set-up as well: there the order lay in the socket of a frozen machine.
#[test]
fn an_operation_that_timed_out_undoes_a_later_one_on_the_register() {
    let trace = counterexample("overtaken-order-register");
    let outcome = trace.play::<Register>(|_, _| {}).expect("it can be played");
    assert_eq!(outcome.violations, ["overtaken-order-has-no-effect"]);
}

/// They fall only with their mutation in the code (docs/system/model.md); here they break nothing.
#[test]
fn the_counterexamples_of_mutations_break_nothing_without_them() {
    let names = [
        "promise-before-disk",
        "accept-before-disk",
        "accepted-not-binding",
        "other-epochs-taken",
        "wiped-keeps-identity",
    ];
    for name in names {
        let trace = counterexample(&format!("mutated/{name}"));
        match trace.play::<Register>(|_, _| {}) {
            Ok(outcome) => assert!(outcome.violations.is_empty(), "{name}: {outcome:?}"),
            Err(error) => assert!(
                matches!(error, TraceError::NotPossible { .. }),
                "{name}: {error}"
            ),
        }
    }
}
