//! The decision on the next record, model checked: the real coordinators of three members, two of which stand for election at
//! once, under every order of deliveries, losses, syncs, one crash and steps of time within the bounds below.
//!
//! The model leaves out: leases (nobody acts in the record before, epoch 0), messages but those that decide a record, messages that
//! come twice, changes of members, and what the random delays of candidates would change. `search.rs` and `second_loss.rs` have these.

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
/// A step of time: below the gap that counts as a stall.
const STEP_MS: Millis = 80;
/// By then both candidates have begun.
const BEGUN_MS: Millis = 400;
const TICK_MS: Millis = 20;

/// A member and its disk.
#[derive(Clone, Debug)]
struct Node {
    process: Arc<Coordinator>,
    durable: DiskImage,
    in_flight: Option<(u64, DiskChange)>,
}

/// A message with its sender and its receiver.
type Sent = (usize, usize, Message);

#[derive(Clone, Debug)]
struct State {
    now: Millis,
    nodes: Vec<Node>,
    network: Vec<Sent>,
    /// Decided records that any member has known, by epoch.
    known: BTreeMap<u64, Arc<EpochRecord>>,
    crashes: u8,
    steps: u8,
    /// Whose disk is watched: its syncs are steps of their own, those of the others are done at once.
    crashing: usize,
    /// Of all that tells states apart.
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
    Deliver(Sent),
    /// The change of the disk that is under way is synced.
    Sync(usize),
    /// A process ends and starts again; the change under way was made or not.
    Crash {
        node: usize,
        made: bool,
    },
    Time,
}

/// Bounds: the member that may crash, how often, and how many steps of time.
struct Members {
    crashing: usize,
    most_crashes: u8,
    most_steps: u8,
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

fn decides(message: &Message) -> bool {
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

fn carry_out(disk: &mut DiskImage, change: DiskChange) {
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
                Output::Send { to, message } if decides(&message) => {
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
        if index != self.crashing {
            self.sync(index);
        }
        let record = self.nodes[index].process.status(now).record;
        self.known.entry(record.epoch).or_insert(record);
    }

    fn sync(&mut self, index: usize) {
        let Some((ticket, change)) = self.nodes[index].in_flight.take() else {
            return;
        };
        carry_out(&mut self.nodes[index].durable, change);
        self.handle_input(index, Input::Persisted { ticket });
    }

    fn crash(&mut self, index: usize, made: bool) {
        self.crashes += 1;
        let change = self.nodes[index].in_flight.take().filter(|_| made);
        if let Some((_, change)) = change {
            carry_out(&mut self.nodes[index].durable, change);
        }
        self.start(index);
        // What a process says first does not matter here, but that its start is counted does.
        self.handle_input(index, Input::Tick);
    }

    fn time(&mut self, span: Millis) {
        self.now += span;
        for index in 0..MEMBERS {
            self.handle_input(index, Input::Tick);
        }
    }

    fn named(mut self) -> State {
        let mut sent: Vec<String> = self
            .network
            .iter()
            .map(|sent| format!("{sent:?}"))
            .collect();
        sent.sort();
        let State {
            now,
            nodes,
            known,
            crashes,
            steps,
            ..
        } = &self;
        let text = format!("{now} {nodes:?} {sent:?} {known:?} {crashes} {steps}");
        let half = |salt: u8| {
            let mut hasher = DefaultHasher::new();
            (salt, &text).hash(&mut hasher);
            hasher.finish()
        };
        self.digest = (half(1), half(2));
        self
    }
}

impl Model for Members {
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
            known: BTreeMap::new(),
            crashes: 0,
            steps: 0,
            crashing: self.crashing,
            digest: (0, 0),
        };
        for index in 0..MEMBERS {
            state.handle_input(index, Input::Tick);
            state.sync(index);
        }
        // The third member votes and does not stand.
        state.handle_input(MEMBERS - 1, Input::Leave);
        while state.now < 1_000 + BEGUN_MS {
            state.time(TICK_MS);
        }
        vec![state.named()]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        steps.extend(state.network.iter().cloned().map(Step::Deliver));
        let node = self.crashing;
        let is_under_way = state
            .nodes
            .get(node)
            .is_some_and(|machine| machine.in_flight.is_some());
        if is_under_way {
            steps.push(Step::Sync(node));
        }
        if state.crashes < self.most_crashes {
            steps.push(Step::Crash { node, made: false });
            if is_under_way {
                steps.push(Step::Crash { node, made: true });
            }
        }
        if state.steps < self.most_steps {
            steps.push(Step::Time);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Deliver(sent) => {
                let place = state.network.iter().position(|other| *other == sent)?;
                let (from, to, message) = state.network.swap_remove(place);
                state.handle_input(
                    to,
                    Input::Received {
                        from: address(from).internal,
                        message,
                    },
                );
            }
            Step::Sync(node) => state.sync(node),
            Step::Crash { node, made } => state.crash(node, made),
            Step::Time => {
                state.steps += 1;
                state.time(STEP_MS);
            }
        }
        Some(state.named())
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "members know the same record of an epoch",
                |_, state: &State| {
                    state.nodes.iter().all(|node| {
                        let record = node.process.status(state.now).record;
                        state.known.get(&record.epoch) == Some(&record)
                    })
                },
            ),
            Property::sometimes("a record is decided", |_, state: &State| {
                state.known.len() > 1
            }),
        ]
    }

    /// Once a record is decided and all know it, the next decision is of the same kind.
    fn within_boundary(&self, state: &State) -> bool {
        let epochs = state.nodes.iter().map(|node| node.process.epoch());
        epochs.min().unwrap_or(0) == 0
    }
}

/// States that are looked at at most where the space is larger; `RECORDS_STATES` names another number.
fn most_states() -> usize {
    const STATES: usize = 150_000;
    std::env::var("RECORDS_STATES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(STATES)
}

/// No member crashes.
const NOBODY: usize = MEMBERS;

#[rstest]
#[case::nobody_crashes(NOBODY, 0, 0)]
#[case::a_candidate_crashes(0, 2, 0)]
#[case::the_other_candidate_crashes(1, 2, 0)]
#[case::a_voter_crashes(2, 2, 0)]
#[case::time_passes(NOBODY, 0, 1)]
fn two_candidates_decide_one_record(
    #[case] crashing: usize,
    #[case] most_crashes: u8,
    #[case] most_steps: u8,
) {
    let model = Members {
        crashing,
        most_crashes,
        most_steps,
    };
    let checker = model
        .checker()
        .threads(2)
        .target_state_count(most_states())
        .spawn_dfs()
        .join();
    let is_whole = checker.state_count() < most_states();
    let (states, depth) = (checker.unique_state_count(), checker.max_depth());
    println!("{crashing} crashes {most_crashes} times, {most_steps} steps: {states} states, depth {depth}, whole: {is_whole}");
    assert!(
        is_whole || most_steps > 0,
        "without steps of time the space is explored whole"
    );
    checker.assert_properties();
}
