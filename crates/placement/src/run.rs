//! A run that holds an allocation: its expected remaining time and the cost of preempting it.

use crate::allocation::Allocation;
use crate::headroom::SlackClass;
use crate::settings::PlacementSettings;
use streamusher_protocol::Millis;

/// Cost of a core-second of lost work, in multiples of a small job's value.
const COST_PER_CORE_SECOND: f64 = 0.016;
/// Number of cores whose cost equals that of one accelerator.
const CORES_PER_GPU: f64 = 8.0;
/// Fixed cost of stopping any run: the stop delays its job and causes another start.
const COST_PER_STOP: f64 = 0.03;
/// Minimum distance between two reports, in milliseconds and in percent of the work, for an estimate of the
/// speed.
const MIN_REPORT_SPAN_MS: Millis = 100;
const MIN_REPORT_PERCENT: f64 = 0.5;
/// Minimum remaining time as a share of the estimate, even after the estimated time has passed: estimates are
/// rough.
const MIN_REMAINING_SHARE: f64 = 0.1;
/// Minimum remaining time as a share of the projected total, for a run with progress reports.
const MIN_REMAINING_SHARE_BY_REPORT: f64 = 0.02;
/// Minimum remaining time of any run, in milliseconds.
const MIN_REMAINING_MS: f64 = 1.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;
const MILLICORES_PER_CORE: f64 = 1_000.0;

/// A progress report of a run.
#[derive(Clone, Copy, Debug)]
struct ProgressReport {
    reported_at: Millis,
    percent: f64,
}

/// A run that holds an allocation.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) allocation: Allocation,
    /// Slack class of the run's queue when its unit was enqueued or the run was restored.
    pub(crate) slack_class: SlackClass,
    /// Time at which this primary allocated the capacity or took over the run.
    allocated_at: Millis,
    /// How long the run had held its capacity under former primaries, in milliseconds.
    elapsed_before_ms: Millis,
    /// Factor by which the run takes longer on this worker than near its data.
    pub(crate) remote_slowdown: f64,
    /// Whether a stop was ordered. The allocation is held until the end of the run is known.
    pub(crate) stopping: bool,
    first_report: Option<ProgressReport>,
    last_report: Option<ProgressReport>,
    speed_observed: bool,
}

impl Run {
    pub(crate) fn new(now: Millis, allocation: Allocation, slack_class: SlackClass) -> Run {
        Run {
            allocation,
            slack_class,
            allocated_at: now,
            elapsed_before_ms: 0,
            remote_slowdown: 1.0,
            stopping: false,
            first_report: None,
            last_report: None,
            speed_observed: false,
        }
    }

    /// Restores a run that a former primary started and that had held its capacity for `elapsed_before_ms`.
    pub(crate) fn restored(
        now: Millis,
        elapsed_before_ms: Millis,
        allocation: Allocation,
        slack_class: SlackClass,
    ) -> Run {
        Run {
            elapsed_before_ms,
            ..Run::new(now, allocation, slack_class)
        }
    }

    /// How long the run has held its capacity under all primaries, in milliseconds.
    fn elapsed_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.allocated_at)
            .saturating_add(self.elapsed_before_ms)
    }

    /// Records a progress report. Returns the run's projected total time near its data, once, as soon as the
    /// reports are conclusive.
    pub(crate) fn record_progress(&mut self, now: Millis, percent: f64) -> Option<f64> {
        if !percent.is_finite() {
            return None;
        }
        let report = ProgressReport {
            reported_at: now,
            percent: percent.clamp(0.0, 100.0),
        };
        self.first_report.get_or_insert(report);
        self.last_report = Some(report);
        let total_ms = self.projected_total_ms()?;
        if self.speed_observed || self.allocation.long_running {
            return None;
        }
        self.speed_observed = true;
        Some(total_ms / self.remote_slowdown)
    }

    /// Projects the run's total time from the progress between the first and the last report.
    fn projected_total_ms(&self) -> Option<f64> {
        let (first, last) = (self.first_report?, self.last_report?);
        let span_ms = last.reported_at.saturating_sub(first.reported_at);
        let done_percent = last.percent - first.percent;
        let conclusive = span_ms >= MIN_REPORT_SPAN_MS && done_percent > MIN_REPORT_PERCENT;
        conclusive.then(|| span_ms as f64 * 100.0 / done_percent)
    }

    /// How much longer the run is expected to hold its allocation, in milliseconds.
    pub(crate) fn expected_remaining_ms(
        &self,
        now: Millis,
        mean_run_ms: f64,
        settings: &PlacementSettings,
    ) -> f64 {
        if self.stopping {
            return settings.max_stop_ms as f64;
        }
        if self.allocation.long_running {
            return f64::INFINITY;
        }
        let estimated_ms = match self.allocation.estimated_ms {
            0 => mean_run_ms,
            estimated_ms => estimated_ms as f64,
        };
        match self.last_report {
            Some(report) => self.remaining_ms_by_report(now, report, estimated_ms),
            None => self.remaining_ms_by_estimate(now, estimated_ms),
        }
    }

    fn remaining_ms_by_report(
        &self,
        now: Millis,
        report: ProgressReport,
        estimated_ms: f64,
    ) -> f64 {
        let total_ms = self.projected_total_ms().unwrap_or(estimated_ms);
        let since_report_ms = now.saturating_sub(report.reported_at) as f64;
        let remaining_ms = total_ms * (100.0 - report.percent) / 100.0 - since_report_ms;
        remaining_ms
            .max(total_ms * MIN_REMAINING_SHARE_BY_REPORT)
            .max(MIN_REMAINING_MS)
    }

    fn remaining_ms_by_estimate(&self, now: Millis, estimated_ms: f64) -> f64 {
        let elapsed_ms = self.elapsed_ms(now) as f64;
        (estimated_ms - elapsed_ms)
            .max(estimated_ms * MIN_REMAINING_SHARE)
            .max(MIN_REMAINING_MS)
    }

    /// Cost of stopping the run now, in multiples of a small job's value.
    pub(crate) fn preemption_cost(&self, now: Millis, settings: &PlacementSettings) -> f64 {
        // Includes the time under former primaries; otherwise all runs would become the cheapest victims at
        // once after a takeover.
        let elapsed_ms = self.elapsed_ms(now);
        // A stop writes a checkpoint, so only the work that is repeated on resuming is lost.
        let lost_ms = if self.allocation.checkpoints {
            elapsed_ms.min(settings.checkpoint_restore_ms)
        } else {
            elapsed_ms
        };
        let resources = &self.allocation.resources;
        let cores =
            resources.cpu as f64 / MILLICORES_PER_CORE + resources.gpu as f64 * CORES_PER_GPU;
        COST_PER_STOP + COST_PER_CORE_SECOND * cores * lost_ms as f64 / MILLIS_PER_SECOND
    }
}
