//! The process on a worker's machine: the real agent, and the worker's requests that wait for its response.

use crate::workers::effect::WorkerIndex;
use std::collections::HashMap;
use streamusher_dataplane::agent::{Agent, AgentAction, AgentEvent, AgentSettings};
use streamusher_dataplane::control_plane::PrimaryDiscovery;
use streamusher_protocol::Millis;

/// A worker's request that waits for its response.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WorkerRequest {
    Heartbeat {
        worker: WorkerIndex,
        incarnation: u32,
        sequence: u64,
    },
    Deregister {
        worker: WorkerIndex,
        incarnation: u32,
    },
}

/// An agent's process.
pub(crate) struct AgentProcess {
    agent: Agent,
    discovery: PrimaryDiscovery,
    /// Open requests by the number under which the agent handles them.
    open_requests: HashMap<u64, WorkerRequest>,
    last_request: u64,
    /// True time of the latest scheduled wake-up.
    wakeup_at: Millis,
}

impl AgentProcess {
    pub(crate) fn new(
        settings: AgentSettings,
        discovery: PrimaryDiscovery,
        now: Millis,
    ) -> AgentProcess {
        AgentProcess {
            agent: Agent::new(settings, now),
            discovery,
            open_requests: HashMap::new(),
            last_request: 0,
            wakeup_at: 0,
        }
    }

    pub(crate) fn discovery_mut(&mut self) -> &mut PrimaryDiscovery {
        &mut self.discovery
    }

    pub(crate) fn handle(&mut self, now: Millis, event: AgentEvent) -> Vec<AgentAction> {
        self.agent.handle(now, event)
    }

    /// Registers a request of the worker and returns its number.
    pub(crate) fn open(&mut self, request: WorkerRequest) -> u64 {
        self.last_request += 1;
        self.open_requests.insert(self.last_request, request);
        self.last_request
    }

    /// Removes and returns the open request to which a response belongs.
    pub(crate) fn close(&mut self, request: u64) -> Option<WorkerRequest> {
        self.open_requests.remove(&request)
    }

    /// Returns the true time at which the agent must run before the next tick, unless a wake-up for that is
    /// already scheduled. `now` is the reading of the machine's steady clock.
    pub(crate) fn plan_wakeup(
        &mut self,
        now: Millis,
        true_now: Millis,
        next_tick_at: Millis,
    ) -> Option<Millis> {
        let wanted = self.agent.next_wakeup()?;
        let wakeup_at = true_now + wanted.saturating_sub(now).max(1);
        if wakeup_at >= next_tick_at || self.wakeup_at == wakeup_at {
            return None;
        }
        self.wakeup_at = wakeup_at;
        Some(wakeup_at)
    }
}
