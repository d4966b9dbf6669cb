//! The constants of the decisions.
use sandtrack_proxy::policy::{Policy, PolicyError};

#[test]
fn constants_are_set_by_name_and_the_others_stay() {
    let policy = Policy::with("circle_far=3, races=false").expect("both are constants");
    assert_eq!(
        policy,
        Policy {
            remote_subset_size: 3,
            hedging: false,
            ..Policy::default()
        }
    );
    assert_eq!(
        Policy::with("").expect("nothing is changed"),
        Policy::default()
    );
}

#[test]
fn constants_that_can_not_be_set_are_named() {
    assert_eq!(
        Policy::with("circle_far"),
        Err(PolicyError::Malformed("circle_far".to_owned()))
    );
    assert_eq!(
        Policy::with("cirlce=3"),
        Err(PolicyError::Unknown("cirlce".to_owned()))
    );
    let wrong = PolicyError::Value("circle_far".to_owned(), "many".to_owned());
    assert_eq!(Policy::with("circle_far=many"), Err(wrong));
}

#[test]
fn every_constant_is_listed_with_its_value() {
    let policy = Policy::default();
    for (name, value) in policy.constants() {
        assert_eq!(
            Policy::with(&format!("{name}={value}")),
            Ok(policy.clone()),
            "{name}"
        );
    }
}

#[test]
fn the_interval_between_failing_probes_doubles_up_to_its_bound() {
    let policy = Policy {
        suspect_probe_interval_ms: 300.0,
        max_suspect_probe_interval_ms: 1000.0,
        ..Policy::default()
    };
    let gaps: Vec<f64> = (0..6)
        .map(|failed| policy.suspect_probe_interval(failed))
        .collect();
    assert_eq!(gaps, [300.0, 300.0, 300.0, 600.0, 1000.0, 1000.0]);
}
