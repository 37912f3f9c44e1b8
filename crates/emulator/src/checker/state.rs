//! The checker with its recorded observations.

use super::configurations::Configurations;
use super::fencing_rule::FencingHistory;
use super::records::{EndNumber, EndPosition, JobRecord, TaskRecord, WorkerInstance};
use super::violation::{Rule, Violation};
use crate::limits::DeploymentLimits;
use std::collections::{BTreeMap, BTreeSet};
use streamusher_protocol::job::JobState;
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::Millis;

/// Tolerance for an early start of a timed task in simulations whose wall clocks jump.
const CLOCK_STEP_TOLERANCE_MS: Millis = 5_000;

/// Numbers of submitted jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobCounts {
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Accepted jobs that were reported in a final state.
    pub ended: usize,
}

/// Observations of a simulation and the violations of rules found so far. The rules are implemented in the
/// other modules.
pub struct Checker {
    pub(super) limits: DeploymentLimits,
    /// Whether wall clocks jump in this simulation.
    pub(super) clocks_step: bool,
    /// Time after the refusal of a token during which calls with it are allowed.
    pub(super) lease_ms: Millis,
    pub(super) tasks: BTreeMap<TaskId, TaskRecord>,
    /// Ends that were reported but not acknowledged yet.
    pub(super) unacknowledged_ends: BTreeMap<EndNumber, EndPosition>,
    /// Time at which the draining of a worker was acknowledged.
    pub(super) drains: BTreeMap<WorkerInstance, Millis>,
    pub(super) jobs: BTreeMap<JobId, JobRecord>,
    pub(super) configurations: Configurations,
    /// Tasks of cancelled jobs that were already reported as still running.
    pub(super) overdue: BTreeSet<TaskId>,
    pub(super) fencing: FencingHistory,
    pub(super) starts: u64,
    violations: Vec<Violation>,
}

impl Checker {
    /// Creates a checker without observations.
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

    /// All violations found so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Number of runs that were started.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Numbers of accepted and of ended jobs.
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

    /// Accepted jobs that were not reported in a final state, with their latest reported state.
    pub fn open_jobs(&self) -> Vec<(JobId, Option<JobState>)> {
        let is_open = |record: &JobRecord| record.accepted_at.is_some() && !record.is_shown_final();
        let open = self.jobs.iter().filter(|(_, record)| is_open(record));
        open.map(|(id, record)| (id.clone(), record.shown))
            .collect()
    }

    /// Returns the observations of a task.
    pub(crate) fn task(&self, task: &TaskId) -> Option<&TaskRecord> {
        self.tasks.get(task)
    }

    pub(super) fn is_done(&self, task: &TaskId) -> bool {
        self.task(task).is_some_and(TaskRecord::is_done)
    }

    /// Number of failed ends of a task before a time that are acknowledged.
    pub(super) fn acknowledged_failures(&self, task: &TaskId, before: Millis) -> u32 {
        let record = self.task(task);
        record.map_or(0, |record| record.acknowledged_failures(before))
    }

    /// Maximum error of wall clocks.
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
