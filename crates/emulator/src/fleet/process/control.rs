//! A control machine's process: the real driver of replication and scheduler.

use crate::fleet::rpc_message::CallId;
use std::collections::HashMap;
use std::sync::Arc;
use streamusher_controlplane::driver::{Action, ControlRequest, Driver, Recovery};
use streamusher_coordination::{Coordinator, CoordinatorSettings, DiskImage, Input, Message};
use streamusher_protocol::internal::{ClientMethod, ClusterView};
use streamusher_protocol::{Millis, Now};
use streamusher_scheduler::{OperatorRequestKind, Scheduler, SchedulerSettings};

/// How long a process may take to hand over when it is told to leave.
const LEAVE_GRACE_MS: Millis = 6_000;

/// A call that the driver works on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenRequest {
    pub(crate) call: CallId,
    /// A success acknowledges a change.
    pub(crate) acknowledges_change: bool,
}

/// A control machine's process.
pub(crate) struct ControlProcess {
    driver: Driver<Coordinator, Scheduler>,
    /// By the numbers that the driver gave them.
    open_requests: HashMap<u64, OpenRequest>,
    /// Since when it has been told to leave, by its steady clock.
    leaving_since: Option<Millis>,
}

impl ControlProcess {
    /// A process that starts from what is on its disk.
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

    /// Who is in the control plane.
    pub(crate) fn view(&self, now: Now) -> ClusterView {
        self.driver.replication().view(now.steady_ms)
    }

    /// Whether it acts as primary.
    pub(crate) fn may_act(&self, now: Now) -> bool {
        self.driver.replication().may_act(now.steady_ms)
    }

    pub(crate) fn tick(&mut self, now: Now) -> Vec<Action> {
        self.driver.tick(now)
    }

    /// Whether it was told to leave and has handed over, or has taken too long.
    pub(crate) fn has_left(&self, now: Now) -> bool {
        let Some(since) = self.leaving_since else {
            return false;
        };
        now.steady_ms > since + LEAVE_GRACE_MS || self.driver.replication().may_leave()
    }

    /// Tells it to hand over and leave.
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

    /// A call arrives. Returns the number that the driver gave it, and what is to be done.
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

    /// The caller has left.
    pub(crate) fn on_call_abandoned(&mut self, now: Now, request: u64) -> Vec<Action> {
        self.open_requests.remove(&request);
        self.driver.on_caller_disconnected(now, request)
    }

    /// The call that a response belongs to, if its caller has not left.
    pub(crate) fn take_request(&mut self, request: u64) -> Option<OpenRequest> {
        self.open_requests.remove(&request)
    }
}
