//! The rig's command line: a demonstration, one scenario, or one over many seeds. It owns files and exit status: 0 all held, 1
//! something that must hold did not, 2 the input is at fault or the run came to no end.
use clap::{Parser, Subcommand};
use sandtrack_fault_tests::report::Report;
use sandtrack_fault_tests::run::{play, Options};
use sandtrack_fault_tests::scenario::{self, Scenario};
use sandtrack_fault_tests::soak::run as soak;
use sandtrack_fault_tests::system::process::Programs;
use sandtrack_fault_tests::system::scenarios::{
    play as play_system, Options as SystemOptions, Scenario as System,
};
use sandtrack_fault_tests::system::settings::Role;
use std::collections::BTreeMap;
use std::ops::Range;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command as Process, ExitCode};
use std::time::Duration;

#[derive(Parser)]
#[command(
    name = "sandtrack-fault-tests",
    version,
    about = "Many real sandtrack sidecars on loopback, with faults between them"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Three zones, a dozen processes, one cut and one kill, in half a minute.
    Demo {
        /// Writes the page with the plots there.
        #[arg(long)]
        html: Option<PathBuf>,
    },
    /// Plays a scenario.
    Run {
        scenario: PathBuf,
        /// In place of the scenario's; so many from there on are played one after the other.
        #[arg(long)]
        seed: Option<u64>,
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        #[arg(long)]
        processes: Option<usize>,
        /// Another build of the program than the one that the rig was built with.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Keeps configurations and logs in this folder.
        #[arg(long)]
        keep: Option<PathBuf>,
        #[arg(long)]
        json: Option<PathBuf>,
        #[arg(long)]
        html: Option<PathBuf>,
        #[arg(long)]
        quiet: bool,
    },
    /// Plays a scenario of the whole system: real control nodes and proxies, with a relay on every link.
    System {
        scenario: System,
        /// A folder with other builds of the programs than those that the rig was built with.
        #[arg(long)]
        programs: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How long a cut lasts, in s.
        #[arg(long, default_value_t = 20.0)]
        cut_s: f64,
        /// Keeps settings, logs and disks in this folder.
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// Real processes under troubles that are drawn from seeds and overlap, with stand-ins that misbehave.
    Soak {
        /// A folder with other builds of the programs than those that the rig was built with.
        #[arg(long)]
        programs: Option<PathBuf>,
        /// The first seed, and how many are played one after the other.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// How long troubles come in each run, in s.
        #[arg(long, default_value_t = 24.0)]
        lasts: f64,
        /// Clients at a time.
        #[arg(long, default_value_t = soak::CLIENTS)]
        clients: usize,
        /// Keeps settings, logs and disks of runs with a broken verdict in folders within this one.
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// One process of the program: this is what the rig starts. It ends with the rig, whatever ends that.
    #[command(hide = true)]
    Program {
        /// Another build of it.
        #[arg(long)]
        build: Option<PathBuf>,
    },
}

const DEMO: &str = include_str!("../scenarios/demo.toml");

fn main() -> ExitCode {
    if let Some(role) = called_as() {
        return system_process(role);
    }
    match Cli::parse().command {
        Command::Program { build } => program(build.as_deref()),
        Command::System {
            scenario,
            programs,
            seed,
            cut_s,
            keep,
        } => {
            let Ok(rig) = std::env::current_exe() else {
                return input("the rig's own path is not known");
            };
            let cut = Duration::from_secs_f64(cut_s.clamp(5.0, 600.0));
            let options = SystemOptions {
                seed,
                keep,
                cut,
                ..SystemOptions::new(rig, programs)
            };
            system(scenario, &options)
        }
        Command::Soak {
            programs,
            seed,
            seeds,
            lasts,
            clients,
            keep,
        } => {
            let Ok(rig) = std::env::current_exe() else {
                return input("the rig's own path is not known");
            };
            soak(
                &Programs {
                    rig,
                    builds: programs,
                },
                seed..seed + seeds,
                lasts,
                clients,
                keep.as_deref(),
            )
        }
        Command::Demo { html } => match scenario::read(DEMO) {
            Ok(scenario) => finish(
                run(&scenario, 1, None, None, true),
                None,
                html.as_deref(),
                true,
            ),
            Err(fault) => input(&fault.to_string()),
        },
        Command::Run {
            scenario,
            seed,
            seeds,
            processes,
            program,
            keep,
            json,
            html,
            quiet,
        } => {
            let read = std::fs::read_to_string(&scenario).map_err(|error| error.to_string());
            let read =
                read.and_then(|text| scenario::read(&text).map_err(|fault| fault.to_string()));
            let mut read = match read {
                Ok(read) => read,
                Err(fault) => return input(&format!("{}: {fault}", scenario.display())),
            };
            read.seed = seed.unwrap_or(read.seed);
            read.processes = processes.unwrap_or(read.processes);
            let played = run(&read, seeds, program.as_deref(), keep.as_deref(), !quiet);
            finish(played, json.as_deref(), html.as_deref(), seeds == 1)
        }
    }
}

fn input(fault: &str) -> ExitCode {
    eprintln!("{fault}");
    ExitCode::from(2)
}

/// The program of the whole system under whose name the rig was started: it is all of them, so that no second build is needed.
fn called_as() -> Option<Role> {
    let name = PathBuf::from(std::env::args_os().next()?);
    let name = name.file_name()?.to_str()?.to_owned();
    [Role::Control, Role::Proxy]
        .into_iter()
        .find(|role| role.program() == name)
}

fn system_process(role: Role) -> ExitCode {
    if let Err(fault) = end_with_parent() {
        return input(&fault);
    }
    match role {
        Role::Control => sandtrack_control::program::main(),
        Role::Proxy => sandtrack_proxy::program::main(),
    }
}

fn system(scenario: System, options: &SystemOptions) -> ExitCode {
    match play_system(scenario, options) {
        Ok(report) => {
            print!("{}", report.text());
            ExitCode::from(u8::from(!report.is_kept()))
        }
        Err(error) => input(&error.to_string()),
    }
}

fn soak(
    programs: &Programs,
    seeds: Range<u64>,
    lasts: f64,
    clients: usize,
    keep: Option<&Path>,
) -> ExitCode {
    let mut broken = false;
    for seed in seeds {
        let folder = keep.map(|keep| keep.join(format!("seed-{seed}")));
        let options = soak::Options {
            programs: programs.clone(),
            seed,
            lasts,
            clients,
            keep: folder.clone(),
        };
        match soak::play(&options) {
            Err(error) => return input(&format!("seed {seed}: {error}")),
            Ok(report) if report.is_kept() => {
                println!(
                    "seed {seed}: held in {:.0} s; {}",
                    report.took.as_secs_f64(),
                    report.notes[..2].join("; ")
                );
                let _ = folder.map(std::fs::remove_dir_all);
            }
            Ok(report) => {
                broken = true;
                println!("seed {seed}: {}{}", report.text(), report.notes.join("\n"));
            }
        }
    }
    ExitCode::from(u8::from(broken))
}

/// Where the rig is killed outright, the kernel ends this process too.
fn end_with_parent() -> Result<(), String> {
    let set = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
    set.map_err(|error| format!("the end of the rig would not end this process: {error}"))
}

/// The program itself, in this process.
fn program(build: Option<&Path>) -> ExitCode {
    if let Err(fault) = end_with_parent() {
        return input(&fault);
    }
    match build {
        None => sandtrack_sidecar::program::serve_only(),
        Some(build) => {
            let error = Process::new(build).exec();
            input(&format!("{}: {error}", build.display()))
        }
    }
}

fn run(
    scenario: &Scenario,
    seeds: u64,
    build: Option<&Path>,
    keep: Option<&Path>,
    tell: bool,
) -> Result<Vec<Report>, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let mut program = vec![own, PathBuf::from("program")];
    if let Some(build) = build {
        program.extend([PathBuf::from("--build"), build.to_path_buf()]);
    }
    let options = Options {
        program,
        keep: keep.map(Path::to_path_buf),
        tell,
    };
    let mut reports = Vec::new();
    for seed in scenario.seed..scenario.seed + seeds {
        let scenario = Scenario {
            seed,
            ..scenario.clone()
        };
        reports.push(play(&scenario, &options).map_err(|failed| failed.to_string())?);
    }
    Ok(reports)
}

fn finish(
    played: Result<Vec<Report>, String>,
    json: Option<&Path>,
    html: Option<&Path>,
    table: bool,
) -> ExitCode {
    let reports = match played {
        Ok(reports) => reports,
        Err(fault) => return input(&fault),
    };
    let mut figures: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for report in &reports {
        if table {
            print!("{}", report.text());
        } else {
            let broken = report.broken();
            println!(
                "seed {}: {}",
                report.seed,
                if broken.is_empty() {
                    "held".to_owned()
                } else {
                    broken.join("; ")
                }
            );
        }
        for (name, times) in &report.figures {
            figures.entry(name).or_default().extend(times);
        }
    }
    if !table {
        for (name, times) in &mut figures {
            times.sort_by(f64::total_cmp);
            let (median, most) = (times[(times.len() - 1) / 2], times[times.len() - 1]);
            println!(
                "{name}: median {median:.2} s, most {most:.2} s, {} runs",
                times.len()
            );
        }
    }
    let mut texts = Vec::new();
    if let Some(path) = json {
        texts.push((
            path,
            serde_json::to_string_pretty(&reports).map_err(|error| error.to_string()),
        ));
    }
    if let (Some(path), Some(report)) = (html, reports.last()) {
        texts.push((path, report.html()));
    }
    for (path, text) in texts {
        let written =
            text.and_then(|text| std::fs::write(path, text).map_err(|error| error.to_string()));
        if let Err(fault) = written {
            return input(&format!("{}: {fault}", path.display()));
        }
    }
    if reports.iter().all(Report::kept) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
