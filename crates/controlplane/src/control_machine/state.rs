//! The state of a control machine: its driver, and the queues that receive the driver's actions.

use crate::driver::{Action, ControlOutcome, ControlRequest, Driver, Recovery};
use crate::peer_messages::PeerQueues;
use crate::primary_relay::PrimaryRelay;
use crate::store::writer::StoreWriter;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use streamusher_coordination::{Coordinator, Input};
use streamusher_runtime::clock;
use streamusher_scheduler::{RequestId, Scheduler};
use tokio::sync::{oneshot, watch};

/// The state, shared by the servers and the event loop of one process.
pub(super) type SharedState = Rc<RefCell<MachineState>>;

/// The driver of a control machine and the queues that receive its actions.
pub(super) struct MachineState {
    /// A weak reference to this value, with which a recovery on another thread returns its result.
    own_handle: Weak<RefCell<MachineState>>,
    pub(super) driver: Driver<Coordinator, Scheduler>,
    pub(super) relay: PrimaryRelay,
    waiting_callers: HashMap<RequestId, oneshot::Sender<ControlOutcome>>,
    peers: PeerQueues,
    store_writer: StoreWriter,
    /// The newest known epoch; callers that wait for the next epoch subscribe to it.
    newest_epoch: watch::Sender<u64>,
}

impl MachineState {
    /// Combines the driver with its queues.
    pub(super) fn shared(
        driver: Driver<Coordinator, Scheduler>,
        peers: PeerQueues,
        store_writer: StoreWriter,
    ) -> SharedState {
        let newest_epoch = watch::Sender::new(driver.replication().epoch());
        Rc::new_cyclic(|own_handle| {
            RefCell::new(MachineState {
                own_handle: own_handle.clone(),
                driver,
                relay: PrimaryRelay::default(),
                waiting_callers: HashMap::new(),
                peers,
                store_writer,
                newest_epoch,
            })
        })
    }

    /// Passes a request to the driver. The outcome is sent to `caller`, possibly before this method returns.
    pub(super) fn start_request(
        &mut self,
        request: ControlRequest,
        caller: oneshot::Sender<ControlOutcome>,
    ) -> RequestId {
        let (id, actions) = self.driver.on_request(clock::now(), request);
        self.waiting_callers.insert(id, caller);
        self.perform(actions);
        id
    }

    /// Reports that the caller of a request has disconnected.
    pub(super) fn on_caller_disconnected(&mut self, request: RequestId) {
        self.waiting_callers.remove(&request);
        let actions = self.driver.on_caller_disconnected(clock::now(), request);
        self.perform(actions);
    }

    /// Passes an input to replication.
    pub(super) fn handle_input(&mut self, input: Input) {
        let actions = self.driver.handle_input(clock::now(), input);
        self.perform(actions);
    }

    /// Advances to the current time.
    pub(super) fn tick(&mut self) {
        let now = clock::now();
        let actions = self.driver.tick(now);
        self.perform(actions);
        let epoch = self.driver.acting_epoch(now.steady_ms);
        self.relay.tick(now.steady_ms, epoch);
    }

    /// Subscribes to changes of the newest known epoch.
    pub(super) fn subscribe_epoch(&self) -> watch::Receiver<u64> {
        self.newest_epoch.subscribe()
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.peers.send(&to, message),
                Action::Persist { ticket, change } => self.store_writer.persist(ticket, change),
                Action::Recover(recovery) => self.start_recovery(recovery),
                Action::Respond { request, outcome } => self.respond(request, outcome),
            }
        }
        self.publish_configurations();
        self.notify_epoch();
    }

    /// Recovers the scheduler on another thread, so that this thread continues to send keepalives.
    fn start_recovery(&self, recovery: Recovery) {
        let handle = self.own_handle.clone();
        let epoch = recovery.epoch;
        tokio::task::spawn_local(async move {
            let Ok(scheduler) = tokio::task::spawn_blocking(move || recovery.run()).await else {
                return;
            };
            let Some(state) = handle.upgrade() else {
                return;
            };
            let state = &mut *state.borrow_mut();
            let actions = state.driver.on_recovered(clock::now(), epoch, scheduler);
            state.perform(actions);
        });
    }

    /// Wakes the callers that wait for a newer epoch.
    fn notify_epoch(&self) {
        let newest = self.driver.replication().epoch();
        self.newest_epoch
            .send_if_modified(|known| std::mem::replace(known, newest) != newest);
    }

    fn publish_configurations(&mut self) {
        let now = clock::steady();
        let Some(committed) = self.driver.take_committed_configurations(now) else {
            return;
        };
        for configuration in &committed.configurations {
            self.relay.publish(now, committed.epoch, configuration);
        }
    }

    fn respond(&mut self, request: RequestId, outcome: ControlOutcome) {
        if let Some(caller) = self.waiting_callers.remove(&request) {
            // A caller that has disconnected receives no response.
            let _ = caller.send(outcome);
        }
    }
}
