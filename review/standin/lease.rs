//! An agent is killed, comes back after a second, and is cut off before its worker's next heartbeat.

use crate::calls::{client, job, submit};
use crate::fleet::{pause, Role, CONTROL_PORT, INTERNAL_PORT};
use crate::relay::Network;
use crate::worker::Execution;
use crate::{real_seeds, Play, WorkerPlan, CONTROLS, GATES};

const JOB: &str = "5c0e7a21d94b36fa";
const RESTART_AFTER_MS: u64 = 1_000;
const CUT_AFTER_MS: u64 = 250;
const CUT_MS: u64 = 5_500;

pub fn play(mut play: Play) -> ! {
    let network = start_network(&play);
    let outside: Vec<String> = (0..CONTROLS)
        .map(|number| translated(&play, number))
        .collect();
    let seeds = real_seeds(&play.fleet);
    let plans: Vec<WorkerPlan> = (0..6)
        .map(|_| WorkerPlan {
            capacity: (16_000, 32_768),
            kind: "a",
        })
        .collect();
    play.begin(&plans, true, |number| {
        if number == 0 {
            outside.clone()
        } else {
            seeds.clone()
        }
    });
    let body = job("ms=14000", 18, 520, 960, 14_000, "");
    if submit(&play.fleet, &play.record, GATES, JOB, &body).is_none() {
        play.cannot_run("the job was not accepted");
    }
    pause(3_000);
    if play.workers[0].running() == 0 {
        play.cannot_run("nothing runs at the first worker");
    }
    if play.trouble {
        play.fleet.kill("side-1");
        pause(RESTART_AFTER_MS);
        play.fleet.start(Role::Agent, 0, false, &outside);
        pause(CUT_AFTER_MS);
        play.record
            .line("side-1 is cut off from all control machines");
        network.set_cut(true);
        pause(CUT_MS);
        network.set_cut(false);
        play.record.line("side-1 is no longer cut off");
        pause(8_000);
    } else {
        pause(RESTART_AFTER_MS + CUT_AFTER_MS + CUT_MS + 8_000);
    }
    for _ in 0..15 {
        let answer = client(&play.fleet, &play.record, 1, "GET", JOB, "", 1_000);
        if answer.is_some_and(|answer| answer.body.contains("succeeded")) {
            break;
        }
        pause(1_000);
    }
    let breaks = twice(&play.executions());
    play.judge("TWICE", &breaks)
}

/// Pairs of executions of one task at the same time.
fn twice(executions: &[Execution]) -> Vec<String> {
    let mut breaks = Vec::new();
    for (index, one) in executions.iter().enumerate() {
        for other in &executions[index + 1..] {
            let from = one.from.max(other.from);
            let to = one.to.unwrap_or(u64::MAX).min(other.to.unwrap_or(u64::MAX));
            if one.task == other.task && from < to {
                breaks.push(format!(
                    "task {} ran at {} (run {}, ended {}) and at {} (run {}, ended {}) at once for {} ms",
                    one.task, one.worker, one.run, one.how, other.worker, other.run, other.how, to - from
                ));
            }
        }
    }
    breaks
}

/// Address at which the first side machine reaches a control machine.
fn translated(play: &Play, number: u8) -> String {
    format!("{}.{}", play.fleet.net(), 201 + number)
}

fn start_network(play: &Play) -> Network {
    let mut pairs = Vec::new();
    let mut addresses = Vec::new();
    for number in 0..CONTROLS {
        let (real, shown) = (
            play.fleet.ip(Role::Control, number),
            translated(play, number),
        );
        for port in [INTERNAL_PORT, CONTROL_PORT] {
            let listen = format!("{shown}:{port}").parse().expect("address");
            pairs.push((listen, play.fleet.address(Role::Control, number, port)));
        }
        addresses.push((format!("{real}:"), format!("{shown}:")));
    }
    Network::start(&pairs, &addresses)
}
