//! How long a new primary stands still while it takes over, by the size of the state. In that time it says nothing, and its
//! replicas wait for a lease only.
//!
//!     cargo run --release -p streamusher-scheduler --example takeover -- 1000 10000 100000
//!
//! Prints for each number of jobs (four tasks each, none ended): keys and bytes of the state, the time to recover it, and the
//! time of the first tick after that.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;
use streamusher_protocol::internal::{ClientMethod, ClientRequest};
use streamusher_protocol::Now;
use streamusher_scheduler::{
    Event, OperatorRequest, OperatorRequestKind, Scheduler, SchedulerLimits, SchedulerSettings,
};

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/q/","timeout_ms":3000,
    "target_latency_ms":800,"priority":0,"service":"s","max_attempts":2,"stretch":1.5}],"services":[{"name":"s"}]}"#;
const JOB: &str = r#"{"spec":"a text that says what is to be done, of some hundred bytes, as operators' clients send",
    "steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900}]}"#;

fn settings() -> SchedulerSettings {
    SchedulerSettings {
        limits: SchedulerLimits::default(),
        random_seed: 1,
        fair_share: None,
        policy: streamusher_scheduler::Policy::default(),
    }
}

fn now(steady_ms: u64) -> Now {
    Now {
        steady_ms,
        unix_ms: 1_790_000_000_000 + steady_ms,
    }
}

/// The state that so many jobs leave.
fn state_of(jobs: u64) -> BTreeMap<Arc<str>, Arc<str>> {
    let mut scheduler =
        Scheduler::recover(settings(), 1, now(0), Vec::new()).expect("an empty state");
    let mut state = BTreeMap::new();
    let order = OperatorRequest {
        kind: OperatorRequestKind::Replace,
        base: Some(0),
        body: CONFIGURATION.into(),
    };
    let events = (0..jobs).map(|number| Event::ClientRequest {
        id: number,
        request: ClientRequest {
            method: ClientMethod::Post,
            host: "h".into(),
            path: format!("/q/{number:016x}").into(),
            body: JOB.into(),
            configuration_version: 0,
        },
    });
    for event in std::iter::once(Event::OperatorRequest {
        id: jobs,
        request: order,
    })
    .chain(events)
    {
        for write in scheduler.handle(now(0), event).writes {
            match write.value {
                Some(value) => state.insert(write.key, value),
                None => state.remove(&write.key),
            };
        }
    }
    state
}

fn main() {
    let sizes = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse::<u64>().ok());
    for jobs in sizes {
        let state = state_of(jobs);
        let bytes: usize = state
            .iter()
            .map(|(key, value)| key.len() + value.len())
            .sum();
        let keys = state.len();
        let begun = Instant::now();
        let mut scheduler =
            Scheduler::recover(settings(), 2, now(1_000), state).expect("a sound state");
        let recovered = begun.elapsed();
        let begun = Instant::now();
        scheduler.handle(now(1_020), Event::Tick);
        let ticked = begun.elapsed();
        println!(
            "{jobs} jobs: {keys} keys, {bytes} bytes; recovered in {recovered:?}, first tick {ticked:?}"
        );
    }
}
