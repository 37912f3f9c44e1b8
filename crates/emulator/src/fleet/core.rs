//! Core machines: the real driver of replication and scheduler, with an emulated disk.

use super::calls::Outcome;
use super::event::Event;
use super::machine::Process;
use super::Fleet;
use crate::faults::Core;
use crate::network::MachineId;
use std::collections::HashMap;
use std::sync::Arc;
use streamusher_controlplane::driver::{Action, ControlOutcome, ControlRequest, Driver, Recovery};
use streamusher_coordination::{Coordinator, DiskChange, Input, Message};
use streamusher_protocol::internal::{ClientMethod, ClusterView};
use streamusher_protocol::{Millis, Now};
use streamusher_scheduler::{
    OperatorRequestKind, Scheduler, SchedulerLimits, SchedulerResponse, SchedulerSettings,
};

/// How long a refused write takes to be refused.
const REFUSED_WRITE_MS: Millis = 20;
/// How long a process may take to hand over when it is told to end.
const GRACE_MS: Millis = 6_000;
/// How long the recovery of a scheduler takes at most.
const LONGEST_RECOVERY_MS: Millis = 150;

/// A core process.
pub(crate) struct CoreProcess {
    driver: Driver<Coordinator, Scheduler>,
    /// Calls by the numbers that the driver gave them, and whether their success acknowledges something.
    calls: HashMap<u64, (u64, bool)>,
    leaving_since: Option<Millis>,
}

impl CoreProcess {
    pub(crate) fn view(&self, now: Now) -> ClusterView {
        self.driver.replication().view(now.steady_ms)
    }

    pub(crate) fn acts(&self, now: Now) -> bool {
        self.driver.replication().may_act(now.steady_ms)
    }

    /// What it tells operators of itself.
    pub(crate) fn status(&self, now: Now) -> serde_json::Value {
        serde_json::json!({
            "core": self.driver.replication().status(now.steady_ms),
            "scheduler": self.driver.scheduler().map(|scheduler| scheduler.status(now.steady_ms)),
        })
    }
}

impl Fleet {
    pub(crate) fn new_core(&mut self, machine: MachineId) -> CoreProcess {
        let now = self.clocks(machine);
        let random_seed = self.random.word();
        let bounds = self.setup.bounds;
        let state = &self.machines[machine];
        let replication = streamusher_coordination::CoordinatorSettings {
            address: state.address.clone(),
            bootstrap: state.bootstrap && state.boot == 1,
            seeds: self.seeds(),
            tolerance: self.setup.tolerance,
            lease_ms: self.setup.lease_ms,
            random_seed,
        };
        let scheduler = SchedulerSettings {
            limits: SchedulerLimits {
                max_lease_ms: bounds.hold_max_ms,
                max_stop_ms: bounds.stop_ms,
                gang_timeout_ms: bounds.gang_ms,
                status_retention_ms: bounds.status_ms,
                remote_slowdown: bounds.far_x,
                checkpoint_restore_ms: bounds.restore_ms,
            },
            random_seed,
            fair_share: None,
            policy: self.setup.policy,
        };
        let coordinator = Coordinator::new(replication, state.disk.image.clone(), now.steady_ms);
        CoreProcess {
            driver: Driver::new(scheduler, coordinator),
            calls: HashMap::new(),
            leaving_since: None,
        }
    }

    fn core(&mut self, machine: MachineId) -> Option<&mut CoreProcess> {
        match self.machines[machine].process.as_mut()? {
            Process::Core(core) => Some(core),
            _ => None,
        }
    }

    pub(crate) fn core_tick(&mut self, machine: MachineId) {
        let now = self.clocks(machine);
        let Some(core) = self.core(machine) else {
            return;
        };
        let actions = core.driver.tick(now);
        let over = core
            .leaving_since
            .is_some_and(|since| now.steady_ms > since + GRACE_MS);
        let left = core.leaving_since.is_some() && core.driver.replication().may_leave();
        self.perform(machine, actions);
        if left || over {
            self.kill(machine, false);
        }
    }

    pub(crate) fn core_leave(&mut self, machine: MachineId) {
        let now = self.clocks(machine);
        let Some(core) = self.core(machine) else {
            return;
        };
        core.leaving_since.get_or_insert(now.steady_ms);
        let actions = core.driver.handle_input(now, Input::Leave);
        self.perform(machine, actions);
    }

    pub(crate) fn core_received(&mut self, to: MachineId, from: Arc<str>, message: Message) {
        let now = self.clocks(to);
        let Some(core) = self.core(to) else { return };
        let actions = core
            .driver
            .handle_input(now, Input::Received { from, message });
        self.perform(to, actions);
    }

    pub(crate) fn core_called(&mut self, machine: MachineId, call: u64, body: ControlRequest) {
        let now = self.clocks(machine);
        let boot = self.machines[machine].boot;
        let acknowledges = match &body {
            ControlRequest::Client(call) => call.method != ClientMethod::Get,
            ControlRequest::Operator(order) => order.kind != OperatorRequestKind::Read,
            ControlRequest::Agent(_) => false,
        };
        let Some(core) = self.core(machine) else {
            return;
        };
        let (request, actions) = core.driver.on_request(now, body);
        core.calls.insert(request, (call, acknowledges));
        self.register(call, boot, request);
        self.perform(machine, actions);
    }

    pub(crate) fn core_abandoned(&mut self, machine: MachineId, boot: u64, request: u64) {
        if !self.is_boot(machine, boot) {
            return;
        }
        let now = self.clocks(machine);
        let Some(core) = self.core(machine) else {
            return;
        };
        core.calls.remove(&request);
        let actions = core.driver.on_caller_disconnected(now, request);
        self.perform(machine, actions);
    }

    /// A scheduler is recovered beside all else, which takes a while.
    fn begin_recovery(&mut self, machine: MachineId, recovery: Recovery) {
        let boot = self.machines[machine].boot;
        let delay = self.random.between(1, LONGEST_RECOVERY_MS);
        let recovery = Box::new(recovery);
        self.queue.push(
            self.now + delay,
            Event::Recovered {
                machine,
                boot,
                recovery,
            },
        );
    }

    pub(crate) fn recovered(&mut self, machine: MachineId, boot: u64, recovery: Recovery) {
        if !self.is_boot(machine, boot) {
            return;
        }
        let now = self.clocks(machine);
        let Some(core) = self.core(machine) else {
            return;
        };
        let epoch = recovery.epoch;
        let actions = core.driver.on_recovered(now, epoch, recovery.run());
        self.perform(machine, actions);
    }

    pub(crate) fn persisted(&mut self, machine: MachineId, boot: u64, ticket: u64, failed: bool) {
        if !self.is_boot(machine, boot) {
            return;
        }
        let Some((pending, change)) = self.machines[machine].disk.pending.take() else {
            return;
        };
        if pending != ticket {
            return;
        }
        if !failed {
            self.machines[machine].disk.apply(&change);
        }
        let input = if failed {
            Input::PersistFailed { ticket }
        } else {
            Input::Persisted { ticket }
        };
        let now = self.clocks(machine);
        let Some(core) = self.core(machine) else {
            return;
        };
        let actions = core.driver.handle_input(now, input);
        self.perform(machine, actions);
    }

    fn persist(&mut self, machine: MachineId, ticket: u64, change: DiskChange) {
        self.digest_disk_change(machine, &change);
        let boot = self.machines[machine].boot;
        let sync = self.setup.sync_ms + self.random.between(0, 4);
        let disk = &mut self.machines[machine].disk;
        let (failed, takes) = match disk.full {
            true => (true, REFUSED_WRITE_MS),
            false => (false, sync + disk.slow_ms),
        };
        disk.pending = Some((ticket, change));
        let at = disk.stalled_until.max(self.now) + takes;
        self.queue.push(
            at,
            Event::Persisted {
                machine,
                boot,
                ticket,
                failed,
            },
        );
    }

    fn perform(&mut self, machine: MachineId, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send_core(machine, &to, message),
                Action::Persist { ticket, change } => self.persist(machine, ticket, change),
                Action::Recover(recovery) => self.begin_recovery(machine, recovery),
                Action::Respond { request, outcome } => {
                    self.core_answers(machine, request, outcome)
                }
            }
        }
    }

    fn send_core(&mut self, machine: MachineId, to: &Arc<str>, message: Message) {
        let Some(receiver) = self.machine_at(to) else {
            return;
        };
        if self.network.loses() {
            return;
        }
        let Some(delay) = self.network.delay(machine, receiver) else {
            return;
        };
        let from = self.machines[machine].address.internal.clone();
        self.queue.push(
            self.now + delay,
            Event::Core {
                to: receiver,
                from,
                message,
            },
        );
    }

    fn core_answers(&mut self, machine: MachineId, request: u64, answer: ControlOutcome) {
        // An answer given at once comes before the call's number is known here.
        let Some(core) = self.core(machine) else {
            return;
        };
        let Some((call, acknowledges)) = core.calls.remove(&request) else {
            return;
        };
        let (outcome, success) = match answer {
            ControlOutcome::Response(SchedulerResponse::Client(reply)) => {
                let success = (200..300).contains(&reply.status);
                (Outcome::Client(reply), success)
            }
            ControlOutcome::Response(SchedulerResponse::Operator(reply)) => {
                let success = (200..300).contains(&reply.status);
                (Outcome::Operator(reply), success)
            }
            ControlOutcome::Response(SchedulerResponse::Agent(orders)) => {
                (Outcome::Orders(Arc::new(orders)), false)
            }
            ControlOutcome::NotPrimary(view) => (Outcome::NotPrimary(view), false),
            ControlOutcome::Unknown => (Outcome::Unknown, false),
        };
        self.respond(call, outcome);
        if success && acknowledges {
            self.acknowledged(machine);
        }
    }

    /// The machine that acts as primary now.
    pub fn primary(&self) -> Option<MachineId> {
        let acts = |id: &MachineId| match &self.machines[*id].process {
            Some(Process::Core(core)) => core.acts(self.clocks(*id)),
            _ => false,
        };
        self.cores().into_iter().find(acts)
    }

    pub(crate) fn core_meant(&mut self, core: Core) -> MachineId {
        let cores = self.cores();
        match core {
            Core::At(index) => cores[index % cores.len()],
            Core::Primary => match self.primary() {
                Some(primary) => primary,
                None => cores[self.random.below(cores.len())],
            },
        }
    }

    /// What core processes tell operators of themselves.
    pub fn core_status(&self) -> Vec<(Arc<str>, Option<serde_json::Value>)> {
        let status = |id: MachineId| match &self.machines[id].process {
            Some(Process::Core(core)) => Some(core.status(self.clocks(id))),
            _ => None,
        };
        self.cores()
            .into_iter()
            .map(|id| (self.machines[id].name.clone(), status(id)))
            .collect()
    }
}
