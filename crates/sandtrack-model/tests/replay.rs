//! Counterexamples are files that replay.
use sandtrack_model::action::Action;
use sandtrack_model::machine::Register;
use sandtrack_model::trace::{Trace, TraceError};

fn counterexample(name: &str) -> Trace {
    let path = format!("{}/counterexamples/{name}.trace", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the file is there");
    Trace::parse(&text).expect("it is a trace")
}

/// An evacuation that was repeated elsewhere while its first copy lay in a socket undoes the confirmed finish. On the
/// register, whose evacuations have no identity: it stays as it is, also when the control state's have one.
#[test]
fn a_late_order_undoes_a_confirmed_one() {
    let trace = counterexample("late-order");
    let outcome = trace.play::<Register>(|_, _| {}).expect("it can be played");
    assert_eq!(outcome.broken, ["overtaken-order-has-no-effect"]);
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
fn an_action_that_is_not_possible_is_told() {
    let mut trace = counterexample("late-order");
    trace.actions = vec![Action::Restart(0)];
    let error = TraceError::NotPossible { step: 1, action: Action::Restart(0) };
    assert_eq!(trace.play::<Register>(|_, _| {}), Err(error));
}
