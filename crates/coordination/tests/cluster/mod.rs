//! A cluster of control machines in one process and in virtual time, with faults drawn from a seed and checks
//! after every step.
#![allow(dead_code)]

pub(crate) mod checks;
pub(crate) mod schedule;

use checks::Checks;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use streamusher_coordination::{
    Coordinator, CoordinatorSettings, DiskChange, DiskId, DiskImage, EpochRecord, Input, Message,
    Output,
};
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

pub(crate) const TICK_MS: Millis = 20;
pub(crate) const LEASE_MS: Millis = 800;
/// Time within which a machine that has just started or restarted catches up.
pub(crate) const CATCH_UP_MS: Millis = 4_000;

/// Maximum delay of a late message.
const MAX_LATE_DELAY_MS: Millis = 3_000;

/// Decides whether a message is dropped; the arguments are the sender, the receiver and the message.
pub(crate) type MessageFilter = Box<dyn FnMut(usize, usize, &Message) -> bool>;

/// A scheduled event.
enum Event {
    Tick {
        node: usize,
        incarnation: u64,
    },
    Deliver {
        node: usize,
        from: Arc<str>,
        message: Message,
    },
    DiskDone {
        node: usize,
        incarnation: u64,
        ticket: u64,
    },
    Append {
        node: usize,
        incarnation: u64,
    },
}

/// A machine and its disk.
pub(crate) struct Node {
    pub address: CoreAddress,
    pub process: Option<Coordinator>,
    pub incarnation: u64,
    pub durable: DiskImage,
    /// The disk change in flight, with its ticket. A power loss may or may not undo it.
    in_flight: Option<(u64, DiskChange)>,
    pub sync_ms: Millis,
    pub disk_fails: bool,
    /// The process handles no event before this time.
    pub frozen_until_ms: Millis,
    /// Sequences of the appends that are not committed yet, with the keys that they wrote.
    appends: VecDeque<(u64, u64)>,
    pub elected: u64,
    /// The term in which the machine last acted as primary.
    last_acting_term: u64,
    /// The newest epoch whose record was compared with those of the other machines.
    checked_epoch: u64,
    pub is_leaving: bool,
    /// Whether the machine is removed for good.
    pub is_removed: bool,
}

/// The machines, the links between them, and the virtual time.
pub(crate) struct Cluster {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub random: Pcg64Mcg,
    pub tolerance: usize,
    pub seeds: Vec<CoreAddress>,
    pub bootstrap: bool,
    events: BTreeMap<(Millis, u64), Event>,
    next_event: u64,
    /// Directed links that deliver no message.
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub loss_rate: f64,
    pub duplication_rate: f64,
    pub delay_ms: Millis,
    /// Filter that is asked for each message whether to drop it.
    pub drops_message: Option<MessageFilter>,
    /// Share of messages that are delayed by up to [`MAX_LATE_DELAY_MS`].
    pub late_rate: f64,
    pub append_interval_ms: Millis,
    pub value_bytes: usize,
    next_key: u64,
    pub checks: Checks,
    /// Log of events, for the message of a failed check.
    pub event_log: Vec<String>,
}

impl Cluster {
    /// Creates a cluster at its first start; the first three machines are the seeds.
    pub(crate) fn new(size: usize, tolerance: usize, seed: u64) -> Cluster {
        let nodes: Vec<Node> = (0..size).map(new_node).collect();
        let seeds = nodes
            .iter()
            .take(3)
            .map(|node| node.address.clone())
            .collect();
        Cluster {
            now: 1_000_000,
            nodes,
            random: Pcg64Mcg::seed_from_u64(seed),
            tolerance,
            seeds,
            bootstrap: true,
            events: BTreeMap::new(),
            next_event: 0,
            blocked_links: BTreeSet::new(),
            loss_rate: 0.0,
            duplication_rate: 0.0,
            delay_ms: 3,
            drops_message: None,
            late_rate: 0.0,
            append_interval_ms: 25,
            value_bytes: 10,
            next_key: 0,
            checks: Checks::default(),
            event_log: Vec::new(),
        }
    }

    /// Creates and starts a cluster, and runs it until a primary may act and all machines are members.
    pub(crate) fn stable(size: usize, tolerance: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster::new(size, tolerance, seed);
        cluster.start_all();
        cluster.run_until_stable(4_000);
        // The other machines learn the newest record.
        cluster.run(300);
        cluster
    }

    pub(crate) fn start_all(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].process.is_none() && !self.nodes[node].is_removed {
                self.start(node);
            }
        }
        self.bootstrap = false;
    }

    /// Adds a new machine without starting it.
    pub(crate) fn add_machine(&mut self) -> usize {
        let index = self.nodes.len();
        self.nodes.push(new_node(index));
        index
    }

    pub(crate) fn record_event(&mut self, text: impl Into<String>) {
        self.event_log
            .push(format!("{:>6} {}", self.now - 1_000_000, text.into()));
    }

    pub(crate) fn start(&mut self, index: usize) {
        self.record_event(format!("start {index}"));
        let settings = CoordinatorSettings {
            address: self.nodes[index].address.clone(),
            bootstrap: self.bootstrap,
            seeds: self.seeds.clone(),
            tolerance: self.tolerance,
            lease_ms: LEASE_MS,
            random_seed: self.random.random(),
        };
        let now = self.now;
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.appends.clear();
        node.checked_epoch = 0;
        node.last_acting_term = 0;
        node.process = Some(Coordinator::new(settings, node.durable.clone(), now));
        node.is_leaving = false;
        let incarnation = node.incarnation;
        let phase = self.random.random_range(1..=TICK_MS);
        self.schedule(
            phase,
            Event::Tick {
                node: index,
                incarnation,
            },
        );
        self.schedule(
            phase,
            Event::Append {
                node: index,
                incarnation,
            },
        );
    }

    /// Ends the process at once. A disk change in flight is applied or not, at random.
    pub(crate) fn crash(&mut self, index: usize) {
        self.record_event(format!("crash {index}"));
        let was_applied = self.random.random_bool(0.5);
        let node = &mut self.nodes[index];
        node.process = None;
        node.frozen_until_ms = 0;
        if let Some((_, change)) = node.in_flight.take().filter(|_| was_applied) {
            apply_change(&mut node.durable, change);
        }
    }

    /// Ends the process and erases the disk of the machine.
    pub(crate) fn wipe(&mut self, index: usize) {
        self.crash(index);
        self.record_event(format!("wipe {index}"));
        let erased = std::mem::take(&mut self.nodes[index].durable);
        self.checks.lost_disks.push(erased.state);
    }

    /// Removes a stopped machine for good.
    pub(crate) fn remove(&mut self, index: usize) {
        self.record_event(format!("remove {index}"));
        self.nodes[index].is_removed = true;
    }

    pub(crate) fn freeze(&mut self, index: usize, duration_ms: Millis) {
        self.record_event(format!("freeze {index} for {duration_ms}"));
        self.nodes[index].frozen_until_ms = self.now + duration_ms;
    }

    pub(crate) fn leave(&mut self, index: usize) {
        self.record_event(format!("leave {index}"));
        self.nodes[index].is_leaving = true;
        self.handle_input(index, Input::Leave);
    }

    /// Blocks all links between `side` and the other machines, in both directions.
    pub(crate) fn partition(&mut self, side: &[usize]) {
        self.record_event(format!("partition {side:?}"));
        for sender in 0..self.nodes.len() {
            for receiver in 0..self.nodes.len() {
                if side.contains(&sender) != side.contains(&receiver) {
                    self.blocked_links.insert((sender, receiver));
                }
            }
        }
    }

    pub(crate) fn restore_links(&mut self) {
        self.record_event("restore links");
        self.blocked_links.clear();
        self.loss_rate = 0.0;
        self.duplication_rate = 0.0;
        self.delay_ms = 3;
        for node in &mut self.nodes {
            node.sync_ms = 9;
            node.disk_fails = false;
        }
    }

    fn schedule(&mut self, after: Millis, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now + after, self.next_event), event);
    }

    pub(crate) fn run(&mut self, duration_ms: Millis) {
        let end = self.now + duration_ms;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
        self.check_acting_machines();
    }

    /// Runs until this many messages have been delivered or disk changes completed, at most for `max_ms`.
    pub(crate) fn run_steps(&mut self, steps: usize, max_ms: Millis) {
        let end = self.now + max_ms;
        let mut taken = 0;
        while let Some(entry) = self.events.first_entry() {
            if taken == steps || entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            taken += usize::from(matches!(
                event,
                Event::Deliver { .. } | Event::DiskDone { .. }
            ));
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.check_acting_machines();
    }

    /// Repairs all faults, and checks that within a limited time a primary acts, all machines are members,
    /// there are enough replicas, and nothing was lost.
    pub(crate) fn recover_and_check(&mut self) {
        self.repair_all();
        self.run(CATCH_UP_MS);
        self.run_until_stable(2_000);
        let before = self.checks.committed.len();
        self.run(500);
        assert!(
            self.checks.committed.len() > before + 10,
            "no progress: {}",
            self.describe()
        );
        self.append_interval_ms = 1_000_000;
        self.run(1_000);
        self.check_replicas_agree();
        let acting_primary = self.acting_primary();
        assert!(
            acting_primary.is_some(),
            "no primary acts: {}",
            self.describe()
        );
        self.check_state(acting_primary.unwrap_or(0));
    }

    /// Runs until `done` holds, at most for `max_ms`. Returns the time that it took.
    pub(crate) fn run_until(
        &mut self,
        max_ms: Millis,
        mut done: impl FnMut(&Cluster) -> bool,
    ) -> Option<Millis> {
        let start = self.now;
        while self.now < start + max_ms {
            if done(self) {
                return Some(self.now - start);
            }
            self.run(5);
        }
        done(self).then_some(max_ms)
    }

    pub(crate) fn run_until_stable(&mut self, max_ms: Millis) {
        let done = self.run_until(max_ms, Cluster::is_stable);
        assert!(
            done.is_some(),
            "not stable after {max_ms} ms: {}",
            self.describe()
        );
    }

    /// Whether a primary acts, every running machine is a member, and there are as many replicas as the
    /// target.
    pub(crate) fn is_stable(&self) -> bool {
        let Some(primary) = self.acting_primary() else {
            return false;
        };
        let Some(record) = self.record(primary) else {
            return false;
        };
        let running: Vec<&Coordinator> = self
            .nodes
            .iter()
            .filter_map(|node| node.process.as_ref())
            .collect();
        let wanted = (self.tolerance + 2).min(running.len());
        let all_are_members = running
            .iter()
            .all(|process| record.is_member(process.status(self.now).id));
        all_are_members && record.replicas.len() >= wanted
    }

    /// The machine that may act as primary and is not frozen.
    pub(crate) fn acting_primary(&self) -> Option<usize> {
        let may_act = |node: &Node| {
            node.process
                .as_ref()
                .is_some_and(|process| process.may_act(self.now))
        };
        self.nodes
            .iter()
            .position(|node| may_act(node) && node.frozen_until_ms <= self.now)
    }

    pub(crate) fn record(&self, index: usize) -> Option<Arc<EpochRecord>> {
        self.nodes[index]
            .process
            .as_ref()
            .map(|process| process.status(self.now).record)
    }

    pub(crate) fn id(&self, index: usize) -> DiskId {
        self.nodes[index]
            .durable
            .witness
            .as_ref()
            .map_or(DiskId(0), |witness| witness.id)
    }

    /// Replicas by the record of the acting primary; the primary comes first.
    pub(crate) fn replicas(&self) -> Vec<usize> {
        let Some(acting_primary) = self.acting_primary() else {
            return Vec::new();
        };
        let Some(record) = self.record(acting_primary) else {
            return Vec::new();
        };
        let others = (0..self.nodes.len()).filter(|index| *index != acting_primary);
        let others = others.filter(|index| record.is_replica(self.id(*index)));
        std::iter::once(acting_primary).chain(others).collect()
    }

    fn handle_event(&mut self, event: Event) {
        let node = match &event {
            Event::Tick { node, .. }
            | Event::Deliver { node, .. }
            | Event::DiskDone { node, .. }
            | Event::Append { node, .. } => *node,
        };
        if self.nodes[node].frozen_until_ms > self.now {
            let wait = self.nodes[node].frozen_until_ms - self.now;
            return self.schedule(wait, event);
        }
        match event {
            Event::Tick { node, incarnation } if self.nodes[node].incarnation == incarnation => {
                self.schedule(TICK_MS, Event::Tick { node, incarnation });
                self.handle_input(node, Input::Tick);
            }
            Event::Deliver {
                node,
                from,
                message,
            } => self.handle_input(node, Input::Received { from, message }),
            Event::DiskDone {
                node,
                incarnation,
                ticket,
            } if self.nodes[node].incarnation == incarnation => {
                self.on_disk_done(node, ticket);
            }
            Event::Append { node, incarnation } if self.nodes[node].incarnation == incarnation => {
                self.schedule(self.append_interval_ms, Event::Append { node, incarnation });
                self.append(node);
            }
            _ => {}
        }
    }

    fn on_disk_done(&mut self, index: usize, ticket: u64) {
        let node = &mut self.nodes[index];
        if node.process.is_none() {
            return;
        }
        let Some((_, change)) = node.in_flight.take() else {
            return;
        };
        if node.disk_fails {
            return self.handle_input(index, Input::PersistFailed { ticket });
        }
        apply_change(&mut node.durable, change);
        self.handle_input(index, Input::Persisted { ticket });
    }

    /// Appends as the primary: writes a new key and, in the same append, increments a counter.
    fn append(&mut self, index: usize) {
        let now = self.now;
        let Some(process) = self.nodes[index].process.as_mut() else {
            return;
        };
        if !process.may_act(now) || process.appended() - process.committed() > 50 {
            return;
        }
        self.record_exposed_state(index);
        let Some(process) = self.nodes[index].process.as_mut() else {
            return;
        };
        self.next_key += 1;
        let key = self.next_key;
        let padding = "x".repeat(self.value_bytes);
        let writes = vec![
            Write::set(format!("key/{key:08}"), padding),
            Write::set("counter", key.to_string()),
        ];
        let (sequence, outputs) = process.append(now, writes);
        self.nodes[index].appends.push_back((sequence, key));
        self.process_outputs(index, outputs);
    }

    pub(crate) fn handle_input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let Some(process) = self.nodes[index].process.as_mut() else {
            return;
        };
        let outputs = process.handle(now, input);
        self.process_outputs(index, outputs);
        self.check_acting_machines();
        self.check_record(index);
    }

    fn process_outputs(&mut self, index: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.transmit(index, &to, &message),
                Output::Persist { ticket, change } => self.persist(index, ticket, change),
                Output::Committed { sequence } => self.on_committed(index, sequence),
                Output::Elected { epoch } => self.on_elected(index, epoch),
                Output::Deposed => {
                    self.record_event(format!("deposed {index}"));
                    self.nodes[index].appends.clear();
                }
            }
        }
    }

    fn transmit(&mut self, index: usize, to: &Arc<str>, message: &Message) {
        let Some(target) = self
            .nodes
            .iter()
            .position(|node| node.address.internal == *to)
        else {
            return;
        };
        if self
            .drops_message
            .as_mut()
            .is_some_and(|drops_message| drops_message(index, target, message))
        {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.duplication_rate));
        for _ in 0..copies {
            if self.blocked_links.contains(&(index, target))
                || self.random.random_bool(self.loss_rate)
            {
                continue;
            }
            let is_late = self.random.random_bool(self.late_rate);
            let max_ms = if is_late {
                MAX_LATE_DELAY_MS
            } else {
                self.delay_ms
            };
            let delay = self.random.random_range(1..=max_ms);
            let from = self.nodes[index].address.internal.clone();
            self.schedule(
                delay,
                Event::Deliver {
                    node: target,
                    from,
                    message: message.clone(),
                },
            );
        }
    }

    fn persist(&mut self, index: usize, ticket: u64, change: DiskChange) {
        let node = &mut self.nodes[index];
        assert!(
            node.in_flight.is_none(),
            "a disk change is already in flight"
        );
        node.in_flight = Some((ticket, change));
        let (incarnation, sync_ms) = (node.incarnation, node.sync_ms);
        self.schedule(
            sync_ms,
            Event::DiskDone {
                node: index,
                incarnation,
                ticket,
            },
        );
    }

    fn on_committed(&mut self, index: usize, sequence: u64) {
        while let Some((append, key)) = self.nodes[index].appends.front().copied() {
            if append > sequence {
                break;
            }
            self.nodes[index].appends.pop_front();
            self.check_copy_count(key);
            let term = self.record(index).map_or(0, |record| record.term);
            self.checks.committed.insert(key, term);
        }
    }

    fn on_elected(&mut self, index: usize, epoch: u64) {
        self.record_event(format!("elected {index} in epoch {epoch}"));
        self.nodes[index].elected += 1;
        self.check_state(index);
    }
}

fn new_node(index: usize) -> Node {
    let address = CoreAddress {
        internal: format!("10.0.0.{index}:7000").into(),
        control: format!("10.0.0.{index}:8000").into(),
    };
    Node {
        address,
        process: None,
        incarnation: 0,
        durable: DiskImage::default(),
        in_flight: None,
        sync_ms: 9,
        disk_fails: false,
        frozen_until_ms: 0,
        appends: VecDeque::new(),
        elected: 0,
        last_acting_term: 0,
        checked_epoch: 0,
        is_leaving: false,
        is_removed: false,
    }
}

/// Applies a change to the disk.
fn apply_change(disk: &mut DiskImage, change: DiskChange) {
    if change.replace_all {
        disk.state.clear();
    }
    for write in change.writes {
        match write.value {
            Some(value) => disk.state.insert(write.key, value),
            None => disk.state.remove(&write.key),
        };
    }
    disk.position = change.position.unwrap_or(disk.position);
    disk.witness = change.witness.or(disk.witness.take());
}
