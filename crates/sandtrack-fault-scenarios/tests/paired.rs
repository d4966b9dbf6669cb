//! Decisions on drawn differences are right as often as the rule claims.
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use sandtrack_fault_scenarios::paired::{Decision, Differences, Rule};

const RULE: Rule = Rule {
    alpha: 0.05,
    pairs_least: 3,
    pairs_most: 12,
    alike_within: 0.002,
};
const SPREAD: f64 = 0.01;

/// A draw from the normal distribution (Box and Muller).
fn normal(rng: &mut Pcg32, mean: f64, spread: f64) -> f64 {
    let (one, other): (f64, f64) = (1.0 - rng.gen::<f64>(), rng.gen());
    mean + spread * (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * other).cos()
}

/// What a change of this worth is taken for, and after how many pairs.
fn trial(rng: &mut Pcg32, worth: f64) -> (Decision, usize) {
    let mut differences = Differences::default();
    while differences.pairs() < RULE.pairs_most {
        differences.add(normal(rng, worth, SPREAD));
        let decision = differences.decide(&RULE);
        if decision != Decision::Open {
            return (decision, differences.pairs());
        }
    }
    (Decision::Open, differences.pairs())
}

fn trials(worth: f64) -> Vec<(Decision, usize)> {
    let mut rng = Pcg32::seed_from_u64(7);
    (0..2000).map(|_| trial(&mut rng, worth)).collect()
}

fn share(trials: &[(Decision, usize)], decision: Decision) -> f64 {
    trials.iter().filter(|(of, _)| *of == decision).count() as f64 / trials.len() as f64
}

#[test]
fn what_is_worth_nothing_is_seldom_taken_for_better_or_worse() {
    let trials = trials(0.0);
    let wrong = share(&trials, Decision::Better) + share(&trials, Decision::Worse);
    assert!(wrong <= RULE.alpha, "{wrong}");
}

#[test]
fn what_is_worth_something_is_seldom_taken_for_nothing_or_its_contrary() {
    for worth in [-0.02, -0.01, 0.01, 0.02] {
        let trials = trials(worth);
        let contrary = if worth > 0.0 {
            Decision::Worse
        } else {
            Decision::Better
        };
        let wrong = share(&trials, contrary) + share(&trials, Decision::Alike);
        assert!(wrong <= RULE.alpha, "{worth}: {wrong}");
    }
}

#[test]
fn what_is_plain_is_decided_early_and_rightly() {
    let trials = trials(0.05);
    assert!(share(&trials, Decision::Better) > 0.99);
    let pairs = trials.iter().map(|(_, pairs)| *pairs).sum::<usize>() as f64 / trials.len() as f64;
    assert!(pairs < 6.0, "{pairs}");
}

#[test]
fn one_pair_decides_nothing_and_equal_ones_are_alike() {
    let mut differences = Differences::default();
    differences.add(0.5);
    assert_eq!(
        (differences.decide(&RULE), differences.standard_error()),
        (Decision::Open, None)
    );
    let mut differences = Differences::default();
    (0..3).for_each(|_| differences.add(0.0));
    assert_eq!(differences.decide(&RULE), Decision::Alike);
}
