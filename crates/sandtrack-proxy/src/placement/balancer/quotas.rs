//! This proxy's share of limits that hold over all proxies together: sends to upstreams in slow start, connections to an
//! upstream, retries.
use super::Balancer;
use crate::hashing::mix64;
use crate::placement::budget::{quota, RetryLimits};
use crate::placement::prefill_demand::PrefillDemand;
use crate::request::{ProxyRequest, TokenCounts};
use sandtrack_protocol::configuration::Service;
use sandtrack_tiers::Millis;

/// How long after the last heartbeat of control the number of proxies is relied on, in ms. Control goes on counting a proxy
/// that it does not hear for longer than this (`sandtrack_control::membership`), even with a frame under way.
const PROXY_COUNT_LEASE_MS: Millis = 25_000.0;
/// Number of proxies that is assumed while it is unknown: more than most deployments have, so that quotas are too small
/// rather than too large.
const FALLBACK_PROXY_COUNT: u32 = 100;
/// Number of proxies among which an upstream's connections are shared until the number is known (ours).
const INITIAL_CONNECTION_PROXIES: f64 = 16.0;
/// Fraction of an upstream's connection limit that is used (ours).
const CONNECTION_LIMIT_UTILIZATION: f64 = 0.9;
/// Connections that an upstream takes where its service is not in the configuration.
const DEFAULT_CONNECTION_LIMIT: f64 = 100.0;

impl Balancer {
    /// How many proxies there are: as the control plane counts them, or an assumed number.
    pub fn proxy_count(&self) -> u32 {
        self.known_proxy_count.unwrap_or(FALLBACK_PROXY_COUNT)
    }

    /// Among how many proxies a limit over all is shared, as far as this one may rely on it.
    fn quota_proxy_count(&self, now: Millis) -> u32 {
        if now - self.last_control_heartbeat <= PROXY_COUNT_LEASE_MS {
            self.proxy_count()
        } else {
            self.proxy_count().max(FALLBACK_PROXY_COUNT)
        }
    }

    /// The configured service of an upstream.
    fn service_of(&self, index: usize) -> Option<&Service> {
        let service = &self.upstreams.get(index).entry.service;
        self.configuration.as_ref()?.service(service)
    }

    /// Sends per second that an upstream in slow start gets from this proxy at most.
    pub fn slow_start_quota(&self, now: Millis, index: usize) -> u32 {
        let rate = self
            .service_of(index)
            .map_or(0.0, |service| service.slow_start_rate_per_s);
        if rate <= 0.0 {
            return u32::MAX;
        }
        let total = rate * self.bounds.cold_overshoot + self.bounds.cold_slack;
        let rank = mix64(self.proxy_hash ^ self.upstreams.get(index).name_hash);
        quota(total, self.quota_proxy_count(now), rank)
    }

    /// Connections to one upstream that this proxy may hold.
    pub fn connection_quota(&self, index: usize) -> usize {
        let limit = self
            .service_of(index)
            .map_or(DEFAULT_CONNECTION_LIMIT, |service| {
                f64::from(service.connection_limit)
            });
        // An upstream resets connections beyond its limit, which breaks no rule: an assumed number will do at first.
        let proxies = self
            .known_proxy_count
            .map_or(INITIAL_CONNECTION_PROXIES, f64::from);
        ((limit * CONNECTION_LIMIT_UTILIZATION / proxies) as usize).max(1)
    }

    /// Number of services whose retry budgets are held.
    pub fn retry_budget_count(&self) -> usize {
        self.retry_budgets.len()
    }

    /// Notes a request for a service: it adds to the retry budget and to what there is to prefill.
    pub fn request_arrived(&mut self, now: Millis, request: &ProxyRequest) {
        let window = self.bounds.retry_window_s * 1000.0;
        self.retry_budgets
            .entry(request.service.clone())
            .or_default()
            .deposit(now, window);
        self.record_prefill_demand(now, request);
    }

    fn record_prefill_demand(&mut self, now: Millis, request: &ProxyRequest) {
        let Some(TokenCounts { prompt, .. }) = request.token_counts else {
            return;
        };
        let demand = self
            .prefill_demands
            .entry(request.service.clone())
            .or_insert_with(|| PrefillDemand::new(&self.policy));
        if request.shared_tokens() >= self.policy.long_prompt_tokens {
            let own = prompt.saturating_sub(request.shared_tokens()) as f64;
            demand.record_long_prompt(now, own);
        } else {
            demand.record_short_prompt(now, &request.home_regions, prompt as f64);
        }
    }

    /// Takes one send beyond the first from the service's retry budget; false where nothing is left.
    pub fn withdraw_retry(&mut self, now: Millis, service: &str) -> bool {
        let proxies = self.quota_proxy_count(now);
        let bounds = &self.bounds;
        let window = bounds.retry_window_s * 1000.0;
        let budget = self.retry_budgets.entry(service.to_owned()).or_default();
        let limits = RetryLimits {
            ratio: bounds.retry_budget_ratio,
            slack: bounds.retry_budget_slack,
            proxies,
        };
        budget.withdraw(now, window, &limits)
    }
}
