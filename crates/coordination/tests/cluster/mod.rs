//! Core machines in one process and in virtual time, with faults from a seed and checks after every step.
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
/// A machine that has just come (back) is caught up by then.
pub(crate) const CATCH_UP_MS: Millis = 4_000;

/// A late message comes by then.
const MOST_LATE_MS: Millis = 3_000;

/// Chooses messages that are lost.
pub(crate) type Losses = Box<dyn FnMut(usize, usize, &Message) -> bool>;

/// What happens at a point in time.
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

/// A machine with its disk.
pub(crate) struct Node {
    pub address: CoreAddress,
    pub process: Option<Coordinator>,
    pub incarnation: u64,
    pub durable: DiskImage,
    /// The change under way, which a loss of power may or may not undo.
    in_flight: Option<(u64, DiskChange)>,
    pub sync_ms: Millis,
    pub disk_fails: bool,
    /// Nothing runs before.
    pub frozen_until: Millis,
    /// What its append's sequences stand for.
    appends: VecDeque<(u64, u64)>,
    pub elected: u64,
    /// The term in which it last acted.
    acted_in: u64,
    /// The newest epoch whose record was compared.
    checked_epoch: u64,
    pub is_leaving: bool,
    /// The machine is gone for good.
    pub is_removed: bool,
}

/// The machines, the links between them, and the time.
pub(crate) struct Cluster {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub random: Pcg64Mcg,
    pub tolerance: usize,
    pub seeds: Vec<CoreAddress>,
    pub bootstrap: bool,
    events: BTreeMap<(Millis, u64), Event>,
    next_event: u64,
    /// Directed links that carry nothing.
    pub cuts: BTreeSet<(usize, usize)>,
    pub loss: f64,
    pub doubled: f64,
    pub delay_ms: Millis,
    /// Says of each message (sender, receiver) whether it is lost.
    pub loses: Option<Losses>,
    /// Share of messages that come up to three seconds late.
    pub late: f64,
    pub append_every_ms: Millis,
    pub value_bytes: usize,
    next_key: u64,
    pub checks: Checks,
    /// What was seen, for the message of a failed check.
    pub story: Vec<String>,
}

impl Cluster {
    /// A cluster at its very first start: the first three machines are the seeds.
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
            cuts: BTreeSet::new(),
            loss: 0.0,
            doubled: 0.0,
            delay_ms: 3,
            loses: None,
            late: 0.0,
            append_every_ms: 25,
            value_bytes: 10,
            next_key: 0,
            checks: Checks::default(),
            story: Vec::new(),
        }
    }

    /// As `new`, started and with a primary that may act and all machines as members.
    pub(crate) fn calm(size: usize, tolerance: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster::new(size, tolerance, seed);
        cluster.start_all();
        cluster.run_until_calm(4_000);
        // The others learn the newest record.
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

    /// Adds a machine that was never there; it is not started.
    pub(crate) fn add_machine(&mut self) -> usize {
        let index = self.nodes.len();
        self.nodes.push(new_node(index));
        index
    }

    pub(crate) fn record_event(&mut self, text: impl Into<String>) {
        self.story
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
        node.acted_in = 0;
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

    /// The process ends at once. A change of the disk under way is made or not.
    pub(crate) fn crash(&mut self, index: usize) {
        self.record_event(format!("crash {index}"));
        let made = self.random.random_bool(0.5);
        let node = &mut self.nodes[index];
        node.process = None;
        node.frozen_until = 0;
        if let Some((_, change)) = node.in_flight.take().filter(|_| made) {
            carry_out(&mut node.durable, change);
        }
    }

    /// The machine loses its disk, and its process with it.
    pub(crate) fn wipe(&mut self, index: usize) {
        self.crash(index);
        self.record_event(format!("wipe {index}"));
        let lost = std::mem::take(&mut self.nodes[index].durable);
        self.checks.lost_disks.push(lost.state);
    }

    /// A machine that is down never comes back.
    pub(crate) fn remove(&mut self, index: usize) {
        self.record_event(format!("remove {index}"));
        self.nodes[index].is_removed = true;
    }

    pub(crate) fn freeze(&mut self, index: usize, span: Millis) {
        self.record_event(format!("freeze {index} for {span}"));
        self.nodes[index].frozen_until = self.now + span;
    }

    pub(crate) fn leave(&mut self, index: usize) {
        self.record_event(format!("leave {index}"));
        self.nodes[index].is_leaving = true;
        self.handle_input(index, Input::Leave);
    }

    /// Cuts both ways between the two sides.
    pub(crate) fn cut(&mut self, side: &[usize]) {
        self.record_event(format!("cut {side:?} off"));
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if side.contains(&a) != side.contains(&b) {
                    self.cuts.insert((a, b));
                }
            }
        }
    }

    pub(crate) fn restore_links(&mut self) {
        self.record_event("heal");
        self.cuts.clear();
        self.loss = 0.0;
        self.doubled = 0.0;
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

    pub(crate) fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.take(event);
        }
        self.now = end;
        self.check_actors();
    }

    /// Runs until so many messages have come or changes of a disk have been made, at most for `most`.
    pub(crate) fn run_steps(&mut self, steps: usize, most: Millis) {
        let end = self.now + most;
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
            self.take(event);
        }
        self.check_actors();
    }

    /// All is mended: after a while one acts, with all members and replicas, and nothing was lost.
    pub(crate) fn settle(&mut self) {
        self.repair_all();
        self.run(CATCH_UP_MS);
        self.run_until_calm(2_000);
        let before = self.checks.committed.len();
        self.run(500);
        assert!(
            self.checks.committed.len() > before + 10,
            "no progress: {}",
            self.describe()
        );
        self.append_every_ms = 1_000_000;
        self.run(1_000);
        self.check_replicas_agree();
        let actor = self.actor();
        assert!(actor.is_some(), "nobody acts: {}", self.describe());
        self.check_state(actor.unwrap_or(0));
    }

    /// Runs until `done` holds, at most for `most`; returns how long that took.
    pub(crate) fn run_until(
        &mut self,
        most: Millis,
        mut done: impl FnMut(&Cluster) -> bool,
    ) -> Option<Millis> {
        let start = self.now;
        while self.now < start + most {
            if done(self) {
                return Some(self.now - start);
            }
            self.run(5);
        }
        done(self).then_some(most)
    }

    pub(crate) fn run_until_calm(&mut self, most: Millis) {
        let done = self.run_until(most, Cluster::is_calm);
        assert!(
            done.is_some(),
            "not calm after {most} ms: {}",
            self.describe()
        );
    }

    /// A primary acts, every running machine is a member, and there are as many replicas as are wanted.
    pub(crate) fn is_calm(&self) -> bool {
        let Some(primary) = self.actor() else {
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
        let all_in = running
            .iter()
            .all(|process| record.is_member(process.status(self.now).id));
        all_in && record.replicas.len() >= wanted
    }

    /// The machine that may act.
    pub(crate) fn actor(&self) -> Option<usize> {
        let may_act = |node: &Node| {
            node.process
                .as_ref()
                .is_some_and(|process| process.may_act(self.now))
        };
        self.nodes
            .iter()
            .position(|node| may_act(node) && node.frozen_until <= self.now)
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

    /// Machines that are replicas in the actor's record, the actor first.
    pub(crate) fn replicas(&self) -> Vec<usize> {
        let Some(actor) = self.actor() else {
            return Vec::new();
        };
        let Some(record) = self.record(actor) else {
            return Vec::new();
        };
        let others = (0..self.nodes.len()).filter(|index| *index != actor);
        let others = others.filter(|index| record.is_replica(self.id(*index)));
        std::iter::once(actor).chain(others).collect()
    }

    fn take(&mut self, event: Event) {
        let node = match &event {
            Event::Tick { node, .. }
            | Event::Deliver { node, .. }
            | Event::DiskDone { node, .. }
            | Event::Append { node, .. } => *node,
        };
        if self.nodes[node].frozen_until > self.now {
            let wait = self.nodes[node].frozen_until - self.now;
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
                self.disk_done(node, ticket);
            }
            Event::Append { node, incarnation } if self.nodes[node].incarnation == incarnation => {
                self.schedule(self.append_every_ms, Event::Append { node, incarnation });
                self.append(node);
            }
            _ => {}
        }
    }

    fn disk_done(&mut self, index: usize, ticket: u64) {
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
        carry_out(&mut node.durable, change);
        self.handle_input(index, Input::Persisted { ticket });
    }

    /// The primary's own work: it writes a new key and, in the same append, raises a counter.
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
        self.carry_out(index, outputs);
    }

    pub(crate) fn handle_input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let Some(process) = self.nodes[index].process.as_mut() else {
            return;
        };
        let outputs = process.handle(now, input);
        self.carry_out(index, outputs);
        self.check_actors();
        self.check_record(index);
    }

    fn carry_out(&mut self, index: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.transmit(index, &to, &message),
                Output::Persist { ticket, change } => self.persist(index, ticket, change),
                Output::Committed { sequence } => self.committed(index, sequence),
                Output::Elected { epoch } => self.elected(index, epoch),
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
            .loses
            .as_mut()
            .is_some_and(|loses| loses(index, target, message))
        {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.doubled));
        for _ in 0..copies {
            if self.cuts.contains(&(index, target)) || self.random.random_bool(self.loss) {
                continue;
            }
            let is_late = self.random.random_bool(self.late);
            let most = if is_late { MOST_LATE_MS } else { self.delay_ms };
            let delay = self.random.random_range(1..=most);
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
        assert!(node.in_flight.is_none(), "two changes of the disk at once");
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

    fn committed(&mut self, index: usize, sequence: u64) {
        while let Some((append, key)) = self.nodes[index].appends.front().copied() {
            if append > sequence {
                break;
            }
            self.nodes[index].appends.pop_front();
            self.check_copies(key);
            let term = self.record(index).map_or(0, |record| record.term);
            self.checks.committed.insert(key, term);
        }
    }

    fn elected(&mut self, index: usize, epoch: u64) {
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
        frozen_until: 0,
        appends: VecDeque::new(),
        elected: 0,
        acted_in: 0,
        checked_epoch: 0,
        is_leaving: false,
        is_removed: false,
    }
}

/// Makes a change of the disk.
fn carry_out(disk: &mut DiskImage, change: DiskChange) {
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
