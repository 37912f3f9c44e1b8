//! The two threads beside the event loop: one hears the socket, one keeps the state.

use super::books::{Note, NOTES};
use super::witness::HOLDS;
use super::{Common, View};
use crate::interface::Micros;
use async_channel::Sender;
use rtrb::{Consumer, Producer, RingBuffer};
use slog::{info, warn, Logger};
use std::collections::VecDeque;
use std::io;
use std::net::UdpSocket;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle, Thread};
use std::time::Duration;
use streamusher_fleet::datagram::MAX_DATAGRAM_BYTES;
use streamusher_fleet::node::FleetNode;
use streamusher_fleet::outbox::OutboundDatagram;
use streamusher_fleet::outlier::EjectionPolicy;

/// Frames that fit the ring from the socket; more are dropped, as the network would.
const FRAMES: usize = 1_024;
/// Frames taken between two looks at the notes and the clock: a flood of them holds neither up.
const AT_ONCE: usize = 64;
/// The socket's thread looks so often whether it is to end.
const LOOK: Duration = Duration::from_millis(200);
/// The view is made anew so often, where anything changed.
const VIEW: Micros = 50_000;
/// Few members are not believed, and all together shun no more than a third of a zone.
const EJECTION_POLICY: EjectionPolicy = EjectionPolicy {
    min_observers: 3,
    max_ejected_fraction: 0.34,
};
/// How long the end waits for another member to hold all counts.
const HAND_OVER: Micros = 600_000;

/// Starts both; the state's thread is the one to wake.
pub(super) fn start(
    node: FleetNode,
    socket: UdpSocket,
    common: Arc<Common>,
    notes: Consumer<Note>,
    wake: Sender<()>,
    clock: impl Fn() -> Micros + Send + 'static,
    log: Logger,
) -> io::Result<(Vec<JoinHandle<()>>, Thread)> {
    let hears = socket.try_clone()?;
    hears.set_read_timeout(Some(LOOK))?;
    let (frames, heard) = RingBuffer::new(FRAMES);
    let mut state = State {
        node,
        socket,
        common: common.clone(),
        notes,
        heard,
        wake,
        clock,
        ejection_policy: EJECTION_POLICY,
        log,
    };
    let state = Builder::new()
        .name("fleet-state".into())
        .spawn(move || state.run())?;
    let thread = state.thread().clone();
    let woken = thread.clone();
    let hears = Builder::new()
        .name("fleet-socket".into())
        .spawn(move || hear(&hears, &common, frames, &woken))?;
    Ok((vec![state, hears], thread))
}

fn hear(socket: &UdpSocket, common: &Common, mut frames: Producer<Vec<u8>>, state: &Thread) {
    let mut bytes = [0u8; MAX_DATAGRAM_BYTES + 1];
    while !common.stop.load(Ordering::Acquire) {
        let Ok((n, _)) = socket.recv_from(&mut bytes) else {
            continue;
        }; // nothing for a while, or an ICMP error
        match frames.push(bytes[..n].to_vec()) {
            Ok(()) => state.unpark(),
            Err(_) => drop(common.dropped.fetch_add(1, Ordering::Relaxed)),
        }
    }
}

struct State<C> {
    node: FleetNode,
    socket: UdpSocket,
    common: Arc<Common>,
    notes: Consumer<Note>,
    heard: Consumer<Vec<u8>>,
    wake: Sender<()>,
    clock: C,
    ejection_policy: EjectionPolicy,
    log: Logger,
}

impl<C: Fn() -> Micros> State<C> {
    fn run(&mut self) {
        // By number, the version of own counts that holds the answers up to it.
        let mut versions: VecDeque<(u64, u64)> = VecDeque::new();
        let (mut taken, mut viewed, mut replaced, mut end) = (0, 0, false, None);
        loop {
            let (now, wall) = ((self.clock)(), crate::billing::unix_time_us());
            for _ in 0..AT_ONCE {
                let Ok(bytes) = self.heard.pop() else { break };
                self.node.receive(now, wall, &bytes);
            }
            let was_full = self.notes.slots() == NOTES;
            while let Ok(note) = self.notes.pop() {
                match note {
                    Note::Counts { upto, rows } => {
                        let version = rows
                            .into_iter()
                            .map(|(key, units)| self.node.increment(key, &units))
                            .last();
                        version
                            .into_iter()
                            .for_each(|v| versions.push_back((upto, v)));
                        taken = upto;
                    }
                    Note::Saw {
                        worker,
                        fault: Some(fault),
                        weight,
                    } => {
                        self.node
                            .outliers
                            .on_fault(now, worker, fault, weight, HOLDS);
                    }
                    Note::Saw {
                        worker,
                        fault: None,
                        ..
                    } => self.node.outliers.on_success(now, worker, HOLDS / 4),
                }
            }
            self.node.tick(now, wall);
            self.node.send_own_usage(now);
            for OutboundDatagram { to, bytes } in self.node.take_outbound() {
                let _ = self.socket.send_to(&bytes, to); // what is lost is sent again
            }
            if was_full {
                let _ = self.wake.try_send(()); // sums may wait for room
            }
            let safe = self.node.replicated_version();
            let mut upto = None;
            while versions.front().is_some_and(|v| v.1 <= safe) {
                upto = versions.pop_front().map(|v| v.0);
            }
            if let Some(upto) = upto {
                self.common.safe.store(upto, Ordering::Release);
                if self.common.waited_for {
                    let _ = self.wake.try_send(()); // a full channel wakes it just as well
                }
            }
            if now.saturating_sub(viewed) >= VIEW {
                viewed = now;
                let roster = self.common.roster.load();
                let ejections = self
                    .node
                    .outliers
                    .ejections(now, self.ejection_policy, &roster);
                let changed = ejections != self.common.view.load().ejections;
                let (status, totals) = (self.node.status(now), self.node.totals());
                self.common.view.store(Arc::new(View {
                    upto: taken,
                    status,
                    totals,
                    ejections,
                }));
                if changed {
                    self.common.judged.store(true, Ordering::Release);
                    let _ = self.wake.try_send(());
                }
            }
            if self.node.is_replaced() && !std::mem::replace(&mut replaced, true) {
                warn!(
                    self.log,
                    "another process of this name has joined the fleet: this one spends no rights any more"
                );
            }
            if self.common.stop.load(Ordering::Acquire) {
                let until = *end.get_or_insert(now + HAND_OVER);
                self.node.start_handover();
                if self.node.handover_complete() || now >= until {
                    break;
                }
            }
            let due = self
                .node
                .next_deadline()
                .saturating_sub((self.clock)())
                .min(VIEW);
            if self.heard.is_empty() && self.notes.is_empty() {
                std::thread::park_timeout(Duration::from_micros(due.max(200)));
            }
        }
        let now = (self.clock)();
        let (status, totals) = (self.node.status(now), self.node.totals());
        self.common.view.store(Arc::new(View {
            upto: taken,
            status,
            totals,
            ejections: Vec::new(),
        }));
        self.node.leave(now);
        for OutboundDatagram { to, bytes } in self.node.take_outbound() {
            let _ = self.socket.send_to(&bytes, to);
        }
        info!(self.log, "the fleet's state has ended"; "handed_over" => self.node.handover_complete());
    }
}
