//! Model check of the decision on the next record: the real coordinators of three members, two of which start
//! elections at the same time, under every order of deliveries, losses, syncs, crashes of one member and
//! clock steps within the bounds below.
//!
//! The model excludes leases (no primary acts under the preceding record, epoch 0), messages other than those
//! that decide a record, duplicated messages, changes of members, and effects of the candidates' random
//! delays. `search.rs` and `second_loss.rs` cover these.

use rstest::rstest;
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use streamusher_coordination::{
    Coordinator, CoordinatorSettings, DiskChange, DiskImage, EpochRecord, Input, Message, Output,
};
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::Millis;

const MEMBERS: usize = 3;
const LEASE_MS: Millis = 800;
/// Duration of a clock step: below the gap that counts as a stall.
const CLOCK_STEP_MS: Millis = 80;
/// Time by which both candidates have started their elections.
const CANDIDACY_MS: Millis = 400;
const TICK_MS: Millis = 20;

/// A member and its disk.
#[derive(Clone, Debug)]
struct Node {
    process: Arc<Coordinator>,
    durable: DiskImage,
    in_flight: Option<(u64, DiskChange)>,
}

/// A message with its sender and its receiver, in this order.
type SentMessage = (usize, usize, Message);

#[derive(Clone, Debug)]
struct State {
    now: Millis,
    nodes: Vec<Node>,
    network: Vec<SentMessage>,
    /// The first decided record that any member has known, by epoch.
    known_records: BTreeMap<u64, Arc<EpochRecord>>,
    crashes: u8,
    clock_steps: u8,
    /// Member whose disk syncs are separate steps; the syncs of the other members complete at once.
    crashing_member: usize,
    /// Two hashes of everything that distinguishes states.
    digest: (u64, u64),
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.digest == other.digest
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Deliver(SentMessage),
    /// The disk change in flight is synced.
    Sync(usize),
    /// A process crashes and restarts; the disk change in flight was applied or not.
    Crash {
        node: usize,
        was_applied: bool,
    },
    AdvanceClock,
}

/// Model with its bounds: the member that may crash, the number of crashes, and the number of clock steps.
struct ElectionModel {
    crashing_member: usize,
    max_crashes: u8,
    max_clock_steps: u8,
}

fn address(index: usize) -> CoreAddress {
    CoreAddress {
        internal: format!("10.0.0.{index}:7000").into(),
        control: format!("10.0.0.{index}:8000").into(),
    }
}

fn settings(index: usize) -> CoordinatorSettings {
    CoordinatorSettings {
        address: address(index),
        bootstrap: true,
        seeds: (0..MEMBERS).map(address).collect(),
        tolerance: 1,
        lease_ms: LEASE_MS,
        random_seed: index as u64 + 1,
    }
}

fn is_decision_message(message: &Message) -> bool {
    matches!(
        message,
        Message::Prepare { .. }
            | Message::Promised { .. }
            | Message::Accept { .. }
            | Message::Accepted { .. }
            | Message::Rejected { .. }
            | Message::Decided { .. }
    )
}

fn apply_change(disk: &mut DiskImage, change: DiskChange) {
    disk.witness = change.witness.or(disk.witness.take());
    disk.position = change.position.unwrap_or(disk.position);
}

impl State {
    fn start(&mut self, index: usize) {
        let image = self.nodes[index].durable.clone();
        self.nodes[index].process = Arc::new(Coordinator::new(settings(index), image, self.now));
        self.nodes[index].in_flight = None;
    }

    fn handle_input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let outputs = Arc::make_mut(&mut self.nodes[index].process).handle(now, input);
        for output in outputs {
            match output {
                Output::Send { to, message } if is_decision_message(&message) => {
                    let receiver = (0..MEMBERS).find(|other| address(*other).internal == to);
                    let sent = receiver.map(|receiver| (index, receiver, message));
                    self.network
                        .extend(sent.filter(|sent| !self.network.contains(sent)));
                }
                Output::Persist { ticket, change } => {
                    self.nodes[index].in_flight = Some((ticket, change));
                }
                _ => {}
            }
        }
        if index != self.crashing_member {
            self.sync(index);
        }
        let record = self.nodes[index].process.status(now).record;
        self.known_records.entry(record.epoch).or_insert(record);
    }

    fn sync(&mut self, index: usize) {
        let Some((ticket, change)) = self.nodes[index].in_flight.take() else {
            return;
        };
        apply_change(&mut self.nodes[index].durable, change);
        self.handle_input(index, Input::Persisted { ticket });
    }

    fn crash(&mut self, index: usize, was_applied: bool) {
        self.crashes += 1;
        let change = self.nodes[index].in_flight.take().filter(|_| was_applied);
        if let Some((_, change)) = change {
            apply_change(&mut self.nodes[index].durable, change);
        }
        self.start(index);
        // The messages of a process before its start is recorded do not matter here, but the start must be
        // counted.
        self.handle_input(index, Input::Tick);
    }

    fn advance_clock(&mut self, duration_ms: Millis) {
        self.now += duration_ms;
        for index in 0..MEMBERS {
            self.handle_input(index, Input::Tick);
        }
    }

    fn with_digest(mut self) -> State {
        let mut sent: Vec<String> = self
            .network
            .iter()
            .map(|sent| format!("{sent:?}"))
            .collect();
        sent.sort();
        let State {
            now,
            nodes,
            known_records,
            crashes,
            clock_steps,
            ..
        } = &self;
        let text = format!("{now} {nodes:?} {sent:?} {known_records:?} {crashes} {clock_steps}");
        let half = |salt: u8| {
            let mut hasher = DefaultHasher::new();
            (salt, &text).hash(&mut hasher);
            hasher.finish()
        };
        self.digest = (half(1), half(2));
        self
    }
}

impl Model for ElectionModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let node = |index| Node {
            process: Arc::new(Coordinator::new(
                settings(index),
                DiskImage::default(),
                1_000,
            )),
            durable: DiskImage::default(),
            in_flight: None,
        };
        let mut state = State {
            now: 1_000,
            nodes: (0..MEMBERS).map(node).collect(),
            network: Vec::new(),
            known_records: BTreeMap::new(),
            crashes: 0,
            clock_steps: 0,
            crashing_member: self.crashing_member,
            digest: (0, 0),
        };
        for index in 0..MEMBERS {
            state.handle_input(index, Input::Tick);
            state.sync(index);
        }
        // The third member votes and does not become a candidate.
        state.handle_input(MEMBERS - 1, Input::Leave);
        while state.now < 1_000 + CANDIDACY_MS {
            state.advance_clock(TICK_MS);
        }
        vec![state.with_digest()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        actions.extend(state.network.iter().cloned().map(Step::Deliver));
        let node = self.crashing_member;
        let is_sync_in_flight = state
            .nodes
            .get(node)
            .is_some_and(|machine| machine.in_flight.is_some());
        if is_sync_in_flight {
            actions.push(Step::Sync(node));
        }
        if state.crashes < self.max_crashes {
            actions.push(Step::Crash {
                node,
                was_applied: false,
            });
            if is_sync_in_flight {
                actions.push(Step::Crash {
                    node,
                    was_applied: true,
                });
            }
        }
        if state.clock_steps < self.max_clock_steps {
            actions.push(Step::AdvanceClock);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Deliver(sent) => {
                let position = state.network.iter().position(|other| *other == sent)?;
                let (from, to, message) = state.network.swap_remove(position);
                state.handle_input(
                    to,
                    Input::Received {
                        from: address(from).internal,
                        message,
                    },
                );
            }
            Step::Sync(node) => state.sync(node),
            Step::Crash { node, was_applied } => state.crash(node, was_applied),
            Step::AdvanceClock => {
                state.clock_steps += 1;
                state.advance_clock(CLOCK_STEP_MS);
            }
        }
        Some(state.with_digest())
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "members know the same record of an epoch",
                |_, state: &State| {
                    state.nodes.iter().all(|node| {
                        let record = node.process.status(state.now).record;
                        state.known_records.get(&record.epoch) == Some(&record)
                    })
                },
            ),
            Property::sometimes("a record is decided", |_, state: &State| {
                state.known_records.len() > 1
            }),
        ]
    }

    /// Stops when all members know a decided record, as the next decision is equivalent.
    fn within_boundary(&self, state: &State) -> bool {
        let epochs = state.nodes.iter().map(|node| node.process.epoch());
        epochs.min().unwrap_or(0) == 0
    }
}

/// Maximum number of states to explore if the state space is larger; `RECORDS_STATES` overrides it.
fn max_states() -> usize {
    const MAX_STATES: usize = 150_000;
    std::env::var("RECORDS_STATES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(MAX_STATES)
}

/// Index that belongs to no member: no member crashes.
const NO_MEMBER: usize = MEMBERS;

#[rstest]
#[case::nobody_crashes(NO_MEMBER, 0, 0)]
#[case::a_candidate_crashes(0, 2, 0)]
#[case::the_other_candidate_crashes(1, 2, 0)]
#[case::a_voter_crashes(2, 2, 0)]
#[case::time_passes(NO_MEMBER, 0, 1)]
fn two_candidates_decide_one_record(
    #[case] crashing_member: usize,
    #[case] max_crashes: u8,
    #[case] max_clock_steps: u8,
) {
    let model = ElectionModel {
        crashing_member,
        max_crashes,
        max_clock_steps,
    };
    let checker = model
        .checker()
        .threads(2)
        .target_state_count(max_states())
        .spawn_dfs()
        .join();
    let is_complete = checker.state_count() < max_states();
    let (states, depth) = (checker.unique_state_count(), checker.max_depth());
    println!("member {crashing_member} crashes {max_crashes} times, {max_clock_steps} clock steps: {states} states, depth {depth}, complete: {is_complete}");
    assert!(
        is_complete || max_clock_steps > 0,
        "without clock steps the state space must be explored completely"
    );
    checker.assert_properties();
}
