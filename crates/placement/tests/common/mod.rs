//! Simulated cluster in virtual time: carries out placement decisions and checks each against its own record
//! of runs and units.
#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_placement::{
    Decision, Placement, PlacementSettings, Policy, ReleaseReason, TimeWaited, WorkerInfo,
};
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::unit::{StepId, Unit, UnitId, WorkerId};
use streamusher_protocol::Millis;

pub(crate) const STOP_MS: Millis = 900;
pub(crate) const TICK_MS: Millis = 20;

pub(crate) fn settings(random_seed: u64) -> PlacementSettings {
    PlacementSettings {
        random_seed,
        remote_slowdown: 1.5,
        max_stop_ms: STOP_MS,
        checkpoint_restore_ms: 100,
        policy: Policy::default(),
    }
}

pub(crate) fn resources(cpu: u64, mem_mb: u64, gpu: u64) -> Resources {
    Resources { cpu, mem_mb, gpu }
}

/// A worker of service "s" with the labels "a" (its kind) and `rack`.
pub(crate) fn worker(id: &str, cpu: u64, rack: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        service: "s".into(),
        zone: "z".into(),
        labels: vec!["a".into(), rack.into()],
        capacity: resources(cpu, cpu * 2, 0),
        schedulable: true,
    }
}

/// The single task of job `number`.
pub(crate) fn task(number: u64) -> TaskId {
    format!("{number:016x}.0.0.0").parse().unwrap()
}

/// A unit of one task. Its order in the queue is its number.
pub(crate) fn unit(number: u64, cpu: u64, priority: u32) -> Unit {
    unit_of(
        vec![task(number)],
        UnitId::of_task(&task(number)),
        cpu,
        priority,
        number,
    )
}

/// A gang of `members` tasks.
pub(crate) fn gang(number: u64, members: u32, cpu: u64, priority: u32) -> Unit {
    let tasks: Vec<TaskId> = (0..members)
        .map(|index| TaskId {
            index,
            ..task(number)
        })
        .collect();
    let id = UnitId {
        step: StepId::of_task(&tasks[0]),
        index: None,
    };
    unit_of(tasks, id, cpu, priority, number)
}

fn unit_of(tasks: Vec<TaskId>, id: UnitId, cpu: u64, priority: u32, order: u64) -> Unit {
    Unit {
        id,
        tasks,
        resources: resources(cpu, cpu, 0),
        service: "s".into(),
        queue: format!("q{priority}").into(),
        priority,
        order,
        slack_ms: 1_000,
        node_selector: None,
        affinity: None,
        anti_affinity: 0,
        same_rack: false,
        estimated_ms: 1_000,
        checkpoints: false,
        long_running: false,
        hedged: false,
        speculative: false,
        avoid: Vec::new(),
    }
}

/// A run that was started and has not ended yet.
pub(crate) struct RunningTask {
    pub(crate) unit: Unit,
    pub(crate) started_at: Millis,
    pub(crate) stopping: bool,
}

/// Simulated workers, runs and pending units, with the placement under test.
pub(crate) struct Cluster {
    pub(crate) placement: Placement,
    pub(crate) now: Millis,
    pub(crate) workers: BTreeMap<WorkerId, WorkerInfo>,
    pub(crate) runs: BTreeMap<(TaskId, WorkerId), RunningTask>,
    pub(crate) pending: BTreeMap<UnitId, Unit>,
    pub(crate) starts: usize,
    /// Time that each started unit has waited, by reason.
    pub(crate) waits: BTreeMap<UnitId, Vec<TimeWaited>>,
    pub(crate) preempted: Vec<TaskId>,
}

impl Cluster {
    pub(crate) fn new(random_seed: u64, workers: impl IntoIterator<Item = WorkerInfo>) -> Cluster {
        let mut cluster = Cluster {
            placement: Placement::new(settings(random_seed)),
            now: 1_000,
            workers: BTreeMap::new(),
            runs: BTreeMap::new(),
            pending: BTreeMap::new(),
            starts: 0,
            waits: BTreeMap::new(),
            preempted: Vec::new(),
        };
        for info in workers {
            cluster.update_worker(info);
        }
        cluster
    }

    /// Adds a worker, or updates it to a new report.
    pub(crate) fn update_worker(&mut self, info: WorkerInfo) {
        self.workers.insert(info.id.clone(), info.clone());
        self.placement.update_worker(self.now, info);
    }

    pub(crate) fn remove_worker(&mut self, id: &str) {
        let id: WorkerId = id.into();
        self.workers.remove(&id);
        self.runs.retain(|(_, worker), _| *worker != id);
        self.placement.remove_worker(self.now, &id);
    }

    pub(crate) fn enqueue(&mut self, unit: Unit) {
        self.pending.insert(unit.id.clone(), unit.clone());
        self.placement.enqueue(self.now, unit);
    }

    pub(crate) fn withdraw(&mut self, id: &UnitId) {
        self.pending.remove(id);
        self.placement.withdraw(id);
    }

    /// Calls placement once, carries out and checks its decisions. Returns the starts.
    pub(crate) fn place(&mut self) -> Vec<(TaskId, WorkerId)> {
        let mut started = Vec::new();
        for decision in self.placement.place(self.now) {
            match decision {
                Decision::Start {
                    unit,
                    assignments,
                    waits,
                } => {
                    let assignments: Vec<(TaskId, WorkerId)> = assignments
                        .into_iter()
                        .map(|assignment| (assignment.task, assignment.worker))
                        .collect();
                    self.check_start(&unit, &assignments);
                    self.waits.insert(unit, waits);
                    started.extend(assignments);
                }
                Decision::Preempt { task, worker } => self.preempt(task, &worker),
            }
        }
        started
    }

    /// Calls placement at each tick of a time span. Returns the starts.
    pub(crate) fn place_for(&mut self, span_ms: Millis) -> Vec<(TaskId, WorkerId)> {
        let end = self.now + span_ms;
        let mut started = self.place();
        while self.now < end {
            self.now = (self.now + TICK_MS).min(end);
            started.extend(self.place());
        }
        started
    }

    fn check_start(&mut self, id: &UnitId, assignments: &[(TaskId, WorkerId)]) {
        let unit = self
            .pending
            .remove(id)
            .unwrap_or_else(|| panic!("{id:?} was started twice or never enqueued"));
        let expected: BTreeSet<&TaskId> = unit.tasks.iter().collect();
        let placed: BTreeSet<&TaskId> = assignments.iter().map(|(task, _)| task).collect();
        assert_eq!(expected, placed, "all tasks of a unit start together");
        assert_eq!(assignments.len(), unit.tasks.len(), "each task starts once");
        for (task, worker) in assignments {
            let entry = RunningTask {
                unit: unit.clone(),
                started_at: self.now,
                stopping: false,
            };
            assert!(self
                .runs
                .insert((task.clone(), worker.clone()), entry)
                .is_none());
            self.check_worker(&unit, worker);
        }
        self.starts += assignments.len();
    }

    fn check_worker(&self, unit: &Unit, worker: &WorkerId) {
        let info = self
            .workers
            .get(worker)
            .unwrap_or_else(|| panic!("{worker} is not a registered worker"));
        assert!(info.schedulable, "{worker} is not schedulable");
        assert_eq!(
            info.service, unit.service,
            "worker and unit belong to the same service"
        );
        let has_label = |label: &Arc<str>| info.labels.contains(label);
        assert!(
            unit.node_selector.as_ref().is_none_or(has_label),
            "{worker} lacks the required label"
        );
        let used = self.used(worker);
        assert!(
            info.capacity.covers(&used),
            "{worker} uses {used:?} of its capacity {:?}",
            info.capacity
        );
        if unit.anti_affinity > 0 {
            let count = self.count_of(&unit.id.step, worker);
            assert!(
                count <= unit.anti_affinity,
                "{worker} runs {count} tasks of {:?}",
                unit.id.step
            );
        }
    }

    /// Resources that the runs on a worker hold, according to the recorded starts.
    pub(crate) fn used(&self, worker: &WorkerId) -> Resources {
        let on_worker = self.runs.iter().filter(|((_, id), _)| id == worker);
        on_worker.fold(Resources::default(), |sum, (_, entry)| {
            sum.saturating_add(&entry.unit.resources)
        })
    }

    pub(crate) fn count_of(&self, step: &StepId, worker: &WorkerId) -> u32 {
        let is_same_step = |((_, id), entry): &(&(TaskId, WorkerId), &RunningTask)| {
            id == worker && entry.unit.id.step == *step
        };
        u32::try_from(self.runs.iter().filter(is_same_step).count())
            .expect("the number of runs fits in 32 bits")
    }

    fn preempt(&mut self, task: TaskId, worker: &WorkerId) {
        let entry = self
            .runs
            .get_mut(&(task.clone(), worker.clone()))
            .expect("a preempted task runs on the worker");
        assert!(!entry.stopping, "{task} was preempted twice");
        entry.stopping = true;
        self.placement.mark_stopping(&task, worker);
        self.preempted.push(task);
    }

    /// Orders a stop that placement did not request.
    pub(crate) fn stop(&mut self, task: &TaskId, worker: &str) {
        let worker: WorkerId = worker.into();
        self.runs
            .get_mut(&(task.clone(), worker.clone()))
            .expect("a stopped task runs on the worker")
            .stopping = true;
        self.placement.mark_stopping(task, &worker);
    }

    /// Ends a run with an outcome.
    pub(crate) fn finish(&mut self, task: &TaskId, worker: &WorkerId, outcome: RunEnd) {
        let entry = self
            .runs
            .remove(&(task.clone(), worker.clone()))
            .expect("a finished task runs on the worker");
        let reason = ReleaseReason::Finished {
            outcome,
            ran_ms: self.now - entry.started_at,
        };
        self.placement.release(self.now, task, worker, reason);
    }

    pub(crate) fn release(&mut self, task: &TaskId, worker: &WorkerId, reason: ReleaseReason) {
        self.runs
            .remove(&(task.clone(), worker.clone()))
            .expect("a released task runs on the worker");
        self.placement.release(self.now, task, worker, reason);
    }

    /// Reports that a run on a worker makes no progress.
    pub(crate) fn report_stall(&mut self, worker: &WorkerId) {
        self.placement.on_run_stalled(self.now, worker);
    }

    /// Ends the runs that match a condition on their worker and themselves.
    pub(crate) fn finish_where(
        &mut self,
        outcome: RunEnd,
        is_matching: impl Fn(&WorkerId, &RunningTask) -> bool,
    ) {
        let matching: Vec<(TaskId, WorkerId)> = self
            .runs
            .iter()
            .filter(|((_, worker), run)| is_matching(worker, run))
            .map(|(key, _)| key.clone())
            .collect();
        for (task, worker) in matching {
            self.finish(&task, &worker, outcome);
        }
    }

    /// Ends all runs on a worker successfully.
    pub(crate) fn finish_all_at(&mut self, worker: &str) {
        self.finish_where(RunEnd::Done, |id, _| &**id == worker);
    }

    /// Number of runs on a worker.
    pub(crate) fn runs_at(&self, worker: &str) -> usize {
        self.runs.keys().filter(|(_, id)| &**id == worker).count()
    }

    /// Worker that runs the task of job `number`.
    pub(crate) fn worker_of(&self, number: u64) -> Option<&str> {
        self.runs
            .keys()
            .find(|(run, _)| run.job == task(number).job)
            .map(|(_, worker)| &**worker)
    }
}
