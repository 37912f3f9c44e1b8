//! A run that takes room: how long it will last, and what stopping it would lose.

use crate::headroom::Patience;
use crate::types::{Allocation, PlacementSettings};
use streamusher_protocol::Millis;

/// Price of a core-second of work that is lost, in units of a small job's worth.
const PRICE_OF_CORE_SECOND: f64 = 0.016;
/// An accelerator is priced as this many cores.
const CORES_PER_GPU: f64 = 8.0;
/// Stopping any run delays its job and costs another start.
const PRICE_OF_STOP: f64 = 0.03;
/// Shorter distances between two reports say nothing about the speed.
const SHORTEST_SPAN_MS: Millis = 100;
/// Estimates are rough: a run is expected to last this share of its estimate still, even when that is over.
const LEAST_REST: f64 = 0.1;
/// The same where reports tell how far it is.
const LEAST_REST_BY_REPORT: f64 = 0.02;

/// A run that takes room.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub held: Allocation,
    /// How long its queue could wait when it was queued.
    pub patience: Patience,
    /// When its room was taken.
    pub since: Millis,
    /// How much longer it takes here than near its data.
    pub far_x: f64,
    /// It was told to stop; its room is taken until its end is known.
    pub stopping: bool,
    first_report: Option<(Millis, f64)>,
    last_report: Option<(Millis, f64)>,
    told_speed: bool,
}

impl Run {
    pub fn new(now: Millis, held: Allocation, patience: Patience) -> Run {
        Run {
            held,
            patience,
            since: now,
            far_x: 1.0,
            stopping: false,
            first_report: None,
            last_report: None,
            told_speed: false,
        }
    }

    /// Notes a report; answers once with the run's whole time near its data, when that is known.
    pub fn progress(&mut self, now: Millis, percent: f64) -> Option<f64> {
        let percent = if percent.is_finite() {
            percent.clamp(0.0, 100.0)
        } else {
            return None;
        };
        self.first_report.get_or_insert((now, percent));
        self.last_report = Some((now, percent));
        let whole_ms = self.whole_ms()?;
        let tell = !self.told_speed && !self.held.long_running;
        self.told_speed |= tell;
        tell.then(|| whole_ms / self.far_x)
    }

    /// Whole run time by the distance of two reports.
    fn whole_ms(&self) -> Option<f64> {
        let ((first_at, first), (last_at, last)) = (self.first_report?, self.last_report?);
        let span = last_at.saturating_sub(first_at);
        let done = last - first;
        (span >= SHORTEST_SPAN_MS && done > 0.5).then(|| span as f64 * 100.0 / done)
    }

    /// How much longer it is expected to take its room, in milliseconds.
    pub fn rest_ms(&self, now: Millis, usual_ms: f64, settings: &PlacementSettings) -> f64 {
        if self.stopping {
            return settings.max_stop_ms as f64;
        }
        if self.held.long_running {
            return f64::INFINITY;
        }
        let estimated = if self.held.estimated_ms > 0 {
            self.held.estimated_ms as f64
        } else {
            usual_ms
        };
        let elapsed = now.saturating_sub(self.since) as f64;
        match (self.last_report, self.whole_ms()) {
            (Some((at, percent)), whole) => {
                let whole = whole.unwrap_or(estimated);
                let rest = whole * (100.0 - percent) / 100.0 - now.saturating_sub(at) as f64;
                rest.max(whole * LEAST_REST_BY_REPORT).max(1.0)
            }
            (None, _) => (estimated - elapsed).max(estimated * LEAST_REST).max(1.0),
        }
    }

    /// What stopping it now would lose, in units of a small job's worth.
    pub fn price_of_stop(&self, now: Millis, settings: &PlacementSettings) -> f64 {
        let elapsed = now.saturating_sub(self.since);
        // A stop saves; then only continuing costs.
        let lost_ms = if self.held.checkpoints {
            elapsed.min(settings.checkpoint_restore_ms)
        } else {
            elapsed
        };
        let cores = self.held.resources.cpu as f64 / 1000.0
            + self.held.resources.gpu as f64 * CORES_PER_GPU;
        PRICE_OF_STOP + PRICE_OF_CORE_SECOND * cores * lost_ms as f64 / 1000.0
    }
}
