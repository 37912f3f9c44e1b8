//! Changes of members and replicas: a primary that fails while it adds a replica, and an absent seed at the
//! first start.

mod cluster;

use cluster::{Cluster, CATCH_UP_MS};
use rstest::rstest;
use std::cell::Cell;
use std::rc::Rc;
use streamusher_coordination::{DiskId, EpochRecord, Message};
use streamusher_protocol::Millis;

/// Five machines with three replicas. When the third replica fails, another machine is brought up to date in
/// its place.
struct Scenario {
    cluster: Cluster,
    primary: usize,
    old_replica: usize,
    third_replica: usize,
    ids: Vec<DiskId>,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let cluster = Cluster::stable(5, 1, seed);
        let replicas = cluster.replicas();
        let ids = (0..5).map(|index| cluster.id(index)).collect();
        Scenario {
            cluster,
            primary: replicas[0],
            old_replica: replicas[1],
            third_replica: replicas[2],
            ids,
        }
    }

    /// The primary loses its disk and the old replica is down for a while, so that only the new replica could
    /// be elected.
    fn isolate_new_replica(&mut self, after: Millis) {
        self.cluster.wipe(self.primary);
        self.cluster.drops_message = None;
        // A majority needs the third machine, which is no longer a replica.
        self.cluster.start(self.third_replica);
        self.cluster.run(after);
        self.cluster.crash(self.old_replica);
        // The handler of `Elected` checks the state of each elected machine.
        self.cluster.run(4_000);
        self.cluster.start_all();
        let acts = self
            .cluster
            .run_until(3_000, |cluster| cluster.acting_primary().is_some());
        assert!(
            acts.is_some(),
            "no primary acts: {}",
            self.cluster.describe()
        );
        let acting_primary = self.cluster.acting_primary().unwrap_or(0);
        self.cluster.check_state(acting_primary);
    }
}

/// The machine that is a replica in the proposed record but not in the preceding one.
fn new_replica(ids: &[DiskId], base: &EpochRecord, value: &EpochRecord) -> Option<usize> {
    let new = value.replicas.iter().find(|id| !base.is_replica(**id))?;
    ids.iter().position(|id| id == new)
}

#[rstest]
fn proposed_replica_counts_for_commits_until_decided(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut scenario = Scenario::new(seed);
    let (primary, ids) = (scenario.primary, scenario.ids.clone());
    let proposed = Rc::new(Cell::new(None));
    let recorded = proposed.clone();
    // From the proposal on, the primary receives no `Accepted`, and the new replica receives no data.
    scenario.cluster.drops_message = Some(Box::new(move |from, to, message| {
        if let Message::Accept { base, value, .. } = message {
            let new = new_replica(&ids, base, value).filter(|_| from == primary);
            recorded.set(recorded.get().or(new));
        }
        let Some(new) = recorded.get() else {
            return false;
        };
        match message {
            Message::Accepted { .. } => to == primary,
            Message::Append { .. } | Message::SnapshotPart(_) => to == new,
            _ => false,
        }
    }));
    scenario.cluster.crash(scenario.third_replica);
    let done = scenario
        .cluster
        .run_until(3_000, |_| proposed.get().is_some());
    assert!(
        done.is_some(),
        "no new replica: {}",
        scenario.cluster.describe()
    );
    scenario.cluster.run(200);
    // The old replica has time to complete the open proposal.
    scenario.isolate_new_replica(1_300);
}

#[rstest]
fn learner_without_a_committed_batch_is_not_named_replica(#[values(1, 2)] seed: u64) {
    // The learner's data stops at each batch around the one with which it would be up to date.
    for after in 0..40 {
        stop_learners(seed, after);
    }
}

fn stop_learners(seed: u64, after: u64) {
    let mut scenario = Scenario::new(seed);
    let (primary, old_replica, third_replica) = (
        scenario.primary,
        scenario.old_replica,
        scenario.third_replica,
    );
    // The learners receive a snapshot or the first batches, but no batches that are created later.
    let process = scenario.cluster.nodes[primary].process.as_ref();
    let last = process.map_or(0, |process| process.status(0).applied.sequence) + after;
    scenario.cluster.drops_message = Some(Box::new(move |_, to, message| match message {
        Message::Append { batch, .. } => {
            ![primary, old_replica, third_replica].contains(&to) && batch.position.sequence > last
        }
        _ => false,
    }));
    scenario.cluster.crash(third_replica);
    // Long enough to name the learner as a replica, too short to drop it again.
    scenario.cluster.run(750);
    scenario.isolate_new_replica(0);
}

/// With too few other copies, the absent seed stays a replica until another machine is up to date.
#[rstest]
fn bootstrap_succeeds_without_one_seed(
    #[values((3, 1), (5, 1), (5, 2), (9, 2))] shape: (usize, usize),
    #[values(0, 1, 2)] down: usize,
) {
    let mut cluster = Cluster::new(shape.0, shape.1, 5);
    for index in (0..shape.0).filter(|index| *index != down) {
        cluster.start(index);
    }
    let acts = cluster.run_until(CATCH_UP_MS, |cluster| cluster.acting_primary().is_some());
    assert!(acts.is_some(), "no primary acts: {}", cluster.describe());
}
