//! A simulated worker: it sends heartbeats to its agent, and simulates work by waiting. A task's spec is its
//! duration in milliseconds.

use crate::execution_log::SharedExecutionLog;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use streamusher_protocol::heartbeat::{
    FinishedRun, Heartbeat, HeartbeatResponse, Resources, RunningTask, StartCommand, WorkerState,
    HEARTBEAT_PATH,
};
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::Millis;
use streamusher_runtime::clock;
use streamusher_runtime::http::{parse_json, Client};

/// A response that takes longer is ignored.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of heartbeats if the agent's response contains none.
const HEARTBEAT_INTERVAL_MS: Millis = 200;
/// Interval of heartbeats while the agent does not answer, as in the settings of the machines.
const UNANSWERED_RETRY_MS: Millis = 500;
/// Delay between the end of a run and the heartbeat that reports it.
const REPORT_DELAY_MS: Millis = 50;
/// How long a draining worker remains available.
const DRAIN_MS: Millis = 20_000;
/// Duration of a task whose spec is not a number.
const DEFAULT_WORK_MS: Millis = 500;
const CAPACITY: Resources = Resources {
    cpu: 8_000,
    mem_mb: 16_384,
    gpu: 0,
};

/// Identifies a run of a task.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RunKey {
    task: TaskId,
    run: u32,
}

/// A simulated run.
struct Run {
    started_at: Millis,
    duration_ms: Millis,
}

impl Run {
    fn ends_at(&self) -> Millis {
        self.started_at + self.duration_ms
    }

    fn percent(&self, now: Millis) -> f64 {
        let share = (now - self.started_at) as f64 / self.duration_ms.max(1) as f64;
        (share * 100.0).min(99.0).floor()
    }
}

/// A worker that simulates its runs by waiting.
pub(crate) struct SimulatedWorker {
    id: String,
    service: Arc<str>,
    agent: Client,
    is_draining: Rc<Cell<bool>>,
    sequence: u64,
    fence_token: u64,
    lease_until: Millis,
    running: BTreeMap<RunKey, Run>,
    finished: Vec<FinishedRun>,
    finished_count: u64,
    executions: SharedExecutionLog,
}

impl SimulatedWorker {
    pub(crate) fn new(
        index: usize,
        service: &str,
        agent: SocketAddr,
        executions: SharedExecutionLog,
    ) -> SimulatedWorker {
        SimulatedWorker {
            id: format!("worker-{}", index + 1),
            service: service.into(),
            agent: Client::new(agent),
            is_draining: Rc::default(),
            sequence: 0,
            fence_token: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            finished_count: 0,
            executions,
        }
    }

    /// Returns a switch; setting it to true makes the worker drain.
    pub(crate) fn drain_switch(&self) -> Rc<Cell<bool>> {
        self.is_draining.clone()
    }

    /// Sends heartbeats until the future is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            let sent_at = clock::steady();
            self.finish_due_runs(sent_at);
            let response = self.heartbeat(sent_at).await;
            let mut interval_ms = UNANSWERED_RETRY_MS;
            if let Some(response) = response {
                interval_ms = response.retry_after_ms.unwrap_or(HEARTBEAT_INTERVAL_MS);
                self.apply(sent_at, response);
            }
            tokio::time::sleep(Duration::from_millis(self.pause_ms(interval_ms))).await;
        }
    }

    /// Ends the runs that are complete, or all runs if the lease has expired.
    fn finish_due_runs(&mut self, now: Millis) {
        let lease_expired = now >= self.lease_until;
        let mut finished = Vec::new();
        for (key, run) in &self.running {
            if now >= run.ends_at() {
                finished.push((key.clone(), RunEnd::Done));
            } else if lease_expired {
                finished.push((key.clone(), RunEnd::LeaseExpired));
            }
        }
        for (key, end) in finished {
            self.finish(key, end);
        }
    }

    fn finish(&mut self, key: RunKey, end: RunEnd) {
        self.running.remove(&key);
        self.executions.borrow_mut().on_end(&key.task, &self.id);
        self.finished_count += 1;
        self.finished.push(FinishedRun {
            number: self.finished_count,
            task: key.task,
            run: key.run,
            end,
            checkpoint: "".into(),
        });
    }

    async fn heartbeat(&mut self, now: Millis) -> Option<HeartbeatResponse> {
        self.sequence += 1;
        let heartbeat = self.heartbeat_body(now);
        let body = Bytes::from(serde_json::to_vec(&heartbeat).ok()?);
        let path = format!("{HEARTBEAT_PATH}{}", self.id);
        let request = http::Request::post(path)
            .header(CONTENT_TYPE, "application/json")
            .body(body)
            .ok()?;
        let response = self.agent.send(request, RESPONSE_TIMEOUT).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        parse_json(response.body()).ok()
    }

    fn heartbeat_body(&self, now: Millis) -> Heartbeat {
        let is_draining = self.is_draining.get();
        let state = if is_draining {
            WorkerState::Draining
        } else {
            WorkerState::Ready
        };
        let running = self.running.iter().map(|(key, run)| RunningTask {
            task: key.task.clone(),
            run: key.run,
            checkpoint: "".into(),
            percent: run.percent(now),
        });
        Heartbeat {
            service: self.service.clone(),
            zone: "loopback".into(),
            capacity: CAPACITY,
            labels: vec!["a".into(), "r-1".into()],
            clock_ms: now,
            state,
            remaining_ms: is_draining.then_some(DRAIN_MS),
            sequence: self.sequence,
            running: running.collect(),
            finished: self.finished.clone(),
            ..Heartbeat::default()
        }
    }

    fn apply(&mut self, sent_at: Millis, response: HeartbeatResponse) {
        if response.fence_token < self.fence_token {
            return;
        }
        self.fence_token = response.fence_token;
        let last_seen = response.last_seen.unwrap_or(0);
        self.finished.retain(|finished| finished.number > last_seen);
        let Some(hold_ms) = response.hold_ms else {
            return;
        };
        self.lease_until = self.lease_until.max(sent_at + hold_ms);
        self.executions
            .borrow_mut()
            .on_lease(&self.id, self.lease_until);
        for stop in response.stop {
            let key = RunKey {
                task: stop.task,
                run: stop.run,
            };
            if self.running.contains_key(&key) {
                self.finish(key, RunEnd::Stopped);
            }
        }
        for start in response.start {
            self.start(start);
        }
    }

    /// Starts a run, unless it was started before.
    fn start(&mut self, command: StartCommand) {
        let is_finished = self
            .finished
            .iter()
            .any(|finished| finished.task == command.task && finished.run == command.run);
        if is_finished {
            return;
        }
        let key = RunKey {
            task: command.task,
            run: command.run,
        };
        if self.running.contains_key(&key) {
            return;
        }
        let started_at = clock::steady();
        self.executions
            .borrow_mut()
            .on_start(started_at, &key.task, &self.id);
        let duration_ms = command.spec.parse().unwrap_or(DEFAULT_WORK_MS);
        self.running.insert(
            key,
            Run {
                started_at,
                duration_ms,
            },
        );
    }

    /// Time until the next heartbeat: `interval_ms`, or less if a run ends earlier.
    fn pause_ms(&self, interval_ms: Millis) -> Millis {
        let now = clock::steady();
        let next_report = self
            .running
            .values()
            .map(|run| run.ends_at() + REPORT_DELAY_MS)
            .min();
        match next_report {
            Some(report_at) => report_at.saturating_sub(now).min(interval_ms),
            None => interval_ms,
        }
    }
}
