//! Quotas of limits that hold over all proxies, and retry budgets.
mod common;
use common::{balancer, entry, request, CONFIGURATION};
use sandtrack_protocol::frames::ToProxy;
use sandtrack_proxy::placement::budget::{quota, RetryBudget, RetryLimits};

#[test]
fn quotas_of_all_proxies_never_pass_the_limit() {
    for proxies in [1, 3, 12, 72, 1500] {
        for total in [6.0, 35.0, 72.5] {
            let sum: u32 = (0..proxies)
                .map(|rank| quota(total, proxies, u64::from(rank)))
                .sum();
            assert!(
                f64::from(sum) <= total,
                "{proxies} proxies send {sum} of {total}"
            );
            assert!(sum > 0, "with {proxies} proxies nobody may send");
        }
    }
}

#[test]
fn retries_stay_within_what_requests_earn_and_the_slack_in_every_window() {
    let mut budget = RetryBudget::default();
    let limits = RetryLimits {
        ratio: 0.2,
        slack: 64.0,
        proxies: 12,
    };
    let mut retries: Vec<f64> = Vec::new();
    let mut requests: Vec<f64> = Vec::new();
    for step in 0..4000 {
        let now = f64::from(step) * 10.0;
        // Busy at first, then quiet: what was earned while busy is gone by then.
        if step < 2000 || step % 50 == 0 {
            budget.deposit(now, 10_000.0);
            requests.push(now);
        }
        if budget.withdraw(now, 10_000.0, &limits) {
            retries.push(now);
        }
        let count = |times: &[f64]| times.iter().filter(|at| **at > now - 10_000.0).count() as f64;
        assert!(
            count(&retries) <= count(&requests) * 0.2 + 64.0 / 12.0,
            "at {now}"
        );
    }
    assert!(retries.len() > 100, "the budget is there to be used");
}

#[test]
fn events_are_forgotten_with_their_window_whether_or_not_anything_is_retried() {
    let mut budget = RetryBudget::default();
    for step in 0..100_000 {
        budget.deposit(f64::from(step), 10_000.0);
    }
    assert!(
        budget.len() <= 10_001,
        "{} requests are held of 100 s",
        budget.len()
    );
}

/// Services are added and removed, thousands of them in a day: the budgets of removed ones are forgotten once their window is
/// over, and not before, as a service that comes back must not earn its retries anew.
#[test]
fn budgets_of_removed_services_are_forgotten_with_their_window() {
    let mut balancer = balancer(vec![entry("a1", "printer", "a")]);
    for change in 0..300 {
        let now = f64::from(change) * 1000.0;
        let (number, version) = (u64::from(10 + change as u32), u64::from(10 + change as u32));
        let document = CONFIGURATION
            .replace(
                "\"version_number\":7",
                &format!("\"version_number\":{version}"),
            )
            .replace("\"printer\"", &format!("\"printer-{change}\""));
        balancer.apply(
            now,
            ToProxy::Configuration {
                number,
                version,
                document,
            },
        );
        let asked = request(&balancer, "/slips/deep/a", &[]);
        assert_eq!(asked.service, format!("printer-{change}"));
        balancer.request_arrived(now, &asked);
    }
    // Those of the last window of 10 s, and those in force.
    assert!(
        balancer.retry_budget_count() <= 13,
        "{} services",
        balancer.retry_budget_count()
    );
    assert!(
        balancer.retry_budget_count() >= 10,
        "{} services",
        balancer.retry_budget_count()
    );
}
