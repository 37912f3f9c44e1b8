//! The finder at work: questions to core machines, and calls to the primary.

use super::PrimaryDiscovery;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::StatusCode;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use streamusher_protocol::internal::{
    ClusterView, ClusterWatch, CoreAddress, NotPrimary, CLUSTER_PATH, CLUSTER_WATCH_PATH,
};
use streamusher_protocol::Millis;
use streamusher_runtime::clock;
use streamusher_runtime::http::{
    parse_json, Client, ClientLimits, Request, RequestError, Response,
};
use tokio::sync::Notify;

/// How long a question may take.
const QUESTION_DEADLINE: Duration = Duration::from_millis(400);

/// How long a member holds a watch, and how much later its answer may come.
const WATCH_MS: Millis = 3_000;
const WATCH_SLACK_MS: Millis = 400;

/// Before another member is watched.
const WATCH_PAUSE: Duration = Duration::from_millis(100);

/// A process to call: its address, and the client that does.
#[derive(Clone)]
pub struct Endpoint {
    address: Arc<str>,
    client: Client,
}

impl Endpoint {
    /// Its internal address.
    pub fn address(&self) -> &Arc<str> {
        &self.address
    }
}

/// What came of a call to the primary.
#[derive(Debug)]
pub enum RequestOutcome {
    /// It answered; any status but 421 and 504.
    Responded(Response),
    /// Nothing was done: it is not the primary, or no byte reached it.
    NotExecuted,
    /// It may have been carried out.
    Unknown,
}

/// Follows the primary; clones share what is known.
#[derive(Clone)]
pub struct ControlPlaneClient {
    shared: Rc<Shared>,
}

struct Shared {
    limits: ClientLimits,
    finder: RefCell<PrimaryDiscovery>,
    clients: RefCell<BTreeMap<Arc<str>, Client>>,
    /// Since when no primary is known.
    lost_since: Cell<Option<Millis>>,
    changed: Notify,
}

impl ControlPlaneClient {
    /// A link that knows the seeds; [`ControlPlaneClient::run`] makes it find the primary. `resting` is how many connections to one
    /// member are kept while nothing is called: each takes a descriptor there too.
    pub fn new(seeds: Vec<CoreAddress>, seed: u64, resting: usize) -> ControlPlaneClient {
        let shared = Shared {
            limits: ClientLimits {
                max_idle: resting,
                ..ClientLimits::default()
            },
            finder: RefCell::new(PrimaryDiscovery::new(seeds, seed)),
            clients: RefCell::default(),
            lost_since: Cell::new(Some(clock::steady())),
            changed: Notify::new(),
        };
        ControlPlaneClient {
            shared: Rc::new(shared),
        }
    }

    /// Asks whenever the finder has questions, and watches one member for the next epoch. Never ends; within a
    /// `LocalSet`.
    pub async fn run(&self) {
        tokio::join!(self.ask_when_due(), self.watch());
    }

    async fn ask_when_due(&self) {
        loop {
            let changed = self.shared.changed.notified();
            let now = clock::steady();
            let (questions, due_at) = {
                let mut finder = self.shared.finder.borrow_mut();
                (finder.take_due_probes(now), finder.next_probe_at())
            };
            for address in questions {
                let link = self.clone();
                tokio::task::spawn_local(async move { link.ask(address).await });
            }
            // At least a millisecond: a round that had no one to ask is due again at once otherwise.
            let pause = Duration::from_millis(due_at.saturating_sub(now).max(1));
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// A primary that falls silent tells nobody: another member's word on the next epoch comes sooner than a time-out.
    async fn watch(&self) {
        loop {
            let changed = self.shared.changed.notified();
            let (watched, epoch) = {
                let finder = self.shared.finder.borrow();
                (finder.watch_target(), finder.epoch())
            };
            let Some(target) = watched.and_then(|address| self.target(&address)) else {
                changed.await;
                continue;
            };
            let view = watch_question(&target.client, epoch)
                .await
                .filter(|view| view.epoch >= epoch);
            match view {
                Some(view) => self.on_view(&target, &view),
                None => {
                    self.shared.finder.borrow_mut().advance_watch_target();
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
            }
        }
    }

    /// Comes back once another process than `target` is the primary.
    async fn superseded(&self, target: &Endpoint) {
        loop {
            let changed = self.shared.changed.notified();
            if self.shared.finder.borrow().is_superseded(&target.address) {
                return;
            }
            changed.await;
        }
    }

    /// The primary, where one is known.
    pub fn primary(&self) -> Option<Endpoint> {
        let address = self
            .shared
            .finder
            .borrow()
            .primary()
            .map(|primary| Arc::clone(&primary.internal))?;
        self.target(&address)
    }

    /// How long no primary has been known; 0 while one is.
    pub fn outage_ms(&self) -> Millis {
        self.shared
            .lost_since
            .get()
            .map_or(0, |since| clock::steady().saturating_sub(since))
    }

    /// Waits for a primary, at most until `deadline`.
    pub async fn wait_for_primary(&self, deadline: tokio::time::Instant) -> Option<Endpoint> {
        let found = async {
            loop {
                let changed = self.shared.changed.notified();
                if let Some(target) = self.primary() {
                    return target;
                }
                changed.await;
            }
        };
        tokio::time::timeout_at(deadline, found).await.ok()
    }

    /// Whether a primary is known that answered within `span`.
    pub fn is_fresh(&self, span: Millis) -> bool {
        self.shared.finder.borrow().is_fresh(clock::steady(), span)
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<CoreAddress>) {
        self.change(|finder, _now| finder.set_seeds(seeds));
    }

    /// What is known, for operators.
    pub fn view(&self) -> ClusterView {
        let finder = self.shared.finder.borrow();
        ClusterView {
            epoch: finder.epoch(),
            primary: finder.primary().cloned(),
            members: finder.members().to_vec(),
        }
    }

    /// Takes a view that came with an answer from `target`.
    pub fn on_view(&self, target: &Endpoint, view: &ClusterView) {
        self.change(|finder, now| finder.on_view(now, &target.address, view));
    }

    /// Posts `body` to `target` and notes what that says of the primary. Gives up once another one is the primary: the
    /// former may never answer.
    pub async fn post<T: Serialize>(
        &self,
        target: &Endpoint,
        path: &str,
        body: &T,
        deadline: Duration,
    ) -> RequestOutcome {
        let Ok(call) = post_call(path, body) else {
            return RequestOutcome::NotExecuted;
        };
        let answered = tokio::select! {
            biased;
            answered = target.client.send(call, deadline) => answered,
            () = self.superseded(target) => return RequestOutcome::Unknown,
        };
        match answered {
            Ok(answer) if answer.status() == StatusCode::MISDIRECTED_REQUEST => {
                let refusal = parse_json::<NotPrimary>(answer.body()).unwrap_or_default();
                self.change(|finder, now| {
                    finder.on_not_primary(now, &target.address, &refusal.view)
                });
                RequestOutcome::NotExecuted
            }
            Ok(answer) if answer.status() == StatusCode::GATEWAY_TIMEOUT => {
                // It could not commit: it is about to give up its office, and its own word brings it back.
                self.change(|finder, now| finder.on_request_failed(now, &target.address));
                RequestOutcome::Unknown
            }
            Ok(answer) => {
                self.succeeded(&target.address);
                RequestOutcome::Responded(answer)
            }
            Err(error) => {
                log::debug!("call to {}: {error}", target.address);
                self.change(|finder, now| finder.on_request_failed(now, &target.address));
                match error {
                    RequestError::NotSent(_) => RequestOutcome::NotExecuted,
                    RequestError::Unknown(_) => RequestOutcome::Unknown,
                }
            }
        }
    }

    async fn ask(&self, address: Arc<str>) {
        let view = match self.target(&address) {
            Some(target) => question(&target.client).await,
            None => None,
        };
        self.change(|finder, now| match view {
            Some(view) => finder.on_view(now, &address, &view),
            None => finder.on_request_failed(now, &address),
        });
    }

    /// Notes an answer of the primary. Wakes no one unless it was doubted: this is the usual case.
    fn succeeded(&self, address: &str) {
        let was_known = self.shared.finder.borrow().primary().is_some();
        self.shared
            .finder
            .borrow_mut()
            .on_response(clock::steady(), address);
        if !was_known {
            self.note_outage();
            self.shared.changed.notify_waiters();
        }
    }

    fn note_outage(&self) {
        let known = self.shared.finder.borrow().primary().is_some();
        let since = self.shared.lost_since.get().unwrap_or_else(clock::steady);
        self.shared.lost_since.set((!known).then_some(since));
    }

    fn change(&self, change: impl FnOnce(&mut PrimaryDiscovery, Millis)) {
        {
            let mut finder = self.shared.finder.borrow_mut();
            let before = finder.primary().cloned();
            change(&mut finder, clock::steady());
            log_change(before.as_ref(), &finder);
        }
        self.note_outage();
        self.forget_clients();
        self.shared.changed.notify_waiters();
    }

    fn target(&self, address: &Arc<str>) -> Option<Endpoint> {
        let mut clients = self.shared.clients.borrow_mut();
        if let Some(client) = clients.get(address) {
            return Some(Endpoint {
                address: Arc::clone(address),
                client: client.clone(),
            });
        }
        let client = Client::with_limits(
            address.parse::<SocketAddr>().ok()?,
            self.shared.limits.clone(),
        );
        clients.insert(Arc::clone(address), client.clone());
        Some(Endpoint {
            address: Arc::clone(address),
            client,
        })
    }

    /// Clients of machines that are no longer known are dropped with their connections.
    fn forget_clients(&self) {
        let finder = self.shared.finder.borrow();
        self.shared
            .clients
            .borrow_mut()
            .retain(|address, _| finder.is_known(address));
    }
}

fn log_change(before: Option<&CoreAddress>, finder: &PrimaryDiscovery) {
    match finder.primary() {
        after if after == before => {}
        Some(primary) => log::info!(
            "the primary of epoch {} is {}",
            finder.epoch(),
            primary.internal
        ),
        None => log::info!(
            "no primary is known: asking {} members",
            finder.members().len()
        ),
    }
}

fn post_call<T: Serialize>(path: &str, body: &T) -> Result<Request, http::Error> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    http::Request::post(path)
        .header(CONTENT_TYPE, "application/json")
        .body(Bytes::from(body))
}

async fn question(client: &Client) -> Option<ClusterView> {
    let call = http::Request::get(CLUSTER_PATH).body(Bytes::new()).ok()?;
    view(client, call, QUESTION_DEADLINE).await
}

async fn watch_question(client: &Client, epoch: u64) -> Option<ClusterView> {
    let watch = ClusterWatch {
        epoch,
        wait_ms: WATCH_MS,
    };
    let call = post_call(CLUSTER_WATCH_PATH, &watch).ok()?;
    view(
        client,
        call,
        Duration::from_millis(WATCH_MS + WATCH_SLACK_MS),
    )
    .await
}

async fn view(client: &Client, call: Request, deadline: Duration) -> Option<ClusterView> {
    let answer = client.send(call, deadline).await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    parse_json(answer.body()).ok()
}
