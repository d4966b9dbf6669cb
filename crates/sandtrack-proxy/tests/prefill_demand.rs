//! Weights of regions for long prompts, by the demand for prefill.
use sandtrack_proxy::home_regions::HomeRegions;
use sandtrack_proxy::placement::prefill_demand::{PrefillDemand, WeightPrior};
use std::collections::BTreeMap;

/// Nothing but what was seen counts.
const NO_PRIOR: WeightPrior = WeightPrior {
    weight: 0.7,
    requests: 0.0,
    min_weight: 0.0,
};
const PRIOR: WeightPrior = WeightPrior {
    weight: 0.7,
    requests: 100.0,
    min_weight: 0.35,
};

fn homes(names: &[&str]) -> HomeRegions {
    let names: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
    HomeRegions::new(&names, &[])
}

/// So many long prompts of these tokens, and as many requests bound to regions.
fn seen(count: usize, long: f64, bound: &[(&[&str], f64)]) -> PrefillDemand {
    let mut demand = PrefillDemand::default();
    for _ in 0..count {
        demand.record_long_prompt(0.0, long);
        bound.iter().for_each(|(regions, tokens)| {
            demand.record_short_prompt(0.0, &homes(regions), *tokens);
        });
    }
    demand
}

fn weights(
    demand: &PrefillDemand,
    upstreams: &[(&'static str, usize)],
    prior: WeightPrior,
) -> BTreeMap<&'static str, f64> {
    demand.region_weights(0.0, &upstreams.iter().copied().collect(), prior)
}

#[test]
fn without_bound_requests_all_regions_weigh_alike() {
    let weights = weights(
        &seen(50, 300.0, &[]),
        &[("north", 10), ("south", 30)],
        NO_PRIOR,
    );
    assert!(
        weights.values().all(|weight| (weight - 1.0).abs() < 1e-9),
        "{weights:?}"
    );
}

#[test]
fn a_region_weighs_what_its_bound_requests_leave_of_the_mean() {
    // Of 400 tokens 100 are bound to one of two like regions: a mean of 20 an upstream, 10 of them taken in the north.
    let demand = seen(50, 300.0, &[(&["north"], 100.0)]);
    let weights = weights(&demand, &[("north", 10), ("south", 10)], NO_PRIOR);
    assert!(
        (weights["north"] - 0.5).abs() < 1e-9 && (weights["south"] - 1.0).abs() < 1e-9,
        "{weights:?}"
    );
}

#[test]
fn an_overloaded_region_has_the_least_weight() {
    let demand = seen(10_000, 100.0, &[(&["north"], 900.0)]);
    let weights = weights(&demand, &[("north", 10), ("south", 10)], PRIOR);
    assert!((weights["north"] - 0.35).abs() < 0.01, "{weights:?}");
}

#[test]
fn little_evidence_leaves_the_prior_weight() {
    let upstreams = [("north", 10), ("south", 10)];
    assert_eq!(
        weights(&PrefillDemand::default(), &upstreams, PRIOR)["north"],
        0.7
    );
    let after = |count: usize| {
        weights(
            &seen(count, 100.0, &[(&["north"], 900.0)]),
            &upstreams,
            PRIOR,
        )["north"]
    };
    assert!((after(1) - 0.7).abs() < 0.02, "{}", after(1));
    assert!(
        (after(50) - 0.525).abs() < 1e-6,
        "half of the evidence: {}",
        after(50)
    );
}

#[test]
fn old_demand_decays() {
    let mut demand = seen(100, 100.0, &[(&["north"], 900.0)]);
    (0..100).for_each(|_| demand.record_long_prompt(120_000.0, 100.0));
    let upstreams: BTreeMap<&str, usize> = [("north", 10), ("south", 10)].into_iter().collect();
    assert!(demand.region_weights(120_000.0, &upstreams, NO_PRIOR)["north"] > 0.6);
}
