//! A region is lost or evacuated (docs/incidents/far-zone.md): what is read for long prompts then must not hold up the
//! streams that can't leave the other one.
mod common;
use common::{balancer, entry, probe_all, request};
use sandtrack_protocol::frames::{ToProxy, UpstreamEntry};
use sandtrack_proxy::placement::balancer::Balancer;
use sandtrack_proxy::placement::selection::Placement;
use std::collections::BTreeSet;

fn fleet() -> Vec<UpstreamEntry> {
    let mut all = Vec::new();
    for (zone, count) in [("a", 3), ("b", 3), ("c", 5)] {
        all.extend((0..count).map(|at| entry(&format!("{zone}{at}"), "model", zone)));
    }
    all
}

/// Where requests that end at once go, with these headers each.
fn drawn(balancer: &mut Balancer, now: f64, target: &str, prefixes: &[String]) -> BTreeSet<String> {
    let mut drawn = BTreeSet::new();
    for prefix in prefixes {
        let request = request(balancer, target, &[("Prompt-Prefix", prefix)]);
        if let Placement::Send(place) = balancer.choose_upstream(now, &request, &[]) {
            drawn.insert(balancer.upstreams.get(place).entry.identifier.clone());
        }
    }
    drawn
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
fn while_a_region_is_free_of_bound_requests_most_long_prompts_are_read_there_and_short_ones_go_anywhere(
) {
    let mut balancer = balancer(fleet());
    probe_all(&mut balancer, 0.0);
    // One by one: so many go to the free region, all of whose upstreams read.
    let all = long();
    let one = |balancer: &mut Balancer, at: usize| {
        drawn(balancer, 100.0, "/letters/1", &all[at..=at]).pop_first()
    };
    let readers: Vec<String> = (0..all.len())
        .filter_map(|at| one(&mut balancer, at))
        .collect();
    let free: Vec<&String> = readers
        .iter()
        .filter(|name| name.starts_with('c'))
        .collect();
    assert_eq!(readers.len(), 64);
    assert!(
        (36..=54).contains(&free.len()),
        "5 of weight 1 beside 6 of 0.35: 45 of 64; {}",
        free.len()
    );
    assert_eq!(free.iter().collect::<BTreeSet<_>>().len(), 5);
    assert_eq!(drawn(&mut balancer, 100.0, "/tags/1", &short()).len(), 6);
}

#[test]
fn where_no_region_is_free_half_of_the_upstreams_read_long_prompts_and_the_rest_stream_what_is_bound(
) {
    let mut balancer = balancer(fleet());
    probe_all(&mut balancer, 0.0);
    evacuate(&mut balancer, &["c"]);
    let readers = drawn(&mut balancer, 100.0, "/letters/1", &long());
    assert_eq!(readers.len(), 3, "{readers:?}");
    let streams = drawn(&mut balancer, 100.0, "/tags/1", &short());
    assert_eq!(streams.len(), 3, "{streams:?}");
    assert!(readers.is_disjoint(&streams), "{readers:?} {streams:?}");
    // Some time after the last long prompt all serve again.
    assert_eq!(
        drawn(&mut balancer, 100.0 + 4001.0, "/tags/1", &short()).len(),
        6
    );
}

#[test]
fn all_proxies_choose_the_same_readers() {
    let mut sets = BTreeSet::new();
    for _ in 0..3 {
        let mut entries = fleet();
        entries.reverse();
        let mut balancer = balancer(entries);
        probe_all(&mut balancer, 0.0);
        evacuate(&mut balancer, &["c"]);
        sets.insert(drawn(&mut balancer, 100.0, "/letters/1", &long()));
    }
    assert_eq!(sets.len(), 1);
}

#[test]
fn where_one_side_has_no_room_the_other_serves() {
    let mut balancer = balancer(fleet());
    probe_all(&mut balancer, 0.0);
    evacuate(&mut balancer, &["c"]);
    let readers = drawn(&mut balancer, 100.0, "/letters/1", &long());
    let place =
        |balancer: &Balancer, name: &str| balancer.upstreams.index_of(name).expect("it is listed");
    for name in ["a0", "a1", "a2", "b0", "b1", "b2"] {
        let place = place(&balancer, name);
        if !readers.contains(name) {
            (0..4).for_each(|_| balancer.send_started(place));
        }
    }
    let streams = drawn(&mut balancer, 100.0, "/tags/1", &short());
    assert_eq!(streams, readers);
}
