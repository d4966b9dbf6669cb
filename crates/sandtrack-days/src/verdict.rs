//! What came out of a played day: read from the bench's report, and from the log lines for what no rule of it counts.

use std::collections::BTreeMap;

use simd_json::prelude::*;
use simd_json::OwnedValue;
use thiserror::Error;

/// A process that reports a pause of this long was stopped from outside or starved.
const LONG_PAUSE_MS: u64 = 2_000;
/// An order that is applied within this time of a woken process may be one that lay in its sockets.
const AFTER_PAUSE_S: f64 = 1.0;
/// An order is expected within this time of the operator's begin or finish.
const ORDER_S: f64 = 1.0;
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
    /// Times at which the operator began or finished an evacuation.
    pub evacuation_s: Vec<f64>,
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
            evacuation_s: evacuations(&value),
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
    let Some(value) = value else { return Vec::new() };
    if let Some(object) = value.as_object() {
        return object.iter().map(|(key, entry)| format!("{key}: {}", entry.encode())).collect();
    }
    let array = value.as_array().into_iter().flatten();
    array.map(Writable::encode).collect()
}

fn evacuations(value: &OwnedValue) -> Vec<f64> {
    let mut times = Vec::new();
    for event in value.get_array("events").into_iter().flatten() {
        if event.get_str("kind").is_some_and(|kind| kind.starts_with("evacuate")) {
            times.extend(["at_s", "to_s"].iter().filter_map(|key| event.get(*key)?.cast_f64()));
        }
    }
    times
}

/// Reads the lines that the processes wrote and tells what looks wrong and no rule counts.
pub fn suspicions(log: &str, report: &Report) -> Vec<String> {
    let mut reader = LogReader::default();
    for line in log.lines() {
        if let Some(line) = Line::parse(line) {
            reader.read(&line, report);
        }
    }
    reader.finish()
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
        Some(Line { at_s: at.parse().ok()?, process, text })
    }
}

#[derive(Default)]
struct LogReader<'l> {
    found: Vec<String>,
    /// Number and version that each process applied last.
    applied: BTreeMap<&'l str, (u64, u64)>,
    /// Version of each number when it was first applied anywhere.
    versions: BTreeMap<u64, u64>,
    /// Version of the configuration that each proxy has in force.
    in_force: BTreeMap<&'l str, u64>,
    pauses: BTreeMap<&'l str, usize>,
    last_long_pause_s: Option<f64>,
}

impl<'l> LogReader<'l> {
    fn read(&mut self, line: &Line<'l>, report: &Report) {
        if line.text.contains("panicked") {
            self.found.push(format!("{:.3} {} panicked: {}", line.at_s, line.process, line.text));
        }
        if line.text.contains("program\",\"event\":\"serving") {
            self.applied.remove(line.process);
        }
        if line.text.contains("\"event\":\"proxy started") {
            self.in_force.remove(line.process);
        }
        if let Some(version) = number_after(line.text, "\"configuration ") {
            self.put_in_force(line, version);
        }
        if let Some(pause_ms) = number_after(line.text, "did not run for ") {
            *self.pauses.entry(line.process).or_default() += 1;
            if pause_ms >= LONG_PAUSE_MS {
                self.last_long_pause_s = Some(line.at_s);
            }
        }
        if let (Some(number), Some(version)) =
            (number_after(line.text, "\"number "), number_after(line.text, ": version "))
        {
            self.apply(line, number, version, report);
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

    fn apply(&mut self, line: &Line<'l>, number: u64, version: u64, report: &Report) {
        if let Some((number_before, version_before)) = self.applied.insert(line.process, (number, version)) {
            if number <= number_before || version < version_before {
                let before = format!("number {number_before}, version {version_before}");
                self.found.push(format!(
                    "{:.3} {} goes back from {before} to number {number}, version {version}",
                    line.at_s, line.process
                ));
            }
        }
        match self.versions.insert(number, version) {
            Some(other) if other != version => self.found.push(format!(
                "{:.3} {} applies number {number} as version {version}, another applied it as version {other}",
                line.at_s, line.process
            )),
            Some(_) => {}
            None => self.first_application(line, number, version, report),
        }
    }

    /// An order that leaves the version as it was is an evacuation's begin or finish; right after a process woke, and away
    /// from both, nobody ordered it then.
    fn first_application(&mut self, line: &Line<'l>, number: u64, version: u64, report: &Report) {
        let is_evacuation = number > 1 && self.versions.get(&(number - 1)) == Some(&version);
        let woken = self.last_long_pause_s.is_some_and(|at_s| line.at_s - at_s < AFTER_PAUSE_S);
        let expected = report.evacuation_s.iter().any(|at_s| (0.0..ORDER_S).contains(&(line.at_s - at_s)));
        if is_evacuation && woken && !expected {
            self.found.push(format!(
                "{:.3} {} applies number {number} right after a process woke: ordered by nobody then?",
                line.at_s, line.process
            ));
        }
    }

    fn finish(mut self) -> Vec<String> {
        for (process, pauses) in &self.pauses {
            if *pauses >= PAUSES {
                self.found.push(format!("{process} reports {pauses} times that it did not run"));
            }
        }
        self.found
    }
}

/// The digits right after the first `mark` in `text`.
fn number_after(text: &str, mark: &str) -> Option<u64> {
    let (_, rest) = text.split_once(mark)?;
    let end = rest.find(|byte: char| !byte.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}
