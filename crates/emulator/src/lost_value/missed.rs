//! Parses the log lines of jobs that missed their objectives.

use super::report::RequestClass;
use crate::cast::whole;
use std::collections::BTreeMap;
use streamusher_jobs::{Completion, LatencyStage};
use streamusher_scheduler::OBJECTIVE_MISSED_PREFIX;

/// Tolerance for comparing stretches, which are printed and parsed again as text.
const STRETCH_TOLERANCE: f64 = 1e-6;
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Suffix of a log line that states how many earlier lines were suppressed by rate limiting.
const SUPPRESSED_SUFFIX: &str = " more since)";

/// A job that missed its objective.
#[derive(Clone, Debug)]
pub struct MissedObjective {
    /// Due time of the job, in seconds from the start of the benchmark run.
    pub due_s: f64,
    /// Completion record of the job, as logged.
    pub completion: Completion,
    /// Number of misses that this entry represents: itself plus its share of the misses whose log lines were
    /// suppressed around that time.
    pub represented_misses: f64,
}

/// A parsed log line.
struct MissedLine {
    missed: MissedObjective,
    /// Number of lines that the log suppressed before this one.
    suppressed: u32,
}

impl MissedObjective {
    /// Returns whether the priority, target latency and stretch of the job are those of the class.
    pub(super) fn is_of(&self, class: &RequestClass) -> bool {
        let completion = &self.completion;
        completion.priority == class.priority
            && completion.target_latency_ms == whole(class.target_latency_ms)
            && (completion.stretch - class.jobs.stretch).abs() < STRETCH_TOLERANCE
    }

    /// Share of the loss per latency stage, in proportion to the time spent in each stage other than work.
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

/// Parses the missed objectives from the log of a benchmark run. Each line begins with its time in seconds
/// from the start of the run. Logging is rate-limited per call site, and the first line after a pause states
/// how many lines were suppressed; these are distributed evenly over the lines of the burst before it.
pub fn parse_missed_objectives(log: &str) -> Vec<MissedObjective> {
    let mut all: Vec<MissedObjective> = Vec::new();
    let mut first_of_burst = 0;
    for line in log.lines().filter_map(parse_line) {
        let burst = &mut all[first_of_burst..];
        if line.suppressed > 0 && !burst.is_empty() {
            let part = f64::from(line.suppressed) / burst.len() as f64;
            for missed in burst {
                missed.represented_misses += part;
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
        represented_misses: 1.0,
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
