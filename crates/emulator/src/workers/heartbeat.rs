//! When a worker sends heartbeats, and which response it waits for.

use streamusher_protocol::Millis;

/// A response that takes longer is ignored.
pub(crate) const RESPONSE_TIMEOUT_MS: Millis = 1_000;
/// From the end of a run, or from a lost response, to the next heartbeat.
pub(crate) const PROMPT_HEARTBEAT_MS: Millis = 50;
/// Between attempts while no agent listens.
pub(crate) const REFUSED_RETRY_MS: Millis = 200;

/// A heartbeat whose response is awaited.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AwaitedResponse {
    /// The heartbeat's sequence number.
    pub(crate) sequence: u64,
    /// When it was sent.
    pub(crate) sent_at: Millis,
    /// Whether it said that the worker drains.
    pub(crate) draining: bool,
}

/// A worker's heartbeats. At most one response is awaited at a time.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeartbeatSchedule {
    sequence: u64,
    /// Numbers the plans, so that timers of former plans are ignored.
    plan: u64,
    next_at: Millis,
    awaited: Option<AwaitedResponse>,
    /// Something happened since the last heartbeat that the next one should report soon.
    report_soon: bool,
}

impl HeartbeatSchedule {
    /// The sequence number of the last heartbeat.
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Plans the next heartbeat and returns the number of this plan.
    pub(crate) fn plan(&mut self, due: Millis) -> u64 {
        self.plan += 1;
        self.next_at = due;
        self.plan
    }

    /// Begins the heartbeat of a plan and returns its sequence number; none if the plan is outdated or a response is awaited.
    pub(crate) fn begin(&mut self, now: Millis, plan: u64, draining: bool) -> Option<u64> {
        if self.plan != plan || self.awaited.is_some() {
            return None;
        }
        self.sequence += 1;
        self.report_soon = false;
        self.awaited = Some(AwaitedResponse {
            sequence: self.sequence,
            sent_at: now,
            draining,
        });
        Some(self.sequence)
    }

    /// Stops waiting for the response to a heartbeat; none if that response is not awaited.
    pub(crate) fn take_awaited(&mut self, sequence: u64) -> Option<AwaitedResponse> {
        self.awaited.take_if(|awaited| awaited.sequence == sequence)
    }

    /// Asks for a heartbeat as soon as the awaited response is there. Returns whether one is awaited.
    pub(crate) fn report_after_response(&mut self) -> bool {
        if self.awaited.is_some() {
            self.report_soon = true;
        }
        self.awaited.is_some()
    }

    /// Whether the next heartbeat is planned for later than this.
    pub(crate) fn is_later_than(&self, due: Millis) -> bool {
        self.next_at > due
    }

    /// When the next heartbeat is due after a response.
    pub(crate) fn next_after_response(
        &self,
        now: Millis,
        sent_at: Millis,
        retry_after_ms: Option<Millis>,
        interval_ms: Millis,
    ) -> Millis {
        let ordinary = match retry_after_ms {
            Some(wait_ms) => now + wait_ms.max(1),
            None => (sent_at + interval_ms).max(now + 1),
        };
        if self.report_soon {
            ordinary.min(now + PROMPT_HEARTBEAT_MS)
        } else {
            ordinary
        }
    }
}
