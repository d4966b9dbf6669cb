//! Which of a service's upstreams this proxy uses, and which of them are set apart for the prefill of long prompts. Both are
//! drawn by rendezvous hashing (Thaler, Ravishankar: "Using name-based mappings to increase hit rates", 1998).
use crate::hashing::mix64;
use crate::placement::balancer::Balancer;
use sandtrack_tiers::Millis;
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashSet};

impl Balancer {
    /// The subset of upstreams that this proxy uses and probes, a few of each region: with many upstreams, each pair of proxy
    /// and upstream has few connections and probes to carry. By rendezvous hashing each upstream is in about as many subsets
    /// as any other, and when one is removed only its own place in them is filled anew.
    ///
    /// Prefill upstreams come last.
    pub(in crate::placement) fn subset(
        &self,
        usable: &[usize],
        prefill_upstreams: &HashSet<usize>,
    ) -> Vec<usize> {
        let mut ranked: Vec<usize> = usable.to_vec();
        ranked.sort_unstable_by_key(|index| {
            let draw = mix64(self.proxy_hash ^ self.upstreams.get(*index).name_hash);
            (prefill_upstreams.contains(index), Reverse(draw))
        });
        let mut chosen_by_region: Vec<(&str, usize)> = Vec::new();
        let mut subset = Vec::new();
        for index in ranked {
            let region = self.upstreams.get(index).region.as_str();
            let size = if region == self.region {
                self.policy.local_subset_size
            } else {
                self.policy.remote_subset_size
            };
            let chosen = chosen_by_region
                .iter_mut()
                .find(|(name, _)| *name == region);
            match chosen {
                Some((_, count)) if *count >= size => continue,
                Some((_, count)) => *count += 1,
                None => chosen_by_region.push((region, 1)),
            }
            subset.push(index);
        }
        subset.sort_unstable();
        subset
    }

    /// The upstreams that serve the long prompts of a service where every region has requests bound to it. Engines prefill in
    /// chunks between the decode steps of other requests; spread over all upstreams, long prompts would slow down every stream
    /// that can't leave its region. All proxies choose the same ones, but for what they believe unhealthy. Empty where a
    /// region has no bound requests, or there were no long prompts lately.
    pub(in crate::placement) fn prefill_upstreams(
        &self,
        now: Millis,
        service: &str,
    ) -> HashSet<usize> {
        let is_over = |at| now - at > self.policy.prefill_isolation_ms;
        if self.long_prompt_at.is_none_or(is_over) {
            return HashSet::new();
        }
        let mut serving = self.serving(service);
        let region = |index: &usize| self.upstreams.get(*index).region.as_str();
        serving.sort_unstable_by_key(|index| Reverse(self.upstreams.get(*index).name_hash));
        let regions: BTreeSet<&str> = serving.iter().map(region).collect();
        let restricted_route_count: Vec<(&str, usize)> = regions
            .into_iter()
            .map(|region| (region, self.restricted_route_count(service, region)))
            .collect();
        let least = restricted_route_count
            .iter()
            .map(|(_, count)| *count)
            .min()
            .unwrap_or(0);
        if least == 0 {
            return HashSet::new();
        }
        serving.retain(|index| restricted_route_count.contains(&(region(index), least)));
        serving.truncate(serving.len() / self.policy.prefill_upstreams_divisor.max(1));
        serving.into_iter().collect()
    }

    /// Healthy upstreams of the service that are neither draining nor in an evacuated zone.
    fn serving(&self, service: &str) -> Vec<usize> {
        let is_serving = |index: &usize| {
            let upstream = self.upstreams.get(*index);
            upstream.entry.service == service
                && !upstream.entry.draining
                && !self.evacuated_zones.contains(&upstream.entry.zone)
                && upstream.failures.is_healthy()
        };
        self.upstreams.listed().filter(is_serving).collect()
    }

    /// Number of routes to the service that are bound to the region: its capacity is needed for requests that can't leave it.
    pub(super) fn restricted_route_count(&self, service: &str, region: &str) -> usize {
        let routes = self
            .configuration
            .as_ref()
            .map(|configuration| configuration.routes.iter())
            .into_iter()
            .flatten();
        routes
            .filter(|route| route.split.iter().any(|(name, _)| name == service))
            .filter(|route| route.home_regions.iter().any(|home| home == region))
            .count()
    }
}
