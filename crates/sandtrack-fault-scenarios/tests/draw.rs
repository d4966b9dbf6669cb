//! Days drawn from seeds.

use std::collections::BTreeSet;

use sandtrack_fault_scenarios::day::{Day, Entry};
use sandtrack_fault_scenarios::draw;
use sandtrack_fault_scenarios::kinds::{Plane, CLOSINGS, KINDS};
use sandtrack_fault_scenarios::site::{Site, SiteError};
use toml::{Table, Value};

const SEEDS: u64 = 200;

fn site() -> Site {
    Site::parse(include_str!("data/site.toml")).expect("the site of these tests")
}

fn days() -> Vec<Day> {
    let site = site();
    (0..SEEDS).map(|seed| draw::day(seed, &site)).collect()
}

#[test]
fn a_site_file_is_read() {
    let site = site();
    assert_eq!(site.name, "harbour");
    assert_eq!(site.zones, ["quay", "pier", "dock"]);
    assert_eq!(site.services, ["tide-model", "berth-app"]);
    assert_eq!(site.classes, ["forecast", "booking"]);
    assert_eq!(site.contracts, ["base", "config", "health", "pool"]);
    assert_eq!(
        (site.length_s, site.catch_up_s, site.tolerated_machines),
        (30.0, 4.0, 1)
    );
}

#[test]
fn a_site_file_that_lacks_a_part_is_refused() {
    let text = include_str!("data/site.toml");
    for part in [
        "name = \"harbour\"",
        "length_s = 30.0",
        "catch_up_s = 4",
        "machines = 1",
    ] {
        let error = Site::parse(&text.replace(part, "")).expect_err(part);
        assert!(matches!(error, SiteError::Missing(_)), "{part}: {error}");
    }
    assert!(matches!(Site::parse("name ="), Err(SiteError::Syntax(_))));
}

#[test]
fn the_same_seed_gives_the_same_bytes() {
    let site = site();
    let mut texts = BTreeSet::new();
    for seed in 0..SEEDS {
        let text = draw::day(seed, &site).to_string();
        assert_eq!(text, draw::day(seed, &site).to_string(), "seed {seed}");
        texts.insert(text);
    }
    assert_eq!(texts.len() as u64, SEEDS, "two seeds gave one day");
}

#[test]
fn every_kind_and_variant_appears() {
    let days = days();
    let entries: Vec<&Entry> = days.iter().flat_map(Day::entries).collect();
    for kind in KINDS {
        let of_kind = || entries.iter().filter(|entry| entry.kind == kind.name);
        assert!(of_kind().count() > 0, "{} was never drawn", kind.name);
        for word in kind.how.iter().flat_map(|(_, words)| words.iter()) {
            assert!(
                of_kind().any(|entry| entry.how.contains(word)),
                "{} was never drawn with {word}",
                kind.name
            );
        }
    }
    for (kind, hows) in CLOSINGS {
        for how in *hows {
            let drawn = days.iter().filter_map(|day| day.closing.as_ref());
            assert!(
                drawn
                    .into_iter()
                    .any(|closing| (closing.kind, closing.how) == (*kind, *how)),
                "{kind} {how}"
            );
        }
    }
}

#[test]
fn the_text_is_toml_and_holds_all_entries() {
    for day in days() {
        let table: Table = day.to_string().parse().expect("TOML");
        let read = &table["day"][0];
        assert_eq!(read["seed"].as_integer(), Some(i64::from(day.seed)));
        assert_eq!(read["plan"].as_array().map(Vec::len), Some(day.plan.len()));
        assert_eq!(
            read["faults"].as_array().map(Vec::len),
            Some(day.faults.len())
        );
        assert_eq!(read.get("closing").is_some(), day.closing.is_some());
        for (entry, text) in day
            .faults
            .iter()
            .zip(read["faults"].as_array().into_iter().flatten())
        {
            assert_eq!(text["kind"].as_str(), Some(entry.kind));
            assert_eq!(
                text.get("how").and_then(Value::as_str).unwrap_or(""),
                entry.how
            );
            assert_eq!(
                text.get("count").and_then(Value::as_integer),
                entry.count.map(i64::from)
            );
        }
    }
}

#[test]
fn entries_stay_within_the_day_and_name_things_of_the_site() {
    let site = site();
    for day in days() {
        for entry in day.entries() {
            assert!(
                (0.0..day.length_s).contains(&entry.at_s),
                "{}: {entry}",
                day.name
            );
            assert!(
                entry.share.is_none_or(|share| (0.0..=1.0).contains(&share)),
                "{entry}"
            );
            assert!(
                entry
                    .zone
                    .iter()
                    .chain(&entry.to_zone)
                    .all(|zone| site.zones.contains(zone)),
                "{entry}"
            );
            assert!(
                entry.to_zone.is_none() || entry.zone != entry.to_zone,
                "{entry}"
            );
            assert!(
                entry
                    .service
                    .iter()
                    .all(|service| site.services.contains(service)),
                "{entry}"
            );
            assert!(
                entry.class.iter().all(|class| site.classes.contains(class)),
                "{entry}"
            );
        }
    }
}

#[test]
fn days_are_dense_on_control_and_some_are_long() {
    let days = days();
    let control: BTreeSet<&str> = KINDS
        .iter()
        .filter(|kind| kind.plane == Plane::Control)
        .map(|kind| kind.name)
        .collect();
    let all = days.iter().flat_map(Day::entries).count();
    let on_control = days
        .iter()
        .flat_map(Day::entries)
        .filter(|entry| control.contains(entry.kind))
        .count();
    assert!(
        on_control * 10 > all * 6,
        "{on_control} of {all} entries are about control"
    );
    let long = days.iter().filter(|day| day.length_s >= 120.0).count();
    assert!((1..days.len() / 4).contains(&long), "{long} long days");
    let changes = |day: &&Day| {
        day.entries()
            .any(|entry| entry.count.is_some_and(|count| count >= 150))
    };
    assert!(days
        .iter()
        .filter(|day| day.length_s >= 120.0)
        .all(|day| changes(&day)));
    let together = |day: &&Day| {
        day.entries()
            .filter(|one| (one.at_s - day.faults[0].at_s).abs() < 0.5)
            .count()
            >= 4
    };
    assert!(
        days.iter()
            .filter(|day| !day.faults.is_empty())
            .filter(together)
            .count()
            >= 40
    );
}

#[test]
fn kinds_of_a_part_that_is_not_in_force_are_left_out() {
    let site = Site {
        contracts: vec!["base".to_owned()],
        ..site()
    };
    for seed in 0..SEEDS {
        let day = draw::day(seed, &site);
        assert!(!day
            .entries()
            .any(|entry| ["srv_flap", "srv_lying_health", "idle_race"].contains(&entry.kind)));
    }
}

/// A service of which all upstreams are gone for good cannot recover, whatever the system does.
#[test]
fn no_service_is_gone_for_good_as_a_whole() {
    for day in days() {
        for entry in day.entries() {
            assert!(
                !(entry.how.contains("gone") && entry.how.contains("all")),
                "{}: {entry}",
                day.name
            );
        }
    }
}

/// The bench lets losses of counted machines wait for each other; a day that holds more than fit into it would mostly
/// not be played.
#[test]
fn losses_of_counted_machines_fit_into_the_day() {
    let site = site();
    let losing: BTreeSet<&str> = KINDS
        .iter()
        .filter(|kind| kind.loses_core)
        .map(|kind| kind.name)
        .collect();
    let also_elsewhere = ["node_kill", "node_freeze", "node_slow"];
    for day in days() {
        let losses = day.entries().filter(|entry| losing.contains(entry.kind));
        let counted = losses
            .filter(|entry| !also_elsewhere.contains(&entry.kind) || entry.on == Some("core"));
        let lost_s: f64 = counted
            .map(|entry| entry.for_s.or(entry.x).unwrap_or(0.0) + site.catch_up_s)
            .sum();
        assert!(
            lost_s <= day.length_s,
            "{}: {lost_s} s of losses in {} s",
            day.name,
            day.length_s
        );
    }
}
