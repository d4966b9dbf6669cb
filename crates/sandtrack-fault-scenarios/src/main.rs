//! `sandtrack-fault-scenarios`: writes the day of a seed, or plays the days of many seeds and keeps those that broke something.

mod ablate;
mod hunt;
mod scratch;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use sandtrack_fault_scenarios::draw;
use sandtrack_fault_scenarios::informed::{informed, Earned};
use sandtrack_fault_scenarios::site::Site;

#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
/// Days of trouble for the bench, drawn from a seed
enum Command {
    /// Writes the day of one seed to standard output.
    Draw {
        /// The seed
        #[bpaf(argument("N"))]
        seed: u64,
        /// The site file
        #[bpaf(argument("SITE.toml"))]
        site: PathBuf,
    },
    /// Work out what an informed scheduler could have earned on the days of a site file
    #[bpaf(command)]
    Informed {
        /// The site file
        #[bpaf(argument("SITE.toml"))]
        site: PathBuf,
        /// Names of days, joined by commas
        #[bpaf(argument("DAYS"))]
        days: String,
        /// The seed
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
    },
    /// Play days in pairs, with and without changes of the proxy, and print what each change is worth
    #[bpaf(command)]
    Ablate(#[bpaf(external(ablate::ablate))] ablate::Ablate),
    /// Read the report and the log lines of a day that was played
    #[bpaf(command)]
    Read {
        /// The bench's report
        #[bpaf(argument("FILE"))]
        report: PathBuf,
        /// What the bench wrote to its standard error with `--log all`
        #[bpaf(argument("FILE"))]
        log: PathBuf,
    },
    /// Play the days of consecutive seeds, print one line for each, keep the finds
    #[bpaf(command)]
    Hunt(#[bpaf(external(hunt::hunt))] hunt::Hunt),
}

fn main() -> ExitCode {
    let done = match command().run() {
        Command::Draw { seed, site } => draw_one(seed, &site),
        Command::Informed { site, days, seed } => tell_informed(&site, &days, seed),
        Command::Ablate(ablate) => ablate.run(),
        Command::Read { report, log } => hunt::read(&report, &log),
        Command::Hunt(hunt) => hunt.run(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn draw_one(seed: u64, site: &PathBuf) -> Result<(), Box<dyn std::error::Error>> {
    let site = Site::parse(&std::fs::read_to_string(site)?)?;
    print!("{}", draw::day(seed, &site));
    Ok(())
}

fn tell_informed(site: &PathBuf, days: &str, seed: u64) -> Result<(), Box<dyn std::error::Error>> {
    let site = std::fs::read_to_string(site)?;
    for day in days.split(',') {
        let earned = informed(&site, day, seed)?;
        let Earned {
            whole_day,
            worst_windows,
            worst_class,
            owed,
            ..
        } = &earned;
        println!("{day}: whole day {whole_day:.3}, worst windows {worst_windows:.3}, worst class {worst_class:.3}, owed {owed:.0}");
        for (class, share) in &earned.classes {
            println!("  {class} {share:.3}");
        }
    }
    Ok(())
}
