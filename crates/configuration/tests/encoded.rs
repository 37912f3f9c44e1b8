//! Encoded forms, byte for byte: messages of the relay tree, stored records, and error messages.
//!
//! Members of different releases exchange these messages, a new release reads the records of the previous
//! one, and the operators' documentation quotes the errors. The fixtures were written by an earlier release
//! and must never be regenerated.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;
use std::fmt::Debug;
use std::sync::Arc;
use streamusher_configuration::relay::{
    ConfigurationDelta, RelayEnvelope, RelayMembership, RelayMessage, RelayPeer, RootHeartbeat,
};
use streamusher_configuration::{
    ChangeOutcome, ConfigurationError, ConfigurationStore, RecordError,
};
use streamusher_protocol::store::Write;

const RELAY: &str = include_str!("fixtures/encoded/relay.jsonl");
const RECORDS: &str = include_str!("fixtures/encoded/records.jsonl");
const ERRORS: &str = include_str!("fixtures/encoded/errors.txt");

fn raw(text: &str) -> Arc<RawValue> {
    RawValue::from_string(text.to_owned()).expect("JSON").into()
}

/// Compares values with the lines of a fixture, encoded and decoded. Decoded values are compared by their
/// `Debug` output, as some hold raw JSON texts.
fn check_lines<T: Serialize + DeserializeOwned + Debug>(values: &[T], lines: &[&str]) {
    assert_eq!(values.len(), lines.len());
    for (value, line) in values.iter().zip(lines) {
        assert_eq!(serde_json::to_string(value).expect("JSON"), *line);
        let decoded: T = serde_json::from_str(line).expect("a decodable line");
        assert_eq!(format!("{decoded:?}"), format!("{value:?}"));
    }
}

fn relay_messages() -> Vec<RelayMessage> {
    let delta = |base_version, version, update: &str| ConfigurationDelta {
        base_version,
        version,
        update: raw(update),
    };
    let heartbeat = |is_temporary, request_required| RelayMessage::Heartbeat {
        version: 3,
        root_heartbeat: RootHeartbeat { epoch: 1, count: 2 },
        is_temporary,
        request_required,
    };
    vec![
        heartbeat(true, false),
        heartbeat(false, true),
        RelayMessage::Deltas(vec![]),
        RelayMessage::Deltas(vec![
            delta(1, 2, r#"{"version": 2,  "x":1.00}"#),
            delta(2, 5, r#"{"version":5,"upsert":{"routes":[]}}"#),
        ]),
        RelayMessage::Snapshot {
            version: 3,
            text: raw(r#"{"version":3, "note":1e400}"#),
        },
        RelayMessage::Request { known_version: 7 },
    ]
}

#[test]
fn encoded_forms_are_as_recorded_for_relay_messages() {
    let lines: Vec<&str> = RELAY.lines().collect();
    let peers = [
        RelayPeer::Primary,
        RelayPeer::Member("10.0.0.1:7381".into()),
    ];
    let messages = relay_messages();
    let envelopes = peers.clone().map(|sender| RelayEnvelope {
        sender,
        messages: messages.clone(),
    });
    let memberships = [
        RelayMembership::default(),
        RelayMembership {
            version: 4_294_967_297,
            members: vec!["10.0.0.1:7381".into(), "10.0.0.2:7381".into()],
        },
    ];
    let (peer_lines, rest) = lines.split_at(peers.len());
    let (message_lines, rest) = rest.split_at(messages.len());
    let (envelope_lines, membership_lines) = rest.split_at(envelopes.len());
    check_lines(&peers, peer_lines);
    check_lines(&messages, message_lines);
    check_lines(&envelopes, envelope_lines);
    check_lines(&memberships, membership_lines);
}

/// Returns the writes of a store for a replacement, two rejected changes, an update that makes the first of
/// these stale, and a repetition of the update.
fn recorded_batches() -> Vec<Vec<Write>> {
    let mut store = ConfigurationStore::new();
    let outcomes = [
        store.replace(0, r#"{"version":5,"services":[{"name":"a"}]}"#),
        store.update(6, r#"{"version":8}"#),
        store.replace(9, r#"{"version":12}"#),
        store.update(5, r#"{"version":7,"upsert":{"services":[{"name":"b"}]}}"#),
        store.update(5, r#"{"version":7,"upsert":{"services":[{"name":"b"}]}}"#),
    ];
    outcomes
        .into_iter()
        .map(|outcome| match outcome {
            ChangeOutcome::Applied { writes, .. }
            | ChangeOutcome::VersionConflict { writes, .. } => writes,
            _ => Vec::new(),
        })
        .collect()
}

#[test]
fn encoded_forms_are_as_recorded_for_stored_records() {
    let batches = recorded_batches();
    let lines: Vec<&str> = RECORDS.lines().collect();
    check_lines(&batches, &lines);
    let mut records = std::collections::BTreeMap::new();
    for write in lines
        .iter()
        .flat_map(|line| serde_json::from_str::<Vec<Write>>(line).expect("a decodable line"))
    {
        match write.value {
            Some(value) => records.insert(write.key, value),
            None => records.remove(&write.key),
        };
    }
    let mut store = ConfigurationStore::recover(records.into_iter()).expect("consistent records");
    assert_eq!(store.version(), 7);
    assert_eq!(
        store.replace(0, r#"{"version":5,"services":[{"name":"a"}]}"#),
        ChangeOutcome::AlreadyApplied { version: 5 }
    );
    assert_eq!(
        store.replace(9, r#"{"version":12}"#),
        ChangeOutcome::VersionConflict {
            current_version: 7,
            writes: Vec::new()
        },
        "the rejection is recorded"
    );
}

fn configuration_errors() -> Vec<ConfigurationError> {
    let field = || "routes[3].name".to_owned();
    let value = || "x".to_owned();
    let cause = || "invalid type".to_owned();
    vec![
        ConfigurationError::Malformed { cause: cause() },
        ConfigurationError::InvalidField {
            field: field(),
            value: value(),
            cause: cause(),
        },
        ConfigurationError::EmptyField { field: field() },
        ConfigurationError::ZeroField { field: field() },
        ConfigurationError::TooLarge {
            field: field(),
            value: 9,
            max: 8,
        },
        ConfigurationError::InvalidFactor {
            field: field(),
            value: value(),
        },
        ConfigurationError::MissingLeadingSlash {
            field: field(),
            value: value(),
        },
        ConfigurationError::DuplicateName {
            field: field(),
            value: value(),
            first: "routes[1]".to_owned(),
        },
        ConfigurationError::DuplicateRoute {
            field: field(),
            host: "h".to_owned(),
            prefix: "/p/".to_owned(),
            first: "routes[1]".to_owned(),
        },
        ConfigurationError::UnknownService {
            field: field(),
            value: value(),
        },
        ConfigurationError::VersionNotIncreased {
            version: 4,
            current_version: 5,
        },
        ConfigurationError::UpsertedAndRemoved {
            list: "routes".to_owned(),
            value: value(),
        },
        ConfigurationError::UnreadableFile {
            path: "a/b.toml".into(),
            cause: cause(),
        },
        ConfigurationError::UnknownFileFormat {
            path: "a/b.yaml".into(),
        },
    ]
}

#[test]
fn encoded_forms_are_as_recorded_for_error_messages() {
    let record_errors = [
        RecordError::Corrupt {
            key: "order/00".to_owned(),
            cause: "EOF".to_owned(),
        },
        RecordError::NewerThanConfiguration {
            key: "order/00".to_owned(),
            version: 6,
            current_version: 5,
        },
    ];
    let messages = configuration_errors()
        .iter()
        .map(ToString::to_string)
        .chain(record_errors.iter().map(ToString::to_string))
        .collect::<Vec<_>>();
    assert_eq!(messages, ERRORS.lines().collect::<Vec<_>>());
}
