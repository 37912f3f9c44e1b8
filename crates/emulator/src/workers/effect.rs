//! Externally visible effects of simulated workers, and their timers.

use std::sync::Arc;
use streamusher_protocol::heartbeat::{Heartbeat, Resources};
use streamusher_protocol::task::{RunEnd, RunId};
use streamusher_protocol::Millis;

/// Index of a worker within the fleet.
pub(crate) type WorkerIndex = usize;

/// Timer of a worker.
#[derive(Clone, Debug)]
pub(crate) enum WorkerTimer {
    /// A heartbeat is due. Ignored unless `plan` is still the latest plan.
    HeartbeatDue { plan: u64 },
    /// The response to this heartbeat has timed out.
    ResponseTimeout { sequence: u64 },
    /// The lease may have expired.
    LeaseExpiry,
    /// A run completes or fails. Ignored unless `plan` is still the latest plan of the run.
    RunOutcome { run: RunId, plan: u64 },
    /// A run that was being stopped has stopped.
    StopCompleted { run: RunId },
    /// A gang member has reached the end of its waiting time for the other members.
    GangTimeout { run: RunId },
    /// A draining worker leaves.
    Departure,
}

/// Effect of a worker, in the order of occurrence.
#[derive(Clone, Debug)]
pub(crate) enum WorkerEffect {
    /// Schedules a timer.
    SetTimer {
        due: Millis,
        worker: WorkerIndex,
        incarnation: u32,
        timer: WorkerTimer,
    },
    /// Sends a heartbeat to the worker's agent.
    SendHeartbeat {
        worker: WorkerIndex,
        heartbeat: Box<Heartbeat>,
    },
    /// Sends a deregistration to the worker's agent.
    Deregister {
        worker: WorkerIndex,
        instance: Arc<str>,
    },
    /// A run has started. `used` is the resource usage of the worker including this run.
    RunStarted {
        worker: WorkerIndex,
        run: RunId,
        spec: Arc<str>,
        checkpoint: Arc<str>,
        used: Resources,
    },
    /// A run has ended; the worker reports the end under this number.
    RunEnded {
        worker: WorkerIndex,
        run: RunId,
        outcome: RunEnd,
        number: u64,
    },
    /// The agent has acknowledged the reported ends up to this number.
    EndsAcknowledged { worker: WorkerIndex, up_to: u64 },
    /// The lease was extended: the worker may run tasks until this time.
    LeaseExtended { worker: WorkerIndex, until: Millis },
    /// The lease has expired.
    LeaseExpired { worker: WorkerIndex },
    /// The worker has crashed. Its runs are over without a reported end. The lease would have lasted until
    /// the given time.
    Crashed {
        worker: WorkerIndex,
        leased_until: Millis,
    },
    /// A heartbeat that announced draining was answered.
    DrainAcknowledged { worker: WorkerIndex },
}
