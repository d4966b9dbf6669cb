//! Tiers of upstreams by their smoothed probe times.
use crate::Millis;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::ops::IndexMut;

/// Slack of a tier's limit above its best average, ms (design).
pub const TIER_SLACK: Millis = 2.0;
/// A tier's limit as a multiple of its best average, where that is more (design).
pub const TIER_FACTOR: f64 = 2.0;
/// How far past a tier's limit a member must move before it leaves, as a multiple (design).
pub const TIER_MARGIN: f64 = 1.25;

/// The tier that an upstream was last put in, 0 the nearest, and the group that it belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    pub tier: usize,
    pub group: Option<u32>,
}

/// An upstream as far as tiers go by it.
pub trait Member {
    /// Smoothed probe time, ms; `None`: no sample yet, it keeps its tier and is of any in a pick.
    fn average(&self) -> Option<Millis>;
    fn membership(&mut self) -> &mut Membership;
}

/// Puts upstreams into tiers. It keeps nothing but the numbers of groups, which it never uses twice.
#[derive(Clone, Debug, Default)]
pub struct Tiers {
    next_group: u32,
}

impl Tiers {
    /// Each tier takes what lies within max(best + 2 ms, 2 x best) of what the tiers above left over; members
    /// of the same group stay until 25% past that. `places`: who takes part, unhealthy and draining ones too:
    /// their averages stand still, so that they keep their tier.
    pub fn regroup<F, M>(&mut self, upstreams: &mut F, places: impl IntoIterator<Item = usize>)
    where
        F: IndexMut<usize, Output = M> + ?Sized,
        M: Member,
    {
        let average = |place| Some((upstreams[place].average()?, place));
        let mut rest: Vec<(Millis, usize)> = places.into_iter().filter_map(average).collect();
        rest.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut claimed: Vec<u32> = Vec::new();
        let mut tier = 0;
        while let Some(&(best, _)) = rest.first() {
            let limit = (best + TIER_SLACK).max(best * TIER_FACTOR);
            // The group goes on as the one that most of its members were in, so a tier that appears or
            // vanishes above moves nobody.
            let mut votes: HashMap<u32, usize> = HashMap::new();
            for &(_, place) in rest.iter().take_while(|(average, _)| *average <= limit) {
                let group = upstreams[place]
                    .membership()
                    .group
                    .filter(|group| !claimed.contains(group));
                group
                    .into_iter()
                    .for_each(|group| *votes.entry(group).or_default() += 1);
            }
            let group = votes
                .into_iter()
                .max_by_key(|(group, count)| (*count, Reverse(*group)));
            let group = group.map_or(self.next_group, |(group, _)| group);
            self.next_group = self.next_group.max(group + 1);
            claimed.push(group);
            rest.retain(|&(average, place)| {
                let membership = upstreams[place].membership();
                let stays = membership.group == Some(group) && average <= limit * TIER_MARGIN;
                if average <= limit || stays {
                    *membership = Membership {
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
