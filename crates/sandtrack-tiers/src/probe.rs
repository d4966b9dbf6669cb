//! What probes teach of one upstream, and when they are sent.
use crate::Millis;
use rand::Rng;

/// Weight of a new probe time in the average, a fraction (ours, the start value: three probes of memory).
pub const WEIGHT: f64 = 0.3;
/// A sample counts as this many averages at most, and one under its inverse replaces the average (design).
pub const CAP: f64 = 4.0;
/// The cap is never below this, ms (design).
pub const CAP_FLOOR: Millis = 2.0;
/// Failures in a row that make an upstream unhealthy, a count (design).
pub const FAILURES: u32 = 2;
/// Longest gap between two probes of an upstream, jitter included, ms (design).
pub const MAX_PROBE_INTERVAL_MS: Millis = 5000.0;
/// Share of each gap that is drawn at random, a fraction: balancers must not probe in step (ours).
pub const JITTER: f64 = 0.25;

/// Smoothed probe time; nothing before the first sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Smoothed(Option<Millis>);

impl Smoothed {
    pub fn get(self) -> Option<Millis> {
        self.0
    }

    /// A probe was answered after `elapsed` ms: capped above, replaced by a far quicker sample.
    pub fn sample(&mut self, elapsed: Millis) {
        self.0 = Some(match self.0 {
            None => elapsed,
            Some(average) if elapsed < average / CAP => elapsed,
            Some(average) => {
                let capped = elapsed.min((average * CAP).max(CAP_FLOOR));
                average + WEIGHT * (capped - average)
            }
        });
    }
}

/// Failures in a row of one upstream: failed probes and connects (design), send resets and time-outs (ours).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConsecutiveFailures(u32);

impl ConsecutiveFailures {
    pub fn is_healthy(self) -> bool {
        self.0 < FAILURES
    }

    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// One failure more; whether it is this one that makes the upstream unhealthy.
    pub fn failed(&mut self) -> bool {
        self.0 = self.0.saturating_add(1);
        self.0 == FAILURES
    }

    /// One success restores an upstream (design).
    pub fn succeeded(&mut self) {
        self.0 = 0;
    }

    /// Healthy still, and the next failure ends that: under suspicion, or on trial after it was unhealthy.
    pub fn one_short(&mut self) {
        self.0 = FAILURES - 1;
    }
}

/// A factor from 1 to 1 + [`JITTER`]; takes one draw.
pub fn jitter(rng: &mut impl Rng) -> f64 {
    1.0 + JITTER * rng.gen::<f64>()
}

/// When an upstream is probed, ms: at once if it never was, else `interval` ms or a little less after `last`,
/// never over [`MAX_PROBE_INTERVAL_MS`]. Takes one draw, none for the first.
pub fn next_probe(
    rng: &mut impl Rng,
    now: Millis,
    last: Option<Millis>,
    interval: Millis,
) -> Millis {
    last.map_or(now, |last| {
        last + interval.min(MAX_PROBE_INTERVAL_MS) / jitter(rng)
    })
}
