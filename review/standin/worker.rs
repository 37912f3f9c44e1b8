//! A stand-in worker, as PROTOCOL.md ("Running tasks", "Service discovery") describes one. It does not guard its
//! capacity. A task's `spec` is `ms=N` and any filling after a semicolon: it ends `done` after N milliseconds.

use crate::http::call;
use crate::json::{quoted, Json};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// One execution of a task; times in milliseconds since the start of the play.
#[derive(Clone, Debug)]
pub struct Execution {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub from: u64,
    pub to: Option<u64>,
    pub how: &'static str,
}

struct Running {
    run: u64,
    ends_at: u64,
    started_at: u64,
}

struct Finished {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    sequence: u64,
    fence: u64,
    hold_until: u64,
    running: BTreeMap<String, Running>,
    finished: Vec<Finished>,
    last_number: u64,
    /// The highest run of a task that was stopped or ended here.
    over: BTreeMap<String, u64>,
}

pub struct Worker {
    pub name: String,
    pub service: String,
    pub cpu: u64,
    pub mem_mb: u64,
    kind: String,
    agent: SocketAddr,
    record: Arc<Record>,
    executions: Arc<Mutex<Vec<Execution>>>,
    state: Mutex<State>,
    stopping: AtomicBool,
    /// Time of the next heartbeat.
    next_at: AtomicU64,
    answered: AtomicU64,
    /// Whether starts and ends are written to the record one by one.
    pub verbose: bool,
}

impl Worker {
    pub fn new(
        name: &str,
        service: &str,
        capacity: (u64, u64),
        kind: &str,
        agent: SocketAddr,
        record: Arc<Record>,
        executions: Arc<Mutex<Vec<Execution>>>,
        verbose: bool,
    ) -> Arc<Worker> {
        Arc::new(Worker {
            name: name.into(),
            service: service.into(),
            cpu: capacity.0,
            mem_mb: capacity.1,
            kind: kind.into(),
            agent,
            record,
            executions,
            state: Mutex::default(),
            stopping: AtomicBool::new(false),
            next_at: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            verbose,
        })
    }

    /// Starts the worker's two threads: its clock, and its heartbeats.
    pub fn start(self: &Arc<Worker>) {
        let worker = self.clone();
        std::thread::spawn(move || {
            while !worker.stopping.load(Ordering::Relaxed) {
                worker.tick();
                std::thread::sleep(Duration::from_millis(3));
            }
        });
        let worker = self.clone();
        std::thread::spawn(move || worker.send_heartbeats());
    }

    /// Starts the worker, whose first heartbeat comes `late_ms` late. There is no answer to it within a second,
    /// so the next heartbeat follows as after one that failed.
    pub fn start_late(self: &Arc<Worker>, late_ms: u64) {
        let body = self.heartbeat();
        let (agent, record, name) = (self.agent, self.record.clone(), self.name.clone());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(late_ms));
            let path = format!("/streamusher/Instances.Heartbeat/{name}");
            let answer = call(agent, "POST", &path, &[], &body, Duration::from_secs(1));
            let status = answer.map_or(0, |answer| answer.status);
            record.line(&format!(
                "the first heartbeat of {name} arrives, {late_ms} ms late, and is answered {status}"
            ));
        });
        let next_at = self.record.now() + HEARTBEAT_MS;
        self.next_at.store(next_at, Ordering::Relaxed);
        self.start();
    }

    /// Number of heartbeats that were answered with 2xx in time.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub fn running(&self) -> usize {
        self.state.lock().expect("worker").running.len()
    }

    fn tick(&self) {
        let now = self.record.now();
        let mut state = self.state.lock().expect("worker");
        let lapsed = now > state.hold_until;
        let over: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, running)| match (lapsed, now >= running.ends_at) {
                (_, true) => Some((task.clone(), "done")),
                (true, false) => Some((task.clone(), "lapsed")),
                _ => None,
            })
            .collect();
        for (task, how) in over {
            self.end(&mut state, now, &task, how);
        }
    }

    fn end(&self, state: &mut State, now: u64, task: &str, how: &'static str) {
        let Some(running) = state.running.remove(task) else {
            return;
        };
        self.list_end(state, task, running.run, how);
        let mut executions = self.executions.lock().expect("executions");
        let open = executions.iter_mut().rev().find(|one| {
            one.worker == self.name
                && one.task == task
                && one.run == running.run
                && one.to.is_none()
        });
        if let Some(open) = open {
            open.to = Some(now);
            open.how = how;
        }
        drop(executions);
        if self.verbose {
            let ran_ms = now - running.started_at;
            self.record.line(&format!(
                "{}: {task} run {} ended {how} after {ran_ms} ms",
                self.name, running.run
            ));
        }
    }

    fn list_end(&self, state: &mut State, task: &str, run: u64, how: &'static str) {
        state.last_number += 1;
        let number = state.last_number;
        let over = state.over.entry(task.into()).or_default();
        *over = (*over).max(run);
        state.finished.push(Finished {
            number,
            task: task.into(),
            run,
            how,
        });
    }

    fn send_heartbeats(&self) {
        while !self.stopping.load(Ordering::Relaxed) {
            let now = self.record.now();
            if now < self.next_at.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            let retry_after_ms = self.send_heartbeat();
            let next_at = self.record.now() + retry_after_ms;
            self.next_at.store(next_at, Ordering::Relaxed);
        }
    }

    /// Sends one heartbeat; returns the time until the next one.
    fn send_heartbeat(&self) -> u64 {
        let body = self.heartbeat();
        let sent_at = self.record.now();
        let path = format!("/streamusher/Instances.Heartbeat/{}", self.name);
        let answer = call(
            self.agent,
            "POST",
            &path,
            &[],
            &body,
            Duration::from_secs(1),
        );
        let Some(answer) = answer.filter(|answer| answer.status / 100 == 2) else {
            return HEARTBEAT_MS;
        };
        if self.record.now() > sent_at + 1_000 {
            return HEARTBEAT_MS;
        }
        let Some(answer) = Json::parse(&answer.body) else {
            return HEARTBEAT_MS;
        };
        self.answered.fetch_add(1, Ordering::Relaxed);
        self.obey(sent_at, &answer);
        answer
            .get("retry_after_ms")
            .and_then(Json::number)
            .unwrap_or(HEARTBEAT_MS)
    }

    fn heartbeat(&self) -> String {
        let now = self.record.now();
        let mut state = self.state.lock().expect("worker");
        state.sequence += 1;
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, running)| {
                let length = (running.ends_at - running.started_at).max(1);
                let percent = (now - running.started_at).min(length) * 100 / length;
                format!("[\"{task}\",{},\"\",{percent}]", running.run)
            })
            .collect();
        let finished: Vec<String> = state
            .finished
            .iter()
            .take(500)
            .map(|one| {
                format!(
                    "[{},\"{}\",{},\"{}\",\"\"]",
                    one.number, one.task, one.run, one.how
                )
            })
            .collect();
        format!(
            "{{\"service\":{},\"address\":\"127.0.0.1:8145\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"warmup_left_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\
             \"labels\":[{},\"r1-1\"],\"clock_ms\":{now},\"sequence\":{},\"running\":[{}],\"finished\":[{}]}}",
            quoted(&self.service),
            self.cpu,
            self.mem_mb,
            quoted(&self.kind),
            state.sequence,
            running.join(","),
            finished.join(",")
        )
    }

    /// Does what the answer to a heartbeat sent at `sent_at` says.
    fn obey(&self, sent_at: u64, answer: &Json) {
        let now = self.record.now();
        let mut state = self.state.lock().expect("worker");
        let fence = answer
            .get("fence_token")
            .and_then(Json::number)
            .unwrap_or(0);
        if fence < state.fence {
            return;
        }
        state.fence = fence;
        if let Some(last_seen) = answer.get("last_seen").and_then(Json::number) {
            state.finished.retain(|one| one.number > last_seen);
        }
        let hold_ms = answer.get("hold_ms").and_then(Json::number);
        if let Some(hold_ms) = hold_ms {
            let until = sent_at + hold_ms.min(HOLD_MAX_MS);
            state.hold_until = state.hold_until.max(until);
        }
        for command in answer.get("stop").map_or(&[][..], Json::list) {
            let [task, run] = command.list() else {
                continue;
            };
            let (task, run) = (task.text(), run.number().unwrap_or(0));
            if state.running.get(task).is_some_and(|one| one.run == run) {
                self.end(&mut state, now, task, "stopped");
            } else {
                let over = state.over.entry(task.into()).or_default();
                *over = (*over).max(run);
            }
        }
        if hold_ms.is_none() {
            return;
        }
        for command in answer.get("start").map_or(&[][..], Json::list) {
            let [task, run, spec, _saved] = command.list() else {
                continue;
            };
            self.begin(
                &mut state,
                now,
                task.text(),
                run.number().unwrap_or(0),
                spec.text(),
            );
        }
    }

    fn begin(&self, state: &mut State, now: u64, task: &str, run: u64, spec: &str) {
        let is_over = state.over.get(task).is_some_and(|over| run <= *over);
        if is_over || state.running.contains_key(task) {
            if !state.running.get(task).is_some_and(|one| one.run == run) {
                self.list_end(state, task, run, "refused");
            }
            return;
        }
        let work = spec.split(';').next().unwrap_or_default();
        let work_ms: u64 = work
            .strip_prefix("ms=")
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(1_000);
        state.running.insert(
            task.into(),
            Running {
                run,
                started_at: now,
                ends_at: now + work_ms,
            },
        );
        self.executions.lock().expect("executions").push(Execution {
            worker: self.name.clone(),
            task: task.into(),
            run,
            from: now,
            to: None,
            how: "running",
        });
        if self.verbose {
            self.record
                .line(&format!("{}: {task} run {run} started", self.name));
        }
    }
}

const HEARTBEAT_MS: u64 = 1_500;
const HOLD_MAX_MS: u64 = 6_000;
