//! A unit's time in the queue by reason. Each span is attributed to the reason that was found at its start.

use crate::decision::TimeWaited;
use crate::wait_reason::WaitReason;
use streamusher_protocol::Millis;

/// Time that a unit has waited, by reason.
#[derive(Clone, Debug)]
pub(crate) struct WaitHistory {
    /// Reason of the open span; `None` before the first reason is recorded.
    current: Option<WaitReason>,
    since: Millis,
    totals: Vec<TimeWaited>,
}

impl WaitHistory {
    /// Creates the history of a unit that is enqueued at `now`.
    pub(crate) fn new(now: Millis) -> WaitHistory {
        WaitHistory {
            current: None,
            since: now,
            totals: Vec::new(),
        }
    }

    /// Ends the open span and starts one with this reason.
    pub(crate) fn record_reason(&mut self, now: Millis, reason: WaitReason) {
        self.close_span(now);
        self.current = Some(reason);
    }

    /// Ends the open span as the unit starts, and returns all totals.
    pub(crate) fn finish(mut self, now: Millis) -> Vec<TimeWaited> {
        self.close_span(now);
        self.totals
    }

    fn close_span(&mut self, now: Millis) {
        let waited_ms = now.saturating_sub(self.since);
        self.since = now;
        let Some(reason) = self.current.filter(|_| waited_ms > 0) else {
            return;
        };
        match self.totals.iter_mut().find(|total| total.reason == reason) {
            Some(total) => total.waited_ms += waited_ms,
            None => self.totals.push(TimeWaited { reason, waited_ms }),
        }
    }
}
