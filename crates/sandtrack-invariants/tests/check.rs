//! A violation is counted, and ends a process that was built with debug assertions; what holds costs nothing.
use sandtrack_invariants::{check, Invariant};
use std::collections::BTreeSet;

#[test]
fn a_violation_is_counted_and_ends_a_process_of_the_tests() {
    let violate = || check(Invariant::VersionRises, false, || "4 behind 5".to_owned());
    let ended = std::panic::catch_unwind(violate);
    assert_eq!(ended.is_err(), cfg!(debug_assertions));
    assert_eq!(Invariant::VersionRises.violations(), 1);
}

#[test]
fn what_holds_is_not_counted_and_describes_nothing() {
    check(Invariant::RunsOnce, true, || {
        unreachable!("nothing is to be told")
    });
    assert_eq!(Invariant::RunsOnce.violations(), 0);
}

#[test]
fn each_has_a_name_of_its_own_that_stands_in_the_page_of_promises() {
    let page = include_str!("../../../docs/system/promises.md");
    let names: BTreeSet<&str> = Invariant::ALL
        .iter()
        .map(|invariant| invariant.name())
        .collect();
    assert_eq!(names.len(), Invariant::ALL.len());
    let missing: Vec<&&str> = names
        .iter()
        .filter(|name| !page.contains(&format!("`{name}`")))
        .collect();
    assert!(
        missing.is_empty(),
        "not in docs/system/promises.md: {missing:?}"
    );
}
