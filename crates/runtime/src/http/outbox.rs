//! Messages that may be lost: a queue and a connection for each receiver, and a batch of messages in each request.

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

/// A machine that is up accepts a connection within a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A later response is of no use, since the sender repeats what matters.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Messages that wait for one receiver; more are dropped.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Messages in one request.
const MAX_MESSAGES_PER_REQUEST: usize = 16;
/// Receivers at once; beyond that all queues are dropped and begin anew.
const MAX_RECEIVERS: usize = 1_024;
/// A receiver without messages for this long loses its queue and its connection.
const RECEIVER_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Encodes a batch as the body of a request.
type Encode<T> = dyn Fn(Vec<T>) -> Vec<u8>;

/// The queues of all receivers.
pub struct Outbox<T> {
    path: Uri,
    encode: Rc<Encode<T>>,
    queues: HashMap<Arc<str>, mpsc::Sender<T>>,
}

impl<T: 'static> Outbox<T> {
    /// An outbox whose requests go to `path`, with the JSON that `encode` makes of a batch.
    pub fn new(path: &'static str, encode: impl Fn(Vec<T>) -> Vec<u8> + 'static) -> Outbox<T> {
        Outbox {
            path: Uri::from_static(path),
            encode: Rc::new(encode),
            queues: HashMap::new(),
        }
    }

    /// Queues a message for the receiver at `address`, an `ip:port`. It is lost where the receiver is not reached or its queue
    /// is full. Within a `LocalSet`.
    pub fn send(&mut self, address: &Arc<str>, message: T) {
        let queue = self
            .queues
            .get(address)
            .filter(|queue| !queue.is_closed())
            .cloned();
        let Some(queue) = queue.or_else(|| self.add_receiver(address)) else {
            return;
        };
        // A full queue drops the message: its receiver is slow or gone.
        let _ = queue.try_send(message);
    }

    fn add_receiver(&mut self, address: &Arc<str>) -> Option<mpsc::Sender<T>> {
        let Ok(socket_address) = address.parse::<SocketAddr>() else {
            log::warn!("invalid address {address:?}, expected ip:port: messages to it are dropped");
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

/// Sends the messages of one queue.
struct Delivery<T> {
    address: SocketAddr,
    path: Uri,
    encode: Rc<Encode<T>>,
    messages: mpsc::Receiver<T>,
}

impl<T> Delivery<T> {
    /// Ends when the outbox is dropped, or when there are no messages for a while.
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
                log::debug!("sending messages to {} failed: {error}", self.address);
                // What was queued meanwhile is as old; the next messages are of more use.
                while self.messages.try_recv().is_ok() {}
            }
        }
    }

    /// Waits for a message; gives it with those that are queued behind it.
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
