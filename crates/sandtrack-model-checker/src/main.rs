//! `sandtrack-model-checker check` and `duty` search for violations, `replay FILE` replays a trace, `setups` lists the set-ups.
#![forbid(unsafe_code)]
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{construct, long, positional, OptionParser, Parser};
use sandtrack_control::state_machine::ControlState;
use sandtrack_model_checker::checker::{search, Bounds, Report, Search};
use sandtrack_model_checker::machine::{LatestRules, Machine, Register, Unstamped};
use sandtrack_model_checker::poller_election::search::rule_of;
use sandtrack_model_checker::poller_election::{self, ElectionBudget};
use sandtrack_model_checker::setup::Setup;
use sandtrack_model_checker::trace::{MachineKind, Trace};

#[derive(Clone, Debug)]
enum Command {
    Check(Check),
    Duty {
        machines: usize,
        property: Option<String>,
        states: usize,
        budget: ElectionBudget,
    },
    Replay {
        file: PathBuf,
    },
    Setups,
}

#[derive(Clone, Debug)]
struct Check {
    setup: String,
    property: Option<String>,
    machine: MachineKind,
    search: String,
    seed: u64,
    depth: usize,
    states: usize,
    seconds: u64,
    threads: usize,
    deviations: Option<u8>,
    ticks: Option<u8>,
    sends: Option<u8>,
    out: Option<PathBuf>,
}

fn check() -> impl Parser<Command> {
    let setup = long("setup")
        .help("one of `setups`")
        .argument("NAME")
        .fallback("everything".to_owned());
    let property = long("property")
        .help("only this one")
        .argument("NAME")
        .optional();
    let machine = long("machine")
        .help("register (the fast one), control (the real control state), control-unstamped (without the check of the stamp) or control-latest-rules")
        .argument::<String>("KIND")
        .parse(|name| MachineKind::by_name(&name).ok_or("register, control, control-unstamped or control-latest-rules"))
        .fallback(MachineKind::Register);
    let search = long("search")
        .help("bfs, dfs or walks")
        .argument("HOW")
        .fallback("bfs".to_owned());
    let seed = long("seed").help("of the walks").argument("N").fallback(1);
    let depth = long("depth").help("0: no bound").argument("N").fallback(0);
    let states = long("states")
        .help("0: no bound")
        .argument("N")
        .fallback(1_000_000);
    let seconds = long("seconds")
        .help("0: no bound")
        .argument("N")
        .fallback(60);
    let threads = long("threads").argument("N").fallback(1);
    let deviations = long("deviations")
        .help("instead of the set-up's")
        .argument("N")
        .optional();
    let ticks = long("ticks")
        .help("instead of the set-up's")
        .argument("N")
        .optional();
    let sends = long("sends")
        .help("instead of the set-up's")
        .argument("N")
        .optional();
    let out = long("out")
        .help("folder for counterexamples")
        .argument("FOLDER")
        .optional();
    construct!(Check {
        setup,
        property,
        machine,
        search,
        seed,
        depth,
        states,
        seconds,
        threads,
        deviations,
        ticks,
        sends,
        out
    })
    .map(Command::Check)
}

fn duty() -> impl Parser<Command> {
    let machines = long("machines").argument("N").fallback(3);
    let property = long("property")
        .help("only this one")
        .argument("NAME")
        .optional();
    let states = long("states")
        .help("0: no bound")
        .argument("N")
        .fallback(500_000);
    let ticks = long("ticks").argument("N").fallback(12);
    let deviations = long("deviations")
        .help("all faults together")
        .argument("N")
        .fallback(2);
    let freezes = long("freezes").argument("N").fallback(1);
    let partitions = long("cuts").argument("N").fallback(1);
    let isolations = long("isolations").argument("N").fallback(1);
    let restarts = long("restarts").argument("N").fallback(1);
    let shutdowns = long("leaves").argument("N").fallback(1);
    let budget = construct!(ElectionBudget {
        ticks,
        deviations,
        freezes,
        partitions,
        isolations,
        restarts,
        shutdowns
    });
    construct!(Command::Duty {
        machines,
        property,
        states,
        budget
    })
}

fn options() -> OptionParser<Command> {
    let check = check()
        .to_options()
        .command("check")
        .help("search a set-up's states");
    let file = positional("FILE");
    let replay = construct!(Command::Replay { file })
        .to_options()
        .command("replay")
        .help("play a trace");
    let duty = duty()
        .to_options()
        .command("duty")
        .help("search the states of the duty to read the list");
    let setups = bpaf::pure(Command::Setups)
        .to_options()
        .command("setups")
        .help("list the set-ups");
    construct!([check, duty, replay, setups]).to_options()
}

fn run_check(check: &Check) -> Result<bool, String> {
    let mut setup = Setup::by_name(&check.setup).ok_or("no such set-up")?;
    let budget = &mut setup.budget;
    budget.deviations = check.deviations.unwrap_or(budget.deviations);
    budget.ticks = check.ticks.unwrap_or(budget.ticks);
    budget.sends = check.sends.unwrap_or(budget.sends);
    let how = match check.search.as_str() {
        "bfs" => Search::BreadthFirst,
        "dfs" => Search::DepthFirst,
        "walks" => Search::Walks { seed: check.seed },
        _ => return Err("bfs, dfs or walks".to_owned()),
    };
    let bounds = Bounds {
        depth: check.depth,
        states: check.states,
        seconds: check.seconds,
        threads: check.threads,
    };
    let report = match check.machine {
        MachineKind::Register => search::<Register>(&setup, check.property.clone(), how, bounds),
        MachineKind::Control => search::<ControlState>(&setup, check.property.clone(), how, bounds),
        MachineKind::Unstamped => search::<Unstamped>(&setup, check.property.clone(), how, bounds),
        MachineKind::LatestRules => {
            search::<LatestRules>(&setup, check.property.clone(), how, bounds)
        }
    };
    println!("{report}");
    write_traces(check, &setup, &report)?;
    Ok(report.counterexamples.is_empty())
}

fn write_traces(check: &Check, setup: &Setup, report: &Report) -> Result<(), String> {
    let Some(folder) = &check.out else {
        return Ok(());
    };
    std::fs::create_dir_all(folder).map_err(|error| error.to_string())?;
    for (name, actions) in &report.counterexamples {
        let trace = Trace {
            setup: setup.clone(),
            kind: check.machine,
            actions: actions.clone(),
        };
        let path = folder.join(format!("{name}.trace"));
        std::fs::write(&path, trace.to_text()).map_err(|error| error.to_string())?;
        println!("  {}", path.display());
    }
    Ok(())
}

fn play<M: Machine>(trace: &Trace) -> Result<bool, String> {
    let outcome = trace.play::<M>(|action, cluster| {
        let describe_action = cluster
            .describe_action(*action)
            .unwrap_or_else(|| format!("{cluster:?}"));
        println!("{:<14} {describe_action}", action.to_string());
    });
    let outcome = outcome.map_err(|error| error.to_string())?;
    println!(
        "{} actions, broken: {:?}",
        outcome.steps, outcome.violations
    );
    Ok(outcome.violations.is_empty())
}

fn run(command: &Command) -> Result<bool, String> {
    match command {
        Command::Check(check) => run_check(check),
        Command::Duty {
            machines,
            property,
            states,
            budget,
        } => {
            let only = match property {
                Some(name) => Some(rule_of(name).ok_or("no such property")?),
                None => None,
            };
            let report = poller_election::search::search(*machines, *budget, only, *states);
            println!("{report:#?}");
            Ok(report.counterexamples.is_empty())
        }
        Command::Replay { file } => {
            let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
            let trace = Trace::parse(&text).map_err(|error| error.to_string())?;
            match trace.kind {
                MachineKind::Register => play::<Register>(&trace),
                MachineKind::Control => play::<ControlState>(&trace),
                MachineKind::Unstamped => play::<Unstamped>(&trace),
                MachineKind::LatestRules => play::<LatestRules>(&trace),
            }
        }
        Command::Setups => {
            for setup in Setup::all() {
                println!("{}: {:?}, {:?}", setup.name, setup.scheduling, setup.budget);
            }
            Ok(true)
        }
    }
}

fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
