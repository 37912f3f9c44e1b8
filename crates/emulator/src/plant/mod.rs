//! The application's workers, as the operators' protocol describes them.
//!
//! - [`worker`]: one worker: heartbeats, answers, hold.
//! - [`run`]: runs, their progress and their ends.
//! - [`gang`]: runs that work only together.

pub mod gang;
pub mod run;
pub mod worker;

use crate::bounds::Bounds;
use crate::catalog::Catalog;
use crate::random::Random;
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::heartbeat::{Heartbeat, Resources};
use streamusher_protocol::task::{RunEnd, RunId};
use streamusher_protocol::unit::StepId;
use streamusher_protocol::Millis;
use worker::Worker;

/// Index of a worker.
pub type WorkerIndex = usize;

/// What a worker waits for.
#[derive(Clone, Debug)]
pub enum Timer {
    /// A heartbeat is due; valid if its number is still that of the newest plan.
    Heartbeat(u64),
    /// The answer to this heartbeat is late.
    AnswerLate(u64),
    /// The hold may be over.
    Hold,
    /// A run's work ends, or it fails; valid for this plan only.
    Work(RunId, u64),
    /// A stop is done.
    Stopped(RunId),
    /// A gang's member has waited.
    Alone(RunId),
    /// A draining worker leaves.
    Leave,
}

/// What workers did, in its order.
#[derive(Clone, Debug)]
pub enum PlantOutput {
    /// To be told again at this time.
    Timer {
        at: Millis,
        worker: WorkerIndex,
        life: u32,
        timer: Timer,
    },
    /// A heartbeat to the worker's machine.
    Heartbeat {
        worker: WorkerIndex,
        heartbeat: Box<Heartbeat>,
    },
    /// A deregistration, to the worker's machine.
    Deregister {
        worker: WorkerIndex,
        instance: Arc<str>,
    },
    /// A run has begun; `used` is what then runs there, itself included.
    Started {
        worker: WorkerIndex,
        run: RunId,
        spec: Arc<str>,
        checkpoint: Arc<str>,
        used: Resources,
    },
    /// A run has ended, listed under this number.
    Ended {
        worker: WorkerIndex,
        run: RunId,
        how: RunEnd,
        number: u64,
    },
    /// Ends up to this number were taken note of.
    Noted { worker: WorkerIndex, up_to: u64 },
    /// The hold was over.
    HoldOver { worker: WorkerIndex },
    /// A worker is up no more; its runs are over without a listed end. They would have been held until then.
    Down {
        worker: WorkerIndex,
        held_until: Millis,
    },
    /// A draining heartbeat was acknowledged.
    DrainAcknowledged { worker: WorkerIndex },
}

/// All workers of a fleet.
pub struct Plant {
    /// The workers.
    pub workers: Vec<Worker>,
    pub(crate) gangs: BTreeMap<(StepId, u32), gang::Gang>,
    pub(crate) bounds: Bounds,
    pub(crate) random: Random,
    pub(crate) output: Vec<PlantOutput>,
    /// Whether a start of a run that has ended there is listed as refused.
    pub lists_repeated_starts: bool,
}

impl Plant {
    /// Workers that are not up yet.
    pub fn new(workers: Vec<Worker>, bounds: Bounds, seed: u64) -> Plant {
        let random = Random::new(seed, 3);
        Plant {
            workers,
            gangs: BTreeMap::new(),
            bounds,
            random,
            output: Vec::new(),
            lists_repeated_starts: false,
        }
    }

    /// What was done since the last call.
    pub fn take_output(&mut self) -> Vec<PlantOutput> {
        std::mem::take(&mut self.output)
    }

    /// Whether there is something to take.
    pub fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    pub(crate) fn timer(&mut self, at: Millis, worker: WorkerIndex, timer: Timer) {
        let life = self.workers[worker].life;
        self.output.push(PlantOutput::Timer {
            at,
            worker,
            life,
            timer,
        });
    }

    /// A timer fires.
    pub fn fire(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        worker: WorkerIndex,
        life: u32,
        timer: Timer,
    ) {
        let state = &self.workers[worker];
        if !state.up || state.life != life {
            return;
        }
        match timer {
            Timer::Heartbeat(plan) => self.heartbeat_due(now, catalog, worker, plan),
            Timer::AnswerLate(sequence) => self.answer_late(now, worker, sequence),
            Timer::Hold => self.check_hold(now, catalog, worker),
            Timer::Work(run, plan) => self.work_due(now, catalog, worker, &run, plan),
            Timer::Stopped(run) => self.end(now, catalog, worker, &run, RunEnd::Stopped),
            Timer::Alone(run) => self.alone_due(now, catalog, worker, &run),
            Timer::Leave => self.leave(now, worker),
        }
    }
}
