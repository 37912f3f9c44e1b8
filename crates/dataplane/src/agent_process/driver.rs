//! Drives the agent's state machine: passes events to it, executes its actions and runs its timer.

use super::pending_requests::{Completion, PendingRequests};
use super::sync;
use super::worker_request::{parse, parse_heartbeat, WorkerRequest, WorkerRequestError};
use crate::agent::{Agent, AgentAction, AgentEvent, AgentSettings, AgentStatus};
use crate::control_plane::ControlPlaneClient;
use crate::process;
use http::StatusCode;
use serde::Serialize;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use streamusher_protocol::heartbeat::HeartbeatResponse;
use streamusher_protocol::internal::{AgentSync, ClusterView};
use streamusher_runtime::clock;
use streamusher_runtime::http::{empty, json, Request, Response};
use streamusher_runtime::logs::{self, LastError};
use streamusher_runtime::settings::{self, ProcessSettings};
use tokio::sync::Notify;

/// Idle connections kept to each member: the primary holds one sync, and a change at the worker is sent in a
/// second one.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// The agent's state machine with its timer and its pending requests. Clones share their state.
#[derive(Clone)]
pub struct AgentProcess {
    shared: Rc<Shared>,
}

struct Shared {
    agent: RefCell<Agent>,
    client: ControlPlaneClient,
    pending_requests: PendingRequests,
    /// Notified when the state machine's next wake-up is earlier than before.
    earlier_wakeup: Notify,
}

/// The status document of an agent's process.
#[derive(Serialize)]
struct AgentProcessStatus {
    role: &'static str,
    agent: AgentStatus,
    control_plane: ClusterView,
    last_error: Option<LastError>,
}

impl AgentProcess {
    /// Creates an agent that knows only the seeds of the settings; [`AgentProcess::start`] starts it.
    pub fn new(settings: &ProcessSettings) -> AgentProcess {
        let boot = process::random_number();
        let agent_settings = AgentSettings {
            name: Arc::clone(&settings.node_name),
            boot,
            hold_max_ms: settings.bounds.hold_max_ms,
            heartbeat_ms: settings.heartbeat_ms,
        };
        let seeds = settings.core_addresses_of_seeds();
        let shared = Shared {
            agent: RefCell::new(Agent::new(agent_settings, clock::steady())),
            client: ControlPlaneClient::new(seeds, boot, MAX_IDLE_CONNECTIONS),
            pending_requests: PendingRequests::default(),
            earlier_wakeup: Notify::new(),
        };
        AgentProcess {
            shared: Rc::new(shared),
        }
    }

    /// Starts discovery, syncs and the timer, and serves the status document at `status_address`. Must be
    /// called within a `LocalSet`.
    pub fn start(&self, status_address: SocketAddr) {
        let client = self.shared.client.clone();
        tokio::task::spawn_local(async move { client.run().await });
        let agent = self.clone();
        tokio::task::spawn_local(async move { agent.run_timer().await });
        let agent = self.clone();
        let status = move || agent.status();
        tokio::task::spawn_local(process::serve_status(status_address, status));
    }

    /// Handles a request from the worker.
    pub async fn respond(self, request: Request) -> Response {
        let result = match parse(&request) {
            Ok(WorkerRequest::Heartbeat(instance)) => self.on_heartbeat(instance, &request).await,
            Ok(WorkerRequest::Deregister(instance)) => Ok(self.on_deregister(instance).await),
            Err(error) => Err(error),
        };
        result.unwrap_or_else(|error| error.response())
    }

    /// Answers the long poll, because the process is about to exit.
    pub fn shut_down(&self) {
        let actions = self.shared.agent.borrow_mut().shut_down(clock::steady());
        self.execute(actions);
    }

    /// Reloads the seeds from the settings file.
    pub fn reload(&self) {
        settings::reload(|settings| {
            let seeds = settings.core_addresses_of_seeds();
            self.shared.client.set_seeds(seeds);
        });
    }

    async fn on_heartbeat(
        &self,
        instance: Arc<str>,
        request: &Request,
    ) -> Result<Response, WorkerRequestError> {
        let heartbeat = parse_heartbeat(request)?;
        let completion = self
            .request(|request_id| AgentEvent::Heartbeat {
                request_id,
                instance,
                heartbeat,
            })
            .await;
        let response = match completion {
            Some(Completion::Heartbeat(response)) => response,
            _ => HeartbeatResponse::default(),
        };
        Ok(json(StatusCode::OK, &response))
    }

    async fn on_deregister(&self, instance: Arc<str>) -> Response {
        self.request(|request_id| AgentEvent::Deregister {
            request_id,
            instance,
        })
        .await;
        empty(StatusCode::OK)
    }

    /// Passes a request to the state machine and waits for its answer; `None` if it is dropped unanswered.
    async fn request(&self, event: impl FnOnce(u64) -> AgentEvent) -> Option<Completion> {
        let (request_id, completion) = self.shared.pending_requests.begin();
        self.handle(event(request_id));
        completion.await.ok()
    }

    fn handle(&self, event: AgentEvent) {
        let now = clock::steady();
        let (actions, wakes_earlier) = {
            let mut agent = self.shared.agent.borrow_mut();
            let former = agent.next_wakeup();
            let actions = agent.handle(now, event);
            let wakes_earlier = match (former, agent.next_wakeup()) {
                (Some(former), Some(current)) => current < former,
                (None, Some(_)) => true,
                (_, None) => false,
            };
            (actions, wakes_earlier)
        };
        if wakes_earlier {
            self.shared.earlier_wakeup.notify_one();
        }
        self.execute(actions);
    }

    fn execute(&self, actions: Vec<AgentAction>) {
        let pending_requests = &self.shared.pending_requests;
        for action in actions {
            match action {
                AgentAction::Respond {
                    request_id,
                    response,
                } => pending_requests.complete(request_id, Completion::Heartbeat(response)),
                AgentAction::AcknowledgeDeregistration { request_id } => {
                    pending_requests.complete(request_id, Completion::Deregistered);
                }
                AgentAction::SendSync(sync) => {
                    let agent = self.clone();
                    tokio::task::spawn_local(async move { agent.send_sync(sync).await });
                }
            }
        }
    }

    async fn send_sync(&self, sync: AgentSync) {
        let sequence = sync.sequence;
        let event = match sync::send(&self.shared.client, &sync).await {
            Some(commands) => AgentEvent::SyncResponse { sequence, commands },
            None => AgentEvent::SyncFailed { sequence },
        };
        self.handle(event);
    }

    async fn run_timer(&self) {
        loop {
            let next_wakeup = self.shared.agent.borrow().next_wakeup();
            let now = clock::steady();
            if next_wakeup.is_some_and(|at| at <= now) {
                self.handle(AgentEvent::Tick);
                // Lets other tasks run even if the state machine's next wake-up is always due.
                tokio::task::yield_now().await;
                continue;
            }
            let wakeup = async {
                match next_wakeup {
                    Some(at) => tokio::time::sleep(Duration::from_millis(at - now)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.shared.earlier_wakeup.notified() => {}
                () = wakeup => {}
            }
        }
    }

    fn status(&self) -> AgentProcessStatus {
        AgentProcessStatus {
            role: "agent",
            agent: self.shared.agent.borrow().status(clock::steady()),
            control_plane: self.shared.client.view(),
            last_error: logs::last_error(),
        }
    }
}
