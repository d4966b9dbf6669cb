//! What came out of a played day: read from the bench's report, and from the log lines for what no rule of it counts.

use std::collections::BTreeMap;
use std::ops::Range;

use simd_json::prelude::*;
use simd_json::OwnedValue;
use thiserror::Error;

/// For so long after it ordered a finish the operator may repeat it.
const REPEATS_S: f64 = 15.0;
/// What a process applies within this time came with one write.
const ONE_WRITE_S: f64 = 0.005;
/// So many pauses reported by one process are a loop.
const PAUSES: usize = 8;

/// Why a report cannot be read.
#[derive(Debug, Error)]
#[error("the bench's report cannot be read: {0}")]
pub struct ReportError(#[from] simd_json::Error);

/// The parts of a report that count for a hunt.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Report {
    /// Worth of the day.
    pub worth: f64,
    /// Rules broken, each as the report writes it.
    pub broken_rules: Vec<String>,
    /// Parts of the gate that failed.
    pub failed_gates: Vec<String>,
    /// Processes that ended by themselves.
    pub exits: u64,
    /// What kept the bench from judging the day.
    pub fault: Option<String>,
    /// Slowest acknowledgement of an order, in milliseconds.
    pub slowest_ack_ms: u64,
    pub evacuations: Vec<Evacuation>,
}

/// An evacuation as the operator ordered it.
#[derive(Debug, Clone, PartialEq)]
pub struct Evacuation {
    pub zone: String,
    /// When it was ordered to begin.
    pub begin_s: f64,
    /// When it was ordered to be over.
    pub finish_s: f64,
}

impl Report {
    /// Reads the JSON text of a report.
    pub fn parse(text: &str) -> Result<Report, ReportError> {
        let mut bytes = text.as_bytes().to_vec();
        let value = simd_json::to_owned_value(&mut bytes)?;
        Ok(Report {
            worth: value.get_f64("G").unwrap_or(f64::NAN),
            broken_rules: entries(value.get("breaks")),
            failed_gates: entries(value.get("short")),
            exits: value.get_u64("exits_n").unwrap_or(0),
            fault: value.get_str("fault").map(str::to_owned),
            slowest_ack_ms: value.get_u64("config_ack_ms").unwrap_or(0),
            evacuations: evacuations(&value),
        })
    }

    /// Whether the day belongs among the finds.
    pub fn is_find(&self) -> bool {
        !self.broken_rules.is_empty()
            || !self.failed_gates.is_empty()
            || self.exits > 0
            || self.fault.is_some()
    }
}

/// The entries of an object or an array, each as JSON text.
fn entries(value: Option<&OwnedValue>) -> Vec<String> {
    let Some(value) = value else {
        return Vec::new();
    };
    if let Some(object) = value.as_object() {
        return object
            .iter()
            .map(|(key, entry)| format!("{key}: {}", entry.encode()))
            .collect();
    }
    let array = value.as_array().into_iter().flatten();
    array.map(Writable::encode).collect()
}

fn evacuations(value: &OwnedValue) -> Vec<Evacuation> {
    let mut found = Vec::new();
    for event in value.get_array("events").into_iter().flatten() {
        let time = |key: &str| event.get(key).and_then(ValueAsScalar::cast_f64);
        let is_evacuation = event
            .get_str("kind")
            .is_some_and(|kind| kind.starts_with("evacuate"));
        if let (true, Some(zone), Some(begin_s), Some(finish_s)) = (
            is_evacuation,
            event.get_str("what"),
            time("at_s"),
            time("to_s"),
        ) {
            found.push(Evacuation {
                zone: zone.to_owned(),
                begin_s,
                finish_s,
            });
        }
    }
    found
}

/// Reads the lines that the processes wrote and tells what looks wrong and no rule counts.
pub fn suspicions(log: &str, report: &Report) -> Vec<String> {
    let mut reader = LogReader::default();
    for line in log.lines() {
        if let Some(line) = Line::parse(line) {
            reader.read(&line);
        }
    }
    reader.finish(report)
}

/// One line of a process, as the bench prints it: time, process, text.
struct Line<'l> {
    at_s: f64,
    process: &'l str,
    text: &'l str,
}

impl Line<'_> {
    fn parse(line: &str) -> Option<Line<'_>> {
        let (at, rest) = line.trim_start().split_once(' ')?;
        let (process, text) = rest.split_once(' ')?;
        Some(Line {
            at_s: at.parse().ok()?,
            process,
            text,
        })
    }
}

/// One order as one process applied it.
struct Application<'l> {
    at_s: f64,
    process: &'l str,
    number: u64,
    version: u64,
    /// The text of the line, which names the command.
    text: &'l str,
}

#[derive(Default)]
struct LogReader<'l> {
    found: Vec<String>,
    /// The last order that each process applied.
    last: BTreeMap<&'l str, Application<'l>>,
    /// All but those that a later one of the same write follows: a process tells the version of the last of a write for
    /// each of it.
    applied: Vec<Application<'l>>,
    /// Version of the configuration that each proxy has in force.
    in_force: BTreeMap<&'l str, u64>,
    pauses: BTreeMap<&'l str, usize>,
}

impl<'l> LogReader<'l> {
    fn read(&mut self, line: &Line<'l>) {
        if line.text.contains("panicked") {
            self.found.push(format!(
                "{:.3} {} panicked: {}",
                line.at_s, line.process, line.text
            ));
        }
        if line.text.contains("program\",\"event\":\"serving") {
            self.applied.extend(self.last.remove(line.process));
        }
        if line.text.contains("\"event\":\"proxy started") {
            self.in_force.remove(line.process);
        }
        if let Some(version) = number_after(line.text, "\"configuration ") {
            self.put_in_force(line, version);
        }
        if line.text.contains("did not run for ") {
            *self.pauses.entry(line.process).or_default() += 1;
        }
        if let (Some(number), Some(version)) = (
            number_after(line.text, "\"number "),
            number_after(line.text, ": version "),
        ) {
            self.apply(line, number, version);
        }
    }

    fn put_in_force(&mut self, line: &Line<'l>, version: u64) {
        let before = self.in_force.insert(line.process, version);
        if let Some(before) = before.filter(|before| *before > version) {
            self.found.push(format!(
                "{:.3} {} goes back from configuration {before} to {version}",
                line.at_s, line.process
            ));
        }
    }

    fn apply(&mut self, line: &Line<'l>, number: u64, version: u64) {
        let application = Application {
            at_s: line.at_s,
            process: line.process,
            number,
            version,
            text: line.text,
        };
        let Some(before) = self.last.insert(line.process, application) else {
            return;
        };
        if number <= before.number || version < before.version {
            self.found.push(format!(
                "{:.3} {} goes back from number {}, version {} to number {number}, version {version}",
                line.at_s, line.process, before.number, before.version
            ));
        }
        if line.at_s - before.at_s > ONE_WRITE_S {
            self.applied.push(before);
        }
    }

    fn finish(mut self, report: &Report) -> Vec<String> {
        let mut applied = std::mem::take(&mut self.applied);
        applied.extend(std::mem::take(&mut self.last).into_values());
        applied.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
        let mut versions = BTreeMap::new();
        let mut zones = BTreeMap::new();
        for application in &applied {
            self.compare(application, &mut versions);
            self.check_evacuation(application, &mut zones, report);
        }
        for (process, pauses) in &self.pauses {
            if *pauses >= PAUSES {
                self.found.push(format!(
                    "{process} reports {pauses} times that it did not run"
                ));
            }
        }
        self.found
    }

    /// Compares an application with those before it, of any process: `versions` by number.
    fn compare(&mut self, it: &Application<'_>, versions: &mut BTreeMap<u64, u64>) {
        let other = versions
            .insert(it.number, it.version)
            .filter(|other| *other != it.version);
        if let Some(other) = other {
            self.found.push(format!(
                "{:.3} {} applies number {} as version {}, another applied it as version {other}",
                it.at_s, it.process, it.number, it.version
            ));
        }
    }

    /// Tells a begin that undoes a finish, and a finish that undoes a begin, while the operator ordered neither; `zones`:
    /// the number and whether an evacuation began with it, of the last such order of each zone.
    fn check_evacuation(
        &mut self,
        it: &Application<'l>,
        zones: &mut BTreeMap<&'l str, (u64, bool)>,
        report: &Report,
    ) {
        let Some((zone, begins)) = evacuation_in(it.text) else {
            return;
        };
        let (number, began) = zones.get(zone).copied().unwrap_or((0, false));
        if it.number <= number {
            return;
        }
        zones.insert(zone, (it.number, begins));
        let ordered = report.evacuations.iter().any(|evacuation| {
            evacuation.zone == zone && expects(report, evacuation, begins).contains(&it.at_s)
        });
        if began != begins && !ordered {
            self.found.push(format!(
                "{:.3} {} applies number {}, an evacuation of {zone} {}: ordered by nobody then",
                it.at_s,
                it.process,
                it.number,
                if begins { "begins" } else { "is over" }
            ));
        }
    }
}

/// When an order of this evacuation is expected: its begin until it was ordered to be over, its finish until the zone is
/// evacuated again.
fn expects(report: &Report, evacuation: &Evacuation, begins: bool) -> Range<f64> {
    if begins {
        return evacuation.begin_s..evacuation.finish_s + ONE_WRITE_S;
    }
    let later =
        |next: &&Evacuation| next.zone == evacuation.zone && next.begin_s > evacuation.finish_s;
    let next_s = report
        .evacuations
        .iter()
        .filter(later)
        .map(|next| next.begin_s);
    evacuation.finish_s..next_s.fold(evacuation.finish_s + REPEATS_S, f64::min)
}

/// The zone of an evacuation's order that a line names, and whether it begins.
fn evacuation_in(text: &str) -> Option<(&str, bool)> {
    let (_, rest) = text.split_once("after evacuation of ")?;
    let (zone, rest) = rest.split_once(' ')?;
    Some((zone, rest.starts_with("begins")))
}

/// The digits right after the first `mark` in `text`.
fn number_after(text: &str, mark: &str) -> Option<u64> {
    let (_, rest) = text.split_once(mark)?;
    let end = rest
        .find(|byte: char| !byte.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}
