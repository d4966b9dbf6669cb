//! What an informed scheduler could have earned.
use sandtrack_fault_scenarios::informed::{informed, InformedError};

/// Two regions, an engine service of `upstreams` in each, and a day with a loss of a region or without.
fn site(upstreams: usize, per_s: f64, faults: &str) -> String {
    format!(
        r#"
length_s = 20.0
zones = [{{ name = "n", region = "north" }}, {{ name = "s", region = "south" }}]
services = [{{ name = "pool", servers = [{{ zone = "n", count = {upstreams} }}, {{ zone = "s", count = {upstreams} }}],
  llm = {{ prefill_tokens_per_ms = 10.0, pairs_ms_per_m = 1.0, first_ms = 40.0, stride = 5 }} }}]
classes = [{{ name = "letter", aim_ms = 1000, deadline_ms = 8000, worth = 2, late_worth = 0.5, service = "pool",
  stream = {{ resume = false, pieces = {{ mean = 5.0 }}, prompt_tokens = {{ mean = 2000.0 }}, chain = [{{ tokens = {{ mean = 1000.0 }} }}] }} }}]
[net]
in_zone_ms = 0.1
cross_region_ms = 50.0
client_ms = 1.0
[[day]]
name = "one"
faults = [{faults}]
traffic = [{{ zone = "n", per_s = {per_s}, mix = {{ letter = 1.0 }}, shape = {{ swing = 0.0, period_s = 10.0, phase = 0.0 }} }}]
"#
    )
}

#[test]
fn with_room_all_is_in_time_and_the_same_seed_gives_the_same() {
    let earned = informed(&site(4, 2.0, ""), "one", 1).expect("the site is whole");
    assert_eq!(
        (earned.whole_day, earned.worst_windows, earned.worst_class),
        (1.0, 1.0, 1.0)
    );
    assert_eq!(
        earned,
        informed(&site(4, 2.0, ""), "one", 1).expect("the site is whole")
    );
    assert!(earned.owed > 0.0);
}

#[test]
fn beyond_what_upstreams_can_read_requests_come_late_and_are_lost() {
    // Each reads a prompt in 0.2 s: two read ten a second.
    let earned = informed(&site(1, 14.0, ""), "one", 1).expect("the site is whole");
    assert!(earned.whole_day < 0.7, "{earned:?}");
    assert!(earned.worst_windows < earned.whole_day);
}

#[test]
fn what_ran_where_a_region_was_lost_is_lost_with_it() {
    let loss = r#"{ at = 10.0, kind = "region_loss", for_s = 4.0, region = "north" }"#;
    let earned = informed(&site(4, 10.0, loss), "one", 1).expect("the site is whole");
    assert!((0.9..1.0).contains(&earned.whole_day), "{earned:?}");
}

#[test]
fn a_day_that_is_not_there_is_named() {
    let missing = informed(&site(1, 1.0, ""), "two", 1);
    assert!(matches!(missing, Err(InformedError::Missing(what)) if what.contains("two")));
}
