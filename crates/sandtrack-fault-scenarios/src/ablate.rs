//! Plays days in pairs, with and without a change of the proxy's policy or programs, and prints for each change how much it
//! is worth, how sure that is, and of how many pairs.

use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

use bpaf::Bpaf;
use rayon::iter::{IntoParallelRefIterator, ParallelIterator};
use sandtrack_fault_scenarios::paired::{Decision, Differences, Rule};

use crate::scratch::{stem, Play, Repository};

/// Name of the plays without a change.
const DEFAULT: &str = "default";

/// Which changes to try, and on which days.
#[derive(Debug, Clone, Bpaf)]
pub struct Ablate {
    /// A site file; may be given more than once
    #[bpaf(argument("SITE.toml"), some("a site is needed"))]
    site: Vec<PathBuf>,
    /// The bench's program
    #[bpaf(env("SANDTRACK_BENCH"), argument("PROGRAM"))]
    bench: PathBuf,
    /// Lines of a name, a folder of programs (`@FOLDER`, where others than the default's) and NAME=VALUE,...
    #[bpaf(argument("FILE"))]
    changes: PathBuf,
    /// Folder of programs that were built with the feature `ablation`
    #[bpaf(argument("FOLDER"))]
    programs: PathBuf,
    /// Names of days, joined by commas
    #[bpaf(argument("DAYS"))]
    days: String,
    /// Seeds, joined by commas; 0: the day's own
    #[bpaf(argument("SEEDS"), fallback("11,12,13".to_owned()))]
    seeds: String,
    /// Folder for scratch copies and reports
    #[bpaf(argument("FOLDER"))]
    scratch: PathBuf,
    /// Days played at once
    #[bpaf(argument("N"), fallback(4))]
    jobs: usize,
    /// Small twins of large days
    small: bool,
    /// Differences of less than this count as none
    #[bpaf(argument("WORTH"), fallback(0.002))]
    alike_within: f64,
}

/// A change to be tried: programs and constants in place of the default's.
struct Change {
    name: String,
    programs: Option<PathBuf>,
    policy: String,
}

impl Change {
    fn parse(line: &str) -> Change {
        let mut change = Change {
            name: String::new(),
            programs: None,
            policy: String::new(),
        };
        for word in line.split_whitespace() {
            match word.strip_prefix('@') {
                _ if change.name.is_empty() => word.clone_into(&mut change.name),
                Some(folder) => change.programs = Some(PathBuf::from(folder)),
                None => word.clone_into(&mut change.policy),
            }
        }
        change
    }
}

/// A day of a site with one seed; played with every change that is still open.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Occasion {
    site: usize,
    day: String,
    seed: String,
}

/// A change on a site.
type Row = (usize, usize);

impl Ablate {
    /// Plays pairs seed by seed until each change is decided on at each site or seeds are over.
    pub fn run(&self) -> Result<(), Box<dyn Error>> {
        let lines = fs::read_to_string(&self.changes)?;
        let changes: Vec<Change> = lines
            .lines()
            .filter(|line| !line.trim().is_empty())
            .map(Change::parse)
            .collect();
        let changes: Vec<Change> = changes
            .into_iter()
            .filter(|change| change.name != DEFAULT)
            .collect();
        let default = Repository::create(&self.scratch, DEFAULT, &self.programs, "")?;
        let mut repositories = Vec::new();
        for Change {
            name,
            programs,
            policy,
        } in &changes
        {
            let programs = programs.as_ref().unwrap_or(&self.programs);
            repositories.push(Repository::create(&self.scratch, name, programs, policy)?);
        }
        let days: Vec<&str> = self.days.split(',').collect();
        let seeds: Vec<&str> = self.seeds.split(',').collect();
        let pairs_most = days.len() * seeds.len();
        let rule = Rule {
            alpha: 0.05,
            pairs_least: pairs_most.min(3),
            pairs_most,
            alike_within: self.alike_within,
        };
        let pool = rayon::ThreadPoolBuilder::new()
            .num_threads(self.jobs.max(1))
            .build()?;
        let mut rows: BTreeMap<Row, Differences> = BTreeMap::new();
        for seed in seeds {
            let open = |row: &Row| {
                rows.get(row)
                    .is_none_or(|of| of.decide(&rule) == Decision::Open)
            };
            let open: Vec<Row> = (0..changes.len())
                .flat_map(|change| (0..self.site.len()).map(move |site| (change, site)))
                .filter(open)
                .collect();
            let plays = self.plays(&default, &repositories, &open, &days, seed);
            let left = AtomicUsize::new(plays.len());
            let played: Vec<Option<f64>> = pool.install(|| {
                plays
                    .par_iter()
                    .map(|(_, _, play)| self.play(play, &left))
                    .collect()
            });
            let worth: BTreeMap<(Option<usize>, &Occasion), f64> = plays
                .iter()
                .zip(&played)
                .filter_map(|((change, occasion, _), worth)| Some(((*change, occasion), (*worth)?)))
                .collect();
            for ((change, occasion), with) in &worth {
                let (Some(change), Some(without)) = (change, worth.get(&(None, *occasion))) else {
                    continue;
                };
                rows.entry((*change, occasion.site))
                    .or_default()
                    .add(with - without);
            }
        }
        println!("change site mean standard-error pairs decision");
        for ((change, site), differences) in &rows {
            let error = differences
                .standard_error()
                .map_or("-".to_owned(), |error| format!("{error:.4}"));
            println!(
                "{} {} {:+.4} {error} {} {}",
                changes[*change].name,
                stem(&self.site[*site]),
                differences.mean(),
                differences.pairs(),
                differences.decide(&rule).name(),
            );
        }
        Ok(())
    }

    /// The plays of one seed: each occasion without a change, and with each that is open there.
    fn plays<'a>(
        &self,
        default: &'a Repository,
        changed: &'a [Repository],
        open: &[Row],
        days: &[&str],
        seed: &str,
    ) -> Vec<(Option<usize>, Occasion, Play<'a>)> {
        let mut plays = Vec::new();
        for (site, file) in self.site.iter().enumerate() {
            let of_site: Vec<usize> = open
                .iter()
                .filter(|row| row.1 == site)
                .map(|row| row.0)
                .collect();
            if of_site.is_empty() {
                continue;
            }
            for day in days {
                let occasion = Occasion {
                    site,
                    day: (*day).to_owned(),
                    seed: seed.to_owned(),
                };
                let play = |repository| Play {
                    repository,
                    site: file.clone(),
                    day: (*day).to_owned(),
                    seed: seed.to_owned(),
                    small: self.small,
                };
                plays.push((None, occasion.clone(), play(default)));
                let changes = of_site
                    .iter()
                    .map(|change| (Some(*change), occasion.clone(), play(&changed[*change])));
                plays.extend(changes);
            }
        }
        plays
    }

    /// Plays one day and prints what it earned; none where the bench could not play it.
    fn play(&self, play: &Play<'_>, left: &AtomicUsize) -> Option<f64> {
        let played = play.run(&self.bench);
        let left = left.fetch_sub(1, Ordering::Relaxed) - 1;
        let told = match &played {
            Ok(report) => format!(
                "{:.4}{}",
                report.worth,
                if report.is_find() { " BROKEN" } else { "" }
            ),
            Err(error) => format!("not played: {error}"),
        };
        let Play {
            repository,
            site,
            day,
            seed,
            ..
        } = play;
        println!(
            "{} {} {day} {seed} {told} ({left} left of this seed)",
            repository.name,
            stem(site)
        );
        played.ok().map(|report| report.worth)
    }
}
