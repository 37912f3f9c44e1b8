//! Relays between the agents and the control machines, so that an agent can be isolated while its process and
//! its worker keep running. Each agent reaches each control machine through a relay with an address of its
//! own; the relays replace the control machines' addresses in responses.

use crate::machines::{Machines, ReplacedAddress};
use anyhow::{Context, Result};
use http::header::CONTENT_TYPE;
use http::StatusCode;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use streamusher_protocol::Millis;
use streamusher_runtime::clock;
use streamusher_runtime::http::{empty, Client, Request, Response, Server, ServerLimits};
use tokio::task::spawn_local;

/// Time-out of a relayed request; longer than the time for which the primary holds a sync.
const RELAY_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which a message that is held back checks whether the isolation is over.
const ISOLATION_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The links of one agent to all control machines. Clones share their state.
#[derive(Clone, Default)]
struct AgentLinks {
    /// Time of the steady clock until which messages are held back.
    isolated_until: Rc<Cell<Millis>>,
}

impl AgentLinks {
    async fn wait_until_connected(&self) {
        while clock::steady() < self.isolated_until.get() {
            tokio::time::sleep(ISOLATION_CHECK_INTERVAL).await;
        }
    }
}

/// The relays of all agents.
pub(crate) struct Relays {
    links: BTreeMap<String, AgentLinks>,
}

impl Relays {
    /// Starts the relays of all agents. Must be called within a `LocalSet`.
    pub(crate) fn start(machines: &Machines) -> Result<Relays> {
        let mut links = BTreeMap::new();
        for agent in machines.relayed_agents() {
            let agent_links = AgentLinks::default();
            for (listen, target) in &agent.routes {
                let replaced = agent.replaced_addresses.clone();
                start_relay(*listen, *target, replaced, agent_links.clone())
                    .with_context(|| format!("relay at {listen}"))?;
            }
            links.insert(agent.name, agent_links);
        }
        Ok(Relays { links })
    }

    /// Isolates an agent from all control machines. A message on its way arrives when the isolation is over.
    pub(crate) fn isolate(&self, agent: &str, until: Millis) {
        if let Some(links) = self.links.get(agent) {
            links
                .isolated_until
                .set(links.isolated_until.get().max(until));
        }
    }

    /// Number of agents that are isolated.
    pub(crate) fn isolated_count(&self, now: Millis) -> usize {
        let links = self.links.values();
        links
            .filter(|links| now < links.isolated_until.get())
            .count()
    }
}

fn start_relay(
    listen: SocketAddr,
    target: SocketAddr,
    replaced: Vec<ReplacedAddress>,
    links: AgentLinks,
) -> Result<()> {
    let server = Server::bind(listen, ServerLimits::default())?;
    let client = Client::new(target);
    let replaced = Rc::new(replaced);
    spawn_local(server.run(move |request| {
        let (client, links, replaced) = (client.clone(), links.clone(), Rc::clone(&replaced));
        async move { relay(&client, &links, &replaced, request).await }
    }));
    Ok(())
}

async fn relay(
    client: &Client,
    links: &AgentLinks,
    replaced: &[ReplacedAddress],
    request: Request,
) -> Response {
    links.wait_until_connected().await;
    let Some(forwarded) = forwarded_request(&request) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let response = client.send(forwarded, RELAY_TIMEOUT).await;
    links.wait_until_connected().await;
    match response {
        Ok(response) => with_replaced_addresses(&response, replaced),
        Err(_) => empty(StatusCode::BAD_GATEWAY),
    }
}

/// The request without the headers that belong to the connection.
fn forwarded_request(request: &Request) -> Option<Request> {
    let path = request.uri().path_and_query()?.as_str();
    let mut forwarded = http::Request::builder().method(request.method()).uri(path);
    if let Some(content_type) = request.headers().get(CONTENT_TYPE) {
        forwarded = forwarded.header(CONTENT_TYPE, content_type);
    }
    forwarded.body(request.body().clone()).ok()
}

fn with_replaced_addresses(response: &Response, replaced: &[ReplacedAddress]) -> Response {
    let mut body = String::from_utf8_lossy(response.body()).into_owned();
    for address in replaced {
        let (own, shown) = (format!("{}:", address.own), format!("{}:", address.shown));
        body = body.replace(&own, &shown);
    }
    let mut relayed = Response::new(body.into());
    *relayed.status_mut() = response.status();
    if let Some(content_type) = response.headers().get(CONTENT_TYPE) {
        let content_type = content_type.clone();
        relayed.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    relayed
}
