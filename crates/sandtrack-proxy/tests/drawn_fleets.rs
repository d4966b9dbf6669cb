//! Placement on drawn fleets and workloads: what holds whatever the sizes, loads, ways and losses are.
mod common;
use common::{balancer, entry, request};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use sandtrack_protocol::frames::{ToProxy, UpstreamEntry};
use sandtrack_proxy::placement::balancer::{Balancer, SendOutcome};
use sandtrack_proxy::placement::choice::Placed;
use sandtrack_proxy::request::ProxyRequest;
use std::collections::{BTreeMap, BTreeSet};

/// Zones of the settings, and their regions: the proxy is in the first.
const ZONES: [(&str, &str); 3] = [("a", "north"), ("b", "north"), ("c", "south")];
const FLEETS: u64 = 400;

/// A fleet with a way to each region that was measured.
struct Fleet {
    balancer: Balancer,
    evacuated: BTreeSet<&'static str>,
    random: Pcg32,
}

impl Fleet {
    fn drawn(seed: u64) -> Fleet {
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
        let way = [1.0, 10.0, 75.0, 300.0][random.gen_range(0..4)];
        let all: Vec<usize> = balancer.upstreams.listed().collect();
        for place in all {
            let trip = if balancer.upstreams.get(place).region == "north" {
                1.0
            } else {
                2.0 * way
            };
            balancer.probed(0.0, place, Some(trip));
        }
        let evacuated: BTreeSet<&str> = ZONES
            .iter()
            .map(|(zone, _)| *zone)
            .filter(|_| random.gen_bool(0.15))
            .collect();
        let zones = evacuated.iter().map(|zone| (*zone).to_owned()).collect();
        balancer.fold(0.0, ToProxy::Evacuated { number: 4, zones });
        Fleet {
            balancer,
            evacuated,
            random,
        }
    }

    /// A letter may go anywhere and has a long prompt; a tag is bound to the north.
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
        letter(&self.balancer, prefix, shared)
    }

    /// Whether an upstream may serve the request, by the rules alone.
    fn may_serve(&self, request: &ProxyRequest, place: usize) -> bool {
        let upstream = self.balancer.upstreams.get(place);
        let homes = &request.route.home_regions;
        !upstream.entry.draining
            && !self.evacuated.contains(upstream.entry.zone.as_str())
            && (homes.is_empty() || homes.contains(&upstream.region))
    }

    fn able(&self, request: &ProxyRequest) -> Vec<usize> {
        self.balancer
            .upstreams
            .listed()
            .filter(|place| self.may_serve(request, *place))
            .collect()
    }
}

fn letter(balancer: &Balancer, prefix: u32, shared: u32) -> ProxyRequest {
    let parts = format!("{prefix:x}:{shared},ff:1000");
    let counts = format!("{},50", shared + 1000);
    request(
        balancer,
        "/letters/1",
        &[("Prompt-Prefix", &parts), ("Token-Counts", &counts)],
    )
}

#[test]
fn nobody_waits_while_one_that_may_serve_has_room_and_nothing_goes_where_it_may_not() {
    for seed in 0..FLEETS {
        let mut fleet = Fleet::drawn(seed);
        for step in 0..300 {
            let now = 10.0 * f64::from(step);
            let request = fleet.request();
            let able = fleet.able(&request);
            let loads: Vec<(usize, f64)> = able
                .iter()
                .map(|place| (*place, fleet.balancer.upstreams.get(*place).own as f64))
                .collect();
            let slots = |place: usize| fleet.balancer.upstreams.get(place).slots();
            let has_room = loads
                .iter()
                .any(|(place, load)| load + 1.0 <= slots(*place) * 1.5);
            match fleet.balancer.place(now, &request, &[]) {
                Placed::Send(place) => {
                    assert!(
                        fleet.may_serve(&request, place),
                        "fleet {seed}, step {step}"
                    );
                    fleet.balancer.sent(place);
                    fleet.balancer.prompt_sent(now, &request, place);
                }
                Placed::Wait => {
                    assert!(!has_room, "fleet {seed}, step {step}: it waits beside room")
                }
                Placed::None => assert!(able.is_empty(), "fleet {seed}, step {step}"),
            }
        }
    }
}

#[test]
fn a_prefix_is_read_once_while_all_is_well() {
    for seed in 0..FLEETS {
        let mut fleet = Fleet::drawn(seed);
        let mut readers: BTreeMap<u32, BTreeSet<usize>> = BTreeMap::new();
        for step in 0..120 {
            // Far enough from each other for each to be read before the next one comes.
            let now = 3000.0 * f64::from(step);
            let prefix = fleet.random.gen_range(1..20);
            let letter = letter(&fleet.balancer, prefix, 10_000);
            if let Placed::Send(place) = fleet.balancer.place(now, &letter, &[]) {
                fleet.balancer.sent(place);
                fleet.balancer.prompt_sent(now, &letter, place);
                fleet
                    .balancer
                    .ended(now + 500.0, place, SendOutcome::Completed);
                readers.entry(prefix).or_default().insert(place);
            }
        }
        assert!(
            readers.values().all(|of| of.len() == 1),
            "fleet {seed}: {readers:?}"
        );
    }
}

#[test]
fn a_lost_zone_is_left_within_two_failures() {
    for seed in 0..FLEETS {
        let mut fleet = Fleet::drawn(seed);
        let request = letter(&fleet.balancer, 3, 10_000);
        let able = fleet.able(&request);
        let zone =
            |fleet: &Fleet, place: usize| fleet.balancer.upstreams.get(place).entry.zone.clone();
        let Some(lost) = able.first().map(|place| zone(&fleet, *place)) else {
            continue;
        };
        let (in_lost, others): (Vec<usize>, Vec<usize>) = able
            .into_iter()
            .partition(|place| zone(&fleet, *place) == lost);
        if in_lost.len() < 2 || others.is_empty() {
            continue;
        }
        for place in &in_lost[..2] {
            fleet.balancer.sent(*place);
            fleet
                .balancer
                .ended(100.0, *place, SendOutcome::ConnectionFailed);
        }
        for prefix in 1..40 {
            let letter = letter(&fleet.balancer, prefix, 10_000);
            if let Placed::Send(place) = fleet.balancer.place(300.0, &letter, &[]) {
                assert_ne!(zone(&fleet, place), lost, "fleet {seed}");
            }
        }
    }
}

#[test]
fn load_within_the_own_region_is_even_and_one_far_above_the_mean_gets_nothing_more() {
    let mut played = 0;
    for seed in 0..FLEETS {
        let mut fleet = Fleet::drawn(seed);
        let request = request(
            &fleet.balancer,
            "/tags/1",
            &[("Prompt-Prefix", "7:55,aa:290")],
        );
        let able = fleet.able(&request);
        let used = able.len().min(fleet.balancer.policy.circle_near);
        let slots = able
            .first()
            .map_or(0.0, |place| fleet.balancer.upstreams.get(*place).slots());
        // A quarter of the places of those that it uses, beside one that is half full.
        let (count, held) = ((used as f64 * slots / 4.0) as usize, (slots / 2.0) as usize);
        let Placed::Send(crowded) = fleet.balancer.place(0.0, &request, &[]) else {
            continue;
        };
        if used < 4 || count < 40 {
            continue;
        }
        played += 1;
        (0..held).for_each(|_| fleet.balancer.sent(crowded));
        for _ in 0..count {
            if let Placed::Send(place) = fleet.balancer.place(1.0, &request, &[]) {
                fleet.balancer.sent(place);
            }
        }
        let own = |place: &usize| fleet.balancer.upstreams.get(*place).own as f64;
        let mean = count as f64 / used as f64;
        let added = own(&crowded) - held as f64;
        assert!(
            added <= 0.4 * mean + 2.0,
            "fleet {seed}: {added} more where the mean is {mean}"
        );
        let most = able
            .iter()
            .filter(|place| **place != crowded)
            .map(own)
            .fold(0.0, f64::max);
        assert!(
            most <= 2.0 * mean + 3.0,
            "fleet {seed}: {most} at one, {mean} in the mean"
        );
    }
    assert!(played > 50, "{played} fleets");
}
