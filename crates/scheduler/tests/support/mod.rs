//! A scheduler with hand-driven agents, in virtual time. Its replicated state is a map that a successor takes over.
#![allow(dead_code)]

pub mod given;

use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::heartbeat::{
    FinishedRun, Resources, RunningTask, StartCommand, WorkerState,
};
use streamusher_protocol::internal::{
    AgentCommands, AgentSync, ClientMethod, ClientRequest, ClientResponse, WorkerReport,
};
use streamusher_protocol::task::{RunEnd, RunId, TaskId};
use streamusher_protocol::{Millis, Now};
use streamusher_scheduler::{
    Effects, Event, OperatorRequest, OperatorRequestKind, Scheduler, SchedulerLimits,
    SchedulerResponse, SchedulerSettings,
};

pub const MAX_LEASE_MS: Millis = 6_000;
pub const JOB: &str = "5c0e7a21d94b36f8";
const UNIX_START: Millis = 1_790_000_000_000;

pub fn settings() -> SchedulerSettings {
    let limits = SchedulerLimits {
        max_lease_ms: MAX_LEASE_MS,
        ..SchedulerLimits::default()
    };
    SchedulerSettings {
        limits,
        random_seed: 1,
        fair_share: None,
        policy: streamusher_scheduler::Policy::default(),
    }
}

pub struct World {
    pub scheduler: Scheduler,
    pub state: BTreeMap<Arc<str>, Arc<str>>,
    pub now: Millis,
    /// What the scheduler wanted done, in order.
    pub effects: Vec<Effects>,
    settings: SchedulerSettings,
    epoch: u64,
    requests: u64,
    replies: BTreeMap<u64, SchedulerResponse>,
}

impl World {
    /// A primary with one queue, `/q/` of host `h`, whose tasks run at service `s`.
    pub fn new() -> World {
        World::with(settings())
    }

    pub fn with(settings: SchedulerSettings) -> World {
        let scheduler =
            Scheduler::recover(settings.clone(), 1, clock(0), Vec::new()).expect("empty state");
        let mut world = World {
            scheduler,
            state: BTreeMap::new(),
            now: 0,
            effects: Vec::new(),
            settings,
            epoch: 1,
            requests: 0,
            replies: BTreeMap::new(),
        };
        let body = r#"{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/q/","timeout_ms":3000,
            "target_latency_ms":800,"priority":0,"service":"s","max_attempts":2,"stretch":1.5}],
            "services":[{"name":"s","guards":false}]}"#;
        let order = OperatorRequest {
            kind: OperatorRequestKind::Replace,
            base: Some(0),
            body: body.into(),
        };
        let request = world.request();
        world.handle(Event::OperatorRequest {
            id: request,
            request: order,
        });
        world
    }

    fn request(&mut self) -> u64 {
        self.requests += 1;
        self.requests
    }

    pub fn handle(&mut self, event: Event) {
        let effects = self.scheduler.handle(clock(self.now), event);
        if !effects.is_empty() {
            self.effects.push(effects.clone());
        }
        for write in effects.writes {
            match write.value {
                Some(value) => self.state.insert(write.key, value),
                None => self.state.remove(&write.key),
            };
        }
        let responses = effects.responses.into_iter();
        self.replies
            .extend(responses.map(|pending| (pending.request, pending.response)));
    }

    /// Lets time pass, in ticks.
    pub fn wait(&mut self, span: Millis) {
        let until = self.now + span;
        while self.now < until {
            self.now = (self.now + 25).min(until);
            self.handle(Event::Tick);
        }
    }

    /// Another machine becomes primary, with the replicated state alone.
    pub fn fail_over(&mut self) {
        self.epoch += 1;
        let state = self.state.clone();
        self.scheduler =
            Scheduler::recover(self.settings.clone(), self.epoch, clock(self.now), state)
                .expect("own state");
        self.replies.clear();
    }

    pub fn call(&mut self, method: ClientMethod, path: &str, body: &str) -> ClientResponse {
        let request = self.request();
        let call = ClientRequest {
            method,
            host: "h".into(),
            path: path.into(),
            body: body.into(),
            configuration_version: 1,
        };
        self.handle(Event::ClientRequest {
            id: request,
            request: call,
        });
        match self.replies.remove(&request) {
            Some(SchedulerResponse::Client(reply)) => reply,
            other => panic!("no reply to a client's call: {other:?}"),
        }
    }

    pub fn submit(&mut self, steps: &str) -> ClientResponse {
        let body = format!(r#"{{"spec":"text","steps":{steps}}}"#);
        self.call(ClientMethod::Post, &format!("/q/{JOB}"), &body)
    }

    pub fn state_of_job(&mut self) -> String {
        let reply = self.call(ClientMethod::Get, &format!("/q/{JOB}"), "");
        reply.body.to_string()
    }

    /// An agent's call; the answer if it came at once.
    pub fn sync(&mut self, agent: &mut TestAgent) -> Option<AgentCommands> {
        let request = self.request();
        let sync = agent.next_call();
        self.handle(Event::AgentSync { id: request, sync });
        let orders = match self.replies.remove(&request) {
            Some(SchedulerResponse::Agent(orders)) => orders,
            _ => return None,
        };
        agent.obey(&orders);
        Some(orders)
    }

    /// The call of an agent whose worker has not called it yet.
    pub fn sync_without_worker(&mut self, agent: &mut TestAgent) -> Option<AgentCommands> {
        let request = self.request();
        let sync = AgentSync {
            worker: None,
            ..agent.next_call()
        };
        self.handle(Event::AgentSync { id: request, sync });
        match self.replies.remove(&request) {
            Some(SchedulerResponse::Agent(orders)) => Some(orders),
            _ => None,
        }
    }

    /// Calls until the agent holds the newest orders.
    pub fn settle(&mut self, agent: &mut TestAgent) {
        for _ in 0..5 {
            if self.sync(agent).is_none() {
                return;
            }
        }
    }
}

pub fn clock(now: Millis) -> Now {
    Now {
        steady_ms: now,
        unix_ms: UNIX_START + now,
    }
}

/// An agent and its worker, driven by the test.
pub struct TestAgent {
    name: Arc<str>,
    pub boot: u64,
    sequence: u64,
    epoch: u64,
    revision: u64,
    pub report: WorkerReport,
    pub start: Vec<StartCommand>,
    pub stop: Vec<RunId>,
    pub last_seen: u64,
    ends: u64,
}

impl TestAgent {
    pub fn new(name: &str, instance: &str) -> TestAgent {
        let report = WorkerReport {
            instance: instance.into(),
            sequence: 1,
            service: "s".into(),
            zone: "z".into(),
            capacity: Resources {
                cpu: 1_000,
                mem_mb: 1_000,
                gpu: 0,
            },
            labels: vec!["a".into(), "r1".into()],
            state: WorkerState::Ready,
            remaining_ms: None,
            gone: false,
            silent_ms: 0,
            running: Vec::new(),
            finished: Vec::new(),
            offered: Vec::new(),
        };
        TestAgent {
            name: name.into(),
            boot: 1,
            sequence: 0,
            epoch: 0,
            revision: 0,
            report,
            start: Vec::new(),
            stop: Vec::new(),
            last_seen: 0,
            ends: 0,
        }
    }

    fn next_call(&mut self) -> AgentSync {
        self.sequence += 1;
        AgentSync {
            agent: self.name.clone(),
            boot: self.boot,
            sequence: self.sequence,
            epoch: self.epoch,
            revision: self.revision,
            wait_ms: 700,
            worker: Some(self.report.clone()),
        }
    }

    fn obey(&mut self, orders: &AgentCommands) {
        if (orders.epoch, orders.revision) < (self.epoch, self.revision) {
            return;
        }
        (self.epoch, self.revision) = (orders.epoch, orders.revision);
        self.start = orders.start.clone();
        self.stop = orders
            .stop
            .iter()
            .map(|s| RunId {
                task: s.task.clone(),
                run: s.run,
            })
            .collect();
        self.last_seen = orders.last_seen;
    }

    /// The worker's next heartbeat shows all ordered starts as running.
    pub fn begin_all(&mut self) {
        self.report.sequence += 1;
        self.report.offered.clear();
        for start in std::mem::take(&mut self.start) {
            self.report.running.push(RunningTask {
                task: start.task,
                run: start.run,
                checkpoint: "".into(),
                percent: 0.0,
            });
        }
    }

    /// Ordered starts stand in an answer on its way to the worker.
    pub fn offer_all(&mut self) {
        self.report.offered = self
            .start
            .iter()
            .map(|s| RunId {
                task: s.task.clone(),
                run: s.run,
            })
            .collect();
    }

    /// The worker's next heartbeat: what was on its way did not begin.
    pub fn beat_without(&mut self) {
        self.report.sequence += 1;
        self.report.offered.clear();
    }

    /// All that runs ends.
    pub fn end_all(&mut self, how: RunEnd) {
        self.report.sequence += 1;
        for run in std::mem::take(&mut self.report.running) {
            self.ends += 1;
            self.report.finished.push(FinishedRun {
                number: self.ends,
                task: run.task,
                run: run.run,
                end: how,
                checkpoint: "".into(),
            });
        }
    }

    /// Another instance on the same machine.
    pub fn replace_worker(&mut self, instance: &str) {
        let zone = self.report.zone.clone();
        self.report = WorkerReport {
            zone,
            ..TestAgent::new("", instance).report
        };
        self.ends = 0;
    }

    pub fn running(&self) -> Vec<(TaskId, u32)> {
        self.report
            .running
            .iter()
            .map(|r| (r.task.clone(), r.run))
            .collect()
    }
}
