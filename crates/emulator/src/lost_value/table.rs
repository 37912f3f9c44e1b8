//! Table of lost value by cause.

use super::missed::MissedObjective;
use super::report::{PartName, Report, RequestClass, RequestGroup};
use std::collections::BTreeMap;
use std::fmt;
use streamusher_jobs::LatencyStage;

/// Cause of lost value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossCause {
    /// An accepted job missed its objective and spent time in this stage.
    Stage(LatencyStage),
    /// No log line explains the loss: the request was rejected, was not accepted in time or never ended, or
    /// tasks of a long-running job did not run.
    Unknown,
    /// A deduction from the score, by the name in the report.
    Price(String),
    /// Remainder, due to rounding and to value differences between the jobs of a class.
    Remainder,
}

impl fmt::Display for LossCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LossCause::Stage(stage) => {
                let name = serde_json::to_value(stage).unwrap_or_default();
                write!(f, "{}", name.as_str().unwrap_or_default().replace('_', " "))
            }
            LossCause::Unknown => write!(f, "refused, not accepted, not ended, or lasting"),
            LossCause::Price(name) => write!(f, "price: {name}"),
            LossCause::Remainder => write!(f, "rest"),
        }
    }
}

/// Lost value by cause.
#[derive(Clone, Debug, Default)]
pub struct LostValue {
    /// Loss per cause, as a fraction of the score.
    pub by_cause: BTreeMap<LossCause, f64>,
}

impl LostValue {
    /// Builds the table of a benchmark run. Its rows add up to 1 minus the score.
    pub fn of(report: &Report, classes: &[RequestClass], missed: &[MissedObjective]) -> LostValue {
        let mut lost = LostValue::default();
        let groups: Vec<&RequestGroup> = report.classes.iter().collect();
        lost.add_groups(&groups, classes, missed, report.loss_of(PartName::WholeDay));
        lost.add_worst_windows(report, missed);
        let worst: Vec<&RequestGroup> = report.worst_class().into_iter().collect();
        lost.add_groups(
            &worst,
            classes,
            missed,
            report.loss_of(PartName::WorstClass),
        );
        for price in &report.prices {
            lost.add(LossCause::Price(price.name.clone()), price.price);
        }
        let explained = lost.total();
        lost.add(LossCause::Remainder, 1.0 - report.score - explained);
        lost
    }

    fn add(&mut self, cause: LossCause, loss: f64) {
        if loss.abs() > f64::EPSILON {
            *self.by_cause.entry(cause).or_default() += loss;
        }
    }

    /// Divides a loss among classes in proportion to the value each has lost, and within each class by the
    /// log lines of its jobs.
    fn add_groups(
        &mut self,
        groups: &[&RequestGroup],
        classes: &[RequestClass],
        missed: &[MissedObjective],
        loss: f64,
    ) {
        let class_of = |group: &RequestGroup| classes.iter().find(|class| class.name == group.name);
        let lost_by = |group: &RequestGroup| {
            let value = class_of(group).map_or(1.0, |class| class.value);
            value * f64::from(group.count - group.not_owed) * (1.0 - group.earned_part)
        };
        let total: f64 = groups.iter().map(|group| lost_by(group)).sum();
        if total <= 0.0 {
            return;
        }
        for group in groups {
            let class = class_of(group);
            let is_of_class =
                |missed: &&MissedObjective| class.is_some_and(|class| missed.is_of(class));
            let lines: Vec<&MissedObjective> = missed.iter().filter(is_of_class).collect();
            self.add_lines(&lines, group.missed(), loss * lost_by(group) / total);
        }
    }

    fn add_worst_windows(&mut self, report: &Report, missed: &[MissedObjective]) {
        let worst = report.worst_windows();
        let length_s = report.window_length_s();
        let starts: Vec<f64> = worst
            .iter()
            .filter_map(|window| window.starts_at_s())
            .collect();
        let is_in_worst = |missed: &&MissedObjective| {
            let mut starts = starts.iter();
            starts.any(|start| (*start..start + length_s).contains(&missed.due_s))
        };
        let lines: Vec<&MissedObjective> = missed.iter().filter(is_in_worst).collect();
        let count = worst.iter().map(|window| window.missed()).sum();
        self.add_lines(&lines, count, report.loss_of(PartName::WorstWindows));
    }

    /// Attributes a loss to stages. The lines explain as many of the `count` misses as they represent; the
    /// loss of the other misses is of unknown cause.
    fn add_lines(&mut self, lines: &[&MissedObjective], count: u32, loss: f64) {
        let explained_count: f64 = lines.iter().map(|line| line.represented_misses).sum();
        let explained = explained_count / f64::from(count).max(explained_count).max(1.0);
        self.add(LossCause::Unknown, loss * (1.0 - explained));
        for line in lines {
            for (stage, part) in line.parts_by_stage() {
                let stage_loss =
                    loss * explained * part * line.represented_misses / explained_count;
                self.add(LossCause::Stage(stage), stage_loss);
            }
        }
    }

    /// Adds the losses of another benchmark run, multiplied by `part`.
    pub fn add_part(&mut self, other: &LostValue, part: f64) {
        for (cause, loss) in &other.by_cause {
            self.add(cause.clone(), loss * part);
        }
    }

    /// Sum of the losses of all causes.
    pub fn total(&self) -> f64 {
        self.by_cause.values().sum()
    }
}
