//! Simple and slow model of a job: it stores all facts about every unit and computes the rules from them.

use std::collections::{BTreeMap, BTreeSet};
use streamusher_jobs::{QueuePolicy, StartedRun};
use streamusher_protocol::job::{JobRequest, JobState, StepRequest};
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::{Millis, Now};

/// Longest backoff of a long-running task.
const MAX_BACKOFF_MS: Millis = 2_000;

/// Position of a unit within its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct UnitKey {
    pub(crate) iteration: u32,
    pub(crate) step: u32,
    pub(crate) unit: u32,
}

/// Observable state of a unit.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnitModel {
    pub(crate) run: u32,
    pub(crate) failed_attempts: u32,
    pub(crate) last_failed_run: u32,
    pub(crate) is_done: bool,
    /// Indexes of the tasks that occupy a worker.
    pub(crate) assigned_tasks: BTreeSet<u32>,
    /// A run with the newest run number ended without success.
    pub(crate) is_broken: bool,
    /// All checkpoints that runs of the unit have reported.
    pub(crate) checkpoints: BTreeSet<String>,
    /// End of the newest run, on the steady clock.
    pub(crate) last_run_ended_at_ms: Millis,
}

/// Observable state of a job.
#[derive(Clone, Debug)]
pub(crate) struct JobModel {
    pub(crate) request: JobRequest,
    pub(crate) policy: QueuePolicy,
    pub(crate) submitted_unix_ms: Millis,
    pub(crate) final_state: Option<JobState>,
    pub(crate) ended_at_ms: Millis,
    pub(crate) has_started: bool,
    pub(crate) units: BTreeMap<UnitKey, UnitModel>,
}

impl JobModel {
    pub(crate) fn new(request: JobRequest, policy: QueuePolicy, now: Now) -> JobModel {
        let mut units = BTreeMap::new();
        for iteration in 0..request.repeat_count.max(1) {
            for (step, step_request) in (0..).zip(&request.steps) {
                let count = if step_request.gang {
                    1
                } else {
                    step_request.count
                };
                for unit in 0..count {
                    let key = UnitKey {
                        iteration,
                        step,
                        unit,
                    };
                    units.insert(key, UnitModel::default());
                }
            }
        }
        JobModel {
            request,
            policy,
            submitted_unix_ms: now.unix_ms,
            final_state: None,
            ended_at_ms: 0,
            has_started: false,
            units,
        }
    }

    pub(crate) fn state(&self) -> JobState {
        self.final_state.unwrap_or(if self.has_started {
            JobState::Running
        } else {
            JobState::Pending
        })
    }

    pub(crate) fn step(&self, step: u32) -> &StepRequest {
        &self.request.steps[step as usize]
    }

    pub(crate) fn due_unix_ms(&self, iteration: u32) -> Millis {
        self.request.start_at_ms + u64::from(iteration) * self.request.interval_ms
    }

    fn is_step_done(&self, iteration: u32, step: u32) -> bool {
        self.units
            .iter()
            .filter(|(key, _)| key.iteration == iteration && key.step == step)
            .all(|(_, unit)| unit.is_done)
    }

    /// Whether a unit may run and none of its tasks is assigned.
    pub(crate) fn may_run(&self, key: UnitKey, now: Now) -> bool {
        let unit = &self.units[&key];
        let depends_on = &self.step(key.step).depends_on;
        self.final_state.is_none()
            && self.due_unix_ms(key.iteration) <= now.unix_ms
            && depends_on
                .iter()
                .all(|&dependency| self.is_step_done(key.iteration, dependency))
            && !unit.is_done
            && unit.assigned_tasks.is_empty()
    }

    /// Whether a unit may be backing off after failures.
    pub(crate) fn may_back_off(&self, key: UnitKey, now: Now) -> bool {
        let unit = &self.units[&key];
        self.step(key.step).long_running
            && unit.failed_attempts > 1
            && now.steady_ms < unit.last_run_ended_at_ms + MAX_BACKOFF_MS
    }

    pub(crate) fn on_started(&mut self, key: UnitKey, started: &[StartedRun]) {
        let tasks = if self.step(key.step).gang {
            self.step(key.step).count
        } else {
            1
        };
        let has_checkpoints = self.step(key.step).checkpoints;
        let is_long_running = self.step(key.step).long_running;
        let spec = self.request.spec.clone();
        let max_attempts = self.policy.max_attempts;
        let unit = self.units.get_mut(&key).expect("a unit of the job");
        assert_eq!(
            started.len(),
            tasks as usize,
            "either all tasks of a unit start or none"
        );
        assert!(
            is_long_running || unit.failed_attempts < max_attempts,
            "no run starts after the limit of attempts is reached"
        );
        assert!(
            !unit.is_done && unit.assigned_tasks.is_empty(),
            "no run starts beside another one or after the unit is done"
        );
        unit.run += 1;
        unit.is_broken = false;
        for run in started {
            assert_eq!(
                run.run.run, unit.run,
                "run numbers increase by one and are shared by the tasks of a unit"
            );
            assert_eq!(run.spec, spec);
            assert_eq!(
                run.checkpoint, started[0].checkpoint,
                "all tasks of a unit start from the same checkpoint"
            );
            assert!(unit.assigned_tasks.insert(run.run.task.index));
        }
        let checkpoint = started[0].checkpoint.to_string();
        let is_own = unit.checkpoints.contains(&checkpoint);
        assert!(
            checkpoint.is_empty() || (has_checkpoints && is_own),
            "no run of the unit reported the checkpoint {checkpoint:?}"
        );
        self.has_started = true;
    }

    /// Handles the end of a run; `end` is `None` if no worker reported one.
    pub(crate) fn on_run_over(&mut self, key: UnitKey, task: u32, end: Option<RunEnd>, now: Now) {
        let is_long_running = self.step(key.step).long_running;
        let unit = self.units.get_mut(&key).expect("a unit of the job");
        assert!(unit.assigned_tasks.remove(&task));
        unit.last_run_ended_at_ms = now.steady_ms;
        if self.final_state.is_some() || unit.is_done {
            return;
        }
        if end == Some(RunEnd::Done) && !is_long_running {
            unit.is_done = true;
            if self.units.values().all(|unit| unit.is_done) {
                self.finish(JobState::Succeeded, now);
            }
            return;
        }
        unit.is_broken = true;
        if end == Some(RunEnd::Failed) && unit.last_failed_run < unit.run {
            unit.last_failed_run = unit.run;
            unit.failed_attempts += 1;
            if !is_long_running && unit.failed_attempts >= self.policy.max_attempts {
                self.finish(JobState::Failed, now);
            }
        }
    }

    pub(crate) fn finish(&mut self, state: JobState, now: Now) {
        self.final_state = Some(state);
        self.ended_at_ms = now.steady_ms;
    }

    pub(crate) fn has_assigned_runs(&self) -> bool {
        self.units
            .values()
            .any(|unit| !unit.assigned_tasks.is_empty())
    }
}
