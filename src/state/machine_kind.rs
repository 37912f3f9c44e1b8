//! Learned properties of a kind of machine.

use super::MovingAverage;

/// With at least this many free slots no job waits at a worker, even if the count is rounded.
const CERTAINLY_FREE_SLOTS: f64 = 1.5;
/// A worker with fewer free slots than this is full.
const FULL_BELOW_FREE_SLOTS: f64 = 0.5;

/// Learned properties of a kind of machine: slowness, usual load, and a lower bound of the slots.
#[derive(Clone, Copy, Default)]
pub(crate) struct MachineKind {
    /// Logarithm of the running time on this kind relative to the usual running time.
    pub(crate) log_slowness: MovingAverage,
    /// Usual load that the dispatcher did not send, in jobs.
    pub(crate) load: MovingAverage,
    /// The most slots that one worker has shown at once: free slots plus running jobs.
    max_shown_slots: f64,
    /// The most jobs reported by a worker without a free slot; some of them may be waiting.
    max_jobs_when_full: f64,
}

impl MachineKind {
    /// Updates the slots from a report of the free slots and, if reported, of the active and waiting jobs. If
    /// the report omits the waiting jobs, none are waiting while two slots are free: all active jobs run,
    /// each in at least one slot.
    pub(crate) fn note_slots(&mut self, free: f64, active: Option<f64>, waiting: Option<f64>) {
        let active = active.unwrap_or(0.0).max(0.0);
        let running_by_default = if free >= CERTAINLY_FREE_SLOTS {
            active
        } else {
            0.0
        };
        let running = waiting.map_or(running_by_default, |waiting| (active - waiting).max(0.0));
        self.max_shown_slots = self.max_shown_slots.max((free + running).round());
        if free < FULL_BELOW_FREE_SLOTS {
            self.max_jobs_when_full = self.max_jobs_when_full.max(active.round());
        }
    }

    /// Slots of one worker. Until a worker has shown any, all jobs of a full worker are assumed to run: a
    /// dispatcher that joins a busy fleet has no better information, and must not assume one slot per worker.
    pub(crate) fn slots(&self) -> f64 {
        if self.max_shown_slots >= 1.0 {
            self.max_shown_slots
        } else {
            self.max_jobs_when_full.max(1.0)
        }
    }
}
