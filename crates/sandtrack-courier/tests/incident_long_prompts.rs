//! A region is lost or evacuated (docs/incidents/far-zone.md): what is read for long prompts then must not hold up the
//! streams that can't leave the other one.
mod common;
use common::{entry, errand, office, probe_all};
use sandtrack_courier::office::Office;
use sandtrack_courier::placement::Placed;
use sandtrack_postmark::frames::{ToCourier, UpstreamEntry};
use std::collections::BTreeSet;

fn fleet() -> Vec<UpstreamEntry> {
    let mut all = Vec::new();
    for (zone, count) in [("a", 3), ("b", 3), ("c", 5)] {
        all.extend((0..count).map(|at| entry(&format!("{zone}{at}"), "model", zone)));
    }
    all
}

/// Where requests that end at once go, with these headers each.
fn drawn(office: &mut Office, now: f64, target: &str, prefixes: &[String]) -> BTreeSet<String> {
    let mut drawn = BTreeSet::new();
    for prefix in prefixes {
        let errand = errand(office, target, &[("Prompt-Prefix", prefix)]);
        if let Placed::Send(place) = office.place(now, &errand, &[]) {
            drawn.insert(office.upstreams.get(place).entry.identifier.clone());
        }
    }
    drawn
}

/// Prompts with long shared parts, each another one.
fn long() -> Vec<String> {
    (0..64).map(|at| format!("{at:x}:13300,ff{at:x}:3720")).collect()
}

fn short() -> Vec<String> {
    (0..200).map(|at| format!("7:55,aa{at:x}:290")).collect()
}

fn evacuate(office: &mut Office, zones: &[&str]) {
    let zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
    office.fold(0.0, ToCourier::Evacuated { number: 4, zones });
}

#[test]
fn while_a_region_is_free_of_bound_requests_most_long_prompts_are_read_there_and_short_ones_go_anywhere() {
    let mut office = office(fleet());
    probe_all(&mut office, 0.0);
    // One by one: so many go to the free region, all of whose upstreams read.
    let all = long();
    let one = |office: &mut Office, at: usize| drawn(office, 100.0, "/letters/1", &all[at..=at]).pop_first();
    let readers: Vec<String> = (0..all.len()).filter_map(|at| one(&mut office, at)).collect();
    let free: Vec<&String> = readers.iter().filter(|name| name.starts_with('c')).collect();
    assert_eq!(readers.len(), 64);
    assert!((36..=54).contains(&free.len()), "5 of weight 1 beside 6 of 0.35: 45 of 64; {}", free.len());
    assert_eq!(free.iter().collect::<BTreeSet<_>>().len(), 5);
    assert_eq!(drawn(&mut office, 100.0, "/tags/1", &short()).len(), 6);
}

#[test]
fn where_no_region_is_free_half_of_the_upstreams_read_long_prompts_and_the_rest_stream_what_is_bound() {
    let mut office = office(fleet());
    probe_all(&mut office, 0.0);
    evacuate(&mut office, &["c"]);
    let readers = drawn(&mut office, 100.0, "/letters/1", &long());
    assert_eq!(readers.len(), 3, "{readers:?}");
    let streams = drawn(&mut office, 100.0, "/tags/1", &short());
    assert_eq!(streams.len(), 3, "{streams:?}");
    assert!(readers.is_disjoint(&streams), "{readers:?} {streams:?}");
    // Some time after the last long prompt all serve again.
    assert_eq!(drawn(&mut office, 100.0 + 4001.0, "/tags/1", &short()).len(), 6);
}

#[test]
fn all_couriers_choose_the_same_readers() {
    let mut sets = BTreeSet::new();
    for _ in 0..3 {
        let mut entries = fleet();
        entries.reverse();
        let mut office = office(entries);
        probe_all(&mut office, 0.0);
        evacuate(&mut office, &["c"]);
        sets.insert(drawn(&mut office, 100.0, "/letters/1", &long()));
    }
    assert_eq!(sets.len(), 1);
}

#[test]
fn where_one_side_has_no_room_the_other_serves() {
    let mut office = office(fleet());
    probe_all(&mut office, 0.0);
    evacuate(&mut office, &["c"]);
    let readers = drawn(&mut office, 100.0, "/letters/1", &long());
    let place = |office: &Office, name: &str| office.upstreams.place(name).expect("it is listed");
    for name in ["a0", "a1", "a2", "b0", "b1", "b2"] {
        let place = place(&office, name);
        if !readers.contains(name) {
            (0..4).for_each(|_| office.sent(place));
        }
    }
    let streams = drawn(&mut office, 100.0, "/tags/1", &short());
    assert_eq!(streams, readers);
}
