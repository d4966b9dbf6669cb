//! `sandtrack-days`: writes the day of a seed, or plays the days of many seeds and keeps those that broke something.

mod hunt;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use sandtrack_days::draw;
use sandtrack_days::site::Site;

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
