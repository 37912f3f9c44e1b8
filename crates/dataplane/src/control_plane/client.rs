//! Discovery of the primary over HTTP, and requests to the primary, whose outcomes update the discovery.

use super::cluster_view::{post_request, probe, watch};
use super::connections::{Connections, Endpoint};
use super::PrimaryDiscovery;
use http::StatusCode;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use streamusher_protocol::internal::{ClusterView, CoreAddress, NotPrimary};
use streamusher_protocol::Millis;
use streamusher_runtime::clock;
use streamusher_runtime::http::{parse_json, RequestError, Response};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Pause after a failed watch before another member is watched.
const WATCH_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest sleep between two rounds of probes: after a round in which no address could be probed, the next
/// one may be due immediately.
const MIN_SLEEP_MS: Millis = 1;

/// Outcome of a request to the primary.
#[derive(Debug)]
pub enum RequestOutcome {
    /// The primary responded, with any status except 421 and 504.
    Responded(Response),
    /// The request was certainly not executed: it could not be encoded, the member is not the primary (421),
    /// or no byte of the request reached it. It may be sent to another primary.
    NotExecuted,
    /// The request may have been executed.
    Unknown,
}

/// Finds and tracks the primary, and sends requests to it. Clones share their state.
#[derive(Clone)]
pub struct ControlPlaneClient {
    shared: Rc<Shared>,
}

struct Shared {
    discovery: RefCell<PrimaryDiscovery>,
    connections: Connections,
    /// Time since which no primary has been known; `None` while one is known.
    unavailable_since: Cell<Option<Millis>>,
    /// Notified of each change of the discovery's state.
    changed: Notify,
}

impl ControlPlaneClient {
    /// Creates a client that knows only the seeds; [`ControlPlaneClient::run`] finds the primary.
    ///
    /// `max_idle_connections` is the number of idle connections kept to each member; each also costs the
    /// member a file descriptor.
    pub fn new(
        seeds: Vec<CoreAddress>,
        jitter_seed: u64,
        max_idle_connections: usize,
    ) -> ControlPlaneClient {
        let shared = Shared {
            discovery: RefCell::new(PrimaryDiscovery::new(seeds, jitter_seed)),
            connections: Connections::new(max_idle_connections),
            unavailable_since: Cell::new(Some(clock::steady())),
            changed: Notify::new(),
        };
        ControlPlaneClient {
            shared: Rc::new(shared),
        }
    }

    /// Sends probes when they are due, and watches one member for the next epoch. Never returns; must run
    /// within a `LocalSet`.
    pub async fn run(&self) {
        tokio::join!(self.send_probes(), self.watch_member());
    }

    async fn send_probes(&self) {
        loop {
            let changed = self.shared.changed.notified();
            let now = clock::steady();
            let (probes, next_probe_at) = {
                let mut discovery = self.shared.discovery.borrow_mut();
                (discovery.take_due_probes(now), discovery.next_probe_at())
            };
            for address in probes {
                let client = self.clone();
                tokio::task::spawn_local(async move { client.send_probe(address).await });
            }
            let sleep_ms = next_probe_at.saturating_sub(now).max(MIN_SLEEP_MS);
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep(Duration::from_millis(sleep_ms)) => {}
            }
        }
    }

    async fn send_probe(&self, address: Arc<str>) {
        let view = match self.shared.connections.endpoint(&address) {
            Some(endpoint) => probe(endpoint.client()).await,
            None => None,
        };
        self.update(|discovery, now| match view {
            Some(view) => discovery.on_view(now, &address, &view),
            None => discovery.on_request_failed(now, &address),
        });
    }

    /// Watches a member other than the primary. A primary that hangs sends no notification: another member
    /// announces the next epoch before a time-out would expire.
    async fn watch_member(&self) {
        loop {
            let changed = self.shared.changed.notified();
            let (address, epoch) = {
                let discovery = self.shared.discovery.borrow();
                (discovery.watch_target(), discovery.epoch())
            };
            let endpoint = address.and_then(|address| self.shared.connections.endpoint(&address));
            let Some(endpoint) = endpoint else {
                changed.await;
                continue;
            };
            let view = watch(endpoint.client(), epoch).await;
            if let Some(view) = view.filter(|view| view.epoch >= epoch) {
                self.on_view(&endpoint, &view);
            } else {
                self.shared.discovery.borrow_mut().advance_watch_target();
                tokio::time::sleep(WATCH_RETRY_INTERVAL).await;
            }
        }
    }

    /// The primary; `None` if none is known or the known one is suspected.
    pub fn primary(&self) -> Option<Endpoint> {
        let address = {
            let discovery = self.shared.discovery.borrow();
            Arc::clone(&discovery.primary()?.internal)
        };
        self.shared.connections.endpoint(&address)
    }

    /// How long no primary has been known, in milliseconds; 0 while one is.
    pub fn outage_ms(&self) -> Millis {
        self.shared
            .unavailable_since
            .get()
            .map_or(0, |since| clock::steady().saturating_sub(since))
    }

    /// Waits until a primary is known; returns `None` if there is none by `deadline`.
    pub async fn wait_for_primary(&self, deadline: Instant) -> Option<Endpoint> {
        let primary = async {
            loop {
                let changed = self.shared.changed.notified();
                if let Some(primary) = self.primary() {
                    return primary;
                }
                changed.await;
            }
        };
        tokio::time::timeout_at(deadline, primary).await.ok()
    }

    /// Whether a primary is known that responded within the last `max_age_ms`.
    pub fn is_fresh(&self, max_age_ms: Millis) -> bool {
        let discovery = self.shared.discovery.borrow();
        discovery.is_fresh(clock::steady(), max_age_ms)
    }

    /// Replaces the seeds, for example after a reload of the settings.
    pub fn set_seeds(&self, seeds: Vec<CoreAddress>) {
        self.update(|discovery, _now| discovery.set_seeds(seeds));
    }

    /// The known state of the cluster, for the status document.
    pub fn view(&self) -> ClusterView {
        let discovery = self.shared.discovery.borrow();
        ClusterView {
            epoch: discovery.epoch(),
            primary: discovery.primary().cloned(),
            members: discovery.members().to_vec(),
        }
    }

    /// Updates the discovery with a view that a response from `endpoint` carried.
    pub fn on_view(&self, endpoint: &Endpoint, view: &ClusterView) {
        self.update(|discovery, now| discovery.on_view(now, endpoint.address(), view));
    }

    /// Posts `body` as JSON to `endpoint`, and updates the discovery with the outcome.
    ///
    /// The request is abandoned once another member is the primary, since a former primary may never respond.
    pub async fn post<T: Serialize>(
        &self,
        endpoint: &Endpoint,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> RequestOutcome {
        let Ok(request) = post_request(path, body) else {
            return RequestOutcome::NotExecuted;
        };
        let result = tokio::select! {
            biased;
            result = endpoint.client().send(request, timeout) => result,
            () = self.wait_until_superseded(endpoint) => return RequestOutcome::Unknown,
        };
        match result {
            Ok(response) => self.on_response(endpoint, response),
            Err(error) => self.on_request_error(endpoint, &error),
        }
    }

    /// Completes once a member other than `endpoint` is the primary.
    async fn wait_until_superseded(&self, endpoint: &Endpoint) {
        loop {
            let changed = self.shared.changed.notified();
            if self.is_superseded(endpoint) {
                return;
            }
            changed.await;
        }
    }

    fn is_superseded(&self, endpoint: &Endpoint) -> bool {
        let discovery = self.shared.discovery.borrow();
        discovery.is_superseded(endpoint.address())
    }

    fn on_response(&self, endpoint: &Endpoint, response: Response) -> RequestOutcome {
        let address = endpoint.address();
        match response.status() {
            StatusCode::MISDIRECTED_REQUEST => {
                let rejection: NotPrimary = parse_json(response.body()).unwrap_or_default();
                self.update(|discovery, now| {
                    discovery.on_not_primary(now, address, &rejection.view);
                });
                RequestOutcome::NotExecuted
            }
            // The primary could not commit and is about to step down. It is suspected until it responds
            // again.
            StatusCode::GATEWAY_TIMEOUT => {
                self.update(|discovery, now| discovery.on_request_failed(now, address));
                RequestOutcome::Unknown
            }
            _ => {
                self.on_primary_responded(address);
                RequestOutcome::Responded(response)
            }
        }
    }

    fn on_request_error(&self, endpoint: &Endpoint, error: &RequestError) -> RequestOutcome {
        let address = endpoint.address();
        log::debug!("request to {address} failed: {error}");
        self.update(|discovery, now| discovery.on_request_failed(now, address));
        match error {
            RequestError::NotSent(_) => RequestOutcome::NotExecuted,
            RequestError::Unknown(_) => RequestOutcome::Unknown,
        }
    }

    /// Records a response of the primary. Wakes no task, except if the primary was suspected or unknown,
    /// which is rare.
    fn on_primary_responded(&self, address: &str) {
        let was_known = self.is_primary_known();
        self.shared
            .discovery
            .borrow_mut()
            .on_response(clock::steady(), address);
        if !was_known {
            self.update_availability();
            self.shared.changed.notify_waiters();
        }
    }

    fn is_primary_known(&self) -> bool {
        self.shared.discovery.borrow().primary().is_some()
    }

    fn update_availability(&self) {
        let unavailable_since = &self.shared.unavailable_since;
        let since = unavailable_since.get().unwrap_or_else(clock::steady);
        unavailable_since.set((!self.is_primary_known()).then_some(since));
    }

    fn update(&self, change: impl FnOnce(&mut PrimaryDiscovery, Millis)) {
        {
            let mut discovery = self.shared.discovery.borrow_mut();
            let former = discovery.primary().cloned();
            change(&mut discovery, clock::steady());
            log_primary_change(former.as_ref(), &discovery);
        }
        self.update_availability();
        self.drop_unknown_connections();
        self.shared.changed.notify_waiters();
    }

    fn drop_unknown_connections(&self) {
        let discovery = self.shared.discovery.borrow();
        let connections = &self.shared.connections;
        connections.retain(|address| discovery.is_known(address));
    }
}

fn log_primary_change(former: Option<&CoreAddress>, discovery: &PrimaryDiscovery) {
    match discovery.primary() {
        current if current == former => {}
        Some(primary) => log::info!(
            "the primary of epoch {} is {}",
            discovery.epoch(),
            primary.internal
        ),
        None => log::info!(
            "no primary known: probing {} members",
            discovery.members().len()
        ),
    }
}
