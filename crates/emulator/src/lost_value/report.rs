//! The report of a benchmark run and the classes of a deployment, as far as the table needs them.

use serde::Deserialize;

/// Windows that count among the worst.
const WORST_WINDOWS: usize = 2;

/// The parts of the score that the table divides by cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PartName {
    WholeDay,
    WorstWindows,
    WorstClass,
}

impl PartName {
    /// Its name in reports.
    fn name(self) -> &'static str {
        match self {
            PartName::WholeDay => "whole day",
            PartName::WorstWindows => "worst windows",
            PartName::WorstClass => "worst class",
        }
    }
}

/// A part of the score.
#[derive(Clone, Debug, Deserialize)]
#[serde(from = "(String, f64, f64)")]
pub struct ScorePart {
    /// Its name.
    pub name: String,
    /// Its weight in the score.
    pub weight: f64,
    /// Its value, from 0 to 1.
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

/// Something that is taken off the score.
#[derive(Clone, Debug, Deserialize)]
#[serde(from = "(String, f64, f64)")]
pub struct ScorePrice {
    /// What costs.
    pub name: String,
    /// How much of it was used.
    pub amount: f64,
    /// What that costs.
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

/// The report of a benchmark run.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// The score.
    #[serde(rename = "G")]
    pub score: f64,
    /// What the score is made of.
    pub parts: Vec<ScorePart>,
    /// What is taken off.
    pub prices: Vec<ScorePrice>,
    /// Requests by class.
    pub classes: Vec<RequestGroup>,
    /// Requests by the window in which they were submitted, named by its first second.
    pub windows: Vec<RequestGroup>,
}

impl Report {
    /// What a part has cost; nothing where the score does not have it.
    pub(super) fn loss_of(&self, part: PartName) -> f64 {
        let found = self.parts.iter().find(|found| found.name == part.name());
        found.map_or(0.0, |found| found.weight * (1.0 - found.value))
    }

    /// The class that earned the smallest part of its value.
    pub(super) fn worst_class(&self) -> Option<&RequestGroup> {
        self.classes
            .iter()
            .min_by(|a, b| a.earned_part.total_cmp(&b.earned_part))
    }

    /// The windows that earned the smallest part of their value.
    pub(super) fn worst_windows(&self) -> Vec<&RequestGroup> {
        let mut windows: Vec<&RequestGroup> = self.windows.iter().collect();
        windows.sort_by(|a, b| a.earned_part.total_cmp(&b.earned_part));
        windows.truncate(WORST_WINDOWS);
        windows
    }

    /// The length of a window, in seconds.
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

/// The requests of a class or a window.
#[derive(Clone, Debug, Deserialize)]
pub struct RequestGroup {
    /// Its name.
    pub name: String,
    /// All requests.
    #[serde(rename = "n")]
    pub count: u32,
    /// Answered late.
    pub late: u32,
    /// Rejected.
    #[serde(rename = "refused")]
    pub rejected: u32,
    /// Failed.
    pub failed: u32,
    /// Not owed a response.
    pub not_owed: u32,
    /// The part that was earned of the value that was owed.
    #[serde(rename = "worth")]
    pub earned_part: f64,
}

impl RequestGroup {
    /// Requests that missed their objective.
    pub(super) fn missed(&self) -> u32 {
        self.late + self.rejected + self.failed
    }

    /// The first second of a window.
    pub(super) fn starts_at_s(&self) -> Option<f64> {
        self.name.parse().ok()
    }
}

/// A class of requests, as a deployment's site file defines it.
#[derive(Clone, Debug, Deserialize)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// The value of a request that is answered in time.
    #[serde(rename = "worth")]
    pub value: f64,
    /// The part of the objective that does not depend on the work.
    #[serde(rename = "aim_ms")]
    pub target_latency_ms: f64,
    /// Its queues' priority.
    #[serde(default)]
    pub priority: u32,
    /// How its jobs are made.
    pub jobs: JobShape,
}

/// How the jobs of a class are made.
#[derive(Clone, Debug, Deserialize)]
pub struct JobShape {
    /// Factor of the objective on the work.
    pub stretch: f64,
}
