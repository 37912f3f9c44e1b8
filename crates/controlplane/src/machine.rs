//! One core machine at work: the driver, and the queues that its actions go to.

use crate::disk::Disk;
use crate::driver::{Action, ControlOutcome, ControlRequest, Driver, Recovery};
use crate::peers::Peers;
use crate::relay::Relay;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use streamusher_configuration::relay::RelayEnvelope;
use streamusher_configuration::store::CURRENT_KEY;
use streamusher_coordination::{Coordinator, Input, Message, StateMap};
use streamusher_protocol::internal::{
    ClusterView, ClusterWatch, CoreAddress, ExplainRequest, GateLeaseRequest, GateLeaseResponse,
};
use streamusher_protocol::Millis;
use streamusher_runtime::{clock, logs};
use streamusher_scheduler::{RequestId, Scheduler};
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

/// The machine, shared by its servers and its loop. Each borrow ends before anything is waited for.
#[derive(Clone)]
pub struct Machine {
    shared: Rc<RefCell<Shared>>,
}

struct Shared {
    /// Itself, for what comes back from other threads.
    me: Weak<RefCell<Shared>>,
    driver: Driver<Coordinator, Scheduler>,
    callers: HashMap<RequestId, oneshot::Sender<ControlOutcome>>,
    peers: Peers,
    disk: Disk,
    relay: Relay,
    /// The newest epoch known, for callers that wait for the next.
    epochs: watch::Sender<u64>,
}

/// What is known of something that an operator asks about.
#[derive(Clone, Debug, PartialEq)]
pub enum Explained {
    /// This.
    Known(serde_json::Value),
    /// Nothing, and why.
    Unknown(&'static str),
    /// Only the primary knows.
    NotPrimary,
}

/// The longest time for which a call that waits for the next epoch is held.
const LONGEST_WATCH_MS: Millis = 10_000;

impl Machine {
    /// Joins the parts.
    pub fn new(driver: Driver<Coordinator, Scheduler>, peers: Peers, disk: Disk) -> Machine {
        let epochs = watch::Sender::new(driver.replication().epoch());
        let shared = |me: &Weak<RefCell<Shared>>| {
            let (me, callers, relay) = (me.clone(), HashMap::new(), Relay::default());
            RefCell::new(Shared {
                me,
                driver,
                callers,
                peers,
                disk,
                relay,
                epochs,
            })
        };
        Machine {
            shared: Rc::new_cyclic(shared),
        }
    }

    /// Makes a call and waits for its answer. Dropping it tells the scheduler that the caller has left.
    pub async fn call(&self, call: ControlRequest) -> ControlOutcome {
        let (answered, answer) = oneshot::channel();
        let request = self.shared.borrow_mut().call(call, answered);
        let mut caller = Caller {
            machine: self,
            request: Some(request),
        };
        let answer = answer.await;
        caller.request = None;
        answer.unwrap_or(ControlOutcome::Unknown)
    }

    /// Takes an input of replication.
    pub fn input(&self, input: Input) {
        self.shared.borrow_mut().input(input);
    }

    /// Takes messages of another core machine.
    pub fn received(&self, from: &Arc<str>, messages: Vec<Message>) {
        let mut shared = self.shared.borrow_mut();
        for message in messages {
            shared.input(Input::Received {
                from: from.clone(),
                message,
            });
        }
    }

    /// Time has passed.
    pub fn tick(&self) {
        let mut shared = self.shared.borrow_mut();
        let now = clock::now();
        let actions = shared.driver.tick(now);
        shared.perform(actions);
        let epoch = shared.driver.reign(now.steady_ms);
        shared.relay.tick(now.steady_ms, epoch);
    }

    /// Renews a gate's lease; none where this is not the primary.
    pub fn gate_lease(&self, lease: &GateLeaseRequest) -> Option<GateLeaseResponse> {
        let now = clock::steady();
        let shared = &mut *self.shared.borrow_mut();
        let epoch = shared.driver.reign(now)?;
        Some(shared.relay.lease(now, epoch, lease))
    }

    /// Takes messages of a member of the relay tree; none where this is not the primary.
    pub fn relay(&self, envelope: RelayEnvelope) -> Option<()> {
        let now = clock::steady();
        let shared = &mut *self.shared.borrow_mut();
        let epoch = shared.driver.reign(now)?;
        shared.relay.receive(now, epoch, envelope);
        Some(())
    }

    /// What is known of the control plane.
    pub fn view(&self) -> ClusterView {
        self.shared
            .borrow()
            .driver
            .replication()
            .view(clock::steady())
    }

    /// The same once a newer epoch is known than the caller knows, or when its time is over.
    pub async fn view_after(&self, watch: ClusterWatch) -> ClusterView {
        let mut epochs = self.shared.borrow().epochs.subscribe();
        let wait = Duration::from_millis(watch.wait_ms.min(LONGEST_WATCH_MS));
        // Whichever comes first: the view is answered all the same.
        let _ = timeout(wait, epochs.wait_for(|epoch| *epoch > watch.epoch)).await;
        self.view()
    }

    /// Replaces the seeds, as after a change of the settings file.
    pub fn set_seeds(&self, seeds: Vec<CoreAddress>) {
        self.shared.borrow_mut().driver.set_seeds(seeds);
    }

    /// Whether nothing is lost when the process ends now, after [`Input::Leave`].
    pub fn may_leave(&self) -> bool {
        self.shared.borrow().driver.replication().may_leave()
    }

    /// Status for operators.
    pub fn status(&self) -> serde_json::Value {
        let shared = self.shared.borrow();
        let now = clock::steady();
        let replication = shared.driver.replication();
        serde_json::json!({
            "core": replication.status(now),
            "seeds": replication.seeds(),
            "configuration": configuration_version(&replication.state()),
            "relay": shared.relay.status(),
            "calls": shared.driver.outstanding(),
            "scheduler": shared.driver.scheduler().map(|scheduler| scheduler.status(now)),
            "last_error": logs::last_error(),
        })
    }

    /// What is known of one job or user.
    pub fn explain(&self, asked: &ExplainRequest) -> Explained {
        let now = clock::steady();
        let shared = self.shared.borrow();
        let acts = shared.driver.reign(now).is_some();
        let Some(scheduler) = shared.driver.scheduler().filter(|_| acts) else {
            return Explained::NotPrimary;
        };
        let (known, unknown) = match asked {
            ExplainRequest::Job(id) => (
                scheduler
                    .explain_job(now, id)
                    .map(|job| serde_json::json!(job)),
                "no such job: it was not accepted, or ended long ago",
            ),
            ExplainRequest::User(user) => (
                scheduler
                    .explain_user(now, user)
                    .map(|debt| serde_json::json!(debt)),
                "debts are off: start the control plane with --share-debt or --share-debt-settings",
            ),
        };
        known.map_or(Explained::Unknown(unknown), Explained::Known)
    }

    fn abandon(&self, request: RequestId) {
        let mut shared = self.shared.borrow_mut();
        shared.callers.remove(&request);
        let actions = shared.driver.abandon(clock::now(), request);
        shared.perform(actions);
    }
}

impl Shared {
    fn call(
        &mut self,
        call: ControlRequest,
        answered: oneshot::Sender<ControlOutcome>,
    ) -> RequestId {
        let (request, actions) = self.driver.call(clock::now(), call);
        self.callers.insert(request, answered);
        self.perform(actions);
        request
    }

    fn input(&mut self, input: Input) {
        let actions = self.driver.input(clock::now(), input);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.peers.send(&to, message),
                Action::Persist { ticket, change } => self.disk.persist(ticket, change),
                Action::Recover(recovery) => self.recover(recovery),
                Action::Answer { request, answer } => self.answer(request, answer),
            }
        }
        self.publish();
        self.tell_epoch();
    }

    /// Recovers the scheduler on a thread of its own: keepalives go on here.
    fn recover(&self, recovery: Recovery) {
        let (me, epoch) = (self.me.clone(), recovery.epoch);
        tokio::task::spawn_local(async move {
            let Ok(scheduler) = tokio::task::spawn_blocking(move || recovery.run()).await else {
                return;
            };
            let Some(shared) = me.upgrade() else { return };
            let shared = &mut *shared.borrow_mut();
            let actions = shared.driver.recovered(clock::now(), epoch, scheduler);
            shared.perform(actions);
        });
    }

    /// Wakes callers that wait for a newer epoch.
    fn tell_epoch(&self) {
        let newest = self.driver.replication().epoch();
        self.epochs
            .send_if_modified(|known| std::mem::replace(known, newest) != newest);
    }

    fn publish(&mut self) {
        let now = clock::steady();
        let Some((epoch, published)) = self.driver.take_published(now) else {
            return;
        };
        for configuration in &published {
            self.relay.publish(now, epoch, configuration);
        }
    }

    fn answer(&mut self, request: RequestId, answer: ControlOutcome) {
        if let Some(caller) = self.callers.remove(&request) {
            // A caller that has left needs no answer.
            let _ = caller.send(answer);
        }
    }
}

/// The version of the configuration in a copy of the state; a witness has none.
fn configuration_version(state: &StateMap) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct Versioned {
        version: u64,
    }
    let text = state.get(CURRENT_KEY)?;
    serde_json::from_str::<Versioned>(text)
        .ok()
        .map(|current| current.version)
}

/// Tells that the caller has left, if it is dropped before the answer.
struct Caller<'a> {
    machine: &'a Machine,
    request: Option<RequestId>,
}

impl Drop for Caller<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.machine.abandon(request);
        }
    }
}
