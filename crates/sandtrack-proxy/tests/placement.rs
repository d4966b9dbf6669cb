//! Where requests go.
mod common;
use common::{balancer, entry, probe_all, request};
use sandtrack_protocol::frames::ToProxy;
use sandtrack_proxy::placement::balancer::SendOutcome;
use sandtrack_proxy::placement::choice::Placed;
use std::collections::{BTreeMap, BTreeSet};

fn fleet() -> Vec<sandtrack_protocol::frames::UpstreamEntry> {
    let mut all = Vec::new();
    for (zone, count) in [("a", 3), ("b", 3), ("c", 5)] {
        all.extend((0..count).map(|at| entry(&format!("{zone}{at}"), "model", zone)));
    }
    all
}

/// How often each upstream is drawn for requests that end at once.
fn draws(
    balancer: &mut sandtrack_proxy::placement::balancer::Balancer,
    target: &str,
    count: usize,
) -> BTreeMap<String, usize> {
    let mut drawn = BTreeMap::new();
    let request = request(balancer, target, &[]);
    for _ in 0..count {
        if let Placed::Send(place) = balancer.place(1000.0, &request, &[]) {
            *drawn
                .entry(balancer.upstreams.get(place).entry.identifier.clone())
                .or_default() += 1;
        }
    }
    drawn
}

/// Places of the upstreams in the own region.
fn places_in_north(balancer: &sandtrack_proxy::placement::balancer::Balancer) -> Vec<usize> {
    let upstreams = &balancer.upstreams;
    upstreams
        .listed()
        .filter(|place| upstreams.get(*place).region == "north")
        .collect()
}

#[test]
fn a_random_pick_in_the_nearest_tier_of_the_own_region() {
    let mut balancer = balancer(fleet());
    probe_all(&mut balancer, 0.0);
    let drawn = draws(&mut balancer, "/letters/1", 600);
    assert_eq!(drawn.len(), 6, "{drawn:?}");
    assert!(drawn.values().all(|count| *count > 60), "{drawn:?}");
    assert!(drawn.keys().all(|name| !name.starts_with('c')), "{drawn:?}");
}

#[test]
fn the_far_region_serves_once_the_near_one_has_no_room_but_never_a_request_with_another_home() {
    let mut balancer = balancer(fleet());
    probe_all(&mut balancer, 0.0);
    let (letter, tag) = (
        request(&balancer, "/letters/1", &[]),
        request(&balancer, "/tags/1", &[]),
    );
    let near = places_in_north(&balancer);
    near.iter()
        .for_each(|place| (0..4).for_each(|_| balancer.sent(*place)));
    let Placed::Send(place) = balancer.place(1000.0, &letter, &[]) else {
        panic!("the far region has room")
    };
    assert_eq!(balancer.upstreams.get(place).region, "south");
    let Placed::Send(place) = balancer.place(1000.0, &tag, &[]) else {
        panic!("the near one queues")
    };
    assert_eq!(balancer.upstreams.get(place).region, "north");
    near.iter()
        .for_each(|place| (0..9).for_each(|_| balancer.sent(*place)));
    assert_eq!(balancer.place(1000.0, &tag, &[]), Placed::Wait);
}

#[test]
fn draining_gone_and_evacuated_ones_get_nothing() {
    let mut balancer = balancer(fleet());
    probe_all(&mut balancer, 0.0);
    let mut draining = entry("a0", "model", "a");
    draining.draining = true;
    balancer.fold(
        1.0,
        ToProxy::Upstreams {
            whole: false,
            round: 2,
            entries: vec![draining],
            gone: vec!["a1".to_owned()],
        },
    );
    balancer.fold(
        1.0,
        ToProxy::Evacuated {
            number: 5,
            zones: vec!["b".to_owned()],
        },
    );
    let drawn = draws(&mut balancer, "/letters/1", 100);
    assert_eq!(drawn.keys().map(String::as_str).collect::<Vec<_>>(), ["a2"]);
    // An order that is older than what is known takes nothing back.
    balancer.fold(
        1.0,
        ToProxy::Evacuated {
            number: 4,
            zones: Vec::new(),
        },
    );
    assert_eq!(draws(&mut balancer, "/letters/1", 100).len(), 1);
    balancer.fold(
        1.0,
        ToProxy::Evacuated {
            number: 6,
            zones: Vec::new(),
        },
    );
    assert_eq!(draws(&mut balancer, "/letters/1", 100).len(), 4);
}

#[test]
fn two_failures_make_one_unhealthy_a_probe_restores_it_and_where_all_are_all_serve() {
    let mut balancer = balancer(vec![entry("a0", "model", "a"), entry("a1", "model", "a")]);
    probe_all(&mut balancer, 0.0);
    let place = balancer.upstreams.place("a0").expect("it is listed");
    for _ in 0..2 {
        balancer.sent(place);
        balancer.ended(10.0, place, SendOutcome::ConnectionFailed);
    }
    assert_eq!(draws(&mut balancer, "/letters/1", 50).len(), 1);
    let other = balancer.upstreams.place("a1").expect("it is listed");
    for _ in 0..2 {
        balancer.sent(other);
        balancer.ended(10.0, other, SendOutcome::ConnectionFailed);
    }
    assert_eq!(draws(&mut balancer, "/letters/1", 50).len(), 2);
    probe_all(&mut balancer, 2000.0);
    assert!(balancer.upstreams.get(place).run.is_healthy());
}

#[test]
fn a_cold_one_gets_the_share_of_one_proxy_in_any_second() {
    let mut cold = entry("a0", "model", "a");
    cold.cold_remaining_ms = 60_000;
    let mut balancer = balancer(vec![cold]);
    probe_all(&mut balancer, 0.0);
    let letter = request(&balancer, "/letters/1", &[]);
    let mut sends: Vec<f64> = Vec::new();
    for step in 0..3000 {
        let now = f64::from(step);
        if let Placed::Send(_) = balancer.place(now, &letter, &[]) {
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

/// Control counts one that it does not hear for 30 s; then others get its share.
#[test]
fn a_share_ends_where_control_was_not_heard_for_long() {
    let mut cold = entry("a0", "model", "a");
    cold.cold_remaining_ms = 120_000;
    let mut balancer = balancer(vec![cold]);
    let letter = request(&balancer, "/letters/1", &[]);
    let mut sent_within = |from: f64| {
        let steps = (0..1000).map(|step| from + f64::from(step));
        steps
            .filter(|now| matches!(balancer.place(*now, &letter, &[]), Placed::Send(_)))
            .count()
    };
    assert_eq!(sent_within(20_000.0), 4, "a twelfth of the bound");
    assert!(sent_within(29_000.0) <= 1, "as if there were a hundred");
    balancer.fold(40_000.0, ToProxy::Beat { attached: false });
    let mut sent_within = |from: f64| {
        let steps = (0..1000).map(|step| from + f64::from(step));
        steps
            .filter(|now| matches!(balancer.place(*now, &letter, &[]), Placed::Send(_)))
            .count()
    };
    assert!(
        sent_within(41_000.0) <= 1,
        "a control node that hears no majority does not know either"
    );
    balancer.fold(50_000.0, ToProxy::Beat { attached: true });
    let steps = (0..1000).map(|step| 51_000.0 + f64::from(step));
    let sent = steps
        .filter(|now| matches!(balancer.place(*now, &letter, &[]), Placed::Send(_)))
        .count();
    assert_eq!(sent, 4, "control counts it again");
}

#[test]
fn long_shared_parts_go_to_one_upstream_that_all_proxies_agree_on() {
    let mut first = balancer(fleet());
    let mut second = balancer(fleet().into_iter().rev().collect());
    probe_all(&mut first, 0.0);
    probe_all(&mut second, 0.0);
    let mut keepers: BTreeMap<String, usize> = BTreeMap::new();
    for key in 1..=700 {
        let prefix = format!("{key:x}:13300,ff{key:x}:3720");
        // Their own parts differ, the shared one counts.
        let letter = request(&first, "/letters/1", &[("Prompt-Prefix", &prefix)]);
        let name = |balancer: &mut sandtrack_proxy::placement::balancer::Balancer| match balancer
            .place(1.0, &letter, &[])
        {
            Placed::Send(place) => balancer.upstreams.get(place).entry.identifier.clone(),
            other => panic!("{other:?}"),
        };
        let home = name(&mut first);
        assert!((0..5).all(|_| name(&mut first) == home) && name(&mut second) == home);
        *keepers.entry(home).or_default() += 1;
    }
    // Tags are bound to the north, and nothing was seen of them: one there keeps half of what one in the south does, within a
    // quarter.
    assert_kept(&keepers, 0.5);
    // Much has to be read of them: now it keeps a third, as both agree.
    let tag = request(
        &first,
        "/tags/1",
        &[("Token-Counts", "900,20"), ("Prompt-Prefix", "a:900")],
    );
    for balancer in [&mut first, &mut second] {
        (0..20_000).for_each(|_| balancer.came(1.0, &tag));
    }
    keepers.clear();
    for key in 1..=700 {
        let letter = request(
            &first,
            "/letters/1",
            &[("Prompt-Prefix", &format!("{key:x}:13300,ff:3720"))],
        );
        let homes =
            [&mut first, &mut second].map(|balancer| match balancer.place(1.0, &letter, &[]) {
                Placed::Send(place) => balancer.upstreams.get(place).entry.identifier.clone(),
                other => panic!("{other:?}"),
            });
        assert_eq!(homes[0], homes[1]);
        *keepers.entry(homes[0].clone()).or_default() += 1;
    }
    assert_kept(&keepers, 0.35);
}

/// One in the north keeps so much of what one in the south does, within a quarter; and in each region all keep alike, within
/// a half.
fn assert_kept(keepers: &BTreeMap<String, usize>, expected: f64) {
    assert_eq!(keepers.len(), 11, "{keepers:?}");
    let counts = |south: bool| -> Vec<f64> {
        let of_it = keepers
            .iter()
            .filter(|(name, _)| name.starts_with('c') == south);
        of_it.map(|(_, count)| *count as f64).collect()
    };
    let mean = |counts: &[f64]| counts.iter().sum::<f64>() / counts.len() as f64;
    let (south, north) = (counts(true), counts(false));
    let ratio = mean(&north) / mean(&south);
    assert!(
        (0.75..=1.25).contains(&(ratio / expected)),
        "{ratio} {keepers:?}"
    );
    for side in [&south, &north] {
        assert!(
            side.iter()
                .all(|count| (0.5..=1.5).contains(&(count / mean(side)))),
            "{keepers:?}"
        );
    }
}

#[test]
fn nothing_goes_back_to_an_older_number() {
    let mut balancer = balancer(fleet());
    let older = common::CONFIGURATION.replace("\"version_number\":7", "\"version_number\":6");
    balancer.fold(
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
        balancer.fold(1.0, changes),
        sandtrack_proxy::placement::balancer::Folded::WantConfiguration
    );
    let changes = ToProxy::Changes {
        from_number: 3,
        number: 9,
        version: 9,
        items: Vec::new(),
        fields: Vec::new(),
    };
    assert_eq!(
        balancer.fold(1.0, changes),
        sandtrack_proxy::placement::balancer::Folded::Taken
    );
    assert_eq!(
        balancer.configuration.as_ref().map(|all| all.version),
        Some(9)
    );
}

#[test]
fn until_the_proxies_are_counted_connections_suffice_to_serve_and_cold_ones_are_spared() {
    let mut balancer = sandtrack_proxy::placement::balancer::Balancer::new(&common::settings(), 1);
    let document = common::CONFIGURATION.to_owned();
    balancer.fold(
        0.0,
        ToProxy::Configuration {
            number: 3,
            version: 7,
            document,
        },
    );
    let entries = vec![entry("a0", "model", "a"), entry("p0", "printer", "a")];
    balancer.fold(
        0.0,
        ToProxy::Upstreams {
            whole: true,
            round: 1,
            entries,
            gone: Vec::new(),
        },
    );
    let place = |balancer: &sandtrack_proxy::placement::balancer::Balancer, name| {
        balancer.upstreams.place(name).expect("it is listed")
    };
    assert_eq!(balancer.connection_share(place(&balancer, "a0")), 21);
    assert_eq!(balancer.connection_share(place(&balancer, "p0")), 7);
    assert!(balancer.cold_share(0.0, place(&balancer, "a0")) <= 1);
    balancer.fold(
        0.0,
        ToProxy::Census {
            control_nodes: Vec::new(),
            proxies: 39,
            rank: 0,
        },
    );
    assert_eq!(balancer.connection_share(place(&balancer, "a0")), 9);
}

#[test]
fn with_many_upstreams_a_proxy_uses_and_probes_few_and_all_are_used_alike() {
    let entries: Vec<_> = (0..120)
        .map(|at| entry(&format!("a{at}"), "model", "a"))
        .collect();
    let mut uses: BTreeMap<String, usize> = BTreeMap::new();
    for proxy in 0..400 {
        let settings = common::SETTINGS.replace("front-a-1", &format!("front-a-{proxy}"));
        let settings = sandtrack_protocol::settings::Settings::parse(settings.into_bytes())
            .expect("good settings");
        let mut balancer = sandtrack_proxy::placement::balancer::Balancer::new(&settings, proxy);
        let document = common::CONFIGURATION.to_owned();
        balancer.fold(
            0.0,
            ToProxy::Configuration {
                number: 3,
                version: 7,
                document,
            },
        );
        balancer.fold(
            0.0,
            ToProxy::Upstreams {
                whole: true,
                round: 1,
                entries: entries.clone(),
                gone: Vec::new(),
            },
        );
        let circle = balancer.policy.circle_near;
        assert_eq!(balancer.probes_due(0.0).len(), circle);
        let drawn = draws(&mut balancer, "/letters/1", 100);
        assert!(drawn.len() <= circle, "{drawn:?}");
        drawn
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
fn one_of_the_circle_that_fails_is_replaced_probed_on_and_comes_back() {
    let entries: Vec<_> = (0..40)
        .map(|at| entry(&format!("a{at}"), "model", "a"))
        .collect();
    let mut balancer = balancer(entries);
    probe_all(&mut balancer, 0.0);
    let before: BTreeSet<String> = draws(&mut balancer, "/letters/1", 200)
        .into_keys()
        .collect();
    let lost = before.first().cloned().expect("some are used");
    let place = balancer.upstreams.place(&lost).expect("it is listed");
    for _ in 0..2 {
        balancer.sent(place);
        balancer.ended(10.0, place, SendOutcome::ConnectionFailed);
    }
    let after: BTreeSet<String> = draws(&mut balancer, "/letters/1", 200)
        .into_keys()
        .collect();
    assert_eq!(before.difference(&after).collect::<Vec<_>>(), [&lost]);
    assert_eq!(after.difference(&before).count(), 1);
    assert!(balancer
        .probes_due(500.0)
        .iter()
        .any(|(probed, _, _)| *probed == place));
    balancer.probed(501.0, place, Some(1.0));
    let again: BTreeSet<String> = draws(&mut balancer, "/letters/1", 200)
        .into_keys()
        .collect();
    assert!(again.contains(&lost));
}

#[test]
fn a_circle_without_room_is_no_reason_to_refuse() {
    let entries: Vec<_> = (0..20)
        .map(|at| entry(&format!("a{at}"), "model", "a"))
        .collect();
    let mut balancer = balancer(entries);
    probe_all(&mut balancer, 0.0);
    let letter = request(&balancer, "/letters/1", &[]);
    // Twenty upstreams of four slots, half as many again queue.
    for at in 0..120 {
        let Placed::Send(place) = balancer.place(1000.0, &letter, &[]) else {
            panic!("no room after {at}")
        };
        balancer.sent(place);
    }
    assert_eq!(balancer.place(1000.0, &letter, &[]), Placed::Wait);
}

#[test]
fn another_region_is_probed_only_while_requests_go_there() {
    let mut balancer = balancer(fleet());
    let far = |balancer: &mut sandtrack_proxy::placement::balancer::Balancer, now: f64| {
        let due = balancer.probes_due(now);
        due.iter()
            .filter(|(place, ..)| balancer.upstreams.get(*place).region == "south")
            .count()
    };
    assert_eq!(far(&mut balancer, 0.0), 1, "one measures the way");
    let south = balancer.upstreams.place("c0").expect("it is listed");
    balancer.probed(50.0, south, Some(110.0));
    balancer
        .upstreams
        .all_mut()
        .iter_mut()
        .for_each(|upstream| upstream.probing = false);
    assert_eq!(far(&mut balancer, 60.0), 0, "nothing goes there");
    let near = places_in_north(&balancer);
    near.iter()
        .for_each(|place| (0..4).for_each(|_| balancer.sent(*place)));
    let letter = request(&balancer, "/letters/1", &[]);
    let Placed::Send(place) = balancer.place(1000.0, &letter, &[]) else {
        panic!("the far region has room")
    };
    assert_eq!(balancer.upstreams.get(place).region, "south");
    assert_eq!(
        far(&mut balancer, 1001.0),
        balancer.policy.circle_far - 1,
        "all but the one that was just probed"
    );
    let over = 1000.0 + balancer.policy.far_used_ms;
    balancer
        .upstreams
        .all_mut()
        .iter_mut()
        .for_each(|upstream| upstream.probing = false);
    assert!(far(&mut balancer, over) > 0);
    balancer
        .upstreams
        .all_mut()
        .iter_mut()
        .for_each(|upstream| upstream.probing = false);
    assert_eq!(
        far(&mut balancer, over + 1.0),
        0,
        "none went there for long"
    );
}

#[test]
fn a_long_prompt_goes_to_another_region_by_the_way_there_as_probes_or_connections_told_it() {
    let keeper_regions = |trip: Option<f64>| {
        let mut balancer = balancer(fleet());
        if let Some(trip) = trip {
            let south = balancer.upstreams.place("c0").expect("it is listed");
            balancer.note_trip(1.0, south, trip);
        }
        let mut regions = BTreeSet::new();
        for key in 1..=200 {
            let prefix = format!("{key:x}:13300,ff:3720");
            let letter = request(&balancer, "/letters/1", &[("Prompt-Prefix", &prefix)]);
            if let Placed::Send(place) = balancer.place(1.0, &letter, &[]) {
                regions.insert(balancer.upstreams.get(place).region.clone());
            }
        }
        regions.len()
    };
    assert_eq!(
        keeper_regions(None),
        2,
        "one that was never reached is tried"
    );
    assert_eq!(keeper_regions(Some(110.0)), 2);
    assert_eq!(
        keeper_regions(Some(700.0)),
        1,
        "two such ways take more than the aim, and near ones are free"
    );
}
