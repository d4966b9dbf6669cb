//! Simulations of mixed plans, in CI some hundred; more with SANDTRACK_WORLDS=COUNT, or by the program (`sandtrack-simulation seeds
//! COUNT`), which also shrinks a failing plan and writes its replay file.
use sandtrack_simulation::oracle::OVERTAKEN_ORDER_RULE;
use sandtrack_simulation::plan::Plan;
use sandtrack_simulation::runner::{run, run_all, Totals};
use std::sync::OnceLock;

/// Plans in CI.
const PLANS_IN_CI: u64 = 120;

/// The plans of CI are run once for all tests.
fn simulations() -> &'static Totals {
    static TOTALS: OnceLock<Totals> = OnceLock::new();
    TOTALS.get_or_init(|| {
        let count = std::env::var("SANDTRACK_WORLDS")
            .ok()
            .and_then(|count| count.parse().ok());
        let plans: Vec<Plan> = (1..=count.unwrap_or(PLANS_IN_CI))
            .map(Plan::mixed)
            .collect();
        run_all(&plans)
    })
}

/// About a thousand changes each, while machines of the core are restarted, replaced and wiped throughout.
fn long_simulations() -> &'static Totals {
    static TOTALS: OnceLock<Totals> = OnceLock::new();
    TOTALS.get_or_init(|| run_all(&[Plan::long(1), Plan::long(2)]))
}

fn hold(totals: &Totals, is_meant: impl Fn(&str) -> bool) {
    let Totals {
        simulations,
        calls,
        changes,
        views,
        frames,
        triggered_faults,
        failures,
    } = totals;
    println!(
        "{simulations} simulations, {calls} calls, {changes} changes, {views} views, {frames} frames, {triggered_faults} triggered faults"
    );
    let failed: Vec<String> = failures
        .iter()
        .filter(|failure| is_meant(failure.violation.rule))
        .map(|failure| {
            format!(
                "seed {}: {}: {}",
                failure.plan.seed, failure.violation.rule, failure.violation.details
            )
        })
        .collect();
    assert!(
        failed.is_empty(),
        "{} of {simulations} simulations failed:\n{}",
        failed.len(),
        failed.join("\n")
    );
}

#[test]
fn every_rule_but_that_of_overtaken_operations_holds() {
    hold(simulations(), |rule| rule != OVERTAKEN_ORDER_RULE);
}

#[test]
fn no_overtaken_operation_takes_effect() {
    hold(simulations(), |rule| rule == OVERTAKEN_ORDER_RULE);
}

#[test]
fn every_rule_but_that_of_overtaken_operations_holds_in_long_simulations() {
    hold(long_simulations(), |rule| rule != OVERTAKEN_ORDER_RULE);
}

#[test]
fn no_overtaken_operation_takes_effect_in_long_simulations() {
    hold(long_simulations(), |rule| rule == OVERTAKEN_ORDER_RULE);
}

#[test]
fn a_plan_always_runs_the_same() {
    for seed in [3, 4, 7] {
        assert_eq!(
            run(&Plan::mixed(seed)),
            run(&Plan::mixed(seed)),
            "seed {seed}"
        );
    }
}

#[test]
fn a_plan_is_the_same_after_a_replay_file() {
    let plan = Plan::mixed(11);
    let text = serde_json::to_string(&plan).expect("a text");
    assert_eq!(serde_json::from_str::<Plan>(&text).expect("a plan"), plan);
}

#[test]
fn a_replay_file_without_newer_fields_is_read() {
    let plan = Plan::mixed(11);
    let mut value = serde_json::to_value(&plan).expect("a value");
    let fields = value.as_object_mut().expect("fields");
    for newer in ["own_clocks", "stale_seeds", "busy_operators"] {
        assert!(fields.remove(newer).is_some(), "{newer}");
    }
    assert_eq!(serde_json::from_value::<Plan>(value).expect("a plan"), plan);
}
