//! A day as data, and its text as the bench reads it (a TOML `[[day]]`).

use std::fmt::{self, Display, Formatter};

/// One trouble or one piece of planned work.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Entry {
    /// Seconds from the start of traffic.
    pub at_s: f64,
    pub kind: &'static str,
    pub on: Option<&'static str>,
    pub service: Option<String>,
    pub class: Option<String>,
    pub zone: Option<String>,
    pub to_zone: Option<String>,
    pub share: Option<f64>,
    pub count: Option<u32>,
    /// Strength; its unit depends on the kind.
    pub x: Option<f64>,
    /// Pause between the steps, in seconds.
    pub gap_s: Option<f64>,
    /// Duration in seconds.
    pub for_s: Option<f64>,
    /// Variants, apart by spaces; empty for the plain one.
    pub how: String,
}

/// What strikes at the end of a day, right after one more change was acknowledged.
#[derive(Debug, Clone, PartialEq)]
pub struct Closing {
    pub kind: &'static str,
    pub down_s: f64,
    pub how: &'static str,
}

/// A whole day.
#[derive(Debug, Clone, PartialEq)]
pub struct Day {
    pub name: String,
    pub seed: u32,
    pub length_s: f64,
    pub closing: Option<Closing>,
    pub plan: Vec<Entry>,
    pub faults: Vec<Entry>,
}

impl Day {
    /// Planned work and faults together.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.plan.iter().chain(&self.faults)
    }
}

impl Display for Day {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "[[day]]\nname = \"{}\"\nseed = {}",
            self.name, self.seed
        )?;
        writeln!(out, "length_s = {:.1}", self.length_s)?;
        if let Some(closing) = &self.closing {
            writeln!(out, "{closing}")?;
        }
        list(out, "plan", &self.plan)?;
        list(out, "faults", &self.faults)
    }
}

impl Display for Closing {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "closing = {{ kind = \"{}\", down_s = {:.2}",
            self.kind, self.down_s
        )?;
        if !self.how.is_empty() {
            write!(out, ", how = \"{}\"", self.how)?;
        }
        write!(out, " }}")
    }
}

fn list(out: &mut Formatter<'_>, name: &str, entries: &[Entry]) -> fmt::Result {
    writeln!(out, "{name} = [")?;
    for entry in entries {
        writeln!(out, "  {entry},")?;
    }
    writeln!(out, "]")
}

impl Display for Entry {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(out, "{{ at = {:.2}, kind = \"{}\"", self.at_s, self.kind)?;
        let texts = [
            ("on", self.on),
            ("service", self.service.as_deref()),
            ("class", self.class.as_deref()),
            ("zone", self.zone.as_deref()),
            ("to_zone", self.to_zone.as_deref()),
            ("how", Some(self.how.as_str()).filter(|how| !how.is_empty())),
        ];
        for (key, value) in texts {
            if let Some(value) = value {
                write!(out, ", {key} = \"{value}\"")?;
            }
        }
        if let Some(count) = self.count {
            write!(out, ", count = {count}")?;
        }
        let numbers = [
            ("share", self.share),
            ("x", self.x),
            ("gap_s", self.gap_s),
            ("for_s", self.for_s),
        ];
        for (key, value) in numbers {
            if let Some(value) = value {
                write!(out, ", {key} = {value:.2}")?;
            }
        }
        write!(out, " }}")
    }
}
