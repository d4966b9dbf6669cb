//! The random pick in the lowest tier that has an upstream which may take the send.
use rand::Rng;
use std::collections::BTreeSet;

/// One with this many times the mean own attempts out, plus one, or more is far above the mean (ours).
pub const FAR: f64 = 1.5;

/// Own attempts out from which on an upstream is skipped, a count, from those of each candidate.
pub fn crowd_limit(own: impl ExactSizeIterator<Item = usize>) -> f64 {
    let count = own.len() as f64;
    (own.sum::<usize>() as f64 / count + 1.0) * FAR
}

/// The tiers of the candidates, lowest first; in each the candidates keep their order. `rank`: one's side
/// (own zone or region before others; `()`: there is but one), which comes before its tier, and its tier.
/// `None`: it has no sample yet and is of every tier of its side. A side without any sample is one tier.
pub fn ladder<S: Ord + Copy>(
    candidates: impl Iterator<Item = usize>,
    rank: impl Fn(usize) -> (S, Option<usize>),
) -> Vec<Vec<usize>> {
    let ranks: Vec<_> = candidates.map(|place| (place, rank(place))).collect();
    let sampled = ranks
        .iter()
        .filter_map(|(_, (side, tier))| Some((*side, (*tier)?)));
    let mut tiers: BTreeSet<(S, usize)> = sampled.collect();
    for (_, (side, _)) in &ranks {
        if !tiers.iter().any(|tier| tier.0 == *side) {
            tiers.insert((*side, 0));
        }
    }
    let members = |(side, tier): (S, usize)| {
        let is_of = |of: &(S, Option<usize>)| of.0 == side && of.1.is_none_or(|own| own == tier);
        ranks
            .iter()
            .filter(|(_, of)| is_of(of))
            .map(|(place, _)| *place)
            .collect()
    };
    tiers.into_iter().map(members).collect()
}

/// One drawn at random of what `keep` leaves of the first tier of which it leaves any. Takes one draw, none
/// if nothing is left anywhere.
pub fn lowest(
    rng: &mut impl Rng,
    tiers: &[Vec<usize>],
    mut keep: impl FnMut(&[usize]) -> Vec<usize>,
) -> Option<usize> {
    let left = tiers
        .iter()
        .map(|members| keep(members))
        .find(|left| !left.is_empty())?;
    Some(left[rng.gen_range(0..left.len())])
}

/// The design's pick: random in the lowest tier that has a candidate which `may_take` the send (healthy, not
/// draining or gone, and whatever else the caller asks), those without a sample included. One far above the
/// mean `own` attempts out is skipped for another in its tier, but never for one of a higher tier.
pub fn pick<S: Ord + Copy>(
    rng: &mut impl Rng,
    candidates: &[usize],
    may_take: impl Fn(usize) -> bool,
    rank: impl Fn(usize) -> (S, Option<usize>),
    own: impl Fn(usize) -> usize,
) -> Option<usize> {
    let able: Vec<usize> = candidates
        .iter()
        .copied()
        .filter(|place| may_take(*place))
        .collect();
    let limit = crowd_limit(able.iter().map(|place| own(*place)));
    lowest(rng, &ladder(able.into_iter(), rank), |members| {
        let near = members
            .iter()
            .copied()
            .filter(|place| (own(*place) as f64) < limit);
        Some(near.collect())
            .filter(|near: &Vec<_>| !near.is_empty())
            .unwrap_or_else(|| members.to_vec())
    })
}
