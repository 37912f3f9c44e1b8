//! The allowance of one quota, which two threads share.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use std::sync::Arc;
use streamusher_fleet::allowance::{HeldUnits, QuotaAllowance};
use streamusher_fleet::Micros;

fn held(own: u64, borrowed: u64) -> HeldUnits {
    HeldUnits { own, borrowed }
}

#[test]
fn borrowed_units_expire_on_the_borrowers_clock() {
    let allowance = QuotaAllowance::default();
    allowance.set_valid_until(Micros::MAX);
    allowance.grow(held(1, 2), 1_000);
    assert!(allowance.try_acquire(10) && allowance.try_acquire(999));
    assert_eq!(allowance.available(999), 1);
    assert!(
        !allowance.try_acquire(1_000),
        "the lease has expired: two units are in use, and only one is own"
    );
    allowance.release();
    allowance.release();
    assert!(allowance.try_acquire(5_000), "the own unit does not expire");
    assert!(!allowance.try_acquire(5_000));
    assert_eq!(allowance.take_denied(), 2);
}

#[test]
fn units_in_use_are_not_reclaimed() {
    let allowance = QuotaAllowance::default();
    allowance.set_valid_until(Micros::MAX);
    allowance.grow(held(3, 2), 1_000);
    for _ in 0..4 {
        assert!(allowance.try_acquire(0));
    }
    assert_eq!(
        allowance.reclaim_own(3),
        0,
        "four units are in use, and the borrowed ones will expire"
    );
    assert_eq!(allowance.reclaim_borrowed(2), 1);
    allowance.release();
    allowance.release();
    assert_eq!(allowance.reclaim_own(3), 1);
    assert_eq!(allowance.held(), held(2, 1));
}

/// Units acquired by one thread and reclaimed by another never add up to more than the units held.
#[test]
fn acquiring_and_reclaiming_at_once_never_exceed_the_units() {
    for _ in 0..50 {
        let allowance = Arc::new(QuotaAllowance::default());
        allowance.set_valid_until(Micros::MAX);
        allowance.grow(held(1_000, 0), 0);
        let acquiring = allowance.clone();
        let acquired = std::thread::spawn(move || {
            (0..2_000).filter(|_| acquiring.try_acquire(0)).count() as u64
        });
        let reclaimed: u64 = (0..300).map(|_| allowance.reclaim_own(3)).sum();
        assert_eq!(
            acquired.join().unwrap() + reclaimed,
            1_000 - allowance.available(0)
        );
        assert_eq!(
            allowance.in_use() + reclaimed,
            1_000 - allowance.available(0)
        );
    }
}
