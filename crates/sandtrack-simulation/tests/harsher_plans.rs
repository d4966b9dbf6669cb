//! Plans of triggered faults, of seed turnover, and of slow nodes, lost zones and full disks, a few of each in CI; more by the
//! program (`sandtrack-simulation closing COUNT`, `turnover COUNT`, `harsh COUNT`).
use sandtrack_simulation::plan::{ClusterFault, DiskFault, FaultKind, Plan, ZoneRecovery};
use sandtrack_simulation::runner::{run, run_all, Totals};

/// Plans of each kind in CI.
const PLANS_IN_CI: u64 = 10;

fn hold(plan: fn(u64) -> Plan) -> Totals {
    let plans: Vec<Plan> = (1..=PLANS_IN_CI).map(plan).collect();
    let totals = run_all(&plans);
    let failed: Vec<String> = totals
        .failures
        .iter()
        .map(|failure| {
            format!(
                "seed {}: {}: {}",
                failure.plan.seed, failure.violation.rule, failure.violation.details
            )
        })
        .collect();
    assert!(
        failed.is_empty(),
        "{} rules broken:\n{}",
        failed.len(),
        failed.join("\n")
    );
    assert!(
        totals.changes > 50 * PLANS_IN_CI,
        "{} changes",
        totals.changes
    );
    totals
}

#[test]
fn every_rule_holds_after_triggered_faults() {
    let totals = hold(Plan::triggered);
    assert!(
        totals.triggered_faults >= 2 * PLANS_IN_CI,
        "{} closing faults",
        totals.triggered_faults
    );
}

#[test]
fn every_rule_holds_while_all_machines_are_replaced() {
    hold(Plan::turnover);
}

#[test]
fn every_rule_holds_with_slow_nodes_lost_zones_and_full_disks() {
    hold(Plan::harsh);
}

/// Three of six machines are back after a loss of power: half of the control nodes, two of three voters. Their responses are
/// right.
#[test]
fn half_of_the_control_nodes_may_be_a_majority_of_the_voters() {
    assert_eq!(run(&Plan::triggered(9_100_098)).violations, []);
}

/// A caller whose connection ended is acknowledged elsewhere, a schedule order after it; then its first copy reaches the chain.
#[test]
fn a_first_attempt_that_arrives_last_does_not_undo_a_later_operation() {
    for seed in [9_100_178, 9_100_193] {
        assert_eq!(run(&Plan::triggered(seed)).violations, [], "seed {seed}");
    }
}

#[test]
fn a_harsher_plan_always_runs_the_same() {
    for plan in [Plan::triggered(2), Plan::turnover(2), Plan::harsh(2)] {
        assert_eq!(run(&plan), run(&plan), "seed {}", plan.seed);
    }
}

/// Kinds of the plans of CI.
fn kinds(plan: fn(u64) -> Plan) -> Vec<FaultKind> {
    (1..=PLANS_IN_CI)
        .flat_map(|seed| plan(seed).faults)
        .map(|fault| fault.kind)
        .collect()
}

#[test]
fn the_plans_of_ci_hold_each_kind_of_fault() {
    let harsh = kinds(Plan::harsh);
    let closing = kinds(Plan::triggered);
    let has = |kinds: &[FaultKind], is: fn(&FaultKind) -> bool| kinds.iter().any(is);
    assert!(has(&harsh, |kind| matches!(kind, FaultKind::SlowNode(_))));
    assert!(has(&harsh, |kind| matches!(
        kind,
        FaultKind::Disk {
            fault: DiskFault::Full,
            ..
        }
    )));
    assert!(has(&harsh, |kind| matches!(
        kind,
        FaultKind::ZoneLoss {
            recovery: ZoneRecovery::EmptyDisks,
            ..
        }
    )));
    assert!(has(&harsh, |kind| matches!(
        kind,
        FaultKind::ZoneLoss {
            recovery: ZoneRecovery::NewMachines,
            ..
        }
    )));
    assert!(has(&closing, |kind| matches!(
        kind,
        FaultKind::Triggered {
            fault: ClusterFault::Kill,
            ..
        }
    )));
    assert!(has(&closing, |kind| matches!(
        kind,
        FaultKind::Triggered {
            fault: ClusterFault::PowerLoss,
            ..
        }
    )));
    assert!(has(&closing, |kind| matches!(
        kind,
        FaultKind::Triggered {
            fault: ClusterFault::DiskLoss { all: true, .. },
            ..
        }
    )));
    assert!(has(&closing, |kind| matches!(
        kind,
        FaultKind::Triggered {
            fault: ClusterFault::ZoneDiskLoss { .. },
            ..
        }
    )));
    let replaced = kinds(Plan::turnover);
    let replaced = replaced
        .iter()
        .filter(|kind| matches!(kind, FaultKind::Replace { .. }))
        .count();
    assert!(
        replaced as u64 > PLANS_IN_CI,
        "{replaced} machines replaced"
    );
}

#[test]
fn a_harsher_plan_is_the_same_after_a_replay_file() {
    for plan in [Plan::triggered(5), Plan::turnover(5), Plan::harsh(5)] {
        let text = serde_json::to_string(&plan).expect("a text");
        assert_eq!(serde_json::from_str::<Plan>(&text).expect("a plan"), plan);
    }
}
