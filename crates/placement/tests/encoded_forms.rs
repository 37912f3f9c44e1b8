//! Encoded forms are as recorded, byte for byte: what operators' tools and command lines see must not follow a rename.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use streamusher_placement::{Mechanism, WaitReason, WaitingUnit};

const WAITING_UNITS: &str = include_str!("fixtures/encoded/waiting_units.jsonl");
const MECHANISMS: &str = include_str!("fixtures/encoded/mechanisms.txt");

const REASONS: [WaitReason; 6] = [
    WaitReason::NoWorkerTakesWork,
    WaitReason::NoWorkerHasItsLabel,
    WaitReason::NoWorkerIsLargeEnough,
    WaitReason::RoomIsKept,
    WaitReason::NoRoomIsFree,
    WaitReason::RoomIsKeptForOthers,
];

/// One value for each reason; all fields differ, so that none can stand for another.
fn waiting_units() -> Vec<WaitingUnit> {
    let numbered = (1..).zip(REASONS);
    numbered
        .map(|(number, reason)| WaitingUnit {
            reason,
            waited_ms: 1_000 + number,
            ahead: 7,
            open_workers: 6,
            eligible_workers: 5,
            workers_with_room: 4,
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
    let decoded: Vec<WaitingUnit> = WAITING_UNITS
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(decoded, values);
}

#[test]
fn mechanism_names_are_as_recorded() {
    let names: Vec<String> = Mechanism::ALL.iter().map(ToString::to_string).collect();
    assert_eq!(names.join("\n") + "\n", MECHANISMS);
    let decoded: Vec<Option<Mechanism>> = MECHANISMS.lines().map(Mechanism::named).collect();
    assert_eq!(decoded, Mechanism::ALL.map(Some));
    assert_eq!(Mechanism::named("Headroom"), None);
    assert_eq!(Mechanism::named(""), None);
}
