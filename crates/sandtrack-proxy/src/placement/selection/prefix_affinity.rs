//! Prefix cache affinity: a long prompt goes to an upstream that holds its shared prefix in the KV cache, while that one can
//! begin in time.
use crate::hashing::mix64;
use crate::placement::balancer::Balancer;
use crate::placement::prefill_demand::{PrefillDemand, WeightPrior};
use crate::placement::prefill_queue::PrefillEstimate;
use crate::request::ProxyRequest;
use sandtrack_tiers::Millis;
use std::collections::BTreeMap;

/// How well an upstream suits a long prompt; the first is best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum OwnerClass {
    /// It owns the shared prefix, and is estimated to begin in time.
    CachedInTime,
    /// It is estimated to begin in time with the whole prompt, and is among the candidates of all proxies.
    InTime,
    /// It is estimated to begin in time with the whole prompt, and is a candidate only of proxies of its region.
    LocalInTime,
    /// It is estimated to begin late.
    Late,
}

/// An upstream that is compared for a long prompt.
struct Candidate {
    upstream: usize,
    /// It is a candidate of all proxies, by its rank.
    is_global: bool,
}

/// Weight of each region's upstreams.
struct RegionWeights<'a>(BTreeMap<&'a str, f64>);

impl RegionWeights<'_> {
    fn get(&self, region: &str) -> f64 {
        self.0.get(region).copied().unwrap_or(1.0)
    }
}

impl Balancer {
    /// Picks the upstream for a long prompt: of a few, found by weighted rendezvous hashing, the one that is estimated to give
    /// the first token in time with the least to prefill. Proxies that know the same pick the same one, wherever it is, since
    /// prefilling a prefix once more costs engines ten times what the way to another region costs the request; but where its
    /// owners can't begin in time, another upstream prefills it as well.
    pub(super) fn pick_prefix_owner(
        &self,
        now: Millis,
        request: &ProxyRequest,
        eligible: &[usize],
    ) -> Option<usize> {
        let weights = self.region_weights(now, &request.service, eligible);
        let candidates = self.prefix_owner_candidates(request, eligible, &weights);
        let costs = candidates.iter().map(|candidate| {
            let cost = self.prefix_owner_cost(now, request, candidate, &weights);
            (cost, candidate.upstream)
        });
        // Of equal ones the first by rank.
        let least = costs
            .min_by(|(one, _), (other, _)| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        least.map(|(_, upstream)| upstream)
    }

    /// Class of a candidate, and its cost within the class in ms.
    fn prefix_owner_cost(
        &self,
        now: Millis,
        request: &ProxyRequest,
        candidate: &Candidate,
        weights: &RegionWeights<'_>,
    ) -> (OwnerClass, f64) {
        let upstream = self.upstreams.get(candidate.upstream);
        let estimate = self
            .prefill_queues
            .estimate(now, request, upstream, &self.policy);
        let round_trip = self.region_round_trips.get(&upstream.region).unwrap_or(0.0);
        let time = estimate.total_time + self.policy.first_token_round_trips * round_trip;
        let limit = request.route.target_latency_ms * self.policy.first_token_target_ratio;
        let class = match (time <= limit, estimate.is_cached, candidate.is_global) {
            (true, true, _) => OwnerClass::CachedInTime,
            (true, false, true) => OwnerClass::InTime,
            (true, false, false) => OwnerClass::LocalInTime,
            (false, _, _) => OwnerClass::Late,
        };
        let weight = weights.get(&upstream.region);
        (class, self.cost_in_class(class, time, &estimate, weight))
    }

    /// While all candidates are in time the round trip counts for nothing, as all proxies are to pick the same one. The
    /// upstreams of a region with bound requests have only a fraction (`weight`) of their time for long prompts.
    fn cost_in_class(
        &self,
        class: OwnerClass,
        time: Millis,
        estimate: &PrefillEstimate,
        weight: f64,
    ) -> f64 {
        match class {
            OwnerClass::Late => time - estimate.total_time + estimate.total_time / weight,
            OwnerClass::CachedInTime => estimate.total_time,
            // A proxy that has just started does not know the owners: the first by rank is the likeliest.
            OwnerClass::InTime | OwnerClass::LocalInTime => {
                (estimate.queueing_time - self.policy.idle_backlog_ms).max(0.0) / weight
            }
        }
    }

    /// The upstreams that are compared for a long prompt, by rank: the first of all, the owners of its prefix, and the first
    /// of the own region.
    fn prefix_owner_candidates(
        &self,
        request: &ProxyRequest,
        eligible: &[usize],
        weights: &RegionWeights<'_>,
    ) -> Vec<Candidate> {
        let key = request.shared_key();
        let owns_prefix = self.prefill_queues.prefix_owner_filter(request);
        let mut ranked: Vec<(f64, usize)> = eligible
            .iter()
            .map(|index| (self.rendezvous_rank(key, *index, weights), *index))
            .collect();
        ranked.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let count = self.policy.prefix_owner_candidates.max(1);
        let mut local_count = 0;
        let mut candidates = Vec::new();
        for (rank, (_, index)) in ranked.into_iter().enumerate() {
            let upstream = self.upstreams.get(index);
            let is_local = upstream.region == self.region && local_count < count;
            local_count += usize::from(is_local);
            let is_global = rank < count;
            if is_global || is_local || owns_prefix(upstream) {
                candidates.push(Candidate {
                    upstream: index,
                    is_global,
                });
            }
        }
        candidates
    }

    /// Rank of an upstream for a prefix by weighted rendezvous hashing, the lowest first: an upstream is first for a fraction
    /// of all prefixes in proportion to its weight, and few prefixes move when one is removed.
    fn rendezvous_rank(&self, key: u64, index: usize, weights: &RegionWeights<'_>) -> f64 {
        let upstream = self.upstreams.get(index);
        // The upper 53 bits, as a fraction of 1.
        let draw = (mix64(key ^ upstream.name_hash) >> 11) as f64 / (1u64 << 53) as f64;
        -(draw.max(f64::MIN_POSITIVE)).ln() / weights.get(&upstream.region)
    }

    /// Weight of each region's upstreams for long prompts. Regions to which as few routes are bound as to any other weigh 1.
    fn region_weights(&self, now: Millis, service: &str, eligible: &[usize]) -> RegionWeights<'_> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for index in eligible {
            let region = self.upstreams.get(*index).region.as_str();
            *counts.entry(region).or_default() += 1;
        }
        let least = counts
            .keys()
            .map(|region| self.restricted_route_count(service, region))
            .min()
            .unwrap_or(0);
        let prior = WeightPrior {
            weight: self.policy.prior_region_weight,
            requests: self.policy.prior_region_weight_requests,
            min_weight: self.policy.min_region_weight,
        };
        let nothing_seen = PrefillDemand::new(&self.policy);
        let demand = self.prefill_demands.get(service).unwrap_or(&nothing_seen);
        let mut weights = demand.region_weights(now, &counts, prior);
        for (region, weight) in &mut weights {
            if self.restricted_route_count(service, region) == least {
                *weight = 1.0;
            }
        }
        RegionWeights(weights)
    }
}
