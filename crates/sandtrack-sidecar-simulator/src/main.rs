//! The laboratory's command line: one run, a sweep over a grid, a comparison, a plot. It owns files and exit status: 0 done,
//! 1 a rule was broken (the trace is told), 2 the input is at fault and nothing was run.
use clap::{Parser, Subcommand, ValueEnum};
use rayon::prelude::*;
use sandtrack_sidecar_simulator::members::study::{self, Case};
use sandtrack_sidecar_simulator::plot::{svg, Line};
use sandtrack_sidecar_simulator::report::Report;
use sandtrack_sidecar_simulator::scenario::{self, Policy, Scenario};
use sandtrack_sidecar_simulator::stats::Estimate;
use sandtrack_sidecar_simulator::world;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "sandtrack-sidecar-simulator",
    version,
    about = "Experiments on an emulated fleet of sandtrack balancers"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario once and prints its report.
    Run {
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long)]
        policy: Option<String>,
        /// Keep the whole report, as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Plays a grid: each `--set KEY=A,B,C` is one side of it; seeds in parallel.
    Sweep {
        scenario: PathBuf,
        #[arg(long, required = true)]
        set: Vec<String>,
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        #[arg(long)]
        policy: Option<String>,
        #[arg(long)]
        json: PathBuf,
    },
    /// Compares policies on common random numbers, or two reports of sweeps point by point.
    Compare {
        /// A scenario, or two files that `sweep` left.
        files: Vec<PathBuf>,
        #[arg(long, default_value_t = 8)]
        seeds: u64,
        #[arg(
            long,
            value_delimiter = ',',
            default_value = "module,random,round-robin,least-outstanding,two-choices,oracle"
        )]
        policies: Vec<String>,
        #[arg(long, default_value = "in_time")]
        figure: String,
    },
    /// Puts protocols by which members find out who is there through the cases of a study.
    Members {
        #[arg(long, value_delimiter = ',', default_value = "own")]
        protocols: Vec<String>,
        /// All where none is named.
        #[arg(long, value_delimiter = ',')]
        cases: Vec<Case>,
        #[arg(long, value_delimiter = ',', default_value = "100")]
        sizes: Vec<usize>,
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        #[arg(long, default_value_t = 60)]
        watch_s: u64,
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Draws figures of a sweep over its first parameter, or of a run over its seconds.
    Plot {
        report: PathBuf,
        #[arg(long, value_delimiter = ',', required = true)]
        figures: Vec<String>,
        #[arg(long)]
        out: PathBuf,
        #[arg(long, default_value = "")]
        title: String,
    },
}

#[derive(Serialize, Deserialize)]
struct Sweep {
    scenario: String,
    keys: Vec<String>,
    points: Vec<Point>,
}

#[derive(Serialize, Deserialize)]
struct Point {
    at: Vec<f64>,
    runs: Vec<Report>,
}

/// A grid of more points than this is a slip of the pen.
const POINTS_MOST: usize = 10_000;

enum Failed {
    Input(String),
    Rules(String),
}

fn main() -> ExitCode {
    match go(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failed::Rules(trace)) => {
            eprintln!("{trace}");
            ExitCode::FAILURE
        }
        Err(Failed::Input(fault)) => {
            eprintln!("{fault}");
            ExitCode::from(2)
        }
    }
}

fn input(fault: impl std::fmt::Display) -> Failed {
    Failed::Input(fault.to_string())
}

fn text(path: &Path) -> Result<String, Failed> {
    std::fs::read_to_string(path).map_err(|error| input(format!("{}: {error}", path.display())))
}

fn policy(name: &str) -> Result<Policy, Failed> {
    serde_json::from_value(serde_json::Value::String(name.to_owned()))
        .map_err(|e| input(format!("--policy: {e}")))
}

fn load(path: &Path, policy_name: Option<&str>, set: &[(String, f64)]) -> Result<Scenario, Failed> {
    let mut scenario =
        scenario::read(&path.display().to_string(), &text(path)?, set).map_err(input)?;
    if let Some(name) = policy_name {
        scenario.policy = policy(name)?;
    }
    Ok(scenario)
}

fn play(scenarios: &[(Scenario, u64)]) -> Result<Vec<Report>, Failed> {
    // In the order of the grid, whatever thread a run was on.
    scenarios
        .par_iter()
        .map(|(scenario, seed)| world::run(scenario, *seed))
        .collect::<Result<_, _>>()
        .map_err(input)
}

fn kept<'a>(reports: impl IntoIterator<Item = &'a Report>) -> Result<(), Failed> {
    let lines: Vec<String> = reports
        .into_iter()
        .filter(|report| report.rules_broken > 0)
        .flat_map(|r| {
            r.breaks
                .iter()
                .take(10)
                .map(move |b| format!("{} seed {}: {}", r.policy, r.seed, b.0))
        })
        .collect();
    if lines.is_empty() {
        return Ok(());
    }
    Err(Failed::Rules(format!(
        "rules broken:\n{}",
        lines.join("\n")
    )))
}

fn write(path: &Path, value: &impl Serialize) -> Result<(), Failed> {
    let json = serde_json::to_string_pretty(value).map_err(input)?;
    std::fs::write(path, json + "\n").map_err(|error| input(format!("{}: {error}", path.display())))
}

fn grid(set: &[String]) -> Result<(Vec<String>, Vec<Vec<f64>>), Failed> {
    let mut keys = Vec::new();
    let mut points: Vec<Vec<f64>> = vec![Vec::new()];
    for side in set {
        let (key, values) = side
            .split_once('=')
            .ok_or_else(|| input(format!("--set {side}: not KEY=A,B,C")))?;
        let read = |value: &str| value.trim().parse::<f64>().ok().filter(|v| v.is_finite());
        let values: Option<Vec<f64>> = values
            .split(',')
            .filter(|v| !v.trim().is_empty())
            .map(read)
            .collect();
        let values =
            values.ok_or_else(|| input(format!("--set {side}: a value is no finite figure")))?;
        keys.push(key.to_owned());
        let with = |at: &Vec<f64>| -> Vec<Vec<f64>> {
            values
                .iter()
                .map(|value| at.iter().copied().chain([*value]).collect())
                .collect()
        };
        points = points.iter().flat_map(with).collect();
    }
    match points.len() {
        0 => Err(input("--set: a grid of no points")),
        n if n > POINTS_MOST => Err(input(format!(
            "--set: a grid of {n} points, {POINTS_MOST} at most"
        ))),
        _ => Ok((keys, points)),
    }
}

fn go(command: Command) -> Result<(), Failed> {
    match command {
        Command::Run {
            scenario,
            seed,
            policy,
            json,
        } => {
            let scenario = load(&scenario, policy.as_deref(), &[])?;
            let report = world::run(&scenario, seed).map_err(input)?;
            print(&report);
            json.map_or(Ok(()), |path| write(&path, &report))?;
            kept([&report])
        }
        Command::Sweep {
            scenario: path,
            set,
            seeds,
            policy,
            json,
        } => {
            let (keys, points) = grid(&set)?;
            if seeds == 0 || points.len() as u64 * seeds > POINTS_MOST as u64 {
                return Err(input(format!(
                    "--seeds: {seeds} seeds on {} points",
                    points.len()
                )));
            }
            let mut runs = Vec::new();
            for at in &points {
                let set: Vec<(String, f64)> =
                    keys.iter().cloned().zip(at.iter().copied()).collect();
                let scenario = load(&path, policy.as_deref(), &set)?;
                runs.extend((1..=seeds).map(|seed| (scenario.clone(), seed)));
            }
            let reports = play(&runs)?;
            let chunks = reports.chunks(seeds as usize).zip(points);
            let points: Vec<Point> = chunks
                .map(|(runs, at)| Point {
                    at,
                    runs: runs.to_vec(),
                })
                .collect();
            println!(
                "{:>24} {:>16} {:>12} {:>12} {:>10}",
                keys.join(" "),
                "in time",
                "p99 ms",
                "probes/req",
                "broken"
            );
            for point in &points {
                let of = |name: &str| Estimate::of(&figures(&point.runs, name));
                let broken: usize = point.runs.iter().map(|run| run.rules_broken).sum();
                let at: Vec<String> = point.at.iter().map(f64::to_string).collect();
                let (in_time, p99, probes) =
                    (of("in_time"), of("p99_ms"), of("probes_per_request"));
                println!(
                    "{:>24} {} {:>12.1} {:>12.4} {broken:>10}",
                    at.join(" "),
                    shown(in_time),
                    p99.mean,
                    probes.mean
                );
            }
            let sweep = Sweep {
                scenario: path.display().to_string(),
                keys,
                points,
            };
            write(&json, &sweep)?;
            kept(sweep.points.iter().flat_map(|point| &point.runs))
        }
        Command::Compare {
            files,
            seeds,
            policies,
            figure,
        } => match files.as_slice() {
            [one] => compare(one, seeds, &policies, &figure),
            [a, b] => compare_sweeps(a, b, &figure),
            _ => Err(input("compare takes one scenario, or two sweeps")),
        },
        Command::Members {
            protocols,
            cases,
            sizes,
            seeds,
            watch_s,
            loss,
            json,
        } => {
            let cases = if cases.is_empty() {
                Case::value_variants().to_vec()
            } else {
                cases
            };
            let mut rows = Vec::new();
            println!("{}", study::Row::HEAD);
            for size in sizes {
                for case in &cases {
                    for protocol in &protocols {
                        let options = study::Options {
                            size,
                            seeds,
                            watch_s,
                            loss,
                        };
                        let row = study::row(protocol, *case, &options).map_err(input)?;
                        println!("{}", row.line());
                        rows.push(row);
                    }
                }
            }
            match json {
                Some(path) => write(&path, &rows),
                None => Ok(()),
            }
        }
        Command::Plot {
            report,
            figures,
            out,
            title,
        } => plot(&report, &figures, &out, &title),
    }
}

fn figures(runs: &[Report], name: &str) -> Vec<f64> {
    runs.iter().filter_map(|run| run.figure(name)).collect()
}

fn shown(estimate: Estimate) -> String {
    match estimate.half {
        Some(half) => format!("{:>8.4} ±{half:.4}", estimate.mean),
        None => format!("{:>8.4}", estimate.mean),
    }
}

fn print(report: &Report) {
    println!(
        "{}  {}  seed {}  {} instances, {} events",
        report.scenario, report.policy, report.seed, report.instances, report.events
    );
    println!(
        "worth in time {:.4}, worst second {:.4}; served {}, late {}",
        report.in_time, report.worst_second, report.served, report.late
    );
    println!(
        "latency ms: mean {:.2}, p50 {:.2}, p99 {:.2}",
        report.mean_ms, report.p50_ms, report.p99_ms
    );
    println!(
        "a request: {:.3} attempts, {:.4} probes, {:.4} connections; list calls {}, failed {}",
        report.attempts_per_request,
        report.probes_per_request,
        report.connects_per_request,
        report.calls,
        report.calls_failed
    );
    println!(
        "an upstream at most: {:.5} of its capacity for probes, {} connections",
        report.most_probe_share, report.most_connections
    );
    println!(
        "Little: {:.3} held, {:.3} by arrivals; nearest to the cold rule {:.2}",
        report.little[0], report.little[1], report.worst_cold
    );
    println!("rules broken: {}", report.rules_broken);
}

fn compare(path: &Path, seeds: u64, policies: &[String], figure: &str) -> Result<(), Failed> {
    if seeds < 2 {
        return Err(input("--seeds: a comparison takes two runs at least"));
    }
    let mut all: Vec<Vec<Report>> = Vec::new();
    for name in policies {
        let scenario = load(path, Some(name), &[])?;
        let runs: Vec<(Scenario, u64)> = (1..=seeds).map(|seed| (scenario.clone(), seed)).collect();
        all.push(play(&runs)?);
    }
    let values: Vec<Vec<f64>> = all.iter().map(|runs| figures(runs, figure)).collect();
    if values.iter().any(|v| v.len() as u64 != seeds) {
        return Err(input(format!(
            "--figure {figure}: reports have no such figure"
        )));
    }
    println!(
        "{figure} over {seeds} seeds, 95% intervals; difference to {} pair by pair",
        policies[0]
    );
    for (name, of) in policies.iter().zip(&values) {
        let broken: usize = all[policies.iter().position(|p| p == name).unwrap_or(0)]
            .iter()
            .map(|r| r.rules_broken)
            .sum();
        println!(
            "{name:>20} {}   {}   rules broken {broken}",
            shown(Estimate::of(of)),
            shown(Estimate::of_pairs(of, &values[0]))
        );
    }
    let of = |name: &str| {
        policies
            .iter()
            .position(|p| p == name)
            .map(|n| Estimate::of(&values[n]).mean)
    };
    if let (Some(random), Some(oracle), Some(first)) = (
        of("random"),
        of("oracle"),
        Some(Estimate::of(&values[0]).mean),
    ) {
        if oracle > random {
            println!(
                "{} stands at {:.2} of the way from random to the oracle",
                policies[0],
                (first - random) / (oracle - random)
            );
        }
    }
    // Baselines break rules by design (they know nothing of drains told late); the module must not.
    kept(
        all.iter()
            .flatten()
            .filter(|report| matches!(report.policy.as_str(), "module" | "sidecar")),
    )
}

fn sweep(path: &Path) -> Result<Sweep, Failed> {
    serde_json::from_str(&text(path)?)
        .map_err(|error| input(format!("{}: {error}", path.display())))
}

fn compare_sweeps(a: &Path, b: &Path, figure: &str) -> Result<(), Failed> {
    let (a, b) = (sweep(a)?, sweep(b)?);
    let places = |sweep: &Sweep| -> Vec<Vec<f64>> {
        sweep.points.iter().map(|point| point.at.clone()).collect()
    };
    if a.keys != b.keys || places(&a) != places(&b) {
        return Err(input("the two sweeps are not over the same grid"));
    }
    println!("{figure}: first, second, and first less second pair by pair");
    for (one, other) in a.points.iter().zip(&b.points) {
        let (x, y) = (figures(&one.runs, figure), figures(&other.runs, figure));
        let at: Vec<String> = one.at.iter().map(f64::to_string).collect();
        let [x_shown, y_shown, d] = [
            Estimate::of(&x),
            Estimate::of(&y),
            Estimate::of_pairs(&x, &y),
        ]
        .map(shown);
        println!("{:>16} {x_shown} {y_shown} {d}", at.join(" "));
    }
    Ok(())
}

fn plot(path: &Path, names: &[String], out: &Path, title: &str) -> Result<(), Failed> {
    let text = text(path)?;
    let lines: Vec<Line>;
    let (x, y);
    if let Ok(sweep) = serde_json::from_str::<Sweep>(&text) {
        (x, y) = (
            sweep.keys.first().cloned().unwrap_or_default(),
            names.join(", "),
        );
        let line = |name: &String| {
            let points = sweep.points.iter().map(|point| {
                let estimate = Estimate::of(&figures(&point.runs, name));
                (point.at[0], estimate.mean, estimate.half.unwrap_or(0.0))
            });
            Line {
                name: name.clone(),
                points: points.collect(),
            }
        };
        lines = names.iter().map(line).collect();
    } else {
        let report: Report =
            serde_json::from_str(&text).map_err(|e| input(format!("{}: {e}", path.display())))?;
        (x, y) = ("s".to_owned(), "a second".to_owned());
        let seconds = serde_json::to_value(&report.seconds).map_err(input)?;
        let of = |name: &String| {
            let rows = seconds.as_array().into_iter().flatten().enumerate();
            let points =
                rows.filter_map(|(n, row)| Some((n as f64, row.get(name)?.as_f64()?, 0.0)));
            Line {
                name: name.clone(),
                points: points.collect(),
            }
        };
        lines = names.iter().map(of).collect();
    }
    svg(
        out,
        if title.is_empty() { &names[0] } else { title },
        &x,
        &y,
        &lines,
    )
    .map_err(input)
}
