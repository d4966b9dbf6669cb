use rand::SeedableRng;
use rand_pcg::Pcg32;
use sandtrack_tiers::{group_by_tier, overload_limit, pick, pick_in_lowest};
use std::collections::BTreeMap;

/// How often each is picked in 4,000 picks.
fn shares<L: Ord + Copy>(
    candidates: &[usize],
    is_eligible: impl Fn(usize) -> bool,
    rank: impl Fn(usize) -> (L, Option<usize>),
    in_flight: impl Fn(usize) -> usize,
) -> BTreeMap<usize, usize> {
    let (mut rng, mut counts) = (Pcg32::seed_from_u64(5), BTreeMap::new());
    for _ in 0..4000 {
        let index = pick(&mut rng, candidates, &is_eligible, &rank, &in_flight);
        index
            .into_iter()
            .for_each(|index| *counts.entry(index).or_default() += 1);
    }
    counts
}

fn even(counts: &BTreeMap<usize, usize>, indices: &[usize]) {
    assert!(
        counts.keys().eq(indices),
        "{counts:?} instead of {indices:?}"
    );
    let share = 4000 / indices.len();
    assert!(
        counts.values().all(|n| n.abs_diff(share) < share / 8),
        "{counts:?}"
    );
}

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

fn two_tiers(index: usize) -> ((), Option<usize>) {
    ((), Some(index / 3))
}

#[test]
fn a_request_goes_at_random_to_one_of_the_lowest_tier() {
    even(&shares(&ALL, |_| true, two_tiers, |_| 0), &[0, 1, 2]);
}

#[test]
fn the_lowest_tier_with_an_eligible_upstream_is_picked_from() {
    even(&shares(&ALL, |index| index != 0, two_tiers, |_| 0), &[1, 2]);
    even(&shares(&ALL, |index| index > 3, two_tiers, |_| 0), &[4, 5]);
    assert!(shares(&ALL, |_| false, two_tiers, |_| 0).is_empty());
    assert!(shares(&[], |_| true, two_tiers, |_| 0).is_empty());
}

#[test]
fn upstreams_without_a_sample_are_in_the_pick_of_whatever_tier_is_lowest() {
    let rank = |index: usize| ((), (index != 5).then_some(index / 3));
    even(&shares(&ALL, |_| true, rank, |_| 0), &[0, 1, 2, 5]);
    even(&shares(&ALL, |index| index > 2, rank, |_| 0), &[3, 4, 5]);
    even(&shares(&ALL, |index| index == 5, rank, |_| 0), &[5]);
    even(&shares(&ALL, |_| true, |_| ((), None), |_| 0), &ALL);
}

#[test]
fn a_nearer_locality_comes_before_any_tier_of_a_farther_one() {
    // 0 to 2 are far and quick, 3 to 5 near and slow; 5 without a sample is no member of a far tier.
    let rank = |index: usize| (index < 3, (index != 5).then_some(index / 3));
    even(&shares(&ALL, |_| true, rank, |_| 0), &[3, 4, 5]);
    even(&shares(&ALL, |index| index < 3, rank, |_| 0), &[0, 1, 2]);
    let bare = |index: usize| (index < 3, (index < 3).then_some(0));
    even(&shares(&ALL, |_| true, bare, |_| 0), &[3, 4, 5]);
}

#[test]
fn an_overloaded_upstream_is_skipped_for_another_in_its_tier() {
    let in_flight = |index: usize| if index == 1 { 9 } else { 1 };
    even(&shares(&ALL, |_| true, two_tiers, in_flight), &[0, 2]);
    assert_eq!(overload_limit([1, 9, 2].into_iter()), 7.5);
}

#[test]
fn skipping_an_overloaded_upstream_sends_nothing_to_a_higher_tier() {
    let in_flight = |index: usize| if index < 3 { 20 } else { 0 };
    even(&shares(&ALL, |_| true, two_tiers, in_flight), &[0, 1, 2]);
}

#[test]
fn a_pick_takes_one_draw_and_none_where_nobody_is_eligible() {
    let (mut rng, untouched) = (Pcg32::seed_from_u64(7), Pcg32::seed_from_u64(7));
    assert_eq!(pick(&mut rng, &ALL, |_| false, two_tiers, |_| 0), None);
    assert_eq!(rng, untouched);
    let mut by_parts = untouched;
    let index = pick(&mut rng, &ALL, |_| true, two_tiers, |_| 0);
    let tiers = group_by_tier(ALL.into_iter(), two_tiers);
    assert_eq!(tiers, [[0, 1, 2], [3, 4, 5]]);
    assert_eq!(
        pick_in_lowest(&mut by_parts, &tiers, |members| members.to_vec()),
        index
    );
    assert_eq!(rng, by_parts);
}
