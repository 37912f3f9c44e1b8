//! Messages to the other core machines: one queue and one connection for each, and everything queued in one call.

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

/// A machine that is up takes the connection within a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// About a lease: an older answer is of no use.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Messages that wait for one peer; more are dropped, as the sender repeats what matters.
const MOST_QUEUED: usize = 1_024;
/// Messages in one call.
const MOST_IN_CALL: usize = 128;
/// Peers at once; core machines are few, and addresses come from messages.
const MOST_PEERS: usize = 64;

/// Messages of one core machine to another.
#[derive(Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Internal `ip:port` of the sender.
    pub from: Arc<str>,
    /// In the order in which they were sent.
    pub messages: Vec<Message>,
}

/// The queues to the other core machines.
pub struct Peers {
    me: Arc<str>,
    queues: HashMap<Arc<str>, mpsc::Sender<Message>>,
}

impl Peers {
    /// No peers yet; `me` is this machine's internal `ip:port`.
    pub fn new(me: Arc<str>) -> Peers {
        Peers {
            me,
            queues: HashMap::new(),
        }
    }

    /// Queues a message; it is dropped where the peer is not reached. Within a `LocalSet`.
    pub fn send(&mut self, to: &Arc<str>, message: Message) {
        if !self.queues.contains_key(to) && !self.add(to) {
            return;
        }
        if let Some(queue) = self.queues.get(to) {
            // A full queue drops: replication repeats what was not acknowledged.
            let _ = queue.try_send(message);
        }
    }

    fn add(&mut self, to: &Arc<str>) -> bool {
        let Ok(address) = to.parse::<SocketAddr>() else {
            log::warn!(
                "core machine {to:?} has no address of the form ip:port; nothing is sent to it"
            );
            return false;
        };
        if self.queues.len() >= MOST_PEERS {
            self.queues.clear();
        }
        let (queue, messages) = mpsc::channel(MOST_QUEUED);
        self.queues.insert(to.clone(), queue);
        tokio::task::spawn_local(deliver(self.me.clone(), address, messages));
        true
    }
}

async fn deliver(from: Arc<str>, address: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    let limits = ClientLimits {
        max_calls: 1,
        max_idle: 1,
        connect_timeout: CONNECT_TIMEOUT,
        ..Default::default()
    };
    let client = Client::with_limits(address, limits);
    while let Some(first) = messages.recv().await {
        let mut batch = vec![first];
        while batch.len() < MOST_IN_CALL {
            let Ok(message) = messages.try_recv() else {
                break;
            };
            batch.push(message);
        }
        let envelope = Envelope {
            from: from.clone(),
            messages: batch,
        };
        let Some(call) = call_of(&envelope) else {
            continue;
        };
        if let Err(error) = client.send(call, CALL_TIMEOUT).await {
            log::debug!("core machine {address}: {error}");
            // What was queued meanwhile is as old; the next messages are better.
            while messages.try_recv().is_ok() {}
        }
    }
}

fn call_of(envelope: &Envelope) -> Option<Request> {
    let body = serde_json::to_vec(envelope).ok()?;
    let mut call = Request::new(Bytes::from(body));
    *call.method_mut() = Method::POST;
    *call.uri_mut() = Uri::from_static(COORDINATION_PATH);
    call.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Some(call)
}
