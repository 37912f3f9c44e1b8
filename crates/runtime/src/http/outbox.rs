//! Sends messages that may be lost. Each receiver has a queue and a connection, and each request carries a
//! batch of messages.

use super::{Client, ClientLimits, Request};
use ::http::header::CONTENT_TYPE;
use ::http::{HeaderValue, Method, Uri};
use bytes::Bytes;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Time-out for connecting to a receiver: a running machine accepts a connection within one round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time-out of a request: a later response is of no use, because the sender repeats the messages that matter.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of messages queued for one receiver. Further messages are dropped.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Maximum number of messages per request.
const MAX_MESSAGES_PER_REQUEST: usize = 16;
/// Maximum number of receivers. When it is reached, all queues are dropped and created again on demand.
const MAX_RECEIVERS: usize = 1_024;
/// After this long without a message, a receiver's queue and connection are closed.
const RECEIVER_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Encodes a batch of messages as a request body.
type Encode<T> = dyn Fn(Vec<T>) -> Vec<u8>;

/// Holds one message queue per receiver.
pub struct Outbox<T> {
    path: Uri,
    encode: Rc<Encode<T>>,
    queues: HashMap<Arc<str>, mpsc::Sender<T>>,
}

impl<T: 'static> Outbox<T> {
    /// Creates an outbox that posts each batch to `path`, encoded as JSON by `encode`.
    pub fn new(path: &'static str, encode: impl Fn(Vec<T>) -> Vec<u8> + 'static) -> Outbox<T> {
        Outbox {
            path: Uri::from_static(path),
            encode: Rc::new(encode),
            queues: HashMap::new(),
        }
    }

    /// Queues a message for the receiver at `address`, which has the form `ip:port`. The message is lost if
    /// the receiver cannot be reached or its queue is full. Must be called within a `LocalSet`.
    pub fn send(&mut self, address: &Arc<str>, message: T) {
        let queue = self
            .queues
            .get(address)
            .filter(|queue| !queue.is_closed())
            .cloned();
        let Some(queue) = queue.or_else(|| self.add_receiver(address)) else {
            return;
        };
        // A full queue drops the message: the receiver is slow or disconnected.
        let _ = queue.try_send(message);
    }

    fn add_receiver(&mut self, address: &Arc<str>) -> Option<mpsc::Sender<T>> {
        let Ok(socket_address) = address.parse::<SocketAddr>() else {
            log::warn!(
                "invalid receiver address {address:?}, expected ip:port; dropping its messages"
            );
            return None;
        };
        if self.queues.len() >= MAX_RECEIVERS {
            self.queues.clear();
        }
        let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        self.queues.insert(address.clone(), queue.clone());
        let delivery = Delivery {
            address: socket_address,
            path: self.path.clone(),
            encode: Rc::clone(&self.encode),
            messages,
        };
        tokio::task::spawn_local(delivery.run());
        Some(queue)
    }
}

/// Sends the queued messages of one receiver.
struct Delivery<T> {
    address: SocketAddr,
    path: Uri,
    encode: Rc<Encode<T>>,
    messages: mpsc::Receiver<T>,
}

impl<T> Delivery<T> {
    /// Runs until the outbox is dropped or no message arrives within [`RECEIVER_IDLE_TIMEOUT`].
    async fn run(mut self) {
        let limits = ClientLimits {
            max_requests: 1,
            max_idle_connections: 1,
            connect_timeout: CONNECT_TIMEOUT,
            ..ClientLimits::default()
        };
        let client = Client::with_limits(self.address, limits);
        while let Some(batch) = self.next_batch().await {
            let request = post(&self.path, (self.encode)(batch));
            if let Err(error) = client.send(request, REQUEST_TIMEOUT).await {
                log::debug!(
                    "sending a batch of messages to {} failed: {error}",
                    self.address
                );
                // Messages queued in the meantime are as outdated as the failed batch; later messages are of
                // more use.
                while self.messages.try_recv().is_ok() {}
            }
        }
    }

    /// Waits for a message and returns it together with the messages queued after it.
    async fn next_batch(&mut self) -> Option<Vec<T>> {
        let first = tokio::time::timeout(RECEIVER_IDLE_TIMEOUT, self.messages.recv()).await;
        let mut batch = vec![first.ok()??];
        while batch.len() < MAX_MESSAGES_PER_REQUEST {
            let Ok(message) = self.messages.try_recv() else {
                break;
            };
            batch.push(message);
        }
        Some(batch)
    }
}

fn post(path: &Uri, body: Vec<u8>) -> Request {
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.clone();
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, json);
    request
}
