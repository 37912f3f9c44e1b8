//! Workers' machines: the real agent between an emulated worker and the core.

use super::calls::{Asked, Caller, Outcome};
use super::event::Event;
use super::machine::Process;
use super::Fleet;
use crate::network::MachineId;
use crate::plant::worker::instance_of;
use crate::plant::WorkerIndex;
use std::collections::HashMap;
use std::sync::Arc;
use streamusher_controlplane::driver::ControlRequest;
use streamusher_dataplane::agent::{Agent, AgentAction, AgentEvent, AgentSettings};
use streamusher_dataplane::control_plane::PrimaryDiscovery;
use streamusher_protocol::heartbeat::Heartbeat;
use streamusher_protocol::internal::AgentSync;
use streamusher_protocol::Millis;

/// Longer than the primary holds a call.
const SYNC_LIMIT_MS: Millis = 1_200;
/// A message inside a machine.
const LOCAL_MS: Millis = 1;
/// From the answer to a worker's deregistration to its end.
const LEAVES_AFTER_MS: Millis = 50;

/// An agent's process.
pub(crate) struct AgentProcess {
    agent: Agent,
    pub(crate) finder: PrimaryDiscovery,
    requests: HashMap<u64, Waiting>,
    next_request: u64,
    woken_at: Millis,
}

enum Waiting {
    Heartbeat {
        worker: WorkerIndex,
        life: u32,
        sequence: u64,
    },
    Deregister {
        worker: WorkerIndex,
        life: u32,
    },
}

impl AgentProcess {
    fn remember(&mut self, waiting: Waiting) -> u64 {
        self.next_request += 1;
        self.requests.insert(self.next_request, waiting);
        self.next_request
    }
}

impl Fleet {
    pub(crate) fn new_agent(&mut self, machine: MachineId) -> AgentProcess {
        let boot = self.random.word();
        let bounds = self.setup.bounds;
        let settings = AgentSettings {
            name: self.machines[machine].name.clone(),
            boot,
            hold_max_ms: bounds.hold_max_ms,
            heartbeat_ms: bounds.heartbeat_ms,
        };
        let now = self.clocks(machine).steady_ms;
        let finder = self.new_finder();
        AgentProcess {
            agent: Agent::new(settings, now),
            finder,
            requests: HashMap::new(),
            next_request: 0,
            woken_at: 0,
        }
    }

    fn agent(&mut self, machine: MachineId) -> Option<&mut AgentProcess> {
        match self.machines[machine].process.as_mut()? {
            Process::Agent(agent) => Some(agent),
            _ => None,
        }
    }

    pub(crate) fn agent_tick(&mut self, machine: MachineId) {
        self.look_for_primary(machine);
        self.agent_handles(machine, AgentEvent::Tick);
    }

    fn agent_handles(&mut self, machine: MachineId, event: AgentEvent) {
        let now = self.clocks(machine).steady_ms;
        let Some(process) = self.agent(machine) else {
            return;
        };
        let actions = process.agent.handle(now, event);
        self.agent_acts(machine, actions);
        self.wake_agent(machine, now);
    }

    /// The agent is told the time when it wants to be, between the regular ticks.
    fn wake_agent(&mut self, machine: MachineId, now: Millis) {
        let (boot, true_now) = (self.machines[machine].boot, self.now);
        let Some(process) = self.agent(machine) else {
            return;
        };
        let Some(wanted) = process.agent.next_wakeup() else {
            return;
        };
        let at = true_now + wanted.saturating_sub(now).max(1);
        let regular = true_now + super::machine::TICK_MS;
        if at < regular && process.woken_at != at {
            process.woken_at = at;
            self.queue.push(at, Event::Wake { machine, boot });
        }
    }

    pub(crate) fn agent_woken(&mut self, machine: MachineId, boot: u64) {
        if self.is_boot(machine, boot) {
            self.agent_handles(machine, AgentEvent::Tick);
        }
    }

    fn agent_acts(&mut self, machine: MachineId, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::Respond {
                    request_id,
                    response: answer,
                } => {
                    let waiting = self
                        .agent(machine)
                        .and_then(|process| process.requests.remove(&request_id));
                    let Some(Waiting::Heartbeat {
                        worker,
                        life,
                        sequence,
                    }) = waiting
                    else {
                        continue;
                    };
                    self.trace(|| format!("worker {worker} is answered {sequence}: {answer:?}"));
                    let answer = Arc::new(answer);
                    self.queue.push(
                        self.now + LOCAL_MS,
                        Event::HeartbeatAnswer {
                            worker,
                            life,
                            sequence,
                            answer,
                        },
                    );
                }
                AgentAction::AcknowledgeDeregistration { request_id } => {
                    let waiting = self
                        .agent(machine)
                        .and_then(|process| process.requests.remove(&request_id));
                    let Some(Waiting::Deregister { worker, life }) = waiting else {
                        continue;
                    };
                    self.queue.push(
                        self.now + LEAVES_AFTER_MS,
                        Event::WorkerGone { worker, life },
                    );
                }
                AgentAction::SendSync(sync) => self.agent_syncs(machine, sync),
            }
        }
    }

    fn agent_syncs(&mut self, machine: MachineId, sync: AgentSync) {
        let sequence = sync.sequence;
        let Some(to) = self.primary_for(machine) else {
            self.agent_handles(machine, AgentEvent::SyncFailed { sequence });
            return;
        };
        let boot = self.machines[machine].boot;
        let caller = Caller::Agent {
            machine,
            boot,
            sequence,
        };
        self.call(
            caller,
            to,
            Asked::Primary(Box::new(ControlRequest::Agent(sync))),
            SYNC_LIMIT_MS,
        );
    }

    pub(crate) fn agent_answered(
        &mut self,
        machine: MachineId,
        from: MachineId,
        sequence: u64,
        outcome: Outcome,
    ) {
        self.learn_from_call(machine, from, &outcome);
        self.trace(|| {
            format!(
                "{} sync {sequence}: {outcome:?}",
                self.machines[machine].name
            )
        });
        match outcome {
            Outcome::Orders(orders) => {
                self.agent_handles(
                    machine,
                    AgentEvent::SyncResponse {
                        sequence,
                        commands: (*orders).clone(),
                    },
                );
            }
            _ => self.agent_handles(machine, AgentEvent::SyncFailed { sequence }),
        }
    }

    pub(crate) fn heartbeat_arrives(
        &mut self,
        machine: MachineId,
        worker: WorkerIndex,
        life: u32,
        heartbeat: Heartbeat,
    ) {
        let sequence = heartbeat.sequence;
        let instance = instance_of(worker, life);
        let Some(process) = self.agent(machine) else {
            self.queue.push(
                self.now + LOCAL_MS,
                Event::HeartbeatFailed {
                    worker,
                    life,
                    sequence,
                },
            );
            return;
        };
        let request_id = process.remember(Waiting::Heartbeat {
            worker,
            life,
            sequence,
        });
        self.agent_handles(
            machine,
            AgentEvent::Heartbeat {
                request_id,
                instance,
                heartbeat,
            },
        );
    }

    pub(crate) fn deregister_arrives(
        &mut self,
        machine: MachineId,
        worker: WorkerIndex,
        life: u32,
        instance: Arc<str>,
    ) {
        let Some(process) = self.agent(machine) else {
            return;
        };
        let request_id = process.remember(Waiting::Deregister { worker, life });
        self.agent_handles(
            machine,
            AgentEvent::Deregister {
                request_id,
                instance,
            },
        );
    }
}
