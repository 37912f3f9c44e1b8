//! A model of the lease protocol: one worker, its agent and the primary, in all orders of their messages and
//! faults. A worker must never be allowed to run a task for longer than the primary counts its lease, because
//! the primary then starts the task elsewhere.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod system;

use system::{Step, System};

/// Number of steps after the task has started.
const DEPTH: u32 = 5;

#[test]
fn no_order_of_messages_and_faults_lets_a_worker_outlast_its_counted_lease() {
    let sequences = Step::ALL.len().pow(DEPTH);
    let mut granted = 0_u64;
    for number in 0..sequences {
        let mut system = System::with_running_task();
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
    }
    assert!(
        granted > 10_000,
        "the model is not vacuous: {granted} holds were granted"
    );
}
