//! A running control machine: the driver with its queues, shared by the servers and the event loop of one
//! process.
//!
//! - `state`: the driver, and the receivers of its actions.
//! - `explain`: explanations of one job or one user, given by the acting primary.

pub(crate) mod explain;
mod state;

use crate::driver::{ControlOutcome, ControlRequest, Driver};
use crate::peer_messages::PeerQueues;
use crate::store::writer::StoreWriter;
use explain::ExplainOutcome;
use serde_json::{json, Value};
use state::{MachineState, SharedState};
use std::sync::Arc;
use std::time::Duration;
use streamusher_configuration::relay::RelayEnvelope;
use streamusher_configuration::CURRENT_KEY;
use streamusher_coordination::{Coordinator, Input, Message, StateMap};
use streamusher_protocol::internal::{
    ClusterView, ClusterWatch, CoreAddress, ExplainRequest, GateLeaseRequest, GateLeaseResponse,
};
use streamusher_protocol::Millis;
use streamusher_runtime::{clock, logs};
use streamusher_scheduler::{RequestId, Scheduler};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Upper bound of the time for which a caller waits for the next epoch, in milliseconds.
const MAX_WATCH_MS: Millis = 10_000;

/// The request was not executed: this machine is not the acting primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotActing;

/// A handle to a control machine; clones share the machine. Each borrow of the state ends before an await
/// point.
#[derive(Clone)]
pub(crate) struct ControlMachine {
    state: SharedState,
}

impl ControlMachine {
    /// Combines the driver with the queue to each peer and the store's writer.
    pub(crate) fn new(
        driver: Driver<Coordinator, Scheduler>,
        peers: PeerQueues,
        store_writer: StoreWriter,
    ) -> ControlMachine {
        ControlMachine {
            state: MachineState::shared(driver, peers, store_writer),
        }
    }

    /// Executes a request and waits for its outcome. Dropping the future reports to the scheduler that the
    /// caller has disconnected.
    pub(crate) async fn execute(&self, request: ControlRequest) -> ControlOutcome {
        let (sender, receiver) = oneshot::channel();
        let id = self.state.borrow_mut().start_request(request, sender);
        let mut guard = RequestGuard {
            state: &self.state,
            request: Some(id),
        };
        let outcome = receiver.await;
        guard.request = None;
        outcome.unwrap_or(ControlOutcome::Unknown)
    }

    /// Passes an input to replication.
    pub(crate) fn handle_input(&self, input: Input) {
        self.state.borrow_mut().handle_input(input);
    }

    /// Handles messages from another control machine; `from` is its internal `ip:port`.
    pub(crate) fn on_peer_messages(&self, from: &Arc<str>, messages: Vec<Message>) {
        let mut state = self.state.borrow_mut();
        for message in messages {
            state.handle_input(Input::Received {
                from: from.clone(),
                message,
            });
        }
    }

    /// Advances to the current time.
    pub(crate) fn tick(&self) {
        self.state.borrow_mut().tick();
    }

    /// Renews a gate's lease.
    ///
    /// # Errors
    /// This machine is not the acting primary.
    pub(crate) fn renew_gate_lease(
        &self,
        lease: &GateLeaseRequest,
    ) -> Result<GateLeaseResponse, NotActing> {
        let now = clock::steady();
        let state = &mut *self.state.borrow_mut();
        let epoch = state.driver.acting_epoch(now).ok_or(NotActing)?;
        Ok(state.relay.renew_lease(now, epoch, lease))
    }

    /// Handles messages from a member of the relay tree.
    ///
    /// # Errors
    /// This machine is not the acting primary.
    pub(crate) fn on_relay_messages(&self, envelope: RelayEnvelope) -> Result<(), NotActing> {
        let now = clock::steady();
        let state = &mut *self.state.borrow_mut();
        let epoch = state.driver.acting_epoch(now).ok_or(NotActing)?;
        state.relay.receive(now, epoch, envelope);
        Ok(())
    }

    /// The epoch, primary and members of the control plane as known to this machine.
    pub(crate) fn view(&self) -> ClusterView {
        let state = self.state.borrow();
        state.driver.replication().view(clock::steady())
    }

    /// Returns [`ControlMachine::view`] once an epoch newer than the caller's is known, or when the caller's
    /// wait time has elapsed.
    pub(crate) async fn view_after(&self, watch: ClusterWatch) -> ClusterView {
        let mut newest_epoch = self.state.borrow().subscribe_epoch();
        let wait = Duration::from_millis(watch.wait_ms.min(MAX_WATCH_MS));
        // The result does not matter: the current view is returned after a new epoch and after a timeout.
        let _ = timeout(wait, newest_epoch.wait_for(|epoch| *epoch > watch.epoch)).await;
        self.view()
    }

    /// Replaces the seeds, for example after the settings file has changed.
    pub(crate) fn set_seeds(&self, seeds: Vec<CoreAddress>) {
        self.state.borrow_mut().driver.set_seeds(seeds);
    }

    /// Whether the process may exit without loss, after [`Input::Leave`].
    pub(crate) fn may_leave(&self) -> bool {
        self.state.borrow().driver.replication().may_leave()
    }

    /// Status for operators, as JSON.
    pub(crate) fn status(&self) -> Value {
        let state = self.state.borrow();
        let now = clock::steady();
        let replication = state.driver.replication();
        json!({
            "core": replication.status(now),
            "seeds": replication.seeds(),
            "configuration": configuration_version(&replication.state()),
            "relay": state.relay.status(),
            "calls": state.driver.in_flight_requests(),
            "scheduler": state.driver.scheduler().map(|scheduler| scheduler.status(now)),
            "last_error": logs::last_error(),
        })
    }

    /// Explains one job or one user, if this machine is the acting primary.
    pub(crate) fn explain(&self, request: &ExplainRequest) -> ExplainOutcome {
        let now = clock::steady();
        let state = self.state.borrow();
        let is_acting = state.driver.acting_epoch(now).is_some();
        match state.driver.scheduler() {
            Some(scheduler) if is_acting => explain::explain(scheduler, now, request),
            _ => ExplainOutcome::NotPrimary,
        }
    }
}

/// The version of the configuration in a replica of the state; `None` on a witness, which has no state.
fn configuration_version(state: &StateMap) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct Versioned {
        version: u64,
    }
    let text = state.get(CURRENT_KEY)?;
    let current: Versioned = serde_json::from_str(text).ok()?;
    Some(current.version)
}

/// Reports that the caller of a request has disconnected, if the guard is dropped before the outcome arrives.
struct RequestGuard<'a> {
    state: &'a SharedState,
    request: Option<RequestId>,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.state.borrow_mut().on_caller_disconnected(request);
        }
    }
}
