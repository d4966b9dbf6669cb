//! Worlds of closing faults, of seed turnover, and of slow nodes, lost zones and full disks, a few of each in CI; more by the
//! program (`sandtrack-simulation closing COUNT`, `turnover COUNT`, `harsh COUNT`).
use sandtrack_simulation::plan::{Blow, DiskTrouble, Kind, Plan, ZoneBack};
use sandtrack_simulation::search::{play, play_all, Totals};

/// Worlds of each kind in CI.
const USUAL: u64 = 10;

fn hold(plan: fn(u64) -> Plan) -> Totals {
    let plans: Vec<Plan> = (1..=USUAL).map(plan).collect();
    let totals = play_all(&plans);
    let failed: Vec<String> = totals
        .failures
        .iter()
        .map(|failure| {
            format!(
                "seed {}: {}: {}",
                failure.plan.seed, failure.broken.rule, failure.broken.what
            )
        })
        .collect();
    assert!(
        failed.is_empty(),
        "{} rules broken:\n{}",
        failed.len(),
        failed.join("\n")
    );
    assert!(totals.changes > 50 * USUAL, "{} changes", totals.changes);
    totals
}

#[test]
fn every_rule_holds_after_closing_faults() {
    let totals = hold(Plan::closing);
    assert!(totals.blows >= 2 * USUAL, "{} closing faults", totals.blows);
}

#[test]
fn every_rule_holds_while_all_machines_are_replaced() {
    hold(Plan::turnover);
}

#[test]
fn every_rule_holds_with_slow_nodes_lost_zones_and_full_disks() {
    hold(Plan::harsh);
}

/// Three of six machines are back after a loss of power: half of the core, two of three voters. They answer rightly.
#[test]
fn half_of_the_core_may_be_a_majority_of_the_voters() {
    assert_eq!(play(&Plan::closing(9_100_098)).broken, []);
}

/// A caller whose connection ended is acknowledged elsewhere, a later order after it; then its first copy reaches the chain.
#[test]
fn a_first_copy_that_comes_last_does_not_undo_a_later_order() {
    for seed in [9_100_178, 9_100_193] {
        assert_eq!(play(&Plan::closing(seed)).broken, [], "seed {seed}");
    }
}

#[test]
fn a_harsher_world_plays_the_same_again() {
    for plan in [Plan::closing(2), Plan::turnover(2), Plan::harsh(2)] {
        assert_eq!(play(&plan), play(&plan), "seed {}", plan.seed);
    }
}

/// Kinds of the plans of CI.
fn kinds(plan: fn(u64) -> Plan) -> Vec<Kind> {
    (1..=USUAL)
        .flat_map(|seed| plan(seed).faults)
        .map(|fault| fault.kind)
        .collect()
}

#[test]
fn each_kind_of_trouble_is_among_the_worlds_of_ci() {
    let harsh = kinds(Plan::harsh);
    let closing = kinds(Plan::closing);
    let has = |kinds: &[Kind], is: fn(&Kind) -> bool| kinds.iter().any(is);
    assert!(has(&harsh, |kind| matches!(kind, Kind::SlowNode(_))));
    assert!(has(&harsh, |kind| matches!(
        kind,
        Kind::Disk {
            trouble: DiskTrouble::Full,
            ..
        }
    )));
    assert!(has(&harsh, |kind| matches!(
        kind,
        Kind::ZoneLoss {
            back: ZoneBack::EmptyDisks,
            ..
        }
    )));
    assert!(has(&harsh, |kind| matches!(
        kind,
        Kind::ZoneLoss {
            back: ZoneBack::OtherMachines,
            ..
        }
    )));
    assert!(has(&closing, |kind| matches!(
        kind,
        Kind::Closing {
            blow: Blow::Kill,
            ..
        }
    )));
    assert!(has(&closing, |kind| matches!(
        kind,
        Kind::Closing {
            blow: Blow::Power,
            ..
        }
    )));
    assert!(has(&closing, |kind| matches!(
        kind,
        Kind::Closing {
            blow: Blow::Disk { all: true, .. },
            ..
        }
    )));
    assert!(has(&closing, |kind| matches!(
        kind,
        Kind::Closing {
            blow: Blow::ZoneDisks { .. },
            ..
        }
    )));
    let replaced = kinds(Plan::turnover);
    let replaced = replaced
        .iter()
        .filter(|kind| matches!(kind, Kind::Replace { .. }))
        .count();
    assert!(replaced as u64 > USUAL, "{replaced} machines replaced");
}

#[test]
fn a_harsher_plan_is_the_same_after_a_file() {
    for plan in [Plan::closing(5), Plan::turnover(5), Plan::harsh(5)] {
        let text = serde_json::to_string(&plan).expect("a text");
        assert_eq!(serde_json::from_str::<Plan>(&text).expect("a plan"), plan);
    }
}
