//! The agent as a process: carries heartbeats to the state machine and its syncs to the primary.

use crate::agent::{Agent, AgentAction, AgentEvent, AgentSettings, AgentStatus};
use crate::control_plane::{ControlPlaneClient, Endpoint, RequestOutcome};
use crate::process;
use http::{Method, StatusCode};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use streamusher_protocol::heartbeat::{
    Heartbeat, HeartbeatResponse, DEREGISTER_PATH, HEARTBEAT_PATH,
};
use streamusher_protocol::internal::{
    AgentCommands, AgentSync, ClusterView, AGENT_PORT_OFFSET, AGENT_SYNC_PATH,
};
use streamusher_protocol::Millis;
use streamusher_runtime::clock;
use streamusher_runtime::http::{empty, json, parse_json, text, Request, Response, ServerLimits};
use streamusher_runtime::logs::{self, LastError};
use streamusher_runtime::settings::{self, ProcessSettings};
use streamusher_runtime::signals::{Signal, Signals};
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

/// Beyond the time that the primary may hold a sync: for the way and a busy primary.
const SYNC_SLACK_MS: Millis = 700;

/// How long the answers under way have at the end; the worker's holds go on without this process.
const LEAVING: Duration = Duration::from_millis(250);

/// Kept to each core machine: a call waits at the primary, and news takes a second one.
const RESTING_CONNECTIONS: usize = 2;

/// Longest id of a worker.
const MOST_INSTANCE_BYTES: usize = 200;

/// What the one worker needs: long lists of runs, few connections.
const WORKER_LIMITS: ServerLimits = ServerLimits {
    max_body: 8 << 20,
    max_header: 8_192,
    body_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(60),
    max_connections: 32,
};

/// Checks that the settings are those of an agent.
///
/// # Errors
/// The message names key, value and remedy.
pub fn check(settings: &ProcessSettings) -> Result<(), String> {
    if !settings.serves("side") {
        let served = &settings.serves;
        return Err(format!(
            "key serves = {served:?}: run the agent in a role that serves \"side\""
        ));
    }
    let Some(_address) = settings.listen.control else {
        return Err(
            "key listen.control is missing: give the address that the machine's worker calls"
                .to_owned(),
        );
    };
    Ok(())
}

/// Runs the agent until SIGTERM.
///
/// # Errors
/// The settings are not an agent's, the address can't be bound, or signals can't be heard.
pub async fn run(settings: ProcessSettings) -> anyhow::Result<()> {
    check(&settings).map_err(anyhow::Error::msg)?;
    let mut signals = Signals::new()?;
    let address = settings
        .listen
        .control
        .ok_or_else(|| anyhow::anyhow!("no listen.control"))?;
    let server = process::bind(address, WORKER_LIMITS).await?;
    let program = AgentProgram::new(&settings);
    program.start(settings.internal_address(AGENT_PORT_OFFSET));
    let handle = server.handle();
    let serving = program.clone();
    let served = tokio::task::spawn_local(server.run(move |call| serving.clone().answer(call)));
    log::info!("the agent takes heartbeats");
    while signals.next().await? == Signal::Reload {
        program.reload();
    }
    log::info!("the agent ends");
    program.release();
    handle.close();
    process::at_most(LEAVING, served).await;
    Ok(())
}

/// The agent with its timers and calls; clones share it.
#[derive(Clone)]
pub struct AgentProgram {
    shared: Rc<Shared>,
}

struct Shared {
    agent: RefCell<Agent>,
    link: ControlPlaneClient,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<Option<HeartbeatResponse>>>>,
    last_request: Cell<u64>,
    wakeup_changed: Notify,
}

#[derive(Serialize)]
struct Status {
    role: &'static str,
    agent: AgentStatus,
    control_plane: ClusterView,
    last_error: Option<LastError>,
}

impl AgentProgram {
    /// An agent that knows the settings' seeds; [`AgentProgram::start`] makes it work.
    pub fn new(settings: &ProcessSettings) -> AgentProgram {
        let boot = process::random_number();
        let agent_settings = AgentSettings {
            name: Arc::clone(&settings.node_name),
            boot,
            hold_max_ms: settings.bounds.hold_max_ms,
            heartbeat_ms: settings.heartbeat_ms,
            stop_ms: settings.bounds.stop_ms,
        };
        let shared = Shared {
            agent: RefCell::new(Agent::new(agent_settings, clock::steady())),
            link: ControlPlaneClient::new(
                settings.core_addresses_of_seeds(),
                boot,
                RESTING_CONNECTIONS,
            ),
            waiting: RefCell::default(),
            last_request: Cell::new(0),
            wakeup_changed: Notify::new(),
        };
        AgentProgram {
            shared: Rc::new(shared),
        }
    }

    /// Begins to look for the primary, to sync and to keep time; serves the status at `status_address`.
    pub fn start(&self, status_address: std::net::SocketAddr) {
        let link = self.shared.link.clone();
        tokio::task::spawn_local(async move { link.run().await });
        let program = self.clone();
        tokio::task::spawn_local(async move { program.keep_time().await });
        let program = self.clone();
        tokio::task::spawn_local(process::serve_status(status_address, move || {
            program.status()
        }));
    }

    /// Answers a call of the worker.
    pub async fn answer(self, call: Request) -> Response {
        let path = call.uri().path();
        let heartbeat = path.strip_prefix(HEARTBEAT_PATH).and_then(instance_of);
        let deregister = path.strip_prefix(DEREGISTER_PATH).and_then(instance_of);
        if call.method() != Method::POST {
            return text(
                StatusCode::METHOD_NOT_ALLOWED,
                "heartbeats are sent with POST\n",
            );
        }
        match (heartbeat, deregister) {
            (Some(instance), _) => self.heartbeat(instance, &call).await,
            (None, Some(instance)) => self.deregister(instance).await,
            (None, None) => text(
                StatusCode::NOT_FOUND,
                format!("post to {HEARTBEAT_PATH}ID or {DEREGISTER_PATH}ID\n"),
            ),
        }
    }

    /// Answers what is held: the process is about to end.
    pub fn release(&self) {
        let actions = self.shared.agent.borrow_mut().shut_down(clock::steady());
        self.carry_out(actions);
    }

    async fn heartbeat(&self, instance: Arc<str>, call: &Request) -> Response {
        let heartbeat: Heartbeat = match parse_json(call.body()) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return text(StatusCode::BAD_REQUEST, format!("heartbeat: {error}\n")),
        };
        let answered = self
            .ask(|request_id| AgentEvent::Heartbeat {
                request_id,
                instance,
                heartbeat,
            })
            .await;
        match answered {
            Some(Some(answer)) => json(StatusCode::OK, &answer),
            _ => json(StatusCode::OK, &HeartbeatResponse::default()),
        }
    }

    async fn deregister(&self, instance: Arc<str>) -> Response {
        self.ask(|request_id| AgentEvent::Deregister {
            request_id,
            instance,
        })
        .await;
        empty(StatusCode::OK)
    }

    /// Hands a call to the state machine and waits for what it says.
    async fn ask(
        &self,
        event: impl FnOnce(u64) -> AgentEvent,
    ) -> Option<Option<HeartbeatResponse>> {
        let request = self.shared.last_request.get() + 1;
        self.shared.last_request.set(request);
        let (sender, answered) = oneshot::channel();
        self.shared.waiting.borrow_mut().insert(request, sender);
        self.handle(event(request));
        answered.await.ok()
    }

    fn handle(&self, event: AgentEvent) {
        let now = clock::steady();
        let (actions, earlier) = {
            let mut agent = self.shared.agent.borrow_mut();
            let before = agent.next_wakeup();
            let actions = agent.handle(now, event);
            let after = agent.next_wakeup();
            (
                actions,
                after.is_some_and(|after| before.is_none_or(|before| after < before)),
            )
        };
        if earlier {
            self.shared.wakeup_changed.notify_one();
        }
        self.carry_out(actions);
    }

    fn carry_out(&self, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::Respond {
                    request_id,
                    response,
                } => self.reply(request_id, Some(response)),
                AgentAction::AcknowledgeDeregistration { request_id } => {
                    self.reply(request_id, None)
                }
                AgentAction::SendSync(sync) => {
                    let program = self.clone();
                    tokio::task::spawn_local(async move { program.sync(sync).await });
                }
            }
        }
    }

    fn reply(&self, request: u64, answer: Option<HeartbeatResponse>) {
        if let Some(sender) = self.shared.waiting.borrow_mut().remove(&request) {
            // A caller that is gone asks again by itself.
            let _ = sender.send(answer);
        }
    }

    async fn sync(&self, sync: AgentSync) {
        let sequence = sync.sequence;
        match self.orders(&sync).await {
            Some(orders) => self.handle(AgentEvent::SyncResponse {
                sequence,
                commands: orders,
            }),
            None => self.handle(AgentEvent::SyncFailed { sequence }),
        }
    }

    /// The primary's answer; of the next primary, where there is one before that comes.
    async fn orders(&self, sync: &AgentSync) -> Option<AgentCommands> {
        let link = &self.shared.link;
        let known_by = Instant::now() + Duration::from_millis(sync.wait_ms);
        let first = link.wait_for_primary(known_by).await?;
        let orders = self.orders_of(&first, sync).await;
        let next = link
            .primary()
            .filter(|next| orders.is_none() && next.address() != first.address());
        match next {
            Some(next) => self.orders_of(&next, sync).await,
            None => orders,
        }
    }

    async fn orders_of(&self, target: &Endpoint, sync: &AgentSync) -> Option<AgentCommands> {
        let deadline = Duration::from_millis(sync.wait_ms.saturating_add(SYNC_SLACK_MS));
        let RequestOutcome::Responded(answer) = self
            .shared
            .link
            .post(target, AGENT_SYNC_PATH, sync, deadline)
            .await
        else {
            return None;
        };
        if !answer.status().is_success() {
            return None;
        }
        let orders: AgentCommands = match parse_json(answer.body()) {
            Ok(orders) => orders,
            Err(error) => {
                log::warn!("orders of {}: {error}", target.address());
                return None;
            }
        };
        if let Some(view) = &orders.view {
            self.shared.link.on_view(target, view);
        }
        Some(orders)
    }

    async fn keep_time(&self) {
        loop {
            let next = self.shared.agent.borrow().next_wakeup();
            let now = clock::steady();
            if next.is_some_and(|at| at <= now) {
                self.handle(AgentEvent::Tick);
                // What is due was done; without this a wake-up that stays due would keep the processor.
                tokio::task::yield_now().await;
                continue;
            }
            let pause = async {
                match next {
                    Some(at) => tokio::time::sleep(Duration::from_millis(at - now)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.shared.wakeup_changed.notified() => {}
                () = pause => {}
            }
        }
    }

    fn reload(&self) {
        settings::reload(|settings| {
            self.shared
                .link
                .set_seeds(settings.core_addresses_of_seeds())
        });
    }

    fn status(&self) -> Status {
        Status {
            role: "agent",
            agent: self.shared.agent.borrow().status(clock::steady()),
            control_plane: self.shared.link.view(),
            last_error: logs::last_error(),
        }
    }
}

fn instance_of(rest: &str) -> Option<Arc<str>> {
    let one_segment = !rest.is_empty() && !rest.contains('/') && rest.len() <= MOST_INSTANCE_BYTES;
    one_segment.then(|| rest.into())
}
