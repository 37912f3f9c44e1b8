//! Gates: stand-ins that pass clients' calls on to the primary.

use super::calls::{Asked, Caller, Outcome};
use super::machine::Process;
use super::Fleet;
use crate::network::MachineId;
use std::collections::BTreeMap;
use streamusher_controlplane::driver::ControlRequest;
use streamusher_dataplane::control_plane::PrimaryDiscovery;
use streamusher_protocol::internal::{ClientRequest, ClientResponse};
use streamusher_protocol::Millis;

/// How long the primary may take.
const LIMIT_MS: Millis = 2_500;
/// Times that a call is passed on to another primary after one did nothing.
const MOST_FORWARDS: u32 = 3;
/// When to come back while there is no primary.
const RETRY_AFTER_MS: Millis = 300;

/// A gate's process.
pub(crate) struct GateProcess {
    pub(crate) finder: PrimaryDiscovery,
    open: BTreeMap<u64, Forwarded>,
}

struct Forwarded {
    call: ClientRequest,
    times: u32,
}

fn reply(status: u16, retry_after_ms: Option<Millis>) -> ClientResponse {
    ClientResponse {
        status,
        body: "".into(),
        retry_after_ms,
    }
}

impl Fleet {
    pub(crate) fn new_gate(&mut self, _machine: MachineId) -> GateProcess {
        GateProcess {
            finder: self.new_finder(),
            open: BTreeMap::new(),
        }
    }

    fn gate(&mut self, machine: MachineId) -> Option<&mut GateProcess> {
        match self.machines[machine].process.as_mut()? {
            Process::Gate(gate) => Some(gate),
            _ => None,
        }
    }

    pub(crate) fn gate_tick(&mut self, machine: MachineId) {
        self.look_for_primary(machine);
    }

    /// A client's call has come.
    pub(crate) fn gate_called(
        &mut self,
        machine: MachineId,
        client_call: u64,
        call: ClientRequest,
    ) {
        let Some(gate) = self.gate(machine) else {
            return;
        };
        gate.open.insert(client_call, Forwarded { call, times: 0 });
        self.forward(machine, client_call);
    }

    fn forward(&mut self, machine: MachineId, client_call: u64) {
        let to = self.primary_for(machine);
        let boot = self.machines[machine].boot;
        let Some(gate) = self.gate(machine) else {
            return;
        };
        let Some(open) = gate.open.get_mut(&client_call) else {
            return;
        };
        open.times += 1;
        let (call, times) = (open.call.clone(), open.times);
        match to {
            Some(to) if times <= MOST_FORWARDS => {
                let caller = Caller::Gate {
                    machine,
                    boot,
                    client_call,
                };
                self.call(
                    caller,
                    to,
                    Asked::Primary(Box::new(ControlRequest::Client(call))),
                    LIMIT_MS,
                );
            }
            _ => self.gate_answers(machine, client_call, reply(503, Some(RETRY_AFTER_MS))),
        }
    }

    pub(crate) fn gate_answered(
        &mut self,
        machine: MachineId,
        from: MachineId,
        client_call: u64,
        outcome: Outcome,
    ) {
        self.learn_from_call(machine, from, &outcome);
        match outcome {
            Outcome::Client(reply) => self.gate_answers(machine, client_call, reply),
            Outcome::NotPrimary(_) => self.forward(machine, client_call),
            Outcome::Refused => {
                self.gate_answers(machine, client_call, reply(503, Some(RETRY_AFTER_MS)))
            }
            Outcome::Silence => self.gate_answers(machine, client_call, reply(504, None)),
            _ => self.gate_answers(machine, client_call, reply(502, None)),
        }
    }

    fn gate_answers(&mut self, machine: MachineId, client_call: u64, reply: ClientResponse) {
        let Some(gate) = self.gate(machine) else {
            return;
        };
        if gate.open.remove(&client_call).is_some() {
            self.answer_client(client_call, Some(reply));
        }
    }
}
