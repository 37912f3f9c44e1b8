//! Changes of members and replicas: a primary that takes a new replica and dies meanwhile, and an absent seed at the first start.

mod cluster;

use cluster::{Cluster, CATCH_UP_MS};
use rstest::rstest;
use std::cell::Cell;
use std::rc::Rc;
use streamusher_coordination::{DiskId, EpochRecord, Message};
use streamusher_protocol::Millis;

/// Five machines with three replicas; when the third goes, another machine is brought up to date in its place.
struct Scenario {
    cluster: Cluster,
    primary: usize,
    old: usize,
    third: usize,
    ids: Vec<DiskId>,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let cluster = Cluster::calm(5, 1, seed);
        let replicas = cluster.replicas();
        let ids = (0..5).map(|index| cluster.id(index)).collect();
        Scenario {
            cluster,
            primary: replicas[0],
            old: replicas[1],
            third: replicas[2],
            ids,
        }
    }

    /// The primary loses its disk and the old replica is down for a while: only the new one could be elected.
    fn leave_the_new_one_alone(&mut self, after: Millis) {
        self.cluster.wipe(self.primary);
        self.cluster.loses = None;
        // A majority needs the third machine, which is no replica any more.
        self.cluster.start(self.third);
        self.cluster.run(after);
        self.cluster.crash(self.old);
        // `Elected` checks the state of whoever is elected.
        self.cluster.run(4_000);
        self.cluster.start_all();
        let acts = self
            .cluster
            .run_until(3_000, |cluster| cluster.actor().is_some());
        assert!(acts.is_some(), "nobody acts: {}", self.cluster.describe());
        let actor = self.cluster.actor().unwrap_or(0);
        self.cluster.check_state(actor);
    }
}

/// Who is a replica in the proposed record and not in the one before.
fn new_replica(ids: &[DiskId], base: &EpochRecord, value: &EpochRecord) -> Option<usize> {
    let new = value.replicas.iter().find(|id| !base.is_replica(**id))?;
    ids.iter().position(|id| id == new)
}

#[rstest]
fn proposed_replica_counts_for_commits_until_decided(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut scenario = Scenario::new(seed);
    let (primary, ids) = (scenario.primary, scenario.ids.clone());
    let proposed = Rc::new(Cell::new(None));
    let seen = proposed.clone();
    // From the proposal on the primary does not hear that it is accepted, and the new replica gets no batch.
    scenario.cluster.loses = Some(Box::new(move |from, to, message| {
        if let Message::Accept { base, value, .. } = message {
            let new = new_replica(&ids, base, value).filter(|_| from == primary);
            seen.set(seen.get().or(new));
        }
        let Some(new) = seen.get() else { return false };
        match message {
            Message::Accepted { .. } => to == primary,
            Message::Append { .. } | Message::SnapshotPart(_) => to == new,
            _ => false,
        }
    }));
    scenario.cluster.crash(scenario.third);
    let done = scenario
        .cluster
        .run_until(3_000, |_| proposed.get().is_some());
    assert!(
        done.is_some(),
        "no new replica: {}",
        scenario.cluster.describe()
    );
    scenario.cluster.run(200);
    // The old replica has time to bring the open proposal to its end.
    scenario.leave_the_new_one_alone(1_300);
}

#[rstest]
fn learner_without_a_committed_batch_is_not_named_replica(#[values(1, 2)] seed: u64) {
    // The learner is stopped at each batch around the one with which it would be level.
    for after in 0..40 {
        stop_learners(seed, after);
    }
}

fn stop_learners(seed: u64, after: u64) {
    let mut scenario = Scenario::new(seed);
    let (primary, old, third) = (scenario.primary, scenario.old, scenario.third);
    // The learners get their copy or their first batches, and nothing that is made later.
    let process = scenario.cluster.nodes[primary].process.as_ref();
    let last = process.map_or(0, |process| process.status(0).applied.sequence) + after;
    scenario.cluster.loses = Some(Box::new(move |_, to, message| match message {
        Message::Append { batch, .. } => {
            ![primary, old, third].contains(&to) && batch.position.sequence > last
        }
        _ => false,
    }));
    scenario.cluster.crash(third);
    // Long enough to name it, too short to drop it again.
    scenario.cluster.run(750);
    scenario.leave_the_new_one_alone(0);
}

/// Too few copies are left without it, so that it stays among the replicas until another machine is level.
#[rstest]
fn bootstrap_succeeds_without_one_seed(
    #[values((3, 1), (5, 1), (5, 2), (9, 2))] shape: (usize, usize),
    #[values(0, 1, 2)] down: usize,
) {
    let mut cluster = Cluster::new(shape.0, shape.1, 5);
    for index in (0..shape.0).filter(|index| *index != down) {
        cluster.start(index);
    }
    let acts = cluster.run_until(CATCH_UP_MS, |cluster| cluster.actor().is_some());
    assert!(acts.is_some(), "nobody acts: {}", cluster.describe());
}
