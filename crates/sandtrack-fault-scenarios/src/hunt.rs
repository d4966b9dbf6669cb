//! Plays drawn days with the bench, several at a time, and keeps the files of those that broke something.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use bpaf::Bpaf;
use sandtrack_fault_scenarios::draw;
use sandtrack_fault_scenarios::site::Site;
use sandtrack_fault_scenarios::verdict::{suspicions, Report};

/// Which days to play, and with what.
#[derive(Debug, Clone, Bpaf)]
pub struct Hunt {
    /// The site file
    #[bpaf(argument("SITE.toml"))]
    site: PathBuf,
    /// The bench's program
    #[bpaf(env("SANDTRACK_BENCH"), argument("PROGRAM"))]
    bench: PathBuf,
    /// First seed
    #[bpaf(argument("SEED"), fallback(1))]
    from: u64,
    /// Number of days
    #[bpaf(argument("N"), fallback(10))]
    days: u64,
    /// Days played at once
    #[bpaf(argument("N"), fallback(2))]
    jobs: u64,
    /// Folder for the day files, reports and logs of the finds
    #[bpaf(argument("FOLDER"))]
    keep: PathBuf,
    /// What the bench's journal says of each day
    #[bpaf(argument("TEXT"), fallback("drawn days".to_owned()))]
    why: String,
}

/// The files of one played day.
struct Files {
    day: PathBuf,
    report: PathBuf,
    /// What the bench says of the day.
    summary: PathBuf,
    /// What the processes wrote; the bench passes it on to its standard error.
    log: PathBuf,
}

impl Files {
    fn new(folder: &Path, site: &str, seed: u64) -> Files {
        let file = |suffix| folder.join(format!("{site}-{seed}.{suffix}"));
        Files {
            day: file("toml"),
            report: file("json"),
            summary: file("txt"),
            log: file("log"),
        }
    }

    fn remove(&self) {
        for file in [&self.day, &self.report, &self.summary, &self.log] {
            // A file that was never written is no loss.
            let _ = fs::remove_file(file);
        }
    }
}

impl Hunt {
    /// Plays all days; the error names how many are finds.
    pub fn run(&self) -> Result<(), Box<dyn Error>> {
        let site = Site::parse(&fs::read_to_string(&self.site)?)?;
        fs::create_dir_all(&self.keep)?;
        let next = AtomicU64::new(self.from);
        let finds = AtomicU64::new(0);
        thread::scope(|scope| {
            for _ in 0..self.jobs.max(1) {
                scope.spawn(|| self.work(&site, &next, &finds));
            }
        });
        match finds.into_inner() {
            0 => Ok(()),
            finds => Err(format!(
                "{finds} of {} days are finds, see {}",
                self.days,
                self.keep.display()
            )
            .into()),
        }
    }

    fn work(&self, site: &Site, next: &AtomicU64, finds: &AtomicU64) {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= self.from + self.days {
                return;
            }
            let is_find = self.play(site, seed).unwrap_or_else(|error| {
                println!("{} seed {seed}: NOT PLAYED: {error}", site.name);
                true
            });
            finds.fetch_add(u64::from(is_find), Ordering::Relaxed);
        }
    }

    /// Plays one day and prints its line; true for a find.
    fn play(&self, site: &Site, seed: u64) -> Result<bool, Box<dyn Error>> {
        let files = Files::new(&self.keep, &site.name, seed);
        fs::write(&files.day, draw::day(seed, site).to_string())?;
        let status = Command::new(&self.bench)
            .arg("run")
            .args([&self.site, &files.day])
            .args(["--log", "all", "--report"])
            .arg(&files.report)
            .args(["--why", &format!("{}: seed {seed}", self.why)])
            .stdin(Stdio::null())
            .stdout(fs::File::create(&files.summary)?)
            .stderr(fs::File::create(&files.log)?)
            .status()?;
        if !files.report.exists() {
            return Err(format!(
                "the bench wrote no report ({status}), see {}",
                files.log.display()
            )
            .into());
        }
        let (report, suspicions) = judge(&files.report, &files.log)?;
        print!("{} seed {seed}: {}", site.name, told(&report, &suspicions));
        let is_find = report.is_find() || !suspicions.is_empty();
        if !is_find {
            files.remove();
        }
        Ok(is_find)
    }
}

/// Prints what came out of one day that was played.
pub fn read(report: &Path, log: &Path) -> Result<(), Box<dyn Error>> {
    let (report, suspicions) = judge(report, log)?;
    print!("{}", told(&report, &suspicions));
    Ok(())
}

fn judge(report: &Path, log: &Path) -> Result<(Report, Vec<String>), Box<dyn Error>> {
    let report = Report::parse(&fs::read_to_string(report)?)?;
    let log = fs::read(log)?;
    let suspicions = suspicions(&String::from_utf8_lossy(&log), &report);
    Ok((report, suspicions))
}

/// One line, and one more for all that went wrong.
fn told(report: &Report, suspicions: &[String]) -> String {
    let mut text = format!(
        "worth {:.3}, slowest ack {} ms, exits {}\n",
        report.worth, report.slowest_ack_ms, report.exits
    );
    let parts = [
        ("BROKEN", report.broken_rules.as_slice()),
        ("GATE", report.failed_gates.as_slice()),
        ("FAULT", report.fault.as_slice()),
        ("suspect:", suspicions),
    ];
    for (mark, lines) in parts {
        for line in lines {
            text += &format!("  {mark} {line}\n");
        }
    }
    text
}
