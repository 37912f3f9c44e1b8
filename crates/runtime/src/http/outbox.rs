//! Messages that may be lost: one queue and one connection for each receiver, and everything queued in one call.

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

/// A machine that is up takes the connection within a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// An older answer is of no use, as the sender repeats what matters.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Messages that wait for one receiver; more are dropped.
const MOST_QUEUED: usize = 64;
/// Messages in one call.
const MOST_IN_CALL: usize = 16;
/// Receivers at once; beyond that all queues begin anew.
const MOST_RECEIVERS: usize = 1_024;
/// A receiver that is sent nothing for so long loses its queue and its connection.
const IDLE: Duration = Duration::from_secs(5);

/// Makes the body of a call of some messages.
type Encode<T> = dyn Fn(Vec<T>) -> Vec<u8>;

/// The queues to those that messages are sent to.
pub struct Outbox<T> {
    path: Uri,
    encode: Rc<Encode<T>>,
    queues: HashMap<Arc<str>, mpsc::Sender<T>>,
}

impl<T: 'static> Outbox<T> {
    /// An outbox whose calls go to `path` with the JSON that `encode` makes.
    pub fn new(path: &'static str, encode: impl Fn(Vec<T>) -> Vec<u8> + 'static) -> Outbox<T> {
        Outbox {
            path: Uri::from_static(path),
            encode: Rc::new(encode),
            queues: HashMap::new(),
        }
    }

    /// Queues a message for `to`, an `ip:port`; it is lost where that is not reached. Within a `LocalSet`.
    pub fn send(&mut self, to: &Arc<str>, message: T) {
        let queue = self
            .queues
            .get(to)
            .filter(|queue| !queue.is_closed())
            .cloned();
        let Some(queue) = queue.or_else(|| self.add(to)) else {
            return;
        };
        // A full queue drops: its receiver is slow or gone.
        let _ = queue.try_send(message);
    }

    fn add(&mut self, to: &Arc<str>) -> Option<mpsc::Sender<T>> {
        let Ok(address) = to.parse::<SocketAddr>() else {
            log::warn!("{to:?} is no address of the form ip:port; nothing is sent to it");
            return None;
        };
        if self.queues.len() >= MOST_RECEIVERS {
            self.queues.clear();
        }
        let (queue, messages) = mpsc::channel(MOST_QUEUED);
        self.queues.insert(to.clone(), queue.clone());
        let encode = Rc::clone(&self.encode);
        tokio::task::spawn_local(deliver(address, self.path.clone(), encode, messages));
        Some(queue)
    }
}

/// Ends when the outbox is dropped or the receiver is sent nothing any more.
async fn deliver<T>(
    address: SocketAddr,
    path: Uri,
    encode: Rc<Encode<T>>,
    mut messages: mpsc::Receiver<T>,
) {
    let limits = ClientLimits {
        max_calls: 1,
        max_idle: 1,
        connect_timeout: CONNECT_TIMEOUT,
        ..Default::default()
    };
    let client = Client::with_limits(address, limits);
    while let Ok(Some(first)) = tokio::time::timeout(IDLE, messages.recv()).await {
        let mut batch = vec![first];
        while batch.len() < MOST_IN_CALL {
            let Ok(message) = messages.try_recv() else {
                break;
            };
            batch.push(message);
        }
        let call = call_of(&path, encode(batch));
        if let Err(error) = client.send(call, CALL_TIMEOUT).await {
            log::debug!("messages to {address}: {error}");
            // What was queued meanwhile is as old; the next messages are better.
            while messages.try_recv().is_ok() {}
        }
    }
}

fn call_of(path: &Uri, body: Vec<u8>) -> Request {
    let mut call = Request::new(Bytes::from(body));
    *call.method_mut() = Method::POST;
    *call.uri_mut() = path.clone();
    call.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    call
}
