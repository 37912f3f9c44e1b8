//! The pool config: discovery's list, watched from the moment the decisions first ask for it, and moved to
//! another address when a new configuration says so.

use super::http::{Bad, Conn};
use crate::core::{Member, PoolSource};
use crate::interface::Stage;
use crate::pacing::Pacing;
use crate::runtime::Hub;
use async_channel::{bounded, Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use serde::Deserialize;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};
use std::time::Duration;

/// An empty line comes every 2 s: a watch that says nothing for longer is broken. A change counts as told
/// after 6 s, read or not, so there must be time left to watch anew.
const SILENCE: Duration = Duration::from_millis(3_000);
/// Longest wait for a connection.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Longest wait for an answer's head: past discovery's own time-out of a call, which then says 503, since a
/// call given up while queued there still takes its turn, and the next is queued behind it.
const HEAD_PATIENCE: Duration = Duration::from_millis(3_000);
/// The longest line.
const LINE: usize = 4 << 20;

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
    pub(crate) fn member(&self) -> Member {
        Member {
            name: self.id.clone(),
            addr: self.addr.clone(),
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            cell: self.cell,
            stage: match self.state {
                State::Ready => Stage::Ready,
                State::Draining => Stage::Draining,
                State::Gone => Stage::Gone,
            },
            weight: self.weight,
            since: self.started_ms.saturating_mul(1_000),
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
    source: usize,
    version: Cell<u64>,
    running: Cell<bool>,
    /// Pauses between calls, spread over the fleet.
    pacing: RefCell<Pacing>,
}

impl Watch {
    pub(crate) fn new(
        hub: Rc<Hub>, addr: Option<SocketAddr>, source: usize, version: u64, pacing: Pacing,
    ) -> Rc<Watch> {
        let (version, running, addr) = (Cell::new(version), Cell::new(false), Cell::new(addr));
        let (moved, pacing) = (bounded(1), RefCell::new(pacing));
        Rc::new_cyclic(|me| Watch { me: me.clone(), hub, addr, moved, source, version, running, pacing })
    }

    /// Discovery is at another address from now on. Guards against a watch on the old one, which may look alive
    /// for a while though nothing that is told there counts: its connection is given up at once.
    pub(crate) fn move_to(&self, addr: SocketAddr) {
        if self.addr.replace(Some(addr)) == Some(addr) {
            return;
        }
        // Another address may count its versions anew: the whole list is asked for.
        self.version.set(0);
        self.pacing.borrow_mut().start_over();
        let _ = self.moved.0.try_send(());
        self.subscribe();
    }

    async fn keep(&self) {
        // A fleet started at once does not call at once.
        let first = self.pacing.borrow_mut().first();
        self.pause(first).await;
        while let Some(addr) = self.addr.get() {
            let before = self.version.get();
            let mut lines = 0u64;
            let moved = async {
                let _ = self.moved.1.recv().await;
                None
            };
            let watch = async { self.watch(addr, &mut lines).await.err() };
            let Some(why) = future::or(moved, watch).await else {
                info!(self.hub.log, "the watch moves"; "from" => %addr, "to" => ?self.addr.get());
                continue;
            };
            let wait = self.pacing.borrow_mut().after(lines > 0);
            warn!(self.hub.log, "the watch on discovery broke"; "why" => why, "lines" => lines, "version" => before,
                "pause_ms" => wait.as_millis() as u64);
            self.hub.with(|core, _| {
                core.counters.watches_broken += 1;
                core.pool_config_failed();
            });
            self.pause(wait).await;
        }
    }

    /// Waits, unless the address moves meanwhile.
    async fn pause(&self, wait: Duration) {
        let cut_short = async {
            let _ = self.moved.1.recv().await;
        };
        let paused = async {
            Timer::after(wait).await;
        };
        future::or(cut_short, paused).await;
    }

    async fn watch(&self, addr: SocketAddr, lines: &mut u64) -> Result<std::convert::Infallible, String> {
        let dial = async { Async::<TcpStream>::connect(addr).await.map_err(|e| e.to_string()) };
        let mut conn = Conn::new(within(PATIENCE, dial).await?);
        let query = format!(
            "GET /discovery/hosts?watch=1&after={} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.version.get(),
            addr
        );
        conn.write(query.as_bytes()).await.map_err(|e| e.to_string())?;
        let head = within(HEAD_PATIENCE, async { conn.answer().await.map_err(say) }).await?;
        if head.status != 200 {
            return Err(format!("status {}", head.status));
        }
        let mut text = Vec::new();
        loop {
            let part = within(SILENCE, async { conn.chunk().await.map_err(say) }).await?;
            text.extend_from_slice(&part.ok_or("it was ended")?);
            while let Some(end) = text.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = text.drain(..=end).collect();
                *lines += 1;
                if !line.iter().all(u8::is_ascii_whitespace) {
                    self.take(&line)?;
                }
            }
            if text.len() > LINE {
                return Err("a line without end".into());
            }
        }
    }

    fn take(&self, line: &[u8]) -> Result<(), String> {
        let list: List = serde_json::from_slice(line).map_err(|e| format!("not a list: {e}"))?;
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

fn say(bad: Bad) -> String {
    format!("{bad:?}")
}

async fn within<T>(
    limit: Duration, what: impl std::future::Future<Output = Result<T, String>>,
) -> Result<T, String> {
    let late = async {
        Timer::after(limit).await;
        Err(format!("nothing for {limit:?}"))
    };
    future::or(what, late).await
}

impl PoolSource for Watch {
    /// Once begun the watch keeps itself up; asked again it has nothing to do.
    fn subscribe(&self) {
        if self.addr.get().is_some() && !self.running.replace(true) {
            let me = self.me.upgrade().expect("called through an Rc");
            self.hub.spawn(async move { me.keep().await });
        }
    }
}
