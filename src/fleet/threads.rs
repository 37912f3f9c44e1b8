//! The two threads beside the event loop: one receives datagrams, one runs the fleet's state machine.

use super::step_observer::OBSERVATION_LIFETIME;
use super::usage_recorder::{StateUpdate, UPDATE_RING_CAPACITY};
use super::{Shared, View};
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

/// Capacity of the ring from the socket; further datagrams are dropped, as a network would drop them.
const DATAGRAM_RING_CAPACITY: usize = 1_024;
/// Datagrams processed in one pass before the event loop's updates and the clock are handled: a flood of
/// datagrams must not delay either.
const DATAGRAMS_PER_PASS: usize = 64;
/// Read timeout of the socket, so that its thread checks for the shutdown this often.
const SOCKET_READ_TIMEOUT: Duration = Duration::from_millis(200);
/// The shortest time between two views for operators.
const VIEW_INTERVAL: Micros = 50_000;
/// A worker is ejected only on the observations of several members, and all members together eject at most a
/// third of a zone.
const EJECTION_POLICY: EjectionPolicy = EjectionPolicy {
    min_observers: 3,
    max_ejected_fraction: 0.34,
};
/// How long a shutdown waits until another member holds all counts.
const HANDOVER_TIMEOUT: Micros = 600_000;

/// Starts both threads; the returned handle wakes the state thread.
pub(super) fn start(
    node: FleetNode,
    socket: UdpSocket,
    shared: Arc<Shared>,
    updates: Consumer<StateUpdate>,
    wake_sender: Sender<()>,
    clock: impl Fn() -> Micros + Send + 'static,
    log: Logger,
) -> io::Result<(Vec<JoinHandle<()>>, Thread)> {
    let receiving_socket = socket.try_clone()?;
    receiving_socket.set_read_timeout(Some(SOCKET_READ_TIMEOUT))?;
    let (datagram_producer, datagrams) = RingBuffer::new(DATAGRAM_RING_CAPACITY);
    let mut state = StateThread {
        node,
        socket,
        shared: shared.clone(),
        updates,
        datagrams,
        wake_sender,
        clock,
        ejection_policy: EJECTION_POLICY,
        log,
    };
    let state_thread = Builder::new()
        .name("fleet-state".into())
        .spawn(move || state.run())?;
    let state_handle = state_thread.thread().clone();
    let wake_handle = state_handle.clone();
    let socket_thread = Builder::new().name("fleet-socket".into()).spawn(move || {
        receive_datagrams(&receiving_socket, &shared, datagram_producer, &wake_handle)
    })?;
    Ok((vec![state_thread, socket_thread], state_handle))
}

fn receive_datagrams(
    socket: &UdpSocket,
    shared: &Shared,
    mut datagram_producer: Producer<Vec<u8>>,
    state_handle: &Thread,
) {
    let mut bytes = [0u8; MAX_DATAGRAM_BYTES + 1];
    while !shared.stop.load(Ordering::Acquire) {
        let Ok((length, _)) = socket.recv_from(&mut bytes) else {
            continue;
        }; // read timeout, or an ICMP error
        match datagram_producer.push(bytes[..length].to_vec()) {
            Ok(()) => state_handle.unpark(),
            Err(_) => drop(shared.dropped_datagrams.fetch_add(1, Ordering::Relaxed)),
        }
    }
}

struct StateThread<C> {
    node: FleetNode,
    socket: UdpSocket,
    shared: Arc<Shared>,
    updates: Consumer<StateUpdate>,
    datagrams: Consumer<Vec<u8>>,
    wake_sender: Sender<()>,
    clock: C,
    ejection_policy: EjectionPolicy,
    log: Logger,
}

impl<C: Fn() -> Micros> StateThread<C> {
    fn run(&mut self) {
        // Numbers of answers, each with the version of the own usage counters that includes all answers up to
        // it.
        let mut versions: VecDeque<(u64, u64)> = VecDeque::new();
        let (mut last_counted, mut last_view, mut replacement_logged, mut handover_deadline) =
            (0, 0, false, None);
        loop {
            let (now, wall_time) = ((self.clock)(), crate::billing::unix_time_us());
            for _ in 0..DATAGRAMS_PER_PASS {
                let Ok(bytes) = self.datagrams.pop() else {
                    break;
                };
                self.node.receive(now, wall_time, &bytes);
            }
            let was_full = self.updates.slots() == UPDATE_RING_CAPACITY;
            while let Ok(update) = self.updates.pop() {
                match update {
                    StateUpdate::Usage { last_answer, rows } => {
                        let version = rows
                            .into_iter()
                            .map(|(key, values)| self.node.increment(key, &values))
                            .last();
                        version
                            .into_iter()
                            .for_each(|v| versions.push_back((last_answer, v)));
                        last_counted = last_answer;
                    }
                    StateUpdate::WorkerObserved {
                        worker,
                        fault: Some(fault),
                        weight,
                    } => {
                        self.node.outliers.on_fault(
                            now,
                            worker,
                            fault,
                            weight,
                            OBSERVATION_LIFETIME,
                        );
                    }
                    StateUpdate::WorkerObserved {
                        worker,
                        fault: None,
                        ..
                    } => self
                        .node
                        .outliers
                        .on_success(now, worker, OBSERVATION_LIFETIME / 4),
                }
            }
            self.node.tick(now, wall_time);
            self.node.send_own_usage(now);
            for OutboundDatagram { to, bytes } in self.node.take_outbound() {
                let _ = self.socket.send_to(&bytes, to); // lost datagrams are sent again
            }
            if was_full {
                let _ = self.wake_sender.try_send(()); // usage may be waiting for free space in the ring
            }
            let replicated_version = self.node.replicated_version();
            let mut last_answer = None;
            while versions.front().is_some_and(|v| v.1 <= replicated_version) {
                last_answer = versions.pop_front().map(|v| v.0);
            }
            if let Some(last_answer) = last_answer {
                self.shared
                    .replicated_answer
                    .store(last_answer, Ordering::Release);
                if self.shared.answers_wait {
                    let _ = self.wake_sender.try_send(()); // if the channel is full, a wake-up is already pending
                }
            }
            if now.saturating_sub(last_view) >= VIEW_INTERVAL {
                last_view = now;
                let roster = self.shared.roster.load();
                let ejections = self
                    .node
                    .outliers
                    .ejections(now, self.ejection_policy, &roster);
                let changed = ejections != self.shared.view.load().ejections;
                let (status, totals) = (self.node.status(now), self.node.totals());
                self.shared.view.store(Arc::new(View {
                    last_answer: last_counted,
                    status,
                    totals,
                    ejections,
                }));
                if changed {
                    self.shared.ejections_changed.store(true, Ordering::Release);
                    let _ = self.wake_sender.try_send(());
                }
            }
            if self.node.is_replaced() && !std::mem::replace(&mut replacement_logged, true) {
                warn!(
                    self.log,
                    "another process with this member name joined the fleet; this process acquires no more quota units"
                );
            }
            if self.shared.stop.load(Ordering::Acquire) {
                let until = *handover_deadline.get_or_insert(now + HANDOVER_TIMEOUT);
                self.node.start_handover();
                if self.node.handover_complete() || now >= until {
                    break;
                }
            }
            let wait_us = self
                .node
                .next_deadline()
                .saturating_sub((self.clock)())
                .min(VIEW_INTERVAL);
            if self.datagrams.is_empty() && self.updates.is_empty() {
                std::thread::park_timeout(Duration::from_micros(wait_us.max(200)));
            }
        }
        let now = (self.clock)();
        let (status, totals) = (self.node.status(now), self.node.totals());
        self.shared.view.store(Arc::new(View {
            last_answer: last_counted,
            status,
            totals,
            ejections: Vec::new(),
        }));
        self.node.leave(now);
        for OutboundDatagram { to, bytes } in self.node.take_outbound() {
            let _ = self.socket.send_to(&bytes, to);
        }
        info!(self.log, "fleet state thread stopped"; "handed_over" => self.node.handover_complete());
    }
}
