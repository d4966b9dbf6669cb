//! Figures of a run: parts of a sample, and a line through what was measured at several sizes. Pure.
use simd_json::prelude::*;

/// The value that `part` (0 to 1) of the sample do not pass: nearest rank.
pub fn quantile(sample: &[f64], part: f64) -> Option<f64> {
    let mut sorted = sample.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied()
}

/// A line of least squares with the standard error of its slope.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub base: f64,
    pub slope: f64,
    pub slope_error: f64,
}

impl Line {
    /// Through points (size, figure); `None` for fewer than three sizes, which tell no error.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 3 || spread <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
        let base = mean_y - slope * mean_x;
        let rest: f64 = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
        Some(Line { base, slope, slope_error: (rest / (count - 2.0) / spread).sqrt() })
    }

    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// The figures of run lines of one kind: (size, figure), where `why` is theirs.
pub fn points(lines: &str, why: &str, by: &str, figure: &str) -> Vec<(f64, f64)> {
    let point = |line: &str| {
        let value = simd_json::to_owned_value(&mut line.as_bytes().to_vec()).ok()?;
        let named = value.get_str("why") == Some(why);
        let size = value.get(by).and_then(ValueAsScalar::cast_f64)?;
        let figure = value.get("figures")?.get(figure).and_then(ValueAsScalar::cast_f64)?;
        named.then_some((size, figure))
    };
    lines.lines().filter_map(point).collect()
}
