//! Drawing a day from a seed.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::day::{Closing, Day, Entry};
use crate::kinds::{Field, Kind, Plane, Section, CLOSINGS, KINDS};
use crate::site::Site;

/// Length of a long day, in seconds.
const LONG_DAY_S: f64 = 120.0;
/// Quiet seconds at the end of a day, so that troubles are over when the closing fault strikes.
const TAIL_S: f64 = 4.0;
const CLOSING_SHARE: f64 = 0.75;
/// Spread of the entries that strike at one moment, in seconds.
const MOMENT_S: f64 = 0.3;
/// A loss that is put off has this share of the day at most: the bench lets losses wait for each other.
const LOSS_SHARE: f64 = 0.9;

/// The shape of a day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shape {
    /// Troubles at any time.
    Mixed,
    /// Several troubles at one moment, twice a day.
    Moments,
    /// Orders of all kinds while answers are lost and a machine stands still or is cut off.
    Orders,
    /// One member of the core after another is replaced or wiped.
    Replacements,
    /// Two minutes, some hundreds of changes, members lost and replaced throughout.
    Long,
}

const SHAPES: &[(Shape, u32)] = &[
    (Shape::Mixed, 8),
    (Shape::Moments, 6),
    (Shape::Orders, 6),
    (Shape::Replacements, 3),
    (Shape::Long, 2),
];

/// The day of `seed` on `site`: the same for the same arguments, byte for byte.
pub fn day(seed: u64, site: &Site) -> Day {
    let mut draw = Draw {
        rng: Pcg64Mcg::seed_from_u64(seed),
        site,
        length_s: site.length_s,
        spent_s: 0.0,
    };
    let shape = draw.shape();
    if shape == Shape::Long {
        draw.length_s = LONG_DAY_S;
    }
    let mut entries = match shape {
        Shape::Mixed => draw.mixed(),
        Shape::Moments => draw.moments(),
        Shape::Orders => draw.orders(),
        Shape::Replacements => draw.replacements(),
        Shape::Long => draw.long(),
    };
    entries.sort_by(|one, other| one.1.at_s.total_cmp(&other.1.at_s));
    let section = |wanted| {
        let here = entries.iter().filter(|(kind, _)| kind.section == wanted);
        here.map(|(_, entry)| entry.clone()).collect()
    };
    Day {
        name: format!("drawn-{seed}"),
        seed: draw.rng.gen_range(1..1 << 28),
        length_s: draw.length_s,
        closing: draw.closing(),
        plan: section(Section::Plan),
        faults: section(Section::Faults),
    }
}

type Drawn = (&'static Kind, Entry);

struct Draw<'s> {
    rng: Pcg64Mcg,
    site: &'s Site,
    length_s: f64,
    /// Seconds of the day for which a counted machine is lost by the entries drawn so far.
    spent_s: f64,
}

impl Draw<'_> {
    fn shape(&mut self) -> Shape {
        SHAPES
            .choose_weighted(&mut self.rng, |shape| shape.1)
            .map_or(Shape::Mixed, |shape| shape.0)
    }

    fn mixed(&mut self) -> Vec<Drawn> {
        let mut entries = Vec::new();
        for _ in 0..self.rng.gen_range(4..9) {
            self.push_any(&mut entries, Plane::Control, None);
        }
        for _ in 0..self.rng.gen_range(1..5) {
            self.push_any(&mut entries, Plane::Data, None);
        }
        entries
    }

    fn moments(&mut self) -> Vec<Drawn> {
        let mut entries = Vec::new();
        for _ in 0..2 {
            let moment_s = self.anywhere();
            for _ in 0..self.rng.gen_range(3..6) {
                self.push_any(&mut entries, Plane::Control, Some(moment_s));
            }
            self.push_any(&mut entries, Plane::Data, Some(moment_s));
        }
        entries
    }

    fn orders(&mut self) -> Vec<Drawn> {
        let mut entries = Vec::new();
        for _ in 0..self.rng.gen_range(2..4) {
            let moment_s = self.anywhere();
            self.push(&mut entries, "ack_lost", Some(moment_s));
            let trouble = [
                "node_freeze",
                "core_cut",
                "node_kill",
                "disk_stall",
                "zone_cut",
            ];
            if let Some(name) = trouble.choose(&mut self.rng) {
                self.push(&mut entries, name, Some(moment_s));
            }
            let orders = [
                "evacuate",
                "config_race",
                "config_storm",
                "config_change",
                "bad_config",
                "big_config",
            ];
            for name in orders.choose_multiple(&mut self.rng, 3) {
                self.push(&mut entries, name, Some(moment_s));
            }
        }
        self.push_any(&mut entries, Plane::Data, None);
        entries
    }

    fn replacements(&mut self) -> Vec<Drawn> {
        let mut entries = Vec::new();
        for _ in 0..self.rng.gen_range(3..6) {
            let names = [
                "replace_core",
                "replace_core",
                "after_ack_wipe",
                "after_ack_kill",
                "roll_term",
            ];
            if let Some(name) = names.choose(&mut self.rng) {
                self.push(&mut entries, name, None);
            }
        }
        for name in ["config_storm", "config_race", "ack_lost"] {
            self.push(&mut entries, name, None);
        }
        self.push_any(&mut entries, Plane::Control, None);
        entries
    }

    fn long(&mut self) -> Vec<Drawn> {
        let mut entries = Vec::new();
        self.push(&mut entries, "config_storm", Some(1.0));
        if let Some((_, storm)) = entries.last_mut() {
            // All day, some hundreds of changes.
            storm.for_s = None;
            storm.count = Some(self.rng.gen_range(150..400));
            storm.gap_s = Some(self.rng.gen_range(0.2..0.3));
        }
        for _ in 0..self.rng.gen_range(8..16) {
            self.push_any(&mut entries, Plane::Control, None);
        }
        for _ in 0..self.rng.gen_range(2..6) {
            self.push_any(&mut entries, Plane::Data, None);
        }
        entries
    }

    /// Adds one entry of any kind of `plane`, near `moment_s` or anywhere.
    fn push_any(&mut self, entries: &mut Vec<Drawn>, plane: Plane, moment_s: Option<f64>) {
        let contracts = &self.site.contracts;
        let fitting: Vec<&'static Kind> = KINDS
            .iter()
            .filter(|kind| kind.plane == plane && kind.fits(contracts))
            .collect();
        if let Some(kind) = fitting.choose(&mut self.rng) {
            self.push_kind(entries, kind, moment_s);
        }
    }

    /// Adds one entry of the first kind of that name.
    fn push(&mut self, entries: &mut Vec<Drawn>, name: &str, moment_s: Option<f64>) {
        if let Some(kind) = KINDS.iter().find(|kind| kind.name == name) {
            self.push_kind(entries, kind, moment_s);
        }
    }

    /// Adds one entry of `kind`, unless the losses of the day would no longer fit into it one after another.
    fn push_kind(&mut self, entries: &mut Vec<Drawn>, kind: &'static Kind, moment_s: Option<f64>) {
        let entry = self.entry(kind, moment_s);
        if kind.loses_core {
            let lost_s = entry.for_s.or(entry.x).unwrap_or(0.0) + self.site.catch_up_s;
            let room_s =
                self.length_s * LOSS_SHARE * f64::from(self.site.tolerated_machines.max(1));
            if self.spent_s + lost_s > room_s {
                return;
            }
            self.spent_s += lost_s;
        }
        entries.push((kind, entry));
    }

    fn anywhere(&mut self) -> f64 {
        self.rng.gen_range(1.0..self.length_s - TAIL_S)
    }

    fn entry(&mut self, kind: &'static Kind, moment_s: Option<f64>) -> Entry {
        let at_s = match moment_s {
            Some(moment_s) => moment_s + self.rng.gen_range(0.0..MOMENT_S),
            None => self.anywhere(),
        };
        let mut entry = Entry {
            at_s,
            kind: kind.name,
            how: self.how(kind),
            ..Entry::default()
        };
        for field in kind.fields {
            self.fill(&mut entry, *field);
        }
        entry
    }

    fn how(&mut self, kind: &Kind) -> String {
        let mut words = Vec::new();
        for (chance, choices) in kind.how {
            if self.rng.gen_bool(*chance) {
                words.extend(choices.choose(&mut self.rng).copied());
            }
        }
        words.join(" ")
    }

    fn fill(&mut self, entry: &mut Entry, field: Field) {
        match field {
            Field::Duration(low, high) => entry.for_s = Some(self.rng.gen_range(low..=high)),
            Field::Gap(low, high) => entry.gap_s = Some(self.rng.gen_range(low..=high)),
            Field::Share(low, high) => entry.share = Some(self.rng.gen_range(low..=high)),
            Field::Count(low, high) => entry.count = Some(self.rng.gen_range(low..=high)),
            Field::Strength(low, high) => entry.x = Some(self.rng.gen_range(low..=high)),
            Field::Zone => entry.zone = self.site.zones.choose(&mut self.rng).cloned(),
            Field::ToZone => entry.to_zone = self.other_zone(entry.zone.as_deref()),
            Field::Service => entry.service = self.site.services.choose(&mut self.rng).cloned(),
            Field::Class => entry.class = self.site.classes.choose(&mut self.rng).cloned(),
            Field::OnCore => entry.on = Some("core"),
        }
    }

    fn other_zone(&mut self, taken: Option<&str>) -> Option<String> {
        let others: Vec<&String> = self
            .site
            .zones
            .iter()
            .filter(|zone| Some(zone.as_str()) != taken)
            .collect();
        others.choose(&mut self.rng).map(|zone| (*zone).clone())
    }

    fn closing(&mut self) -> Option<Closing> {
        if !self.rng.gen_bool(CLOSING_SHARE) {
            return None;
        }
        let (kind, hows) = CLOSINGS.choose(&mut self.rng)?;
        Some(Closing {
            kind,
            down_s: self.rng.gen_range(0.5..1.6),
            how: hows.choose(&mut self.rng)?,
        })
    }
}
