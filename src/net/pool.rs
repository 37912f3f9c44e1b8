//! Connections to workers, kept for the next route step.

use super::http::Conn;
use super::Figures;
use crate::core::Ending;
use crate::runtime::Hub;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Idle connections by worker, and how many connections there are in all.
pub(crate) struct Pool {
    hub: Rc<Hub>,
    figures: Figures,
    idle: RefCell<HashMap<SocketAddr, Vec<(Instant, Conn)>>>,
    open: Rc<Cell<usize>>,
}

/// A connection in use; dropping it closes it.
pub(crate) struct Lent {
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
    pub(crate) fn new(hub: Rc<Hub>, figures: Figures) -> Rc<Pool> {
        let pool = Rc::new(Pool { hub, figures, idle: RefCell::default(), open: Rc::default() });
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
        idle.values_mut().for_each(|c| c.retain(|(since, conn)| since.elapsed() < limit && conn.is_quiet()));
        idle.retain(|_, c| !c.is_empty());
    }

    /// A connection that stands idle, or a new one.
    pub(crate) async fn take(&self, addr: SocketAddr) -> Result<Lent, Ending> {
        let counted = |open: &Rc<Cell<usize>>| {
            open.set(open.get() + 1);
            Counted(open.clone())
        };
        loop {
            let kept = self.idle.borrow_mut().get_mut(&addr).and_then(Vec::pop);
            let Some((since, conn)) = kept else { break };
            if since.elapsed() < self.figures.idle && conn.is_quiet() {
                return Ok(Lent { conn, _counted: counted(&self.open) });
            }
        }
        let idle: usize = self.idle.borrow().values().map(Vec::len).sum();
        if self.open.get() + idle >= self.figures.sockets && !self.drop_oldest() {
            return Err(Ending::NeverSent); // no descriptor to spare; another worker would need one too
        }
        let counted = counted(&self.open);
        let dial = async { Async::<TcpStream>::connect(addr).await.map(Some) };
        let late = async {
            Timer::after(self.figures.connect_timeout).await;
            Ok(None)
        };
        match future::or(dial, late).await {
            Ok(Some(stream)) => {
                self.hub.with(|core, _| core.counters.worker_connections += 1);
                Ok(Lent { conn: Conn::new(stream), _counted: counted })
            }
            Ok(None) => Err(Ending::ConnectTimedOut),
            Err(e) if no_descriptors(&e) => Err(Ending::NeverSent),
            Err(_) => Err(Ending::ConnectRefused),
        }
    }

    /// Takes a connection back after a whole exchange.
    pub(crate) fn give_back(&self, addr: SocketAddr, lent: Lent) {
        self.idle.borrow_mut().entry(addr).or_default().push((Instant::now(), lent.conn));
    }

    fn drop_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(a, c)| c.first().map(|(since, _)| (*since, *a))).min();
        let Some((_, addr)) = oldest else { return false };
        idle.get_mut(&addr).map(|c| c.remove(0)).is_some()
    }
}

/// Out of descriptors (EMFILE, ENFILE), memory for sockets, or local ports.
pub(crate) fn no_descriptors(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(23 | 24 | 12 | 105 | 99))
}
