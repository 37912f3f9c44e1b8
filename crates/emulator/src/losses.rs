//! Where a play's worth was lost: the report of a bench and the log lines of the jobs that missed their objective, joined to
//! a table by cause whose rows add up to what was lost.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use streamusher_jobs::{Completion, LatencyStage};
use streamusher_scheduler::OBJECTIVE_MISSED_PREFIX;

/// Parts of the figure, as reports name them.
const WHOLE_DAY: &str = "whole day";
const WORST_WINDOWS_PART: &str = "worst windows";
const WORST_CLASS: &str = "worst class";
/// Worst windows that count.
const WORST_WINDOWS: usize = 2;
/// Two stretches that differ by less are one: they pass through text.
const EQUAL_STRETCH: f64 = 1e-6;
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Ends a line after which the log says how many it kept back.
const MORE_SINCE: &str = " more since)";

/// A play's report, as far as the table needs it.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// The play's figure.
    #[serde(rename = "G")]
    pub figure: f64,
    /// What the figure is made of: name, weight, value.
    pub parts: Vec<(String, f64, f64)>,
    /// What is taken off: name, amount, price.
    pub prices: Vec<(String, f64, f64)>,
    /// Requests by class.
    pub classes: Vec<Group>,
    /// Requests by the window in which they were handed in, named by its first second.
    pub windows: Vec<Group>,
}

impl Report {
    /// What a part has cost; nothing where the figure does not have it.
    fn loss_of(&self, part: &str) -> f64 {
        let found = self.parts.iter().find(|(name, _, _)| name == part);
        found.map_or(0.0, |(_, weight, value)| weight * (1.0 - value))
    }
}

/// Requests of a class or a window.
#[derive(Clone, Debug, Deserialize)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// Requests, and how many of them were late, refused, failed, or not owed an answer.
    pub n: u32,
    /// Answered late.
    pub late: u32,
    /// Refused.
    pub refused: u32,
    /// Failed.
    pub failed: u32,
    /// Owed nothing.
    pub not_owed: u32,
    /// Earned of what was owed.
    pub worth: f64,
}

/// A class of requests, as a deployment's site file tells it.
#[derive(Clone, Debug, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What a request in time is worth.
    pub worth: f64,
    /// Its part of the objective.
    pub aim_ms: f64,
    /// Its queues' priority.
    #[serde(default)]
    pub priority: u32,
    /// How its jobs are made.
    pub jobs: JobsOfClass,
}

/// How a class' jobs are made, as far as the table needs it.
#[derive(Clone, Debug, Deserialize)]
pub struct JobsOfClass {
    /// Factor of the objective on the work.
    pub stretch: f64,
}

/// Why worth was lost.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// A job that was accepted spent time in a stage.
    Spent(LatencyStage),
    /// No line tells: refused, not accepted in time, never ended, or a lasting job's tasks were not at work.
    NotTold,
    /// A price.
    Price(String),
    /// What rounding and the unequal worth of a class' jobs leave over.
    Rest,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Spent(stage) => {
                let name = serde_json::to_value(stage).unwrap_or_default();
                write!(f, "{}", name.as_str().unwrap_or_default().replace('_', " "))
            }
            Cause::NotTold => write!(f, "refused, not accepted, not ended, or lasting"),
            Cause::Price(name) => write!(f, "price: {name}"),
            Cause::Rest => write!(f, "rest"),
        }
    }
}

/// A job that missed its objective, placed in the day.
#[derive(Clone, Debug)]
pub struct Missed {
    /// Seconds of the day at which it was due.
    pub due_s: f64,
    /// The line.
    pub line: Completion,
    /// How many misses it stands for: itself, and its part of those that the log's limit kept back about then.
    pub stands_for: f64,
}

impl Missed {
    fn is_of(&self, class: &Class) -> bool {
        self.line.priority == class.priority
            && self.line.target_latency_ms == class.aim_ms as u64
            && (self.line.stretch - class.jobs.stretch).abs() < EQUAL_STRETCH
    }

    /// The part of its loss that falls to each stage: by the time that was not work.
    fn by_stage(&self) -> BTreeMap<LatencyStage, f64> {
        let total =
            self.line.breakdown.total_ms() - self.line.breakdown.in_stage(LatencyStage::Worked);
        let spent = self
            .line
            .breakdown
            .stages()
            .filter(|(stage, _)| *stage != LatencyStage::Worked);
        spent
            .map(|(stage, spent_ms)| (stage, spent_ms as f64 / total.max(1) as f64))
            .collect()
    }
}

/// The jobs that missed their objective, from the log of a play: each line begins with the second of the day. Logs limit the lines
/// of one place, and the first after a pause says how many were kept back: the lines before it stand for these too.
pub fn missed_in(log: &str) -> Vec<Missed> {
    let mut all: Vec<Missed> = Vec::new();
    let mut first_of_burst = 0;
    for (missed, kept_back) in log.lines().filter_map(parse) {
        let burst = &mut all[first_of_burst..];
        if kept_back > 0 && !burst.is_empty() {
            let part = f64::from(kept_back) / burst.len() as f64;
            burst.iter_mut().for_each(|told| told.stands_for += part);
            first_of_burst = all.len();
        }
        all.push(missed);
    }
    all
}

/// A line, and how many before it the log kept back.
fn parse(text: &str) -> Option<(Missed, u32)> {
    let (before, told) = text.split_once(OBJECTIVE_MISSED_PREFIX)?;
    let (json, rest) = told.split_at(told.rfind('}')? + 1);
    let ended_s: f64 = before.split_whitespace().next()?.parse().ok()?;
    let line: Completion = serde_json::from_str(json).ok()?;
    let kept_back = rest
        .trim()
        .strip_prefix('(')
        .and_then(|rest| rest.strip_suffix(MORE_SINCE));
    let kept_back = kept_back.and_then(|count| count.parse().ok()).unwrap_or(0);
    let due_s = ended_s - line.latency_ms as f64 / MILLIS_PER_SECOND;
    Some((
        Missed {
            due_s,
            line,
            stands_for: 1.0,
        },
        kept_back,
    ))
}

/// Worth that was lost, by cause.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    /// What each cause has cost, as a part of the figure.
    pub by_cause: BTreeMap<Cause, f64>,
}

impl Losses {
    /// The table of a play. Its rows add up to 1 less the figure.
    pub fn of(report: &Report, classes: &[Class], missed: &[Missed]) -> Losses {
        let mut losses = Losses::default();
        let all: Vec<&Group> = report.classes.iter().collect();
        losses.add_groups(&all, classes, missed, report.loss_of(WHOLE_DAY));
        losses.add_window(
            report,
            &in_worst_windows(report, missed),
            report.loss_of(WORST_WINDOWS_PART),
        );
        let worst = report
            .classes
            .iter()
            .min_by(|a, b| a.worth.total_cmp(&b.worth));
        let worst: Vec<&Group> = worst.into_iter().collect();
        losses.add_groups(&worst, classes, missed, report.loss_of(WORST_CLASS));
        for (name, _, price) in &report.prices {
            losses.add(Cause::Price(name.clone()), *price);
        }
        let told: f64 = losses.by_cause.values().sum();
        losses.add(Cause::Rest, 1.0 - report.figure - told);
        losses
    }

    fn add(&mut self, cause: Cause, loss: f64) {
        if loss.abs() > f64::EPSILON {
            *self.by_cause.entry(cause).or_default() += loss;
        }
    }

    /// Shares a loss out among classes by what each has lost, and within each by its jobs' lines.
    fn add_groups(&mut self, groups: &[&Group], classes: &[Class], missed: &[Missed], loss: f64) {
        let class_of = |group: &Group| classes.iter().find(|class| class.name == group.name);
        let lost = |group: &Group| {
            let worth = class_of(group).map_or(1.0, |class| class.worth);
            worth * f64::from(group.n - group.not_owed) * (1.0 - group.worth)
        };
        let total: f64 = groups.iter().map(|group| lost(group)).sum();
        for group in groups.iter().filter(|_| total > 0.0) {
            let of_class =
                |missed: &&Missed| class_of(group).is_some_and(|class| missed.is_of(class));
            let lines: Vec<&Missed> = missed.iter().filter(of_class).collect();
            self.add_lines(&lines, group.missed(), loss * lost(group) / total);
        }
    }

    fn add_window(&mut self, report: &Report, missed: &[Missed], loss: f64) {
        let lines: Vec<&Missed> = missed.iter().collect();
        let count = worst_windows(report)
            .iter()
            .map(|window| window.missed())
            .sum();
        self.add_lines(&lines, count, loss);
    }

    /// Lines tell of as many requests as they stand for; a loss of further ones is not told.
    fn add_lines(&mut self, lines: &[&Missed], count: u32, loss: f64) {
        let told_count: f64 = lines.iter().map(|line| line.stands_for).sum();
        let told = told_count / f64::from(count).max(told_count).max(1.0);
        self.add(Cause::NotTold, loss * (1.0 - told));
        for line in lines {
            for (stage, part) in line.by_stage() {
                self.add(
                    Cause::Spent(stage),
                    loss * told * part * line.stands_for / told_count,
                );
            }
        }
    }

    /// Adds the losses of another play, each counted for a part.
    pub fn add_part(&mut self, other: &Losses, part: f64) {
        other
            .by_cause
            .iter()
            .for_each(|(cause, loss)| self.add(cause.clone(), loss * part));
    }

    /// The whole loss.
    pub fn total(&self) -> f64 {
        self.by_cause.values().sum()
    }
}

impl Group {
    fn missed(&self) -> u32 {
        self.late + self.refused + self.failed
    }
}

fn worst_windows(report: &Report) -> Vec<&Group> {
    let mut windows: Vec<&Group> = report.windows.iter().collect();
    windows.sort_by(|a, b| a.worth.total_cmp(&b.worth));
    windows.truncate(WORST_WINDOWS);
    windows
}

fn in_worst_windows(report: &Report, missed: &[Missed]) -> Vec<Missed> {
    let starts = report
        .windows
        .iter()
        .filter_map(|window| window.name.parse::<f64>().ok());
    let starts: Vec<f64> = starts.collect();
    let length = starts
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .fold(f64::INFINITY, f64::min);
    let worst: Vec<f64> = worst_windows(report)
        .iter()
        .filter_map(|window| window.name.parse().ok())
        .collect();
    let is_in = |missed: &&Missed| {
        worst
            .iter()
            .any(|start| (*start..start + length).contains(&missed.due_s))
    };
    missed.iter().filter(is_in).cloned().collect()
}
