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
struct Range {
    first: u64,
    folder: PathBuf,
    threads: usize,
    count: u64,
}

impl Range {
    fn plans(&self, plan: fn(u64) -> Plan) -> Vec<Plan> {
        (self.first..self.first + self.count).map(plan).collect()
    }
}

#[derive(Clone, Debug)]
enum Verb {
    Seeds(Range),
    Long(Range),
    Closing(Range),
    Turnover(Range),
    Harsh(Range),
    Digests(Range),
    Replay { file: PathBuf },
}

fn range() -> impl Parser<Range> {
    let first = long("first")
        .help("The first seed")
        .argument("SEED")
        .fallback(1);
    let folder = long("folder").help("Where replay files go").argument("DIR");
    let folder = folder.fallback(PathBuf::from("target/worlds"));
    let threads = long("threads")
        .help("Worlds side by side")
        .argument("COUNT")
        .fallback(DEFAULT_THREADS);
    let count = positional::<u64>("COUNT");
    construct!(Range {
        first,
        folder,
        threads,
        count
    })
}

fn verbs() -> OptionParser<Verb> {
    let seeds = range()
        .map(Verb::Seeds)
        .to_options()
        .descr("Plays the worlds of so many seeds")
        .command("seeds");
    let long = range().map(Verb::Long).to_options();
    let long = long
        .descr("Plays long worlds of description a thousand changes")
        .command("long");
    let digests = range().map(Verb::Digests).to_options();
    let digests = digests
        .descr("Prints what each world came to, with a digest of its log")
        .command("digests");
    let file = positional::<PathBuf>("FILE");
    let replay = construct!(Verb::Replay { file })
        .to_options()
        .descr("Plays the world of a replay file, with its log")
        .command("replay");
    let closing = range().map(Verb::Closing).to_options();
    let closing = closing
        .descr("Plays worlds in which all machines are struck at once")
        .command("closing");
    let turnover = range().map(Verb::Turnover).to_options();
    let turnover = turnover
        .descr("Plays worlds whose machines are all replaced")
        .command("turnover");
    let harsh = range().map(Verb::Harsh).to_options();
    let harsh = harsh
        .descr("Plays worlds of slow nodes, lost zones and full disks")
        .command("harsh");
    construct!([seeds, long, closing, turnover, harsh, digests, replay])
        .to_options()
        .descr("Seeded worlds of control plane and proxies")
}

fn main() -> ExitCode {
    match verbs().run() {
        Verb::Seeds(range) => report(&range.plans(Plan::mixed), &range),
        Verb::Long(range) => report(&range.plans(Plan::long), &range),
        Verb::Closing(range) => report(&range.plans(Plan::triggered), &range),
        Verb::Turnover(range) => report(&range.plans(Plan::turnover), &range),
        Verb::Harsh(range) => report(&range.plans(Plan::harsh), &range),
        Verb::Digests(range) => digests(&range.plans(Plan::mixed)),
        Verb::Replay { file } => replay(&file),
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

fn report(plans: &[Plan], range: &Range) -> ExitCode {
    let began = Instant::now();
    let totals = run_all_on(plans, range.threads);
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
        "{simulations} worlds, {calls} calls answered, {changes} changes acknowledged, {views} views, {frames} frames, \
         {triggered_faults} closing faults, {} rules broken, {:.1} s",
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
        let path = range
            .folder
            .join(format!("{}-{}.json", small.violation.rule, small.plan.seed));
        let text = serde_json::to_string_pretty(&small.plan).unwrap_or_default();
        let written =
            std::fs::create_dir_all(&range.folder).and_then(|()| std::fs::write(&path, text));
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
        println!("no rule was broken");
        return ExitCode::SUCCESS;
    }
    outcome
        .violations
        .iter()
        .for_each(|violation| println!("{}: {}", violation.rule, violation.details));
    ExitCode::FAILURE
}
