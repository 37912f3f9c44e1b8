//! What an agent is given at its start.

use std::sync::Arc;
use streamusher_protocol::Millis;

/// The longest hold granted at once. Above the time that an agent's restart or a failover of the primary takes, and not
/// longer, since the runs of a worker that is lost for good are waited for so long. A lease of the primary lasts
/// `hold_max_ms`.
const MAX_GRANTED_HOLD_MS: Millis = 4_000;

/// What an agent is given at its start.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of its machine.
    pub name: Arc<str>,
    /// Random number that tells this start from others.
    pub boot: u64,
    /// The longest hold that workers accept.
    pub hold_max_ms: Millis,
    /// Interval of a worker's heartbeats where the responses ask for no other.
    pub heartbeat_ms: Millis,
}

impl AgentSettings {
    /// The longest hold that this or an earlier start of the agent grants.
    pub(super) fn max_granted_hold_ms(&self) -> Millis {
        self.hold_max_ms.min(MAX_GRANTED_HOLD_MS)
    }
}
