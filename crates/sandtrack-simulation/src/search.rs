//! Plays many worlds.
use crate::judge::Broken;
use crate::log_lines;
use crate::plan::Plan;
use crate::world::{Outcome, World};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Threads, where nothing else is asked for.
pub const THREADS: usize = 4;

/// Plays one world; a panic of the code is a rule broken like any other.
pub fn play(plan: &Plan) -> Outcome {
    let played = catch_unwind(AssertUnwindSafe(|| World::new(plan.clone()).play()));
    played.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let what = text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        let broken = Broken {
            rule: "no_panic",
            what: what.unwrap_or_default(),
        };
        Outcome {
            broken: vec![broken],
            ..Outcome::default()
        }
    })
}

/// Plays one world and gives its log too.
pub fn play_with_log(plan: &Plan) -> (Outcome, Vec<String>) {
    log_lines::start();
    let outcome = play(plan);
    (outcome, log_lines::take())
}

/// FNV-1a, 64 bits: its start and its factor.
const FNV_START: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A number that is the same for two plays whose logs are the same, line by line.
pub fn digest(lines: &[String]) -> u64 {
    let bytes = lines.iter().flat_map(|line| line.bytes().chain([b'\n']));
    bytes.fold(FNV_START, |digest, byte| {
        (digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// A world that broke a rule.
#[derive(Clone, Debug)]
pub struct Failure {
    pub plan: Plan,
    pub broken: Broken,
}

/// What many worlds came to.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    pub worlds: usize,
    pub calls: u64,
    pub changes: u64,
    pub views: u64,
    pub frames: u64,
    pub blows: u64,
    pub failures: Vec<Failure>,
}

impl Totals {
    fn add(&mut self, plan: &Plan, outcome: Outcome) {
        self.worlds += 1;
        self.calls += outcome.calls;
        self.changes += outcome.changes;
        self.views += outcome.views;
        self.frames += outcome.frames;
        self.blows += outcome.blows;
        let failures = outcome.broken.into_iter();
        self.failures.extend(failures.map(|broken| Failure {
            plan: plan.clone(),
            broken,
        }));
    }
}

/// Plays all of them, several side by side; failures come in the order of the plans.
pub fn play_all(plans: &[Plan]) -> Totals {
    play_all_on(plans, THREADS)
}

/// The same on so many threads, or as many as there are processors.
pub fn play_all_on(plans: &[Plan], threads: usize) -> Totals {
    let next = AtomicUsize::new(0);
    let totals = Mutex::new(Totals::default());
    let threads = std::thread::available_parallelism()
        .map_or(2, usize::from)
        .min(threads.max(1));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some(plan) = plans.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let outcome = play(plan);
                    if let Ok(mut totals) = totals.lock() {
                        totals.add(plan, outcome);
                    }
                }
            });
        }
    });
    let mut totals = totals.into_inner().unwrap_or_default();
    totals.failures.sort_by_key(|failure| failure.plan.seed);
    totals
}
