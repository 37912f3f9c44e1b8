//! Schedules the job submissions of clients.

use super::environment::Environment;
use super::event::{ClientEvent, Event};
use crate::cast::whole;
use crate::workload::Workload;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Schedules the regular traffic: a fixed number of jobs at uniformly drawn times.
pub(crate) fn schedule_regular_traffic(env: &mut Environment) {
    for _ in 0..env.settings.job_count {
        let starts_at = env.settings.traffic_starts_at;
        let due = env.random.between(starts_at, env.settings.traffic_ends_at);
        let event = ClientEvent::NewJob { hopeless: false };
        env.schedule_at(due, Event::Client(event));
    }
}

/// Schedules the traffic of a workload: the jobs of each class arrive independently of each other.
pub(crate) fn schedule_workload(env: &mut Environment, workload: &Workload) {
    let ends_at = env.settings.traffic_ends_at as f64;
    for (class, shape) in workload.classes.iter().enumerate() {
        let mut due = env.settings.traffic_starts_at as f64;
        loop {
            due += MILLIS_PER_SECOND * env.random.pause(shape.rate);
            if due >= ends_at {
                break;
            }
            let event = ClientEvent::NewJobOfClass { class };
            env.schedule_at(whole(due), Event::Client(event));
        }
    }
}
