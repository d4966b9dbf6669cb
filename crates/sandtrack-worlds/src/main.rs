//! Plays worlds: `sandtrack-worlds seeds 10000`, `sandtrack-worlds long 3`, `sandtrack-worlds replay FILE`.
use bpaf::{construct, long, positional, OptionParser, Parser};
use sandtrack_worlds::plan::Plan;
use sandtrack_worlds::search::{play_all, play_with_log, shrink, Totals};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

/// So many failing worlds are made small and written down.
const WRITTEN_MOST: usize = 5;

#[derive(Clone, Debug)]
enum Verb {
    Seeds { first: u64, folder: PathBuf, count: u64 },
    Long { first: u64, folder: PathBuf, count: u64 },
    Replay { file: PathBuf },
}

fn verbs() -> OptionParser<Verb> {
    let first = || long("first").help("The first seed").argument("SEED").fallback(1);
    let folder = || {
        long("folder").help("Where replay files go").argument("DIR").fallback(PathBuf::from("target/worlds"))
    };
    let count = || positional::<u64>("COUNT");
    let (one, two, three) = (first(), folder(), count());
    let seeds = construct!(Verb::Seeds { first(one), folder(two), count(three) })
        .to_options()
        .descr("Plays the worlds of so many seeds")
        .command("seeds");
    let (one, two, three) = (first(), folder(), count());
    let long = construct!(Verb::Long { first(one), folder(two), count(three) })
        .to_options()
        .descr("Plays long worlds of about a thousand changes")
        .command("long");
    let file = positional::<PathBuf>("FILE");
    let replay = construct!(Verb::Replay { file })
        .to_options()
        .descr("Plays the world of a replay file, with its log")
        .command("replay");
    construct!([seeds, long, replay]).to_options().descr("Seeded worlds of control plane and proxies")
}

fn main() -> ExitCode {
    match verbs().run() {
        Verb::Seeds { first, folder, count } => {
            report(&(first..first + count).map(Plan::drawn).collect::<Vec<Plan>>(), &folder)
        }
        Verb::Long { first, folder, count } => {
            report(&(first..first + count).map(Plan::long).collect::<Vec<Plan>>(), &folder)
        }
        Verb::Replay { file } => replay(&file),
    }
}

fn report(plans: &[Plan], folder: &PathBuf) -> ExitCode {
    let began = Instant::now();
    let totals = play_all(plans);
    let Totals { worlds, calls, changes, views, frames, failures } = &totals;
    println!(
        "{worlds} worlds, {calls} calls answered, {changes} changes acknowledged, {views} views, {frames} frames, \
         {} rules broken, {:.1} s",
        failures.len(),
        began.elapsed().as_secs_f64()
    );
    for failure in failures {
        println!("seed {}: {}: {}", failure.plan.seed, failure.broken.rule, failure.broken.what);
    }
    for failure in failures.iter().take(WRITTEN_MOST) {
        let small = shrink(failure);
        let path = folder.join(format!("{}-{}.json", small.broken.rule, small.plan.seed));
        let text = serde_json::to_string_pretty(&small.plan).unwrap_or_default();
        let written = std::fs::create_dir_all(folder).and_then(|()| std::fs::write(&path, text));
        match written {
            Ok(()) => println!("{} faults left: {}", small.plan.faults.len(), path.display()),
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
    let plan = text.and_then(|text| serde_json::from_str::<Plan>(&text).map_err(|error| error.to_string()));
    let plan = match plan {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("{}: {error}", file.display());
            return ExitCode::FAILURE;
        }
    };
    let (outcome, lines) = play_with_log(&plan);
    lines.iter().for_each(|line| println!("{line}"));
    if outcome.broken.is_empty() {
        println!("no rule was broken");
        return ExitCode::SUCCESS;
    }
    outcome.broken.iter().for_each(|broken| println!("{}: {}", broken.rule, broken.what));
    ExitCode::FAILURE
}
