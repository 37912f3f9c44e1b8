//! A stand-in for an application's worker: it sends heartbeats to its agent, and "works" by waiting. A task's spec is the
//! time that it takes, in milliseconds.

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

/// An answer that takes longer is not used.
const ANSWER_DEADLINE: Duration = Duration::from_secs(1);
/// Between two heartbeats, where the agent does not say.
const PAUSE_MS: Millis = 200;
/// Between an end and the heartbeat that tells of it.
const AFTER_AN_END_MS: Millis = 50;
/// How much longer a draining worker is there.
const LEAVES_IN_MS: Millis = 20_000;
/// What a task takes whose spec is no number.
const DEFAULT_WORK_MS: Millis = 500;

struct Work {
    began_at: Millis,
    takes_ms: Millis,
}

/// The worker.
pub struct StandIn {
    id: String,
    service: Arc<str>,
    agent: Client,
    drains: Rc<Cell<bool>>,
    sequence: u64,
    fence_token: u64,
    hold_until: Millis,
    running: BTreeMap<(TaskId, u32), Work>,
    finished: Vec<FinishedRun>,
    ends: u64,
}

impl StandIn {
    pub fn new(number: usize, service: &str, agent: SocketAddr) -> StandIn {
        StandIn {
            id: format!("worker-{}", number + 1),
            service: service.into(),
            agent: Client::new(agent),
            drains: Rc::default(),
            sequence: 0,
            fence_token: 0,
            hold_until: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            ends: 0,
        }
    }

    /// Set to true, it makes the worker drain.
    pub fn drains(&self) -> Rc<Cell<bool>> {
        self.drains.clone()
    }

    /// Works until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let sent_at = clock::steady();
            self.end_what_is_over(sent_at);
            let answer = self.heartbeat(sent_at).await;
            let mut pause = PAUSE_MS;
            if let Some(answer) = answer {
                pause = answer.retry_after_ms.unwrap_or(PAUSE_MS);
                self.obey(sent_at, answer);
            }
            tokio::time::sleep(Duration::from_millis(self.pause(pause))).await;
        }
    }

    fn end_what_is_over(&mut self, now: Millis) {
        let lapsed = now >= self.hold_until;
        let over = |work: &Work| now >= work.began_at + work.takes_ms;
        let ended: Vec<(TaskId, u32, RunEnd)> = self
            .running
            .iter()
            .filter(|(_, work)| lapsed || over(work))
            .map(|((task, run), work)| {
                (
                    task.clone(),
                    *run,
                    if over(work) {
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
        self.ends += 1;
        self.finished.push(FinishedRun {
            number: self.ends,
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
            remaining_ms: drains.then_some(LEAVES_IN_MS),
            sequence: self.sequence,
            running: self
                .running
                .iter()
                .map(|(key, work)| listed(now, key, work))
                .collect(),
            finished: self.finished.clone(),
            ..Heartbeat::default()
        };
        let body = Bytes::from(serde_json::to_vec(&heartbeat).ok()?);
        let path = format!("{HEARTBEAT_PATH}{}", self.id);
        let call = http::Request::post(path)
            .header(CONTENT_TYPE, "application/json")
            .body(body)
            .ok()?;
        let answer = self.agent.send(call, ANSWER_DEADLINE).await.ok()?;
        answer
            .status()
            .is_success()
            .then(|| parse_json(answer.body()).ok())?
    }

    fn obey(&mut self, sent_at: Millis, answer: HeartbeatResponse) {
        if answer.fence_token < self.fence_token {
            return;
        }
        self.fence_token = answer.fence_token;
        let last_seen = answer.last_seen.unwrap_or(0);
        self.finished.retain(|end| end.number > last_seen);
        let Some(hold_ms) = answer.hold_ms else {
            return;
        };
        self.hold_until = self.hold_until.max(sent_at + hold_ms);
        for stop in answer.stop {
            if self.running.contains_key(&(stop.task.clone(), stop.run)) {
                self.end(stop.task, stop.run, RunEnd::Stopped);
            }
        }
        for StartCommand {
            task, run, spec, ..
        } in answer.start
        {
            let is_over = self
                .finished
                .iter()
                .any(|end| end.task == task && end.run == run);
            if !is_over {
                let takes_ms = spec.parse().unwrap_or(DEFAULT_WORK_MS);
                let work = Work {
                    began_at: clock::steady(),
                    takes_ms,
                };
                self.running.entry((task, run)).or_insert(work);
            }
        }
    }

    /// Until the next heartbeat: `wanted`, or sooner where a run ends before.
    fn pause(&self, wanted: Millis) -> Millis {
        let now = clock::steady();
        let ends = self
            .running
            .values()
            .map(|work| work.began_at + work.takes_ms + AFTER_AN_END_MS);
        let next = ends.min().map_or(wanted, |at| at.saturating_sub(now));
        next.min(wanted)
    }
}

fn listed(now: Millis, key: &(TaskId, u32), work: &Work) -> RunningTask {
    let share = (now - work.began_at) as f64 / work.takes_ms.max(1) as f64;
    RunningTask {
        task: key.0.clone(),
        run: key.1,
        checkpoint: "".into(),
        percent: (share * 100.0).min(99.0).floor(),
    }
}
