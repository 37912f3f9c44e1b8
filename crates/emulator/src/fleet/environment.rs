//! State that all parts of a fleet share: virtual time, machines, network and observations.

use super::event::{ClientEvent, Event};
use super::fault_history::FaultHistory;
use super::machine::Machines;
use super::rpc_message::OpenCalls;
use super::settings::FleetSettings;
use super::traffic_digest::TrafficDigest;
use crate::checker::{Checker, FencedCaller};
use crate::event_queue::EventQueue;
use crate::network::{MachineId, Network};
use crate::random::Random;
use crate::submitted_jobs::SubmittedJobs;
use crate::workers::Moment;
use streamusher_protocol::internal::ClientResponse;
use streamusher_protocol::{Millis, Now};

/// Shortest and longest latency of a client's request or of its response.
pub(crate) const CLIENT_DELAY_MS: (Millis, Millis) = (1, 5);

/// The shared state of a fleet.
pub(crate) struct Environment {
    /// True time.
    pub(crate) now: Millis,
    /// True time at which the simulation ends.
    pub(crate) ends_at: Millis,
    pub(crate) settings: FleetSettings,
    pub(crate) queue: EventQueue<Event>,
    pub(crate) random: Random,
    pub(crate) network: Network,
    pub(crate) machines: Machines,
    pub(crate) open_calls: OpenCalls,
    /// True time before which responses to operators are lost.
    pub(crate) operator_responses_lost_until: Millis,
    pub(crate) fault_history: FaultHistory,
    /// Whether more control machines may be lost at once than the fleet tolerates.
    pub(crate) allows_overlaps: bool,
    pub(crate) checker: Checker,
    pub(crate) submitted_jobs: SubmittedJobs,
    pub(crate) traffic_digest: Option<TrafficDigest>,
    /// Whether events are printed.
    pub(crate) verbose: bool,
}

impl Environment {
    /// Schedules an event at a time.
    pub(crate) fn schedule_at(&mut self, due: Millis, event: Event) {
        self.queue.push(due, event);
    }

    /// Schedules an event after a delay.
    pub(crate) fn schedule_in(&mut self, delay_ms: Millis, event: Event) {
        self.queue.push(self.now + delay_ms, event);
    }

    /// Prints a line if events are printed.
    pub(crate) fn trace(&self, text: impl FnOnce() -> String) {
        if self.verbose {
            println!("{:>6} {}", self.now, text());
        }
    }

    /// The clock readings of a machine's process.
    pub(crate) fn clocks(&self, machine: MachineId) -> Now {
        self.machines[machine].read_clocks(self.now)
    }

    /// Identifies the current incarnation of a machine's process.
    pub(crate) fn fenced_caller(&self, machine: MachineId) -> FencedCaller {
        FencedCaller {
            machine,
            boot: self.machines[machine].boot,
        }
    }

    /// The current time and the submitted jobs, for simulated workers.
    pub(crate) fn moment(&self) -> Moment<'_> {
        Moment {
            now: self.now,
            submitted_jobs: &self.submitted_jobs,
        }
    }

    /// The machine of a gate.
    pub(crate) fn gate_machine(&self, gate: usize) -> MachineId {
        self.settings.control_machines + gate % self.settings.gates
    }

    /// The machine of a worker.
    pub(crate) fn agent_machine(&self, worker: usize) -> MachineId {
        let first = self.settings.control_machines + self.settings.gates;
        first + worker % self.settings.worker_count
    }

    /// Draws the latency of a client's message.
    pub(crate) fn draw_client_delay(&mut self) -> Millis {
        self.random.between(CLIENT_DELAY_MS.0, CLIENT_DELAY_MS.1)
    }

    /// Sends a response to a client; `None` signals a broken connection.
    pub(crate) fn respond_to_client(&mut self, request: u64, response: Option<ClientResponse>) {
        let delay_ms = self.draw_client_delay();
        let event = ClientEvent::ResponseArrives { request, response };
        self.schedule_in(delay_ms, Event::Client(event));
    }
}
