//! Means with their intervals, over independent runs. It owns no figure and must never give an interval for one run.
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    pub mean: f64,
    /// Half of the 95% interval (Student's t); `None` for a single run.
    pub half: Option<f64>,
    pub runs: usize,
}

impl Estimate {
    pub fn of(samples: &[f64]) -> Estimate {
        let n = samples.len() as f64;
        let mean = samples.iter().sum::<f64>() / n.max(1.0);
        let half = (samples.len() > 1).then(|| {
            let variance = samples.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0);
            let t =
                StudentsT::new(0.0, 1.0, n - 1.0).map_or(f64::INFINITY, |t| t.inverse_cdf(0.975));
            t * (variance / n).sqrt()
        });
        Estimate {
            mean,
            half,
            runs: samples.len(),
        }
    }

    /// The estimate of a difference on common random numbers: pair by pair.
    pub fn of_pairs(a: &[f64], b: &[f64]) -> Estimate {
        let differences: Vec<f64> = a.iter().zip(b).map(|(a, b)| a - b).collect();
        Estimate::of(&differences)
    }

    pub fn holds(&self, value: f64) -> bool {
        self.half
            .is_some_and(|half| (self.mean - value).abs() <= half)
    }
}
