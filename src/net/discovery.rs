//! The pool config: discovery's list, watched from the process's start, and moved to another address when a new
//! configuration says so. When it is called and what is given up is [`ListClock`]'s to say.

use super::http::{Conn, ReadError};
use super::lists::{Splitter, WatchItem};
use super::pool::dial;
use crate::core::{PoolMember, PoolSource};
use crate::interface::EndpointState;
use crate::list_clock::ListClock;
use crate::runtime::Hub;
use async_channel::{bounded, Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use serde::Deserialize;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// A list, or the changes to one.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct List {
    pub(crate) version: u64,
    full: bool,
    pub(crate) servers: Vec<Server>,
}

/// A line of a list.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Server {
    id: String,
    addr: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u32,
    state: State,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    started_ms: u64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
    Gone,
}

impl Server {
    /// The core's clock reads Unix time, so a start time needs no more than its unit changed.
    pub(crate) fn member(&self) -> PoolMember {
        PoolMember {
            name: self.id.clone(),
            addr: self.addr.clone(),
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            cell: self.cell,
            state: match self.state {
                State::Ready => EndpointState::Ready,
                State::Draining => EndpointState::Draining,
                State::Gone => EndpointState::Gone,
            },
            weight: self.weight,
            started_at_us: self.started_ms.saturating_mul(1_000),
        }
    }
}

/// The watch on discovery, wherever that is now.
pub(crate) struct Watch {
    me: Weak<Watch>,
    hub: Rc<Hub>,
    /// None until a configuration names one.
    addr: Cell<Option<SocketAddr>>,
    /// Wakes a watch that runs, or waits to be made anew, when the address has changed.
    moved: (Sender<()>, Receiver<()>),
    /// Wakes a watch that rests when it is due sooner.
    hurried: (Sender<()>, Receiver<()>),
    source: usize,
    version: Cell<u64>,
    running: Cell<bool>,
    clock: RefCell<ListClock>,
}

impl Watch {
    pub(crate) fn new(
        hub: Rc<Hub>,
        addr: Option<SocketAddr>,
        source: usize,
        version: u64,
        clock: ListClock,
    ) -> Rc<Watch> {
        let (version, running, addr) = (Cell::new(version), Cell::new(false), Cell::new(addr));
        let (moved, hurried, clock) = (bounded(1), bounded(1), RefCell::new(clock));
        Rc::new_cyclic(|me| Watch {
            me: me.clone(),
            hub,
            addr,
            moved,
            hurried,
            source,
            version,
            running,
            clock,
        })
    }

    /// Discovery is at another address from now on. Guards against a watch on the old one, which may look alive
    /// for a while though nothing that is told there counts: its connection is given up at once.
    pub(crate) fn move_to(&self, addr: SocketAddr) {
        if self.addr.replace(Some(addr)) == Some(addr) {
            return;
        }
        // Another address may count its versions anew: the whole list is asked for.
        self.version.set(0);
        self.clock.borrow_mut().moved(self.hub.now());
        let _ = self.moved.0.try_send(());
        self.subscribe();
    }

    async fn keep(&self) {
        while let Some(addr) = self.addr.get() {
            let moved = async {
                let _ = self.moved.1.recv().await;
                None
            };
            let (before, lists) = (self.version.get(), Cell::new(0u64));
            let watch = async {
                self.due().await;
                self.clock.borrow_mut().call_started(self.hub.now());
                self.watch(addr, &lists).await.err()
            };
            let Some(why) = future::or(moved, watch).await else {
                info!(self.hub.log, "the watch moves"; "from" => %addr, "to" => ?self.addr.get());
                continue;
            };
            let pause_us = self.clock.borrow_mut().call_ended(self.hub.now());
            warn!(self.hub.log, "the watch on discovery broke"; "why" => why, "lists" => lists.get(),
                "version" => before, "pause_ms" => pause_us / 1_000);
            self.hub.with(|core, _| {
                core.counters.watches_broken += 1;
                core.pool_config_failed();
            });
        }
    }

    /// Comes back when the clock wants something done.
    async fn due(&self) {
        loop {
            let at = self.clock.borrow().due();
            let left = at.saturating_sub(self.hub.now());
            if left == 0 {
                return;
            }
            let hurried = async {
                let _ = self.hurried.1.recv().await;
            };
            let timer = async {
                Timer::after(Duration::from_micros(left)).await;
            };
            future::or(timer, hurried).await;
        }
    }

    /// Waits for this step of the call for as long as the clock allows.
    async fn within<T>(&self, what: impl Future<Output = Result<T, String>>) -> Result<T, String> {
        let late = async {
            self.due().await;
            Err("nothing came in time".into())
        };
        future::or(what, late).await
    }

    async fn watch(&self, addr: SocketAddr, lists: &Cell<u64>) -> Result<Infallible, String> {
        let dial = async { dial(&self.hub, addr).await.map_err(|e| e.to_string()) };
        let mut conn = Conn::new(self.within(dial).await?);
        self.clock.borrow_mut().connected(self.hub.now());
        let query = format!(
            "GET /discovery/hosts?watch=1&after={} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.version.get(),
            addr
        );
        let head = self.within(async {
            conn.write(query.as_bytes())
                .await
                .map_err(|e| e.to_string())?;
            conn.answer().await.map_err(say)
        });
        let head = head.await?;
        if head.status != 200 {
            return Err(format!("status {}", head.status));
        }
        self.clock.borrow_mut().watch_opened(self.hub.now());
        let (mut splitter, mut said) = (Splitter::new(), Vec::new());
        loop {
            let piece = self
                .within(async { conn.chunk().await.map_err(say) })
                .await?;
            splitter
                .feed(&piece.ok_or("it was ended")?, &mut said)
                .map_err(|e| format!("not a list: {e:?}"))?;
            for said in said.drain(..) {
                if let WatchItem::Object(text) = said {
                    self.take(&text)?;
                    lists.set(lists.get() + 1);
                }
                self.clock.borrow_mut().received(self.hub.now());
            }
        }
    }

    fn take(&self, text: &[u8]) -> Result<(), String> {
        let list: List = serde_json::from_slice(text).map_err(|e| format!("not a list: {e}"))?;
        self.version.set(list.version);
        info!(self.hub.log, "pool config"; "version" => list.version, "full" => list.full,
            "servers" => list.servers.len());
        let members = list.servers.iter().map(Server::member).collect();
        self.hub.with(|core, _| {
            core.counters.pool_configs += 1;
            core.pool_config(self.source, list.full, members);
        });
        Ok(())
    }
}

fn say(bad: ReadError) -> String {
    format!("{bad:?}")
}

impl PoolSource for Watch {
    /// Once begun the watch keeps itself up; asked again, as the decisions do, it has nothing to do.
    fn subscribe(&self) {
        if self.addr.get().is_some() && !self.running.replace(true) {
            let me = self.me.upgrade().expect("called through an Rc");
            self.hub.spawn(async move { me.keep().await });
        }
    }

    fn awaits_first_config(&self) -> bool {
        self.running.get() && self.clock.borrow().awaits_first()
    }

    fn expedite(&self) {
        self.clock.borrow_mut().expedite(self.hub.now());
        let _ = self.hurried.0.try_send(());
    }
}
