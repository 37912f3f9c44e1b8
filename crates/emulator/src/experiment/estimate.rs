//! Means with their standard errors.

use std::fmt;

/// A mean with its standard error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Arithmetic mean.
    pub mean: f64,
    /// Standard error of the mean; 0 for a single value.
    pub error: f64,
}

impl Estimate {
    /// Computes the estimate from a sample.
    pub fn of(values: &[f64]) -> Estimate {
        let count = values.len().max(1) as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let error = if values.len() > 1 {
            (squares / (count - 1.0) / count).sqrt()
        } else {
            0.0
        };
        Estimate { mean, error }
    }

    /// Computes the estimate of the mean difference from paired values.
    pub fn of_pairs(before: &[f64], after: &[f64]) -> Estimate {
        let pairs = before.iter().zip(after);
        let differences: Vec<f64> = pairs.map(|(before, after)| after - before).collect();
        Estimate::of(&differences)
    }
}

impl fmt::Display for Estimate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:+.4} ± {:.4}", self.mean, self.error)
    }
}
