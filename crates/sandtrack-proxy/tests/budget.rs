//! Shares of bounds that hold over all proxies.
use sandtrack_proxy::budget::{share, RetryBudget};

#[test]
fn shares_of_all_proxies_never_pass_the_bound() {
    for proxies in [1, 3, 12, 72, 1500] {
        for total in [6.0, 35.0, 72.5] {
            let sum: u32 = (0..proxies).map(|rank| share(total, proxies, u64::from(rank))).sum();
            assert!(f64::from(sum) <= total, "{proxies} proxies send {sum} of {total}");
            assert!(sum > 0, "with {proxies} proxies nobody may send");
        }
    }
}

#[test]
fn repeats_stay_within_what_requests_earn_and_the_slack_in_every_window() {
    let mut budget = RetryBudget::default();
    let mut repeats: Vec<f64> = Vec::new();
    let mut requests: Vec<f64> = Vec::new();
    for step in 0..4000 {
        let now = f64::from(step) * 10.0;
        // Busy at first, then quiet: what was earned while busy is gone by then.
        if step < 2000 || step % 50 == 0 {
            budget.request(now, 10_000.0);
            requests.push(now);
        }
        if budget.repeat(now, 10_000.0, 0.2, 64.0, 12) {
            repeats.push(now);
        }
        let count = |times: &[f64]| times.iter().filter(|at| **at > now - 10_000.0).count() as f64;
        assert!(count(&repeats) <= count(&requests) * 0.2 + 64.0 / 12.0, "at {now}");
    }
    assert!(repeats.len() > 100, "the budget is there to be used");
}

#[test]
fn what_is_counted_is_forgotten_with_its_window_whether_or_not_anything_is_repeated() {
    let mut budget = RetryBudget::default();
    for step in 0..100_000 {
        budget.request(f64::from(step), 10_000.0);
    }
    assert!(budget.remembered() <= 10_001, "{} requests are held of 100 s", budget.remembered());
}
