//! One word of rights that two threads share.

use std::sync::Arc;
use streamusher_fleet::allowance::{HeldUnits, QuotaAllowance};
use streamusher_fleet::Micros;

fn held(own: u64, borrowed: u64) -> HeldUnits {
    HeldUnits { own, borrowed }
}

#[test]
fn borrowed_units_end_on_the_spenders_own_clock() {
    let allowance = QuotaAllowance::default();
    allowance.set_valid_until(Micros::MAX);
    allowance.grow(held(1, 2), 1_000);
    assert!(allowance.try_acquire(10) && allowance.try_acquire(999));
    assert_eq!(allowance.available(999), 1);
    assert!(
        !allowance.try_acquire(1_000),
        "the lease has ended: one own unit, and two are in use"
    );
    allowance.release();
    allowance.release();
    assert!(allowance.try_acquire(5_000), "the own unit has no end");
    assert!(!allowance.try_acquire(5_000));
    assert_eq!(allowance.take_denied(), 2);
}

#[test]
fn what_is_in_use_is_not_taken() {
    let allowance = QuotaAllowance::default();
    allowance.set_valid_until(Micros::MAX);
    allowance.grow(held(3, 2), 1_000);
    (0..4).for_each(|_| assert!(allowance.try_acquire(0)));
    assert_eq!(
        allowance.reclaim_own(3),
        0,
        "four are in use, and what is borrowed will end"
    );
    assert_eq!(allowance.reclaim_borrowed(2), 1);
    allowance.release();
    allowance.release();
    assert_eq!(allowance.reclaim_own(3), 1);
    assert_eq!(allowance.held(), held(2, 1));
}

/// A spender and a taker at once: what was spent and what was taken never come to more than there was.
#[test]
fn spending_and_taking_race() {
    for _ in 0..50 {
        let allowance = Arc::new(QuotaAllowance::default());
        allowance.set_valid_until(Micros::MAX);
        allowance.grow(held(1_000, 0), 0);
        let spender = allowance.clone();
        let spent = std::thread::spawn(move || {
            (0..2_000).filter(|_| spender.try_acquire(0)).count() as u64
        });
        let taken: u64 = (0..300).map(|_| allowance.reclaim_own(3)).sum();
        assert_eq!(
            spent.join().unwrap() + taken,
            1_000 - allowance.available(0)
        );
        assert_eq!(allowance.in_use() + taken, 1_000 - allowance.available(0));
    }
}
