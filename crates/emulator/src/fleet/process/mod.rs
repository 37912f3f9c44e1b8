//! The processes of the fleet's machines: the real state machines, and the bookkeeping that connects them to
//! the emulator.

mod agent;
mod control;
mod gate;

pub(crate) use agent::{AgentProcess, WorkerRequest};
pub(crate) use control::ControlProcess;
pub(crate) use gate::GateProcess;

use streamusher_dataplane::control_plane::PrimaryDiscovery;

/// A running process of a machine.
pub(crate) enum Process {
    /// A member of the control plane.
    Control(Box<ControlProcess>),
    /// A gate.
    Gate(Box<GateProcess>),
    /// A worker's agent.
    Agent(Box<AgentProcess>),
}

impl Process {
    pub(crate) fn control(&self) -> Option<&ControlProcess> {
        match self {
            Process::Control(control) => Some(control),
            _ => None,
        }
    }

    pub(crate) fn control_mut(&mut self) -> Option<&mut ControlProcess> {
        match self {
            Process::Control(control) => Some(control),
            _ => None,
        }
    }

    pub(crate) fn gate_mut(&mut self) -> Option<&mut GateProcess> {
        match self {
            Process::Gate(gate) => Some(gate),
            _ => None,
        }
    }

    pub(crate) fn agent_mut(&mut self) -> Option<&mut AgentProcess> {
        match self {
            Process::Agent(agent) => Some(agent),
            _ => None,
        }
    }

    /// The primary discovery of a gate or agent; `None` for a control machine.
    pub(crate) fn discovery_mut(&mut self) -> Option<&mut PrimaryDiscovery> {
        match self {
            Process::Control(_) => None,
            Process::Gate(gate) => Some(gate.discovery_mut()),
            Process::Agent(agent) => Some(agent.discovery_mut()),
        }
    }
}
