//! Tokens that the upstreams of a service have to prefill: those of long prompts, which may be prefilled anywhere, and those
//! of requests that are bound to regions. From them follows each region's weight for long prompts, so that every upstream
//! prefills about as much as any other. A proxy sees its own clients only; their mix stands for all.
use crate::home_regions::HomeRegions;
use crate::policy::Policy;
use sandtrack_tiers::Millis;
use std::collections::{BTreeMap, HashMap};

/// A sum of amounts that decays exponentially with time.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    sum: f64,
    at: Millis,
}

impl DecayingSum {
    fn add(&mut self, now: Millis, amount: f64, time_constant: Millis) {
        self.sum = self.get(now, time_constant) + amount;
        self.at = now;
    }

    fn get(&self, now: Millis, time_constant: Millis) -> f64 {
        self.sum * (-(now - self.at).max(0.0) / time_constant).exp()
    }
}

/// Tokens to prefill for one service, as far as this proxy sees.
#[derive(Clone, Debug)]
pub struct PrefillDemand {
    /// [`Policy::prefill_demand_decay_ms`].
    time_constant: Millis,
    /// Tokens of long prompts.
    long: DecayingSum,
    /// Tokens of other requests by the region that they are bound to.
    bound: HashMap<String, DecayingSum>,
    /// Number of requests of both kinds.
    requests: DecayingSum,
}

impl Default for PrefillDemand {
    fn default() -> PrefillDemand {
        PrefillDemand::new(&Policy::default())
    }
}

impl PrefillDemand {
    /// A demand of which nothing was seen.
    #[must_use]
    pub fn new(policy: &Policy) -> PrefillDemand {
        PrefillDemand {
            time_constant: policy.prefill_demand_decay_ms,
            long: DecayingSum::default(),
            bound: HashMap::new(),
            requests: DecayingSum::default(),
        }
    }

    /// A long prompt arrived, of which `tokens` are to be prefilled.
    pub fn record_long_prompt(&mut self, now: Millis, tokens: f64) {
        self.long.add(now, tokens, self.time_constant);
        self.requests.add(now, 1.0, self.time_constant);
    }

    /// Another request arrived, of so many tokens, bound to these regions (to none: any may serve it).
    pub fn record_short_prompt(&mut self, now: Millis, home_regions: &HomeRegions, tokens: f64) {
        self.requests.add(now, 1.0, self.time_constant);
        let regions = home_regions.restricted_to();
        let part = tokens / regions.len() as f64;
        for region in regions {
            self.bound
                .entry(region.to_owned())
                .or_default()
                .add(now, part, self.time_constant);
        }
    }

    /// Weight of each region's upstreams for long prompts, 1 at most: the fraction of the mean load of an upstream that is
    /// left after it has prefilled what is bound to its region. `upstreams`: how many there are in each region.
    #[must_use]
    pub fn region_weights<'a>(
        &self,
        now: Millis,
        upstreams: &BTreeMap<&'a str, usize>,
        prior: WeightPrior,
    ) -> BTreeMap<&'a str, f64> {
        let requests = self.requests.get(now, self.time_constant);
        let evidence = requests / (requests + prior.requests).max(f64::MIN_POSITIVE);
        let total = self.long.get(now, self.time_constant)
            + upstreams
                .keys()
                .map(|region| self.bound_tokens(now, region))
                .sum::<f64>();
        let mean = total / upstreams.values().sum::<usize>().max(1) as f64;
        let weight = |region: &str, count: usize| {
            let left = mean - self.bound_tokens(now, region) / count.max(1) as f64;
            let measured = if mean > 0.0 {
                (left / mean).clamp(prior.min_weight, 1.0)
            } else {
                prior.weight
            };
            prior.weight + evidence * (measured - prior.weight)
        };
        upstreams
            .iter()
            .map(|(region, count)| (*region, weight(region, *count)))
            .collect()
    }

    fn bound_tokens(&self, now: Millis, region: &str) -> f64 {
        self.bound
            .get(region)
            .map_or(0.0, |tokens| tokens.get(now, self.time_constant))
    }
}

/// What a proxy assumes of the weights before it has seen enough. What one proxy sees of few requests differs from what
/// others see, and then one prompt would be prefilled at several upstreams: measured weights are drawn towards the prior.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightPrior {
    /// The prior weight.
    pub weight: f64,
    /// Number of requests that the prior counts for.
    pub requests: f64,
    /// Lower bound of a measured weight.
    pub min_weight: f64,
}
