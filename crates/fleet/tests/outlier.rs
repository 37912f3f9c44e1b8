//! Judgements on workers: who is believed, for how long, and how much of a zone.

use proptest::prelude::*;
use std::sync::Arc;
use streamusher_fleet::outlier::{
    Ejection, EjectionPolicy, Observation, OutlierDetector, WorkerFault, WorkerIncarnation,
    ZonedWorker,
};
use streamusher_fleet::{Incarnation, Micros};

const POLICY: EjectionPolicy = EjectionPolicy {
    min_observers: 3,
    max_ejected_fraction: 0.34,
};
const SECOND: Micros = 1_000_000;

fn worker(n: usize) -> WorkerIncarnation {
    WorkerIncarnation {
        name: Arc::from(format!("w{n}")),
        started_ms: 7,
    }
}

fn workers(n: usize) -> Vec<ZonedWorker> {
    (0..n)
        .map(|i| ZonedWorker {
            worker: worker(i),
            zone: Arc::from(if i < n / 2 { "a" } else { "b" }),
        })
        .collect()
}

fn member(n: usize, incarnation: u64) -> OutlierDetector {
    OutlierDetector::new(Incarnation::new(&format!("m{n}"), incarnation))
}

/// Members 0 to `authors` find worker 0 failing; what member 9 then makes of it.
fn judged(observers: usize) -> (OutlierDetector, Vec<Ejection>) {
    let mut all = member(9, 1);
    for n in 0..observers {
        let mut m = member(n, 1);
        m.on_fault(0, worker(0), WorkerFault::Failing, 50, 10 * SECOND);
        all.on_observations(0, &m.observations_to_share(0, 9));
    }
    let ejections = all.ejections(SECOND, POLICY, &workers(8));
    (all, ejections)
}

#[test]
fn few_authors_are_not_believed_and_none_counts_twice() {
    assert_eq!(judged(2).1, []);
    let (mut all, ejections) = judged(3);
    assert_eq!(
        (ejections.len(), ejections[0].observers, ejections[0].weight),
        (1, 3, 150)
    );
    // Two of them again, one by a new life: still three authors.
    for (n, incarnation) in [(0, 1), (1, 2)] {
        let mut m = member(n, incarnation);
        m.on_fault(0, worker(0), WorkerFault::Failing, 50, 10 * SECOND);
        all.on_observations(SECOND, &m.observations_to_share(0, 9));
    }
    assert_eq!(all.ejections(SECOND, POLICY, &workers(8))[0].observers, 3);
}

#[test]
fn it_ends_by_itself_and_own_evidence_goes_first() {
    let (mut all, _) = judged(4);
    assert_eq!(all.ejections(9 * SECOND, POLICY, &workers(8)).len(), 1);
    all.on_success(9 * SECOND, worker(0), SECOND / 2);
    assert_eq!(
        all.ejections(9 * SECOND, POLICY, &workers(8)),
        [],
        "it has just served here"
    );
    assert_eq!(
        all.ejections(9 * SECOND + SECOND / 2, POLICY, &workers(8))
            .len(),
        1
    );
    assert_eq!(
        all.ejections(10 * SECOND, POLICY, &workers(8)),
        [],
        "the words have ended"
    );
    all.tick(10 * SECOND);
    assert!(all.is_empty());
    // A worker that begins again is another life, of which nothing was said.
    let begun = vec![ZonedWorker {
        worker: WorkerIncarnation {
            name: Arc::from("w0"),
            started_ms: 8,
        },
        zone: Arc::from("a"),
    }];
    assert_eq!(judged(4).0.ejections(SECOND, POLICY, &begun), []);
}

#[test]
fn a_word_that_is_repeated_does_not_last_longer_and_one_taken_back_ends() {
    let (mut one, mut other) = (member(1, 1), member(2, 1));
    one.on_fault(0, worker(0), WorkerFault::Slow, 10, 2 * SECOND);
    let said = one.observations_to_share(0, 9);
    other.on_observations(0, &said);
    other.on_observations(SECOND, &said);
    let policy = EjectionPolicy {
        min_observers: 1,
        max_ejected_fraction: 1.0,
    };
    assert_eq!(other.ejections(2 * SECOND, policy, &workers(4)), []);
    one.on_success(SECOND, worker(0), 0);
    other.on_observations(SECOND, &one.observations_to_share(SECOND, 9));
    assert_eq!(other.ejections(SECOND, policy, &workers(4)), []);
}

#[test]
fn all_together_shun_no_more_than_a_part_of_a_zone() {
    let mut all = member(9, 1);
    for n in 0..6 {
        let mut m = member(n, 1);
        (0..8).for_each(|index| {
            m.on_fault(
                0,
                worker(index),
                WorkerFault::Failing,
                10 + index as u8,
                10 * SECOND,
            )
        });
        all.on_observations(0, &m.observations_to_share(0, 99));
    }
    let ejections = all.ejections(SECOND, POLICY, &workers(8));
    let names: Vec<&str> = ejections.iter().map(|v| &*v.worker).collect();
    assert_eq!(names, ["w7", "w3"], "one of four in each zone, the worst");
}

proptest! {
    /// In whatever order words come, and how often: the end is the same, and bounded.
    #[test]
    fn merging_is_the_same_in_any_order(
        said in proptest::collection::vec((0usize..5, 0usize..4, 1u8..100, 1u32..9_000), 1..40), seed in any::<u64>(),
    ) {
        let mut observations: Vec<Observation> = said.iter().enumerate().map(|(sequence, &(observer, index, weight, remaining_ms))| Observation {
            worker: worker(index),
            observer: Incarnation::new(&format!("m{observer}"), 1),
            sequence: sequence as u64,
            fault: (weight % 5 > 0).then_some(WorkerFault::Full),
            weight,
            remaining_ms,
        }).collect();
        let (mut one, mut other) = (member(9, 1), member(9, 1));
        one.on_observations(0, &observations);
        let n = observations.len();
        (0..n).for_each(|i| observations.swap(i, (seed as usize).wrapping_mul(i + 7) % n));
        other.on_observations(0, &observations);
        other.on_observations(0, &observations);
        let policy = EjectionPolicy { min_observers: 2, max_ejected_fraction: 1.0 };
        prop_assert_eq!(one.ejections(1, policy, &workers(4)), other.ejections(1, policy, &workers(4)));
        prop_assert_eq!(one.len(), other.len());
    }
}
