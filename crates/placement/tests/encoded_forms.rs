//! Compares encoded forms with recorded ones, byte for byte: a rename in the code must not change what
//! operators' tools and command lines see.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use streamusher_placement::{Mechanism, WaitExplanation, WaitReason};

const WAITING_UNITS: &str = include_str!("fixtures/encoded/waiting_units.jsonl");
const MECHANISMS: &str = include_str!("fixtures/encoded/mechanisms.txt");

const REASONS: [WaitReason; 7] = [
    WaitReason::NoSchedulableWorker,
    WaitReason::NoMatchingLabel,
    WaitReason::NoWorkerLargeEnough,
    WaitReason::CapacityReserved,
    WaitReason::NoFreeCapacity,
    WaitReason::CapacityReservedForOthers,
    WaitReason::AntiAffinityLimitReached,
];

/// One value per reason. All fields differ, so that a swap of two fields is detected.
fn waiting_units() -> Vec<WaitExplanation> {
    let numbered_reasons = (1..).zip(REASONS);
    numbered_reasons
        .map(|(number, reason)| WaitExplanation {
            reason,
            waited_ms: 1_000 + number,
            units_ahead: 7,
            schedulable_workers: 6,
            eligible_workers: 5,
            workers_below_limit: 8,
            workers_with_free_capacity: 4,
            copies: 3,
        })
        .collect()
}

#[test]
fn encoded_forms_are_as_recorded() {
    let values = waiting_units();
    let lines: Vec<String> = values
        .iter()
        .map(|value| serde_json::to_string(value).unwrap())
        .collect();
    assert_eq!(lines.join("\n") + "\n", WAITING_UNITS);
    let decoded: Vec<WaitExplanation> = WAITING_UNITS
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(decoded, values);
}

#[test]
fn mechanism_names_are_as_recorded() {
    let names: Vec<String> = Mechanism::ALL.iter().map(ToString::to_string).collect();
    assert_eq!(names.join("\n") + "\n", MECHANISMS);
    let decoded: Vec<Option<Mechanism>> = MECHANISMS.lines().map(Mechanism::from_name).collect();
    assert_eq!(decoded, Mechanism::ALL.map(Some));
    assert_eq!(Mechanism::from_name("Headroom"), None);
    assert_eq!(Mechanism::from_name(""), None);
}
