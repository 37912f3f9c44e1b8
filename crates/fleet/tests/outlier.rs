//! Outlier detection: the number of observers required for an ejection, the expiry of observations, and the
//! ejected fraction of a zone.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

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

fn worker(number: usize) -> WorkerIncarnation {
    WorkerIncarnation {
        name: Arc::from(format!("w{number}")),
        started_ms: 7,
    }
}

fn workers(count: usize) -> Vec<ZonedWorker> {
    (0..count)
        .map(|i| ZonedWorker {
            worker: worker(i),
            zone: Arc::from(if i < count / 2 { "a" } else { "b" }),
        })
        .collect()
}

fn member(number: usize, incarnation: u64) -> OutlierDetector {
    OutlierDetector::new(Incarnation::new(&format!("m{number}"), incarnation))
}

/// `observers` members observe worker 0 as failing; returns the detector of member 9 and its ejections.
fn observed_failing(observers: usize) -> (OutlierDetector, Vec<Ejection>) {
    let mut detector = member(9, 1);
    for number in 0..observers {
        let mut observer = member(number, 1);
        observer.on_fault(0, worker(0), WorkerFault::Failing, 50, 10 * SECOND);
        detector.on_observations(0, &observer.observations_to_share(0, 9));
    }
    let ejections = detector.ejections(SECOND, POLICY, &workers(8));
    (detector, ejections)
}

#[test]
fn too_few_observers_eject_nothing_and_no_observer_counts_twice() {
    assert_eq!(observed_failing(2).1, []);
    let (mut detector, ejections) = observed_failing(3);
    assert_eq!(
        (ejections.len(), ejections[0].observers, ejections[0].weight),
        (1, 3, 150)
    );
    // Two of the observers again, one in a new incarnation: there are still three observers.
    for (number, incarnation) in [(0, 1), (1, 2)] {
        let mut observer = member(number, incarnation);
        observer.on_fault(0, worker(0), WorkerFault::Failing, 50, 10 * SECOND);
        detector.on_observations(SECOND, &observer.observations_to_share(0, 9));
    }
    assert_eq!(
        detector.ejections(SECOND, POLICY, &workers(8))[0].observers,
        3
    );
}

#[test]
fn ejections_expire_and_own_evidence_takes_precedence() {
    let (mut detector, _) = observed_failing(4);
    assert_eq!(detector.ejections(9 * SECOND, POLICY, &workers(8)).len(), 1);
    detector.on_success(9 * SECOND, worker(0), SECOND / 2);
    assert_eq!(
        detector.ejections(9 * SECOND, POLICY, &workers(8)),
        [],
        "the worker has just served this member"
    );
    assert_eq!(
        detector
            .ejections(9 * SECOND + SECOND / 2, POLICY, &workers(8))
            .len(),
        1
    );
    assert_eq!(
        detector.ejections(10 * SECOND, POLICY, &workers(8)),
        [],
        "the observations have expired"
    );
    detector.tick(10 * SECOND);
    assert!(detector.is_empty());
    // A restarted worker is a new incarnation without observations.
    let restarted = vec![ZonedWorker {
        worker: WorkerIncarnation {
            name: Arc::from("w0"),
            started_ms: 8,
        },
        zone: Arc::from("a"),
    }];
    assert_eq!(
        observed_failing(4).0.ejections(SECOND, POLICY, &restarted),
        []
    );
}

#[test]
fn a_repeated_observation_holds_no_longer_and_a_retracted_one_ends() {
    let (mut one, mut other) = (member(1, 1), member(2, 1));
    one.on_fault(0, worker(0), WorkerFault::Slow, 10, 2 * SECOND);
    let reports = one.observations_to_share(0, 9);
    other.on_observations(0, &reports);
    other.on_observations(SECOND, &reports);
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
fn ejections_are_limited_to_a_fraction_of_each_zone() {
    let mut detector = member(9, 1);
    for number in 0..6 {
        let mut observer = member(number, 1);
        for (index, weight) in (0..8).zip(10..) {
            let fault = WorkerFault::Failing;
            observer.on_fault(0, worker(index), fault, weight, 10 * SECOND);
        }
        detector.on_observations(0, &observer.observations_to_share(0, 99));
    }
    let ejections = detector.ejections(SECOND, POLICY, &workers(8));
    let names: Vec<&str> = ejections.iter().map(|ejection| &*ejection.worker).collect();
    assert_eq!(
        names,
        ["w7", "w3"],
        "the worst one of four workers in each zone"
    );
}

proptest! {
    /// The order and repetition of observations do not change the ejections or the number of observations
    /// held.
    #[test]
    #[expect(clippy::cast_possible_truncation, reason = "any index is suitable")]
    fn observations_merge_the_same_in_any_order(
        reports in proptest::collection::vec((0usize..5, 0usize..4, 1u8..100, 1u32..9_000), 1..40), seed in any::<u64>(),
    ) {
        let mut observations: Vec<Observation> = reports.iter().enumerate().map(|(sequence, &(observer, index, weight, remaining_ms))| Observation {
            worker: worker(index),
            observer: Incarnation::new(&format!("m{observer}"), 1),
            sequence: sequence as u64,
            fault: (weight % 5 > 0).then_some(WorkerFault::Full),
            weight,
            remaining_ms,
        }).collect();
        let (mut one, mut other) = (member(9, 1), member(9, 1));
        one.on_observations(0, &observations);
        let count = observations.len();
        (0..count).for_each(|i| observations.swap(i, (seed as usize).wrapping_mul(i + 7) % count));
        other.on_observations(0, &observations);
        other.on_observations(0, &observations);
        let policy = EjectionPolicy { min_observers: 2, max_ejected_fraction: 1.0 };
        prop_assert_eq!(one.ejections(1, policy, &workers(4)), other.ejections(1, policy, &workers(4)));
        prop_assert_eq!(one.len(), other.len());
    }
}
