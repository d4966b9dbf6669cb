//! Shrinking of failing plans.
use crate::runner::{run, Failure};

/// Leaves out one fault after the other as long as the same rule is still violated.
pub fn shrink(failure: &Failure) -> Failure {
    let mut small = failure.clone();
    let mut at = 0;
    while at < small.plan.faults.len() {
        let mut plan = small.plan.clone();
        plan.faults.remove(at);
        let same = run(&plan)
            .violations
            .into_iter()
            .find(|violation| violation.rule == small.violation.rule);
        match same {
            Some(violation) => small = Failure { plan, violation },
            None => at += 1,
        }
    }
    small
}
