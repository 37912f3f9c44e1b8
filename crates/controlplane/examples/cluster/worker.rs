//! A simulated worker: it sends heartbeats to its agent, and "works" by waiting. A task's spec is the time that it takes, in
//! milliseconds.

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

/// A response that takes longer is not used.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of heartbeats, where the agent gives none.
const HEARTBEAT_INTERVAL_MS: Millis = 200;
/// Delay between the end of a run and the heartbeat that reports it.
const REPORT_DELAY_MS: Millis = 50;
/// How long a draining worker stays.
const DRAIN_MS: Millis = 20_000;
/// Duration of a task whose spec is no number.
const DEFAULT_WORK_MS: Millis = 500;

struct Run {
    started_at: Millis,
    duration_ms: Millis,
}

/// The worker.
pub(crate) struct SimulatedWorker {
    id: String,
    service: Arc<str>,
    agent: Client,
    drains: Rc<Cell<bool>>,
    sequence: u64,
    fence_token: u64,
    lease_until: Millis,
    running: BTreeMap<(TaskId, u32), Run>,
    finished: Vec<FinishedRun>,
    finished_count: u64,
}

impl SimulatedWorker {
    pub(crate) fn new(index: usize, service: &str, agent: SocketAddr) -> SimulatedWorker {
        SimulatedWorker {
            id: format!("worker-{}", index + 1),
            service: service.into(),
            agent: Client::new(agent),
            drains: Rc::default(),
            sequence: 0,
            fence_token: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            finished_count: 0,
        }
    }

    /// Set to true, it makes the worker drain.
    pub(crate) fn drain_switch(&self) -> Rc<Cell<bool>> {
        self.drains.clone()
    }

    /// Runs until the task is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            let sent_at = clock::steady();
            self.finish_due_runs(sent_at);
            let response = self.heartbeat(sent_at).await;
            let mut pause = HEARTBEAT_INTERVAL_MS;
            if let Some(response) = response {
                pause = response.retry_after_ms.unwrap_or(HEARTBEAT_INTERVAL_MS);
                self.apply(sent_at, response);
            }
            tokio::time::sleep(Duration::from_millis(self.pause(pause))).await;
        }
    }

    fn finish_due_runs(&mut self, now: Millis) {
        let lease_expired = now >= self.lease_until;
        let is_due = |run_state: &Run| now >= run_state.started_at + run_state.duration_ms;
        let ended: Vec<(TaskId, u32, RunEnd)> = self
            .running
            .iter()
            .filter(|(_, run_state)| lease_expired || is_due(run_state))
            .map(|((task, run), run_state)| {
                (
                    task.clone(),
                    *run,
                    if is_due(run_state) {
                        RunEnd::Done
                    } else {
                        RunEnd::LeaseExpired
                    },
                )
            })
            .collect();
        for (task, run, how) in ended {
            self.end(task, run, how);
        }
    }

    fn end(&mut self, task: TaskId, run: u32, how: RunEnd) {
        self.running.remove(&(task.clone(), run));
        self.finished_count += 1;
        self.finished.push(FinishedRun {
            number: self.finished_count,
            task,
            run,
            end: how,
            checkpoint: "".into(),
        });
    }

    async fn heartbeat(&mut self, now: Millis) -> Option<HeartbeatResponse> {
        self.sequence += 1;
        let drains = self.drains.get();
        let heartbeat = Heartbeat {
            service: self.service.clone(),
            zone: "loopback".into(),
            capacity: Resources {
                cpu: 8_000,
                mem_mb: 16_384,
                gpu: 0,
            },
            labels: vec!["a".into(), "r-1".into()],
            clock_ms: now,
            state: if drains {
                WorkerState::Draining
            } else {
                WorkerState::Ready
            },
            remaining_ms: drains.then_some(DRAIN_MS),
            sequence: self.sequence,
            running: self
                .running
                .iter()
                .map(|(key, run_state)| running_task(now, key, run_state))
                .collect(),
            finished: self.finished.clone(),
            ..Heartbeat::default()
        };
        let body = Bytes::from(serde_json::to_vec(&heartbeat).ok()?);
        let path = format!("{HEARTBEAT_PATH}{}", self.id);
        let request = http::Request::post(path)
            .header(CONTENT_TYPE, "application/json")
            .body(body)
            .ok()?;
        let response = self.agent.send(request, RESPONSE_TIMEOUT).await.ok()?;
        response
            .status()
            .is_success()
            .then(|| parse_json(response.body()).ok())?
    }

    fn apply(&mut self, sent_at: Millis, response: HeartbeatResponse) {
        if response.fence_token < self.fence_token {
            return;
        }
        self.fence_token = response.fence_token;
        let last_seen = response.last_seen.unwrap_or(0);
        self.finished.retain(|end| end.number > last_seen);
        let Some(hold_ms) = response.hold_ms else {
            return;
        };
        self.lease_until = self.lease_until.max(sent_at + hold_ms);
        for stop in response.stop {
            if self.running.contains_key(&(stop.task.clone(), stop.run)) {
                self.end(stop.task, stop.run, RunEnd::Stopped);
            }
        }
        for StartCommand {
            task, run, spec, ..
        } in response.start
        {
            let is_over = self
                .finished
                .iter()
                .any(|end| end.task == task && end.run == run);
            if !is_over {
                let duration_ms = spec.parse().unwrap_or(DEFAULT_WORK_MS);
                let run_state = Run {
                    started_at: clock::steady(),
                    duration_ms,
                };
                self.running.entry((task, run)).or_insert(run_state);
            }
        }
    }

    /// Until the next heartbeat: `wanted`, or sooner where a run ends before.
    fn pause(&self, wanted: Millis) -> Millis {
        let now = clock::steady();
        let ends = self
            .running
            .values()
            .map(|run_state| run_state.started_at + run_state.duration_ms + REPORT_DELAY_MS);
        let next = ends.min().map_or(wanted, |at| at.saturating_sub(now));
        next.min(wanted)
    }
}

fn running_task(now: Millis, key: &(TaskId, u32), run_state: &Run) -> RunningTask {
    let share = (now - run_state.started_at) as f64 / run_state.duration_ms.max(1) as f64;
    RunningTask {
        task: key.0.clone(),
        run: key.1,
        checkpoint: "".into(),
        percent: (share * 100.0).min(99.0).floor(),
    }
}
