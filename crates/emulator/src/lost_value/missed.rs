//! The log lines of jobs that missed their objectives.

use super::report::RequestClass;
use crate::cast::whole;
use std::collections::BTreeMap;
use streamusher_jobs::{Completion, LatencyStage};
use streamusher_scheduler::OBJECTIVE_MISSED_PREFIX;

/// Two stretches that differ by less are the same: they pass through text.
const STRETCH_TOLERANCE: f64 = 1e-6;
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Ends a line that says how many lines the log has suppressed before it.
const SUPPRESSED_SUFFIX: &str = " more since)";

/// A job that missed its objective.
#[derive(Clone, Debug)]
pub struct MissedObjective {
    /// When it was due, in seconds from the start of the benchmark run.
    pub due_s: f64,
    /// What the line says of the job.
    pub completion: Completion,
    /// How many misses it stands for: itself, and its part of those whose lines the log suppressed about then.
    pub stands_for: f64,
}

/// A line of the log.
struct MissedLine {
    missed: MissedObjective,
    /// Lines that the log suppressed before this one.
    suppressed: u32,
}

impl MissedObjective {
    /// Whether it is a job of a class.
    pub(super) fn is_of(&self, class: &RequestClass) -> bool {
        let completion = &self.completion;
        completion.priority == class.priority
            && completion.target_latency_ms == whole(class.target_latency_ms)
            && (completion.stretch - class.jobs.stretch).abs() < STRETCH_TOLERANCE
    }

    /// The part of its loss that falls to each stage: by the time that was not work.
    pub(super) fn parts_by_stage(&self) -> BTreeMap<LatencyStage, f64> {
        let breakdown = &self.completion.breakdown;
        let lost_ms = breakdown.total_ms() - breakdown.in_stage(LatencyStage::Worked);
        let stages = breakdown
            .stages()
            .filter(|(stage, _)| *stage != LatencyStage::Worked);
        stages
            .map(|(stage, spent_ms)| (stage, spent_ms as f64 / lost_ms.max(1) as f64))
            .collect()
    }
}

/// The jobs that missed their objectives, from the log of a benchmark run: each line begins with the second of the run. Logs
/// limit the lines of one place, and the first after a pause says how many were suppressed: the lines before it stand for
/// these too.
pub fn parse_missed_objectives(log: &str) -> Vec<MissedObjective> {
    let mut all: Vec<MissedObjective> = Vec::new();
    let mut first_of_burst = 0;
    for line in log.lines().filter_map(parse_line) {
        let burst = &mut all[first_of_burst..];
        if line.suppressed > 0 && !burst.is_empty() {
            let part = f64::from(line.suppressed) / burst.len() as f64;
            for missed in burst {
                missed.stands_for += part;
            }
            first_of_burst = all.len();
        }
        all.push(line.missed);
    }
    all
}

fn parse_line(line: &str) -> Option<MissedLine> {
    let (before, after) = line.split_once(OBJECTIVE_MISSED_PREFIX)?;
    let json_length = after.rfind('}')? + 1;
    let (json, rest) = after.split_at(json_length);
    let ended_s: f64 = before.split_whitespace().next()?.parse().ok()?;
    let completion: Completion = serde_json::from_str(json).ok()?;
    let due_s = ended_s - completion.latency_ms as f64 / MILLIS_PER_SECOND;
    let missed = MissedObjective {
        due_s,
        completion,
        stands_for: 1.0,
    };
    Some(MissedLine {
        missed,
        suppressed: parse_suppressed(rest).unwrap_or(0),
    })
}

fn parse_suppressed(rest: &str) -> Option<u32> {
    let count = rest.trim().strip_prefix('(')?;
    count.strip_suffix(SUPPRESSED_SUFFIX)?.parse().ok()
}
