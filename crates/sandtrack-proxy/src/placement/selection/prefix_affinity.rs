//! Where long prompts go: to the upstream that has read their shared prefix while it can begin in time. Pure.
use crate::hashing::mix64;
use crate::placement::balancer::Balancer;
use crate::placement::prefill_demand::{PrefillDemand, WeightPrior};
use crate::request::ProxyRequest;
use sandtrack_tiers::Millis;
use std::collections::BTreeMap;

/// How well an upstream suits a long prompt; the first is best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum OwnerClass {
    /// It has read the shared prefix, and is to begin in time.
    CachedInTime,
    /// It is to begin in time with the whole prompt, and is among those that all proxies compare.
    InTime,
    /// It is to begin in time with the whole prompt, and only proxies of its region compare it.
    LocalInTime,
    /// It is to begin late.
    Late,
}

/// An upstream that is compared for a long prompt.
struct Candidate {
    place: usize,
    /// All proxies compare it, by its rank.
    is_chosen: bool,
}

impl Balancer {
    /// The departure for long shared prefixes: of a few upstreams, found by weighted rendezvous hashing, the one that is
    /// estimated to give a first token in time with the least to read. Proxies that know the same choose the same one, wherever
    /// it is, and reading a prefix once more costs engines ten times what the request costs on its way to another region; but
    /// where those that have read it can't begin in time, another one reads it as well.
    pub(super) fn choose_prefix_owner(
        &self,
        now: Millis,
        request: &ProxyRequest,
        able: &[usize],
    ) -> Option<usize> {
        let weights = self.region_weights(now, &request.service, able);
        let weight = |place: usize| {
            weights
                .get(self.upstreams.get(place).region.as_str())
                .copied()
                .unwrap_or(1.0)
        };
        let limit = request.route.target_latency_ms * self.policy.first_token_target_ratio;
        let cost = |candidate: &Candidate| {
            let upstream = self.upstreams.get(candidate.place);
            let estimate = self
                .prefill_queues
                .estimate(now, request, upstream, &self.policy);
            let trip = self.region_round_trips.get(&upstream.region).unwrap_or(0.0);
            let time = estimate.time + self.policy.first_token_round_trips * trip;
            let class = match (time <= limit, estimate.kept, candidate.is_chosen) {
                (true, true, _) => OwnerClass::CachedInTime,
                (true, false, true) => OwnerClass::InTime,
                (true, false, false) => OwnerClass::LocalInTime,
                (false, _, _) => OwnerClass::Late,
            };
            // While all are in time the way there counts for nothing: all proxies are to choose the same one. What is bound to a
            // region leaves only a part of its upstreams' time.
            let cost = match class {
                OwnerClass::Late => time - estimate.time + estimate.time / weight(candidate.place),
                OwnerClass::CachedInTime => estimate.time,
                // A proxy that has just started does not know who has read what: the first by rank is the likeliest.
                OwnerClass::InTime | OwnerClass::LocalInTime => {
                    (estimate.ahead - self.policy.idle_backlog_ms).max(0.0)
                        / weight(candidate.place)
                }
            };
            (class, cost)
        };
        let candidates = self.prefix_owner_candidates(request, able, &weight);
        let costs = candidates
            .iter()
            .map(|candidate| (cost(candidate), candidate.place));
        // Of those alike the first by rank.
        let least = costs
            .min_by(|(one, _), (other, _)| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        least.map(|(_, place)| place)
    }

    /// The upstreams that are compared for a long prompt, by rank: the first of all, those that have read its prefix, and the
    /// first of the own region.
    fn prefix_owner_candidates(
        &self,
        request: &ProxyRequest,
        able: &[usize],
        weight: &impl Fn(usize) -> f64,
    ) -> Vec<Candidate> {
        let key = request.shared_key();
        let keeps = self.prefill_queues.keeps(request);
        // Weighted rendezvous hashing: a share of the draws in proportion to the weight, and few move when one goes.
        let rank = |place: usize| {
            let draw =
                (mix64(key ^ self.upstreams.get(place).hash) >> 11) as f64 / (1u64 << 53) as f64;
            -(draw.max(f64::MIN_POSITIVE)).ln() / weight(place)
        };
        let mut ranked: Vec<(f64, usize)> =
            able.iter().map(|place| (rank(*place), *place)).collect();
        ranked.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let choices = self.policy.prefix_owner_candidates.max(1);
        let mut near_choices = 0;
        let mut candidates = Vec::new();
        for (at, (_, place)) in ranked.into_iter().enumerate() {
            let upstream = self.upstreams.get(place);
            let is_near = upstream.region == self.region && near_choices < choices;
            near_choices += usize::from(is_near);
            let is_chosen = at < choices;
            if is_chosen || is_near || keeps(upstream) {
                candidates.push(Candidate { place, is_chosen });
            }
        }
        candidates
    }

    /// Weight of each region's upstreams as keepers. Regions to which as few routes are bound as to any other weigh 1.
    fn region_weights(&self, now: Millis, service: &str, able: &[usize]) -> BTreeMap<&str, f64> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for place in able {
            *counts
                .entry(self.upstreams.get(*place).region.as_str())
                .or_default() += 1;
        }
        let least = counts
            .keys()
            .map(|region| self.bound(service, region))
            .min()
            .unwrap_or(0);
        let prior = WeightPrior {
            weight: self.policy.prior_region_weight,
            requests: self.policy.prior_region_weight_requests,
            least: self.policy.min_region_weight,
        };
        let nothing_seen = PrefillDemand::new(&self.policy);
        let seen = self.prefill_demands.get(service).unwrap_or(&nothing_seen);
        let mut weights = seen.weights(now, &counts, prior);
        for (region, weight) in &mut weights {
            if self.bound(service, region) == least {
                *weight = 1.0;
            }
        }
        weights
    }
}
