//! What simulated workers do to the outside, and the timers they set.

use std::sync::Arc;
use streamusher_protocol::heartbeat::{Heartbeat, Resources};
use streamusher_protocol::task::{RunEnd, RunId};
use streamusher_protocol::Millis;

/// Index of a worker within the fleet.
pub(crate) type WorkerIndex = usize;

/// What a worker waits for.
#[derive(Clone, Debug)]
pub(crate) enum WorkerTimer {
    /// A heartbeat is due; ignored unless `plan` is still the newest plan.
    HeartbeatDue { plan: u64 },
    /// The response to this heartbeat takes too long.
    ResponseTimeout { sequence: u64 },
    /// The lease may have expired.
    LeaseExpiry,
    /// A run completes or fails; ignored unless `plan` is still the run's newest plan.
    RunOutcome { run: RunId, plan: u64 },
    /// A run that is being stopped has stopped.
    StopCompleted { run: RunId },
    /// A gang's member has waited long enough for the others.
    GangTimeout { run: RunId },
    /// A draining worker leaves.
    Departure,
}

/// Something that a worker did, in the order in which it happened.
#[derive(Clone, Debug)]
pub(crate) enum WorkerEffect {
    /// Fire this timer at this time.
    SetTimer {
        due: Millis,
        worker: WorkerIndex,
        incarnation: u32,
        timer: WorkerTimer,
    },
    /// Send a heartbeat to the worker's agent.
    SendHeartbeat {
        worker: WorkerIndex,
        heartbeat: Box<Heartbeat>,
    },
    /// Send a deregistration to the worker's agent.
    Deregister {
        worker: WorkerIndex,
        instance: Arc<str>,
    },
    /// A run has begun; `used` is what then runs there, the new run included.
    RunStarted {
        worker: WorkerIndex,
        run: RunId,
        spec: Arc<str>,
        checkpoint: Arc<str>,
        used: Resources,
    },
    /// A run has ended and is reported under this number.
    RunEnded {
        worker: WorkerIndex,
        run: RunId,
        outcome: RunEnd,
        number: u64,
    },
    /// The agent has acknowledged the reported ends up to this number.
    EndsAcknowledged { worker: WorkerIndex, up_to: u64 },
    /// The lease has expired.
    LeaseExpired { worker: WorkerIndex },
    /// The worker is down; its runs are over without a reported end. Its lease would have lasted until then.
    Crashed {
        worker: WorkerIndex,
        leased_until: Millis,
    },
    /// A heartbeat that said that the worker drains was answered.
    DrainAcknowledged { worker: WorkerIndex },
}
