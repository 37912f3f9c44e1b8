//! Model check of two operators' changes: every interleaving of requests, repetitions, arrivals, commits,
//! lost answers and failovers within the bounds below. The primary is [`ConfigurationStore`] itself; its
//! writes are replicated, and its answers are sent when these are committed, as in the driver of the control
//! plane.
//!
//! The model leaves out that a primary is partitioned while another one is active: the lease excludes this
//! case (see the `coordination` package).

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use rstest::rstest;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_configuration::{ChangeOutcome, ConfigurationStore};
use streamusher_protocol::store::Write;
use support::Records;

/// An operator's change.
struct Change {
    is_update: bool,
    base_version: u64,
    body: &'static str,
}

/// Two operators choose the same version for different changes, two changes are based on a future version,
/// and one change is invalid.
const CHANGES: [Change; 5] = [
    Change {
        is_update: true,
        base_version: 1,
        body: r#"{"version":3,"remove":{"routes":["r-one"]}}"#,
    },
    Change {
        is_update: true,
        base_version: 1,
        body: r#"{"version":3}"#,
    },
    Change {
        is_update: false,
        base_version: 3,
        body: r#"{"version":5,"routes":[],"services":[]}"#,
    },
    Change {
        is_update: true,
        base_version: 3,
        body: r#"{"version":5}"#,
    },
    Change {
        is_update: true,
        base_version: 1,
        body: r#"{"version":1}"#,
    },
];

/// Index of the change that is invalid on its base version.
const INVALID_CHANGE: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Reply {
    Acknowledged,
    Rejected,
    Undecided,
}

/// Batch that a primary appended, and the change that the batch applies.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Batch {
    applied: Option<usize>,
    writes: Vec<(Arc<str>, Option<Arc<str>>)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Keys and values that are committed on all replicas.
    committed: Vec<(Arc<str>, Arc<str>)>,
    /// Changes applied by committed batches, in commit order.
    in_force: Vec<usize>,
    /// Batches that the primary has appended and that are not committed yet.
    appended: Vec<Batch>,
    /// Replies, each with the number of the above batches that must be committed before it is sent, and its
    /// change. A reply that is ready may be delivered at any later time, or never.
    pending_replies: BTreeSet<(usize, usize, Reply)>,
    sent: Vec<u8>,
    in_flight: Vec<u8>,
    repetitions: u8,
    /// Answers that the operators have received.
    answers: BTreeSet<(usize, Reply)>,
    failovers: u8,
}

impl State {
    fn has_answer(&self, number: usize, reply: Reply) -> bool {
        self.answers.contains(&(number, reply))
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// An operator sends a change, or repeats one for which it has no final answer.
    Send(usize),
    /// The primary receives a copy of a change.
    Arrive(usize),
    /// The oldest uncommitted batch is committed.
    Commit,
    /// An operator receives a reply whose batches are committed.
    Answer(usize, Reply),
    /// Another primary takes over. This number of the uncommitted batches survives.
    FailOver(usize),
}

/// Bounds of the model: the changes that are sent, the total number of repetitions, and the number of
/// failovers.
struct OperatorsModel {
    changes: &'static [usize],
    max_repetitions: u8,
    max_failovers: u8,
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
    state.in_force.extend(batch.applied);
    let pending_replies = std::mem::take(&mut state.pending_replies);
    state.pending_replies = pending_replies
        .into_iter()
        .map(|(uncommitted_batches, number, reply)| {
            (uncommitted_batches.saturating_sub(1), number, reply)
        })
        .collect();
}

fn handle_arrival(state: &mut State, number: usize) {
    let mut store: ConfigurationStore = records(state).recover();
    let change = &CHANGES[number];
    let outcome = if change.is_update {
        store.update(change.base_version, change.body)
    } else {
        store.replace(change.base_version, change.body)
    };
    let (reply, applied, writes) = match outcome {
        ChangeOutcome::Applied { writes, .. } => (Reply::Acknowledged, Some(number), writes),
        ChangeOutcome::AlreadyApplied { .. } => (Reply::Acknowledged, None, Vec::new()),
        ChangeOutcome::VersionConflict { writes, .. } => (Reply::Rejected, None, writes),
        ChangeOutcome::Invalid(_) => (Reply::Rejected, None, Vec::new()),
        ChangeOutcome::HistoryTruncated { .. } | ChangeOutcome::RejectionLimitReached { .. } => {
            (Reply::Undecided, None, Vec::new())
        }
    };
    if !writes.is_empty() {
        let writes = writes
            .into_iter()
            .map(|write| (write.key, write.value))
            .collect();
        state.appended.push(Batch { applied, writes });
    }
    if reply != Reply::Undecided {
        state
            .pending_replies
            .insert((state.appended.len(), number, reply));
    }
}

impl Model for OperatorsModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut records = Records::default();
        let first = r#"{"version":1,"routes":[],"services":[]}"#;
        support::commit_applied(ConfigurationStore::new().replace(0, first), &mut records);
        vec![State {
            committed: records.0.into_iter().collect(),
            in_force: Vec::new(),
            appended: Vec::new(),
            pending_replies: BTreeSet::new(),
            repetitions: 0,
            sent: vec![0; CHANGES.len()],
            in_flight: vec![0; CHANGES.len()],
            answers: BTreeSet::new(),
            failovers: 0,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        for number in self.changes.iter().copied() {
            let is_answered = [Reply::Acknowledged, Reply::Rejected]
                .iter()
                .any(|reply| state.answers.contains(&(number, *reply)));
            let may_repeat = state.repetitions < self.max_repetitions && !is_answered;
            if state.sent[number] == 0 || may_repeat {
                steps.push(Step::Send(number));
            }
            if state.in_flight[number] > 0 {
                steps.push(Step::Arrive(number));
            }
        }
        if !state.appended.is_empty() {
            steps.push(Step::Commit);
        }
        let ready = state
            .pending_replies
            .iter()
            .filter(|(uncommitted_batches, _, _)| *uncommitted_batches == 0);
        steps.extend(ready.map(|(_, number, reply)| Step::Answer(*number, *reply)));
        if state.failovers < self.max_failovers {
            steps.extend((0..=state.appended.len()).map(Step::FailOver));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Send(number) => {
                state.repetitions += u8::from(state.sent[number] > 0);
                state.sent[number] = 1;
                state.in_flight[number] += 1;
            }
            Step::Arrive(number) => {
                state.in_flight[number] -= 1;
                handle_arrival(&mut state, number);
            }
            Step::Commit => commit(&mut state),
            Step::Answer(number, reply) => {
                state.pending_replies.remove(&(0, number, reply));
                state.answers.insert((number, reply));
            }
            Step::FailOver(kept) => {
                state.failovers += 1;
                state.pending_replies.clear();
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
            Property::always("each acknowledged change is applied", |_, state: &State| {
                (0..CHANGES.len()).all(|number| {
                    !state.has_answer(number, Reply::Acknowledged)
                        || state.in_force.contains(&number)
                })
            }),
            Property::always("no rejected change is applied", |_, state: &State| {
                state
                    .in_force
                    .iter()
                    .all(|number| !state.has_answer(*number, Reply::Rejected))
            }),
            Property::always(
                "no change is both acknowledged and rejected",
                |_, state: &State| {
                    (0..CHANGES.len()).all(|number| {
                        !(state.has_answer(number, Reply::Acknowledged)
                            && state.has_answer(number, Reply::Rejected))
                    })
                },
            ),
            Property::always(
                "each version is the base of at most one change",
                |_, state: &State| {
                    let bases: BTreeSet<u64> = state
                        .in_force
                        .iter()
                        .map(|number| CHANGES[*number].base_version)
                        .collect();
                    bases.len() == state.in_force.len()
                },
            ),
            Property::always("no invalid change is applied", |_, state: &State| {
                !state.in_force.contains(&INVALID_CHANGE)
            }),
            Property::sometimes(
                "two consecutive changes are acknowledged",
                |_, state: &State| {
                    state.has_answer(0, Reply::Acknowledged)
                        && state.has_answer(2, Reply::Acknowledged)
                },
            ),
        ]
    }
}

/// Each case gives the changes and bounds of one exhaustive search.
#[rstest]
#[case::same_version_twice_and_a_successor(&[0, 1, 2], 3, 2)]
#[case::two_changes_on_a_future_version(&[0, 2, 3], 3, 2)]
#[case::with_an_invalid_change(&[0, 2, INVALID_CHANGE], 3, 2)]
fn each_change_has_one_final_answer_in_every_interleaving(
    #[case] changes: &'static [usize],
    #[case] max_repetitions: u8,
    #[case] max_failovers: u8,
) {
    let model = OperatorsModel {
        changes,
        max_repetitions,
        max_failovers,
    };
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!(
        "{changes:?}: {} states, depth {}",
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}
