//! The oracle finds what it looks for: each of these histories breaks one rule.
use sandtrack_simulation::oracle::Oracle;

/// Submits a change and acknowledges it on the version before.
fn acknowledged(
    oracle: &mut Oracle,
    operation: usize,
    based_on: u64,
    version: u64,
    document: &str,
) {
    oracle.configuration_submitted(operation, version, Some(document.to_owned()));
    oracle.acknowledged(operation, based_on);
}

fn rules(oracle: &Oracle) -> Vec<&'static str> {
    oracle
        .violations
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn a_history_in_order_breaks_nothing() {
    let mut oracle = Oracle::default();
    for (operation, version) in [(0, 1), (1, 2), (2, 4)] {
        let document = format!("document {version}");
        let based_on = [0, 1, 2][operation];
        oracle.configuration_submitted(operation, version, Some(document.clone()));
        oracle.configuration_applied(0, version * 10, version, &document);
        oracle.acknowledged(operation, based_on);
        oracle.read_back(version, &document);
    }
    oracle.check_versions_rise();
    oracle.check_acknowledged_was_applied();
    oracle.check_nothing_rejected_applied();
    assert!(oracle.violations.is_empty(), "{:?}", oracle.violations);
}

#[test]
fn an_acknowledged_change_that_was_never_applied_is_found() {
    let mut oracle = Oracle::default();
    acknowledged(&mut oracle, 0, 0, 1, "one");
    oracle.check_acknowledged_was_applied();
    assert_eq!(rules(&oracle), ["acknowledged_was_in_force"]);
}

#[test]
fn a_change_that_came_after_another_than_it_was_based_on_is_found() {
    let mut oracle = Oracle::default();
    for (operation, based_on, version, document) in
        [(0, 0, 1, "one"), (1, 1, 2, "two"), (2, 1, 3, "three")]
    {
        oracle.configuration_submitted(operation, version, Some(document.to_owned()));
        oracle.configuration_applied(0, version, version, document);
        if operation != 1 {
            oracle.acknowledged(operation, based_on);
        }
    }
    oracle.check_acknowledged_was_applied();
    assert_eq!(rules(&oracle), ["one_change_on_a_version"]);
}

#[test]
fn two_acknowledged_changes_on_a_version_are_found() {
    let mut oracle = Oracle::default();
    acknowledged(&mut oracle, 0, 0, 1, "one");
    acknowledged(&mut oracle, 1, 0, 1, "another");
    assert_eq!(rules(&oracle), ["one_change_on_a_version"]);
}

#[test]
fn a_read_of_other_bytes_is_found() {
    let mut oracle = Oracle::default();
    acknowledged(&mut oracle, 0, 0, 1, "one");
    oracle.read_is_what_was_sent(1, "another");
    assert_eq!(rules(&oracle), ["acknowledged_is_read_back"]);
}

#[test]
fn a_rejected_resubmission_is_found() {
    let mut oracle = Oracle::default();
    acknowledged(&mut oracle, 0, 0, 1, "one");
    oracle.resubmission_answered(0, 503);
    assert!(oracle.violations.is_empty());
    oracle.resubmission_answered(0, 412);
    assert_eq!(rules(&oracle), ["a_repeat_is_not_refused"]);
}

#[test]
fn a_rejected_change_that_was_applied_is_found() {
    let mut oracle = Oracle::default();
    oracle.configuration_submitted(0, 1, Some("one".to_owned()));
    oracle.rejected(0, 412);
    oracle.configuration_applied(0, 1, 1, "one");
    oracle.check_nothing_rejected_applied();
    assert_eq!(rules(&oracle), ["nothing_refused_in_force"]);
}

#[test]
fn an_operation_without_a_response_in_a_stable_cluster_is_found() {
    let mut oracle = Oracle::default();
    oracle.response_time_when_stable(0, 6000.0, 6000.0);
    assert!(oracle.violations.is_empty());
    oracle.response_time_when_stable(0, 6050.0, 6000.0);
    assert_eq!(rules(&oracle), ["a_stable_core_answers_in_time"]);
}

#[test]
fn a_proxy_that_goes_back_is_found() {
    let mut oracle = Oracle::default();
    for version in [1, 2] {
        let document = format!("document {version}");
        oracle.configuration_submitted(version as usize, version, Some(document.clone()));
        oracle.configuration_applied(0, version, version, &document);
    }
    oracle.proxy_serves(7, 2);
    oracle.proxy_serves(8, 1);
    assert!(oracle.violations.is_empty());
    oracle.proxy_serves(7, 1);
    assert_eq!(rules(&oracle), ["a_proxy_never_goes_back"]);
}

#[test]
fn a_redirect_is_found() {
    let mut oracle = Oracle::default();
    oracle.redirect(0, 200, false, false);
    oracle.redirect(0, 307, true, true);
    assert!(oracle.violations.is_empty());
    for (status, is_zone_operation, names_another) in
        [(307, false, true), (307, true, false), (302, true, true)]
    {
        let mut oracle = Oracle::default();
        oracle.redirect(0, status, is_zone_operation, names_another);
        assert_eq!(rules(&oracle), ["a_redirect_is_of_a_zone_order_to_another"]);
    }
}

#[test]
fn an_overtaken_operation_that_takes_effect_is_found() {
    let mut oracle = Oracle::default();
    let zones = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    oracle.evacuation_submitted("hall");
    oracle.evacuations_applied(0, 1, &zones(&["hall"]));
    oracle.evacuation_acknowledged("hall", true);
    assert!(oracle.violations.is_empty());
    oracle.evacuations_applied(0, 2, &zones(&[]));
    assert_eq!(rules(&oracle), ["an_overtaken_order_takes_no_effect"]);
}
