//! The fields of a benchmark report and of a deployment's request classes that the table of lost value needs.

use serde::Deserialize;

/// Number of windows that the score counts as the worst.
const WORST_WINDOWS: usize = 2;

/// Components of the score whose loss the table attributes to causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PartName {
    WholeDay,
    WorstWindows,
    WorstClass,
}

impl PartName {
    /// Name of the component in benchmark reports.
    fn name(self) -> &'static str {
        match self {
            PartName::WholeDay => "whole day",
            PartName::WorstWindows => "worst windows",
            PartName::WorstClass => "worst class",
        }
    }
}

/// A weighted component of the score, encoded as an array of name, weight and value.
#[derive(Clone, Debug, Deserialize)]
#[serde(from = "(String, f64, f64)")]
pub struct ScorePart {
    /// Name of the component in the report.
    pub name: String,
    /// Weight of the component in the score.
    pub weight: f64,
    /// Value of the component, from 0 to 1.
    pub value: f64,
}

impl From<(String, f64, f64)> for ScorePart {
    fn from((name, weight, value): (String, f64, f64)) -> ScorePart {
        ScorePart {
            name,
            weight,
            value,
        }
    }
}

/// A deduction from the score, encoded as an array of name, amount and price.
#[derive(Clone, Debug, Deserialize)]
#[serde(from = "(String, f64, f64)")]
pub struct ScorePrice {
    /// Name of what is charged for.
    pub name: String,
    /// Amount that was charged for.
    pub amount: f64,
    /// Deduction from the score for this amount.
    pub price: f64,
}

impl From<(String, f64, f64)> for ScorePrice {
    fn from((name, amount, price): (String, f64, f64)) -> ScorePrice {
        ScorePrice {
            name,
            amount,
            price,
        }
    }
}

/// Report of a benchmark run.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// Final score, after deductions.
    #[serde(rename = "G")]
    pub score: f64,
    /// Weighted components of the score.
    pub parts: Vec<ScorePart>,
    /// Deductions from the score.
    pub prices: Vec<ScorePrice>,
    /// Request counts by class.
    pub classes: Vec<RequestGroup>,
    /// Request counts by submission window; a window's name is its first second.
    pub windows: Vec<RequestGroup>,
}

impl Report {
    /// Loss in the score due to a component; 0 if the report lacks the component.
    pub(super) fn loss_of(&self, part: PartName) -> f64 {
        let found = self.parts.iter().find(|found| found.name == part.name());
        found.map_or(0.0, |found| found.weight * (1.0 - found.value))
    }

    /// Returns the class with the smallest earned share of its value.
    pub(super) fn worst_class(&self) -> Option<&RequestGroup> {
        self.classes
            .iter()
            .min_by(|a, b| a.earned_part.total_cmp(&b.earned_part))
    }

    /// Returns the windows with the smallest earned shares of their value.
    pub(super) fn worst_windows(&self) -> Vec<&RequestGroup> {
        let mut windows: Vec<&RequestGroup> = self.windows.iter().collect();
        windows.sort_by(|a, b| a.earned_part.total_cmp(&b.earned_part));
        windows.truncate(WORST_WINDOWS);
        windows
    }

    /// Length of a window in seconds: the smallest difference between the starts of consecutive windows.
    pub(super) fn window_length_s(&self) -> f64 {
        let starts: Vec<f64> = self
            .windows
            .iter()
            .filter_map(RequestGroup::starts_at_s)
            .collect();
        let lengths = starts.windows(2).map(|pair| pair[1] - pair[0]);
        lengths.fold(f64::INFINITY, f64::min)
    }
}

/// Request counts of a class or a window.
#[derive(Clone, Debug, Deserialize)]
pub struct RequestGroup {
    /// Name of the class, or the first second of the window.
    pub name: String,
    /// All requests of the group.
    #[serde(rename = "n")]
    pub count: u32,
    /// Requests that were answered late.
    pub late: u32,
    /// Requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Requests for which no response was owed.
    pub not_owed: u32,
    /// Earned value divided by owed value.
    #[serde(rename = "worth")]
    pub earned_part: f64,
}

impl RequestGroup {
    /// Number of requests that missed their objective.
    pub(super) fn missed(&self) -> u32 {
        self.late + self.rejected + self.failed
    }

    /// First second of a window; `None` if the name is not a number.
    pub(super) fn starts_at_s(&self) -> Option<f64> {
        self.name.parse().ok()
    }
}

/// A class of requests, as defined in a deployment's site file.
#[derive(Clone, Debug, Deserialize)]
pub struct RequestClass {
    /// Name of the class, as used in the report.
    pub name: String,
    /// Value of a request that is answered in time.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Part of the objective that does not depend on the amount of work, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub target_latency_ms: f64,
    /// Priority of the queues of this class; 0 if not set.
    #[serde(default)]
    pub priority: u32,
    /// Parameters of the jobs of this class.
    pub jobs: JobShape,
}

/// Parameters of the jobs of a class.
#[derive(Clone, Debug, Deserialize)]
pub struct JobShape {
    /// Factor by which the amount of work enters the objective.
    pub stretch: f64,
}
