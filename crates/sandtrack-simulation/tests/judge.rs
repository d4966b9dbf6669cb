//! The judge finds what it looks for: each of these histories breaks one rule.
use sandtrack_simulation::judge::Checks;

/// A change of one order: sent, and acknowledged on the version before.
fn acknowledged(checks: &mut Checks, order: usize, based_on: u64, version: u64, document: &str) {
    checks.configuration_sent(order, version, Some(document.to_owned()));
    checks.acknowledged(order, based_on);
}

fn rules(checks: &Checks) -> Vec<&'static str> {
    checks.broken.iter().map(|broken| broken.rule).collect()
}

#[test]
fn a_history_in_order_breaks_nothing() {
    let mut checks = Checks::default();
    for (order, version) in [(0, 1), (1, 2), (2, 4)] {
        let document = format!("document {version}");
        let based_on = [0, 1, 2][order];
        checks.configuration_sent(order, version, Some(document.clone()));
        checks.configuration_in_force(0, version * 10, version, document.clone());
        checks.acknowledged(order, based_on);
        checks.read_back(version, &document);
    }
    checks.versions_rise();
    checks.acknowledged_was_in_force();
    checks.nothing_refused_in_force();
    assert!(checks.broken.is_empty(), "{:?}", checks.broken);
}

#[test]
fn a_change_that_never_came_into_force_is_found() {
    let mut checks = Checks::default();
    acknowledged(&mut checks, 0, 0, 1, "one");
    checks.acknowledged_was_in_force();
    assert_eq!(rules(&checks), ["acknowledged_was_in_force"]);
}

#[test]
fn a_change_that_came_after_another_than_it_was_based_on_is_found() {
    let mut checks = Checks::default();
    for (order, based_on, version, document) in
        [(0, 0, 1, "one"), (1, 1, 2, "two"), (2, 1, 3, "three")]
    {
        checks.configuration_sent(order, version, Some(document.to_owned()));
        checks.configuration_in_force(0, version, version, document.to_owned());
        if order != 1 {
            checks.acknowledged(order, based_on);
        }
    }
    checks.acknowledged_was_in_force();
    assert_eq!(rules(&checks), ["one_change_on_a_version"]);
}

#[test]
fn two_acknowledged_changes_on_a_version_are_found() {
    let mut checks = Checks::default();
    acknowledged(&mut checks, 0, 0, 1, "one");
    acknowledged(&mut checks, 1, 0, 1, "another");
    assert_eq!(rules(&checks), ["one_change_on_a_version"]);
}

#[test]
fn a_read_of_other_bytes_is_found() {
    let mut checks = Checks::default();
    acknowledged(&mut checks, 0, 0, 1, "one");
    checks.read_is_what_was_sent(1, "another");
    assert_eq!(rules(&checks), ["acknowledged_is_read_back"]);
}

#[test]
fn a_refused_repeat_is_found() {
    let mut checks = Checks::default();
    acknowledged(&mut checks, 0, 0, 1, "one");
    checks.repeat_answered(0, 503);
    assert!(checks.broken.is_empty());
    checks.repeat_answered(0, 412);
    assert_eq!(rules(&checks), ["a_repeat_is_not_refused"]);
}

#[test]
fn a_refused_change_in_force_is_found() {
    let mut checks = Checks::default();
    checks.configuration_sent(0, 1, Some("one".to_owned()));
    checks.refused(0, 412);
    checks.configuration_in_force(0, 1, 1, "one".to_owned());
    checks.nothing_refused_in_force();
    assert_eq!(rules(&checks), ["nothing_refused_in_force"]);
}

#[test]
fn an_order_without_an_answer_in_a_stable_core_is_found() {
    let mut checks = Checks::default();
    checks.answered_when_stable(0, 6000.0, 6000.0);
    assert!(checks.broken.is_empty());
    checks.answered_when_stable(0, 6050.0, 6000.0);
    assert_eq!(rules(&checks), ["a_stable_core_answers_in_time"]);
}

#[test]
fn a_proxy_that_goes_back_is_found() {
    let mut checks = Checks::default();
    for version in [1, 2] {
        let document = format!("document {version}");
        checks.configuration_sent(version as usize, version, Some(document.clone()));
        checks.configuration_in_force(0, version, version, document);
    }
    checks.proxy_serves(7, 2);
    checks.proxy_serves(8, 1);
    assert!(checks.broken.is_empty());
    checks.proxy_serves(7, 1);
    assert_eq!(rules(&checks), ["a_proxy_never_goes_back"]);
}

#[test]
fn a_redirect_is_found() {
    let mut checks = Checks::default();
    checks.redirect(0, 200, false, false);
    checks.redirect(0, 307, true, true);
    assert!(checks.broken.is_empty());
    for (status, is_zone_order, names_another) in
        [(307, false, true), (307, true, false), (302, true, true)]
    {
        let mut checks = Checks::default();
        checks.redirect(0, status, is_zone_order, names_another);
        assert_eq!(rules(&checks), ["a_redirect_is_of_a_zone_order_to_another"]);
    }
}

#[test]
fn an_overtaken_order_that_takes_effect_is_found() {
    let mut checks = Checks::default();
    let zones = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    checks.evacuation_sent("hall");
    checks.evacuations_in_force(0, 1, zones(&["hall"]));
    checks.evacuation_acknowledged("hall", true);
    assert!(checks.broken.is_empty());
    checks.evacuations_in_force(0, 2, zones(&[]));
    assert_eq!(rules(&checks), ["an_overtaken_order_takes_no_effect"]);
}
