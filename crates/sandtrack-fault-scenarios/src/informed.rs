//! What an informed scheduler could have earned on a day: one that sees every queue, knows the size of each prompt as it
//! comes, and loses no time to probes or to deciding. A bound to measure the distance to, worked out from the day's own load
//! and upstreams as the site file has them. Assumptions, all of them in the scheduler's favour:
//!
//! - every shared part of a prompt is kept wherever the request goes: only its own tokens are read;
//! - an upstream reads one prompt after another in the order of their arrival, and what it streams meanwhile costs nothing and
//!   pauses for nothing;
//! - a connection stands already: a request costs one way there and one way back;
//! - what is lost with a zone, a region or an upstream is known at that moment, and what ran there then is lost only if it may
//!   run once; where the day leaves the place to its seed, the one of middle size goes;
//! - nothing but machines has a price.
//!
//! Pure: the same site, day and seed give the same figures.
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use thiserror::Error;
use toml::{Table, Value};

/// Width of the windows of which the two worst count, in s.
const WINDOW_S: f64 = 2.0;
/// Part of a kind's largest requests that counts as a kind by itself.
const LARGEST: f64 = 0.1;
/// Worth of a generation: a fixed part, a part by size, and the most, as multiples of its kind's worth (RULES.md).
const WORTH_FIXED: f64 = 0.3;
const WORTH_BY_SIZE: f64 = 0.7;
const WORTH_MOST: f64 = 4.0;
/// Tokens out count this many times one in (RULES.md).
const OUT_COUNTS: f64 = 10.0;

/// Why a day can't be worked out.
#[derive(Debug, Error)]
pub enum InformedError {
    /// The site file is no TOML.
    #[error("the site file is no TOML: {0}")]
    Syntax(#[from] toml::de::Error),
    /// A field is missing.
    #[error("the site file has no usable `{0}`")]
    Missing(String),
}

/// What came of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Earned {
    /// Part of the worth owed that was earned over the day, in the two worst windows and by the worst kind of request.
    pub whole_day: f64,
    pub worst_windows: f64,
    pub worst_class: f64,
    /// By kind of request.
    pub classes: Vec<(String, f64)>,
    /// Worth owed, in the site's unit: prices are divided by it.
    pub owed: f64,
}

/// One upstream.
struct Upstream {
    zone: usize,
    speed: f64,
    free_at_ms: f64,
    /// From and until, in ms.
    out: Vec<(f64, f64)>,
}

impl Upstream {
    fn is_out(&self, at_ms: f64) -> bool {
        self.out
            .iter()
            .any(|(from, until)| (*from..*until).contains(&at_ms))
    }
}

/// One request that was answered or lost.
struct Outcome {
    class: usize,
    at_s: f64,
    size: f64,
    owed: f64,
    earned: f64,
}

fn number(table: &Table, path: &str) -> Result<f64, InformedError> {
    let mut value = None;
    let mut here = Some(table);
    for key in path.split('.') {
        value = here.and_then(|table| table.get(key));
        here = value.and_then(Value::as_table);
    }
    let number = value.and_then(|value| {
        value
            .as_float()
            .or(value.as_integer().map(|whole| whole as f64))
    });
    number.ok_or(InformedError::Missing(path.to_owned()))
}

fn number_or(table: &Table, path: &str, default: f64) -> f64 {
    number(table, path).unwrap_or(default)
}

fn text<'t>(table: &'t Table, key: &str) -> &'t str {
    table.get(key).and_then(Value::as_str).unwrap_or_default()
}

fn texts<'t>(table: &'t Table, key: &str) -> Vec<&'t str> {
    table
        .get(key)
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect()
}

fn tables<'t>(table: &'t Table, key: &str) -> Vec<&'t Table> {
    table
        .get(key)
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
        .filter_map(Value::as_table)
        .collect()
}

/// A draw of a log-normal distribution with this mean, spread of its logarithm and most.
fn log_normal(rng: &mut impl Rng, mean: f64, spread: f64, most: f64) -> f64 {
    let (one, other): (f64, f64) = (rng.gen_range(f64::MIN_POSITIVE..1.0), rng.gen());
    let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * other).cos();
    (mean * (spread * normal - spread * spread / 2.0).exp()).min(most)
}

/// A size as a site file has it: `mean`, `spread`, `max`.
fn size(rng: &mut impl Rng, table: Option<&Value>) -> f64 {
    let Some(table) = table.and_then(Value::as_table) else {
        return 0.0;
    };
    let mean = number_or(table, "mean", 0.0);
    log_normal(
        rng,
        mean,
        number_or(table, "spread", 0.0),
        number_or(table, "max", f64::INFINITY),
    )
}

/// Zones of a site, and the region of each.
struct Places {
    zones: Vec<String>,
    regions: Vec<String>,
}

impl Places {
    fn of(site: &Table) -> Places {
        let zones = tables(site, "zones");
        Places {
            zones: zones
                .iter()
                .map(|zone| text(zone, "name").to_owned())
                .collect(),
            regions: zones
                .iter()
                .map(|zone| text(zone, "region").to_owned())
                .collect(),
        }
    }

    fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone == name)
    }

    /// The region of middle size by these upstreams.
    fn middle_region(&self, upstreams: &[Upstream]) -> String {
        let mut regions = self.regions.clone();
        regions.sort_unstable();
        regions.dedup();
        let count = |region: &String| {
            upstreams
                .iter()
                .filter(|upstream| self.regions[upstream.zone] == *region)
                .count()
        };
        regions.sort_by_key(count);
        regions.get(regions.len() / 2).cloned().unwrap_or_default()
    }
}

/// Takes upstreams out for as long as the day's troubles have them out.
fn strike(day: &Table, service: &str, places: &Places, upstreams: &mut [Upstream]) {
    let middle = places.middle_region(upstreams);
    let troubles = [tables(day, "faults"), tables(day, "plan")].concat();
    for trouble in troubles {
        let from = number_or(trouble, "at", 0.0) * 1000.0;
        let until = from + number_or(trouble, "for_s", 5.0) * 1000.0;
        let zone = places.zone(text(trouble, "zone"));
        let named = text(trouble, "region");
        let region = if named.is_empty() {
            middle.as_str()
        } else {
            named
        };
        let of_it = text(trouble, "service").is_empty() || text(trouble, "service") == service;
        let share = number_or(trouble, "share", 0.15);
        // Spread evenly over the places of the list.
        let step = (1.0 / share.max(f64::MIN_POSITIVE)).round().max(1.0) as usize;
        for (place, upstream) in upstreams.iter_mut().enumerate() {
            let is_out = match text(trouble, "kind") {
                "region_loss" => places.regions[upstream.zone] == region,
                "zone_loss" | "evacuate" | "cold_return" => upstream.zone == zone.unwrap_or(0),
                "srv_crash" | "srv_flap" => of_it && place % step == 0,
                _ => false,
            };
            if is_out {
                upstream.out.push((from, until));
            }
        }
    }
}

/// Works out the day called `day_name`.
///
/// # Errors
/// Where the site file lacks what is needed.
pub fn informed(site: &str, day_name: &str, seed: u64) -> Result<Earned, InformedError> {
    let site: Table = site.parse()?;
    let missing = |what: &str| InformedError::Missing(what.to_owned());
    let day = tables(&site, "day")
        .into_iter()
        .find(|day| text(day, "name") == day_name);
    let day = day.ok_or_else(|| missing(&format!("day {day_name}")))?;
    let places = Places::of(&site);
    let classes = tables(&site, "classes");
    let services = tables(&site, "services");
    let mut upstreams: Vec<Vec<Upstream>> = Vec::new();
    for service in &services {
        let speeds: Vec<f64> = service
            .get("speeds")
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
            .filter_map(Value::as_float)
            .collect();
        let mut of_it = Vec::new();
        for entry in tables(service, "servers") {
            let zone = places
                .zone(text(entry, "zone"))
                .ok_or_else(|| missing("services.servers.zone"))?;
            for _ in 0..number(entry, "count")? as usize {
                let speed = speeds
                    .get(of_it.len() % speeds.len().max(1))
                    .copied()
                    .unwrap_or(1.0);
                of_it.push(Upstream {
                    zone,
                    speed,
                    free_at_ms: 0.0,
                    out: Vec::new(),
                });
            }
        }
        strike(day, text(service, "name"), &places, &mut of_it);
        upstreams.push(of_it);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let length = number(&site, "length_s")?;
    let mut arrivals = arrivals(&mut rng, &site, day, &places, length);
    arrivals.sort_by(|one, other| one.0.total_cmp(&other.0));
    let net = |field: &str| number_or(&site, &format!("net.{field}"), 0.0);
    let mut outcomes = Vec::new();
    for (at_s, zone, class_name) in arrivals {
        let Some(class_at) = classes
            .iter()
            .position(|class| text(class, "name") == class_name)
        else {
            continue;
        };
        let class = classes[class_at];
        let at = at_s * 1000.0;
        let service_at = services
            .iter()
            .position(|service| text(service, "name") == text(class, "service"));
        let service_at = service_at.ok_or_else(|| missing("classes.service"))?;
        let homes = texts(class, "homes");
        let worth = number(class, "worth")?;
        let (work, request_size, usual_size) = work(&mut rng, class, services[service_at]);
        let way = |upstream: &Upstream| match (
            upstream.zone == zone,
            places.regions[upstream.zone] == places.regions[zone],
        ) {
            (true, _) => net("in_zone_ms"),
            (_, true) => net("cross_zone_ms"),
            _ => net("cross_region_ms"),
        };
        let answer = |upstream: &Upstream| {
            let begins = (at + way(upstream) + net("client_ms")).max(upstream.free_at_ms);
            let read = begins + work.read_ms * upstream.speed;
            (
                read,
                read + work.then_ms * upstream.speed + way(upstream) + net("client_ms"),
            )
        };
        let usable = |upstream: &&mut Upstream| {
            !upstream.is_out(at)
                && (homes.is_empty() || homes.contains(&places.regions[upstream.zone].as_str()))
        };
        let best = upstreams[service_at]
            .iter_mut()
            .filter(usable)
            .min_by(|one, other| answer(one).1.total_cmp(&answer(other).1));
        let owed = worth_of(worth, request_size, usual_size);
        let resumable = class
            .get("stream")
            .and_then(Value::as_table)
            .and_then(|stream| stream.get("resume"));
        let once = resumable.and_then(Value::as_bool) != Some(true);
        let earned = match best {
            None => 0.0,
            Some(upstream) => {
                let (read, answered) = answer(upstream);
                if work.read_ms > 0.0 {
                    upstream.free_at_ms = read;
                }
                let struck = upstream
                    .out
                    .iter()
                    .any(|(from, _)| (at..answered).contains(from));
                let failed = rng.gen::<f64>() < number_or(class, "error_share", 0.0);
                let took = answered - at;
                if struck && once || failed || took > number(class, "deadline_ms")? {
                    0.0
                } else if took <= number(class, "aim_ms")? {
                    owed
                } else {
                    owed * number(class, "late_worth")? / worth
                }
            }
        };
        outcomes.push(Outcome {
            class: class_at,
            at_s,
            size: request_size,
            owed,
            earned,
        });
    }
    let names = classes
        .iter()
        .map(|class| text(class, "name").to_owned())
        .collect();
    Ok(earned(&outcomes, names, length))
}

/// What one request costs at its upstream, in ms: reading, which others wait for, and what follows to the first part.
struct Work {
    read_ms: f64,
    then_ms: f64,
}

/// The work of a drawn request, its size, and the usual size of its kind.
fn work(rng: &mut impl Rng, class: &Table, service: &Table) -> (Work, f64, f64) {
    let Some(engine) = service.get("llm").and_then(Value::as_table) else {
        let work = size(rng, class.get("work_ms")).max(1.0);
        return (
            Work {
                read_ms: 0.0,
                then_ms: work,
            },
            1.0,
            1.0,
        );
    };
    let empty = Table::new();
    let stream = class
        .get("stream")
        .and_then(Value::as_table)
        .unwrap_or(&empty);
    let chain = tables(stream, "chain");
    let mean = |table: Option<&Value>| {
        table
            .and_then(Value::as_table)
            .map_or(0.0, |table| number_or(table, "mean", 0.0))
    };
    let shared: f64 = chain.iter().map(|part| mean(part.get("tokens"))).sum();
    let own = size(rng, stream.get("prompt_tokens"));
    let stride = number_or(engine, "stride", 1.0);
    let out = size(rng, stream.get("pieces")) * stride;
    let usual = shared
        + mean(stream.get("prompt_tokens"))
        + OUT_COUNTS * mean(stream.get("pieces")) * stride;
    let linear = own / number_or(engine, "prefill_tokens_per_ms", f64::INFINITY);
    let pairs = own * (shared + own / 2.0) / 1e6 * number_or(engine, "pairs_ms_per_m", 0.0);
    let work = Work {
        read_ms: linear + pairs,
        then_ms: number_or(engine, "first_ms", 0.0),
    };
    (work, shared + own + OUT_COUNTS * out, usual)
}

fn worth_of(worth: f64, size: f64, usual: f64) -> f64 {
    worth * (WORTH_FIXED + WORTH_BY_SIZE * size / usual.max(1e-9)).min(WORTH_MOST)
}

/// Times in s, zones and kinds of the requests of a day.
fn arrivals(
    rng: &mut impl Rng,
    site: &Table,
    day: &Table,
    places: &Places,
    length: f64,
) -> Vec<(f64, usize, String)> {
    let own = tables(day, "traffic");
    let traffic = if own.is_empty() {
        tables(site, "traffic")
    } else {
        own
    };
    let mut arrivals = Vec::new();
    for stream in traffic {
        let Some(zone) = places.zone(text(stream, "zone")) else {
            continue;
        };
        let (rate, swing) = (
            number_or(stream, "per_s", 0.0),
            number_or(stream, "shape.swing", 0.0),
        );
        let (period, phase) = (
            number_or(stream, "shape.period_s", 1.0),
            number_or(stream, "shape.phase", 0.0),
        );
        let Some(mix) = stream.get("mix").and_then(Value::as_table) else {
            continue;
        };
        let parts: Vec<(&String, f64)> = mix
            .keys()
            .map(|kind| (kind, number_or(mix, kind, 0.0)))
            .collect();
        let total: f64 = parts.iter().map(|(_, part)| part).sum();
        let mut at = 0.0;
        loop {
            at += -rng.gen_range(f64::MIN_POSITIVE..1.0f64).ln() / (rate * (1.0 + swing)).max(1e-9);
            if at >= length {
                break;
            }
            let now = 1.0 + swing * (std::f64::consts::TAU * (at / period + phase)).sin();
            if rng.gen::<f64>() * (1.0 + swing) > now {
                continue;
            }
            let mut rest = rng.gen::<f64>() * total;
            let kind = parts.iter().find(|(_, part)| {
                rest -= part;
                rest < 0.0
            });
            arrivals.extend(kind.map(|(kind, _)| (at, zone, (*kind).clone())));
        }
    }
    arrivals
}

fn share<'o>(outcomes: impl Iterator<Item = &'o Outcome>) -> f64 {
    let (earned, owed) = outcomes.fold((0.0, 0.0), |(earned, owed), one| {
        (earned + one.earned, owed + one.owed)
    });
    if owed > 0.0 {
        earned / owed
    } else {
        1.0
    }
}

fn earned(outcomes: &[Outcome], names: Vec<String>, length: f64) -> Earned {
    let windows = (length / WINDOW_S).ceil() as usize;
    let window = |at: usize| {
        share(
            outcomes
                .iter()
                .filter(|one| (one.at_s / WINDOW_S) as usize == at),
        )
    };
    let mut by_window: Vec<f64> = (0..windows).map(window).collect();
    by_window.sort_by(f64::total_cmp);
    let two = &by_window[..by_window.len().min(2)];
    let mut classes = Vec::new();
    let mut worst_class = 1.0_f64;
    for (at, name) in names.into_iter().enumerate() {
        let mut of_it: Vec<&Outcome> = outcomes.iter().filter(|one| one.class == at).collect();
        of_it.sort_by(|one, other| other.size.total_cmp(&one.size));
        let largest = (of_it.len() as f64 * LARGEST) as usize;
        let all = share(of_it.iter().copied());
        worst_class = worst_class
            .min(all)
            .min(share(of_it[..largest].iter().copied()));
        classes.push((name, all));
    }
    Earned {
        whole_day: share(outcomes.iter()),
        worst_windows: two.iter().sum::<f64>() / two.len().max(1) as f64,
        worst_class,
        classes,
        owed: outcomes.iter().map(|one| one.owed).sum(),
    }
}
