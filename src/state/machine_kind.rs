//! What is learnt of a kind of machine.

use super::MovingAverage;

/// From this many free slots on, nothing waits at a worker even if the count is rounded.
const CERTAINLY_FREE_SLOTS: f64 = 1.5;
/// Below this many free slots a worker is full.
const FULL_BELOW_FREE_SLOTS: f64 = 0.5;

/// What is learnt of a kind of machine: slowness, usual load, and a lower bound of its slots.
#[derive(Clone, Copy, Default)]
pub(crate) struct MachineKind {
    /// Logarithm of the running time there over the usual running time.
    pub(crate) log_slowness: MovingAverage,
    /// Usual load by others, in jobs.
    pub(crate) load: MovingAverage,
    /// The most slots that one worker showed at once: free ones, and jobs that ran.
    max_shown_slots: f64,
    /// The most jobs reported by a worker with no slot free; some of them may wait.
    max_jobs_when_full: f64,
}

impl MachineKind {
    /// Learns from a report of free slots and, where it has them, of active and of waiting jobs. Where the report does
    /// not say how many wait, none does while two slots are free: all active jobs run, in a slot each or more.
    pub(crate) fn note_slots(&mut self, free: f64, active: Option<f64>, waiting: Option<f64>) {
        let active = active.unwrap_or(0.0).max(0.0);
        let running_unless_told = if free >= CERTAINLY_FREE_SLOTS {
            active
        } else {
            0.0
        };
        let running = waiting.map_or(running_unless_told, |waiting| (active - waiting).max(0.0));
        self.max_shown_slots = self.max_shown_slots.max((free + running).round());
        if free < FULL_BELOW_FREE_SLOTS {
            self.max_jobs_when_full = self.max_jobs_when_full.max(active.round());
        }
    }

    /// Slots of one worker. Until a worker has shown some, all jobs of a full one are taken to run: a dispatcher that
    /// joins a busy fleet knows no better, and must not take each worker for one slot.
    pub(crate) fn slots(&self) -> f64 {
        if self.max_shown_slots >= 1.0 {
            self.max_shown_slots
        } else {
            self.max_jobs_when_full.max(1.0)
        }
    }
}
