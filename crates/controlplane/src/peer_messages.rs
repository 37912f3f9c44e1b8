//! Messages to the other control machines. Each peer has one queue and one connection; a request carries a
//! batch of queued messages.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Uri};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use streamusher_coordination::Message;
use streamusher_protocol::internal::COORDINATION_PATH;
use streamusher_runtime::http::{Client, ClientLimits, Request};
use tokio::sync::mpsc;

/// Time-out for connecting to a peer: a running machine accepts a connection within one round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time-out of a request, about the duration of a lease: a later response has no value.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of messages queued for one peer. Further messages are dropped; replication resends what was
/// not acknowledged.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Maximum number of messages in one request.
const MAX_MESSAGES_PER_REQUEST: usize = 128;
/// Maximum number of peers; when it is reached, all queues are dropped. A cluster has few control machines,
/// but the addresses come from received messages.
const MAX_PEERS: usize = 64;

/// The body of a request that carries messages from one control machine to another.
#[derive(Debug, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// Internal `ip:port` of the sender.
    pub from: Arc<str>,
    /// The messages in sending order.
    pub messages: Vec<Message>,
}

/// The outbound queues to the other control machines.
pub(crate) struct PeerQueues {
    own_address: Arc<str>,
    queues: HashMap<Arc<str>, mpsc::Sender<Message>>,
}

impl PeerQueues {
    /// Starts without queues; `own_address` is this machine's internal `ip:port`.
    pub(crate) fn new(own_address: Arc<str>) -> PeerQueues {
        PeerQueues {
            own_address,
            queues: HashMap::new(),
        }
    }

    /// Queues a message. It is dropped if the queue is full or the address is invalid. Must be called within
    /// a `LocalSet`.
    pub(crate) fn send(&mut self, to: &Arc<str>, message: Message) {
        if !self.queues.contains_key(to) && !self.add_peer(to) {
            return;
        }
        if let Some(queue) = self.queues.get(to) {
            // Dropping on a full queue is safe: replication resends what was not acknowledged.
            let _ = queue.try_send(message);
        }
    }

    /// Creates a peer's queue and its sender task. Returns false if the address is invalid.
    fn add_peer(&mut self, to: &Arc<str>) -> bool {
        let Ok(address) = to.parse::<SocketAddr>() else {
            log::warn!("control machine {to:?}: not an ip:port address; dropping messages to it");
            return false;
        };
        if self.queues.len() >= MAX_PEERS {
            self.queues.clear();
        }
        let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        self.queues.insert(to.clone(), queue);
        tokio::task::spawn_local(deliver(self.own_address.clone(), address, messages));
        true
    }
}

/// Sends the messages received from `messages`, until the queue is dropped.
async fn deliver(from: Arc<str>, address: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    let limits = ClientLimits {
        max_requests: 1,
        max_idle_connections: 1,
        connect_timeout: CONNECT_TIMEOUT,
        ..Default::default()
    };
    let client = Client::with_limits(address, limits);
    while let Some(first) = messages.recv().await {
        let envelope = PeerEnvelope {
            from: from.clone(),
            messages: batch_of(first, &mut messages),
        };
        let Some(request) = request_with(&envelope) else {
            continue;
        };
        if let Err(error) = client.send(request, REQUEST_TIMEOUT).await {
            log::debug!("sending messages to control machine {address} failed: {error}");
            discard_queued(&mut messages);
        }
    }
}

/// Returns `first` together with the messages queued behind it.
fn batch_of(first: Message, messages: &mut mpsc::Receiver<Message>) -> Vec<Message> {
    let mut batch = vec![first];
    while batch.len() < MAX_MESSAGES_PER_REQUEST {
        let Ok(message) = messages.try_recv() else {
            break;
        };
        batch.push(message);
    }
    batch
}

/// Discards the queued messages: those queued during a failed request are as old as that request, and newer
/// messages are more useful to the peer.
fn discard_queued(messages: &mut mpsc::Receiver<Message>) {
    while messages.try_recv().is_ok() {}
}

fn request_with(envelope: &PeerEnvelope) -> Option<Request> {
    let body = serde_json::to_vec(envelope).ok()?;
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(COORDINATION_PATH);
    request
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Some(request)
}
