//! Pool of connections to workers, which are kept open and reused for later route steps.

use super::http::Conn;
use super::WorkerConnectionSettings;
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

/// Time after a response until a connection may carry the next request. Guards against a worker that responds
/// twice: the second response arrives some milliseconds later and would be read as the response to the next
/// request. It could then report that a running job never started.
const REUSE_DELAY: Duration = Duration::from_millis(20);

/// Time for an evicted client connection to release its descriptor.
const FREED_CONNECTION_CLOSE_TIME: Duration = Duration::from_millis(2);

/// Purpose for which a connection is requested; it decides which limit applies.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionPurpose {
    /// A route step or a probe.
    Work,
    /// The cancel of a route step, which may use the reserved connections.
    Cancel,
}

/// Idle connections by worker, and the number of connections in use.
pub(crate) struct Pool {
    hub: Rc<Hub>,
    settings: WorkerConnectionSettings,
    idle: RefCell<HashMap<SocketAddr, Vec<(Instant, Conn)>>>,
    open: Rc<Cell<usize>>,
}

/// A connection in use. Dropping it closes the connection.
pub(crate) struct PooledConnection {
    pub(crate) conn: Conn,
    _open_count: OpenCount,
}

struct OpenCount(Rc<Cell<usize>>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Pool {
    pub(crate) fn new(hub: Rc<Hub>, settings: WorkerConnectionSettings) -> Rc<Pool> {
        let pool = Rc::new(Pool {
            hub,
            settings,
            idle: RefCell::default(),
            open: Rc::default(),
        });
        let weak_pool = Rc::downgrade(&pool);
        pool.hub.spawn(async move {
            // Guards against writing a request to a connection that the worker has just closed as idle.
            while let Some(pool) = weak_pool.upgrade() {
                pool.close_expired();
                drop(pool);
                Timer::after(Duration::from_secs(1)).await;
            }
        });
        pool
    }

    fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        let limit = self.settings.idle_timeout;
        let mut expired = Vec::new();
        for conns in idle.values_mut() {
            let is_usable =
                |(since, conn): &(Instant, Conn)| since.elapsed() < limit && conn.is_reusable();
            expired.extend(
                conns
                    .extract_if(.., |c| !is_usable(c))
                    .map(|(_, conn)| conn),
            );
        }
        idle.retain(|_, c| !c.is_empty());
        drop(idle);
        expired.into_iter().for_each(|conn| self.close(conn));
    }

    /// Starts an orderly close of the connection.
    fn close(&self, conn: Conn) {
        self.hub.spawn(conn.close(Closing::idle()));
    }

    /// Takes the most recently used idle connection whose reuse delay has passed and that is still usable.
    fn take_idle(&self, addr: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&addr)?;
        while let Some(index) = conns
            .iter()
            .rposition(|(since, _)| since.elapsed() >= REUSE_DELAY)
        {
            let (since, conn) = conns.remove(index);
            if since.elapsed() < self.settings.idle_timeout && conn.is_reusable() {
                return Some(conn);
            }
            self.close(conn);
        }
        None
    }

    /// Takes an idle connection or opens a new one.
    pub(crate) async fn take(
        &self,
        addr: SocketAddr,
        purpose: ConnectionPurpose,
    ) -> Result<PooledConnection, StepOutcome> {
        let open_count = |open: &Rc<Cell<usize>>| {
            open.set(open.get() + 1);
            OpenCount(open.clone())
        };
        if let Some(conn) = self.take_idle(addr) {
            return Ok(PooledConnection {
                conn,
                _open_count: open_count(&self.open),
            });
        }
        let idle: usize = self.idle.borrow().values().map(Vec::len).sum();
        let max_open = self.settings.max_sockets
            + if purpose == ConnectionPurpose::Cancel {
                self.settings.cancel_reserve
            } else {
                0
            };
        if self.open.get() + idle >= max_open && !self.drop_oldest() {
            return Err(StepOutcome::NotSent); // no descriptor left; another worker would need one too
        }
        let open_count = open_count(&self.open);
        let dial = async { dial(&self.hub, addr).await.map(Some) };
        let timeout = async {
            Timer::after(self.settings.connect_timeout).await;
            Ok(None)
        };
        match future::or(dial, timeout).await {
            Ok(Some(stream)) => {
                self.hub
                    .with(|core, _| core.counters.worker_connections += 1);
                Ok(PooledConnection {
                    conn: Conn::new(stream),
                    _open_count: open_count,
                })
            }
            Ok(None) => Err(StepOutcome::ConnectTimedOut),
            Err(e) if is_out_of_resources(&e) => Err(StepOutcome::NotSent),
            Err(_) => Err(StepOutcome::ConnectRefused),
        }
    }

    /// Closes a connection on which the worker still owes a response, which abandons the job.
    pub(crate) fn end(&self, pooled: PooledConnection) {
        let PooledConnection { conn, _open_count } = pooled;
        self.hub.spawn(async move {
            conn.close(Closing::idle()).await;
            drop(_open_count);
        });
    }

    /// Returns a connection to the pool after a complete exchange.
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
        conns.remove(0); // closed immediately because its descriptor is needed now
        true
    }
}

/// Opens a connection. If the system grants fewer descriptors than its limits promise, one idle client's
/// connection is closed and the connect is repeated once. It is not repeated more often, as memory or local
/// ports may be exhausted too, which closing clients' connections does not free.
pub(crate) async fn dial(hub: &Hub, addr: SocketAddr) -> io::Result<Async<TcpStream>> {
    match Async::<TcpStream>::connect(addr).await {
        Err(e) if is_out_of_resources(&e) && hub.free_client_connection() => {
            Timer::after(FREED_CONNECTION_CLOSE_TIME).await;
            Async::<TcpStream>::connect(addr).await
        }
        dialed => dialed,
    }
}

/// Whether the system is out of descriptors (EMFILE, ENFILE), memory for sockets, or local ports.
pub(crate) fn is_out_of_resources(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(23 | 24 | 12 | 105 | 99))
}
