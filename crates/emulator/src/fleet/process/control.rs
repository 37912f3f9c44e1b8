//! The process of a control machine: the real driver of replication and scheduler.

use crate::fleet::rpc_message::CallId;
use std::collections::HashMap;
use std::sync::Arc;
use streamusher_controlplane::driver::{Action, ControlRequest, Driver, Recovery};
use streamusher_coordination::{Coordinator, CoordinatorSettings, DiskImage, Input, Message};
use streamusher_protocol::internal::{ClientMethod, ClusterView};
use streamusher_protocol::{Millis, Now};
use streamusher_scheduler::{OperatorRequestKind, Scheduler, SchedulerSettings};

/// Time that a process has for handing over after it was asked to leave.
const LEAVE_GRACE_MS: Millis = 6_000;

/// A call that the driver is handling.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenRequest {
    pub(crate) call: CallId,
    /// Whether a success response acknowledges a change.
    pub(crate) acknowledges_change: bool,
}

/// A control machine's process.
pub(crate) struct ControlProcess {
    driver: Driver<Coordinator, Scheduler>,
    /// Open calls by the request number that the driver assigned.
    open_requests: HashMap<u64, OpenRequest>,
    /// Steady clock reading at which the process was asked to leave.
    leaving_since: Option<Millis>,
}

impl ControlProcess {
    /// Creates a process that starts from the content of its disk.
    pub(crate) fn new(
        scheduler: SchedulerSettings,
        replication: CoordinatorSettings,
        image: DiskImage,
        now: Now,
    ) -> ControlProcess {
        let coordinator = Coordinator::new(replication, image, now.steady_ms);
        ControlProcess {
            driver: Driver::new(scheduler, coordinator),
            open_requests: HashMap::new(),
            leaving_since: None,
        }
    }

    /// The membership of the control plane as this process knows it.
    pub(crate) fn view(&self, now: Now) -> ClusterView {
        self.driver.replication().view(now.steady_ms)
    }

    /// Whether the process may act as primary.
    pub(crate) fn may_act(&self, now: Now) -> bool {
        self.driver.replication().may_act(now.steady_ms)
    }

    /// The scheduler; `None` while the process is not the primary, or recovers the state.
    pub(crate) fn scheduler(&self) -> Option<&Scheduler> {
        self.driver.scheduler()
    }

    pub(crate) fn tick(&mut self, now: Now) -> Vec<Action> {
        self.driver.tick(now)
    }

    /// Whether the process was asked to leave and has handed over, or has exceeded the time for that.
    pub(crate) fn has_left(&self, now: Now) -> bool {
        let Some(since) = self.leaving_since else {
            return false;
        };
        now.steady_ms > since + LEAVE_GRACE_MS || self.driver.replication().may_leave()
    }

    /// Asks the process to hand over and leave.
    pub(crate) fn leave(&mut self, now: Now) -> Vec<Action> {
        self.leaving_since.get_or_insert(now.steady_ms);
        self.driver.handle_input(now, Input::Leave)
    }

    pub(crate) fn on_message(
        &mut self,
        now: Now,
        sender: Arc<str>,
        message: Message,
    ) -> Vec<Action> {
        let input = Input::Received {
            from: sender,
            message,
        };
        self.driver.handle_input(now, input)
    }

    pub(crate) fn on_persisted(&mut self, now: Now, ticket: u64, failed: bool) -> Vec<Action> {
        let input = if failed {
            Input::PersistFailed { ticket }
        } else {
            Input::Persisted { ticket }
        };
        self.driver.handle_input(now, input)
    }

    pub(crate) fn on_scheduler_recovered(&mut self, now: Now, recovery: Recovery) -> Vec<Action> {
        let epoch = recovery.epoch;
        self.driver.on_recovered(now, epoch, recovery.run())
    }

    /// Passes a call to the driver. Returns the request number that the driver assigned, and the resulting
    /// actions.
    pub(crate) fn on_call(
        &mut self,
        now: Now,
        call: CallId,
        request: ControlRequest,
    ) -> (u64, Vec<Action>) {
        let acknowledges_change = match &request {
            ControlRequest::Client(request) => request.method != ClientMethod::Get,
            ControlRequest::Operator(request) => request.kind != OperatorRequestKind::Read,
            ControlRequest::Agent(_) => false,
        };
        let (number, actions) = self.driver.on_request(now, request);
        let open = OpenRequest {
            call,
            acknowledges_change,
        };
        self.open_requests.insert(number, open);
        (number, actions)
    }

    /// Notifies the driver that the caller no longer waits.
    pub(crate) fn on_call_abandoned(&mut self, now: Now, request: u64) -> Vec<Action> {
        self.open_requests.remove(&request);
        self.driver.on_caller_disconnected(now, request)
    }

    /// Removes and returns the call to which a response belongs, if its caller still waits.
    pub(crate) fn take_request(&mut self, request: u64) -> Option<OpenRequest> {
        self.open_requests.remove(&request)
    }
}
