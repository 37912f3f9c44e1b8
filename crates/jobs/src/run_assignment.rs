//! Assignment of a run to a worker.

use crate::record::is_zero;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// A run of a task that occupies a worker. This is also the stored form of the earlier run of a hedged task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RunAssignment {
    pub(crate) run: u32,
    /// Worker to which the run is assigned.
    pub(crate) worker: WorkerId,
    /// The run is being stopped; its result is ignored.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) stopping: bool,
    /// Checkpoint from which the run was started; empty if it started from the beginning.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub(crate) started_from: Arc<str>,
    /// Time of the assignment, in milliseconds since 1970; 0 if the record was written by a former version,
    /// which did not store it.
    #[serde(rename = "since_ms", default, skip_serializing_if = "is_zero")]
    pub(crate) assigned_unix_ms: Millis,
}
