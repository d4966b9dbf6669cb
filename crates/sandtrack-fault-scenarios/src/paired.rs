//! Paired trials: whether a change is worth anything, from differences of worth between two plays of one day and seed, with and
//! without it. Pure.
//!
//! The rule is a repeated two-sided t-test with Bonferroni's correction: after each pair from [`Rule::pairs_least`] to
//! [`Rule::pairs_most`] the interval of Student's distribution at `1 - alpha / looks` is taken, so that the chance of a wrong
//! decision at any of the looks stays below `alpha` (for differences that are about normal). A change is decided on once the
//! interval leaves out zero, or lies within [`Rule::alike_within`] of it.

use statrs::distribution::{ContinuousCDF, StudentsT};

/// When a change is decided on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Chance of a wrong decision that is borne.
    pub alpha: f64,
    /// Pairs before the first look; 2 at least.
    pub pairs_least: usize,
    /// Pairs after which it ends undecided.
    pub pairs_most: usize,
    /// Means of less than this are worth nothing, in worth.
    pub alike_within: f64,
}

/// What was found out about a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Better,
    Worse,
    /// Any difference is too small to count.
    Alike,
    /// More pairs are needed to tell.
    Open,
}

impl Decision {
    /// Its name in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Decision::Better => "better",
            Decision::Worse => "worse",
            Decision::Alike => "alike",
            Decision::Open => "open",
        }
    }
}

/// Differences of worth, one for each pair.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Differences(Vec<f64>);

impl Differences {
    /// One pair more: worth with the change less worth without it.
    pub fn add(&mut self, difference: f64) {
        self.0.push(difference);
    }

    /// How many pairs there are.
    #[must_use]
    pub fn pairs(&self) -> usize {
        self.0.len()
    }

    /// Mean difference; zero without pairs.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.0.iter().sum::<f64>() / self.0.len().max(1) as f64
    }

    /// Standard error of the mean; none for fewer than two pairs.
    #[must_use]
    pub fn standard_error(&self) -> Option<f64> {
        let count = self.0.len();
        if count < 2 {
            return None;
        }
        let mean = self.mean();
        let squares = self
            .0
            .iter()
            .map(|difference| (difference - mean).powi(2))
            .sum::<f64>();
        Some((squares / (count - 1) as f64 / count as f64).sqrt())
    }

    /// What these pairs say by `rule`.
    #[must_use]
    pub fn decide(&self, rule: &Rule) -> Decision {
        let Some(standard_error) = self.standard_error() else {
            return Decision::Open;
        };
        if self.pairs() < rule.pairs_least {
            return Decision::Open;
        }
        let half_width = rule.quantile(self.pairs()) * standard_error;
        let (low, high) = (self.mean() - half_width, self.mean() + half_width);
        if low >= -rule.alike_within && high <= rule.alike_within {
            return Decision::Alike;
        }
        match (low > 0.0, high < 0.0) {
            (true, _) => Decision::Better,
            (_, true) => Decision::Worse,
            _ => Decision::Open,
        }
    }
}

impl Rule {
    /// Half the width of the interval after so many pairs, in standard errors.
    fn quantile(&self, pairs: usize) -> f64 {
        let looks = (self.pairs_most.saturating_sub(self.pairs_least) + 1) as f64;
        let freedom = pairs.saturating_sub(1).max(1) as f64;
        // It fails only for a freedom that is not positive.
        StudentsT::new(0.0, 1.0, freedom).map_or(f64::INFINITY, |student| {
            student.inverse_cdf(1.0 - self.alpha / looks / 2.0)
        })
    }
}
