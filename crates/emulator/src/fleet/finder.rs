//! How gates and agents find the primary: the real finder, over emulated calls.

use super::calls::{Asked, Caller, Outcome};
use super::machine::Process;
use super::Fleet;
use crate::network::MachineId;
use streamusher_dataplane::control_plane::PrimaryDiscovery;
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::Millis;

/// How long an answer may take.
const ASK_LIMIT_MS: Millis = 500;

impl Fleet {
    pub(crate) fn seeds(&self) -> Vec<CoreAddress> {
        self.machines
            .iter()
            .take(self.setup.cores.min(3))
            .map(|m| m.address.clone())
            .collect()
    }

    pub(crate) fn new_finder(&mut self) -> PrimaryDiscovery {
        let seed = self.random.word();
        PrimaryDiscovery::new(self.seeds(), seed)
    }

    fn finder(&mut self, machine: MachineId) -> Option<&mut PrimaryDiscovery> {
        match self.machines[machine].process.as_mut()? {
            Process::Gate(gate) => Some(&mut gate.finder),
            Process::Agent(agent) => Some(&mut agent.finder),
            Process::Core(_) => None,
        }
    }

    /// The machine that a gate or agent takes to be the primary.
    pub(crate) fn primary_for(&mut self, machine: MachineId) -> Option<MachineId> {
        let address = self.finder(machine)?.primary()?.internal.clone();
        self.machine_at(&address)
    }

    /// Asks who is primary, where the finder wants to know.
    pub(crate) fn look_for_primary(&mut self, machine: MachineId) {
        let now = self.clocks(machine).steady_ms;
        let Some(finder) = self.finder(machine) else {
            return;
        };
        let questions = finder.take_due_probes(now);
        let boot = self.machines[machine].boot;
        for address in questions {
            if let Some(to) = self.machine_at(&address) {
                self.call(
                    Caller::Finder { machine, boot },
                    to,
                    Asked::View,
                    ASK_LIMIT_MS,
                );
            }
        }
    }

    pub(crate) fn finder_answered(
        &mut self,
        machine: MachineId,
        from: MachineId,
        outcome: Outcome,
    ) {
        let now = self.clocks(machine).steady_ms;
        let address = self.machines[from].address.internal.clone();
        let Some(finder) = self.finder(machine) else {
            return;
        };
        match outcome {
            Outcome::View(view) => finder.on_view(now, &address, &view),
            _ => finder.on_request_failed(now, &address),
        }
    }

    /// A call to the primary is over: what is learnt from that.
    pub(crate) fn learn_from_call(
        &mut self,
        machine: MachineId,
        from: MachineId,
        outcome: &Outcome,
    ) {
        let now = self.clocks(machine).steady_ms;
        let address = self.machines[from].address.internal.clone();
        let Some(finder) = self.finder(machine) else {
            return;
        };
        match outcome {
            Outcome::NotPrimary(view) => finder.on_not_primary(now, &address, view),
            Outcome::Client(_) => finder.on_response(now, &address),
            Outcome::Orders(orders) => {
                finder.on_response(now, &address);
                if let Some(view) = &orders.view {
                    finder.on_view(now, &address, view);
                }
            }
            _ => finder.on_request_failed(now, &address),
        }
        self.look_for_primary(machine);
    }
}
