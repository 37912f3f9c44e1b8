//! Changes of two operators, model checked: every interleaving of requests, repetitions, arrivals, commits, lost answers and
//! failovers within the bounds below. The primary is [`ConfigurationStore`] itself; its writes are replicated, and its answers
//! leave when these are committed, as the control plane's driver does.
//!
//! The model leaves out that a primary is partitioned while another one acts: the lease excludes it (`coordination`).

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

/// Two operators choose the same version for different changes, one builds on a version to come, one change is invalid.
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

/// Index of the change that is invalid on the version on which it builds.
const INVALID: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Reply {
    Acknowledged,
    Rejected,
    Undecided,
}

/// What a primary appended at once, and the change that it applied by that.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Batch {
    applied: Option<usize>,
    writes: Vec<(Arc<str>, Option<Arc<str>>)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Keys and values on all replicas.
    committed: Vec<(Arc<str>, Arc<str>)>,
    /// Changes applied by committed batches, in their order.
    in_force: Vec<usize>,
    /// Batches that the primary has appended and that are not committed.
    appended: Vec<Batch>,
    /// Replies that wait until this number of the batches above is committed; each may leave at any time after, or never.
    pending_replies: BTreeSet<(usize, usize, Reply)>,
    sent: Vec<u8>,
    in_flight: Vec<u8>,
    repetitions: u8,
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
    /// An operator sends a change, or sends it again as it has no final answer.
    Send(usize),
    /// A copy of a change reaches the primary.
    Arrive(usize),
    /// The oldest batch that is not committed is.
    Commit,
    /// A reply whose batches are committed reaches its operator.
    Answer(usize, Reply),
    /// Another primary takes over, with this number of the batches that were not committed.
    FailOver(usize),
}

/// Bounds: the changes that are sent, how often any of them is repeated, and how often the primary fails over.
struct Operators {
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
        .map(|(waits, number, reply)| (waits.saturating_sub(1), number, reply))
        .collect();
}

fn arrive(state: &mut State, number: usize) {
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
            .filter(|(waits, _, _)| *waits == 0);
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
                arrive(&mut state, number);
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
            Property::always("what was acknowledged is in force", |_, state: &State| {
                (0..CHANGES.len()).all(|number| {
                    !state.has(number, Reply::Acknowledged) || state.in_force.contains(&number)
                })
            }),
            Property::always("what was rejected is not in force", |_, state: &State| {
                state
                    .in_force
                    .iter()
                    .all(|number| !state.has(*number, Reply::Rejected))
            }),
            Property::always(
                "no order is both acknowledged and rejected",
                |_, state: &State| {
                    (0..CHANGES.len()).all(|number| {
                        !(state.has(number, Reply::Acknowledged)
                            && state.has(number, Reply::Rejected))
                    })
                },
            ),
            Property::always("each version is built upon once", |_, state: &State| {
                let bases: BTreeSet<u64> = state
                    .in_force
                    .iter()
                    .map(|number| CHANGES[*number].base_version)
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
    #[case] changes: &'static [usize],
    #[case] max_repetitions: u8,
    #[case] max_failovers: u8,
) {
    let model = Operators {
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
