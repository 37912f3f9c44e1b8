//! A job of many small tasks with a long `spec`, all of which one worker can hold.

use crate::calls::{client, job, submit};
use crate::fleet::pause;
use crate::{real_seeds, Play, WorkerPlan, GATES};

const TASKS: u32 = 2_200;
/// Without the disruption, the same tasks come as this many jobs, one after another.
const PARTS: u32 = 10;
const TASK_MS: u64 = 1_000;
const WATCH_S: u64 = 30;

pub fn play(mut play: Play) -> ! {
    let seeds = real_seeds(&play.fleet);
    let worker = |kind| WorkerPlan {
        capacity: (32_000, 131_072),
        kind,
    };
    let plans = [worker("a"), worker("a"), worker("b")];
    play.begin(&plans, false, |_| seeds.clone());
    let spec = format!("ms={TASK_MS};{}", "x".repeat(3_990));
    let more = ",\"node_selector\":\"b\"";
    let (jobs, tasks) = if play.trouble {
        (1, TASKS)
    } else {
        (PARTS, TASKS / PARTS)
    };
    let mut breaks = Vec::new();
    for number in 0..jobs {
        let id = format!("5c0e7a21d94b{number:02x}fa");
        let body = job(&spec, tasks, 7, 25, TASK_MS, more);
        if submit(&play.fleet, &play.record, GATES, &id, &body).is_none() {
            play.cannot_run("the job was not accepted");
        }
        breaks.extend(watch(&play, &id, tasks));
        if !breaks.is_empty() {
            break;
        }
    }
    play.judge("LOST", &breaks)
}

/// Watches a job until it is done, for 30 s at most. It has room for itself more than twice over, and the service
/// has nothing else to do: the rule is broken once nothing of it runs for 3 s while it is not done.
pub fn watch(play: &Play, id: &str, tasks: u32) -> Option<String> {
    let accepted_at = play.record.now();
    let mut idle_since = accepted_at;
    let mut longest_idle_ms = 0;
    for turn in 1..=WATCH_S * 20 {
        pause(50);
        let now = play.record.now();
        if play.workers.iter().any(|worker| worker.running() > 0) {
            idle_since = now;
        }
        longest_idle_ms = longest_idle_ms.max(now - idle_since);
        if turn % 20 != 0 {
            continue;
        }
        let answer = client(&play.fleet, &play.record, 0, "GET", id, "", 1_000);
        if answer.is_some_and(|answer| answer.body.contains("succeeded")) {
            break;
        }
    }
    let begun = play
        .executions()
        .iter()
        .filter(|one| one.task.starts_with(id))
        .count();
    play.record.line(&format!(
        "job {id}: {begun} of {tasks} tasks begun {} ms after its acceptance; nothing ran for up to {longest_idle_ms} ms",
        play.record.now() - accepted_at
    ));
    (longest_idle_ms > 3_000).then(|| {
        format!(
            "job {id} was accepted, and nothing of it ran for {longest_idle_ms} ms with all workers idle; \
             {begun} of {tasks} tasks have begun"
        )
    })
}
