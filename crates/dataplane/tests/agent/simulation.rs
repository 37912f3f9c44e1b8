//! An agent in virtual time, and builders for its events.

use streamusher_dataplane::agent::{Agent, AgentAction, AgentEvent, AgentSettings};
use streamusher_protocol::heartbeat::{
    FinishedRun, Heartbeat, HeartbeatResponse, RunningTask, StartCommand, StopCommand, WorkerState,
};
use streamusher_protocol::internal::{AgentCommands, AgentSync};
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::Millis;

pub(crate) const LEASE_MS: Millis = 4_000;
pub(crate) const HOLD_MAX_MS: Millis = 6_000;
/// Longest hold that an agent grants.
pub(crate) const LONGEST_GRANT_MS: Millis = 4_000;
/// Longest time that such a hold can last on the agent's clock, including slack.
pub(crate) const LONGEST_HOLD_MS: Millis = LONGEST_GRANT_MS * 1_000 / 980 + 51;
/// Longer than the minimum interval between two syncs.
pub(crate) const SYNC_INTERVAL_MS: Millis = 40;
/// Remaining lease in a simulation created by [`Simulation::with_lease`].
pub(crate) const LEASE_LEFT_MS: Millis = LEASE_MS - 2 * SYNC_INTERVAL_MS;
pub(crate) const HEARTBEAT_MS: Millis = 1_500;

pub(crate) fn settings() -> AgentSettings {
    AgentSettings {
        name: "side-1".into(),
        boot: 7,
        hold_max_ms: HOLD_MAX_MS,
        heartbeat_ms: HEARTBEAT_MS,
    }
}

pub(crate) fn task(index: u32) -> TaskId {
    format!("5c0e7a21d94b36f8.0.0.{index}").parse().unwrap()
}

pub(crate) fn start(index: u32, run: u32) -> StartCommand {
    StartCommand {
        task: task(index),
        run,
        spec: "spec".into(),
        checkpoint: "".into(),
    }
}

pub(crate) fn running(index: u32, run: u32) -> RunningTask {
    RunningTask {
        task: task(index),
        run,
        checkpoint: "".into(),
        percent: 10.0,
    }
}

pub(crate) fn finished_run(number: u64, index: u32, run: u32) -> FinishedRun {
    FinishedRun {
        number,
        task: task(index),
        run,
        end: RunEnd::Done,
        checkpoint: "".into(),
    }
}

pub(crate) fn stop(index: u32, run: u32) -> StopCommand {
    StopCommand {
        task: task(index),
        run,
    }
}

pub(crate) fn heartbeat(sequence: u64) -> Heartbeat {
    Heartbeat {
        service: "app".into(),
        sequence,
        ..Heartbeat::default()
    }
}

pub(crate) fn busy_heartbeat(sequence: u64, runs: &[RunningTask]) -> Heartbeat {
    Heartbeat {
        running: runs.to_vec(),
        ..heartbeat(sequence)
    }
}

pub(crate) fn draining_heartbeat(sequence: u64) -> Heartbeat {
    Heartbeat {
        state: WorkerState::Draining,
        remaining_ms: Some(9_000),
        ..heartbeat(sequence)
    }
}

pub(crate) fn commands(epoch: u64, revision: u64, start: &[StartCommand]) -> AgentCommands {
    AgentCommands {
        epoch,
        revision,
        lease_ms: LEASE_MS,
        instance: Some("i-1".into()),
        start: start.to_vec(),
        ..AgentCommands::default()
    }
}

/// An agent, its clock, and the syncs that it has sent.
pub(crate) struct Simulation {
    pub(crate) agent: Agent,
    pub(crate) now: Millis,
    last_request_id: u64,
    /// Sequence numbers of the syncs without a response, oldest first.
    pub(crate) pending_syncs: Vec<u64>,
    pub(crate) syncs: Vec<AgentSync>,
}

impl Simulation {
    pub(crate) fn start() -> Simulation {
        let now = 1_000;
        Simulation {
            agent: Agent::new(settings(), now),
            now,
            last_request_id: 0,
            pending_syncs: Vec::new(),
            syncs: Vec::new(),
        }
    }

    /// An agent that has outlasted the holds of its former process, and whose first sync reported the idle
    /// worker `i-1` and was answered by the primary of epoch 1 without commands. The primary holds the agent's
    /// next sync, and another may be sent immediately.
    pub(crate) fn with_lease() -> Simulation {
        let mut simulation = Simulation::start();
        simulation.now += LONGEST_HOLD_MS;
        simulation.heartbeat(heartbeat(0));
        simulation.respond_to_sync(commands(1, 1, &[]));
        simulation.advance(2 * SYNC_INTERVAL_MS);
        simulation
    }

    /// An agent that has just started, and whose worker `i-1` has not called it. The first sync was answered
    /// by the primary of epoch 1 without commands, and the primary holds the next one.
    pub(crate) fn without_heartbeats() -> Simulation {
        let mut simulation = Simulation::start();
        simulation.tick();
        simulation.respond_to_sync(AgentCommands {
            lease_ms: 0,
            ..commands(1, 1, &[])
        });
        simulation.advance(2 * SYNC_INTERVAL_MS);
        simulation
    }

    pub(crate) fn handle(&mut self, event: AgentEvent) -> Vec<AgentAction> {
        let actions = self.agent.handle(self.now, event);
        for action in &actions {
            if let AgentAction::SendSync(sync) = action {
                self.pending_syncs.push(sync.sequence);
                self.syncs.push(sync.clone());
            }
        }
        actions
    }

    pub(crate) fn tick(&mut self) -> Vec<AgentAction> {
        self.handle(AgentEvent::Tick)
    }

    /// Advances the clock by `span` with a tick at each wake-up; returns all actions.
    pub(crate) fn advance(&mut self, span: Millis) -> Vec<AgentAction> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while let Some(at) = self.agent.next_wakeup().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            actions.extend(self.tick());
        }
        self.now = end;
        actions
    }

    /// Sends a heartbeat; returns the response if it is immediate.
    pub(crate) fn heartbeat_of(
        &mut self,
        instance: &str,
        heartbeat: Heartbeat,
    ) -> Option<HeartbeatResponse> {
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        let actions = self.handle(AgentEvent::Heartbeat {
            request_id,
            instance: instance.into(),
            heartbeat,
        });
        response_to(&actions, request_id)
    }

    pub(crate) fn heartbeat(&mut self, heartbeat: Heartbeat) -> Option<HeartbeatResponse> {
        self.heartbeat_of("i-1", heartbeat)
    }

    pub(crate) fn deregister(&mut self, instance: &str) -> Vec<AgentAction> {
        self.last_request_id += 1;
        self.handle(AgentEvent::Deregister {
            request_id: self.last_request_id,
            instance: instance.into(),
        })
    }

    /// Answers the newest sync.
    pub(crate) fn respond_to_sync(&mut self, commands: AgentCommands) -> Vec<AgentAction> {
        let sequence = self.pending_syncs.pop().expect("a sync is in flight");
        self.handle(AgentEvent::SyncResponse { sequence, commands })
    }

    pub(crate) fn fail_sync(&mut self) -> Vec<AgentAction> {
        let sequence = self.pending_syncs.pop().expect("a sync is in flight");
        self.handle(AgentEvent::SyncFailed { sequence })
    }

    /// Fails all syncs except the newest, as if the primary had ended them.
    pub(crate) fn fail_older_syncs(&mut self) {
        while self.pending_syncs.len() > 1 {
            let sequence = self.pending_syncs.remove(0);
            self.handle(AgentEvent::SyncFailed { sequence });
        }
    }

    pub(crate) fn newest_sync(&self) -> &AgentSync {
        self.syncs.last().expect("a sync")
    }

    /// The id of the newest request.
    pub(crate) fn request_id(&self) -> u64 {
        self.last_request_id
    }
}

/// The response to the request `wanted` among `actions`.
pub(crate) fn response_to(actions: &[AgentAction], wanted: u64) -> Option<HeartbeatResponse> {
    actions.iter().find_map(|action| match action {
        AgentAction::Respond {
            request_id,
            response,
        } if *request_id == wanted => Some(response.clone()),
        _ => None,
    })
}
