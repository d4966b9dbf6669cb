//! What upstreams of a service have to read: long prompts, which may be read anywhere, beside requests that are bound to
//! regions. From it follows the weight of each region's upstreams as ones that keep long prompts, so that each upstream reads
//! about as much as any other. Every proxy observes its own clients only; their mix stands for all. Pure.
use crate::policy::Policy;
use sandtrack_tiers::Millis;
use std::collections::{BTreeMap, HashMap};

/// A sum that fades.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    sum: f64,
    at: Millis,
}

impl DecayingSum {
    fn add(&mut self, now: Millis, amount: f64, memory: Millis) {
        self.sum = self.get(now, memory) + amount;
        self.at = now;
    }

    fn get(&self, now: Millis, memory: Millis) -> f64 {
        self.sum * (-(now - self.at).max(0.0) / memory).exp()
    }
}

/// Tokens to read for one service, as far as this proxy sees.
#[derive(Clone, Debug)]
pub struct PrefillDemand {
    /// See [`Policy::prefill_demand_decay_ms`].
    memory: Millis,
    long: DecayingSum,
    /// By region, of other requests that are bound to it.
    bound: HashMap<String, DecayingSum>,
    /// How many requests all this was seen of.
    requests: DecayingSum,
}

impl Default for PrefillDemand {
    fn default() -> PrefillDemand {
        PrefillDemand::new(&Policy::default())
    }
}

impl PrefillDemand {
    /// One that has seen nothing.
    #[must_use]
    pub fn new(policy: &Policy) -> PrefillDemand {
        PrefillDemand {
            memory: policy.prefill_demand_decay_ms,
            long: DecayingSum::default(),
            bound: HashMap::new(),
            requests: DecayingSum::default(),
        }
    }

    /// A long prompt came, of which so many tokens are to be read.
    pub fn long_prompt(&mut self, now: Millis, tokens: f64) {
        self.long.add(now, tokens, self.memory);
        self.requests.add(now, 1.0, self.memory);
    }

    /// Another request came, of so many tokens, bound to these regions; none: any may serve it.
    pub fn other_request(&mut self, now: Millis, homes: &[String], tokens: f64) {
        self.requests.add(now, 1.0, self.memory);
        for home in homes {
            let part = tokens / homes.len() as f64;
            self.bound
                .entry(home.clone())
                .or_default()
                .add(now, part, self.memory);
        }
    }

    /// Weight of each region's upstreams as keepers of long prompts, 1 at most: what is left of the mean load of an upstream
    /// when it has read what is bound to its region. `upstreams`: how many there are in each region.
    #[must_use]
    pub fn weights<'a>(
        &self,
        now: Millis,
        upstreams: &BTreeMap<&'a str, usize>,
        prior: WeightPrior,
    ) -> BTreeMap<&'a str, f64> {
        let requests = self.requests.get(now, self.memory);
        let evidence = requests / (requests + prior.requests).max(f64::MIN_POSITIVE);
        let bound = |region: &str| {
            self.bound
                .get(region)
                .map_or(0.0, |tokens| tokens.get(now, self.memory))
        };
        let total = self.long.get(now, self.memory)
            + upstreams.keys().map(|region| bound(region)).sum::<f64>();
        let mean = total / upstreams.values().sum::<usize>().max(1) as f64;
        let weight = |region: &str, count: usize| {
            let left = mean - bound(region) / count.max(1) as f64;
            let seen = if mean > 0.0 {
                (left / mean).clamp(prior.least, 1.0)
            } else {
                prior.weight
            };
            prior.weight + evidence * (seen - prior.weight)
        };
        upstreams
            .iter()
            .map(|(region, count)| (*region, weight(region, *count)))
            .collect()
    }
}

/// What a proxy holds of the weights before it has seen enough. What it sees of few requests differs from what others see,
/// and then they read one prompt at several places: its weights are drawn towards the usual one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightPrior {
    /// The usual weight ...
    pub weight: f64,
    /// ... as if it had been seen of so many requests.
    pub requests: f64,
    /// No weight that was seen counts as less.
    pub least: f64,
}
