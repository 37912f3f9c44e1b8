//! Client connections: their activity, the order in which they are evicted for new ones, and the memory
//! reserved for request bodies.
//!
//! Workers send call-backs over such connections too; a connection that has carried a call-back counts as a
//! worker's.

use super::http::Conn;
use crate::config::Limits;
use async_channel::{bounded, Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time limit for the first input of a new connection: a normal client opens one to send a request at once.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit between requests for a connection that has not carried an accepted operation or call-back.
/// Guards against hundreds of clients that poll `GET /up` and stay connected.
const NO_WORK_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Activity of a connection, in the order in which connections are evicted for new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Activity {
    /// The response is sent and the connection is being closed; further input is discarded.
    Closing,
    /// Between requests, none of which was an operation or a call-back so far.
    Unproven,
    /// No input has arrived yet.
    Silent,
    /// A request is being received.
    Reading,
    /// Between requests, at least one of which was an operation or a call-back. These connections belong to
    /// normal clients and are evicted last.
    Idle,
    /// A request is being processed; the connection is not evicted.
    Busy,
}

struct Entry {
    activity: Activity,
    since: Instant,
    worker: bool,
    /// Whether the connection counts towards the reserve: see [`ClientConnection::reserved`].
    reserved: bool,
    /// Dropping it closes the connection, unless a request is being processed.
    _close_on_drop: Sender<()>,
}

/// All client connections with their activity. Any connection without a request in process can be evicted.
pub(crate) struct ClientConnections {
    open: Cell<usize>,
    workers: Cell<usize>,
    /// Open connections that count towards the reserve.
    reserved: Cell<usize>,
    entries: RefCell<BTreeMap<u64, Entry>>,
    next_number: Cell<u64>,
    closing: Cell<(bool, bool)>,
    /// Total length of the request bodies being received or processed, in bytes; bounded by `max_body_bytes`.
    body_bytes: Rc<Cell<usize>>,
    max_body_bytes: usize,
    max_idle: usize,
    /// Maximum number of connections outside the reserve.
    max_unreserved: usize,
    /// Maximum number of connections in the reserve.
    max_reserved: usize,
    /// Closed when a successor takes over the clients' address.
    hand_over: (Sender<()>, Receiver<()>),
}

impl ClientConnections {
    /// Creates an empty set; the limits bound the connections and the memory for bodies.
    pub(crate) fn new(limits: &Limits) -> ClientConnections {
        ClientConnections {
            open: Cell::default(),
            workers: Cell::default(),
            reserved: Cell::default(),
            entries: RefCell::default(),
            next_number: Cell::default(),
            closing: Cell::default(),
            body_bytes: Rc::default(),
            max_body_bytes: limits.body_bytes(),
            max_idle: limits.idle_front_sockets(),
            max_unreserved: limits.front_sockets(),
            max_reserved: limits.front_reserve(),
            hand_over: bounded(1),
        }
    }

    /// Completes once another process serves at the same address.
    pub(super) async fn handed_over(&self) {
        let _ = self.hand_over.1.recv().await;
    }

    /// Whether another process serves at the same address.
    pub(super) fn is_handed_over(&self) -> bool {
        self.hand_over.1.is_closed()
    }

    /// Whether clients' connections are closed as soon as they are between requests.
    pub(super) fn is_closing(&self) -> bool {
        self.closing.get().0
    }

    /// Number of open connections.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Another process serves at the same address: the listener accepts its queued connections and closes.
    pub(crate) fn hand_over(&self) {
        self.hand_over.0.close();
    }

    /// Number of connections that have not carried a call-back.
    pub(crate) fn clients(&self) -> usize {
        self.open.get() - self.workers.get()
    }

    /// Closes all clients' connections that are between requests, now and later, and with `workers` those of
    /// workers too. A connection without any input so far cannot be attributed and stays open unless
    /// `workers` is set: guards against rejecting call-backs during a stop, as workers open connections for
    /// them.
    pub(crate) fn close_idle(&self, workers: bool) {
        self.closing.set((true, workers));
        self.entries
            .borrow_mut()
            .retain(|_, entry| match entry.activity {
                Activity::Idle | Activity::Unproven => entry.worker && !workers,
                Activity::Silent => !workers,
                _ => true,
            });
    }

    /// Evicts the least needed connection, if there is a candidate: the oldest one with the first activity in
    /// the order of [`Activity`]. Guards against floods of connections that never send anything, or never
    /// complete a request, in place of the connections that normal clients keep.
    pub(crate) fn evict_one(&self) -> bool {
        self.evict_least_needed(|_, _| true)
    }

    /// Evicts a connection if there are too many after an accept. Returns whether one was evicted, in which
    /// case the caller tries again once it has closed. The new connection is not evicted, nor are those in
    /// the reserve unless the reserve is full: their requests may be in flight, and a worker's call-back
    /// among them completes operations that other connections wait for.
    pub(super) fn evict_for(&self, accepted: &ClientConnection) -> bool {
        let is_other = |number| number != accepted.number;
        if self.open() > self.max_unreserved + self.max_reserved {
            return self.evict_least_needed(|number, _| is_other(number));
        }
        self.unreserved() > self.max_unreserved
            && self.evict_least_needed(|number, entry| is_other(number) && !entry.reserved)
    }

    /// Assigns a new connection to the reserve if no other could be evicted for it. Returns false if the
    /// reserve is full too.
    pub(super) fn admit(&self, accepted: &mut ClientConnection) -> bool {
        if self.unreserved() > self.max_unreserved {
            accepted.reserved = true;
            self.reserved.set(self.reserved.get() + 1);
        }
        if let Some(entry) = self.entries.borrow_mut().get_mut(&accepted.number) {
            entry.reserved = accepted.reserved;
        }
        self.open() <= self.max_unreserved + self.max_reserved
    }

    /// Number of open connections outside the reserve.
    fn unreserved(&self) -> usize {
        self.open() - self.reserved.get()
    }

    fn evict_least_needed(&self, is_candidate: impl Fn(u64, &Entry) -> bool) -> bool {
        let mut entries = self.entries.borrow_mut();
        let is_evictable = |entry: &Entry| match entry.activity {
            Activity::Busy => false,
            Activity::Reading => !entry.worker, // the oldest first: a normal client's request arrives at once
            _ => true,
        };
        let least_needed = entries
            .iter()
            .filter(|(number, entry)| is_evictable(entry) && is_candidate(**number, entry))
            .min_by_key(|(_, entry)| (entry.activity, entry.since))
            .map(|(number, _)| *number);
        least_needed.is_some_and(|number| entries.remove(&number).is_some())
    }

    /// Closes the clients' connections that have been idle longest, beyond the number that may be kept.
    /// Guards against clients that open a connection for each request and keep all of them: they may hold a
    /// limited total and could then open no more.
    fn trim_idle(&self) {
        let mut entries = self.entries.borrow_mut();
        let idle = entries
            .iter()
            .filter(|(_, entry)| entry.activity == Activity::Idle && !entry.worker);
        let mut idle: Vec<(Instant, u64)> =
            idle.map(|(number, entry)| (entry.since, *number)).collect();
        idle.sort_unstable();
        for (_, number) in &idle[..idle.len().saturating_sub(self.max_idle)] {
            entries.remove(number);
        }
    }

    /// Reserves memory for a body; `None` if the limit would be exceeded.
    pub(super) fn reserve_body(&self, length: usize) -> Option<BodyReservation> {
        let reserved = self.body_bytes.get() + length;
        (reserved <= self.max_body_bytes).then(|| {
            self.body_bytes.set(reserved);
            BodyReservation(self.body_bytes.clone(), length)
        })
    }
}

/// Reserved memory, released on drop.
pub(super) struct BodyReservation(Rc<Cell<usize>>, usize);

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.0.set(self.0.get() - self.1);
    }
}

/// One open connection, counted until it is dropped.
pub(super) struct ClientConnection {
    pub(super) all: Rc<ClientConnections>,
    number: u64,
    closed: Receiver<()>,
    pub(super) worker: bool,
    /// Whether an operation or a call-back was accepted on this connection.
    pub(super) proven: bool,
    /// Whether the connection counts towards the reserve, which is intended for workers' call-backs.
    pub(super) reserved: bool,
}

impl ClientConnection {
    pub(super) fn new(all: &Rc<ClientConnections>) -> ClientConnection {
        let (close_on_drop, closed) = bounded::<()>(1);
        let number = all.next_number.replace(all.next_number.get() + 1);
        let entry = Entry {
            activity: Activity::Silent,
            since: Instant::now(),
            worker: false,
            reserved: false,
            _close_on_drop: close_on_drop,
        };
        all.entries.borrow_mut().insert(number, entry);
        all.open.set(all.open.get() + 1);
        ClientConnection {
            all: all.clone(),
            number,
            closed,
            worker: false,
            proven: false,
            reserved: false,
        }
    }

    pub(super) fn mark_worker(&mut self) {
        self.proven = true;
        if !std::mem::replace(&mut self.worker, true) {
            self.all.workers.set(self.all.workers.get() + 1);
        }
    }

    pub(super) fn set_activity(&self, activity: Activity) {
        if let Some(entry) = self.all.entries.borrow_mut().get_mut(&self.number) {
            (entry.activity, entry.since, entry.worker) = (activity, Instant::now(), self.worker);
        }
    }

    /// Whether the connection is to be closed, to make room or because of a stop.
    pub(super) fn is_evicted(&self) -> bool {
        self.closed.is_closed()
    }

    /// Completes when the connection is to be closed, to make room or because of a stop.
    pub(super) async fn evicted(&self) {
        let _ = self.closed.recv().await;
    }

    /// Waits for the next request. Returns false if the connection is to be closed instead.
    pub(super) async fn next_request(&self, conn: &mut Conn, first: bool) -> bool {
        if conn.has_input() {
            return true;
        }
        if !first {
            let (clients, workers) = self.all.closing.get();
            if clients && (!self.worker || workers) {
                return false;
            }
            self.set_activity(if self.proven {
                Activity::Idle
            } else {
                Activity::Unproven
            });
            self.all.trim_idle();
        }
        // A normal client may keep its connection as long as it likes; one that never sent an accepted
        // operation or call-back may not.
        let limit = match (first, self.proven) {
            (true, _) => FIRST_REQUEST_TIMEOUT,
            (false, true) => Duration::MAX,
            (false, false) => NO_WORK_TIMEOUT,
        };
        let input = async { conn.wait_input().await.is_ok() };
        let closed = async {
            future::or(self.evicted(), after(limit)).await;
            false
        };
        future::or(input, closed).await // in this order, so that input that has already arrived is not lost
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.all.entries.borrow_mut().remove(&self.number);
        self.all.open.set(self.all.open.get() - 1);
        self.all
            .workers
            .set(self.all.workers.get() - usize::from(self.worker));
        self.all
            .reserved
            .set(self.all.reserved.get() - usize::from(self.reserved));
    }
}

/// Completes after a time; never if the time exceeds the range of the clock.
pub(super) async fn after(delay: Duration) {
    match Instant::now().checked_add(delay) {
        Some(when) => drop(Timer::at(when).await),
        None => future::pending().await,
    }
}
