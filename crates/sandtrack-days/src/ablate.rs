//! Plays days with constants of the proxy's policy set anew, each set in a scratch copy of the repository, and prints what
//! every one of them earned. The programs must be built with the feature `ablation` of `sandtrack-proxy`.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;

use bpaf::Bpaf;
use sandtrack_days::verdict::Report;

/// What a scratch copy holds beside the programs.
const COPIED: [&str; 7] = ["Cargo.toml", "Cargo.lock", "README.md", "LICENSE", "crates", "src", DEPLOY_FILE];
/// The programs that the deploy file runs.
const PROGRAMS: [&str; 2] = ["sandtrack-proxy", "sandtrack-control"];
const DEPLOY_FILE: &str = "deploy/system.toml";
const BUILD: &str = "build = \"cargo build --release\"";
const RUN_PROXY: &str = "run = \"target/release/sandtrack-proxy";

/// Which constants to set, and which days to play.
#[derive(Debug, Clone, Bpaf)]
pub struct Ablate {
    /// A site file; may be given more than once
    #[bpaf(argument("SITE.toml"), some("a site is needed"))]
    site: Vec<PathBuf>,
    /// The bench's program
    #[bpaf(env("SANDTRACK_BENCH"), argument("PROGRAM"))]
    bench: PathBuf,
    /// Lines of a name and NAME=VALUE,...; a name alone stands for the default
    #[bpaf(argument("FILE"))]
    changes: PathBuf,
    /// Folder of programs that were built with the feature `ablation`
    #[bpaf(argument("FOLDER"))]
    programs: PathBuf,
    /// Names of days, joined by commas
    #[bpaf(argument("DAYS"))]
    days: String,
    /// Seeds, joined by commas; 0: the day's own
    #[bpaf(argument("SEEDS"), fallback("0".to_owned()))]
    seeds: String,
    /// Folder for scratch copies and reports
    #[bpaf(argument("FOLDER"))]
    scratch: PathBuf,
    /// Days played at once
    #[bpaf(argument("N"), fallback(4))]
    jobs: usize,
    /// Small twins of large days
    small: bool,
}

/// One day to be played with one set of constants.
struct Play {
    change: String,
    repository: PathBuf,
    site: PathBuf,
    day: String,
    seed: String,
}

impl Ablate {
    /// Plays all days, and prints a line for each once all are over.
    pub fn run(&self) -> Result<(), Box<dyn Error>> {
        let plays = self.plays()?;
        let next = AtomicUsize::new(0);
        let lines = Mutex::new(Vec::new());
        thread::scope(|scope| {
            for _ in 0..self.jobs.max(1) {
                scope.spawn(|| loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    let Some(play) = plays.get(at) else { return };
                    let worth =
                        self.play(play).map_or_else(|error| error.to_string(), |worth| format!("{worth:.4}"));
                    if let Ok(mut lines) = lines.lock() {
                        lines.push((at, worth));
                    }
                });
            }
        });
        let mut lines = lines.into_inner()?;
        lines.sort_unstable();
        for (at, worth) in lines {
            let Play { change, site, day, seed, .. } = &plays[at];
            println!("{change} {} {day} {seed} {worth}", stem(site));
        }
        Ok(())
    }

    fn plays(&self) -> Result<Vec<Play>, Box<dyn Error>> {
        let mut plays = Vec::new();
        for line in fs::read_to_string(&self.changes)?.lines().filter(|line| !line.trim().is_empty()) {
            let (change, policy) = line.trim().split_once(' ').unwrap_or((line.trim(), ""));
            let repository = self.scratch_copy(change, policy.trim())?;
            for site in &self.site {
                for day in self.days.split(',') {
                    plays.extend(self.seeds.split(',').map(|seed| Play {
                        change: change.to_owned(),
                        repository: repository.clone(),
                        site: site.clone(),
                        day: day.to_owned(),
                        seed: seed.to_owned(),
                    }));
                }
            }
        }
        Ok(plays)
    }

    /// A copy of this folder's repository whose proxy runs with these constants.
    fn scratch_copy(&self, change: &str, policy: &str) -> Result<PathBuf, Box<dyn Error>> {
        let copy = self.scratch.join(change);
        fs::create_dir_all(copy.join("target/release"))?;
        fs::create_dir_all(copy.join("journal"))?;
        for name in COPIED {
            let to = copy.join(name);
            fs::create_dir_all(to.parent().unwrap_or(&copy))?;
            copy_all(Path::new(name), &to)?;
        }
        for program in PROGRAMS {
            fs::copy(self.programs.join(program), copy.join("target/release").join(program))?;
        }
        let mut deploy = fs::read_to_string(DEPLOY_FILE)?.replace(BUILD, "build = \"true\"");
        if !policy.is_empty() {
            deploy = deploy.replace(RUN_PROXY, &format!("{RUN_PROXY} --policy {policy}"));
        }
        fs::write(copy.join(DEPLOY_FILE), deploy)?;
        Ok(fs::canonicalize(copy)?)
    }

    fn play(&self, play: &Play) -> Result<f64, Box<dyn Error>> {
        let name = format!("{}-{}-{}-{}.json", play.change, stem(&play.site), play.day, play.seed);
        let report = fs::canonicalize(&self.scratch)?.join(name);
        let mut command = Command::new(fs::canonicalize(&self.bench)?);
        command.current_dir(&play.repository).arg("run").arg(fs::canonicalize(&play.site)?).arg(&play.day);
        command.arg("--no-cpu").arg("--report").arg(&report);
        command.args(["--why", &format!("trial, ablation: {}", play.change)]);
        if play.seed != "0" {
            command.args(["--seed", &play.seed]);
        }
        if self.small {
            command.arg("--small");
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).status()?;
        Ok(Report::parse(&fs::read_to_string(&report)?)?.worth)
    }
}

fn stem(site: &Path) -> String {
    site.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}

fn copy_all(from: &Path, to: &Path) -> std::io::Result<()> {
    if !from.is_dir() {
        return fs::copy(from, to).map(|_| ());
    }
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        copy_all(&entry.path(), &to.join(entry.file_name()))?;
    }
    Ok(())
}
