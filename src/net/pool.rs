//! Connections to workers, kept for the next route step.

use super::http::Conn;
use super::Metrics;
use crate::closing::Closing;
use crate::core::StepOutcome;
use crate::runtime::Hub;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a connection rests after an answer before it carries the next request. Guards against a worker that answers
/// twice: the second answer comes some milliseconds later, and would be read as that to the next request, which might
/// say of a job that runs that it never began.
const REST: Duration = Duration::from_millis(20);

/// Time for a client's connection that gives way to close.
const FREED_CONNECTION_CLOSE_TIME: Duration = Duration::from_millis(2);

/// What a connection is wanted for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Use {
    /// A route step, or a probe.
    Work,
    /// The end of one: it may use what is set aside.
    Cancel,
}

/// Idle connections by worker, and how many connections there are in all.
pub(crate) struct Pool {
    hub: Rc<Hub>,
    figures: Metrics,
    idle: RefCell<HashMap<SocketAddr, Vec<(Instant, Conn)>>>,
    open: Rc<Cell<usize>>,
}

/// A connection in use; dropping it closes it.
pub(crate) struct PooledConnection {
    pub(crate) conn: Conn,
    _counted: Counted,
}

struct Counted(Rc<Cell<usize>>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Pool {
    pub(crate) fn new(hub: Rc<Hub>, figures: Metrics) -> Rc<Pool> {
        let pool = Rc::new(Pool {
            hub,
            figures,
            idle: RefCell::default(),
            open: Rc::default(),
        });
        let kept = Rc::downgrade(&pool);
        pool.hub.spawn(async move {
            // Guards against a request written to a connection that the other side has just closed as idle.
            while let Some(pool) = kept.upgrade() {
                pool.retire();
                drop(pool);
                Timer::after(Duration::from_secs(1)).await;
            }
        });
        pool
    }

    fn retire(&self) {
        let mut idle = self.idle.borrow_mut();
        let limit = self.figures.idle;
        let mut over = Vec::new();
        for conns in idle.values_mut() {
            let fit = |(since, conn): &(Instant, Conn)| since.elapsed() < limit && conn.is_quiet();
            over.extend(conns.extract_if(.., |c| !fit(c)).map(|(_, conn)| conn));
        }
        idle.retain(|_, c| !c.is_empty());
        drop(idle);
        over.into_iter().for_each(|conn| self.close(conn));
    }

    /// Closes a connection in order.
    fn close(&self, conn: Conn) {
        self.hub.spawn(conn.close(Closing::idle()));
    }

    /// A connection that stands idle, has rested, and is fit for use: the one used last.
    fn rested(&self, addr: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&addr)?;
        while let Some(at) = conns.iter().rposition(|(since, _)| since.elapsed() >= REST) {
            let (since, conn) = conns.remove(at);
            if since.elapsed() < self.figures.idle && conn.is_quiet() {
                return Some(conn);
            }
            self.close(conn);
        }
        None
    }

    /// A connection that stands idle, or a new one.
    pub(crate) async fn take(
        &self,
        addr: SocketAddr,
        what: Use,
    ) -> Result<PooledConnection, StepOutcome> {
        let counted = |open: &Rc<Cell<usize>>| {
            open.set(open.get() + 1);
            Counted(open.clone())
        };
        if let Some(conn) = self.rested(addr) {
            return Ok(PooledConnection {
                conn,
                _counted: counted(&self.open),
            });
        }
        let idle: usize = self.idle.borrow().values().map(Vec::len).sum();
        let most = self.figures.sockets
            + if what == Use::Cancel {
                self.figures.reserve
            } else {
                0
            };
        if self.open.get() + idle >= most && !self.drop_oldest() {
            return Err(StepOutcome::NotSent); // no descriptor to spare; another worker would need one too
        }
        let counted = counted(&self.open);
        let dial = async { dial(&self.hub, addr).await.map(Some) };
        let late = async {
            Timer::after(self.figures.connect_timeout).await;
            Ok(None)
        };
        match future::or(dial, late).await {
            Ok(Some(stream)) => {
                self.hub
                    .with(|core, _| core.counters.worker_connections += 1);
                Ok(PooledConnection {
                    conn: Conn::new(stream),
                    _counted: counted,
                })
            }
            Ok(None) => Err(StepOutcome::ConnectTimedOut),
            Err(e) if no_descriptors(&e) => Err(StepOutcome::NotSent),
            Err(_) => Err(StepOutcome::ConnectRefused),
        }
    }

    /// Ends a connection on which an answer is still owed by the worker: that gives the job up.
    pub(crate) fn end(&self, pooled: PooledConnection) {
        let PooledConnection { conn, _counted } = pooled;
        self.hub.spawn(async move {
            conn.close(Closing::idle()).await;
            drop(_counted);
        });
    }

    /// Takes a connection back after a whole exchange.
    pub(crate) fn give_back(&self, addr: SocketAddr, pooled: PooledConnection) {
        self.idle
            .borrow_mut()
            .entry(addr)
            .or_default()
            .push((Instant::now(), pooled.conn));
    }

    fn drop_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .iter()
            .filter_map(|(a, c)| c.first().map(|(since, _)| (*since, *a)))
            .min();
        let Some((_, addr)) = oldest else {
            return false;
        };
        let Some(conns) = idle.get_mut(&addr) else {
            return false;
        };
        conns.remove(0); // its descriptor is wanted at once
        true
    }
}

/// Opens a connection. Where the system gives fewer descriptors than were promised one client that rests gives way, and
/// it is tried once more; no more than one, as memory or ports may be short too, which no client frees.
pub(crate) async fn dial(hub: &Hub, addr: SocketAddr) -> io::Result<Async<TcpStream>> {
    match Async::<TcpStream>::connect(addr).await {
        Err(e) if no_descriptors(&e) && hub.free_client_connection() => {
            Timer::after(FREED_CONNECTION_CLOSE_TIME).await;
            Async::<TcpStream>::connect(addr).await
        }
        dialed => dialed,
    }
}

/// Out of descriptors (EMFILE, ENFILE), memory for sockets, or local ports.
pub(crate) fn no_descriptors(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(23 | 24 | 12 | 105 | 99))
}
