//! A unit that waits to be placed.

use crate::headroom::SlackClass;
use crate::index::WorkerIndex;
use crate::resource_vector::dominant_share;
use crate::wait_history::WaitHistory;
use crate::worker::Worker;
use streamusher_protocol::unit::Unit;
use streamusher_protocol::Millis;

/// Delay before the first retry. It doubles with each retry up to `MAX_RETRY_DELAY_MS`.
const INITIAL_RETRY_DELAY_MS: Millis = 50;
const MAX_RETRY_DELAY_MS: Millis = 800;

/// A unit that waits to be placed.
#[derive(Clone, Debug)]
pub(crate) struct PendingUnit {
    pub(crate) unit: Unit,
    enqueued_at: Millis,
    /// Slack class of the unit's queue.
    pub(crate) slack_class: SlackClass,
    /// Workers whose queue holds a copy of the unit.
    pub(crate) copies: Vec<WorkerIndex>,
    /// Workers on which capacity is reserved for the unit.
    pub(crate) reserved_at: Vec<WorkerIndex>,
    pub(crate) reserved_until: Millis,
    pub(crate) wait_history: WaitHistory,
    retry_delay_ms: Millis,
    /// Time of the next retry, if one is scheduled.
    pub(crate) retry_at: Option<Millis>,
    /// Whether `retry_at` was reserved with the service's pacer.
    pub(crate) is_retry_reserved: bool,
}

impl PendingUnit {
    pub(crate) fn new(now: Millis, unit: Unit, slack_class: SlackClass) -> PendingUnit {
        PendingUnit {
            unit,
            enqueued_at: now,
            slack_class,
            copies: Vec::new(),
            reserved_at: Vec::new(),
            reserved_until: 0,
            wait_history: WaitHistory::new(now),
            retry_delay_ms: INITIAL_RETRY_DELAY_MS,
            retry_at: None,
            is_retry_reserved: false,
        }
    }

    pub(crate) fn is_gang(&self) -> bool {
        self.unit.id.index.is_none() || self.unit.tasks.len() != 1
    }

    /// Share of a worker that one task of the unit takes.
    pub(crate) fn share_of(&self, worker: &Worker) -> f64 {
        dominant_share(&self.unit.resources, &worker.info.capacity)
    }

    pub(crate) fn waited_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.enqueued_at)
    }

    /// Returns the time of the next retry: after a delay that doubles each time, but no later than
    /// `no_later_than` (at least 1 ms ahead).
    pub(crate) fn next_retry(&mut self, now: Millis, no_later_than: Millis) -> Millis {
        let retry_at = now
            .saturating_add(self.retry_delay_ms)
            .min(no_later_than.max(now + 1));
        self.retry_delay_ms = (self.retry_delay_ms * 2).min(MAX_RETRY_DELAY_MS);
        retry_at
    }
}
