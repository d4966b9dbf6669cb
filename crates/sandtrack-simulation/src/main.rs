//! Runs simulations: `sandtrack-simulation seeds 10000`, `sandtrack-simulation long 3`, `sandtrack-simulation replay FILE`.
use bpaf::{construct, long, positional, OptionParser, Parser};
use sandtrack_simulation::plan::Plan;
use sandtrack_simulation::runner::{digest, run_all_on, run_with_log, Totals, DEFAULT_THREADS};
use sandtrack_simulation::shrink::shrink;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

/// At most this many failing plans are shrunk and written to replay files.
const MAX_REPLAY_FILES: usize = 5;

/// Which seeds are run, and how.
#[derive(Clone, Debug)]
struct RunOptions {
    first: u64,
    folder: PathBuf,
    threads: usize,
    count: u64,
}

impl RunOptions {
    fn plans(&self, plan: fn(u64) -> Plan) -> Vec<Plan> {
        (self.first..self.first + self.count).map(plan).collect()
    }
}

#[derive(Clone, Debug)]
enum Command {
    Seeds(RunOptions),
    Long(RunOptions),
    Closing(RunOptions),
    Turnover(RunOptions),
    Harsh(RunOptions),
    Digests(RunOptions),
    Replay { file: PathBuf },
}

fn run_options() -> impl Parser<RunOptions> {
    let first = long("first")
        .help("The first seed")
        .argument("SEED")
        .fallback(1);
    let folder = long("folder").help("Where replay files go").argument("DIR");
    let folder = folder.fallback(PathBuf::from("target/worlds"));
    let threads = long("threads")
        .help("Simulations in parallel")
        .argument("COUNT")
        .fallback(DEFAULT_THREADS);
    let count = positional::<u64>("COUNT");
    construct!(RunOptions {
        first,
        folder,
        threads,
        count
    })
}

fn commands() -> OptionParser<Command> {
    let seeds = run_options()
        .map(Command::Seeds)
        .to_options()
        .descr("Runs the mixed plans of this many seeds")
        .command("seeds");
    let long = run_options().map(Command::Long).to_options();
    let long = long
        .descr("Plays long worlds of about a thousand changes")
        .command("long");
    let digests = run_options().map(Command::Digests).to_options();
    let digests = digests
        .descr("Prints the outcome of each simulation, with a digest of its log")
        .command("digests");
    let file = positional::<PathBuf>("FILE");
    let replay = construct!(Command::Replay { file })
        .to_options()
        .descr("Runs the plan of a replay file, and prints its log")
        .command("replay");
    let closing = run_options().map(Command::Closing).to_options();
    let closing = closing
        .descr("Runs plans in which all machines are struck at once")
        .command("closing");
    let turnover = run_options().map(Command::Turnover).to_options();
    let turnover = turnover
        .descr("Runs plans in which all machines are replaced")
        .command("turnover");
    let harsh = run_options().map(Command::Harsh).to_options();
    let harsh = harsh
        .descr("Runs plans of slow nodes, lost zones and full disks")
        .command("harsh");
    construct!([seeds, long, closing, turnover, harsh, digests, replay])
        .to_options()
        .descr("Deterministic simulation of control plane and proxies")
}

fn main() -> ExitCode {
    match commands().run() {
        Command::Seeds(run_options) => report(&run_options.plans(Plan::mixed), &run_options),
        Command::Long(run_options) => report(&run_options.plans(Plan::long), &run_options),
        Command::Closing(run_options) => report(&run_options.plans(Plan::triggered), &run_options),
        Command::Turnover(run_options) => report(&run_options.plans(Plan::turnover), &run_options),
        Command::Harsh(run_options) => report(&run_options.plans(Plan::harsh), &run_options),
        Command::Digests(run_options) => digests(&run_options.plans(Plan::mixed)),
        Command::Replay { file } => replay(&file),
    }
}

/// Prints one line for each simulation, to compare two versions of the code.
fn digests(plans: &[Plan]) -> ExitCode {
    for plan in plans {
        let (outcome, lines) = run_with_log(plan);
        println!("{} {:016x} {outcome:?}", plan.seed, digest(&lines));
    }
    ExitCode::SUCCESS
}

fn report(plans: &[Plan], run_options: &RunOptions) -> ExitCode {
    let began = Instant::now();
    let totals = run_all_on(plans, run_options.threads);
    let Totals {
        simulations,
        calls,
        changes,
        views,
        frames,
        triggered_faults,
        failures,
    } = &totals;
    println!(
        "{simulations} simulations, {calls} calls answered, {changes} changes acknowledged, {views} views, {frames} frames, \
         {triggered_faults} triggered faults, {} rules violated, {:.1} s",
        failures.len(),
        began.elapsed().as_secs_f64()
    );
    for failure in failures {
        println!(
            "seed {}: {}: {}",
            failure.plan.seed, failure.violation.rule, failure.violation.details
        );
    }
    for failure in failures.iter().take(MAX_REPLAY_FILES) {
        let small = shrink(failure);
        let path = run_options
            .folder
            .join(format!("{}-{}.json", small.violation.rule, small.plan.seed));
        let text = serde_json::to_string_pretty(&small.plan).unwrap_or_default();
        let written =
            std::fs::create_dir_all(&run_options.folder).and_then(|()| std::fs::write(&path, text));
        match written {
            Ok(()) => println!(
                "{} faults left: {}",
                small.plan.faults.len(),
                path.display()
            ),
            Err(error) => println!("{}: {error}", path.display()),
        }
    }
    if failures.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn replay(file: &PathBuf) -> ExitCode {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string());
    let plan = text
        .and_then(|text| serde_json::from_str::<Plan>(&text).map_err(|error| error.to_string()));
    let plan = match plan {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("{}: {error}", file.display());
            return ExitCode::FAILURE;
        }
    };
    let (outcome, lines) = run_with_log(&plan);
    lines.iter().for_each(|line| println!("{line}"));
    if outcome.violations.is_empty() {
        println!("no rule was violated");
        return ExitCode::SUCCESS;
    }
    outcome
        .violations
        .iter()
        .for_each(|violation| println!("{}: {}", violation.rule, violation.details));
    ExitCode::FAILURE
}
