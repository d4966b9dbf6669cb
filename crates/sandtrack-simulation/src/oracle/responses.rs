//! Rules about the responses to operators.
use super::Oracle;
use crate::plan::Millis;

impl Oracle {
    /// In a stable cluster an operation has a definite response in time.
    pub fn response_time_when_stable(
        &mut self,
        operation: usize,
        waits_ms: Millis,
        bound_ms: Millis,
    ) {
        self.check(
            waits_ms <= bound_ms,
            "a_stable_core_answers_in_time",
            || format!("operation {operation} has waited for {waits_ms:.0} ms"),
        );
    }

    /// A control node forwards calls itself. It redirects only operations on zones (`is_zone_operation`), with status 307 and
    /// to another node (`names_another`).
    pub fn redirect(
        &mut self,
        machine: usize,
        status: u16,
        is_zone_operation: bool,
        names_another: bool,
    ) {
        let redirects = (300..400).contains(&status);
        let may = status == 307 && is_zone_operation && names_another;
        self.check(
            !redirects || may,
            "a_redirect_is_of_a_zone_order_to_another",
            || format!("machine {machine} answered {status}"),
        );
    }

    /// No control node gives a definite response after it was isolated from the majority for more than `bound_ms`.
    pub fn definite_response(
        &mut self,
        machine: usize,
        status: u16,
        isolated_ms: Millis,
        bound_ms: Millis,
    ) {
        // 400 means that the request is malformed, which a node knows by itself.
        let definite = status < 500 && status != 400;
        self.check(
            !definite || isolated_ms <= bound_ms,
            "no_definite_answer_without_majority",
            || {
                format!(
                    "machine {machine} answered {status} after {isolated_ms:.0} ms without a majority"
                )
            },
        );
    }

    /// In the steady state at the end, an operation is acknowledged in time.
    pub fn acknowledged_in_steady_state(
        &mut self,
        details: &str,
        status: Option<u16>,
        bound_ms: Millis,
    ) {
        self.check(
            status == Some(200),
            "after_calm_an_order_is_acknowledged",
            || format!("{details}: {status:?} within {bound_ms:.0} ms"),
        );
    }
}
