//! The assignment of a run to a worker.

use crate::record::is_zero;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// A run of a task that occupies a worker. Also the stored form of the earlier run of a hedged task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RunAssignment {
    /// Run number.
    pub(crate) run: u32,
    /// Worker that it is assigned to.
    pub(crate) worker: WorkerId,
    /// Its result is not wanted any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) stopping: bool,
    /// Checkpoint that it was started with; empty for the beginning.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub(crate) started_from: Arc<str>,
    /// When it was assigned, in milliseconds since 1970; 0 where a former version did not record it.
    #[serde(rename = "since_ms", default, skip_serializing_if = "is_zero")]
    pub(crate) assigned_unix_ms: Millis,
}
