use rand::SeedableRng;
use rand_pcg::Pcg32;
use sandtrack_tiers::*;
use std::collections::BTreeMap;

/// How often each is picked in 4,000 picks.
fn shares<S: Ord + Copy>(
    candidates: &[usize],
    may_take: impl Fn(usize) -> bool,
    rank: impl Fn(usize) -> (S, Option<usize>),
    own: impl Fn(usize) -> usize,
) -> BTreeMap<usize, usize> {
    let (mut rng, mut counts) = (Pcg32::seed_from_u64(5), BTreeMap::new());
    for _ in 0..4000 {
        let place = pick(&mut rng, candidates, &may_take, &rank, &own);
        place
            .into_iter()
            .for_each(|place| *counts.entry(place).or_default() += 1);
    }
    counts
}

fn even(counts: &BTreeMap<usize, usize>, places: &[usize]) {
    assert!(counts.keys().eq(places), "{counts:?} instead of {places:?}");
    let share = 4000 / places.len();
    assert!(
        counts.values().all(|n| n.abs_diff(share) < share / 8),
        "{counts:?}"
    );
}

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

fn two_tiers(place: usize) -> ((), Option<usize>) {
    ((), Some(place / 3))
}

#[test]
fn a_send_goes_at_random_to_one_of_the_lowest_tier() {
    even(&shares(&ALL, |_| true, two_tiers, |_| 0), &[0, 1, 2]);
}

#[test]
fn the_lowest_tier_that_has_one_which_may_take_the_send_is_asked() {
    even(&shares(&ALL, |place| place != 0, two_tiers, |_| 0), &[1, 2]);
    even(&shares(&ALL, |place| place > 3, two_tiers, |_| 0), &[4, 5]);
    assert!(shares(&ALL, |_| false, two_tiers, |_| 0).is_empty());
    assert!(shares(&[], |_| true, two_tiers, |_| 0).is_empty());
}

#[test]
fn those_without_a_sample_are_in_the_pick_of_whatever_tier_is_lowest() {
    let rank = |place: usize| ((), (place != 5).then_some(place / 3));
    even(&shares(&ALL, |_| true, rank, |_| 0), &[0, 1, 2, 5]);
    even(&shares(&ALL, |place| place > 2, rank, |_| 0), &[3, 4, 5]);
    even(&shares(&ALL, |place| place == 5, rank, |_| 0), &[5]);
    even(&shares(&ALL, |_| true, |_| ((), None), |_| 0), &ALL);
}

#[test]
fn a_nearer_side_comes_before_any_tier_of_a_farther_one() {
    // 0 to 2 are far and quick, 3 to 5 near and slow; 5 without a sample is no member of a far tier.
    let rank = |place: usize| (place < 3, (place != 5).then_some(place / 3));
    even(&shares(&ALL, |_| true, rank, |_| 0), &[3, 4, 5]);
    even(&shares(&ALL, |place| place < 3, rank, |_| 0), &[0, 1, 2]);
    let bare = |place: usize| (place < 3, (place < 3).then_some(0));
    even(&shares(&ALL, |_| true, bare, |_| 0), &[3, 4, 5]);
}

#[test]
fn one_far_above_the_mean_in_flight_is_skipped_for_another_in_its_tier() {
    let own = |place: usize| if place == 1 { 9 } else { 1 };
    even(&shares(&ALL, |_| true, two_tiers, own), &[0, 2]);
    assert_eq!(crowd_limit([1, 9, 2].into_iter()), 7.5);
}

#[test]
fn the_skip_sends_nothing_to_a_higher_tier() {
    let own = |place: usize| if place < 3 { 20 } else { 0 };
    even(&shares(&ALL, |_| true, two_tiers, own), &[0, 1, 2]);
}

#[test]
fn a_pick_takes_one_draw_and_none_where_nobody_may_take_the_send() {
    let (mut rng, untouched) = (Pcg32::seed_from_u64(7), Pcg32::seed_from_u64(7));
    assert_eq!(pick(&mut rng, &ALL, |_| false, two_tiers, |_| 0), None);
    assert_eq!(rng, untouched);
    let mut by_parts = untouched;
    let place = pick(&mut rng, &ALL, |_| true, two_tiers, |_| 0);
    let tiers = ladder(ALL.into_iter(), two_tiers);
    assert_eq!(tiers, [[0, 1, 2], [3, 4, 5]]);
    assert_eq!(
        lowest(&mut by_parts, &tiers, |members| members.to_vec()),
        place
    );
    assert_eq!(rng, by_parts);
}
