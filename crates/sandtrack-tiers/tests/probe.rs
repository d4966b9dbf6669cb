use assert_matches::assert_matches;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use sandtrack_tiers::{next_probe_at, ConsecutiveFailures, Millis, SmoothedLatency};

fn smoothed(samples: &[Millis]) -> Millis {
    let mut average = SmoothedLatency::default();
    assert_matches!(average.get(), None);
    samples.iter().for_each(|sample| average.sample(*sample));
    average.get().unwrap()
}

fn about(is: Millis, should: Millis) {
    assert!((is - should).abs() < 1e-9, "{is} instead of {should}");
}

#[test]
fn the_first_sample_is_the_average_and_later_ones_count_three_tenths() {
    about(smoothed(&[10.0]), 10.0);
    about(smoothed(&[10.0, 20.0]), 13.0);
    about(smoothed(&[10.0, 20.0, 3.5]), 10.15);
}

#[test]
fn a_sample_counts_as_four_averages_at_most_and_the_cap_is_never_below_2_ms() {
    about(smoothed(&[10.0, 1000.0]), 10.0 + 0.3 * 30.0);
    about(smoothed(&[10.0, 40.0]), 19.0);
    about(smoothed(&[0.1, 1000.0]), 0.1 + 0.3 * 1.9);
}

#[test]
fn a_sample_under_a_quarter_replaces_the_average() {
    about(smoothed(&[40.0, 9.9]), 9.9);
    about(smoothed(&[40.0, 10.0]), 31.0);
}

#[test]
fn two_consecutive_failures_make_unhealthy_and_one_success_restores() {
    let mut failures = ConsecutiveFailures::default();
    assert!(failures.is_healthy() && failures.is_empty());
    assert!(!failures.record_failure());
    assert!(failures.is_healthy() && !failures.is_empty());
    failures.record_success();
    assert!(
        !failures.record_failure() && failures.is_healthy(),
        "a success between them ends the run"
    );
    assert!(
        failures.record_failure() && !failures.is_healthy(),
        "the second in a row"
    );
    assert!(
        !failures.record_failure() && !failures.is_healthy(),
        "told only once"
    );
    failures.record_success();
    assert!(failures.is_healthy() && failures.is_empty());
}

#[test]
fn an_upstream_on_trial_is_healthy_until_the_next_failure() {
    let mut failures = ConsecutiveFailures::default();
    failures.put_on_trial();
    assert!(failures.is_healthy() && !failures.is_empty());
    assert!(failures.record_failure() && !failures.is_healthy());
    failures.put_on_trial();
    assert!(failures.is_healthy());
}

#[test]
fn the_first_probe_is_due_at_once_and_takes_no_draw() {
    let (mut rng, untouched) = (Pcg32::seed_from_u64(7), Pcg32::seed_from_u64(7));
    assert_eq!(next_probe_at(&mut rng, 123.0, None, 400.0), 123.0);
    assert_eq!(rng, untouched);
}

#[test]
fn later_probes_come_after_the_interval_or_a_little_sooner_and_never_over_5_s_apart() {
    let mut rng = Pcg32::seed_from_u64(8);
    for (interval, most) in [
        (400.0, 400.0),
        (5000.0, 5000.0),
        (60_000.0, 5000.0),
        (f64::INFINITY, 5000.0),
    ] {
        let gaps: Vec<Millis> = (0..1000)
            .map(|_| next_probe_at(&mut rng, 250.0, Some(100.0), interval) - 100.0)
            .collect();
        assert!(
            gaps.iter().all(|gap| (most / 1.25..=most).contains(gap)),
            "{interval}"
        );
        let (least, longest) = gaps
            .iter()
            .fold((most, 0.0f64), |(a, b), gap| (a.min(*gap), b.max(*gap)));
        assert!(
            longest - least > most * 0.19,
            "balancers would probe in step: {least} to {longest}"
        );
    }
}
