//! One worker: its room, what takes it, what it is kept for, and its queue of copies.

use crate::amounts::{dominant_share, times};
use crate::headroom::Patience;
use crate::key::{Key, Slot};
use crate::learning::{Charge, Speed};
use crate::run::Run;
use crate::types::WorkerInfo;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::TaskId;
use streamusher_protocol::unit::{StepId, Unit, WorkerId};
use streamusher_protocol::Millis;

/// Room kept at a worker for a unit that waits.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub key: Key,
    pub resources: Resources,
    /// When the room is expected to be there: what ends before may use it.
    pub ready_at: Millis,
    pub until: Millis,
    /// Runs were stopped for it.
    pub firm: bool,
}

/// What a unit may take beyond free room that nothing is kept of, by how long it has waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Insistence {
    /// Nothing.
    Usual,
    /// Room that is kept, but for which nothing was stopped.
    AnyRoom,
    /// Also room that runs were stopped for.
    EvenStopped,
}

impl Reservation {
    /// Whether it holds against a unit.
    pub fn holds_against(&self, now: Millis, key: Key, insistence: Insistence) -> bool {
        let yields = match insistence {
            Insistence::Usual => false,
            Insistence::AnyRoom => !self.firm,
            Insistence::EvenStopped => true,
        };
        self.key < key && self.until > now && !yields
    }
}

/// One worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub info: WorkerInfo,
    /// Room taken by what runs, is ordered or is stopping.
    pub used: Resources,
    pub runs: BTreeMap<TaskId, Run>,
    /// Room taken, by priority.
    by_priority: BTreeMap<u32, Resources>,
    /// Room taken, by how long the runs' queues can wait.
    by_patience: BTreeMap<Patience, Resources>,
    /// Tasks here, by step.
    steps: HashMap<StepId, u32>,
    /// Copies that wait here.
    pub queue: BTreeSet<Key>,
    /// What the copies ask for.
    pub queued: Resources,
    pub reservations: Vec<Reservation>,
    pub charge: Charge,
    pub speed: Speed,
    /// Its load as filed in the service's lists.
    pub filed_load: u32,
    /// What of its taken room the service counts.
    pub counted: Resources,
}

impl Worker {
    pub fn new(info: WorkerInfo) -> Worker {
        Worker {
            info,
            used: Resources::default(),
            runs: BTreeMap::new(),
            by_priority: BTreeMap::new(),
            by_patience: BTreeMap::new(),
            steps: HashMap::new(),
            queue: BTreeSet::new(),
            queued: Resources::default(),
            reservations: Vec::new(),
            charge: Charge::default(),
            speed: Speed::default(),
            filed_load: 0,
            counted: Resources::default(),
        }
    }

    /// Takes room for a run; false if the task has room here already.
    pub fn take(&mut self, task: &TaskId, run: Run) -> bool {
        if self.runs.contains_key(task) {
            return false;
        }
        self.used = self.used.saturating_add(&run.held.resources);
        let same = self.by_priority.entry(run.held.priority).or_default();
        *same = same.saturating_add(&run.held.resources);
        let alike = self.by_patience.entry(run.patience).or_default();
        *alike = alike.saturating_add(&run.held.resources);
        *self.steps.entry(run.held.unit.step.clone()).or_insert(0) += 1;
        self.runs.insert(task.clone(), run);
        true
    }

    /// Gives a run's room back.
    pub fn give_back(&mut self, task: &TaskId) -> Option<Run> {
        let run = self.runs.remove(task)?;
        let counted = !(cfg!(feature = "mutant-stopping-room") && run.stopping);
        if counted {
            self.used = self.used.saturating_sub(&run.held.resources);
        }
        if let Some(same) = self.by_priority.get_mut(&run.held.priority) {
            *same = same.saturating_sub(&run.held.resources);
        }
        if let Some(alike) = self.by_patience.get_mut(&run.patience) {
            *alike = alike.saturating_sub(&run.held.resources);
        }
        if let Some(count) = self.steps.get_mut(&run.held.unit.step) {
            *count -= 1;
            if *count == 0 {
                self.steps.remove(&run.held.unit.step);
            }
        }
        Some(run)
    }

    /// Notes that a run was told to stop.
    pub fn stop(&mut self, task: &TaskId) {
        let Some(run) = self.runs.get_mut(task).filter(|run| !run.stopping) else {
            return;
        };
        run.stopping = true;
        if cfg!(feature = "mutant-stopping-room") {
            self.used = self.used.saturating_sub(&run.held.resources);
        }
    }

    pub fn free(&self) -> Resources {
        self.info.capacity.saturating_sub(&self.used)
    }

    /// Whether a task fits without delaying what room is kept for. To insist, there must be twice the room.
    pub fn fits(
        &self,
        now: Millis,
        key: Key,
        asked: &Resources,
        ends_at: f64,
        wants: Insistence,
    ) -> bool {
        let free = self.free();
        if !free.covers(asked) {
            return false;
        }
        let wants = if free.covers(&times(asked, 2)) {
            wants
        } else {
            Insistence::Usual
        };
        let in_the_way = |kept: &&Reservation| {
            kept.holds_against(now, key, wants) && ends_at > kept.ready_at as f64
        };
        let delayed = self.reservations.iter().filter(in_the_way);
        delayed
            .fold(free, |free, kept| free.saturating_sub(&kept.resources))
            .covers(asked)
    }

    /// Tasks of a step that have room here.
    pub fn count_of(&self, step: &StepId) -> u32 {
        self.steps.get(step).copied().unwrap_or(0)
    }

    /// Room taken by what is less urgent than the priority.
    pub fn used_below(&self, priority: u32) -> Resources {
        let below = self.by_priority.range(priority.saturating_add(1)..);
        below.fold(Resources::default(), |sum, (_, used)| {
            sum.saturating_add(used)
        })
    }

    /// Room taken by runs whose queues can wait longer than a class.
    pub fn used_behind(&self, class: Patience) -> Resources {
        let behind = self.by_patience.range(class.saturating_add(1)..);
        behind.fold(Resources::default(), |sum, (_, used)| {
            sum.saturating_add(used)
        })
    }

    /// Share of the room that is taken, and asked for by copies that wait.
    pub fn load(&self) -> f64 {
        dominant_share(&self.used.saturating_add(&self.queued), &self.info.capacity)
    }

    pub fn has_label(&self, label: &str) -> bool {
        self.info.labels.iter().any(|own| &**own == label)
    }

    /// Whether a run of one of the unit's tasks is here: of a hedged task another one may be sought.
    pub fn runs_copy_of(&self, unit: &Unit) -> bool {
        unit.speculative && unit.tasks.iter().any(|task| self.runs.contains_key(task))
    }

    pub fn add_copy(&mut self, key: Key, asked: &Resources) -> bool {
        let new = self.queue.insert(key);
        if new {
            self.queued = self.queued.saturating_add(asked);
        }
        new
    }

    pub fn remove_copy(&mut self, key: Key, asked: &Resources) {
        if self.queue.remove(&key) {
            self.queued = self.queued.saturating_sub(asked);
        }
    }

    pub fn unreserve(&mut self, key: Key) {
        self.reservations.retain(|kept| kept.key != key);
    }

    pub fn reserve(&mut self, reservation: Reservation) {
        self.unreserve(reservation.key);
        self.reservations.push(reservation);
    }
}

/// All workers, by index.
#[derive(Debug, Default)]
pub(crate) struct Workers {
    slots: Vec<Option<Worker>>,
    free: Vec<Slot>,
    by_id: HashMap<WorkerId, Slot>,
}

impl Workers {
    pub fn slot_of(&self, id: &str) -> Option<Slot> {
        self.by_id.get(id).copied()
    }

    pub fn get(&self, slot: Slot) -> Option<&Worker> {
        self.slots.get(slot as usize)?.as_ref()
    }

    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut Worker> {
        self.slots.get_mut(slot as usize)?.as_mut()
    }

    pub fn add(&mut self, worker: Worker) -> Slot {
        let slot = self.free.pop().unwrap_or(self.slots.len() as Slot);
        self.by_id.insert(worker.info.id.clone(), slot);
        match self.slots.get_mut(slot as usize) {
            Some(place) => *place = Some(worker),
            None => self.slots.push(Some(worker)),
        }
        slot
    }

    pub fn remove(&mut self, slot: Slot) -> Option<Worker> {
        let worker = self.slots.get_mut(slot as usize)?.take()?;
        self.by_id.remove(&worker.info.id);
        self.free.push(slot);
        Some(worker)
    }

    pub fn iter(&self) -> impl Iterator<Item = (Slot, &Worker)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(slot, worker)| Some((slot as Slot, worker.as_ref()?)))
    }
}
