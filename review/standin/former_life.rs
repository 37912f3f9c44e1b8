//! A worker crashes while its first heartbeat is on its way, and comes back before that heartbeat arrives.

use crate::calls::{job, submit, SERVICE};
use crate::fleet::{pause, Role, CONTROL_PORT};
use crate::long_answer::watch;
use crate::worker::Worker;
use crate::{real_seeds, Play, WorkerPlan, GATES};
use std::sync::Arc;

const JOB: &str = "5c0e7a21d94b36fa";
const TASKS: u32 = 3;
const CAPACITY: (u64, u64) = (16_000, 32_768);
/// How late the first heartbeat of the worker comes.
const LATE_MS: u64 = 2_500;
const CRASH_AFTER_MS: u64 = 1_000;
const DOWN_MS: u64 = 500;
/// Number of the machine whose worker crashes: the only one with a worker of kind `b`.
const MACHINE: u8 = 6;

pub fn play(mut play: Play) -> ! {
    let seeds = real_seeds(&play.fleet);
    let plans: Vec<WorkerPlan> = (0..MACHINE)
        .map(|_| WorkerPlan {
            capacity: CAPACITY,
            kind: "a",
        })
        .collect();
    play.fleet.start(Role::Agent, MACHINE, true, &seeds);
    play.begin(&plans, true, |_| seeds.clone());
    let worker = new_worker(&play, "i-7");
    play.record.line("i-7 starts");
    worker.start_late(LATE_MS);
    if play.trouble {
        pause(CRASH_AFTER_MS);
        worker.stop();
        play.record.line("i-7 crashes");
        pause(DOWN_MS);
        let next_life = new_worker(&play, "i-7b");
        play.record.line("i-7b starts, in place of i-7");
        next_life.start();
        play.workers.push(next_life);
    } else {
        pause(CRASH_AFTER_MS + DOWN_MS);
        play.workers.push(worker);
    }
    pause(5_000);
    let more = ",\"node_selector\":\"b\"";
    let body = job("ms=1000", TASKS, 520, 960, 1_000, more);
    if submit(&play.fleet, &play.record, GATES, JOB, &body).is_none() {
        play.cannot_run("the job was not accepted");
    }
    let breaks: Vec<String> = watch(&play, JOB, TASKS).into_iter().collect();
    if let Some(worker) = play.workers.last() {
        let answered = worker.answered();
        play.record.line(&format!(
            "{}: {answered} heartbeats were answered with 2xx",
            worker.name
        ));
    }
    play.judge("LOST", &breaks)
}

fn new_worker(play: &Play, name: &str) -> Arc<Worker> {
    Worker::new(
        name,
        SERVICE,
        CAPACITY,
        "b",
        play.fleet.address(Role::Agent, MACHINE, CONTROL_PORT),
        play.record.clone(),
        play.executions.clone(),
        true,
    )
}
