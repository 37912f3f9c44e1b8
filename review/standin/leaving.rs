//! A worker deregisters, serves on while its tasks end, and ends.

use crate::calls::{client, job, submit};
use crate::fleet::pause;
use crate::worker::Execution;
use crate::{real_seeds, Play, WorkerPlan, GATES};

const JOB: &str = "5c0e7a21d94b36f8";
const NOTED_MS: u64 = 100;

pub fn play(mut play: Play) -> ! {
    let seeds = real_seeds(&play.fleet);
    let plans: Vec<WorkerPlan> = (0..6)
        .map(|_| WorkerPlan {
            capacity: (16_000, 32_768),
            kind: "a",
        })
        .collect();
    play.begin(&plans, true, |_| seeds.clone());
    let body = job("ms=3000", 18, 520, 960, 3_000, "");
    if submit(&play.fleet, &play.record, GATES, JOB, &body).is_none() {
        play.cannot_run("the job was not accepted");
    }
    pause(1_000);
    if play.workers[0].running() == 0 {
        play.cannot_run("nothing runs at the first worker");
    }
    if play.trouble {
        play.workers[0].deregister();
    }
    pause(5_000);
    if play.trouble {
        play.workers[0].stop();
    }
    pause(8_000);
    client(&play.fleet, &play.record, 1, "GET", JOB, "", 1_000);
    let breaks = after_done(&play.executions());
    play.judge("TWICE", &breaks)
}

/// Starts of tasks a run of which had ended `done` and was listed in a heartbeat more than 100 ms before.
fn after_done(executions: &[Execution]) -> Vec<String> {
    let mut breaks = Vec::new();
    for done in executions.iter().filter(|one| one.how == "done") {
        let Some(listed) = done.listed else { continue };
        let again = |one: &&Execution| one.task == done.task && one.from > listed + NOTED_MS;
        for one in executions.iter().filter(again) {
            breaks.push(format!(
                "task {} ended done at {} (run {}) and was started again at {} (run {}) {} ms after that end was listed",
                done.task, done.worker, done.run, one.worker, one.run, one.from - listed
            ));
        }
    }
    breaks
}
