//! Health checks of one upstream: its smoothed latency, its failures in a row, and when it is probed.
use crate::Millis;
use rand::Rng;

/// Weight of a new sample in the smoothed latency, a fraction (ours: about three probes of memory).
pub const SMOOTHING_WEIGHT: f64 = 0.3;
/// A sample counts as this many times the average at most; one under its inverse replaces the average
/// (design).
pub const MAX_SAMPLE_RATIO: f64 = 4.0;
/// The bound on a sample is never below this, in ms (design).
pub const MIN_SAMPLE_CAP_MS: Millis = 2.0;
/// Failures in a row that make an upstream unhealthy (design).
pub const UNHEALTHY_FAILURES: u32 = 2;
/// Longest interval between two probes of an upstream, jitter included, in ms (design).
pub const MAX_PROBE_INTERVAL_MS: Millis = 5000.0;
/// Part of each interval that is random, a fraction: balancers must not probe in step (ours).
pub const PROBE_JITTER: f64 = 0.25;

/// Smoothed latency of an upstream's probes; none before the first sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SmoothedLatency(Option<Millis>);

impl SmoothedLatency {
    /// The average in ms; `None` before the first sample.
    pub fn get(self) -> Option<Millis> {
        self.0
    }

    /// Adds a sample of `elapsed` ms: a far slower one is capped, a far quicker one replaces the average.
    pub fn sample(&mut self, elapsed: Millis) {
        self.0 = Some(match self.0 {
            None => elapsed,
            Some(average) if elapsed < average / MAX_SAMPLE_RATIO => elapsed,
            Some(average) => {
                let cap = (average * MAX_SAMPLE_RATIO).max(MIN_SAMPLE_CAP_MS);
                let capped = elapsed.min(cap);
                average + SMOOTHING_WEIGHT * (capped - average)
            }
        });
    }
}

/// Consecutive failures of an upstream: failed probes and connections (design), sends that were reset or
/// timed out (ours).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConsecutiveFailures(u32);

impl ConsecutiveFailures {
    /// Whether there are too few to make the upstream unhealthy.
    pub fn is_healthy(self) -> bool {
        self.0 < UNHEALTHY_FAILURES
    }

    /// Whether the last probe or send succeeded.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Adds a failure. Returns whether it is this one that makes the upstream unhealthy.
    pub fn record_failure(&mut self) -> bool {
        self.0 = self.0.saturating_add(1);
        self.0 == UNHEALTHY_FAILURES
    }

    /// A success ends the run: it makes an upstream healthy at once (design).
    pub fn record_success(&mut self) {
        self.0 = 0;
    }

    /// Healthy, but the next failure makes it unhealthy: for an upstream under suspicion, or one that was
    /// unhealthy until now.
    pub fn put_on_trial(&mut self) {
        self.0 = UNHEALTHY_FAILURES - 1;
    }
}

/// A random factor from 1 to 1 + [`PROBE_JITTER`]; takes one draw.
pub fn jitter(rng: &mut impl Rng) -> f64 {
    1.0 + PROBE_JITTER * rng.gen::<f64>()
}

/// When an upstream is probed next, in ms: at once if it never was, else `interval` ms or a little less after
/// the probe at `last`, never over [`MAX_PROBE_INTERVAL_MS`]. Takes one draw, none for the first probe.
pub fn next_probe_at(
    rng: &mut impl Rng,
    now: Millis,
    last: Option<Millis>,
    interval: Millis,
) -> Millis {
    last.map_or(now, |last| {
        last + interval.min(MAX_PROBE_INTERVAL_MS) / jitter(rng)
    })
}
