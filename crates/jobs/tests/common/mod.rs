//! A record with the replicated state and the placement that would stand around it.

#![allow(dead_code)]

pub mod oracle;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_jobs::{JobChanges, JobSettings, JobTable, QueuePolicy, StartedRun};
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::job::{JobRequest, JobState, StepRequest};
use streamusher_protocol::task::{JobId, RunEnd, RunId, TaskId};
use streamusher_protocol::unit::{StepId, TaskAssignment, Unit, UnitId};
use streamusher_protocol::{Millis, Now};

pub const STATUS_MS: Millis = 60_000;
pub const START: Now = Now {
    steady_ms: 5_000,
    unix_ms: 1_700_000_000_000,
};

pub fn settings() -> JobSettings {
    JobSettings {
        retention_ms: STATUS_MS,
    }
}

pub fn job(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("a job id")
}

pub fn task(number: u64, iteration: u32, step: u32, index: u32) -> TaskId {
    TaskId {
        job: job(number),
        iteration,
        step,
        index,
    }
}

pub fn unit(number: u64, iteration: u32, step: u32, index: Option<u32>) -> UnitId {
    UnitId {
        step: StepId {
            job: job(number),
            iteration,
            step,
        },
        index,
    }
}

pub fn run(task: TaskId, run: u32) -> RunId {
    RunId { task, run }
}

pub fn assignment(task: TaskId, worker: &str) -> TaskAssignment {
    TaskAssignment {
        task,
        worker: worker.into(),
    }
}

pub fn terms(queue: &str) -> QueuePolicy {
    QueuePolicy {
        queue: queue.into(),
        service: "imaging".into(),
        priority: 1,
        max_attempts: 2,
        stretch: 2.5,
        target_latency_ms: 800,
    }
}

pub fn step(count: u32) -> StepRequest {
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

pub fn after(count: u32, depends_on: &[u32]) -> StepRequest {
    StepRequest {
        depends_on: depends_on.to_vec(),
        ..step(count)
    }
}

pub fn gang(count: u32) -> StepRequest {
    StepRequest {
        gang: true,
        checkpoints: true,
        ..step(count)
    }
}

pub fn request(steps: Vec<StepRequest>) -> JobRequest {
    JobRequest {
        spec: "scan 7".into(),
        steps,
        ..JobRequest::default()
    }
}

pub struct World {
    pub book: JobTable,
    pub now: Now,
    pub state: BTreeMap<Arc<str>, Arc<str>>,
    pub ready: BTreeMap<UnitId, Unit>,
    pub stops: BTreeSet<RunId>,
    pub last: JobChanges,
}

impl Default for World {
    fn default() -> World {
        World::new()
    }
}

impl World {
    pub fn new() -> World {
        World {
            book: JobTable::new(settings()),
            now: START,
            state: BTreeMap::new(),
            ready: BTreeMap::new(),
            stops: BTreeSet::new(),
            last: JobChanges::default(),
        }
    }

    /// Takes the changes as the scheduler does: writes in one batch, revocations before new units.
    pub fn take(&mut self) {
        let changes = self.book.take_changes();
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
                self.ready.remove(id).is_some(),
                "{id:?} was not given out before it was revoked"
            );
        }
        for unit in &changes.ready_units {
            assert!(
                self.ready.insert(unit.id.clone(), unit.clone()).is_none(),
                "{unit:?} is given out twice"
            );
        }
        self.stops.extend(changes.runs_to_stop.iter().cloned());
        self.last = changes;
    }

    pub fn pass(&mut self, span: Millis) {
        self.now.steady_ms += span;
        self.now.unix_ms += span;
        self.book.tick(self.now);
        self.take();
    }

    pub fn submit(&mut self, number: u64, request: JobRequest) {
        self.submit_to(number, request, &terms("scans"));
    }

    pub fn submit_to(&mut self, number: u64, request: JobRequest, terms: &QueuePolicy) {
        self.book
            .submit(self.now, &job(number), request, terms)
            .expect("the job is taken");
        self.take();
    }

    /// Begins a unit, member i at worker `wi`.
    pub fn begin(&mut self, id: &UnitId) -> Vec<StartedRun> {
        let unit = self
            .ready
            .remove(id)
            .unwrap_or_else(|| panic!("{id:?} does not wait"));
        let assignments: Vec<TaskAssignment> = unit
            .tasks
            .iter()
            .enumerate()
            .map(|(index, task)| assignment(task.clone(), &format!("w{index}")))
            .collect();
        let started = self.book.start_unit(self.now, id, &assignments);
        self.take();
        started
    }

    pub fn end(&mut self, run: &RunId, how: RunEnd) -> bool {
        self.end_with(run, how, "")
    }

    pub fn end_with(&mut self, run: &RunId, how: RunEnd, checkpoint: &str) -> bool {
        let known = self.book.on_run_finished(self.now, run, how, checkpoint);
        self.take();
        known
    }

    /// Begins a waiting unit of one task and ends its run.
    pub fn play(&mut self, id: &UnitId, how: RunEnd) -> RunId {
        let started = self.begin(id);
        let run = started[0].run.clone();
        assert!(self.end(&run, how));
        run
    }

    pub fn lose(&mut self, run: &RunId) {
        self.book.on_run_lost(self.now, run);
        self.take();
    }

    pub fn cancel(&mut self, number: u64) -> streamusher_jobs::CancelOutcome {
        let cancelled = self.book.cancel(self.now, &job(number));
        self.take();
        cancelled
    }

    pub fn status(&self, number: u64) -> Option<JobState> {
        self.book.status(&job(number))
    }

    pub fn waits(&self) -> Vec<UnitId> {
        self.ready.keys().cloned().collect()
    }

    pub fn keys(&self) -> Vec<String> {
        self.state.keys().map(|k| k.to_string()).collect()
    }

    /// The record rebuilt from the state, with the units that it gives out.
    pub fn recovered(&self) -> World {
        let records = self.state.iter().map(|(k, v)| (k.clone(), v.clone()));
        let book = JobTable::recover(settings(), self.now, records).expect("the state can be read");
        let mut world = World {
            book,
            now: self.now,
            state: self.state.clone(),
            ..World::new()
        };
        world.take();
        world
    }
}

/// Small generator of pseudo-random numbers (splitmix64), so that a failing seed replays.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub fn pick<'a, T>(&mut self, from: &'a [T]) -> Option<&'a T> {
        let index = self.below(from.len() as u64) as usize;
        from.get(index)
    }
}
