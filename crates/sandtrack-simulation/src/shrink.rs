//! Makes a failing world small.
use crate::search::{play, Failure};

/// Leaves out one fault after the other while the same rule is still broken.
pub fn shrink(failure: &Failure) -> Failure {
    let mut small = failure.clone();
    let mut at = 0;
    while at < small.plan.faults.len() {
        let mut plan = small.plan.clone();
        plan.faults.remove(at);
        let same = play(&plan)
            .broken
            .into_iter()
            .find(|broken| broken.rule == small.broken.rule);
        match same {
            Some(broken) => small = Failure { plan, broken },
            None => at += 1,
        }
    }
    small
}
