//! A scheduler in virtual time, with agents that the tests control. The replicated state is a map from which
//! a new primary takes over.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

pub(crate) mod log_capture;
pub(crate) mod scenarios;

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

pub(crate) const MAX_LEASE_MS: Millis = 6_000;
pub(crate) const JOB: &str = "5c0e7a21d94b36f8";
const UNIX_START_MS: Millis = 1_790_000_000_000;

pub(crate) fn settings() -> SchedulerSettings {
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

pub(crate) struct TestCluster {
    pub(crate) scheduler: Scheduler,
    pub(crate) state: BTreeMap<Arc<str>, Arc<str>>,
    pub(crate) now: Millis,
    /// All effects of the scheduler, in order.
    pub(crate) effects: Vec<Effects>,
    settings: SchedulerSettings,
    epoch: u64,
    last_request_id: u64,
    responses: BTreeMap<u64, SchedulerResponse>,
}

impl TestCluster {
    /// Creates a primary with one queue, `/q/` of host `h`, whose tasks run on service `s`.
    pub(crate) fn new() -> TestCluster {
        TestCluster::with_settings(settings())
    }

    pub(crate) fn with_settings(settings: SchedulerSettings) -> TestCluster {
        let scheduler =
            Scheduler::recover(settings.clone(), 1, clock(0), Vec::new()).expect("empty state");
        let mut cluster = TestCluster {
            scheduler,
            state: BTreeMap::new(),
            now: 0,
            effects: Vec::new(),
            settings,
            epoch: 1,
            last_request_id: 0,
            responses: BTreeMap::new(),
        };
        let body = r#"{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/q/","timeout_ms":3000,
            "target_latency_ms":800,"priority":0,"service":"s","max_attempts":2,"stretch":1.5}],
            "services":[{"name":"s","guards":false}]}"#;
        let request = OperatorRequest {
            kind: OperatorRequestKind::Replace,
            base: Some(0),
            body: body.into(),
        };
        let id = cluster.next_request_id();
        cluster.handle(Event::OperatorRequest { id, request });
        cluster
    }

    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    pub(crate) fn handle(&mut self, event: Event) {
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
        self.responses
            .extend(responses.map(|pending| (pending.request, pending.response)));
    }

    /// Advances the time in ticks.
    pub(crate) fn wait(&mut self, span: Millis) {
        let until = self.now + span;
        while self.now < until {
            self.now = (self.now + 25).min(until);
            self.handle(Event::Tick);
        }
    }

    /// Replaces the primary by one on another machine, which has only the replicated state.
    pub(crate) fn take_over(&mut self) {
        self.take_over_with_recovery_time(0);
    }

    /// Replaces the primary by one whose recovery takes the given time.
    pub(crate) fn take_over_with_recovery_time(&mut self, recovery_ms: Millis) {
        self.epoch += 1;
        let state = self.state.clone();
        self.scheduler =
            Scheduler::recover(self.settings.clone(), self.epoch, clock(self.now), state)
                .expect("a state that a scheduler wrote");
        self.now += recovery_ms;
        self.scheduler.on_recovered(clock(self.now));
        self.responses.clear();
    }

    pub(crate) fn request(
        &mut self,
        method: ClientMethod,
        path: &str,
        body: &str,
    ) -> ClientResponse {
        let id = self.next_request_id();
        let request = ClientRequest {
            method,
            host: "h".into(),
            path: path.into(),
            body: body.into(),
            configuration_version: 1,
        };
        self.handle(Event::ClientRequest { id, request });
        match self.responses.remove(&id) {
            Some(SchedulerResponse::Client(response)) => response,
            other => panic!("no response to a client: {other:?}"),
        }
    }

    pub(crate) fn submit(&mut self, steps: &str) -> ClientResponse {
        let body = format!(r#"{{"spec":"text","steps":{steps}}}"#);
        self.request(ClientMethod::Post, &format!("/q/{JOB}"), &body)
    }

    pub(crate) fn job_status(&mut self) -> String {
        let response = self.request(ClientMethod::Get, &format!("/q/{JOB}"), "");
        response.body.to_string()
    }

    /// Sends an agent's request. Returns the response unless the request is deferred.
    pub(crate) fn sync(&mut self, agent: &mut TestAgent) -> Option<AgentCommands> {
        let id = self.next_request_id();
        let sync = agent.next_request();
        self.handle(Event::AgentSync { id, sync });
        let Some(SchedulerResponse::Agent(commands)) = self.responses.remove(&id) else {
            return None;
        };
        agent.apply(&commands);
        Some(commands)
    }

    /// Sends the request of an agent that its worker has not called yet.
    pub(crate) fn sync_without_worker(&mut self, agent: &mut TestAgent) -> Option<AgentCommands> {
        let id = self.next_request_id();
        let sync = AgentSync {
            worker: None,
            ..agent.next_request()
        };
        self.handle(Event::AgentSync { id, sync });
        match self.responses.remove(&id) {
            Some(SchedulerResponse::Agent(commands)) => Some(commands),
            _ => None,
        }
    }

    /// Sends requests until the agent holds the newest commands.
    pub(crate) fn settle(&mut self, agent: &mut TestAgent) {
        for _ in 0..5 {
            if self.sync(agent).is_none() {
                return;
            }
        }
    }
}

pub(crate) fn clock(now: Millis) -> Now {
    Now {
        steady_ms: now,
        unix_ms: UNIX_START_MS + now,
    }
}

/// An agent and its worker, controlled by the test.
pub(crate) struct TestAgent {
    name: Arc<str>,
    pub(crate) boot: u64,
    sequence: u64,
    epoch: u64,
    revision: u64,
    pub(crate) report: WorkerReport,
    pub(crate) start: Vec<StartCommand>,
    pub(crate) stop: Vec<RunId>,
    pub(crate) last_seen: u64,
    last_finished: u64,
}

impl TestAgent {
    pub(crate) fn new(name: &str, instance: &str) -> TestAgent {
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
            last_finished: 0,
        }
    }

    fn next_request(&mut self) -> AgentSync {
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

    fn apply(&mut self, commands: &AgentCommands) {
        if (commands.epoch, commands.revision) < (self.epoch, self.revision) {
            return;
        }
        (self.epoch, self.revision) = (commands.epoch, commands.revision);
        self.start.clone_from(&commands.start);
        self.stop = commands
            .stop
            .iter()
            .map(|command| RunId {
                task: command.task.clone(),
                run: command.run,
            })
            .collect();
        self.last_seen = commands.last_seen;
    }

    /// Makes the worker's next heartbeat report all commanded starts as running.
    pub(crate) fn start_all(&mut self) {
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

    /// Puts the commanded starts into a response that is being sent to the worker.
    pub(crate) fn offer_starts(&mut self) {
        self.report.offered = self
            .start
            .iter()
            .map(|command| RunId {
                task: command.task.clone(),
                run: command.run,
            })
            .collect();
    }

    /// Makes the worker's next heartbeat show that the offered starts did not take effect.
    pub(crate) fn heartbeat_without_starts(&mut self) {
        self.report.sequence += 1;
        self.report.offered.clear();
    }

    /// Finishes all runs with the given outcome.
    pub(crate) fn finish_all(&mut self, outcome: RunEnd) {
        self.report.sequence += 1;
        for run in std::mem::take(&mut self.report.running) {
            self.last_finished += 1;
            self.report.finished.push(FinishedRun {
                number: self.last_finished,
                task: run.task,
                run: run.run,
                end: outcome,
                checkpoint: "".into(),
            });
        }
    }

    /// Replaces the worker by another instance on the same machine.
    pub(crate) fn replace_worker(&mut self, instance: &str) {
        let zone = self.report.zone.clone();
        self.report = WorkerReport {
            zone,
            ..TestAgent::new("", instance).report
        };
        self.last_finished = 0;
    }

    pub(crate) fn running(&self) -> Vec<(TaskId, u32)> {
        self.report
            .running
            .iter()
            .map(|running| (running.task.clone(), running.run))
            .collect()
    }
}
