//! A worker's heartbeat and the response to it (`Instances.Heartbeat` and `Instances.Deregister`).

use crate::task::{RunEnd, TaskId};
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Path of a heartbeat, before the worker's id.
pub const HEARTBEAT_PATH: &str = "/streamusher/Instances.Heartbeat/";
/// Path of a worker's deregistration, before its id.
pub const DEREGISTER_PATH: &str = "/streamusher/Instances.Deregister/";

/// Amounts of a worker's capacity, or of what a task takes of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a processor core.
    #[serde(default)]
    pub cpu: u64,
    /// Megabytes of memory.
    #[serde(default)]
    pub mem_mb: u64,
    /// Accelerators.
    #[serde(default)]
    pub gpu: u64,
}

impl Resources {
    /// Whether all of `wanted` fits into this.
    pub fn covers(&self, wanted: &Resources) -> bool {
        self.cpu >= wanted.cpu && self.mem_mb >= wanted.mem_mb && self.gpu >= wanted.gpu
    }

    /// The sum of both, at most the highest number for each kind.
    #[must_use]
    pub fn saturating_add(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_add(other.cpu),
            mem_mb: self.mem_mb.saturating_add(other.mem_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// What is left after `other` is taken away, at least 0 for each kind.
    #[must_use]
    pub fn saturating_sub(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// Whether a worker takes new runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkerState {
    /// It takes new runs.
    #[default]
    Ready,
    /// It will leave and takes no new runs.
    Draining,
}

/// A run that is being executed; on the wire the array `[task, run, checkpoint, percent]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "array::RunningTask", into = "array::RunningTask")]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// Which start of the task.
    pub run: u32,
    /// The newest checkpoint that the run has saved; empty for none.
    pub checkpoint: Arc<str>,
    /// Progress, from 0 to 100.
    pub percent: f64,
}

/// A run that has ended; on the wire the array `[number, task, run, end, checkpoint]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "array::FinishedRun", into = "array::FinishedRun")]
pub struct FinishedRun {
    /// Position in the worker's list of ended runs, from 1; acknowledged by [`HeartbeatResponse::last_seen`].
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Which start of the task.
    pub run: u32,
    /// How the run ended.
    pub end: RunEnd,
    /// The newest checkpoint that the run has saved; empty for none.
    pub checkpoint: Arc<str>,
}

/// A worker's heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The service whose tasks it runs.
    pub service: Arc<str>,
    /// Where it listens; only its own machine can reach it.
    #[serde(default)]
    pub address: Arc<str>,
    /// Its zone.
    #[serde(default)]
    pub zone: Arc<str>,
    /// Version of its software.
    #[serde(default)]
    pub version: Arc<str>,
    /// How many tasks it runs at once.
    #[serde(default)]
    pub slots: u32,
    /// Whether it takes new runs.
    #[serde(default)]
    pub state: WorkerState,
    /// How much longer it is slower than usual after its start.
    #[serde(default)]
    pub warmup_left_ms: Millis,
    /// Its whole capacity.
    #[serde(default)]
    pub capacity: Resources,
    /// Labels by which steps select workers: its kind and its rack.
    #[serde(default)]
    pub labels: Vec<Arc<str>>,
    /// Its own steady clock, in milliseconds.
    #[serde(default)]
    pub clock_ms: Millis,
    /// Rises with each heartbeat; a lower one that arrives later is ignored.
    pub sequence: u64,
    /// While it drains: for how long it will still run, at least.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<Millis>,
    /// Runs that are being executed.
    #[serde(default)]
    pub running: Vec<RunningTask>,
    /// Runs that have ended and are not acknowledged by [`HeartbeatResponse::last_seen`] yet.
    #[serde(default)]
    pub finished: Vec<FinishedRun>,
}

/// Command to start a run; on the wire the array `[task, run, spec, checkpoint]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "array::StartCommand", into = "array::StartCommand")]
pub struct StartCommand {
    /// The task.
    pub task: TaskId,
    /// Which start of the task.
    pub run: u32,
    /// What to run, as the client submitted it.
    pub spec: Arc<str>,
    /// The checkpoint to continue from; empty to start from the beginning.
    pub checkpoint: Arc<str>,
}

/// Command to stop a run; on the wire the array `[task, run]`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "array::StopCommand", into = "array::StopCommand")]
pub struct StopCommand {
    /// The task.
    pub task: TaskId,
    /// Which start of the task.
    pub run: u32,
}

/// The response to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Lease: for how long runs may go on without contact, counted from the sending of the heartbeat. Without it no lease is
    /// extended and nothing may be started.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hold_ms: Option<Millis>,
    /// Ended runs up to this number are acknowledged: the worker may forget them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_seen: Option<u64>,
    /// Fencing token: the epoch of the primary. A worker ignores a response with a lower one than it has seen.
    #[serde(default)]
    pub fence_token: u64,
    /// Runs to start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub start: Vec<StartCommand>,
    /// Runs to stop.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<StopCommand>,
    /// After how long the next heartbeat is wanted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
}

/// The encoded form of the structs that workers list as arrays: tuple structs of the same names, so that a decoding error
/// names the message.
mod array {
    use crate::task::{RunEnd, TaskId};
    use serde::{Deserialize, Serialize};
    use std::sync::Arc;

    macro_rules! encoded_as_array {
        ($name:ident { $($field:ident: $type:ty),+ }) => {
            #[derive(Serialize, Deserialize)]
            pub(super) struct $name($($type),+);

            impl From<super::$name> for $name {
                fn from(named: super::$name) -> $name {
                    let super::$name { $($field),+ } = named;
                    $name($($field),+)
                }
            }

            impl From<$name> for super::$name {
                fn from(array: $name) -> super::$name {
                    let $name($($field),+) = array;
                    super::$name { $($field),+ }
                }
            }
        };
    }

    encoded_as_array!(RunningTask { task: TaskId, run: u32, checkpoint: Arc<str>, percent: f64 });
    encoded_as_array!(FinishedRun { number: u64, task: TaskId, run: u32, end: RunEnd, checkpoint: Arc<str> });
    encoded_as_array!(StartCommand { task: TaskId, run: u32, spec: Arc<str>, checkpoint: Arc<str> });
    encoded_as_array!(StopCommand {
        task: TaskId,
        run: u32
    });
}
