//! One worker, its agent and the primary, connected by messages that a test delivers, delays or loses.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use streamusher_dataplane::agent::{Agent, AgentAction, AgentEvent, AgentSettings};
use streamusher_protocol::heartbeat::{
    Heartbeat, HeartbeatResponse, Resources, RunningTask, WorkerState,
};
use streamusher_protocol::internal::{AgentCommands, AgentSync, ClientMethod, ClientRequest};
use streamusher_protocol::store::Write;
use streamusher_protocol::task::RunId;
use streamusher_protocol::{Millis, Now};
use streamusher_scheduler::{
    Event, OperatorRequest, OperatorRequestKind, Policy, Scheduler, SchedulerLimits,
    SchedulerResponse, SchedulerSettings,
};

const HOLD_MAX_MS: Millis = 4_000;
const HEARTBEAT_MS: Millis = 1_500;
const WAIT_MS: Millis = 900;
const TICK_MS: Millis = 50;
const AGENT: &str = "side-1";
const UNIX_START_MS: Millis = 1_790_000_000_000;
const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/q/","timeout_ms":3000,
    "target_latency_ms":800,"priority":0,"service":"s","max_attempts":9,"stretch":1.5}],
    "services":[{"name":"s","guards":false}]}"#;
const JOB: &str =
    r#"{"spec":"text","steps":[{"count":1,"cpu":600,"mem_mb":10,"estimated_ms":60000}]}"#;

/// One step of a model's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The worker sends a heartbeat.
    Heartbeat,
    /// The oldest sync on its way reaches the primary, and the agent receives the response, if there is one.
    DeliverOldestSync,
    /// As before, for the newest sync.
    DeliverNewestSync,
    /// The newest sync is lost.
    LoseSync,
    /// The agent is killed and restarts.
    RestartAgent,
    /// The worker crashes, and its next instance starts.
    RestartWorker,
    /// Another primary takes over.
    TakeOver,
    /// Time passes.
    Wait,
}

impl Step {
    pub(crate) const ALL: [Step; 8] = [
        Step::Heartbeat,
        Step::DeliverOldestSync,
        Step::DeliverNewestSync,
        Step::LoseSync,
        Step::RestartAgent,
        Step::RestartWorker,
        Step::TakeOver,
        Step::Wait,
    ];
}

/// The worker: its runs, and the time until which it may run them.
struct ModelWorker {
    incarnation: u32,
    sequence: u64,
    sent_at: Millis,
    running: Vec<RunId>,
    hold_until: Millis,
}

impl ModelWorker {
    fn instance(&self) -> Arc<str> {
        format!("i-{}", self.incarnation).into()
    }

    fn next_heartbeat(&mut self, now: Millis) -> Heartbeat {
        if self.hold_until <= now {
            self.running.clear();
        }
        self.sequence += 1;
        self.sent_at = now;
        let running = self.running.iter().map(|run| RunningTask {
            task: run.task.clone(),
            run: run.run,
            checkpoint: "".into(),
            percent: 1.0,
        });
        Heartbeat {
            service: "s".into(),
            zone: "z".into(),
            capacity: Resources {
                cpu: 1_000,
                mem_mb: 1_000,
                gpu: 0,
            },
            state: WorkerState::Ready,
            sequence: self.sequence,
            running: running.collect(),
            ..Heartbeat::default()
        }
    }

    /// Applies a response; returns whether it grants a hold.
    fn apply(&mut self, now: Millis, response: HeartbeatResponse) -> bool {
        let Some(hold_ms) = response.hold_ms else {
            return false;
        };
        self.hold_until = self.hold_until.max(self.sent_at + hold_ms);
        let stopped = |run: &RunId| {
            let mut stops = response.stop.iter();
            stops.any(|stop| stop.task == run.task && stop.run == run.run)
        };
        self.running.retain(|run| !stopped(run));
        if self.hold_until > now {
            let started = response.start.into_iter().map(|start| RunId {
                task: start.task,
                run: start.run,
            });
            self.running.extend(started);
        }
        true
    }
}

/// A sync that the primary has not answered yet.
#[derive(Clone, Copy, Debug)]
struct HeldSync {
    request: u64,
    boot: u64,
    sequence: u64,
}

/// The worker, its agent, the primary, and the messages between them.
pub(crate) struct System {
    now: Millis,
    scheduler: Scheduler,
    records: BTreeMap<Arc<str>, Arc<str>>,
    epoch: u64,
    agent: Agent,
    boot: u64,
    worker: ModelWorker,
    last_request_id: u64,
    /// The request number of the worker's newest heartbeat.
    heartbeat_id: u64,
    /// Syncs that have not reached the primary.
    syncs: VecDeque<AgentSync>,
    /// The sync that the primary holds.
    held: Option<HeldSync>,
    granted: bool,
}

impl System {
    /// A system whose worker runs the only task, with all messages delivered.
    pub(crate) fn with_running_task() -> System {
        let now = 1_000;
        let mut system = System {
            now,
            scheduler: Scheduler::recover(scheduler_settings(), 1, clock(now), Vec::new())
                .expect("an empty state"),
            records: BTreeMap::new(),
            epoch: 1,
            agent: Agent::new(agent_settings(1), now),
            boot: 1,
            worker: ModelWorker {
                incarnation: 1,
                sequence: 0,
                sent_at: now,
                running: Vec::new(),
                hold_until: 0,
            },
            last_request_id: 0,
            heartbeat_id: 0,
            syncs: VecDeque::new(),
            held: None,
            granted: false,
        };
        let configure = OperatorRequest {
            kind: OperatorRequestKind::Replace,
            base: Some(0),
            body: CONFIGURATION.into(),
        };
        system.run_scheduler(Event::OperatorRequest {
            id: 0,
            request: configure,
        });
        system.take(Step::Heartbeat);
        system.deliver_all();
        let submit = ClientRequest {
            method: ClientMethod::Post,
            host: "h".into(),
            path: "/q/5c0e7a21d94b36f8".into(),
            body: JOB.into(),
            configuration_version: 1,
        };
        system.run_scheduler(Event::ClientRequest {
            id: 0,
            request: submit,
        });
        for _ in 0..4 {
            system.take(Step::Heartbeat);
            system.pass(TICK_MS);
            system.deliver_all();
        }
        assert_eq!(system.worker.running.len(), 1, "the task is running");
        system
    }

    /// Takes a step; returns whether a hold was granted in it.
    pub(crate) fn take(&mut self, step: Step) -> bool {
        self.granted = false;
        match step {
            Step::Heartbeat => self.heartbeat(),
            Step::DeliverOldestSync => self.deliver(VecDeque::pop_front),
            Step::DeliverNewestSync => self.deliver(VecDeque::pop_back),
            Step::LoseSync => {
                if let Some(AgentSync { sequence, .. }) = self.syncs.pop_back() {
                    self.handle(AgentEvent::SyncFailed { sequence });
                }
            }
            Step::RestartAgent => {
                self.heartbeat_id = 0;
                self.boot += 1;
                self.agent = Agent::new(agent_settings(self.boot), self.now);
            }
            Step::RestartWorker => {
                self.heartbeat_id = 0;
                self.worker = ModelWorker {
                    incarnation: self.worker.incarnation + 1,
                    sequence: 0,
                    sent_at: self.now,
                    running: Vec::new(),
                    hold_until: 0,
                };
            }
            Step::TakeOver => self.take_over(),
            Step::Wait => self.pass(WAIT_MS),
        }
        self.handle(AgentEvent::Tick);
        self.granted
    }

    /// Describes the violation, if the worker may run a task for longer than the primary counts its lease.
    pub(crate) fn violation(&self) -> Option<String> {
        let worker = &self.worker;
        if worker.running.is_empty() || worker.hold_until <= self.now {
            return None;
        }
        let instance = worker.instance();
        let status = self.scheduler.worker_status(self.now, &instance);
        let counted_ms = status.map_or(0, |status| status.lease_remaining_ms);
        let counted_until = self.now + counted_ms;
        let (until, now) = (worker.hold_until, self.now);
        (until > counted_until).then(|| {
            format!("at {now} ms, {instance} may run until {until} ms, counted until {counted_until} ms")
        })
    }

    fn heartbeat(&mut self) {
        self.last_request_id += 1;
        self.heartbeat_id = self.last_request_id;
        let heartbeat = self.worker.next_heartbeat(self.now);
        self.handle(AgentEvent::Heartbeat {
            request_id: self.heartbeat_id,
            instance: self.worker.instance(),
            heartbeat,
        });
    }

    fn handle(&mut self, event: AgentEvent) {
        for action in self.agent.handle(self.now, event) {
            match action {
                AgentAction::SendSync(sync) => self.syncs.push_back(sync),
                AgentAction::Respond {
                    request_id,
                    response,
                } if request_id == self.heartbeat_id => {
                    self.granted |= self.worker.apply(self.now, response);
                }
                AgentAction::Respond { .. } | AgentAction::AcknowledgeDeregistration { .. } => {}
            }
        }
    }

    fn deliver(&mut self, take: impl FnOnce(&mut VecDeque<AgentSync>) -> Option<AgentSync>) {
        let Some(sync) = take(&mut self.syncs) else {
            return;
        };
        let former = self.held.take();
        self.last_request_id += 1;
        let request = self.last_request_id;
        let newest = HeldSync {
            request,
            boot: sync.boot,
            sequence: sync.sequence,
        };
        let event = Event::AgentSync { id: request, sync };
        let responses = self.run_scheduler(event);
        let is_answered = |held: &HeldSync| responses.iter().any(|(id, _)| *id == held.request);
        let open = [Some(newest), former].into_iter().flatten();
        self.held = open.clone().find(|held| !is_answered(held));
        for (id, commands) in &responses {
            if let Some(answered) = open.clone().find(|held| held.request == *id) {
                self.respond(answered, commands.clone());
            }
        }
    }

    /// Passes a response to the agent, unless the agent has restarted since it sent the sync.
    fn respond(&mut self, answered: HeldSync, commands: AgentCommands) {
        if answered.boot == self.boot {
            let sequence = answered.sequence;
            self.handle(AgentEvent::SyncResponse { sequence, commands });
        }
    }

    fn deliver_all(&mut self) {
        while !self.syncs.is_empty() {
            self.deliver(VecDeque::pop_front);
        }
    }

    fn run_scheduler(&mut self, event: Event) -> Vec<(u64, AgentCommands)> {
        let effects = self.scheduler.handle(clock(self.now), event);
        for Write { key, value } in effects.writes {
            match value {
                Some(value) => self.records.insert(key, value),
                None => self.records.remove(&key),
            };
        }
        let responses = effects.responses.into_iter();
        let commands = responses.filter_map(|pending| match pending.response {
            SchedulerResponse::Agent(commands) => Some((pending.request, commands)),
            _ => None,
        });
        commands.collect()
    }

    fn take_over(&mut self) {
        self.epoch += 1;
        self.held = None;
        let records = self.records.clone();
        self.scheduler =
            Scheduler::recover(scheduler_settings(), self.epoch, clock(self.now), records)
                .expect("a state that a scheduler wrote");
        self.scheduler.on_recovered(clock(self.now));
    }

    fn pass(&mut self, span: Millis) {
        for _ in 0..span / TICK_MS {
            self.now += TICK_MS;
            for (request, commands) in self.run_scheduler(Event::Tick) {
                if let Some(answered) = self.held.take_if(|held| held.request == request) {
                    self.respond(answered, commands);
                }
            }
            self.handle(AgentEvent::Tick);
        }
    }
}

fn agent_settings(boot: u64) -> AgentSettings {
    AgentSettings {
        name: AGENT.into(),
        boot,
        hold_max_ms: HOLD_MAX_MS,
        heartbeat_ms: HEARTBEAT_MS,
    }
}

fn scheduler_settings() -> SchedulerSettings {
    SchedulerSettings {
        limits: SchedulerLimits {
            max_lease_ms: HOLD_MAX_MS,
            ..SchedulerLimits::default()
        },
        random_seed: 1,
        fair_share: None,
        policy: Policy::default(),
    }
}

fn clock(now: Millis) -> Now {
    Now {
        steady_ms: now,
        unix_ms: UNIX_START_MS + now,
    }
}
