//! Schedule of a worker's heartbeats and tracking of the awaited response.

use streamusher_protocol::Millis;

/// Timeout of a heartbeat; a later response is ignored.
pub(crate) const RESPONSE_TIMEOUT_MS: Millis = 1_000;
/// Delay of the next heartbeat after the end of a run or a lost response.
pub(crate) const PROMPT_HEARTBEAT_MS: Millis = 50;

/// A heartbeat whose response is awaited.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AwaitedResponse {
    /// Sequence number of the heartbeat.
    pub(crate) sequence: u64,
    /// Time at which the heartbeat was sent.
    pub(crate) sent_at: Millis,
    /// Whether the heartbeat announced draining.
    pub(crate) draining: bool,
}

/// Heartbeat schedule of a worker. At most one response is awaited at a time.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeartbeatSchedule {
    sequence: u64,
    /// Number of the current plan; timers of earlier plans are ignored.
    plan: u64,
    next_at: Millis,
    awaited: Option<AwaitedResponse>,
    /// Whether an event since the last heartbeat should be reported soon.
    report_soon: bool,
}

impl HeartbeatSchedule {
    /// Sequence number of the last heartbeat.
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Plans the next heartbeat and returns the number of the plan.
    pub(crate) fn plan(&mut self, due: Millis) -> u64 {
        self.plan += 1;
        self.next_at = due;
        self.plan
    }

    /// Starts the heartbeat of a plan and returns its sequence number; `None` if the plan is outdated or a
    /// response is awaited.
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

    /// Stops waiting for the response to a heartbeat; `None` if that response is not awaited.
    pub(crate) fn take_awaited(&mut self, sequence: u64) -> Option<AwaitedResponse> {
        self.awaited.take_if(|awaited| awaited.sequence == sequence)
    }

    /// Requests a heartbeat right after the awaited response. Returns whether a response is awaited.
    pub(crate) fn report_after_response(&mut self) -> bool {
        if self.awaited.is_some() {
            self.report_soon = true;
        }
        self.awaited.is_some()
    }

    /// Whether the next heartbeat is planned for later than `due`.
    pub(crate) fn is_later_than(&self, due: Millis) -> bool {
        self.next_at > due
    }

    /// Time of the next heartbeat after a response.
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
