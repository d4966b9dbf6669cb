//! Worlds from seeds, in CI some hundred; more with SANDTRACK_WORLDS=COUNT, or by the program (`sandtrack-simulation seeds
//! COUNT`), which also makes a failing one small and writes its replay file.
use sandtrack_simulation::oracle::OVERTAKEN_ORDER_RULE;
use sandtrack_simulation::plan::Plan;
use sandtrack_simulation::runner::{run, run_all, Totals};
use std::sync::OnceLock;

/// Worlds in CI.
const USUAL: u64 = 120;

/// The worlds of CI are played once for all tests.
fn worlds() -> &'static Totals {
    static WORLDS: OnceLock<Totals> = OnceLock::new();
    WORLDS.get_or_init(|| {
        let count = std::env::var("SANDTRACK_WORLDS")
            .ok()
            .and_then(|count| count.parse().ok());
        let plans: Vec<Plan> = (1..=count.unwrap_or(USUAL)).map(Plan::mixed).collect();
        run_all(&plans)
    })
}

/// About a thousand changes each, while machines of the core are restarted, replaced and wiped throughout.
fn long_worlds() -> &'static Totals {
    static WORLDS: OnceLock<Totals> = OnceLock::new();
    WORLDS.get_or_init(|| run_all(&[Plan::long(1), Plan::long(2)]))
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
        "{simulations} worlds, {calls} calls, {changes} changes, {views} views, {frames} frames, {triggered_faults} closing faults"
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
        "{} of {simulations} worlds failed:\n{}",
        failed.len(),
        failed.join("\n")
    );
}

#[test]
fn every_rule_but_that_of_overtaken_orders_holds() {
    hold(worlds(), |rule| rule != OVERTAKEN_ORDER_RULE);
}

#[test]
fn no_overtaken_order_takes_effect() {
    hold(worlds(), |rule| rule == OVERTAKEN_ORDER_RULE);
}

#[test]
fn every_rule_but_that_of_overtaken_orders_holds_in_long_worlds() {
    hold(long_worlds(), |rule| rule != OVERTAKEN_ORDER_RULE);
}

#[test]
fn no_overtaken_order_takes_effect_in_long_worlds() {
    hold(long_worlds(), |rule| rule == OVERTAKEN_ORDER_RULE);
}

#[test]
fn a_world_plays_the_same_again() {
    for seed in [3, 4, 7] {
        assert_eq!(
            run(&Plan::mixed(seed)),
            run(&Plan::mixed(seed)),
            "seed {seed}"
        );
    }
}

#[test]
fn a_plan_is_the_same_after_a_file() {
    let plan = Plan::mixed(11);
    let text = serde_json::to_string(&plan).expect("a text");
    assert_eq!(serde_json::from_str::<Plan>(&text).expect("a plan"), plan);
}

#[test]
fn a_file_of_before_the_harsher_worlds_is_read() {
    let plan = Plan::mixed(11);
    let mut value = serde_json::to_value(&plan).expect("a value");
    let fields = value.as_object_mut().expect("fields");
    for newer in ["own_clocks", "stale_seeds", "busy_operators"] {
        assert!(fields.remove(newer).is_some(), "{newer}");
    }
    assert_eq!(serde_json::from_value::<Plan>(value).expect("a plan"), plan);
}
