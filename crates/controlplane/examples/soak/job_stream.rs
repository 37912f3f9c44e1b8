//! Clients that submit jobs one at a time and poll each until it reaches its expected state.

use crate::client::{JobClient, UnansweredRequest};
use anyhow::{bail, Result};
use rand::Rng;
use rand_pcg::Pcg32;
use serde_json::{json, Value};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use streamusher_protocol::job::JobState;

/// Pause between two queries of a job's state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// One job in this many is long-running; it is cancelled once it runs.
const LONG_RUNNING_EVERY: u64 = 8;
/// One job in this many has tasks that outlast the lease of a worker.
const LONG_TASKS_EVERY: u64 = 5;
/// Range of the duration of these tasks.
const LONG_TASK_MS: std::ops::Range<u64> = 3_500..7_000;

/// The totals of one client, or of all clients.
#[derive(Debug, Default)]
pub(crate) struct JobStreamReport {
    pub(crate) jobs: u64,
    pub(crate) unanswered: Vec<UnansweredRequest>,
}

/// Submits jobs until `stop_requested` is set, then follows the last job to its end.
pub(crate) async fn run(
    mut client: JobClient,
    number: u64,
    mut random: Pcg32,
    stop_requested: Rc<Cell<bool>>,
) -> Result<JobStreamReport> {
    let mut jobs = 0;
    while !stop_requested.get() {
        jobs += 1;
        let id = format!("{number:08x}{jobs:08x}");
        if jobs % LONG_RUNNING_EVERY == 0 {
            follow_long_running(&mut client, &id).await?;
        } else if jobs % LONG_TASKS_EVERY == 0 {
            follow(&mut client, &id, &long_tasks(&mut random)).await?;
        } else {
            follow(&mut client, &id, &two_steps(&mut random)).await?;
        }
    }
    Ok(JobStreamReport {
        jobs,
        unanswered: client.into_unanswered(),
    })
}

async fn follow(client: &mut JobClient, id: &str, job: &Value) -> Result<()> {
    client.submit(id, job).await?;
    wait_for(client, id, JobState::Succeeded).await
}

async fn follow_long_running(client: &mut JobClient, id: &str) -> Result<()> {
    let job = json!({ "spec": "600000", "steps": [
        { "count": 2, "cpu": 500, "mem_mb": 64, "estimated_ms": 200, "long_running": true },
    ]});
    client.submit(id, &job).await?;
    wait_for(client, id, JobState::Running).await?;
    client.cancel(id).await?;
    wait_for(client, id, JobState::Cancelled).await
}

fn long_tasks(random: &mut Pcg32) -> Value {
    let work_ms = random.random_range(LONG_TASK_MS);
    json!({ "spec": work_ms.to_string(), "steps": [
        { "count": random.random_range(1..4), "cpu": 500, "mem_mb": 64, "estimated_ms": work_ms },
    ]})
}

fn two_steps(random: &mut Pcg32) -> Value {
    let work_ms: u64 = random.random_range(20..400);
    let counts: [u32; 2] = [random.random_range(1..6), random.random_range(1..4)];
    json!({ "spec": work_ms.to_string(), "steps": [
        { "count": counts[0], "cpu": 500, "mem_mb": 64, "estimated_ms": work_ms },
        { "count": counts[1], "cpu": 900, "mem_mb": 64, "estimated_ms": work_ms, "depends_on": [0] },
    ]})
}

/// Polls a job until it has the expected state. An accepted job must stay known, and must not leave a final
/// state.
async fn wait_for(client: &mut JobClient, id: &str, expected: JobState) -> Result<()> {
    loop {
        let state = client.state(id).await?;
        if state == expected {
            return Ok(());
        }
        if state.is_final() {
            bail!("job {id} is {state:?}, expected {expected:?}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
