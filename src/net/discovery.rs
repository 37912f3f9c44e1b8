//! Pool configuration: watches discovery's endpoint list from the start of the process on, and moves the
//! watch to another address when a new configuration names one. [`ListClock`] decides when discovery is
//! called and when a call is abandoned.

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

/// An endpoint list or the changes to one.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct List {
    pub(crate) version: u64,
    full: bool,
    pub(crate) servers: Vec<Server>,
}

/// One worker in a list.
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
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    started_ms: u64,
}

fn default_weight() -> f64 {
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
    /// Converts an entry for the core. The core's clock reads Unix time, so only the unit of the start time
    /// changes.
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

/// The watch on discovery, at whatever address discovery currently has.
pub(crate) struct Watch {
    weak_self: Weak<Watch>,
    hub: Rc<Hub>,
    /// Address of discovery; `None` until a configuration names one.
    addr: Cell<Option<SocketAddr>>,
    /// Wakes the watch, or the pause before it is reopened, when the address changes.
    moved: (Sender<()>, Receiver<()>),
    /// Wakes the pause before a call when the call is due earlier.
    expedited: (Sender<()>, Receiver<()>),
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
        let (moved, expedited, clock) = (bounded(1), bounded(1), RefCell::new(clock));
        Rc::new_cyclic(|weak_self| Watch {
            weak_self: weak_self.clone(),
            hub,
            addr,
            moved,
            expedited,
            source,
            version,
            running,
            clock,
        })
    }

    /// Moves the watch to another address. Guards against a watch on the old address that still looks alive
    /// although its changes no longer count: its connection is closed at once.
    pub(crate) fn move_to(&self, addr: SocketAddr) {
        if self.addr.replace(Some(addr)) == Some(addr) {
            return;
        }
        // Discovery at another address may number its versions differently, so the whole list is requested.
        self.version.set(0);
        self.clock.borrow_mut().moved(self.hub.now());
        let _ = self.moved.0.try_send(());
        self.subscribe();
    }

    async fn run(&self) {
        while let Some(addr) = self.addr.get() {
            let moved = async {
                let _ = self.moved.1.recv().await;
                None
            };
            let (version_before, list_count) = (self.version.get(), Cell::new(0u64));
            let watch = async {
                self.wait_until_due().await;
                self.clock.borrow_mut().call_started(self.hub.now());
                self.watch(addr, &list_count).await.err()
            };
            let Some(why) = future::or(moved, watch).await else {
                info!(self.hub.log, "moving the watch to another discovery address"; "from" => %addr, "to" => ?self.addr.get());
                continue;
            };
            let pause_us = self.clock.borrow_mut().call_ended(self.hub.now());
            warn!(self.hub.log, "the watch on discovery broke"; "why" => why, "lists" => list_count.get(),
                "version" => version_before, "pause_ms" => pause_us / 1_000);
            self.hub.with(|core, _| {
                core.counters.watches_broken += 1;
                core.pool_config_failed();
            });
        }
    }

    /// Completes when the next timer of the clock expires.
    async fn wait_until_due(&self) {
        loop {
            let due_at = self.clock.borrow().due();
            let left = due_at.saturating_sub(self.hub.now());
            if left == 0 {
                return;
            }
            let expedited = async {
                let _ = self.expedited.1.recv().await;
            };
            let timer = async {
                Timer::after(Duration::from_micros(left)).await;
            };
            future::or(timer, expedited).await;
        }
    }

    /// Runs one step of a call, with the time limit that the clock sets.
    async fn with_timeout<T>(
        &self,
        step: impl Future<Output = Result<T, String>>,
    ) -> Result<T, String> {
        let timeout = async {
            self.wait_until_due().await;
            Err("nothing came in time".into())
        };
        future::or(step, timeout).await
    }

    async fn watch(&self, addr: SocketAddr, list_count: &Cell<u64>) -> Result<Infallible, String> {
        let dial = async { dial(&self.hub, addr).await.map_err(|e| e.to_string()) };
        let mut conn = Conn::new(self.with_timeout(dial).await?);
        self.clock.borrow_mut().connected(self.hub.now());
        let query = format!(
            "GET /discovery/hosts?watch=1&after={} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.version.get(),
            addr
        );
        let head = self.with_timeout(async {
            conn.write(query.as_bytes())
                .await
                .map_err(|e| e.to_string())?;
            conn.response().await.map_err(describe)
        });
        let head = head.await?;
        if head.status != 200 {
            return Err(format!("status {}", head.status));
        }
        self.clock.borrow_mut().watch_opened(self.hub.now());
        let (mut splitter, mut items) = (Splitter::new(), Vec::new());
        loop {
            let piece = self
                .with_timeout(async { conn.chunk().await.map_err(describe) })
                .await?;
            splitter
                .feed(&piece.ok_or("it was ended")?, &mut items)
                .map_err(|e| format!("not a list: {e:?}"))?;
            for item in items.drain(..) {
                if let WatchItem::Object(text) = item {
                    self.apply(&text)?;
                    list_count.set(list_count.get() + 1);
                }
                self.clock.borrow_mut().received(self.hub.now());
            }
        }
    }

    fn apply(&self, text: &[u8]) -> Result<(), String> {
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

fn describe(bad: ReadError) -> String {
    format!("{bad:?}")
}

impl PoolSource for Watch {
    /// The watch reopens itself once it has been started. Further calls, which the decisions make, have no
    /// effect.
    fn subscribe(&self) {
        if self.addr.get().is_some() && !self.running.replace(true) {
            let watch = self.weak_self.upgrade().expect("called through an Rc");
            self.hub.spawn(async move { watch.run().await });
        }
    }

    fn awaits_first_config(&self) -> bool {
        self.running.get() && self.clock.borrow().awaits_first()
    }

    fn expedite(&self) {
        self.clock.borrow_mut().expedite(self.hub.now());
        let _ = self.expedited.0.try_send(());
    }
}
