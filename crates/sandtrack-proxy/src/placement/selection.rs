//! Where a request goes. The design's ordinary path (`sandtrack_tiers`): a random pick in the lowest tier that has an
//! upstream which may take the send, less those far above the mean of own requests. What may take a send is this file's:
//! home regions, evacuated zones, draining, cold budgets, room, and where a long prompt's shared parts already are. Pure.
mod prefix_affinity;

use crate::hashing::mix64;
use crate::placement::balancer::Balancer;
use crate::request::ProxyRequest;
use rand::Rng;
use sandtrack_tiers::{crowd_limit, ladder, lowest, Millis};
use std::collections::{BTreeSet, HashSet};

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    Send(usize),
    /// None has room now; one may soon.
    Wait,
    /// None may take it at all, as far as is known.
    Unavailable,
}

/// Upstreams that may serve a request, narrowed step by step.
struct Candidates(Vec<usize>);

impl Candidates {
    /// Those of which this holds; all where it holds of none.
    fn prefer(self, holds: impl Fn(usize) -> bool) -> Candidates {
        let preferred: Vec<usize> = self
            .0
            .iter()
            .copied()
            .filter(|place| holds(*place))
            .collect();
        match preferred.is_empty() {
            true => self,
            false => Candidates(preferred),
        }
    }
}

impl Balancer {
    /// Whether upstream `place` may ever take it, as the list, orders and homes have it.
    fn may_serve(&self, request: &ProxyRequest, place: usize) -> bool {
        let upstream = self.upstreams.get(place);
        let entry = &upstream.entry;
        let homes = &request.route.home_regions;
        upstream.listed
            && !entry.draining
            && entry.service == request.service
            && !self.evacuated_zones.contains(&entry.zone)
            && (homes.is_empty() || homes.contains(&upstream.region))
            && request
                .model
                .as_ref()
                .is_none_or(|model| entry.models.is_empty() || entry.models.contains(model))
    }

    /// Places a request that was not yet at any of `tried`.
    pub fn choose_upstream(
        &mut self,
        now: Millis,
        request: &ProxyRequest,
        tried: &[usize],
    ) -> Placement {
        let mut able: Vec<usize> = self
            .upstreams
            .listed()
            .filter(|place| self.may_serve(request, *place))
            .collect();
        able.sort_unstable();
        if able.is_empty() {
            return Placement::Unavailable;
        }
        // Where all look bad, the signs are more likely wrong than all of them dead.
        let Candidates(usable) = Candidates(able)
            .prefer(|place| !tried.contains(&place))
            .prefer(|place| self.upstreams.get(place).run.is_healthy())
            .prefer(|place| !self.is_in_failed_zone(now, place));
        let is_long = request.shared_tokens() >= self.policy.long_prompt_tokens;
        if is_long {
            self.long_prompt_at = Some(now);
        }
        let prefill_upstreams = self.prefill_upstreams(now, &request.service);
        let subset = if is_long {
            usable.clone()
        } else {
            self.subset(&usable, &prefill_upstreams)
        };
        // Where the subset has no slot free all others are looked at, and only then what queues.
        for (among, queue) in [
            (&subset, 0.0),
            (&usable, 0.0),
            (&usable, self.policy.max_queue_ratio),
        ] {
            if let Some(place) = self.place_among(now, request, among, &prefill_upstreams, queue) {
                if !is_long {
                    self.record_remote_use(now, place);
                }
                return Placement::Send(place);
            }
        }
        Placement::Wait
    }

    fn record_remote_use(&mut self, now: Millis, place: usize) {
        let upstream = self.upstreams.get(place);
        if upstream.region != self.region {
            let used = (upstream.entry.service.clone(), upstream.region.clone());
            self.remote_last_used.insert(used, now);
        }
    }

    /// Of each region the upstreams that this proxy uses, and probes: with many of them, few connections and probes for
    /// each pair. Drawn by rendezvous hashing, so that each upstream is in as many circles as another, and when one goes
    /// only its place is filled anew.
    ///
    /// Those that read long prompts (`prefill_upstreams`) come last.
    pub fn subset(&self, usable: &[usize], prefill_upstreams: &HashSet<usize>) -> Vec<usize> {
        let mut ranked: Vec<usize> = usable.to_vec();
        ranked.sort_unstable_by_key(|place| {
            let draw = mix64(self.proxy_hash ^ self.upstreams.get(*place).hash);
            (prefill_upstreams.contains(place), std::cmp::Reverse(draw))
        });
        let mut taken: Vec<(&str, usize)> = Vec::new();
        let mut subset = Vec::new();
        for place in ranked {
            let region = self.upstreams.get(place).region.as_str();
            let most = match region == self.region {
                true => self.policy.local_subset_size,
                false => self.policy.remote_subset_size,
            };
            match taken.iter_mut().find(|(name, _)| *name == region) {
                Some((_, count)) if *count >= most => continue,
                Some((_, count)) => *count += 1,
                None => taken.push((region, 1)),
            }
            subset.push(place);
        }
        subset.sort_unstable();
        subset
    }

    fn place_among(
        &mut self,
        now: Millis,
        request: &ProxyRequest,
        among: &[usize],
        prefill_upstreams: &HashSet<usize>,
        queue: f64,
    ) -> Option<usize> {
        let able: Vec<usize> = among
            .iter()
            .copied()
            .filter(|place| self.may_start(now, *place))
            .collect();
        let roomy: Vec<usize> = able
            .into_iter()
            .filter(|place| self.room(now, *place, queue))
            .collect();
        let place = self.draw(now, request, &roomy, prefill_upstreams)?;
        let upstream = self.upstreams.get_mut(place);
        if upstream.is_in_slow_start(now) {
            upstream.slow_start_sends.note(now);
        }
        Some(place)
    }

    /// It does not rest, and bears one more while cold.
    fn may_start(&mut self, now: Millis, place: usize) -> bool {
        let share = self.slow_start_quota(now, place);
        let upstream = self.upstreams.get_mut(place);
        if now < upstream.backoff_until {
            return false;
        }
        !upstream.is_in_slow_start(now)
            || (upstream.slow_start_sends.count(now, 1050.0) as u32) < share
    }

    fn room(&self, now: Millis, place: usize, queue: f64) -> bool {
        let upstream = self.upstreams.get(place);
        self.load(now, place) + 1.0 <= upstream.slots() * (1.0 + queue)
    }

    /// Requests at the upstream, as far as is known.
    fn load(&self, now: Millis, place: usize) -> f64 {
        self.upstreams
            .get(place)
            .load(now, self.policy.reported_load_decay_ms)
    }

    /// Regions by how many routes to the service are bound to them: what others can't leave is kept free of what can.
    fn bound(&self, service: &str, region: &str) -> usize {
        let routes = self
            .configuration
            .as_ref()
            .map(|all| all.routes.iter())
            .into_iter()
            .flatten();
        let to_it = routes.filter(|route| route.split.iter().any(|(name, _)| name == service));
        to_it
            .filter(|route| route.home_regions.iter().any(|home| home == region))
            .count()
    }

    /// The upstreams that read long prompts where no region is free of requests that are bound to it: a long prompt is read
    /// in pieces between the tokens of others, so that spread over all it would hold up every stream of the region. The
    /// same for all proxies, but for what they believe dead. Empty where a region is free, or there are no long prompts.
    pub(crate) fn prefill_upstreams(&self, now: Millis, service: &str) -> HashSet<usize> {
        if self
            .long_prompt_at
            .is_none_or(|at| now - at > self.policy.prefill_isolation_ms)
        {
            return HashSet::new();
        }
        let serving = |place: &usize| {
            let upstream = self.upstreams.get(*place);
            upstream.entry.service == service
                && !upstream.entry.draining
                && !self.evacuated_zones.contains(&upstream.entry.zone)
                && upstream.run.is_healthy()
        };
        let mut serving: Vec<usize> = self.upstreams.listed().filter(serving).collect();
        let region = |place: &usize| self.upstreams.get(*place).region.as_str();
        serving.sort_unstable_by_key(|place| std::cmp::Reverse(self.upstreams.get(*place).hash));
        let regions: BTreeSet<&str> = serving.iter().map(region).collect();
        let bounds: Vec<(&str, usize)> = regions
            .into_iter()
            .map(|region| (region, self.bound(service, region)))
            .collect();
        let least = bounds.iter().map(|(_, bound)| *bound).min().unwrap_or(0);
        if least == 0 {
            return HashSet::new();
        }
        serving.retain(|place| bounds.contains(&(region(place), least)));
        serving.truncate(serving.len() / self.policy.prefill_upstreams_divisor.max(1));
        serving.into_iter().collect()
    }

    fn draw(
        &mut self,
        now: Millis,
        request: &ProxyRequest,
        able: &[usize],
        prefill_upstreams: &HashSet<usize>,
    ) -> Option<usize> {
        if able.is_empty() {
            return None;
        }
        let long = request.shared_tokens() >= self.policy.long_prompt_tokens;
        let apart: Vec<usize> = able
            .iter()
            .copied()
            .filter(|place| prefill_upstreams.contains(place) == long)
            .collect();
        let able = if prefill_upstreams.is_empty() || apart.is_empty() {
            able
        } else {
            &apart
        };
        if long {
            return self.choose_prefix_owner(now, request, able);
        }
        let region = self.region.clone();
        let (upstreams, policy) = (&self.upstreams, &self.policy);
        let rank = |place: usize| {
            let upstream = upstreams.get(place);
            let tier = upstream.average.get().map(|_| upstream.membership.tier);
            (
                upstream.region != region,
                tier.filter(|_| policy.latency_tiers),
            )
        };
        let load = |place: usize| {
            upstreams
                .get(place)
                .load(now, policy.reported_load_decay_ms)
        };
        let limit = match policy.skip_overloaded {
            true => crowd_limit(able.iter().map(|place| load(*place) as usize)),
            false => f64::INFINITY,
        };
        let tiers = ladder(able.iter().copied(), rank);
        lowest(&mut self.rng, &tiers, |members| {
            let near: Vec<usize> = members
                .iter()
                .copied()
                .filter(|place| load(*place) < limit)
                .collect();
            if near.is_empty() {
                members.to_vec()
            } else {
                near
            }
        })
    }

    /// Draws a number from 0 to 1.
    pub fn draw_fraction(&mut self) -> f64 {
        self.rng.gen()
    }
}
