//! A cluster in virtual time: carries decisions out and checks each against its own books.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_placement::{
    Decision, Placement, PlacementSettings, Policy, ReleaseReason, TimeWaited, WorkerInfo,
};
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::unit::{StepId, Unit, UnitId, WorkerId};
use streamusher_protocol::Millis;

pub const STOP_MS: Millis = 900;
pub const TICK_MS: Millis = 20;

pub fn settings(random_seed: u64) -> PlacementSettings {
    PlacementSettings {
        random_seed,
        remote_slowdown: 1.5,
        max_stop_ms: STOP_MS,
        checkpoint_restore_ms: 100,
        policy: Policy::default(),
    }
}

pub fn room(cpu: u64, mem_mb: u64, gpu: u64) -> Resources {
    Resources { cpu, mem_mb, gpu }
}

/// A worker of service "s" with labels kind "a" and the rack.
pub fn worker(id: &str, cpu: u64, rack: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        service: "s".into(),
        zone: "z".into(),
        labels: vec!["a".into(), rack.into()],
        capacity: room(cpu, cpu * 2, 0),
        schedulable: true,
    }
}

/// A task of its own job with the number.
pub fn task(number: u64) -> TaskId {
    format!("{number:016x}.0.0.0").parse().unwrap()
}

/// A unit of one task, in order of its number.
pub fn unit(number: u64, cpu: u64, priority: u32) -> Unit {
    unit_of(
        vec![task(number)],
        UnitId::of_task(&task(number)),
        cpu,
        priority,
        number,
    )
}

/// A gang of so many tasks.
pub fn gang(number: u64, members: u32, cpu: u64, priority: u32) -> Unit {
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
        resources: room(cpu, cpu, 0),
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

pub struct Entry {
    pub unit: Unit,
    pub since: Millis,
    pub stopping: bool,
}

pub struct Cluster {
    pub placement: Placement,
    pub now: Millis,
    pub workers: BTreeMap<WorkerId, WorkerInfo>,
    pub runs: BTreeMap<(TaskId, WorkerId), Entry>,
    pub waiting: BTreeMap<UnitId, Unit>,
    pub starts: usize,
    /// What each started unit has waited for.
    pub waits: BTreeMap<UnitId, Vec<TimeWaited>>,
    pub preempted: Vec<TaskId>,
}

impl Cluster {
    pub fn new(random_seed: u64, workers: impl IntoIterator<Item = WorkerInfo>) -> Cluster {
        let mut cluster = Cluster {
            placement: Placement::new(settings(random_seed)),
            now: 1_000,
            workers: BTreeMap::new(),
            runs: BTreeMap::new(),
            waiting: BTreeMap::new(),
            starts: 0,
            waits: BTreeMap::new(),
            preempted: Vec::new(),
        };
        workers.into_iter().for_each(|info| cluster.worker(info));
        cluster
    }

    pub fn worker(&mut self, info: WorkerInfo) {
        self.workers.insert(info.id.clone(), info.clone());
        self.placement.update_worker(self.now, info);
    }

    pub fn gone(&mut self, id: &str) {
        let id: WorkerId = id.into();
        self.workers.remove(&id);
        self.runs.retain(|(_, at), _| *at != id);
        self.placement.remove_worker(self.now, &id);
    }

    pub fn enqueue(&mut self, unit: Unit) {
        self.waiting.insert(unit.id.clone(), unit.clone());
        self.placement.enqueue(self.now, unit);
    }

    pub fn withdraw(&mut self, id: &UnitId) {
        self.waiting.remove(id);
        self.placement.withdraw(id);
    }

    /// Places once; carries out and checks what is decided. Answers the starts.
    pub fn place(&mut self) -> Vec<(TaskId, WorkerId)> {
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
                Decision::Preempt { task, worker } => self.preempt(task, worker),
            }
        }
        started
    }

    /// Places at each tick of a span.
    pub fn run_for(&mut self, span_ms: Millis) -> Vec<(TaskId, WorkerId)> {
        let end = self.now + span_ms;
        let mut started = self.place();
        while self.now < end {
            self.now = (self.now + TICK_MS).min(end);
            started.extend(self.place());
        }
        started
    }

    fn check_start(&mut self, id: &UnitId, on: &[(TaskId, WorkerId)]) {
        let unit = self
            .waiting
            .remove(id)
            .unwrap_or_else(|| panic!("started twice or never asked: {id:?}"));
        let wanted: BTreeSet<&TaskId> = unit.tasks.iter().collect();
        let placed: BTreeSet<&TaskId> = on.iter().map(|(task, _)| task).collect();
        assert_eq!(wanted, placed, "a unit is started whole");
        assert_eq!(on.len(), unit.tasks.len(), "each task once");
        for (task, at) in on {
            let entry = Entry {
                unit: unit.clone(),
                since: self.now,
                stopping: false,
            };
            assert!(self
                .runs
                .insert((task.clone(), at.clone()), entry)
                .is_none());
            self.check_worker(&unit, at);
        }
        self.starts += on.len();
    }

    fn check_worker(&self, unit: &Unit, at: &WorkerId) {
        let info = self
            .workers
            .get(at)
            .unwrap_or_else(|| panic!("{at} is not known"));
        assert!(info.schedulable, "{at} takes no work");
        assert_eq!(info.service, unit.service, "its own service");
        let has = |label: &Arc<str>| info.labels.contains(label);
        assert!(
            unit.node_selector.as_ref().is_none_or(has),
            "{at} lacks the label"
        );
        let used = self.used(at);
        assert!(
            info.capacity.covers(&used),
            "{at} holds {used:?} of {:?}",
            info.capacity
        );
        if unit.anti_affinity > 0 {
            let count = self.count_of(&unit.id.step, at);
            assert!(
                count <= unit.anti_affinity,
                "{at} holds {count} of {:?}",
                unit.id.step
            );
        }
    }

    pub fn used(&self, at: &WorkerId) -> Resources {
        let here = self.runs.iter().filter(|((_, id), _)| id == at);
        here.fold(Resources::default(), |sum, (_, entry)| {
            sum.saturating_add(&entry.unit.resources)
        })
    }

    pub fn count_of(&self, step: &StepId, at: &WorkerId) -> u32 {
        let same = |((_, id), entry): &(&(TaskId, WorkerId), &Entry)| {
            id == at && entry.unit.id.step == *step
        };
        self.runs.iter().filter(same).count() as u32
    }

    fn preempt(&mut self, task: TaskId, worker: WorkerId) {
        let entry = self
            .runs
            .get_mut(&(task.clone(), worker.clone()))
            .expect("runs there");
        assert!(!entry.stopping, "{task} is preempted twice");
        entry.stopping = true;
        self.placement.mark_stopping(&task, &worker);
        self.preempted.push(task);
    }

    pub fn stop(&mut self, task: &TaskId, worker: &str) {
        let worker: WorkerId = worker.into();
        self.runs
            .get_mut(&(task.clone(), worker.clone()))
            .expect("runs there")
            .stopping = true;
        self.placement.mark_stopping(task, &worker);
    }

    pub fn end(&mut self, task: &TaskId, worker: &WorkerId, how: RunEnd) {
        let entry = self
            .runs
            .remove(&(task.clone(), worker.clone()))
            .expect("runs there");
        let how = ReleaseReason::Finished {
            outcome: how,
            ran_ms: self.now - entry.since,
        };
        self.placement.release(self.now, task, worker, how);
    }

    pub fn release(&mut self, task: &TaskId, worker: &WorkerId, how: ReleaseReason) {
        self.runs
            .remove(&(task.clone(), worker.clone()))
            .expect("runs there");
        self.placement.release(self.now, task, worker, how);
    }

    /// A run at a worker makes no progress.
    pub fn stands_still(&mut self, worker: &WorkerId) {
        self.placement.on_run_stalled(self.now, worker);
    }

    /// Ends all that runs at a worker.
    pub fn end_all_at(&mut self, worker: &str) {
        let here: Vec<TaskId> = self
            .runs
            .keys()
            .filter(|(_, at)| &**at == worker)
            .map(|(task, _)| task.clone())
            .collect();
        here.iter()
            .for_each(|task| self.end(task, &worker.into(), RunEnd::Done));
    }

    pub fn at(&self, worker: &str) -> usize {
        self.runs.keys().filter(|(_, at)| &**at == worker).count()
    }

    pub fn where_is(&self, number: u64) -> Option<&str> {
        self.runs
            .keys()
            .find(|(run, _)| run.job == task(number).job)
            .map(|(_, at)| &**at)
    }
}
