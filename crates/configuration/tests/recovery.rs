//! Recovery from corrupt stored records: the error names the record, and no store is recovered from the other
//! records.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use rstest::rstest;
use std::sync::Arc;
use streamusher_configuration::{ChangeOutcome, ConfigurationStore, RecordError};
use support::{current_configuration, store_with};

#[test]
fn error_for_truncated_configuration_record_states_key_and_remedy() {
    let (store, _) = store_with(5);
    let text = store.text().expect("a configuration");
    for end in 0..text.len() {
        let records: [(Arc<str>, Arc<str>); 1] = [("config/current".into(), text[..end].into())];
        let error = ConfigurationStore::recover(records.into_iter()).expect_err("a corrupt record");
        let RecordError::Corrupt { key, .. } = &error else {
            panic!("{error}")
        };
        assert_eq!(key, "config/current");
        assert!(
            error
                .to_string()
                .contains("start this machine with an empty disk"),
            "{error}"
        );
    }
}

#[rstest]
#[case("")]
#[case("{}")]
#[case("7")]
#[case(r#"{"version":-5,"base":0,"length":3}"#)]
#[case(r#"{"version":5,"base":0,"length":3"#)]
fn corrupt_change_record_is_named(#[case] value: &str) {
    let (_, mut records) = store_with(5);
    records.0.insert("order/00".into(), value.into());
    let error = ConfigurationStore::recover(records.0.into_iter()).expect_err("a corrupt record");
    assert!(
        error
            .to_string()
            .starts_with("record order/00 is damaged: "),
        "{error}"
    );
}

#[test]
fn records_with_change_newer_than_configuration_are_rejected() {
    let (_, mut records) = store_with(5);
    records.0.insert(
        "order/00".into(),
        r#"{"version":6,"base":5,"length":3}"#.into(),
    );
    let error = ConfigurationStore::recover(records.0.clone().into_iter())
        .expect_err("contradictory records");
    assert_eq!(
        error,
        RecordError::NewerThanConfiguration {
            key: "order/00".into(),
            version: 6,
            current_version: 5
        }
    );
    records.0.remove("config/current");
    assert!(ConfigurationStore::recover(records.0.into_iter()).is_err());
}

#[test]
fn recovered_configuration_is_not_validated_again() {
    let text = r#"{"version":5,"routes":[{"name":"r","host":"h","path_prefix":"/","timeout_ms":0,"service":"x"}]}"#;
    let records: [(Arc<str>, Arc<str>); 1] = [("config/current".into(), text.into())];
    let mut store = ConfigurationStore::recover(records.into_iter()).expect("a readable record");
    assert_eq!(store.text().as_deref(), Some(text));
    let repaired = r#"{"version":6,"remove":{"routes":["r"]}}"#;
    assert!(matches!(
        store.update(5, repaired),
        ChangeOutcome::Applied { .. }
    ));
    assert_eq!(
        current_configuration(&store)["routes"],
        serde_json::json!([])
    );
}
