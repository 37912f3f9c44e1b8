//! A unit that waits to be placed.

use crate::headroom::SlackClass;
use crate::index::WorkerIndex;
use crate::resource_vector::dominant_share;
use crate::wait_history::WaitHistory;
use crate::worker::Worker;
use streamusher_protocol::unit::Unit;
use streamusher_protocol::Millis;

/// Delay before the first retry; doubles with each up to the last.
const INITIAL_RETRY_DELAY_MS: Millis = 50;
const MAX_RETRY_DELAY_MS: Millis = 800;

/// A unit that waits to be placed.
#[derive(Clone, Debug)]
pub(crate) struct PendingUnit {
    pub(crate) unit: Unit,
    enqueued_at: Millis,
    /// The slack class of its queue.
    pub(crate) slack_class: SlackClass,
    /// The workers in whose queues it has a copy.
    pub(crate) copies: Vec<WorkerIndex>,
    /// The workers at which capacity is reserved for it.
    pub(crate) reserved_at: Vec<WorkerIndex>,
    pub(crate) reserved_until: Millis,
    pub(crate) wait_history: WaitHistory,
    retry_delay_ms: Millis,
    /// When it is looked at again, if that is known.
    pub(crate) retry_at: Option<Millis>,
    /// That time is reserved with its service's pacer.
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

    /// Share of a worker that one of its tasks takes.
    pub(crate) fn share_of(&self, worker: &Worker) -> f64 {
        dominant_share(&self.unit.resources, &worker.info.capacity)
    }

    pub(crate) fn waited_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.enqueued_at)
    }

    /// The time of the next retry: after a delay that doubles, or earlier if asked for.
    pub(crate) fn next_retry(&mut self, now: Millis, no_later_than: Millis) -> Millis {
        let retry_at = now
            .saturating_add(self.retry_delay_ms)
            .min(no_later_than.max(now + 1));
        self.retry_delay_ms = (self.retry_delay_ms * 2).min(MAX_RETRY_DELAY_MS);
        retry_at
    }
}
