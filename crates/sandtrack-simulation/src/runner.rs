//! Runs simulations, also many in parallel.
use crate::event_log;
use crate::oracle::Violation;
use crate::plan::Plan;
use crate::simulation::{Outcome, Simulation};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The default number of threads.
pub const DEFAULT_THREADS: usize = 4;

/// Runs one simulation; a panic of the code counts as a violation.
pub fn run(plan: &Plan) -> Outcome {
    let played = catch_unwind(AssertUnwindSafe(|| Simulation::new(plan.clone()).run()));
    played.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let what = text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        let violation = Violation {
            rule: "no_panic",
            details: what.unwrap_or_default(),
        };
        Outcome {
            violations: vec![violation],
            ..Outcome::default()
        }
    })
}

/// Runs one simulation and returns its log too.
pub fn run_with_log(plan: &Plan) -> (Outcome, Vec<String>) {
    event_log::start();
    let outcome = run(plan);
    (outcome, event_log::take())
}

/// The offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The 64-bit FNV-1a hash of lines: the same for two runs with the same log.
pub fn digest(lines: &[String]) -> u64 {
    let bytes = lines.iter().flat_map(|line| line.bytes().chain([b'\n']));
    bytes.fold(FNV_OFFSET_BASIS, |digest, byte| {
        (digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// A plan whose simulation violated a rule.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The plan.
    pub plan: Plan,
    /// What its simulation violated.
    pub violation: Violation,
}

/// The sums over many simulations.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Simulations that were run.
    pub simulations: usize,
    /// Calls of operators with a definite response.
    pub calls: u64,
    /// Changes that were acknowledged.
    pub changes: u64,
    /// The sum of the last epochs.
    pub views: u64,
    /// Frames that were delivered.
    pub frames: u64,
    /// Triggered faults whose trigger fired.
    pub triggered_faults: u64,
    /// All violations, with their plans.
    pub failures: Vec<Failure>,
}

impl Totals {
    fn add(&mut self, plan: &Plan, outcome: Outcome) {
        self.simulations += 1;
        self.calls += outcome.calls;
        self.changes += outcome.changes;
        self.views += outcome.views;
        self.frames += outcome.frames;
        self.triggered_faults += outcome.triggered_faults;
        let failures = outcome.violations.into_iter();
        self.failures.extend(failures.map(|violation| Failure {
            plan: plan.clone(),
            violation,
        }));
    }
}

/// Runs all plans, [`DEFAULT_THREADS`] in parallel; failures are ordered by seed.
pub fn run_all(plans: &[Plan]) -> Totals {
    run_all_on(plans, DEFAULT_THREADS)
}

/// Runs all plans on at most `threads` threads and at most one for each processor.
pub fn run_all_on(plans: &[Plan], threads: usize) -> Totals {
    let next = AtomicUsize::new(0);
    let totals = Mutex::new(Totals::default());
    let threads = std::thread::available_parallelism()
        .map_or(2, usize::from)
        .min(threads.max(1));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some(plan) = plans.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let outcome = run(plan);
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
