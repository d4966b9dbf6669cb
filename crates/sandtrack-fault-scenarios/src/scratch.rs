//! Scratch copies of the repository whose programs and policy differ, and plays of days in them.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use sandtrack_fault_scenarios::verdict::Report;

/// What a scratch copy holds beside the programs.
const COPIED: [&str; 7] = [
    "Cargo.toml",
    "Cargo.lock",
    "README.md",
    "LICENSE",
    "crates",
    "src",
    DEPLOY_FILE,
];
/// The programs that the deploy file runs.
const PROGRAMS: [&str; 2] = ["sandtrack-proxy", "sandtrack-control"];
const DEPLOY_FILE: &str = "deploy/system.toml";
const BUILD: &str = "build = \"cargo build --release\"";
const RUN_PROXY: &str = "run = \"target/release/sandtrack-proxy";
/// So much of what the bench says of a failure is shown, in characters.
const TOLD_MOST: usize = 400;

/// A copy of this folder's repository whose proxy runs with constants of its own.
pub struct Repository {
    /// Of the change that it stands for.
    pub name: String,
    folder: PathBuf,
    reports: PathBuf,
}

impl Repository {
    /// Copies the sources of this folder and the programs of another, and sets the proxy's policy.
    pub fn create(
        scratch: &Path,
        name: &str,
        programs: &Path,
        policy: &str,
    ) -> Result<Repository, Box<dyn Error>> {
        let copy = scratch.join(name);
        fs::create_dir_all(copy.join("target/release"))?;
        fs::create_dir_all(copy.join("journal"))?;
        for name in COPIED {
            let to = copy.join(name);
            fs::create_dir_all(to.parent().unwrap_or(&copy))?;
            copy_all(Path::new(name), &to)?;
        }
        for program in PROGRAMS {
            fs::copy(
                absolute(&programs.join(program))?,
                copy.join("target/release").join(program),
            )?;
        }
        let mut deploy = fs::read_to_string(DEPLOY_FILE)?.replace(BUILD, "build = \"true\"");
        if !policy.is_empty() {
            deploy = deploy.replace(RUN_PROXY, &format!("{RUN_PROXY} --policy {policy}"));
        }
        fs::write(copy.join(DEPLOY_FILE), deploy)?;
        Ok(Repository {
            name: name.to_owned(),
            folder: absolute(&copy)?,
            reports: absolute(scratch)?,
        })
    }
}

/// One day to be played in a scratch copy.
pub struct Play<'a> {
    pub repository: &'a Repository,
    pub site: PathBuf,
    pub day: String,
    /// `0`: the day's own.
    pub seed: String,
    /// The small twin of a large day.
    pub small: bool,
}

impl Play<'_> {
    /// Plays it without charging processor time.
    pub fn run(&self, bench: &Path) -> Result<Report, Box<dyn Error + Send + Sync>> {
        let Repository {
            name,
            folder,
            reports,
        } = self.repository;
        let report = reports.join(format!(
            "{name}-{}-{}-{}.json",
            stem(&self.site),
            self.day,
            self.seed
        ));
        let mut command = Command::new(absolute(bench)?);
        command
            .current_dir(folder)
            .arg("run")
            .arg(absolute(&self.site)?)
            .arg(&self.day);
        command.arg("--no-cpu").arg("--report").arg(&report);
        command.args(["--why", &format!("trial, pairs: {name}")]);
        if self.seed != "0" {
            command.args(["--seed", &self.seed]);
        }
        if self.small {
            command.arg("--small");
        }
        let output = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .output()?;
        let Ok(text) = fs::read_to_string(&report) else {
            let said = String::from_utf8_lossy(&output.stderr);
            let said: String = said.trim().chars().take(TOLD_MOST).collect();
            return Err(format!("{}: {said}", output.status).into());
        };
        let report = Report::parse(&text)?;
        match report.worth.is_nan() {
            true => Err("nothing was served".into()),
            false => Ok(report),
        }
    }
}

/// The name of a site file without its ending.
pub fn stem(site: &Path) -> String {
    site.file_stem()
        .map(|stem| stem.to_string_lossy().into_owned())
        .unwrap_or_default()
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

/// Reads a path as the bench will, which runs in another folder.
fn absolute(path: &Path) -> std::io::Result<PathBuf> {
    fs::canonicalize(path)
        .map_err(|error| std::io::Error::new(error.kind(), format!("{}: {error}", path.display())))
}
