//! Settings of an agent, fixed when it starts.

use std::sync::Arc;
use streamusher_protocol::Millis;

/// Longest hold granted at once. It exceeds the time that a restart of the agent or a failover of the primary
/// takes. It is no longer than that because the scheduler waits this long for the runs of a worker that is
/// permanently lost. A lease of the primary lasts `hold_max_ms`.
const MAX_GRANTED_HOLD_MS: Millis = 4_000;

/// Settings of an agent, fixed when it starts.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the agent's machine.
    pub name: Arc<str>,
    /// Random number that distinguishes this start of the agent from others.
    pub boot: u64,
    /// Longest hold that workers accept.
    pub hold_max_ms: Millis,
    /// Interval of a worker's heartbeats, unless a response requests another.
    pub heartbeat_ms: Millis,
}

impl AgentSettings {
    /// Longest hold that the agent grants, before and after a restart.
    pub(super) fn max_granted_hold_ms(&self) -> Millis {
        self.hold_max_ms.min(MAX_GRANTED_HOLD_MS)
    }
}
