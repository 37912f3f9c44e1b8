//! Calls between processes: they arrive or not, are answered, break or time out.

use super::event::Event;
use super::machine::Process;
use super::Fleet;
use crate::network::MachineId;
use std::sync::Arc;
use streamusher_controlplane::driver::ControlRequest;
use streamusher_protocol::internal::{AgentCommands, ClientResponse, ClusterView};
use streamusher_protocol::Millis;
use streamusher_scheduler::OperatorResponse;

/// Who calls.
#[derive(Clone, Debug)]
pub(crate) enum Caller {
    /// An agent, with the sequence of its call.
    Agent {
        machine: MachineId,
        boot: u64,
        sequence: u64,
    },
    /// A gate, for a client's call.
    Gate {
        machine: MachineId,
        boot: u64,
        client_call: u64,
    },
    /// A gate or agent that asks who is in the control plane.
    Finder { machine: MachineId, boot: u64 },
    /// An operator, for an order that was sent at this time.
    Operator { attempt: usize, sent: Millis },
}

impl Caller {
    fn machine(&self) -> Option<MachineId> {
        match self {
            Caller::Agent { machine, .. }
            | Caller::Gate { machine, .. }
            | Caller::Finder { machine, .. } => Some(*machine),
            Caller::Operator { .. } => None,
        }
    }
}

/// What is asked.
#[derive(Clone, Debug)]
pub(crate) enum Asked {
    /// Of the primary.
    Primary(Box<ControlRequest>),
    /// Who is in the control plane.
    View,
}

/// How a call ended for its caller.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// The answer to an agent.
    Orders(Arc<AgentCommands>),
    /// The answer to a gate.
    Client(ClientResponse),
    /// The answer to an operator.
    Operator(OperatorResponse),
    /// Who is in the control plane.
    View(ClusterView),
    /// It is not the primary; nothing was done.
    NotPrimary(ClusterView),
    /// It may have been done or not.
    Unknown,
    /// The connection was refused: nothing was done.
    Refused,
    /// The connection broke.
    Broken,
    /// No answer in time.
    Silence,
}

/// A call that is not over for its caller.
pub(crate) struct OpenCall {
    pub(crate) caller: Caller,
    pub(crate) to: MachineId,
    /// The callee's process and the number that it gave to the call.
    at_callee: Option<(u64, u64)>,
}

impl Fleet {
    pub(crate) fn call(
        &mut self,
        caller: Caller,
        to: MachineId,
        asked: Asked,
        limit: Millis,
    ) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        if let Some(delay) = self.delay_of(&caller, to) {
            self.queue
                .push(self.now + delay, Event::Request { call, to, asked });
        }
        self.queue
            .push(self.now + limit, Event::CallTimeout { call });
        self.calls.insert(
            call,
            OpenCall {
                caller,
                to,
                at_callee: None,
            },
        );
        call
    }

    /// Another copy of a call reaches its callee, some time later; nobody waits for its answer.
    pub(crate) fn hold_up_copy(&mut self, to: MachineId, asked: Asked, delay: Millis) {
        let call = self.next_call;
        self.next_call += 1;
        self.queue
            .push(self.now + delay, Event::LateCopy { call, to, asked });
    }

    /// The copy arrives.
    pub(crate) fn late_copy_arrives(&mut self, call: u64, to: MachineId, asked: Asked) {
        if let (true, Asked::Primary(body)) = (self.is_running(to), asked) {
            self.core_called(to, call, *body);
        }
    }

    fn delay_of(&mut self, caller: &Caller, to: MachineId) -> Option<Millis> {
        match caller.machine() {
            Some(from) => self.network.delay(from, to),
            None => Some(self.random.between(1, 4)),
        }
    }

    fn way_back(&mut self, caller: &Caller, from: MachineId) -> Option<Millis> {
        match caller.machine() {
            Some(to) => self.network.delay(from, to),
            None => Some(self.random.between(1, 4)),
        }
    }

    /// A call arrives. One whose caller has left meanwhile is still read now and then.
    pub(crate) fn request_arrives(&mut self, call: u64, to: MachineId, asked: Asked) {
        if let Some(thaw) = self.machines[to]
            .frozen_until
            .filter(|thaw| *thaw > self.now)
        {
            self.queue.push(thaw, Event::Request { call, to, asked });
            return;
        }
        if !self.calls.contains_key(&call) && self.random.chance(0.5) {
            return;
        }
        if self.machines[to].process.is_none() {
            // A removed machine says nothing.
            if !self.machines[to].removed {
                self.respond(call, Outcome::Refused);
            }
            return;
        }
        match asked {
            Asked::View => {
                let view = self.view_of(to);
                self.respond(call, Outcome::View(view));
            }
            Asked::Primary(body) => self.core_called(to, call, *body),
        }
    }

    /// Notes the number that the callee gave to a call.
    pub(crate) fn register(&mut self, call: u64, boot: u64, request: u64) {
        if let Some(open) = self.calls.get_mut(&call) {
            open.at_callee = Some((boot, request));
        }
    }

    /// Sends an answer back.
    pub(crate) fn respond(&mut self, call: u64, outcome: Outcome) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        open.at_callee = None;
        let (caller, from) = (open.caller.clone(), open.to);
        if matches!(caller, Caller::Operator { .. }) && self.operator.answers_lost_until > self.now
        {
            return;
        }
        if let Some(delay) = self.way_back(&caller, from) {
            self.queue
                .push(self.now + delay, Event::Response { call, outcome });
        }
    }

    /// A call's answer reaches its caller, who may be frozen.
    pub(crate) fn response_arrives(&mut self, call: u64, outcome: Outcome) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        if let Some(machine) = open.caller.machine() {
            if let Some(thaw) = self.machines[machine]
                .frozen_until
                .filter(|thaw| *thaw > self.now)
            {
                self.queue.push(thaw, Event::Response { call, outcome });
                return;
            }
        }
        self.settle_call(call, outcome);
    }

    pub(crate) fn call_timed_out(&mut self, call: u64) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        if let Some(machine) = open.caller.machine() {
            if let Some(thaw) = self.machines[machine]
                .frozen_until
                .filter(|thaw| *thaw > self.now)
            {
                self.queue.push(thaw, Event::CallTimeout { call });
                return;
            }
        }
        let (to, caller, at_callee) = (open.to, open.caller.clone(), open.at_callee);
        self.settle_call(call, Outcome::Silence);
        if let (Some((boot, request)), Some(delay)) = (at_callee, self.delay_of(&caller, to)) {
            self.queue.push(
                self.now + delay,
                Event::Abandoned {
                    machine: to,
                    boot,
                    request,
                },
            );
        }
    }

    fn settle_call(&mut self, call: u64, outcome: Outcome) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        let to = open.to;
        match open.caller {
            Caller::Agent {
                machine,
                boot,
                sequence,
            } if self.is_boot(machine, boot) => {
                self.agent_answered(machine, to, sequence, outcome);
            }
            Caller::Gate {
                machine,
                boot,
                client_call,
            } if self.is_boot(machine, boot) => {
                self.gate_answered(machine, to, client_call, outcome);
            }
            Caller::Finder { machine, boot } if self.is_boot(machine, boot) => {
                self.finder_answered(machine, to, outcome);
            }
            Caller::Operator { attempt, sent } => self.operator_answered(sent, attempt, outcome),
            _ => {}
        }
    }

    pub(crate) fn is_boot(&self, machine: MachineId, boot: u64) -> bool {
        self.machines[machine].boot == boot && self.machines[machine].process.is_some()
    }

    /// A process has ended: calls to it break, or go unanswered where the machine is without power.
    pub(crate) fn break_calls(&mut self, machine: MachineId, power: bool) {
        let gone: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, c)| c.caller.machine() == Some(machine))
            .map(|(id, _)| *id)
            .collect();
        for call in gone {
            let Some(open) = self.calls.remove(&call) else {
                continue;
            };
            if let (Some((boot, request)), Some(delay)) =
                (open.at_callee, self.network.delay(machine, open.to))
            {
                self.queue.push(
                    self.now + delay,
                    Event::Abandoned {
                        machine: open.to,
                        boot,
                        request,
                    },
                );
            }
        }
        if power {
            return;
        }
        let broken: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, c)| c.to == machine && c.at_callee.is_some())
            .map(|(id, _)| *id)
            .collect();
        for call in broken {
            self.respond(call, Outcome::Broken);
        }
    }

    fn view_of(&self, machine: MachineId) -> ClusterView {
        match &self.machines[machine].process {
            Some(Process::Core(core)) => core.view(self.clocks(machine)),
            _ => ClusterView::default(),
        }
    }
}
