//! Finished runs of a worker: the ends to report, and the runs that must not be started any more.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use streamusher_protocol::heartbeat::FinishedRun;
use streamusher_protocol::task::{RunEnd, RunId, TaskId};

/// Maximum number of ends in one heartbeat.
const MAX_REPORTED_ENDS: usize = 500;

/// Highest run of a task that has ended or was stopped at a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunWatermark {
    /// Number of the run.
    pub(crate) run: u32,
    /// Whether the stop command arrived before the start.
    pub(crate) stopped_before_start: bool,
}

/// Finished runs of one incarnation of a worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunHistory {
    unacknowledged: VecDeque<FinishedRun>,
    last_number: u64,
    watermarks: BTreeMap<TaskId, RunWatermark>,
}

impl RunHistory {
    /// Records the end of a run and returns the number under which it is reported.
    pub(crate) fn record_end(&mut self, run: &RunId, outcome: RunEnd, checkpoint: Arc<str>) -> u64 {
        self.last_number += 1;
        self.unacknowledged.push_back(FinishedRun {
            number: self.last_number,
            task: run.task.clone(),
            run: run.run,
            end: outcome,
            checkpoint,
        });
        let is_highest = self
            .watermarks
            .get(&run.task)
            .is_none_or(|watermark| watermark.run <= run.run);
        if is_highest {
            self.raise_watermark(run, false);
        }
        self.last_number
    }

    /// Records the stop of a run whose start has not arrived yet.
    pub(crate) fn record_early_stop(&mut self, run: &RunId) {
        let is_higher = self
            .watermarks
            .get(&run.task)
            .is_none_or(|watermark| watermark.run < run.run);
        if is_higher {
            self.raise_watermark(run, true);
        }
    }

    fn raise_watermark(&mut self, run: &RunId, stopped_before_start: bool) {
        self.watermarks.insert(
            run.task.clone(),
            RunWatermark {
                run: run.run,
                stopped_before_start,
            },
        );
    }

    /// Returns the watermark that prevents a run from being started, if any.
    pub(crate) fn watermark_against(&self, run: &RunId) -> Option<RunWatermark> {
        let watermark = self.watermarks.get(&run.task).copied();
        watermark.filter(|watermark| run.run <= watermark.run)
    }

    /// Drops the reported ends up to an acknowledged number.
    pub(crate) fn acknowledge(&mut self, up_to: u64) {
        while self
            .unacknowledged
            .front()
            .is_some_and(|end| end.number <= up_to)
        {
            self.unacknowledged.pop_front();
        }
    }

    /// Ends to report in the next heartbeat.
    pub(crate) fn reported(&self) -> Vec<FinishedRun> {
        let oldest = self.unacknowledged.iter().take(MAX_REPORTED_ENDS);
        oldest.cloned().collect()
    }
}
