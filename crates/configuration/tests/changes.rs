//! Outcome of changes: applied, acknowledged again or rejected as conflicting, also after a failover.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use serde_json::json;
use streamusher_configuration::{ChangeId, ChangeKind, MAX_APPLIED_CHANGES, MAX_REJECTED_CHANGES};
use streamusher_configuration::{ChangeOutcome, ConfigurationStore};
use support::{
    commit_applied, commit_conflict, current_configuration, route, sample, service, store_with,
    Records,
};

fn conflict(current_version: u64) -> ChangeOutcome {
    ChangeOutcome::VersionConflict {
        current_version,
        writes: Vec::new(),
    }
}

#[test]
fn first_configuration_is_applied_and_read_back() {
    let mut store = ConfigurationStore::new();
    assert_eq!(
        (store.version(), store.text(), store.current()),
        (0, None, None)
    );
    let body = format!(" \r\n{}\n", sample(5));
    let ChangeOutcome::Applied { version, writes } = store.replace(0, &body) else {
        panic!("not applied")
    };
    assert_eq!((version, store.version()), (5, 5));
    assert_eq!(current_configuration(&store), sample(5));
    assert!(writes
        .iter()
        .any(|write| &*write.key == "config/current" && write.value == store.text()));
    assert!(writes.iter().any(|write| write.key.starts_with("order/")));
    assert_eq!(writes.len(), 2);
}

#[test]
fn change_on_another_version_conflicts_and_changes_nothing() {
    let (mut store, mut records) = store_with(5);
    for base in [0, 4, 6, u64::MAX] {
        assert_eq!(
            commit_conflict(store.replace(base, &sample(9).to_string()), &mut records),
            5
        );
        assert_eq!(
            commit_conflict(store.update(base, r#"{"version":9}"#), &mut records),
            5
        );
    }
    assert_eq!(current_configuration(&store), sample(5));
}

#[test]
fn change_on_a_version_conflicts_while_there_is_no_configuration() {
    let mut store = ConfigurationStore::new();
    assert_eq!(
        commit_conflict(
            store.replace(3, &sample(9).to_string()),
            &mut Records::default()
        ),
        0
    );
}

#[test]
fn first_configuration_may_be_an_update() {
    let mut store = ConfigurationStore::new();
    let update = json!({"version": 2, "upsert": {"services": [service("a")], "routes": [route("r", "h", "/", "a")]}});
    assert!(matches!(
        store.update(0, &update.to_string()),
        ChangeOutcome::Applied { version: 2, .. }
    ));
    assert_eq!(
        current_configuration(&store),
        json!({"version": 2, "services": [service("a")], "routes": [route("r", "h", "/", "a")]})
    );
}

#[test]
fn first_of_two_changes_on_one_base_version_wins() {
    let (mut store, mut records) = store_with(5);
    commit_applied(store.update(5, r#"{"version":7}"#), &mut records);
    assert_eq!(store.update(5, r#"{"version":8}"#), conflict(7));
    assert_eq!(store.replace(5, &sample(9).to_string()), conflict(7));
}

#[test]
fn first_of_two_changes_to_one_version_wins() {
    let (mut store, mut records) = store_with(5);
    let first = json!({"version": 7, "remove": {"routes": ["r-one"]}}).to_string();
    let second = json!({"version": 7, "remove": {"routes": ["r-two"]}}).to_string();
    commit_applied(store.update(5, &first), &mut records);
    assert_eq!(store.update(5, &second), conflict(7));
    assert_eq!(current_configuration(&store)["routes"][0]["name"], "r-two");
    assert_eq!(
        store.update(5, &first),
        ChangeOutcome::AlreadyApplied { version: 7 }
    );
}

#[test]
fn repeated_change_is_acknowledged_after_many_newer_ones() {
    let (mut store, mut records) = store_with(5);
    for version in 6..300 {
        commit_applied(
            store.update(version - 1, &format!(r#"{{"version":{version}}}"#)),
            &mut records,
        );
    }
    assert_eq!(
        store.replace(0, &sample(5).to_string()),
        ChangeOutcome::AlreadyApplied { version: 5 }
    );
    assert_eq!(
        store.update(5, r#"{"version":6}"#),
        ChangeOutcome::AlreadyApplied { version: 6 }
    );
    assert_eq!(store.version(), 299);
}

#[test]
fn repeated_change_is_acknowledged_after_failover() {
    let (mut store, mut records) = store_with(5);
    commit_applied(
        store.update(5, r#"{"version":7,"remove":{"routes":["r-one"]}}"#),
        &mut records,
    );
    let mut successor = records.recover();
    assert_eq!(successor.text(), store.text());
    assert_eq!(successor.current(), store.current());
    assert_eq!(
        successor.replace(0, &sample(5).to_string()),
        ChangeOutcome::AlreadyApplied { version: 5 }
    );
    assert_eq!(
        successor.update(5, r#"{"version":7,"remove":{"routes":["r-one"]}}"#),
        ChangeOutcome::AlreadyApplied { version: 7 }
    );
    assert_eq!(successor.update(5, r#"{"version":7}"#), conflict(7));
    assert!(successor
        .routes()
        .lookup("host.example", "/one/x")
        .is_none());
    assert!(successor
        .routes()
        .lookup("host.example", "/two/x")
        .is_some());
}

#[test]
fn change_lost_in_failover_is_applied_when_repeated() {
    let (mut store, records) = store_with(5);
    assert!(matches!(
        store.update(5, r#"{"version":7}"#),
        ChangeOutcome::Applied { .. }
    ));
    let mut successor = records.recover();
    assert!(matches!(
        successor.update(5, r#"{"version":7}"#),
        ChangeOutcome::Applied { version: 7, .. }
    ));
}

#[test]
fn kind_base_version_and_every_byte_identify_a_change() {
    let (mut store, mut records) = store_with(5);
    let body = r#"{"version":7}"#;
    commit_applied(store.update(5, body), &mut records);
    assert_eq!(store.replace(5, body), conflict(7));
    assert_eq!(store.update(4, body), conflict(7));
    assert_eq!(store.update(5, r#"{"version":7} "#), conflict(7));
}

#[test]
fn rejected_change_stays_rejected_when_its_base_version_becomes_current() {
    let (mut store, mut records) = store_with(5);
    let early = r#"{"version":9}"#;
    assert_eq!(commit_conflict(store.update(7, early), &mut records), 5);
    commit_applied(store.update(5, r#"{"version":7}"#), &mut records);
    let mut successor = records.recover();
    assert_eq!(store.update(7, early), conflict(7));
    assert_eq!(successor.update(7, early), conflict(7));
    // Another change based on that version is applied, and the record of the rejection is removed with it.
    commit_applied(successor.update(7, r#"{"version":8}"#), &mut records);
    assert!(records.0.keys().all(|key| !key.starts_with("refused/")));
    assert_eq!(successor.update(7, early), conflict(8));
}

#[test]
fn rejection_lost_in_failover_is_decided_anew() {
    let (mut store, mut records) = store_with(5);
    assert!(matches!(
        store.update(7, r#"{"version":9}"#),
        ChangeOutcome::VersionConflict { .. }
    ));
    let mut successor = records.recover();
    commit_applied(successor.update(5, r#"{"version":7}"#), &mut records);
    assert_eq!(
        commit_applied(successor.update(7, r#"{"version":9}"#), &mut records),
        9
    );
}

#[test]
fn change_on_future_version_is_undecided_once_too_many_are_remembered() {
    let (mut store, mut records) = store_with(5);
    for base in 0..MAX_REJECTED_CHANGES as u64 {
        assert_eq!(
            commit_conflict(
                store.update(100 + base, r#"{"version":9999}"#),
                &mut records
            ),
            5
        );
    }
    assert_eq!(
        store.update(99, r#"{"version":9999}"#),
        ChangeOutcome::RejectionLimitReached { current_version: 5 }
    );
    assert_eq!(
        store.update(100, r#"{"version":9999}"#),
        conflict(5),
        "a change whose rejection is recorded is rejected again"
    );
    assert_eq!(
        store.update(4, r#"{"version":9999}"#),
        conflict(5),
        "a change on an earlier version needs no record"
    );
    commit_applied(store.update(5, r#"{"version":101}"#), &mut records);
    assert_eq!(
        commit_conflict(store.update(2_000, r#"{"version":9999}"#), &mut records),
        101,
        "rejections on earlier versions are removed"
    );
}

#[test]
fn oldest_record_of_applied_changes_is_evicted() {
    let (mut store, mut records) = store_with(1);
    for version in 2..=(MAX_APPLIED_CHANGES as u64 + 1) {
        commit_applied(
            store.update(version - 1, &format!(r#"{{"version":{version}}}"#)),
            &mut records,
        );
    }
    assert_eq!(
        records.0.len(),
        MAX_APPLIED_CHANGES + 1,
        "one record per retained change, and the configuration"
    );
    assert_eq!(
        store.replace(0, &sample(1).to_string()),
        ChangeOutcome::HistoryTruncated {
            current_version: MAX_APPLIED_CHANGES as u64 + 1
        }
    );
    assert_eq!(
        store.update(1, r#"{"version":2}"#),
        ChangeOutcome::AlreadyApplied { version: 2 }
    );
    let mut successor = records.recover();
    assert_eq!(
        successor.update(1, r#"{"version":2}"#),
        ChangeOutcome::AlreadyApplied { version: 2 }
    );
    let next = MAX_APPLIED_CHANGES as u64 + 2;
    commit_applied(
        successor.update(next - 1, &format!(r#"{{"version":{next}}}"#)),
        &mut records,
    );
    assert_eq!(
        successor.update(1, r#"{"version":2}"#),
        ChangeOutcome::HistoryTruncated {
            current_version: next
        }
    );
    assert_eq!(records.0.len(), MAX_APPLIED_CHANGES + 1);
}

/// The expected digests were computed with Python's hashlib over kind, base version and body.
#[test]
fn change_ids_are_sha_256_digests_for_all_paddings() {
    let known = [
        (0, "ad143e9b5b5548f87ca384701fc22b69"),
        (46, "a59b6818b6f13ae15042fce0c5463d51"),
        (47, "9c05a0d7fd74be0654b94d702095de8a"),
        (54, "20033879d68eb3944de22208f9fe76a2"),
        (55, "9900a8388041eaf47a73355cd3c39963"),
        (56, "c80aa131f4d4efb4722e3e94d3956250"),
        (119, "09224e420e645ce199cf7bc4f7c2fbdd"),
        (1000, "87524eb1d790408e937155f27971ae2d"),
    ];
    for (length, name) in known {
        let key = ChangeId::new(ChangeKind::Replace, 5, &"a".repeat(length)).applied_key();
        assert_eq!(&*key, format!("order/{name}"), "length {length}");
    }
    let key = ChangeId::new(ChangeKind::Update, (1 << 63) + 7, "é{\"version\":9}").applied_key();
    assert_eq!(&*key, "order/3f27f48fc6b4bc388540e3875cad898f");
}

#[test]
fn recovery_skips_records_of_other_subsystems() {
    let (store, mut records) = store_with(5);
    records.0.insert("job/5c0e7a21d94b36f8".into(), "{}".into());
    records.0.insert("config/other".into(), "nonsense".into());
    assert_eq!(records.recover().text(), store.text());
    assert_eq!(Records::default().recover().version(), 0);
}
