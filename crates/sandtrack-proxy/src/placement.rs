//! Where a request goes. The design's ordinary path (`sandtrack_tiers`): a random pick in the lowest tier that has an
//! upstream which may take the send, less those far above the mean of own requests. What may take a send is this file's:
//! home regions, evacuated zones, draining, cold budgets, room, and where a long prompt's shared parts already are. Pure.
use crate::balancer::Balancer;
use crate::request::{mix, ProxyRequest};
use rand::Rng;
use sandtrack_tiers::{crowd_limit, ladder, lowest, Millis};
use std::collections::BTreeSet;

/// A request is offered to an upstream or refused within this part of its aim (RULES.md: a quarter).
pub const HOLD: f64 = 0.2;
/// Shared parts of a prompt of this many tokens or more go where they are kept: fewer are read anew in less time than one
/// request waits for another (ours).
pub const KEPT_TOKENS: u64 = 1000;
/// Upstreams of a service that a proxy uses in each region, where there are more: enough for tiers, for a random pick and
/// for the loss of some; 1,500 proxies are then in 8 x 1,500 / 400 = 30 circles an upstream of a region of 400 (ours).
const CIRCLE: usize = 8;
/// Beyond its slots an upstream queues so many times as many again before it is full (ours).
const QUEUE: f64 = 0.5;
/// Ways between regions that a request on a new connection takes, and the part of its aim that they may fill (ours).
const TRIPS: f64 = 3.0;
const FAR_SHARE: f64 = 0.4;
/// Weight, as one that keeps long prompts, of an upstream in a region to which more routes are bound than to others (ours).
const BOUND_WEIGHT: f64 = 0.35;
/// Own requests at the one that keeps a prompt before the next one is looked at, beyond the mean.
const HOME_SLACK: f64 = 2.0;

/// Where long prompts have to be read beside requests that are bound to a region, one upstream in so many reads them (ours).
const READERS: usize = 2;
/// That is so for this long after the last long prompt, in ms (ours).
const READING: Millis = 4000.0;

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placed {
    Send(usize),
    /// None has room now; one may soon.
    Wait,
    /// None may take it at all, as far as is known.
    None,
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
            && !self.evacuated.contains(&entry.zone)
            && (homes.is_empty() || homes.contains(&upstream.region))
            && request
                .model
                .as_ref()
                .is_none_or(|model| entry.models.is_empty() || entry.models.contains(model))
    }

    /// Places a request that was not yet at any of `tried`.
    pub fn place(&mut self, now: Millis, request: &ProxyRequest, tried: &[usize]) -> Placed {
        let mut usable: Vec<usize> =
            self.upstreams.listed().filter(|place| self.may_serve(request, *place)).collect();
        usable.sort_unstable();
        if usable.is_empty() {
            return Placed::None;
        }
        let fresh: Vec<usize> = usable.iter().copied().filter(|place| !tried.contains(place)).collect();
        let usable = if fresh.is_empty() { usable } else { fresh };
        let healthy: Vec<usize> =
            usable.iter().copied().filter(|place| self.upstreams.get(*place).run.is_healthy()).collect();
        // Where all look bad, the signs are more likely wrong than all of them dead.
        let usable = if healthy.is_empty() { usable } else { healthy };
        let keeps = request.shared_tokens() >= KEPT_TOKENS;
        if keeps {
            self.long_prompt_at = Some(now);
        }
        let circle = if keeps { usable.clone() } else { self.circle(&usable) };
        // Where the circle has no slot free all others are looked at, and only then what queues.
        for (among, queue) in [(&circle, 0.0), (&usable, 0.0), (&usable, QUEUE)] {
            if let Some(place) = self.place_among(now, request, among, queue) {
                return Placed::Send(place);
            }
        }
        Placed::Wait
    }

    /// Of each region the upstreams that this proxy uses, and probes: with many of them, few connections and probes for
    /// each pair. Drawn by rendezvous hashing, so that each upstream is in as many circles as another, and when one goes
    /// only its place is filled anew.
    pub fn circle(&self, usable: &[usize]) -> Vec<usize> {
        let mut ranked: Vec<usize> = usable.to_vec();
        ranked.sort_unstable_by_key(|place| {
            std::cmp::Reverse(mix(self.identity ^ self.upstreams.get(*place).hash))
        });
        let mut taken: Vec<(&str, usize)> = Vec::new();
        let mut circle = Vec::new();
        for place in ranked {
            let region = self.upstreams.get(place).region.as_str();
            match taken.iter_mut().find(|(name, _)| *name == region) {
                Some((_, count)) if *count >= CIRCLE => continue,
                Some((_, count)) => *count += 1,
                None => taken.push((region, 1)),
            }
            circle.push(place);
        }
        circle.sort_unstable();
        circle
    }

    fn place_among(
        &mut self, now: Millis, request: &ProxyRequest, among: &[usize], queue: f64,
    ) -> Option<usize> {
        let able: Vec<usize> = among.iter().copied().filter(|place| self.may_start(now, *place)).collect();
        let roomy: Vec<usize> = able.into_iter().filter(|place| self.room(now, *place, queue)).collect();
        let place = self.draw(now, request, &roomy)?;
        let upstream = self.upstreams.get_mut(place);
        if upstream.is_cold(now) {
            upstream.cold_sends.note(now);
        }
        Some(place)
    }

    /// It does not rest, and bears one more while cold.
    fn may_start(&mut self, now: Millis, place: usize) -> bool {
        let share = self.cold_share(now, place);
        let upstream = self.upstreams.get_mut(place);
        if now < upstream.rests_until {
            return false;
        }
        !upstream.is_cold(now) || (upstream.cold_sends.count(now, 1050.0) as u32) < share
    }

    fn room(&self, now: Millis, place: usize, queue: f64) -> bool {
        let upstream = self.upstreams.get(place);
        upstream.load(now) + 1.0 <= upstream.slots() * (1.0 + queue)
    }

    /// Regions by how many routes to the service are bound to them: what others can't leave is kept free of what can.
    fn bound(&self, service: &str, region: &str) -> usize {
        let routes = self.configuration.as_ref().map(|all| all.routes.iter()).into_iter().flatten();
        let to_it = routes.filter(|route| route.split.iter().any(|(name, _)| name == service));
        to_it.filter(|route| route.home_regions.iter().any(|home| home == region)).count()
    }

    /// Whether a long prompt may as well go to another region: the way there and back, three times with the connection,
    /// leaves most of its aim.
    fn near_enough(&self, request: &ProxyRequest, place: usize) -> bool {
        let upstream = self.upstreams.get(place);
        // One that is not probed is as far as others of its region.
        let alike = || {
            let same = |other: &usize| self.upstreams.get(*other).region == upstream.region;
            self.upstreams.listed().filter(same).find_map(|other| self.upstreams.get(other).average.get())
        };
        let way = upstream.average.get().or_else(alike).map(|average| average * TRIPS);
        upstream.region == self.region
            || way.is_some_and(|way| way <= request.route.target_latency_ms * FAR_SHARE)
    }

    /// The upstreams that read long prompts where no region is free of requests that are bound to it: a long prompt is read
    /// in pieces between the tokens of others, so that spread over all it would hold up every stream of the region. The
    /// same for all proxies, but for what they believe dead. Empty where a region is free, or there are no long prompts.
    fn readers(&self, now: Millis, service: &str) -> Vec<usize> {
        if self.long_prompt_at.is_none_or(|at| now - at > READING) {
            return Vec::new();
        }
        let serving = |place: &usize| {
            let upstream = self.upstreams.get(*place);
            upstream.entry.service == service
                && !upstream.entry.draining
                && !self.evacuated.contains(&upstream.entry.zone)
                && upstream.run.is_healthy()
        };
        let mut serving: Vec<usize> = self.upstreams.listed().filter(serving).collect();
        let region = |place: &usize| self.upstreams.get(*place).region.as_str();
        let regions: BTreeSet<&str> = serving.iter().map(region).collect();
        let bounds: Vec<(&str, usize)> =
            regions.into_iter().map(|region| (region, self.bound(service, region))).collect();
        let least = bounds.iter().map(|(_, bound)| *bound).min().unwrap_or(0);
        if least == 0 {
            return Vec::new();
        }
        serving.retain(|place| bounds.contains(&(region(place), least)));
        serving.sort_unstable_by_key(|place| std::cmp::Reverse(self.upstreams.get(*place).hash));
        serving.truncate(serving.len() / READERS);
        serving
    }

    fn draw(&mut self, now: Millis, request: &ProxyRequest, able: &[usize]) -> Option<usize> {
        if able.is_empty() {
            return None;
        }
        let readers = self.readers(now, &request.service);
        let long = request.shared_tokens() >= KEPT_TOKENS;
        let apart: Vec<usize> =
            able.iter().copied().filter(|place| readers.contains(place) == long).collect();
        let able = if readers.is_empty() || apart.is_empty() { able } else { &apart };
        if long {
            return self.draw_keeper(now, request, able);
        }
        let region = self.region.clone();
        let upstreams = &self.upstreams;
        let rank = |place: usize| {
            let upstream = upstreams.get(place);
            (upstream.region != region, upstream.average.get().map(|_| upstream.membership.tier))
        };
        let load = |place: usize| upstreams.get(place).load(now);
        let limit = crowd_limit(able.iter().map(|place| load(*place) as usize));
        let tiers = ladder(able.iter().copied(), rank);
        lowest(&mut self.rng, &tiers, |members| {
            let near: Vec<usize> = members.iter().copied().filter(|place| load(*place) < limit).collect();
            if near.is_empty() {
                members.to_vec()
            } else {
                near
            }
        })
    }

    /// The departure for long shared parts: the same upstream for all proxies, wherever it is, found by rendezvous
    /// hashing; the next one where that is far above the mean. Reading such a part once more costs ten times what the
    /// request costs on its way to another region.
    fn draw_keeper(&self, now: Millis, request: &ProxyRequest, able: &[usize]) -> Option<usize> {
        let load = |place: usize| self.upstreams.get(place).load(now);
        let near: Vec<usize> =
            able.iter().copied().filter(|place| self.near_enough(request, *place)).collect();
        let able = if near.is_empty() { able } else { &near };
        let bound = |place: usize| self.bound(&request.service, &self.upstreams.get(place).region);
        let least = able.iter().map(|place| bound(*place)).min()?;
        let key = request.shared_key();
        // Weighted rendezvous hashing: a share of the draws in proportion to the weight, and few move when one goes.
        let weight = |place: usize| if bound(place) == least { 1.0 } else { BOUND_WEIGHT };
        let rank = |place: usize| {
            let draw = (mix(key ^ self.upstreams.get(place).hash) >> 11) as f64 / (1u64 << 53) as f64;
            -(draw.max(f64::MIN_POSITIVE)).ln() / weight(place)
        };
        let mut keepers: Vec<(f64, usize)> = able.iter().map(|place| (rank(*place), *place)).collect();
        keepers.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let keepers: Vec<usize> = keepers.into_iter().map(|(_, place)| place).collect();
        let mean = keepers.iter().map(|place| load(*place)).sum::<f64>() / keepers.len() as f64;
        let keeper = keepers.iter().position(|place| load(*place) <= mean * 1.5 + HOME_SLACK).unwrap_or(0);
        keepers.get(keeper).copied()
    }

    /// Draws a number from 0 to 1.
    pub fn draw_fraction(&mut self) -> f64 {
        self.rng.gen()
    }
}
