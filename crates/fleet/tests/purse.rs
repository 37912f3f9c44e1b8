//! One word of rights that two threads share.

use std::sync::Arc;
use streamusher_fleet::purse::Purse;
use streamusher_fleet::Micros;

#[test]
fn borrowed_units_end_on_the_spenders_own_clock() {
    let purse = Purse::default();
    purse.refresh(Micros::MAX);
    purse.grow(1, 2, 1_000);
    assert!(purse.spend(10) && purse.spend(999));
    assert_eq!(purse.free(999), 1);
    assert!(
        !purse.spend(1_000),
        "the lease has ended: one own unit, and two are in use"
    );
    purse.give_back();
    purse.give_back();
    assert!(purse.spend(5_000), "the own unit has no end");
    assert!(!purse.spend(5_000));
    assert_eq!(purse.take_denied(), 2);
}

#[test]
fn what_is_in_use_is_not_taken() {
    let purse = Purse::default();
    purse.refresh(Micros::MAX);
    purse.grow(3, 2, 1_000);
    (0..4).for_each(|_| assert!(purse.spend(0)));
    assert_eq!(
        purse.take_own(3),
        0,
        "four are in use, and what is borrowed will end"
    );
    assert_eq!(purse.take_borrowed(2), 1);
    purse.give_back();
    purse.give_back();
    assert_eq!(purse.take_own(3), 1);
    assert_eq!(purse.rights(), (2, 1));
}

/// A spender and a taker at once: what was spent and what was taken never come to more than there was.
#[test]
fn spending_and_taking_race() {
    for _ in 0..50 {
        let purse = Arc::new(Purse::default());
        purse.refresh(Micros::MAX);
        purse.grow(1_000, 0, 0);
        let spender = purse.clone();
        let spent =
            std::thread::spawn(move || (0..2_000).filter(|_| spender.spend(0)).count() as u64);
        let taken: u64 = (0..300).map(|_| purse.take_own(3)).sum();
        assert_eq!(spent.join().unwrap() + taken, 1_000 - purse.free(0));
        assert_eq!(purse.used() + taken, 1_000 - purse.free(0));
    }
}
