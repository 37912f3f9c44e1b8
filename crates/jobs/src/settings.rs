//! Settings of the job table.

use streamusher_protocol::Millis;

/// Settings of the deployment that the job table uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobSettings {
    /// Time for which the final state of an ended job can still be queried, in milliseconds.
    pub retention_ms: Millis,
}
