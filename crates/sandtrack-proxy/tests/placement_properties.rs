//! Properties of placement on random fleets and workloads, whatever their sizes, loads, round trips and failures are.
mod common;
use common::{balancer, entry, request};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use sandtrack_protocol::frames::{ToProxy, UpstreamEntry};
use sandtrack_proxy::placement::balancer::{Balancer, SendOutcome};
use sandtrack_proxy::placement::selection::Placement;
use sandtrack_proxy::request::ProxyRequest;
use std::collections::{BTreeMap, BTreeSet};

/// Zones of the settings, and their regions: the proxy is in the first.
const ZONES: [(&str, &str); 3] = [("a", "north"), ("b", "north"), ("c", "south")];
const FLEETS: u64 = 400;

/// A random fleet whose round trip to each region was measured.
struct Fleet {
    balancer: Balancer,
    evacuated: BTreeSet<&'static str>,
    random: Pcg32,
}

impl Fleet {
    fn picked(seed: u64) -> Fleet {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut entries: Vec<UpstreamEntry> = Vec::new();
        let slots = random.gen_range(1..=96);
        for (zone, _) in ZONES {
            for at in 0..random.gen_range(1..=20) {
                let mut entry = entry(&format!("{zone}{at}"), "model", zone);
                entry.slots = slots;
                entry.draining = random.gen_bool(0.1);
                entries.push(entry);
            }
        }
        let mut balancer = balancer(entries);
        let one_way = [1.0, 10.0, 75.0, 300.0][random.gen_range(0..4)];
        let all: Vec<usize> = balancer.upstreams.listed().collect();
        for index in all {
            let trip = if balancer.upstreams.get(index).region == "north" {
                1.0
            } else {
                2.0 * one_way
            };
            balancer.probe_finished(0.0, index, Some(trip));
        }
        let evacuated: BTreeSet<&str> = ZONES
            .iter()
            .map(|(zone, _)| *zone)
            .filter(|_| random.gen_bool(0.15))
            .collect();
        let zones = evacuated.iter().map(|zone| (*zone).to_owned()).collect();
        balancer.apply(0.0, ToProxy::Evacuated { number: 4, zones });
        Fleet {
            balancer,
            evacuated,
            random,
        }
    }

    /// Either a long prompt that may go anywhere, or a request that is bound to the north.
    fn request(&mut self) -> ProxyRequest {
        if self.random.gen_bool(0.5) {
            return request(
                &self.balancer,
                "/tags/1",
                &[("Prompt-Prefix", "7:55,aa:290")],
            );
        }
        let (prefix, shared) = (
            self.random.gen_range(1..30),
            1000 * self.random.gen_range(1..40),
        );
        long_prompt(&self.balancer, prefix, shared)
    }

    /// Whether an upstream is eligible for the request, by the rules alone.
    fn may_serve(&self, request: &ProxyRequest, index: usize) -> bool {
        let upstream = self.balancer.upstreams.get(index);
        let homes = &request.route.home_regions;
        !upstream.entry.draining
            && !self.evacuated.contains(upstream.entry.zone.as_str())
            && (homes.is_empty() || homes.contains(&upstream.region))
    }

    fn able(&self, request: &ProxyRequest) -> Vec<usize> {
        self.balancer
            .upstreams
            .listed()
            .filter(|index| self.may_serve(request, *index))
            .collect()
    }
}

fn long_prompt(balancer: &Balancer, prefix: u32, shared: u32) -> ProxyRequest {
    let parts = format!("{prefix:x}:{shared},ff:1000");
    let counts = format!("{},50", shared + 1000);
    request(
        balancer,
        "/letters/1",
        &[("Prompt-Prefix", &parts), ("Token-Counts", &counts)],
    )
}

#[test]
fn no_request_waits_while_an_eligible_upstream_has_capacity_and_none_goes_to_another() {
    for seed in 0..FLEETS {
        let mut fleet = Fleet::picked(seed);
        for step in 0..300 {
            let now = 10.0 * f64::from(step);
            let request = fleet.request();
            let able = fleet.able(&request);
            let loads: Vec<(usize, f64)> = able
                .iter()
                .map(|index| {
                    (
                        *index,
                        fleet.balancer.upstreams.get(*index).in_flight as f64,
                    )
                })
                .collect();
            let slots = |index: usize| fleet.balancer.upstreams.get(index).slots();
            let has_capacity = loads
                .iter()
                .any(|(index, load)| load + 1.0 <= slots(*index) * 1.5);
            match fleet.balancer.choose_upstream(now, &request, &[]) {
                Placement::Send(index) => {
                    assert!(
                        fleet.may_serve(&request, index),
                        "fleet {seed}, step {step}"
                    );
                    fleet.balancer.send_started(index);
                    fleet.balancer.long_prompt_sent(now, &request, index);
                }
                Placement::Wait => {
                    assert!(
                        !has_capacity,
                        "fleet {seed}, step {step}: it waits beside free capacity"
                    );
                }
                Placement::Unavailable => assert!(able.is_empty(), "fleet {seed}, step {step}"),
            }
        }
    }
}

#[test]
fn a_prefix_is_prefilled_once_while_nothing_fails() {
    for seed in 0..FLEETS {
        let mut fleet = Fleet::picked(seed);
        let mut owners: BTreeMap<u32, BTreeSet<usize>> = BTreeMap::new();
        for step in 0..120 {
            // Far enough from each other for each prefill to be over before the next one begins.
            let now = 3000.0 * f64::from(step);
            let prefix = fleet.random.gen_range(1..20);
            let prompt = long_prompt(&fleet.balancer, prefix, 10_000);
            if let Placement::Send(index) = fleet.balancer.choose_upstream(now, &prompt, &[]) {
                fleet.balancer.send_started(index);
                fleet.balancer.long_prompt_sent(now, &prompt, index);
                fleet
                    .balancer
                    .send_finished(now + 500.0, index, SendOutcome::Completed);
                owners.entry(prefix).or_default().insert(index);
            }
        }
        assert!(
            owners.values().all(|of| of.len() == 1),
            "fleet {seed}: {owners:?}"
        );
    }
}

#[test]
fn a_failed_zone_is_avoided_after_two_failures() {
    for seed in 0..FLEETS {
        let mut fleet = Fleet::picked(seed);
        let request = long_prompt(&fleet.balancer, 3, 10_000);
        let able = fleet.able(&request);
        let zone =
            |fleet: &Fleet, index: usize| fleet.balancer.upstreams.get(index).entry.zone.clone();
        let Some(lost) = able.first().map(|index| zone(&fleet, *index)) else {
            continue;
        };
        let (in_lost, others): (Vec<usize>, Vec<usize>) = able
            .into_iter()
            .partition(|index| zone(&fleet, *index) == lost);
        if in_lost.len() < 2 || others.is_empty() {
            continue;
        }
        for index in &in_lost[..2] {
            fleet.balancer.send_started(*index);
            fleet
                .balancer
                .send_finished(100.0, *index, SendOutcome::ConnectionFailed);
        }
        for prefix in 1..40 {
            let prompt = long_prompt(&fleet.balancer, prefix, 10_000);
            if let Placement::Send(index) = fleet.balancer.choose_upstream(300.0, &prompt, &[]) {
                assert_ne!(zone(&fleet, index), lost, "fleet {seed}");
            }
        }
    }
}

#[test]
fn load_within_the_own_region_is_even_and_an_overloaded_upstream_gets_nothing_more() {
    let mut played = 0;
    for seed in 0..FLEETS {
        let mut fleet = Fleet::picked(seed);
        let request = request(
            &fleet.balancer,
            "/tags/1",
            &[("Prompt-Prefix", "7:55,aa:290")],
        );
        let able = fleet.able(&request);
        let used = able.len().min(fleet.balancer.policy.local_subset_size);
        let slots = able
            .first()
            .map_or(0.0, |index| fleet.balancer.upstreams.get(*index).slots());
        // A quarter of the slots of the subset, beside one upstream that is half full.
        let (count, held) = ((used as f64 * slots / 4.0) as usize, (slots / 2.0) as usize);
        let Placement::Send(crowded) = fleet.balancer.choose_upstream(0.0, &request, &[]) else {
            continue;
        };
        if used < 4 || count < 40 {
            continue;
        }
        played += 1;
        (0..held).for_each(|_| fleet.balancer.send_started(crowded));
        for _ in 0..count {
            if let Placement::Send(index) = fleet.balancer.choose_upstream(1.0, &request, &[]) {
                fleet.balancer.send_started(index);
            }
        }
        let own = |index: &usize| fleet.balancer.upstreams.get(*index).in_flight as f64;
        let mean = count as f64 / used as f64;
        let added = own(&crowded) - held as f64;
        assert!(
            added <= 0.4 * mean + 2.0,
            "fleet {seed}: {added} more where the mean is {mean}"
        );
        let most = able
            .iter()
            .filter(|index| **index != crowded)
            .map(own)
            .fold(0.0, f64::max);
        assert!(
            most <= 2.0 * mean + 3.0,
            "fleet {seed}: {most} at one, {mean} in the mean"
        );
    }
    assert!(played > 50, "{played} fleets");
}
