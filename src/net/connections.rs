//! Clients' connections: what each is at, which give way to new ones, and the memory that bodies take.
//!
//! Workers' call-backs come on such connections too; one that brought a call-back counts as a worker's.

use super::http::Conn;
use crate::config::Limits;
use async_channel::{bounded, Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time for a connection to stay silent after it is there: a usual client opens one to ask at once.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time between requests for a connection that has asked, but for no operation that was taken: guards
/// against hundreds that ask whether the program is up, and stay.
const NO_WORK_TIMEOUT: Duration = Duration::from_millis(2_500);
/// What a connection is at, in the order in which they give way to new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Activity {
    /// It was answered and is closed; what still comes is thrown away.
    Leaving,
    /// Between requests, none of which was an operation or a call-back so far.
    Asked,
    /// Nothing has come yet.
    Silent,
    /// A request is coming in.
    Reading,
    /// Between requests, with an operation or a call-back among them. These are usual clients' and go last.
    Idle,
    /// A request is in hand.
    Busy,
}

struct Entry {
    activity: Activity,
    since: Instant,
    worker: bool,
    /// It stands in the reserve: see [`ClientConnection::reserved`].
    reserved: bool,
    /// Dropping it closes the connection, unless a request is in hand.
    _keep: Sender<()>,
}

/// All connections, and what each is at. Any without a request in hand can be closed to make room.
pub(crate) struct ClientConnections {
    open: Cell<usize>,
    workers: Cell<usize>,
    /// Open connections in the reserve.
    reserved: Cell<usize>,
    entries: RefCell<BTreeMap<u64, Entry>>,
    next: Cell<u64>,
    closing: Cell<(bool, bool)>,
    /// Bytes of bodies that are coming in or in hand, and their bound.
    bodies: Rc<Cell<usize>>,
    max_body_bytes: usize,
    max_idle: usize,
    /// Connections beside those in the reserve, at most.
    max_unreserved: usize,
    /// Connections in the reserve, at most.
    max_reserved: usize,
    /// Closed when a successor takes the clients' address over.
    hand_over: (Sender<()>, Receiver<()>),
}

impl ClientConnections {
    /// No connection yet; the limits bound idle ones and the memory of bodies.
    pub(crate) fn new(limits: &Limits) -> ClientConnections {
        ClientConnections {
            open: Cell::default(),
            workers: Cell::default(),
            reserved: Cell::default(),
            entries: RefCell::default(),
            next: Cell::default(),
            closing: Cell::default(),
            bodies: Rc::default(),
            max_body_bytes: limits.body_bytes(),
            max_idle: limits.idle_front_sockets(),
            max_unreserved: limits.front_sockets(),
            max_reserved: limits.front_reserve(),
            hand_over: bounded(1),
        }
    }

    /// Comes back once another process serves at the same address.
    pub(super) async fn handed_over(&self) {
        let _ = self.hand_over.1.recv().await;
    }

    /// Whether another process serves at the same address.
    pub(super) fn is_handed_over(&self) -> bool {
        self.hand_over.1.is_closed()
    }

    /// Whether clients' connections are closed once they are between requests.
    pub(super) fn is_closing(&self) -> bool {
        self.closing.get().0
    }

    /// Connections that are open.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Another process serves at the same address: the listener takes what waits for it, and closes.
    pub(crate) fn hand_over(&self) {
        self.hand_over.0.close();
    }

    /// Connections that are not known to be workers'.
    pub(crate) fn clients(&self) -> usize {
        self.open.get() - self.workers.get()
    }

    /// Closes all clients' that are between requests, now and from now on; workers' too if told so. One that has
    /// sent nothing yet is nobody's so far and stays: guards against turning away call-backs during a stop, as
    /// workers open connections for them.
    pub(crate) fn close_idle(&self, workers: bool) {
        self.closing.set((true, workers));
        self.entries.borrow_mut().retain(|_, e| match e.activity {
            Activity::Idle | Activity::Asked => e.worker && !workers,
            Activity::Silent => !workers,
            _ => true,
        });
    }

    /// Closes the one that can best be done without, if there is any: of the first kind in the order of [`Activity`] the
    /// oldest. Guards against floods of connections that never say anything, or never end it, in the place of
    /// those that usual clients keep.
    pub(crate) fn free_one(&self) -> bool {
        self.close_least_needed(|_, _| true)
    }

    /// Makes room for a connection that was just accepted; whether it is to be asked again, once the one that gives way has
    /// closed. The new one does not give way to itself, nor do those in the reserve while that has room: their requests
    /// may be on their way, and a worker's call-back among them is what frees the others.
    pub(super) fn free_one_for(&self, accepted: &ClientConnection) -> bool {
        let is_other = |number| number != accepted.number;
        if self.open() > self.max_unreserved + self.max_reserved {
            return self.close_least_needed(|number, _| is_other(number));
        }
        self.unreserved() > self.max_unreserved
            && self.close_least_needed(|number, entry| is_other(number) && !entry.reserved)
    }

    /// Puts a new connection for which no room could be made into the reserve; false where that is full too.
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

    /// Connections that are open beside those in the reserve.
    fn unreserved(&self) -> usize {
        self.open() - self.reserved.get()
    }

    fn close_least_needed(&self, is_candidate: impl Fn(u64, &Entry) -> bool) -> bool {
        let mut entries = self.entries.borrow_mut();
        let gives_way = |e: &Entry| match e.activity {
            Activity::Busy => false,
            Activity::Reading => !e.worker, // the oldest: a usual client's comes in at once
            _ => true,
        };
        let least_needed = entries
            .iter()
            .filter(|(number, e)| gives_way(e) && is_candidate(**number, e))
            .min_by_key(|(_, e)| (e.activity, e.since))
            .map(|(number, _)| *number);
        least_needed.is_some_and(|number| entries.remove(&number).is_some())
    }

    /// Closes the clients' that are idle for longest, of more than may be kept. Guards against clients that open a
    /// connection for each request and keep them all: they may hold so many in all, and could open no more.
    fn trim_idle(&self) {
        let mut entries = self.entries.borrow_mut();
        let idle = entries
            .iter()
            .filter(|(_, e)| e.activity == Activity::Idle && !e.worker);
        let mut idle: Vec<(Instant, u64)> = idle.map(|(number, e)| (e.since, *number)).collect();
        idle.sort_unstable();
        for (_, number) in &idle[..idle.len().saturating_sub(self.max_idle)] {
            entries.remove(number);
        }
    }

    /// Sets memory aside for a body; none if there is no more.
    pub(super) fn reserve_body(&self, length: usize) -> Option<BodyReservation> {
        let reserved = self.bodies.get() + length;
        (reserved <= self.max_body_bytes).then(|| {
            self.bodies.set(reserved);
            BodyReservation(self.bodies.clone(), length)
        })
    }
}

/// Memory set aside, until it is dropped.
pub(super) struct BodyReservation(Rc<Cell<usize>>, usize);

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.0.set(self.0.get() - self.1);
    }
}

/// One connection, counted while it is open.
pub(super) struct ClientConnection {
    pub(super) all: Rc<ClientConnections>,
    number: u64,
    closed: Receiver<()>,
    pub(super) worker: bool,
    /// An operation or a call-back came on it and was taken.
    pub(super) proven: bool,
    /// It stands in the reserve, which is for workers' call-backs.
    pub(super) reserved: bool,
}

impl ClientConnection {
    pub(super) fn new(all: &Rc<ClientConnections>) -> ClientConnection {
        let (keep, closed) = bounded::<()>(1);
        let number = all.next.replace(all.next.get() + 1);
        let entry = Entry {
            activity: Activity::Silent,
            since: Instant::now(),
            worker: false,
            reserved: false,
            _keep: keep,
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

    /// Whether the connection is to be closed to make room, or at the end.
    pub(super) fn is_given_up(&self) -> bool {
        self.closed.is_closed()
    }

    /// Comes back when the connection is to be closed to make room, or at the end.
    pub(super) async fn given_up(&self) {
        let _ = self.closed.recv().await;
    }

    /// Waits for the next request; false if the connection is to be closed instead.
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
                Activity::Asked
            });
            self.all.trim_idle();
        }
        // A usual client keeps its connection for as long as it likes; one that never asked for work is not one.
        let time = match (first, self.proven) {
            (true, _) => FIRST_REQUEST_TIMEOUT,
            (false, true) => Duration::MAX,
            (false, false) => NO_WORK_TIMEOUT,
        };
        let input = async { conn.wait_input().await.is_ok() };
        let closed = async {
            future::or(self.given_up(), after(time)).await;
            false
        };
        future::or(input, closed).await // in this order: what has come already is not given up
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

/// Comes back after a time; never where that is beyond the clock.
pub(super) async fn after(time: Duration) {
    match Instant::now().checked_add(time) {
        Some(when) => drop(Timer::at(when).await),
        None => future::pending().await,
    }
}
