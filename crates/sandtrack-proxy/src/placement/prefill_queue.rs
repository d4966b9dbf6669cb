//! Prefill backlog of each upstream, and which upstreams hold which prompt prefixes in their KV cache: estimates from this
//! proxy's own sends and from the reports of other proxies.
//!
//! A queue counted in requests says little where one prompt has a hundred times the tokens of another; here it is counted in
//! tokens, and turned into time by a prefill rate that is learned from the time to the first token.
use crate::placement::upstreams::Upstream;
use crate::policy::Policy;
use crate::request::ProxyRequest;
use sandtrack_protocol::frames::PromptSent;
use sandtrack_tiers::Millis;
use std::cmp::Reverse;
use std::collections::HashMap;

/// Prefixes that are remembered at most; the least recently used half is dropped then.
const MAX_PREFIXES: usize = 8192;
/// Number of backlogs from which on the empty ones are dropped.
const BACKLOG_SWEEP_THRESHOLD: usize = 1024;
/// Sends that wait to be reported at most; the largest prompts are kept.
const MAX_PENDING_REPORTS: usize = 16;
/// Least weight of a new sample in the prefill rate; each of the first ones counts as much as any before it.
const MIN_RATE_WEIGHT: f64 = 0.1;
/// A sample counts as the rate times this at most, and as the rate divided by it at least.
const MAX_RATE_CHANGE: f64 = 2.0;

/// Tokens that an upstream still had to prefill at a time.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    tokens: f64,
    at: Millis,
}

impl Backlog {
    /// Tokens that are left now.
    fn remaining(&self, now: Millis, rate: f64) -> f64 {
        (self.tokens - (now - self.at).max(0.0) * rate).max(0.0)
    }
}

/// The owners of a prefix, and when it was last used.
#[derive(Clone, Debug, Default)]
struct Prefix {
    owners: Vec<PrefixOwner>,
    used_at: Millis,
}

/// An upstream that holds a prefix in its KV cache, or will once it has prefilled it.
#[derive(Clone, Copy, Debug)]
struct PrefixOwner {
    /// [`upstream_key`] of it.
    upstream: u32,
    prefilled_at: Millis,
}

/// Prefill rate of a service's upstreams, in tokens per ms.
#[derive(Clone, Copy, Debug)]
struct PrefillRate {
    mean: f64,
    /// Number of samples, the default rate counted as one.
    samples: f64,
}

/// What it takes an upstream to prefill a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillEstimate {
    /// The upstream owns the shared prefix: it has prefilled it, or is doing so.
    pub is_cached: bool,
    /// Tokens of the prompt that are to be prefilled.
    pub tokens: f64,
    /// Time until the upstream's backlog is done, in ms.
    pub queueing_time: Millis,
    /// Time until the backlog and the prompt itself are done, in ms.
    pub total_time: Millis,
}

/// Prefill backlogs, prefix owners and prefill rates, as far as this proxy knows.
#[derive(Clone, Debug, Default)]
pub struct PrefillQueues {
    /// By [`upstream_key`].
    backlogs: HashMap<u32, Backlog>,
    /// By [`prefix_key`].
    prefixes: HashMap<u32, Prefix>,
    /// By service.
    rates: HashMap<String, PrefillRate>,
    /// Own sends that were not reported yet.
    pending_reports: Vec<PromptSent>,
}

/// The key by which proxies name an upstream in their reports; the same at all.
#[must_use]
pub fn upstream_key(upstream: &Upstream) -> u32 {
    (upstream.name_hash >> 32) as u32
}

/// The key by which proxies name a request's shared prefix in their reports; the same at all.
#[must_use]
pub fn prefix_key(request: &ProxyRequest) -> u32 {
    (request.shared_key() >> 32) as u32
}

/// Tokens of the whole prompt: the larger of what `Token-Counts` and the parts of the prefix say.
fn prompt_tokens(request: &ProxyRequest) -> f64 {
    let listed: u64 = request.prompt_parts.iter().map(|part| part.tokens).sum();
    request
        .token_counts
        .map_or(listed, |counts| counts.prompt.max(listed)) as f64
}

impl PrefillQueues {
    /// Prefill rate of a service's upstreams, in tokens per ms.
    #[must_use]
    pub fn rate(&self, service: &str, policy: &Policy) -> f64 {
        self.rates
            .get(service)
            .map_or(policy.default_prefill_rate, |rate| rate.mean)
    }

    fn owners(&self, request: &ProxyRequest) -> &[PrefixOwner] {
        self.prefixes
            .get(&prefix_key(request))
            .map_or(&[], |prefix| &prefix.owners)
    }

    /// A predicate that says whether an upstream owns the shared prefix of this request. The prefix is looked up once.
    pub fn prefix_owner_filter<'a>(
        &'a self,
        request: &ProxyRequest,
    ) -> impl Fn(&Upstream) -> bool + 'a {
        let owners = self.owners(request);
        move |upstream| {
            let key = upstream_key(upstream);
            owners.iter().any(|owner| owner.upstream == key)
        }
    }

    /// What it takes this upstream to prefill the request's prompt.
    #[must_use]
    pub fn estimate(
        &self,
        now: Millis,
        request: &ProxyRequest,
        upstream: &Upstream,
        policy: &Policy,
    ) -> PrefillEstimate {
        let key = upstream_key(upstream);
        let owner = self
            .owners(request)
            .iter()
            .find(|owner| owner.upstream == key);
        // While the prefix is being prefilled, a second request that the engine takes up beside the first prefills it too.
        let is_prefilled = owner.is_some_and(|owner| now >= owner.prefilled_at);
        let cached_tokens = if is_prefilled {
            request.shared_tokens() as f64
        } else {
            0.0
        };
        let tokens = (prompt_tokens(request) - cached_tokens).max(0.0);
        let rate = self.rate(&request.service, policy);
        let queueing_time = self
            .backlogs
            .get(&key)
            .map_or(0.0, |backlog| backlog.remaining(now, rate))
            / rate;
        PrefillEstimate {
            is_cached: owner.is_some(),
            tokens,
            queueing_time,
            total_time: queueing_time + tokens / rate,
        }
    }

    /// This proxy sends a request with a long prompt to the upstream. Returns the estimate as of before.
    pub fn enqueue(
        &mut self,
        now: Millis,
        request: &ProxyRequest,
        upstream: &Upstream,
        policy: &Policy,
    ) -> PrefillEstimate {
        let estimate = self.estimate(now, request, upstream, policy);
        let sent = PromptSent {
            upstream: upstream_key(upstream),
            prefix: prefix_key(request),
            tokens: estimate.tokens as u32,
        };
        self.record(now, &sent, self.rate(&request.service, policy));
        self.pending_reports.push(sent);
        if self.pending_reports.len() > MAX_PENDING_REPORTS {
            self.pending_reports
                .sort_unstable_by_key(|sent| Reverse(sent.tokens));
            self.pending_reports.truncate(MAX_PENDING_REPORTS);
        }
        estimate
    }

    /// Other proxies reported that they sent long prompts.
    pub fn apply_reports(&mut self, now: Millis, reports: &[PromptSent], policy: &Policy) {
        // Reports do not name the service: services with long prompts are few, and their rates alike enough.
        let slowest = self
            .rates
            .values()
            .map(|rate| rate.mean)
            .fold(f64::NAN, f64::min);
        let rate = if slowest.is_nan() {
            policy.default_prefill_rate
        } else {
            slowest
        };
        for sent in reports {
            self.record(now, sent, rate);
        }
    }

    fn record(&mut self, now: Millis, sent: &PromptSent, rate: f64) {
        if self.backlogs.len() >= BACKLOG_SWEEP_THRESHOLD {
            self.backlogs
                .retain(|_, backlog| backlog.remaining(now, rate) > 0.0);
        }
        let backlog = self.backlogs.entry(sent.upstream).or_default();
        *backlog = Backlog {
            tokens: backlog.remaining(now, rate) + f64::from(sent.tokens),
            at: now,
        };
        let prefilled_at = now + backlog.tokens / rate;
        self.evict_prefixes();
        let prefix = self.prefixes.entry(sent.prefix).or_default();
        prefix.used_at = now;
        let is_owner = |owner: &PrefixOwner| owner.upstream == sent.upstream;
        if !prefix.owners.iter().any(is_owner) {
            prefix.owners.push(PrefixOwner {
                upstream: sent.upstream,
                prefilled_at,
            });
        }
    }

    /// Drops the least recently used half of the prefixes once there are too many.
    fn evict_prefixes(&mut self) {
        if self.prefixes.len() < MAX_PREFIXES {
            return;
        }
        let mut used_at: Vec<Millis> = self
            .prefixes
            .values()
            .map(|prefix| prefix.used_at)
            .collect();
        used_at.sort_unstable_by(f64::total_cmp);
        let median = used_at[used_at.len() / 2];
        self.prefixes.retain(|_, prefix| prefix.used_at > median);
    }

    /// The first token of a response arrived `elapsed` ms after its request was written, the round trip left out, where
    /// `estimate` was made when it was sent: a sample of the service's prefill rate.
    pub fn record_first_token(
        &mut self,
        service: &str,
        estimate: &PrefillEstimate,
        elapsed: Millis,
        policy: &Policy,
    ) {
        let before = self.rate(service, policy);
        let tokens = estimate.total_time * before;
        if tokens < policy.long_prompt_tokens as f64 || elapsed <= 0.0 {
            return;
        }
        let sample = (tokens / elapsed).clamp(before / MAX_RATE_CHANGE, before * MAX_RATE_CHANGE);
        let rate = self.rates.entry(service.to_owned()).or_insert(PrefillRate {
            mean: before,
            samples: 1.0,
        });
        rate.samples += 1.0;
        rate.mean += (sample - rate.mean) * (1.0 / rate.samples).max(MIN_RATE_WEIGHT);
    }

    /// Takes the reports of own sends that are due to the other proxies.
    pub fn take_reports(&mut self) -> Vec<PromptSent> {
        std::mem::take(&mut self.pending_reports)
    }

    /// Drops the rates of services that are not configured.
    pub fn retain_services(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.rates.retain(|service, _| is_configured(service));
    }
}
