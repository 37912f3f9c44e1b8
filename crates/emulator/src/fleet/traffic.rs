//! Plans when clients submit jobs.

use super::environment::Environment;
use super::event::{ClientEvent, Event};
use crate::cast::whole;
use crate::workload::Workload;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Plans the ordinary traffic: a number of jobs, spread evenly.
pub(crate) fn plan_ordinary(env: &mut Environment) {
    for _ in 0..env.settings.job_count {
        let starts_at = env.settings.traffic_starts_at;
        let due = env.random.between(starts_at, env.settings.traffic_ends_at);
        let event = ClientEvent::NewJob { hopeless: false };
        env.schedule_at(due, Event::Client(event));
    }
}

/// Plans the traffic of a workload: the jobs of each class come independently of each other.
pub(crate) fn plan_workload(env: &mut Environment, workload: &Workload) {
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
