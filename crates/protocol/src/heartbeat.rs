//! The heartbeat of a worker and the response to it (`Instances.Heartbeat` and `Instances.Deregister`).

use crate::task::{RunEnd, TaskId};
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Path of the heartbeat request; the worker's ID is appended.
pub const HEARTBEAT_PATH: &str = "/streamusher/Instances.Heartbeat/";
/// Path of the deregistration request; the worker's ID is appended.
pub const DEREGISTER_PATH: &str = "/streamusher/Instances.Deregister/";

/// Resource amounts: the capacity of a worker, or the demand of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor capacity in thousandths of a core.
    #[serde(default)]
    pub cpu: u64,
    /// Memory in megabytes.
    #[serde(default)]
    pub mem_mb: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub gpu: u64,
}

impl Resources {
    /// Returns true if each amount is at least the one in `demand`.
    pub fn covers(&self, demand: &Resources) -> bool {
        self.cpu >= demand.cpu && self.mem_mb >= demand.mem_mb && self.gpu >= demand.gpu
    }

    /// Adds each amount, saturating at the largest integer.
    #[must_use]
    pub fn saturating_add(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_add(other.cpu),
            mem_mb: self.mem_mb.saturating_add(other.mem_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// Subtracts each amount, saturating at 0.
    #[must_use]
    pub fn saturating_sub(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// Whether a worker accepts new runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkerState {
    /// The worker accepts new runs.
    #[default]
    Ready,
    /// The worker will shut down and accepts no new runs.
    Draining,
}

/// A run in progress. On the wire it is the array `[task, run, checkpoint, percent]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "array::RunningTask", into = "array::RunningTask")]
pub struct RunningTask {
    /// The task that is run.
    pub task: TaskId,
    /// Number of the run among the starts of the task, from 1.
    pub run: u32,
    /// The most recent checkpoint that the run has saved; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Progress of the run, from 0 to 100.
    pub percent: f64,
}

/// A run that has ended. On the wire it is the array `[number, task, run, end, checkpoint]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "array::FinishedRun", into = "array::FinishedRun")]
pub struct FinishedRun {
    /// Position in the worker's list of ended runs, from 1. [`HeartbeatResponse::last_seen`] acknowledges it.
    pub number: u64,
    /// The task that was run.
    pub task: TaskId,
    /// Number of the run among the starts of the task, from 1.
    pub run: u32,
    /// Outcome of the run.
    pub end: RunEnd,
    /// The most recent checkpoint that the run has saved; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// A heartbeat, which reports the state of a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The service whose tasks the worker runs.
    pub service: Arc<str>,
    /// Address that the worker listens on; only its own machine can reach it.
    #[serde(default)]
    pub address: Arc<str>,
    /// Zone of the worker.
    #[serde(default)]
    pub zone: Arc<str>,
    /// Version of the worker's software.
    #[serde(default)]
    pub version: Arc<str>,
    /// Maximum number of concurrent tasks on the worker.
    #[serde(default)]
    pub slots: u32,
    /// Whether the worker accepts new runs.
    #[serde(default)]
    pub state: WorkerState,
    /// Remaining time in which the worker is slower than usual after its start.
    #[serde(default)]
    pub warmup_left_ms: Millis,
    /// Total capacity of the worker.
    #[serde(default)]
    pub capacity: Resources,
    /// Labels by which steps select workers: the worker's kind and its rack.
    #[serde(default)]
    pub labels: Vec<Arc<str>>,
    /// Monotonic clock of the worker, in milliseconds.
    #[serde(default)]
    pub clock_ms: Millis,
    /// Sequence number, which increases with each heartbeat. A heartbeat that arrives after one with a higher
    /// number is ignored.
    pub sequence: u64,
    /// While the worker drains: the minimum time for which it continues to run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<Millis>,
    /// Runs in progress.
    #[serde(default)]
    pub running: Vec<RunningTask>,
    /// Runs that have ended and that [`HeartbeatResponse::last_seen`] has not acknowledged yet.
    #[serde(default)]
    pub finished: Vec<FinishedRun>,
}

/// Command to start a run. On the wire it is the array `[task, run, spec, checkpoint]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "array::StartCommand", into = "array::StartCommand")]
pub struct StartCommand {
    /// The task to run.
    pub task: TaskId,
    /// Number of the run among the starts of the task, from 1.
    pub run: u32,
    /// Description of the work, as the client submitted it.
    pub spec: Arc<str>,
    /// The checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: Arc<str>,
}

/// Command to stop a run. On the wire it is the array `[task, run]`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "array::StopCommand", into = "array::StopCommand")]
pub struct StopCommand {
    /// The task whose run is to be stopped.
    pub task: TaskId,
    /// Number of the run among the starts of the task, from 1.
    pub run: u32,
}

/// The response to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Lease: how long runs may continue without contact, counted from the time the heartbeat was sent. If it
    /// is absent, no lease is extended and no run may be started.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hold_ms: Option<Millis>,
    /// Acknowledges the ended runs up to this number, which the worker may then discard.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_seen: Option<u64>,
    /// Fencing token: the epoch of the primary. A worker ignores a response with a token lower than one it
    /// has already received.
    #[serde(default)]
    pub fence_token: u64,
    /// Runs to start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub start: Vec<StartCommand>,
    /// Runs to stop.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<StopCommand>,
    /// Time after which the next heartbeat is expected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
}

/// Wire format of the structs that workers send and receive as arrays. These tuple structs have the same
/// names as the public structs, so that decoding errors name the message.
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
