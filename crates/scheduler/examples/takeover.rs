//! Measures how long a new primary takes to recover, depending on the size of the state. Until then it
//! answers no request, and its replicas only wait for a lease.
//!
//!     cargo run --release -p streamusher-scheduler --example takeover -- 1000 10000 100000
//!
//! Prints for each number of jobs (four tasks per job, none finished) the number of keys and bytes of the
//! state, the time to recover it, and the duration of the first tick afterwards.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;
use streamusher_protocol::internal::{ClientMethod, ClientRequest};
use streamusher_protocol::Now;
use streamusher_scheduler::{
    Event, OperatorRequest, OperatorRequestKind, Policy, RecoverError, Scheduler, SchedulerLimits,
    SchedulerSettings,
};

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/q/","timeout_ms":3000,
    "target_latency_ms":800,"priority":0,"service":"s","max_attempts":2,"stretch":1.5}],"services":[{"name":"s"}]}"#;
const JOB: &str = r#"{"spec":"a text that says what is to be done, of some hundred bytes, as operators' clients send",
    "steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900}]}"#;

/// Keys and values of the replicated state.
type State = BTreeMap<Arc<str>, Arc<str>>;

fn settings() -> SchedulerSettings {
    SchedulerSettings {
        limits: SchedulerLimits::default(),
        random_seed: 1,
        fair_share: None,
        policy: Policy::default(),
    }
}

fn now(steady_ms: u64) -> Now {
    Now {
        steady_ms,
        unix_ms: 1_790_000_000_000 + steady_ms,
    }
}

fn configure(id: u64) -> Event {
    let request = OperatorRequest {
        kind: OperatorRequestKind::Replace,
        base: Some(0),
        body: CONFIGURATION.into(),
    };
    Event::OperatorRequest { id, request }
}

fn submit(id: u64) -> Event {
    let request = ClientRequest {
        method: ClientMethod::Post,
        host: "h".into(),
        path: format!("/q/{id:016x}").into(),
        body: JOB.into(),
        configuration_version: 0,
    };
    Event::ClientRequest { id, request }
}

/// Returns the replicated state after the given number of jobs has been submitted.
fn state_with_jobs(jobs: u64) -> Result<State, RecoverError> {
    let mut scheduler = Scheduler::recover(settings(), 1, now(0), State::new())?;
    let mut state = State::new();
    let events = std::iter::once(configure(jobs)).chain((0..jobs).map(submit));
    for event in events {
        for write in scheduler.handle(now(0), event).writes {
            match write.value {
                Some(value) => state.insert(write.key, value),
                None => state.remove(&write.key),
            };
        }
    }
    Ok(state)
}

fn measure(jobs: u64) -> Result<(), RecoverError> {
    let state = state_with_jobs(jobs)?;
    let keys = state.len();
    let bytes: usize = state
        .iter()
        .map(|(key, value)| key.len() + value.len())
        .sum();
    let started_at = Instant::now();
    let mut scheduler = Scheduler::recover(settings(), 2, now(1_000), state)?;
    let recovered = started_at.elapsed();
    let started_at = Instant::now();
    scheduler.handle(now(1_020), Event::Tick);
    let ticked = started_at.elapsed();
    println!(
        "{jobs} jobs: {keys} keys, {bytes} bytes; recovered in {recovered:?}, first tick {ticked:?}"
    );
    Ok(())
}

fn main() -> Result<(), RecoverError> {
    let sizes = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse::<u64>().ok());
    sizes.into_iter().try_for_each(measure)
}
