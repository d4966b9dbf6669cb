//! The random pick in the lowest tier that has an eligible upstream.
use rand::Rng;
use std::collections::BTreeSet;

/// An upstream whose requests in flight are this many times the mean plus one, or more, is overloaded (ours).
pub const OVERLOAD_FACTOR: f64 = 1.5;

/// Number of own requests in flight from which on an upstream is skipped, from those of each candidate.
pub fn overload_limit(in_flight: impl ExactSizeIterator<Item = usize>) -> f64 {
    let count = in_flight.len() as f64;
    (in_flight.sum::<usize>() as f64 / count + 1.0) * OVERLOAD_FACTOR
}

/// Groups candidates into tiers, lowest first; in each the candidates keep their order. `rank` gives a
/// candidate's locality (own zone or region before others; `()` where there is but one), which comes before
/// its tier, and its tier. `None`: it has no sample yet and is in every tier of its locality. A locality
/// without any sample is one tier.
pub fn group_by_tier<L: Ord + Copy>(
    candidates: impl Iterator<Item = usize>,
    rank: impl Fn(usize) -> (L, Option<usize>),
) -> Vec<Vec<usize>> {
    let ranks: Vec<_> = candidates.map(|index| (index, rank(index))).collect();
    let sampled = ranks
        .iter()
        .filter_map(|(_, (locality, tier))| Some((*locality, (*tier)?)));
    let mut tiers: BTreeSet<(L, usize)> = sampled.collect();
    for (_, (locality, _)) in &ranks {
        if !tiers.iter().any(|tier| tier.0 == *locality) {
            tiers.insert((*locality, 0));
        }
    }
    let members = |(locality, tier): (L, usize)| {
        let is_member = |rank: &(L, Option<usize>)| {
            rank.0 == locality && rank.1.is_none_or(|own_tier| own_tier == tier)
        };
        ranks
            .iter()
            .filter(|(_, rank)| is_member(rank))
            .map(|(index, _)| *index)
            .collect()
    };
    tiers.into_iter().map(members).collect()
}

/// Picks at random among what `keep` leaves of the first tier of which it leaves any. Takes one draw; none,
/// and gives `None`, where nothing is left of any tier.
pub fn pick_in_lowest(
    rng: &mut impl Rng,
    tiers: &[Vec<usize>],
    mut keep: impl FnMut(&[usize]) -> Vec<usize>,
) -> Option<usize> {
    let kept = tiers
        .iter()
        .map(|members| keep(members))
        .find(|kept| !kept.is_empty())?;
    Some(kept[rng.gen_range(0..kept.len())])
}

/// The design's pick: random in the lowest tier that has an eligible candidate (healthy, neither draining nor
/// removed, and whatever else the caller asks), those without a sample included. One with far more requests
/// `in_flight` than the mean is skipped for another in its tier, but never for one of a higher tier.
pub fn pick<L: Ord + Copy>(
    rng: &mut impl Rng,
    candidates: &[usize],
    is_eligible: impl Fn(usize) -> bool,
    rank: impl Fn(usize) -> (L, Option<usize>),
    in_flight: impl Fn(usize) -> usize,
) -> Option<usize> {
    let eligible: Vec<usize> = candidates
        .iter()
        .copied()
        .filter(|index| is_eligible(*index))
        .collect();
    let limit = overload_limit(eligible.iter().map(|index| in_flight(*index)));
    let tiers = group_by_tier(eligible.into_iter(), rank);
    pick_in_lowest(rng, &tiers, |members| {
        let below_limit: Vec<usize> = members
            .iter()
            .copied()
            .filter(|index| (in_flight(*index) as f64) < limit)
            .collect();
        if below_limit.is_empty() {
            members.to_vec()
        } else {
            below_limit
        }
    })
}
