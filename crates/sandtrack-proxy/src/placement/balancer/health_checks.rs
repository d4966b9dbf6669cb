//! Active health checks: which upstreams are probed and when, and what a probe's result says of the upstream, its region and
//! its zone.
use super::Balancer;
use sandtrack_tiers::{next_probe_at, Millis};
use std::collections::HashSet;

/// A probe that is to be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueProbe {
    /// Index of the upstream.
    pub upstream: usize,
    /// Its address, `IP:PORT`.
    pub address: String,
    /// Path of the service's health check.
    pub path: String,
}

impl Balancer {
    /// Something at an upstream takes too long: it is probed at once.
    pub fn probe_now(&mut self, now: Millis, index: usize) {
        let upstream = self.upstreams.get_mut(index);
        upstream.next_probe = upstream.next_probe.min(now);
    }

    /// Probes that are due. For each [`Balancer::probe_finished`] has to follow.
    pub fn probes_due(&mut self, now: Millis) -> Vec<DueProbe> {
        let Some(configuration) = self.configuration.clone() else {
            return Vec::new();
        };
        let mut targets = Vec::new();
        for service in &configuration.services {
            self.push_probe_targets(now, &service.name, &mut targets);
        }
        let is_due = |index: &usize| {
            let upstream = self.upstreams.get(*index);
            !upstream.probing && upstream.next_probe <= now
        };
        let due: Vec<usize> = targets.into_iter().filter(is_due).collect();
        let mut probes = Vec::new();
        for index in due {
            let upstream = self.upstreams.get_mut(index);
            if let Some(service) = configuration.service(&upstream.entry.service) {
                upstream.probing = true;
                probes.push(DueProbe {
                    upstream: index,
                    address: upstream.entry.address.clone(),
                    path: service.health_path.clone(),
                });
            }
        }
        probes
    }

    /// Adds the upstreams of a service that have to be probed: those of this proxy's subset that it uses, one of each region
    /// whose round trip is unknown, and those that failed, since only a probe restores them.
    fn push_probe_targets(&self, now: Millis, service: &str, targets: &mut Vec<usize>) {
        let (healthy, failed): (Vec<usize>, Vec<usize>) = self
            .upstreams_of(service)
            .filter(|index| !self.upstreams.get(*index).entry.draining)
            .partition(|index| self.upstreams.get(*index).failures.is_empty());
        let prefill_upstreams = self.prefill_upstreams(now, service);
        let subset = self.subset(&healthy, &prefill_upstreams);
        let mut unmeasured = HashSet::new();
        targets.extend(subset.into_iter().filter(|index| {
            let region = self.upstreams.get(*index).region.as_str();
            let measures =
                self.region_round_trips.get(region).is_none() && unmeasured.insert(region);
            measures || self.is_region_used(now, *index)
        }));
        targets.extend(failed);
    }

    /// Whether this proxy lately sent to the region of this upstream, or is in it.
    fn is_region_used(&self, now: Millis, index: usize) -> bool {
        let upstream = self.upstreams.get(index);
        let window = self.policy.remote_probe_window_ms;
        if upstream.region == self.region || window.is_infinite() {
            return true;
        }
        self.remote_last_used
            .get(&(upstream.entry.service.clone(), upstream.region.clone()))
            .is_some_and(|at| now - at <= window)
    }

    /// A probe succeeded after `elapsed` ms, or failed (`None`).
    pub fn probe_finished(&mut self, now: Millis, index: usize, elapsed: Option<Millis>) {
        self.upstreams.get_mut(index).probing = false;
        match elapsed {
            Some(elapsed) => self.probe_succeeded(now, index, elapsed),
            None => self.probe_failed(now, index),
        }
        self.schedule_probe(now, index);
        self.regroup_tiers(index);
        if !self.upstreams.get(index).listed {
            self.upstreams.sweep();
        }
    }

    fn probe_succeeded(&mut self, now: Millis, index: usize, elapsed: Millis) {
        let upstream = self.upstreams.get_mut(index);
        upstream.probe_time.sample(elapsed);
        upstream.failures.record_success();
        upstream.failed_probes = 0;
        upstream.last_seen_at = now;
        self.zone_failures.upstream_seen(&upstream.entry.zone);
        self.record_round_trip(now, index, elapsed);
    }

    fn probe_failed(&mut self, now: Millis, index: usize) {
        let upstream = self.upstreams.get_mut(index);
        upstream.failures.record_failure();
        upstream.failed_probes += 1;
        self.region_round_trips.timed_out(now, &upstream.region);
        self.record_zone_failure(now, index);
    }

    fn schedule_probe(&mut self, now: Millis, index: usize) {
        let upstream = self.upstreams.get_mut(index);
        let interval = if upstream.failures.is_empty() {
            self.policy.probe_interval_ms
        } else {
            self.policy.suspect_probe_interval(upstream.failed_probes)
        };
        upstream.next_probe = next_probe_at(&mut self.rng, now, Some(now), interval);
    }

    /// Regroups the latency tiers of the service that this upstream belongs to.
    fn regroup_tiers(&mut self, index: usize) {
        let service = self.upstreams.get(index).entry.service.clone();
        let members: Vec<usize> = self.upstreams_of(&service).collect();
        self.tiers
            .entry(service)
            .or_default()
            .regroup(self.upstreams.all_mut(), members);
    }

    /// An upstream failed. Once its zone counts as failed, all upstreams there are probed at once.
    pub(super) fn record_zone_failure(&mut self, now: Millis, index: usize) {
        let entry = &self.upstreams.get(index).entry;
        let has_failed = self
            .zone_failures
            .upstream_failed(now, &entry.zone, &entry.identifier);
        if !has_failed {
            return;
        }
        let zone = entry.zone.clone();
        log::info!("nothing is heard of zone {zone}");
        let listed: Vec<usize> = self.upstreams.listed().collect();
        for index in listed {
            let upstream = self.upstreams.get_mut(index);
            if upstream.entry.zone == zone {
                upstream.next_probe = upstream.next_probe.min(now);
            }
        }
    }

    /// Whether the zone of this upstream counts as failed.
    pub(in crate::placement) fn is_in_failed_zone(&self, now: Millis, index: usize) -> bool {
        let zone = &self.upstreams.get(index).entry.zone;
        self.policy.zone_failure_detection && self.zone_failures.has_failed(now, zone)
    }
}
