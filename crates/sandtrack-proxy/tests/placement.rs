//! Selection of upstreams.
mod common;
use common::{balancer, entry, fleet, index_of, probe_all, request, uncounted_balancer};
use sandtrack_protocol::frames::ToProxy;
use sandtrack_protocol::settings::Settings;
use sandtrack_proxy::placement::balancer::{ApplyOutcome, Balancer, SendOutcome};
use sandtrack_proxy::placement::selection::Placement;
use sandtrack_proxy::request::ProxyRequest;
use std::collections::{BTreeMap, BTreeSet};

/// How often each upstream is picked for requests that end at once.
fn picks(balancer: &mut Balancer, target: &str, count: usize) -> BTreeMap<String, usize> {
    let mut picked = BTreeMap::new();
    let request = request(balancer, target, &[]);
    for _ in 0..count {
        if let Placement::Send(index) = balancer.choose_upstream(1000.0, &request, &[]) {
            *picked
                .entry(balancer.upstreams.get(index).entry.identifier.clone())
                .or_default() += 1;
        }
    }
    picked
}

/// Indices of the upstreams in the own region.
fn indices_in_north(balancer: &Balancer) -> Vec<usize> {
    let upstreams = &balancer.upstreams;
    upstreams
        .listed()
        .filter(|index| upstreams.get(*index).region == "north")
        .collect()
}

#[test]
fn a_random_pick_in_the_nearest_tier_of_the_own_region() {
    let mut balancer = balancer(fleet());
    probe_all(&mut balancer, 0.0);
    let picked = picks(&mut balancer, "/letters/1", 600);
    assert_eq!(picked.len(), 6, "{picked:?}");
    assert!(picked.values().all(|count| *count > 60), "{picked:?}");
    assert!(
        picked.keys().all(|name| !name.starts_with('c')),
        "{picked:?}"
    );
}

#[test]
fn the_remote_region_serves_once_the_own_one_has_no_capacity_but_never_a_request_with_another_home()
{
    let mut balancer = balancer(fleet());
    probe_all(&mut balancer, 0.0);
    let (unbound, bound_request) = (
        request(&balancer, "/letters/1", &[]),
        request(&balancer, "/tags/1", &[]),
    );
    let near = indices_in_north(&balancer);
    near.iter()
        .for_each(|index| (0..4).for_each(|_| balancer.send_started(*index)));
    let Placement::Send(index) = balancer.choose_upstream(1000.0, &unbound, &[]) else {
        panic!("the far region has room")
    };
    assert_eq!(balancer.upstreams.get(index).region, "south");
    let Placement::Send(index) = balancer.choose_upstream(1000.0, &bound_request, &[]) else {
        panic!("the near one queues")
    };
    assert_eq!(balancer.upstreams.get(index).region, "north");
    near.iter()
        .for_each(|index| (0..9).for_each(|_| balancer.send_started(*index)));
    assert_eq!(
        balancer.choose_upstream(1000.0, &bound_request, &[]),
        Placement::Wait
    );
}

#[test]
fn draining_removed_and_evacuated_upstreams_get_nothing() {
    let mut balancer = balancer(fleet());
    probe_all(&mut balancer, 0.0);
    let mut draining = entry("a0", "model", "a");
    draining.draining = true;
    balancer.apply(
        1.0,
        ToProxy::Upstreams {
            is_complete: false,
            poll: 2,
            entries: vec![draining],
            removed: vec!["a1".to_owned()],
        },
    );
    balancer.apply(
        1.0,
        ToProxy::Evacuated {
            number: 5,
            zones: vec!["b".to_owned()],
        },
    );
    let picked = picks(&mut balancer, "/letters/1", 100);
    assert_eq!(
        picked.keys().map(String::as_str).collect::<Vec<_>>(),
        ["a2"]
    );
    // An evacuation order that is older than what is known changes nothing.
    balancer.apply(
        1.0,
        ToProxy::Evacuated {
            number: 4,
            zones: Vec::new(),
        },
    );
    assert_eq!(picks(&mut balancer, "/letters/1", 100).len(), 1);
    balancer.apply(
        1.0,
        ToProxy::Evacuated {
            number: 6,
            zones: Vec::new(),
        },
    );
    assert_eq!(picks(&mut balancer, "/letters/1", 100).len(), 4);
}

#[test]
fn two_failures_make_an_upstream_unhealthy_a_probe_restores_it_and_where_all_are_all_serve() {
    let mut balancer = balancer(vec![entry("a0", "model", "a"), entry("a1", "model", "a")]);
    probe_all(&mut balancer, 0.0);
    let index = index_of(&balancer, "a0");
    for _ in 0..2 {
        balancer.send_started(index);
        balancer.send_finished(10.0, index, SendOutcome::ConnectionFailed);
    }
    assert_eq!(picks(&mut balancer, "/letters/1", 50).len(), 1);
    let other = index_of(&balancer, "a1");
    for _ in 0..2 {
        balancer.send_started(other);
        balancer.send_finished(10.0, other, SendOutcome::ConnectionFailed);
    }
    assert_eq!(picks(&mut balancer, "/letters/1", 50).len(), 2);
    probe_all(&mut balancer, 2000.0);
    assert!(balancer.upstreams.get(index).failures.is_healthy());
}

#[test]
fn an_upstream_in_slow_start_gets_the_quota_of_one_proxy_in_any_second() {
    let mut cold = entry("a0", "model", "a");
    cold.slow_start_remaining_ms = 60_000;
    let mut balancer = balancer(vec![cold]);
    probe_all(&mut balancer, 0.0);
    let unbound = request(&balancer, "/letters/1", &[]);
    let mut sends: Vec<f64> = Vec::new();
    for step in 0..3000 {
        let now = f64::from(step);
        if let Placement::Send(_) = balancer.choose_upstream(now, &unbound, &[]) {
            sends.push(now);
        }
    }
    let bound = (45.0 * 1.5 + 5.0) / 12.0;
    for from in &sends {
        let count = sends
            .iter()
            .filter(|at| **at >= *from && **at < from + 1000.0)
            .count() as f64;
        assert!(count <= bound, "{count} in the second from {from}");
    }
    assert!(sends.len() >= 8, "{}", sends.len());
}

/// Requests sent within the second that begins at `from`, one of which arrives each millisecond.
fn sent_within_a_second(balancer: &mut Balancer, request: &ProxyRequest, from: f64) -> usize {
    (0..1000)
        .map(|step| from + f64::from(step))
        .filter(|now| {
            let placement = balancer.choose_upstream(*now, request, &[]);
            matches!(placement, Placement::Send(_))
        })
        .count()
}

/// Control counts a proxy that it does not hear for 30 s; then others get its quota.
#[test]
fn a_quota_shrinks_where_control_sent_no_heartbeat_for_long() {
    let mut warming_up = entry("a0", "model", "a");
    warming_up.slow_start_remaining_ms = 120_000;
    let mut balancer = balancer(vec![warming_up]);
    let unbound = request(&balancer, "/letters/1", &[]);
    assert_eq!(
        sent_within_a_second(&mut balancer, &unbound, 20_000.0),
        4,
        "a twelfth of the limit"
    );
    assert!(
        sent_within_a_second(&mut balancer, &unbound, 29_000.0) <= 1,
        "as if there were a hundred"
    );
    balancer.apply(40_000.0, ToProxy::Heartbeat { attached: false });
    assert!(
        sent_within_a_second(&mut balancer, &unbound, 41_000.0) <= 1,
        "a control node without contact to a majority does not know either"
    );
    balancer.apply(50_000.0, ToProxy::Heartbeat { attached: true });
    assert_eq!(
        sent_within_a_second(&mut balancer, &unbound, 51_000.0),
        4,
        "control counts it again"
    );
}

#[test]
fn long_shared_prefixes_go_to_one_upstream_that_all_proxies_agree_on() {
    let mut first = balancer(fleet());
    let mut second = balancer(fleet().into_iter().rev().collect());
    probe_all(&mut first, 0.0);
    probe_all(&mut second, 0.0);
    let mut owners: BTreeMap<String, usize> = BTreeMap::new();
    for key in 1..=700 {
        let prefix = format!("{key:x}:13300,ff{key:x}:3720");
        // Their own parts differ, the shared one counts.
        let unbound = request(&first, "/letters/1", &[("Prompt-Prefix", &prefix)]);
        let name = |balancer: &mut Balancer| match balancer.choose_upstream(1.0, &unbound, &[]) {
            Placement::Send(index) => balancer.upstreams.get(index).entry.identifier.clone(),
            other => panic!("{other:?}"),
        };
        let home = name(&mut first);
        assert!((0..5).all(|_| name(&mut first) == home) && name(&mut second) == home);
        *owners.entry(home).or_default() += 1;
    }
    // One route is bound to the north, and none of its requests was seen: an upstream there owns half as many prefixes as one in
    // the south, within a quarter.
    assert_owned(&owners, 0.5);
    // Many of its requests were seen: now it owns a third, as both proxies agree.
    let bound_request = request(
        &first,
        "/tags/1",
        &[("Token-Counts", "900,20"), ("Prompt-Prefix", "a:900")],
    );
    for balancer in [&mut first, &mut second] {
        (0..20_000).for_each(|_| balancer.request_arrived(1.0, &bound_request));
    }
    owners.clear();
    for key in 1..=700 {
        let unbound = request(
            &first,
            "/letters/1",
            &[("Prompt-Prefix", &format!("{key:x}:13300,ff:3720"))],
        );
        let homes = [&mut first, &mut second].map(|balancer| {
            match balancer.choose_upstream(1.0, &unbound, &[]) {
                Placement::Send(index) => balancer.upstreams.get(index).entry.identifier.clone(),
                other => panic!("{other:?}"),
            }
        });
        assert_eq!(homes[0], homes[1]);
        *owners.entry(homes[0].clone()).or_default() += 1;
    }
    assert_owned(&owners, 0.35);
}

/// An upstream in the north owns `expected` times as many prefixes as one in the south, within a quarter; and in each region
/// all own alike, within a half.
fn assert_owned(owners: &BTreeMap<String, usize>, expected: f64) {
    assert_eq!(owners.len(), 11, "{owners:?}");
    let counts = |south: bool| -> Vec<f64> {
        let of_it = owners
            .iter()
            .filter(|(name, _)| name.starts_with('c') == south);
        of_it.map(|(_, count)| *count as f64).collect()
    };
    let mean = |counts: &[f64]| counts.iter().sum::<f64>() / counts.len() as f64;
    let (south, north) = (counts(true), counts(false));
    let ratio = mean(&north) / mean(&south);
    assert!(
        (0.75..=1.25).contains(&(ratio / expected)),
        "{ratio} {owners:?}"
    );
    for side in [&south, &north] {
        assert!(
            side.iter()
                .all(|count| (0.5..=1.5).contains(&(count / mean(side)))),
            "{owners:?}"
        );
    }
}

#[test]
fn nothing_goes_back_to_an_older_number() {
    let mut balancer = balancer(fleet());
    let older = common::CONFIGURATION.replace("\"version_number\":7", "\"version_number\":6");
    balancer.apply(
        1.0,
        ToProxy::Configuration {
            number: 2,
            version: 6,
            document: older,
        },
    );
    assert_eq!(
        balancer.configuration.as_ref().map(|all| all.version),
        Some(7)
    );
    let changes = ToProxy::Changes {
        from_number: 2,
        number: 9,
        version: 9,
        items: Vec::new(),
        fields: Vec::new(),
    };
    assert_eq!(
        balancer.apply(1.0, changes),
        ApplyOutcome::NeedsFullConfiguration
    );
    let changes = ToProxy::Changes {
        from_number: 3,
        number: 9,
        version: 9,
        items: Vec::new(),
        fields: Vec::new(),
    };
    assert_eq!(balancer.apply(1.0, changes), ApplyOutcome::Applied);
    assert_eq!(
        balancer.configuration.as_ref().map(|all| all.version),
        Some(9)
    );
}

#[test]
fn until_the_number_of_proxies_is_known_connections_suffice_and_slow_start_is_respected() {
    let entries = vec![entry("a0", "model", "a"), entry("p0", "printer", "a")];
    let mut balancer = uncounted_balancer(&common::settings(), 1, entries);
    assert_eq!(balancer.connection_quota(index_of(&balancer, "a0")), 21);
    assert_eq!(balancer.connection_quota(index_of(&balancer, "p0")), 7);
    assert!(balancer.slow_start_quota(0.0, index_of(&balancer, "a0")) <= 1);
    balancer.apply(
        0.0,
        ToProxy::Census {
            control_nodes: Vec::new(),
            proxies: 39,
            rank: 0,
        },
    );
    assert_eq!(balancer.connection_quota(index_of(&balancer, "a0")), 9);
}

#[test]
fn with_many_upstreams_a_proxy_uses_and_probes_a_subset_and_all_are_used_alike() {
    let entries: Vec<_> = (0..120)
        .map(|at| entry(&format!("a{at}"), "model", "a"))
        .collect();
    let mut uses: BTreeMap<String, usize> = BTreeMap::new();
    for proxy in 0..400 {
        let settings = common::SETTINGS.replace("front-a-1", &format!("front-a-{proxy}"));
        let settings = Settings::parse(settings.into_bytes()).expect("good settings");
        let mut balancer = uncounted_balancer(&settings, proxy, entries.clone());
        let subset_size = balancer.policy.local_subset_size;
        assert_eq!(balancer.probes_due(0.0).len(), subset_size);
        let picked = picks(&mut balancer, "/letters/1", 100);
        assert!(picked.len() <= subset_size, "{picked:?}");
        picked
            .into_keys()
            .for_each(|name| *uses.entry(name).or_default() += 1);
    }
    assert_eq!(uses.len(), 120);
    // 20 in the mean, as many proxies as there are.
    assert!(
        uses.values().all(|count| (6..=40).contains(count)),
        "{uses:?}"
    );
}

#[test]
fn an_upstream_of_the_subset_that_fails_is_replaced_probed_on_and_comes_back() {
    let entries: Vec<_> = (0..40)
        .map(|at| entry(&format!("a{at}"), "model", "a"))
        .collect();
    let mut balancer = balancer(entries);
    probe_all(&mut balancer, 0.0);
    let before: BTreeSet<String> = picks(&mut balancer, "/letters/1", 200)
        .into_keys()
        .collect();
    let lost = before.first().cloned().expect("some are used");
    let index = index_of(&balancer, &lost);
    for _ in 0..2 {
        balancer.send_started(index);
        balancer.send_finished(10.0, index, SendOutcome::ConnectionFailed);
    }
    let after: BTreeSet<String> = picks(&mut balancer, "/letters/1", 200)
        .into_keys()
        .collect();
    assert_eq!(before.difference(&after).collect::<Vec<_>>(), [&lost]);
    assert_eq!(after.difference(&before).count(), 1);
    assert!(balancer
        .probes_due(500.0)
        .iter()
        .any(|probe| probe.upstream == index));
    balancer.probe_finished(501.0, index, Some(1.0));
    let again: BTreeSet<String> = picks(&mut balancer, "/letters/1", 200)
        .into_keys()
        .collect();
    assert!(again.contains(&lost));
}

#[test]
fn a_subset_without_capacity_is_no_reason_to_reject() {
    let entries: Vec<_> = (0..20)
        .map(|at| entry(&format!("a{at}"), "model", "a"))
        .collect();
    let mut balancer = balancer(entries);
    probe_all(&mut balancer, 0.0);
    let unbound = request(&balancer, "/letters/1", &[]);
    // Twenty upstreams of four slots, half as many again queue.
    for at in 0..120 {
        let Placement::Send(index) = balancer.choose_upstream(1000.0, &unbound, &[]) else {
            panic!("no room after {at}")
        };
        balancer.send_started(index);
    }
    assert_eq!(
        balancer.choose_upstream(1000.0, &unbound, &[]),
        Placement::Wait
    );
}

/// Takes all probes that are under way for lost.
fn forget_probes(balancer: &mut Balancer) {
    let all = balancer.upstreams.all_mut();
    all.iter_mut().for_each(|upstream| upstream.probing = false);
}

#[test]
fn another_region_is_probed_only_while_requests_go_there() {
    let mut balancer = balancer(fleet());
    let far = |balancer: &mut Balancer, now: f64| {
        let due = balancer.probes_due(now);
        due.iter()
            .filter(|probe| balancer.upstreams.get(probe.upstream).region == "south")
            .count()
    };
    assert_eq!(far(&mut balancer, 0.0), 1, "one measures the way");
    let south = index_of(&balancer, "c0");
    balancer.probe_finished(50.0, south, Some(110.0));
    forget_probes(&mut balancer);
    assert_eq!(far(&mut balancer, 60.0), 0, "nothing goes there");
    let near = indices_in_north(&balancer);
    near.iter()
        .for_each(|index| (0..4).for_each(|_| balancer.send_started(*index)));
    let unbound = request(&balancer, "/letters/1", &[]);
    let Placement::Send(index) = balancer.choose_upstream(1000.0, &unbound, &[]) else {
        panic!("the far region has room")
    };
    assert_eq!(balancer.upstreams.get(index).region, "south");
    assert_eq!(
        far(&mut balancer, 1001.0),
        balancer.policy.remote_subset_size - 1,
        "all but the one that was just probed"
    );
    let over = 1000.0 + balancer.policy.remote_probe_window_ms;
    forget_probes(&mut balancer);
    assert!(far(&mut balancer, over) > 0);
    forget_probes(&mut balancer);
    assert_eq!(
        far(&mut balancer, over + 1.0),
        0,
        "none went there for long"
    );
}

#[test]
fn a_long_prompt_goes_to_another_region_by_the_round_trip_that_was_measured() {
    let owner_regions = |trip: Option<f64>| {
        let mut balancer = balancer(fleet());
        if let Some(trip) = trip {
            let south = index_of(&balancer, "c0");
            balancer.record_round_trip(1.0, south, trip);
        }
        let mut regions = BTreeSet::new();
        for key in 1..=200 {
            let prefix = format!("{key:x}:13300,ff:3720");
            let unbound = request(&balancer, "/letters/1", &[("Prompt-Prefix", &prefix)]);
            if let Placement::Send(index) = balancer.choose_upstream(1.0, &unbound, &[]) {
                regions.insert(balancer.upstreams.get(index).region.clone());
            }
        }
        regions.len()
    };
    assert_eq!(
        owner_regions(None),
        2,
        "one that was never reached is tried"
    );
    assert_eq!(owner_regions(Some(110.0)), 2);
    assert_eq!(
        owner_regions(Some(700.0)),
        1,
        "two such round trips take more than the latency target, and local upstreams are free"
    );
}
