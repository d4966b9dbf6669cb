//! Tiers of upstreams by their smoothed latency, with hysteresis.
use crate::Millis;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::ops::IndexMut;

/// Slack of a tier's limit above its best latency, in ms (design).
pub const TIER_SLACK_MS: Millis = 2.0;
/// A tier's limit as a multiple of its best latency, where that is more (design).
pub const TIER_FACTOR: f64 = 2.0;
/// How far past a tier's limit a member must move before it leaves, as a multiple of the limit (design).
pub const TIER_MARGIN: f64 = 1.25;

/// The tier that an upstream was last put in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TierMembership {
    /// Number of the tier, 0 the nearest.
    pub tier: usize,
    /// Identity of the tier, which it keeps while its number changes; `None`: never in any.
    pub group: Option<u32>,
}

/// An upstream that can be put into a tier.
pub trait Member {
    /// Smoothed latency of its probes, in ms; `None`: no sample yet, it is not moved and is in every tier in
    /// a pick.
    fn latency(&self) -> Option<Millis>;

    /// The tier that it is in.
    fn tier_membership(&mut self) -> &mut TierMembership;
}

/// Puts upstreams into tiers. It keeps only the next identity of a tier, so that none is used twice.
#[derive(Clone, Debug, Default)]
pub struct Tiers {
    next_group: u32,
}

impl Tiers {
    /// Puts the upstreams at `indices` into tiers. Each tier takes what lies within
    /// max(best + 2 ms, 2 x best) of what the tiers before left over; its members of before stay until 25%
    /// past that. Unhealthy and draining upstreams belong among `indices`: their latencies stand still, so
    /// that they keep their tier.
    ///
    /// # Panics
    /// Where an index is out of range.
    pub fn regroup<F, M>(&mut self, upstreams: &mut F, indices: impl IntoIterator<Item = usize>)
    where
        F: IndexMut<usize, Output = M> + ?Sized,
        M: Member,
    {
        let with_latency = |index| Some((upstreams[index].latency()?, index));
        let mut rest: Vec<(Millis, usize)> = indices.into_iter().filter_map(with_latency).collect();
        rest.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut claimed: Vec<u32> = Vec::new();
        let mut tier = 0;
        while let Some(&(best, _)) = rest.first() {
            let limit = (best + TIER_SLACK_MS).max(best * TIER_FACTOR);
            let within = rest.iter().take_while(|(latency, _)| *latency <= limit);
            let group = majority_group(upstreams, within.map(|(_, index)| *index), &claimed);
            let group = group.unwrap_or(self.next_group);
            self.next_group = self.next_group.max(group + 1);
            claimed.push(group);
            rest.retain(|&(latency, index)| {
                let membership = upstreams[index].tier_membership();
                let stays = membership.group == Some(group) && latency <= limit * TIER_MARGIN;
                if latency <= limit || stays {
                    *membership = TierMembership {
                        tier,
                        group: Some(group),
                    };
                    return false;
                }
                true
            });
            tier += 1;
        }
    }
}

/// The identity that a tier goes on with: the one that most of its members had, so that a tier which appears
/// or vanishes before it moves nobody. Not one that is `claimed`; of equal ones the lowest.
fn majority_group<F, M>(
    upstreams: &mut F,
    members: impl Iterator<Item = usize>,
    claimed: &[u32],
) -> Option<u32>
where
    F: IndexMut<usize, Output = M> + ?Sized,
    M: Member,
{
    let mut votes: HashMap<u32, usize> = HashMap::new();
    for index in members {
        let group = upstreams[index].tier_membership().group;
        if let Some(group) = group.filter(|group| !claimed.contains(group)) {
            *votes.entry(group).or_default() += 1;
        }
    }
    votes
        .into_iter()
        .max_by_key(|(group, count)| (*count, Reverse(*group)))
        .map(|(group, _)| group)
}
