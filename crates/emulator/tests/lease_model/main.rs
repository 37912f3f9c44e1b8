//! A model of the lease protocol: one worker, its agent and the primary, in all orders of their messages and
//! faults. A worker must never be allowed to run a task for longer than the primary counts its lease, because
//! the primary then starts the task elsewhere.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod system;

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use system::{Step, System};

/// Number of steps after the task has started. A late report of a replaced worker at a new primary needs six.
const DEPTH: u32 = 6;
/// Number of sequences run in parallel.
const THREADS: usize = 3;
/// A smaller number of granted holds would show that the model does nothing.
const MIN_GRANTED: u64 = 100_000;

#[test]
fn no_order_of_messages_and_faults_lets_a_worker_outlast_its_counted_lease() {
    let next = AtomicUsize::new(0);
    let granted = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= Step::ALL.len().pow(DEPTH) {
                    break;
                }
                granted.fetch_add(check_sequence(number), Ordering::Relaxed);
            });
        }
    });
    let granted = granted.into_inner();
    assert!(granted >= MIN_GRANTED, "{granted} holds were granted");
}

/// Takes the steps of the sequence with this number and fails at a violation. Returns the number of granted
/// holds.
fn check_sequence(number: usize) -> u64 {
    let mut system = System::with_running_task();
    let mut granted = 0;
    let mut taken = Vec::new();
    let mut remaining = number;
    for _ in 0..DEPTH {
        let step = Step::ALL[remaining % Step::ALL.len()];
        remaining /= Step::ALL.len();
        taken.push(step);
        granted += u64::from(system.take(step));
        if let Some(violation) = system.violation() {
            panic!("{violation} after {taken:?}");
        }
    }
    granted
}
