//! A region is lost or evacuated (docs/incidents/far-zone.md): the prefill of long prompts must not slow down the streams that
//! can't leave the other one.
mod common;
use common::{balancer, fleet, index_of, probe_all, request};
use sandtrack_protocol::frames::ToProxy;
use sandtrack_proxy::placement::balancer::Balancer;
use sandtrack_proxy::placement::selection::Placement;
use std::collections::BTreeSet;

/// The upstreams that are picked for requests with these prompts, each of which ends at once.
fn picked(
    balancer: &mut Balancer,
    now: f64,
    target: &str,
    prefixes: &[String],
) -> BTreeSet<String> {
    let mut picked = BTreeSet::new();
    for prefix in prefixes {
        let request = request(balancer, target, &[("Prompt-Prefix", prefix)]);
        if let Placement::Send(index) = balancer.choose_upstream(now, &request, &[]) {
            picked.insert(balancer.upstreams.get(index).entry.identifier.clone());
        }
    }
    picked
}

/// Prompts with long shared parts, each another one.
fn long() -> Vec<String> {
    (0..64)
        .map(|at| format!("{at:x}:13300,ff{at:x}:3720"))
        .collect()
}

fn short() -> Vec<String> {
    (0..200).map(|at| format!("7:55,aa{at:x}:290")).collect()
}

fn evacuate(balancer: &mut Balancer, zones: &[&str]) {
    let zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
    balancer.apply(0.0, ToProxy::Evacuated { number: 4, zones });
}

#[test]
fn while_a_region_has_no_bound_requests_most_long_prompts_are_prefilled_there_and_short_ones_go_anywhere(
) {
    let mut balancer = balancer(fleet());
    probe_all(&mut balancer, 0.0);
    // One by one: so many go to the free region, all of whose upstreams prefill them.
    let all = long();
    let one = |balancer: &mut Balancer, at: usize| {
        picked(balancer, 100.0, "/letters/1", &all[at..=at]).pop_first()
    };
    let prefill_upstreams: Vec<String> = (0..all.len())
        .filter_map(|at| one(&mut balancer, at))
        .collect();
    let free: Vec<&String> = prefill_upstreams
        .iter()
        .filter(|name| name.starts_with('c'))
        .collect();
    assert_eq!(prefill_upstreams.len(), 64);
    assert!(
        (36..=54).contains(&free.len()),
        "5 of weight 1 beside 6 of 0.35: 45 of 64; {}",
        free.len()
    );
    assert_eq!(free.iter().collect::<BTreeSet<_>>().len(), 5);
    assert_eq!(picked(&mut balancer, 100.0, "/tags/1", &short()).len(), 6);
}

#[test]
fn where_every_region_has_bound_requests_half_of_the_upstreams_prefill_long_prompts_and_the_rest_stream(
) {
    let mut balancer = balancer(fleet());
    probe_all(&mut balancer, 0.0);
    evacuate(&mut balancer, &["c"]);
    let prefill_upstreams = picked(&mut balancer, 100.0, "/letters/1", &long());
    assert_eq!(prefill_upstreams.len(), 3, "{prefill_upstreams:?}");
    let streams = picked(&mut balancer, 100.0, "/tags/1", &short());
    assert_eq!(streams.len(), 3, "{streams:?}");
    assert!(
        prefill_upstreams.is_disjoint(&streams),
        "{prefill_upstreams:?} {streams:?}"
    );
    // Some time after the last long prompt all upstreams serve all requests again.
    assert_eq!(
        picked(&mut balancer, 100.0 + 4001.0, "/tags/1", &short()).len(),
        6
    );
}

#[test]
fn all_proxies_choose_the_same_prefill_upstreams() {
    let mut sets = BTreeSet::new();
    for _ in 0..3 {
        let mut entries = fleet();
        entries.reverse();
        let mut balancer = balancer(entries);
        probe_all(&mut balancer, 0.0);
        evacuate(&mut balancer, &["c"]);
        sets.insert(picked(&mut balancer, 100.0, "/letters/1", &long()));
    }
    assert_eq!(sets.len(), 1);
}

#[test]
fn where_one_half_has_no_capacity_the_other_serves() {
    let mut balancer = balancer(fleet());
    probe_all(&mut balancer, 0.0);
    evacuate(&mut balancer, &["c"]);
    let prefill_upstreams = picked(&mut balancer, 100.0, "/letters/1", &long());
    for name in ["a0", "a1", "a2", "b0", "b1", "b2"] {
        let index = index_of(&balancer, name);
        if !prefill_upstreams.contains(name) {
            (0..4).for_each(|_| balancer.send_started(index));
        }
    }
    let streams = picked(&mut balancer, 100.0, "/tags/1", &short());
    assert_eq!(streams, prefill_upstreams);
}
