//! Selects the upstream for the next attempt, waiting for capacity if necessary.
use super::Forwarding;
use crate::exchange::state::Input;
use crate::placement::selection::Placement;
use async_io::Timer;
use sandtrack_tiers::Millis;
use std::time::Duration;

impl Forwarding<'_> {
    /// Selects the upstream for the next attempt, waiting for capacity for a limited time. Attempts after the first are taken
    /// from the retry budget.
    pub(super) async fn select_upstream(&self) -> Input {
        let request = self.request;
        let max_wait = (request.route.target_latency_ms).min(request.time_left(request.arrived_at))
            * self.context.policy.placement_wait_ratio;
        let reject_at = request.arrived_at + max_wait;
        let poll_interval = self.context.policy.placement_retry_ms;
        loop {
            let now = self.context.clock.now();
            if now >= request.deadline {
                return Input::DeadlineExceeded;
            }
            if let Some(upstream) = self.pick_upstream(now, &self.attempted_upstreams) {
                let in_budget =
                    !self.exchange.needs_retry_budget() || self.take_from_retry_budget(now);
                return if in_budget {
                    Input::UpstreamSelected(upstream)
                } else {
                    Input::RetryBudgetExhausted
                };
            }
            let reject_early = now >= reject_at && self.exchange.may_reject_early();
            if reject_early || now + poll_interval >= request.deadline {
                return Input::NoCapacity;
            }
            Timer::after(Duration::from_secs_f64(poll_interval / 1000.0)).await;
        }
    }

    /// Selects an upstream with capacity, if possible one that is not in `excluded`.
    pub(super) fn pick_upstream(&self, now: Millis, excluded: &[usize]) -> Option<usize> {
        match self
            .context
            .balancer
            .borrow_mut()
            .choose_upstream(now, self.request, excluded)
        {
            Placement::Send(upstream) => Some(upstream),
            Placement::Wait | Placement::Unavailable => None,
        }
    }

    /// Takes one attempt from the service's retry budget; returns whether the budget allowed it.
    pub(super) fn take_from_retry_budget(&self, now: Millis) -> bool {
        self.context
            .balancer
            .borrow_mut()
            .withdraw_retry(now, &self.request.service)
    }
}
