//! What a run showed: verdicts, figures, counts second by second, as JSON and as one page that needs nothing else. It owns the
//! form, and must never leave out a verdict.
use crate::book::{Book, Second};
use crate::process::Processes;
use crate::relay::{Counts, Relay};
use crate::scenario::Scenario;
use crate::watch::{Change, Watch};
use plotters::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Over so many processes a shell is not shown each.
const LINES: usize = 30;

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Verdict {
    pub what: String,
    pub kept: bool,
    pub how: String,
}

/// One process at the end of the run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct End {
    pub name: String,
    pub runs: bool,
    pub starts: u32,
    pub view: String,
    pub reason: String,
    pub siblings: u32,
    /// How many it holds for alive, suspect, failed, left.
    pub alive: usize,
    pub suspect: usize,
    pub failed: usize,
    pub left: usize,
    /// Bytes and datagrams a second that it sent, over its life.
    pub figures: BTreeMap<String, u64>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub scenario: String,
    pub seed: u64,
    pub processes: usize,
    pub verdicts: Vec<Verdict>,
    /// Times in seconds, by the words of the scenario.
    pub figures: BTreeMap<String, Vec<f64>>,
    pub total: Second,
    pub effects: u64,
    /// Milliseconds to a served answer: middle, and the slowest of a hundred.
    pub median_ms: u64,
    pub p99_ms: u64,
    pub seconds: Vec<Second>,
    pub relay: Counts,
    pub ends: Vec<End>,
    pub changes: Vec<Change>,
}

impl Report {
    pub fn new(scenario: &Scenario) -> Self {
        Report {
            scenario: scenario.name.clone(),
            seed: scenario.seed,
            processes: scenario.processes,
            verdicts: Vec::new(),
            figures: BTreeMap::new(),
            total: Second::default(),
            effects: 0,
            median_ms: 0,
            p99_ms: 0,
            seconds: Vec::new(),
            relay: Counts::default(),
            ends: Vec::new(),
            changes: Vec::new(),
        }
    }

    pub fn verdict(&mut self, what: &str, kept: bool, how: &str) {
        self.verdicts.push(Verdict {
            what: what.to_owned(),
            kept,
            how: how.to_owned(),
        });
    }

    /// All that must hold held.
    pub fn kept(&self) -> bool {
        self.verdicts.iter().all(|verdict| verdict.kept)
    }

    pub fn broken(&self) -> Vec<String> {
        let broken = self.verdicts.iter().filter(|verdict| !verdict.kept);
        broken
            .map(|verdict| format!("{}: {}", verdict.what, verdict.how))
            .collect()
    }

    pub fn finish(&mut self, book: &Book, relay: &Relay, watch: &Watch, processes: &Processes) {
        (self.total, self.effects, self.seconds) = (book.total, book.effects, book.seconds.clone());
        (self.median_ms, self.p99_ms) = (
            book.times.value_at_quantile(0.5),
            book.times.value_at_quantile(0.99),
        );
        self.relay = relay.counts;
        self.changes = watch.changes.clone();
        self.ends = processes
            .all
            .iter()
            .enumerate()
            .map(|(number, process)| {
                let mut end = End {
                    name: process.name.clone(),
                    runs: processes.runs(number),
                    starts: process.starts,
                    view: "-".to_owned(),
                    ..End::default()
                };
                if let Some(seen) = watch.seen[number].as_ref().filter(|_| end.runs) {
                    let count =
                        |state: &str| seen.states.values().filter(|held| *held == state).count();
                    (end.view, end.reason) = (seen.view.clone(), seen.reason.clone());
                    (end.siblings, end.figures) = (seen.siblings, seen.figures.clone());
                    end.alive = count("alive") + count("joining");
                    (end.suspect, end.failed, end.left) =
                        (count("suspect"), count("failed"), count("left"));
                }
                end
            })
            .collect();
    }

    /// The table that a shell shows.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "\nPROCESS          RUNS  VIEW      ALIVE  SUSPECT  FAILED  LEFT  SIBLINGS"
        );
        let row = |end: &End| {
            let runs = if end.runs { "yes" } else { "no" };
            format!(
                "{runs:<4}  {:<8}  {:>5}  {:>7}  {:>6}  {:>4}  {:>8}",
                end.view, end.alive, end.suspect, end.failed, end.left, end.siblings
            )
        };
        // Where there are many, those that are alike share a line.
        let share = self.ends.len() > LINES;
        let mut lines: Vec<(String, &str, usize)> = Vec::new();
        for end in &self.ends {
            let row = row(end);
            match lines.iter_mut().find(|line| share && line.0 == row) {
                Some(line) => line.2 += 1,
                None => lines.push((row, &end.name, 1)),
            }
        }
        for (row, name, count) in lines {
            let name = if count > 1 {
                format!("{name}, {} more", count - 1)
            } else {
                name.to_owned()
            };
            let _ = writeln!(text, "{name:<15}  {row}");
        }
        let t = &self.total;
        let _ = writeln!(
            text,
            "\nrequests: {} asked, {} served in time, {} late, {} refused, {} failed, {} gone with their process, {} lost",
            t.asked, t.served, t.late, t.refused, t.failed, t.gone, t.lost
        );
        let _ = writeln!(
            text,
            "answers: median {} ms, 99th of a hundred {} ms",
            self.median_ms, self.p99_ms
        );
        let r = &self.relay;
        let _ = writeln!(
            text,
            "between processes: {} datagrams passed, {} lost, {} cut off, {} doubled",
            r.passed, r.lost, r.cut, r.doubled
        );
        for (name, times) in &self.figures {
            let times: Vec<String> = times.iter().map(|time| format!("{time:.1}")).collect();
            let _ = writeln!(text, "{name}: {} s", times.join(", "));
        }
        let _ = writeln!(text);
        for same in self.verdicts.chunk_by(|a, b| a == b) {
            let verdict = &same[0];
            let mark = if verdict.kept { "held  " } else { "BROKEN" };
            let times = if same.len() > 1 {
                format!(", {} times", same.len())
            } else {
                String::new()
            };
            let _ = writeln!(text, "{mark}  {}  {}{times}", verdict.what, verdict.how);
        }
        text
    }

    /// How many of all pairs held each other for failed, second by second.
    fn failed_pairs(&self) -> Vec<(f64, f64)> {
        let (mut held, mut points) = (0.0, vec![(0.0, 0.0)]);
        for change in &self.changes {
            held += f64::from(u8::from(change.to == "failed"))
                - f64::from(u8::from(change.from == "failed"));
            points.push((change.at, held));
        }
        points.push((self.seconds.len() as f64, held));
        points
    }

    /// How many processes said that their view is so.
    fn views(&self, view: &str) -> Vec<(f64, f64)> {
        let (mut count, mut points) = (0.0, vec![(0.0, 0.0)]);
        for change in self.changes.iter().filter(|change| change.by == change.of) {
            count +=
                f64::from(u8::from(change.to == view)) - f64::from(u8::from(change.from == view));
            points.push((change.at, count));
        }
        points
    }

    /// One page that needs nothing else.
    pub fn html(&self) -> Result<String, String> {
        let series = |of: fn(&Second) -> u32| -> Vec<(f64, f64)> {
            self.seconds
                .iter()
                .enumerate()
                .map(|(at, second)| (at as f64, f64::from(of(second))))
                .collect()
        };
        let requests = [
            ("served in time", series(|s| s.served)),
            ("late", series(|s| s.late)),
            ("refused", series(|s| s.refused)),
            ("failed", series(|s| s.failed)),
            ("gone with their process", series(|s| s.gone)),
        ];
        let views = ["whole", "doubtful", "cut-off"].map(|view| (view, self.views(view)));
        let pairs = [("pairs held for failed", self.failed_pairs())];
        let plots = [
            plot(
                "Requests a second, by the second in which they were sent",
                &requests,
            )?,
            plot("Processes by what they say of their view", &views)?,
            plot("Pairs of which one holds the other for failed", &pairs)?,
        ];
        let rows = |verdict: &Verdict| {
            let mark = if verdict.kept { "held" } else { "BROKEN" };
            format!(
                "<tr class={mark}><td>{mark}<td>{}<td>{}",
                escaped(&verdict.what),
                escaped(&verdict.how)
            )
        };
        let verdicts: Vec<String> = self.verdicts.iter().map(rows).collect();
        let figures: Vec<String> = self
            .figures
            .iter()
            .map(|(name, times)| {
                let times: Vec<String> = times.iter().map(|time| format!("{time:.2}")).collect();
                format!("<tr><td>{}<td>{} s", escaped(name), times.join(", "))
            })
            .collect();
        let title = escaped(&format!(
            "{}: {} processes, seed {}",
            self.scenario, self.processes, self.seed
        ));
        Ok(format!(
            "<!doctype html><meta charset=utf-8><title>{title}</title><style>body{{font:15px sans-serif;margin:2em;\
             max-width:60em}}td{{padding:.1em .8em}}.BROKEN{{background:#fcc}}pre{{font-size:12px}}</style>\
             <h1>{title}</h1><table>{}</table><h2>Figures</h2><table>{}</table>{}<h2>At the end</h2><pre>{}</pre>",
            verdicts.join("\n"),
            figures.join("\n"),
            plots.join("\n"),
            escaped(&self.text())
        ))
    }
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn plot(title: &str, lines: &[(&str, Vec<(f64, f64)>)]) -> Result<String, String> {
    let all = || lines.iter().flat_map(|line| &line.1);
    let right = all().map(|point| point.0).fold(1.0, f64::max);
    let top = all().map(|point| point.1).fold(1.0, f64::max) * 1.05;
    let mut svg = String::new();
    let fault = |error: &dyn std::fmt::Display| error.to_string();
    {
        let root = SVGBackend::with_string(&mut svg, (860, 300)).into_drawing_area();
        root.fill(&WHITE).map_err(|e| fault(&e))?;
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .caption(title, ("sans-serif", 16))
            .x_label_area_size(34)
            .y_label_area_size(54)
            .build_cartesian_2d(0.0..right, 0.0..top)
            .map_err(|e| fault(&e))?;
        chart
            .configure_mesh()
            .x_desc("s")
            .draw()
            .map_err(|e| fault(&e))?;
        for (n, (name, points)) in lines.iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
            let series = chart.draw_series(line).map_err(|e| fault(&e))?;
            series
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        }
        let labels = &mut chart.configure_series_labels();
        labels
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(|e| fault(&e))?;
        root.present().map_err(|e| fault(&e))?;
    }
    Ok(svg)
}
