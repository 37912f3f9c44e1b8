//! Test harness: a job table with a replicated state and a set of units that wait for placement, and builders
//! of requests and identifiers.

#![allow(dead_code, reason = "each test file uses a part of this module")]

pub(crate) mod model;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_jobs::{CancelOutcome, JobChanges, JobSettings, JobTable, QueuePolicy, StartedRun};
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::job::{JobRequest, JobState, StepRequest};
use streamusher_protocol::task::{JobId, RunEnd, RunId, TaskId};
use streamusher_protocol::unit::{StepId, TaskAssignment, Unit, UnitId};
use streamusher_protocol::{Millis, Now};

/// Retention of ended jobs in the harness's settings.
pub(crate) const RETENTION_MS: Millis = 60_000;
/// Time at which each harness starts.
pub(crate) const START: Now = Now {
    steady_ms: 5_000,
    unix_ms: 1_700_000_000_000,
};

pub(crate) fn settings() -> JobSettings {
    JobSettings {
        retention_ms: RETENTION_MS,
    }
}

pub(crate) fn job_id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("a job id")
}

pub(crate) fn task_id(number: u64, iteration: u32, step: u32, index: u32) -> TaskId {
    TaskId {
        job: job_id(number),
        iteration,
        step,
        index,
    }
}

/// Identifier of a single task's unit, or of a gang if there is no index.
pub(crate) fn unit_id(number: u64, iteration: u32, step: u32, index: Option<u32>) -> UnitId {
    UnitId {
        step: StepId {
            job: job_id(number),
            iteration,
            step,
        },
        index,
    }
}

pub(crate) fn run_id(task: TaskId, run: u32) -> RunId {
    RunId { task, run }
}

pub(crate) fn assignment(task: TaskId, worker: &str) -> TaskAssignment {
    TaskAssignment {
        task,
        worker: worker.into(),
    }
}

pub(crate) fn policy(queue: &str) -> QueuePolicy {
    QueuePolicy {
        queue: queue.into(),
        service: "imaging".into(),
        priority: 1,
        max_attempts: 2,
        stretch: 2.5,
        target_latency_ms: 800,
    }
}

pub(crate) fn step(count: u32) -> StepRequest {
    StepRequest {
        count,
        resources: Resources {
            cpu: 500,
            mem_mb: 256,
            gpu: 0,
        },
        estimated_ms: 900,
        ..StepRequest::default()
    }
}

pub(crate) fn step_after(count: u32, depends_on: &[u32]) -> StepRequest {
    StepRequest {
        depends_on: depends_on.to_vec(),
        ..step(count)
    }
}

pub(crate) fn step_with_checkpoints(count: u32) -> StepRequest {
    StepRequest {
        checkpoints: true,
        ..step(count)
    }
}

pub(crate) fn gang_step(count: u32) -> StepRequest {
    StepRequest {
        gang: true,
        ..step_with_checkpoints(count)
    }
}

pub(crate) fn hedged_step(count: u32) -> StepRequest {
    StepRequest {
        hedged: true,
        ..step(count)
    }
}

pub(crate) fn long_running_step(count: u32) -> StepRequest {
    StepRequest {
        long_running: true,
        ..step(count)
    }
}

pub(crate) fn request(steps: Vec<StepRequest>) -> JobRequest {
    JobRequest {
        spec: "scan 7".into(),
        steps,
        ..JobRequest::default()
    }
}

/// A job table, and the accumulated effect of its changes.
pub(crate) struct Harness {
    pub(crate) table: JobTable,
    pub(crate) now: Now,
    /// Replicated state: the values of all records by key.
    pub(crate) state: BTreeMap<Arc<str>, Arc<str>>,
    /// Units that wait for placement.
    pub(crate) ready_units: BTreeMap<UnitId, Unit>,
    /// All runs that the table has asked to stop so far.
    pub(crate) stopped_runs: BTreeSet<RunId>,
    pub(crate) last_changes: JobChanges,
}

impl Default for Harness {
    fn default() -> Harness {
        Harness::new()
    }
}

impl Harness {
    pub(crate) fn new() -> Harness {
        Harness::with_table(JobTable::new(settings()))
    }

    fn with_table(table: JobTable) -> Harness {
        Harness {
            table,
            now: START,
            state: BTreeMap::new(),
            ready_units: BTreeMap::new(),
            stopped_runs: BTreeSet::new(),
            last_changes: JobChanges::default(),
        }
    }

    /// Recovers a table from a replicated state and takes the units that become ready.
    pub(crate) fn recovered_from(now: Now, state: BTreeMap<Arc<str>, Arc<str>>) -> Harness {
        let records = state.iter().map(|(k, v)| (k.clone(), v.clone()));
        let table = JobTable::recover(settings(), now, records).expect("the state can be read");
        let mut harness = Harness {
            now,
            state,
            ..Harness::with_table(table)
        };
        harness.take_changes();
        harness
    }

    /// Recovers a table from the current state, as a new primary does.
    pub(crate) fn recovered(&self) -> Harness {
        Harness::recovered_from(self.now, self.state.clone())
    }

    /// Applies the changes as the scheduler does: writes in one batch, and revoked units before ready ones.
    pub(crate) fn take_changes(&mut self) {
        let changes = self.table.take_changes();
        let mut keys = BTreeSet::new();
        for write in &changes.writes {
            assert!(
                keys.insert(write.key.clone()),
                "{} is written twice in a batch",
                write.key
            );
            match &write.value {
                Some(value) => self.state.insert(write.key.clone(), value.clone()),
                None => self.state.remove(&write.key),
            };
        }
        for id in &changes.revoked_units {
            assert!(
                self.ready_units.remove(id).is_some(),
                "{id:?} was not ready before it was revoked"
            );
        }
        for unit in &changes.ready_units {
            assert!(
                self.ready_units
                    .insert(unit.id.clone(), unit.clone())
                    .is_none(),
                "{unit:?} became ready twice"
            );
        }
        self.stopped_runs
            .extend(changes.runs_to_stop.iter().cloned());
        self.last_changes = changes;
    }

    /// Advances both clocks and calls `tick`.
    pub(crate) fn advance(&mut self, duration_ms: Millis) {
        self.now.steady_ms += duration_ms;
        self.now.unix_ms += duration_ms;
        self.table.tick(self.now);
        self.take_changes();
    }

    pub(crate) fn submit(&mut self, number: u64, request: JobRequest) {
        self.submit_with(number, request, &policy("scans"));
    }

    pub(crate) fn submit_with(&mut self, number: u64, request: JobRequest, policy: &QueuePolicy) {
        self.table
            .submit(self.now, &job_id(number), request, policy)
            .expect("the job is accepted");
        self.take_changes();
    }

    /// Starts a ready unit, with the task at index `i` on worker `wi`.
    pub(crate) fn start(&mut self, id: &UnitId) -> Vec<StartedRun> {
        let unit = self
            .ready_units
            .remove(id)
            .unwrap_or_else(|| panic!("{id:?} is not ready"));
        let assignments: Vec<TaskAssignment> = unit
            .tasks
            .iter()
            .enumerate()
            .map(|(index, task)| assignment(task.clone(), &format!("w{index}")))
            .collect();
        let started = self.table.start_unit(self.now, id, &assignments);
        self.take_changes();
        started
    }

    pub(crate) fn finish(&mut self, run: &RunId, end: RunEnd) -> bool {
        self.finish_with_checkpoint(run, end, "")
    }

    pub(crate) fn finish_with_checkpoint(
        &mut self,
        run: &RunId,
        end: RunEnd,
        checkpoint: &str,
    ) -> bool {
        let is_assigned = self.table.on_run_finished(self.now, run, end, checkpoint);
        self.take_changes();
        is_assigned
    }

    /// Starts a ready unit of one task and finishes its run.
    pub(crate) fn start_and_finish(&mut self, id: &UnitId, end: RunEnd) -> RunId {
        let started = self.start(id);
        let run = started[0].run.clone();
        assert!(self.finish(&run, end));
        run
    }

    pub(crate) fn lose(&mut self, run: &RunId) {
        self.table.on_run_lost(self.now, run);
        self.take_changes();
    }

    pub(crate) fn cancel(&mut self, number: u64) -> CancelOutcome {
        let outcome = self.table.cancel(self.now, &job_id(number));
        self.take_changes();
        outcome
    }

    pub(crate) fn status(&self, number: u64) -> Option<JobState> {
        self.table.status(&job_id(number))
    }

    /// Identifiers of the units that wait for placement.
    pub(crate) fn ready_ids(&self) -> Vec<UnitId> {
        self.ready_units.keys().cloned().collect()
    }

    /// Keys of the replicated state.
    pub(crate) fn stored_keys(&self) -> Vec<String> {
        self.state.keys().map(ToString::to_string).collect()
    }
}

/// Pseudo-random number generator (splitmix64). A failing seed can be replayed.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    /// Random number below a limit.
    pub(crate) fn below_u32(&mut self, limit: u32) -> u32 {
        u32::try_from(self.below(limit.into())).expect("a number below a limit of type u32")
    }

    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub(crate) fn pick<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        let index =
            usize::try_from(self.below(items.len() as u64)).expect("an index fits into usize");
        items.get(index)
    }
}
