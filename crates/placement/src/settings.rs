//! Settings of placement.

use crate::policy::Policy;
use streamusher_protocol::Millis;

/// Parameters fixed by the operator's configuration and by the rules of the workload.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Seed of the random number generator: the same seed and the same events give the same decisions.
    pub random_seed: u64,
    /// Factor on the run time of a task that runs on another rack than its data.
    pub remote_slowdown: f64,
    /// Upper bound of the time from a stop command to the end of the run, in milliseconds.
    pub max_stop_ms: Millis,
    /// Work that is repeated when a run resumes from its last checkpoint, in milliseconds.
    pub checkpoint_restore_ms: Millis,
    /// Enabled mechanisms.
    pub policy: Policy,
}
