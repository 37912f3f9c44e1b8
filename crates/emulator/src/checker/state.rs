//! The checker with all that it has observed.

use super::configurations::Configurations;
use super::fencing_rule::FencingHistory;
use super::records::{EndNumber, EndPosition, JobRecord, TaskRecord, WorkerInstance};
use super::violation::{Rule, Violation};
use crate::limits::DeploymentLimits;
use std::collections::{BTreeMap, BTreeSet};
use streamusher_protocol::job::JobState;
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::Millis;

/// A timed task may start so much earlier in simulations whose clocks jump.
const CLOCK_STEP_TOLERANCE_MS: Millis = 5_000;

/// How many jobs clients have had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobCounts {
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Accepted jobs that were shown in a final state.
    pub ended: usize,
}

/// What was observed in a simulation, and which rules were broken. The rules are in the other modules.
pub struct Checker {
    pub(super) limits: DeploymentLimits,
    /// Whether times of day jump in this simulation.
    pub(super) clocks_step: bool,
    /// For how long a call may go on after its token was refused.
    pub(super) lease_ms: Millis,
    pub(super) tasks: BTreeMap<TaskId, TaskRecord>,
    /// Ends that were reported and not acknowledged yet.
    pub(super) unacknowledged_ends: BTreeMap<EndNumber, EndPosition>,
    /// When it was acknowledged that a worker drains.
    pub(super) drains: BTreeMap<WorkerInstance, Millis>,
    pub(super) jobs: BTreeMap<JobId, JobRecord>,
    pub(super) configurations: Configurations,
    /// Tasks of cancelled jobs that were reported as still running.
    pub(super) overdue: BTreeSet<TaskId>,
    pub(super) fencing: FencingHistory,
    pub(super) starts: u64,
    violations: Vec<Violation>,
}

impl Checker {
    /// Nothing observed yet.
    pub(crate) fn new(limits: DeploymentLimits, clocks_step: bool, lease_ms: Millis) -> Checker {
        Checker {
            limits,
            clocks_step,
            lease_ms,
            tasks: BTreeMap::new(),
            unacknowledged_ends: BTreeMap::new(),
            drains: BTreeMap::new(),
            jobs: BTreeMap::new(),
            configurations: Configurations::default(),
            overdue: BTreeSet::new(),
            fencing: FencingHistory::default(),
            starts: 0,
            violations: Vec::new(),
        }
    }

    /// All breaches so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Runs that were started.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// How many jobs were accepted and ended.
    pub fn job_counts(&self) -> JobCounts {
        let accepted = self
            .jobs
            .values()
            .filter(|record| record.accepted_at.is_some());
        let ended = accepted.clone().filter(|record| record.is_shown_final());
        JobCounts {
            accepted: accepted.count(),
            ended: ended.count(),
        }
    }

    /// Accepted jobs that were not shown in a final state, with the state in which they were shown last.
    pub fn open_jobs(&self) -> Vec<(JobId, Option<JobState>)> {
        let is_open = |record: &JobRecord| record.accepted_at.is_some() && !record.is_shown_final();
        let open = self.jobs.iter().filter(|(_, record)| is_open(record));
        open.map(|(id, record)| (id.clone(), record.shown))
            .collect()
    }

    /// What was observed of a task.
    pub(crate) fn task(&self, task: &TaskId) -> Option<&TaskRecord> {
        self.tasks.get(task)
    }

    pub(super) fn is_done(&self, task: &TaskId) -> bool {
        self.task(task).is_some_and(TaskRecord::is_done)
    }

    /// How many failed ends of a task before a time are acknowledged.
    pub(super) fn acknowledged_failures(&self, task: &TaskId, before: Millis) -> u32 {
        let record = self.task(task);
        record.map_or(0, |record| record.acknowledged_failures(before))
    }

    /// By how much times of day may be off.
    pub(super) fn clock_tolerance_ms(&self) -> Millis {
        if self.clocks_step {
            CLOCK_STEP_TOLERANCE_MS
        } else {
            0
        }
    }

    pub(super) fn report(&mut self, noticed_at: Millis, rule: Rule, text: String) {
        self.violations.push(Violation {
            noticed_at,
            rule,
            text,
        });
    }
}
