//! Faults of workers.

use crate::faults::WorkerFault;
use crate::fleet::event::{Event, FaultRecovery};
use crate::fleet::state::FleetState;
use streamusher_protocol::Millis;

/// Time after which a drained worker has ended, whether or not its deregistration was acknowledged.
const DRAIN_MARGIN_MS: Millis = 2_500;

pub(super) fn inject(state: &mut FleetState, fault: WorkerFault) {
    let env = &mut state.environment;
    let workers = &mut state.workers;
    match fault {
        WorkerFault::Crash { worker, back_ms } => {
            env.fault_history.on_worker_fault(env.now, worker);
            workers.crash_worker(env.moment(), worker);
            if let Some(back_ms) = back_ms {
                env.schedule_in(back_ms, Event::WorkerStart { worker });
            }
        }
        WorkerFault::Slow {
            worker,
            speed,
            for_ms,
        } => {
            env.fault_history.begin_worker_fault(env.now, worker);
            workers.set_speed(env.moment(), worker, speed);
            let recovery = FaultRecovery::RestoreWorkerSpeed { worker };
            env.schedule_in(for_ms, Event::Recovery(recovery));
        }
        WorkerFault::FailRuns {
            worker,
            share,
            for_ms,
        } => {
            env.fault_history.begin_worker_fault(env.now, worker);
            workers.set_failure_rate(worker, share);
            let recovery = FaultRecovery::EndRunFailures { worker };
            env.schedule_in(for_ms, Event::Recovery(recovery));
        }
        WorkerFault::Drain {
            worker,
            after_ms,
            back_ms,
        } => {
            env.fault_history.on_worker_fault(env.now, worker);
            workers.drain_worker(env.now, worker, after_ms);
            let back_in_ms = after_ms + DRAIN_MARGIN_MS + back_ms;
            env.schedule_in(back_in_ms, Event::WorkerStart { worker });
        }
    }
}
