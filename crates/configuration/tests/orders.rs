//! Which changes are taken, acknowledged again or refused as stale, also after a failover.

mod support;

use serde_json::json;
use streamusher_configuration::applied_changes::{order_key, ChangeKind, MOST_ORDERS};
use streamusher_configuration::rejected_changes::MOST_REFUSALS;
use streamusher_configuration::{ChangeOutcome, ConfigurationStore};
use support::{read, refuse, route, sample, service, store_with, take, Records};

fn stale(current: u64) -> ChangeOutcome {
    ChangeOutcome::Stale {
        current,
        writes: Vec::new(),
    }
}

#[test]
fn given_no_configuration_when_the_first_comes_then_it_is_taken_and_read_back() {
    let mut store = ConfigurationStore::new();
    assert_eq!(
        (store.version(), store.read(), store.current()),
        (0, None, None)
    );
    let body = format!(" \r\n{}\n", sample(5));
    let ChangeOutcome::Taken { version, writes } = store.replace(0, &body) else {
        panic!("not taken")
    };
    assert_eq!((version, store.version()), (5, 5));
    assert_eq!(read(&store), sample(5));
    assert!(writes
        .iter()
        .any(|write| &*write.key == "config/current" && write.value == store.read()));
    assert!(writes.iter().any(|write| write.key.starts_with("order/")));
    assert_eq!(writes.len(), 2);
}

#[test]
fn given_version_5_when_an_order_builds_on_another_version_then_it_is_stale_and_changes_nothing() {
    let (mut store, mut records) = store_with(5);
    for base in [0, 4, 6, u64::MAX] {
        assert_eq!(
            refuse(store.replace(base, &sample(9).to_string()), &mut records),
            5
        );
        assert_eq!(
            refuse(store.update(base, r#"{"version":9}"#), &mut records),
            5
        );
    }
    assert_eq!(read(&store), sample(5));
}

#[test]
fn given_no_configuration_when_an_order_builds_on_one_then_it_is_stale() {
    let mut store = ConfigurationStore::new();
    assert_eq!(
        refuse(
            store.replace(3, &sample(9).to_string()),
            &mut Records::default()
        ),
        0
    );
}

#[test]
fn given_no_configuration_when_an_update_adds_all_then_it_is_taken() {
    let mut store = ConfigurationStore::new();
    let update = json!({"version": 2, "upsert": {"services": [service("a")], "routes": [route("r", "h", "/", "a")]}});
    assert!(matches!(
        store.update(0, &update.to_string()),
        ChangeOutcome::Taken { version: 2, .. }
    ));
    assert_eq!(
        read(&store),
        json!({"version": 2, "services": [service("a")], "routes": [route("r", "h", "/", "a")]})
    );
}

#[test]
fn given_two_changes_on_one_base_when_both_come_then_the_first_wins() {
    let (mut store, mut records) = store_with(5);
    take(store.update(5, r#"{"version":7}"#), &mut records);
    assert_eq!(store.update(5, r#"{"version":8}"#), stale(7));
    assert_eq!(store.replace(5, &sample(9).to_string()), stale(7));
}

#[test]
fn given_one_number_for_two_changes_when_both_come_then_the_first_is_in_force() {
    let (mut store, mut records) = store_with(5);
    let first = json!({"version": 7, "remove": {"routes": ["r-one"]}}).to_string();
    let second = json!({"version": 7, "remove": {"routes": ["r-two"]}}).to_string();
    take(store.update(5, &first), &mut records);
    assert_eq!(store.update(5, &second), stale(7));
    assert_eq!(read(&store)["routes"][0]["name"], "r-two");
    assert_eq!(store.update(5, &first), ChangeOutcome::Again { version: 7 });
}

#[test]
fn given_an_order_that_was_taken_when_many_newer_ones_follow_then_it_is_still_acknowledged_again() {
    let (mut store, mut records) = store_with(5);
    for version in 6..300 {
        take(
            store.update(version - 1, &format!(r#"{{"version":{version}}}"#)),
            &mut records,
        );
    }
    assert_eq!(
        store.replace(0, &sample(5).to_string()),
        ChangeOutcome::Again { version: 5 }
    );
    assert_eq!(
        store.update(5, r#"{"version":6}"#),
        ChangeOutcome::Again { version: 6 }
    );
    assert_eq!(store.version(), 299);
}

#[test]
fn given_a_failover_when_an_order_taken_before_is_repeated_then_it_is_acknowledged_again() {
    let (mut store, mut records) = store_with(5);
    take(
        store.update(5, r#"{"version":7,"remove":{"routes":["r-one"]}}"#),
        &mut records,
    );
    let mut successor = records.recover();
    assert_eq!(successor.read(), store.read());
    assert_eq!(successor.current(), store.current());
    assert_eq!(
        successor.replace(0, &sample(5).to_string()),
        ChangeOutcome::Again { version: 5 }
    );
    assert_eq!(
        successor.update(5, r#"{"version":7,"remove":{"routes":["r-one"]}}"#),
        ChangeOutcome::Again { version: 7 }
    );
    assert_eq!(successor.update(5, r#"{"version":7}"#), stale(7));
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
fn given_a_batch_that_was_not_committed_when_the_successor_gets_the_order_then_it_takes_it() {
    let (mut store, records) = store_with(5);
    assert!(matches!(
        store.update(5, r#"{"version":7}"#),
        ChangeOutcome::Taken { .. }
    ));
    let mut successor = records.recover();
    assert!(matches!(
        successor.update(5, r#"{"version":7}"#),
        ChangeOutcome::Taken { version: 7, .. }
    ));
}

#[test]
fn given_the_same_body_when_kind_base_or_a_byte_differs_then_it_is_another_order() {
    let (mut store, mut records) = store_with(5);
    let body = r#"{"version":7}"#;
    take(store.update(5, body), &mut records);
    assert_eq!(store.replace(5, body), stale(7));
    assert_eq!(store.update(4, body), stale(7));
    assert_eq!(store.update(5, r#"{"version":7} "#), stale(7));
}

#[test]
fn given_an_order_refused_before_its_base_was_current_when_a_repeat_comes_late_then_it_is_refused_again(
) {
    let (mut store, mut records) = store_with(5);
    let early = r#"{"version":9}"#;
    assert_eq!(refuse(store.update(7, early), &mut records), 5);
    take(store.update(5, r#"{"version":7}"#), &mut records);
    let mut successor = records.recover();
    assert_eq!(store.update(7, early), stale(7));
    assert_eq!(successor.update(7, early), stale(7));
    // Another order on that version is taken, and the record of the refusal goes with it.
    take(successor.update(7, r#"{"version":8}"#), &mut records);
    assert!(records.0.keys().all(|key| !key.starts_with("refused/")));
    assert_eq!(successor.update(7, early), stale(8));
}

#[test]
fn given_a_refusal_that_was_not_committed_when_the_successor_gets_the_order_then_it_decides_anew() {
    let (mut store, mut records) = store_with(5);
    assert!(matches!(
        store.update(7, r#"{"version":9}"#),
        ChangeOutcome::Stale { .. }
    ));
    let mut successor = records.recover();
    take(successor.update(5, r#"{"version":7}"#), &mut records);
    assert_eq!(
        take(successor.update(7, r#"{"version":9}"#), &mut records),
        9
    );
}

#[test]
fn given_as_many_refusals_as_are_kept_when_one_more_order_builds_on_a_version_to_come_then_it_is_undecided(
) {
    let (mut store, mut records) = store_with(5);
    for base in 0..MOST_REFUSALS as u64 {
        assert_eq!(
            refuse(
                store.update(100 + base, r#"{"version":9999}"#),
                &mut records
            ),
            5
        );
    }
    assert_eq!(
        store.update(99, r#"{"version":9999}"#),
        ChangeOutcome::Undecided { current: 5 }
    );
    assert_eq!(
        store.update(100, r#"{"version":9999}"#),
        stale(5),
        "one that is kept is refused again"
    );
    assert_eq!(
        store.update(4, r#"{"version":9999}"#),
        stale(5),
        "one on an earlier version needs no record"
    );
    take(store.update(5, r#"{"version":101}"#), &mut records);
    assert_eq!(
        refuse(store.update(2_000, r#"{"version":9999}"#), &mut records),
        101,
        "there is room again"
    );
}

#[test]
fn given_more_orders_than_are_kept_when_one_more_is_taken_then_the_oldest_is_dropped_from_the_records_too(
) {
    let (mut store, mut records) = store_with(1);
    for version in 2..=(MOST_ORDERS as u64 + 1) {
        take(
            store.update(version - 1, &format!(r#"{{"version":{version}}}"#)),
            &mut records,
        );
    }
    assert_eq!(
        records.0.len(),
        MOST_ORDERS + 1,
        "the orders and the configuration"
    );
    assert_eq!(
        store.replace(0, &sample(1).to_string()),
        ChangeOutcome::Undecided {
            current: MOST_ORDERS as u64 + 1
        }
    );
    assert_eq!(
        store.update(1, r#"{"version":2}"#),
        ChangeOutcome::Again { version: 2 }
    );
    let mut successor = records.recover();
    assert_eq!(
        successor.update(1, r#"{"version":2}"#),
        ChangeOutcome::Again { version: 2 }
    );
    let next = MOST_ORDERS as u64 + 2;
    take(
        successor.update(next - 1, &format!(r#"{{"version":{next}}}"#)),
        &mut records,
    );
    assert_eq!(
        successor.update(1, r#"{"version":2}"#),
        ChangeOutcome::Undecided { current: next }
    );
    assert_eq!(records.0.len(), MOST_ORDERS + 1);
}

/// Expected digests were computed by another implementation (Python's hashlib) over kind, base and body.
#[test]
fn given_bodies_of_all_paddings_when_named_then_the_names_are_those_of_sha_256() {
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
        let key = order_key(ChangeKind::Replace, 5, &"a".repeat(length));
        assert_eq!(&*key, format!("order/{name}"), "length {length}");
    }
    let key = order_key(ChangeKind::Update, (1 << 63) + 7, "é{\"version\":9}");
    assert_eq!(&*key, "order/3f27f48fc6b4bc388540e3875cad898f");
}

#[test]
fn given_records_of_others_when_recovered_then_they_are_passed_over() {
    let (store, mut records) = store_with(5);
    records.0.insert("job/5c0e7a21d94b36f8".into(), "{}".into());
    records.0.insert("config/other".into(), "nonsense".into());
    assert_eq!(records.recover().read(), store.read());
    assert_eq!(Records::default().recover().version(), 0);
}
