//! Which upstreams are probed and when, and what a probe's answer or its failure teaches.
use super::Balancer;
use sandtrack_tiers::{next_probe, Millis};
use std::collections::HashSet;

impl Balancer {
    /// Something at an upstream takes too long: it is probed at once.
    pub fn probe_now(&mut self, now: Millis, place: usize) {
        let upstream = self.upstreams.get_mut(place);
        upstream.next_probe = upstream.next_probe.min(now);
    }

    /// Upstreams to be probed now, with the path to ask; each is taken for being probed.
    pub fn probes_due(&mut self, now: Millis) -> Vec<(usize, String, String)> {
        let Some(configuration) = self.configuration.clone() else {
            return Vec::new();
        };
        // Those in use, and those that failed: a success is to restore them.
        let mut watched = Vec::new();
        for service in &configuration.services {
            let of_it = |place: &usize| {
                let upstream = self.upstreams.get(*place);
                upstream.entry.service == service.name && !upstream.entry.draining
            };
            let of_it: Vec<usize> = self.upstreams.listed().filter(of_it).collect();
            let (healthy, failed): (Vec<usize>, Vec<usize>) = of_it
                .into_iter()
                .partition(|place| self.upstreams.get(*place).run.is_empty());
            let prefill_upstreams = self.prefill_upstreams(now, &service.name);
            let subset = self.subset(&healthy, &prefill_upstreams);
            let mut unmeasured = HashSet::new();
            watched.extend(subset.into_iter().filter(|place| {
                let region = self.upstreams.get(*place).region.as_str();
                let measures =
                    self.region_round_trips.get(region).is_none() && unmeasured.insert(region);
                measures || self.is_used(now, *place)
            }));
            watched.extend(failed);
        }
        let is_due = |place: &usize| {
            let upstream = self.upstreams.get(*place);
            !upstream.probing && upstream.next_probe <= now
        };
        let due: Vec<usize> = watched.into_iter().filter(is_due).collect();
        let mut probes = Vec::new();
        for place in due {
            let upstream = self.upstreams.get_mut(place);
            if let Some(service) = configuration.service(&upstream.entry.service) {
                upstream.probing = true;
                probes.push((
                    place,
                    upstream.entry.address.clone(),
                    service.health_path.clone(),
                ));
            }
        }
        probes
    }

    /// Whether this proxy sends to the region of this upstream by its circle.
    fn is_used(&self, now: Millis, place: usize) -> bool {
        let upstream = self.upstreams.get(place);
        if upstream.region == self.region || self.policy.remote_probe_window_ms.is_infinite() {
            return true;
        }
        let used = self
            .remote_last_used
            .get(&(upstream.entry.service.clone(), upstream.region.clone()));
        used.is_some_and(|at| now - at <= self.policy.remote_probe_window_ms)
    }

    /// A probe was answered after `elapsed` ms, or failed (`None`).
    pub fn probe_finished(&mut self, now: Millis, place: usize, elapsed: Option<Millis>) {
        let upstream = self.upstreams.get_mut(place);
        upstream.probing = false;
        match elapsed {
            Some(elapsed) => {
                upstream.average.sample(elapsed);
                upstream.run.succeeded();
                upstream.failed_probes = 0;
                upstream.last_seen_at = now;
                self.zone_failures.heard(&upstream.entry.zone);
                self.record_round_trip(now, place, elapsed);
            }
            None => {
                upstream.run.failed();
                upstream.failed_probes += 1;
                self.region_round_trips.timed_out(now, &upstream.region);
                self.record_failure(now, place);
            }
        }
        let upstream = self.upstreams.get_mut(place);
        let gap = match upstream.run.is_empty() {
            true => self.policy.probe_interval_ms,
            false => self.policy.suspect_probe_interval(upstream.failed_probes),
        };
        upstream.next_probe = next_probe(&mut self.rng, now, Some(now), gap);
        let service = upstream.entry.service.clone();
        let members: Vec<usize> = self
            .upstreams
            .listed()
            .filter(|place| self.upstreams.get(*place).entry.service == service)
            .collect();
        self.tiers
            .entry(service)
            .or_default()
            .regroup(self.upstreams.all_mut(), members);
        if !self.upstreams.get(place).listed {
            self.upstreams.sweep();
        }
    }
}
