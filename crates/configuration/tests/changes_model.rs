//! Orders of two operators, model checked: every order of sendings, repeats, arrivals, commits, lost answers and changes of
//! the primary within the bounds below. The primary is [`ConfigurationStore`] itself; what it writes is replicated and its
//! answers leave when that is committed, as the control plane's driver does.
//!
//! The model leaves out that a primary is cut off and another one acts: the lease excludes it (`coordination`).

mod support;

use rstest::rstest;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_configuration::{ChangeOutcome, ConfigurationStore};
use streamusher_protocol::store::Write;
use support::Records;

/// An operator's order.
struct Order {
    is_update: bool,
    base: u64,
    body: &'static str,
}

/// Two operators choose the same number for different changes, one builds on a version that is not there yet, one errs.
const ORDERS: [Order; 5] = [
    Order {
        is_update: true,
        base: 1,
        body: r#"{"version":3,"remove":{"routes":["r-one"]}}"#,
    },
    Order {
        is_update: true,
        base: 1,
        body: r#"{"version":3}"#,
    },
    Order {
        is_update: false,
        base: 3,
        body: r#"{"version":5,"routes":[],"services":[]}"#,
    },
    Order {
        is_update: true,
        base: 3,
        body: r#"{"version":5}"#,
    },
    Order {
        is_update: true,
        base: 1,
        body: r#"{"version":1}"#,
    },
];

/// The order that is invalid on the version on which it builds.
const INVALID: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Reply {
    Acknowledged,
    Refused,
    Unclear,
}

/// What a primary appended at once, and the order that it took by that.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Batch {
    taken: Option<usize>,
    writes: Vec<(Arc<str>, Option<Arc<str>>)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Keys and values on all replicas.
    committed: Vec<(Arc<str>, Arc<str>)>,
    /// Orders taken by what is committed, in their order.
    in_force: Vec<usize>,
    /// What the primary has appended beyond.
    appended: Vec<Batch>,
    /// Replies that wait until so many of the batches above are committed; each may leave at any time after, or never.
    held: BTreeSet<(usize, usize, Reply)>,
    sent: Vec<u8>,
    under_way: Vec<u8>,
    repeats: u8,
    /// Answers that have reached the operators.
    answers: BTreeSet<(usize, Reply)>,
    failovers: u8,
}

impl State {
    fn has(&self, number: usize, reply: Reply) -> bool {
        self.answers.contains(&(number, reply))
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// An operator sends an order, or sends it again as it has no clear answer.
    Send(usize),
    /// A copy of an order reaches the primary.
    Arrive(usize),
    /// The oldest batch that is not committed is.
    Commit,
    /// A reply that waits no longer reaches its operator.
    Answer(usize, Reply),
    /// Another primary takes over, with so many of the batches that were not committed.
    FailOver(usize),
}

/// Bounds: the orders that are sent, how many repeats of them all, and how many changes of the primary.
struct Operators {
    orders: &'static [usize],
    most_repeats: u8,
    most_failovers: u8,
}

fn records(state: &State) -> Records {
    let mut records = Records(state.committed.iter().cloned().collect());
    for batch in &state.appended {
        records.commit(
            batch
                .writes
                .iter()
                .cloned()
                .map(|(key, value)| Write { key, value })
                .collect(),
        );
    }
    records
}

fn commit(state: &mut State) {
    let batch = state.appended.remove(0);
    let mut records = Records(state.committed.iter().cloned().collect());
    records.commit(
        batch
            .writes
            .into_iter()
            .map(|(key, value)| Write { key, value })
            .collect(),
    );
    state.committed = records.0.into_iter().collect();
    state.in_force.extend(batch.taken);
    let held = std::mem::take(&mut state.held);
    state.held = held
        .into_iter()
        .map(|(waits, number, reply)| (waits.saturating_sub(1), number, reply))
        .collect();
}

fn arrive(state: &mut State, number: usize) {
    let mut store: ConfigurationStore = records(state).recover();
    let order = &ORDERS[number];
    let outcome = match order.is_update {
        true => store.update(order.base, order.body),
        false => store.replace(order.base, order.body),
    };
    let (reply, taken, writes) = match outcome {
        ChangeOutcome::Applied { writes, .. } => (Reply::Acknowledged, Some(number), writes),
        ChangeOutcome::AlreadyApplied { .. } => (Reply::Acknowledged, None, Vec::new()),
        ChangeOutcome::VersionConflict { writes, .. } => (Reply::Refused, None, writes),
        ChangeOutcome::Invalid(_) => (Reply::Refused, None, Vec::new()),
        ChangeOutcome::Undecided { .. } => (Reply::Unclear, None, Vec::new()),
    };
    if !writes.is_empty() {
        let writes = writes
            .into_iter()
            .map(|write| (write.key, write.value))
            .collect();
        state.appended.push(Batch { taken, writes });
    }
    if reply != Reply::Unclear {
        state.held.insert((state.appended.len(), number, reply));
    }
}

impl Model for Operators {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut records = Records::default();
        let first = r#"{"version":1,"routes":[],"services":[]}"#;
        support::applied(ConfigurationStore::new().replace(0, first), &mut records);
        vec![State {
            committed: records.0.into_iter().collect(),
            in_force: Vec::new(),
            appended: Vec::new(),
            held: BTreeSet::new(),
            repeats: 0,
            sent: vec![0; ORDERS.len()],
            under_way: vec![0; ORDERS.len()],
            answers: BTreeSet::new(),
            failovers: 0,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        for number in self.orders.iter().copied() {
            let is_answered = [Reply::Acknowledged, Reply::Refused]
                .iter()
                .any(|reply| state.answers.contains(&(number, *reply)));
            let may_repeat = state.repeats < self.most_repeats && !is_answered;
            if state.sent[number] == 0 || may_repeat {
                steps.push(Step::Send(number));
            }
            if state.under_way[number] > 0 {
                steps.push(Step::Arrive(number));
            }
        }
        if !state.appended.is_empty() {
            steps.push(Step::Commit);
        }
        let ready = state.held.iter().filter(|(waits, _, _)| *waits == 0);
        steps.extend(ready.map(|(_, number, reply)| Step::Answer(*number, *reply)));
        if state.failovers < self.most_failovers {
            steps.extend((0..=state.appended.len()).map(Step::FailOver));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Send(number) => {
                state.repeats += u8::from(state.sent[number] > 0);
                state.sent[number] = 1;
                state.under_way[number] += 1;
            }
            Step::Arrive(number) => {
                state.under_way[number] -= 1;
                arrive(&mut state, number);
            }
            Step::Commit => commit(&mut state),
            Step::Answer(number, reply) => {
                state.held.remove(&(0, number, reply));
                state.answers.insert((number, reply));
            }
            Step::FailOver(kept) => {
                state.failovers += 1;
                state.held.clear();
                state.appended.truncate(kept);
                while !state.appended.is_empty() {
                    commit(&mut state);
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("what was acknowledged is in force", |_, state: &State| {
                (0..ORDERS.len()).all(|number| {
                    !state.has(number, Reply::Acknowledged) || state.in_force.contains(&number)
                })
            }),
            Property::always("what was refused is not in force", |_, state: &State| {
                state
                    .in_force
                    .iter()
                    .all(|number| !state.has(*number, Reply::Refused))
            }),
            Property::always(
                "no order is both acknowledged and refused",
                |_, state: &State| {
                    (0..ORDERS.len()).all(|number| {
                        !(state.has(number, Reply::Acknowledged)
                            && state.has(number, Reply::Refused))
                    })
                },
            ),
            Property::always("each version is built upon once", |_, state: &State| {
                let bases: BTreeSet<u64> = state
                    .in_force
                    .iter()
                    .map(|number| ORDERS[*number].base)
                    .collect();
                bases.len() == state.in_force.len()
            }),
            Property::always("what is invalid is never in force", |_, state: &State| {
                !state.in_force.contains(&INVALID)
            }),
            Property::sometimes(
                "two changes on each other are acknowledged",
                |_, state: &State| {
                    state.has(0, Reply::Acknowledged) && state.has(2, Reply::Acknowledged)
                },
            ),
        ]
    }
}

/// Bounds, and what has to be met within them.
#[rstest]
#[case::one_number_twice_and_a_successor(&[0, 1, 2], 3, 2)]
#[case::two_on_a_version_to_come(&[0, 2, 3], 3, 2)]
#[case::an_invalid_one_between(&[0, 2, INVALID], 3, 2)]
fn each_change_has_one_final_answer_in_every_interleaving(
    #[case] orders: &'static [usize],
    #[case] most_repeats: u8,
    #[case] most_failovers: u8,
) {
    let model = Operators {
        orders,
        most_repeats,
        most_failovers,
    };
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!(
        "{orders:?}: {} states, depth {}",
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}
