//! An agent in virtual time, and short ways to say what happens to it.

#![allow(dead_code)] // Each test file uses a part.

use streamusher_dataplane::agent::{Agent, AgentAction, AgentEvent, AgentSettings};
use streamusher_protocol::heartbeat::{
    FinishedRun, Heartbeat, HeartbeatResponse, RunningTask, StartCommand, StopCommand, WorkerState,
};
use streamusher_protocol::internal::{AgentCommands, AgentSync};
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::Millis;

pub const LEASE_MS: Millis = 4_000;
pub const HOLD_MAX_MS: Millis = 6_000;
/// What an agent grants at most: a restart and a failover, and not longer.
pub const LONGEST_GRANT_MS: Millis = 4_000;
/// Least time between two syncs.
pub const SYNC_INTERVAL_MS: Millis = 40;
/// What is left of the lease in a story that is in contact.
pub const LEASE_LEFT_MS: Millis = LEASE_MS - 2 * SYNC_INTERVAL_MS;
pub const HEARTBEAT_MS: Millis = 1_500;

pub fn settings() -> AgentSettings {
    AgentSettings {
        name: "side-1".into(),
        boot: 7,
        hold_max_ms: HOLD_MAX_MS,
        heartbeat_ms: HEARTBEAT_MS,
        stop_ms: 900,
    }
}

pub fn task(index: u32) -> TaskId {
    format!("5c0e7a21d94b36f8.0.0.{index}").parse().unwrap()
}

pub fn start(index: u32, run: u32) -> StartCommand {
    StartCommand {
        task: task(index),
        run,
        spec: "spec".into(),
        checkpoint: "".into(),
    }
}

pub fn running(index: u32, run: u32) -> RunningTask {
    RunningTask {
        task: task(index),
        run,
        checkpoint: "".into(),
        percent: 10.0,
    }
}

pub fn ended(number: u64, index: u32, run: u32) -> FinishedRun {
    FinishedRun {
        number,
        task: task(index),
        run,
        end: RunEnd::Done,
        checkpoint: "".into(),
    }
}

pub fn stop(index: u32, run: u32) -> StopCommand {
    StopCommand {
        task: task(index),
        run,
    }
}

pub fn heartbeat(sequence: u64) -> Heartbeat {
    Heartbeat {
        service: "app".into(),
        sequence,
        ..Heartbeat::default()
    }
}

pub fn at_work(sequence: u64, runs: &[RunningTask]) -> Heartbeat {
    Heartbeat {
        running: runs.to_vec(),
        ..heartbeat(sequence)
    }
}

pub fn draining(sequence: u64) -> Heartbeat {
    Heartbeat {
        state: WorkerState::Draining,
        remaining_ms: Some(9_000),
        ..heartbeat(sequence)
    }
}

pub fn orders(epoch: u64, revision: u64, start: &[StartCommand]) -> AgentCommands {
    AgentCommands {
        epoch,
        revision,
        lease_ms: LEASE_MS,
        instance: Some("i-1".into()),
        start: start.to_vec(),
        ..AgentCommands::default()
    }
}

pub struct Story {
    pub agent: Agent,
    pub now: Millis,
    last_request: u64,
    /// Sequences of syncs that are not answered.
    pub waiting: Vec<u64>,
    pub syncs: Vec<AgentSync>,
}

impl Story {
    pub fn begin() -> Story {
        let now = 1_000;
        Story {
            agent: Agent::new(settings(), now),
            now,
            last_request: 0,
            waiting: Vec::new(),
            syncs: Vec::new(),
        }
    }

    /// An agent that the primary of epoch 1 has answered, with nothing ordered of worker `i-1`. Its next sync waits there,
    /// and another may be sent at once.
    pub fn in_contact() -> Story {
        let mut story = Story::begin();
        story.tick();
        story.answer_sync(orders(1, 1, &[]));
        story.pass(2 * SYNC_INTERVAL_MS);
        story
    }

    pub fn event(&mut self, event: AgentEvent) -> Vec<AgentAction> {
        let actions = self.agent.handle(self.now, event);
        for action in &actions {
            if let AgentAction::SendSync(sync) = action {
                self.waiting.push(sync.sequence);
                self.syncs.push(sync.clone());
            }
        }
        actions
    }

    pub fn tick(&mut self) -> Vec<AgentAction> {
        self.event(AgentEvent::Tick)
    }

    /// Lets time pass with a tick at each wake-up; gives all that was done.
    pub fn pass(&mut self, span: Millis) -> Vec<AgentAction> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while let Some(at) = self.agent.next_wakeup().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            actions.extend(self.tick());
        }
        self.now = end;
        actions
    }

    /// A heartbeat; gives what it is answered at once, if it is.
    pub fn heartbeat_of(
        &mut self,
        instance: &str,
        heartbeat: Heartbeat,
    ) -> Option<HeartbeatResponse> {
        self.last_request += 1;
        let request_id = self.last_request;
        let actions = self.event(AgentEvent::Heartbeat {
            request_id,
            instance: instance.into(),
            heartbeat,
        });
        answer_to(&actions, request_id)
    }

    pub fn heartbeat(&mut self, heartbeat: Heartbeat) -> Option<HeartbeatResponse> {
        self.heartbeat_of("i-1", heartbeat)
    }

    pub fn deregister(&mut self, instance: &str) -> Vec<AgentAction> {
        self.last_request += 1;
        self.event(AgentEvent::Deregister {
            request_id: self.last_request,
            instance: instance.into(),
        })
    }

    /// The primary answers the newest sync.
    pub fn answer_sync(&mut self, orders: AgentCommands) -> Vec<AgentAction> {
        let sequence = self.waiting.pop().expect("a sync waits");
        self.event(AgentEvent::SyncResponse {
            sequence,
            commands: orders,
        })
    }

    pub fn fail_sync(&mut self) -> Vec<AgentAction> {
        let sequence = self.waiting.pop().expect("a sync waits");
        self.event(AgentEvent::SyncFailed { sequence })
    }

    /// All syncs but the newest come to nothing, as when the primary ends them.
    pub fn end_older_syncs(&mut self) {
        while self.waiting.len() > 1 {
            let sequence = self.waiting.remove(0);
            self.event(AgentEvent::SyncFailed { sequence });
        }
    }

    pub fn newest_sync(&self) -> &AgentSync {
        self.syncs.last().expect("a sync")
    }

    /// The newest request.
    pub fn request(&self) -> u64 {
        self.last_request
    }
}

pub fn answer_to(actions: &[AgentAction], wanted: u64) -> Option<HeartbeatResponse> {
    actions.iter().find_map(|action| match action {
        AgentAction::Respond {
            request_id,
            response,
        } if *request_id == wanted => Some(response.clone()),
        _ => None,
    })
}
