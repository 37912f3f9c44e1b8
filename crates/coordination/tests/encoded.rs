//! Encoded forms of all messages and stored data, compared byte for byte: members with other releases read
//! them, and later releases read them from disk.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::{Debug, Write as _};
use std::sync::Arc;
use streamusher_coordination::{
    Batch, CoordinatorStatus, DiskId, EpochRecord, KeepaliveAck, LogPosition, Member, Message,
    PeerStatus, ProposalNumber, Role, SnapshotPart, WitnessState,
};
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::store::Write;

/// Encoded values. Each line is a name and an encoded text.
#[derive(Default)]
struct Encoded {
    lines: String,
}

impl Encoded {
    /// Encodes a value, and checks that its text decodes to the same value.
    fn add<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, value: &T) {
        let text = serde_json::to_string(value).unwrap();
        let read: T = serde_json::from_str(&text).unwrap();
        assert_eq!(&read, value, "{name}");
        writeln!(self.lines, "{name} {text}").unwrap();
    }
}

fn member(number: u64) -> Member {
    Member {
        id: DiskId(number),
        address: CoreAddress {
            internal: format!("10.0.0.{number}:7000").into(),
            control: format!("10.0.0.{number}:8000").into(),
        },
    }
}

fn record() -> Arc<EpochRecord> {
    Arc::new(EpochRecord {
        epoch: 7,
        term: 5,
        primary: Some(DiskId(1)),
        replicas: vec![DiskId(1), DiskId(u64::MAX)],
        members: vec![member(1), member(2)],
        proposer: DiskId(2),
    })
}

fn number() -> ProposalNumber {
    ProposalNumber {
        round: 3,
        disk: DiskId(2),
        start: 4,
    }
}

fn position(sequence: u64) -> LogPosition {
    LogPosition { epoch: 5, sequence }
}

fn writes() -> Vec<Write> {
    vec![Write::set("job/1", "{\"a\":1}"), Write::remove("job/2")]
}

fn add_records(encoded: &mut Encoded) {
    encoded.add("disk-id", &DiskId(u64::MAX));
    encoded.add("member", &member(1));
    encoded.add("epoch-record-full", &record());
    encoded.add("epoch-record-least", &EpochRecord::default());
    encoded.add("proposal-number", &number());
    encoded.add("log-position", &position(9));
    let batch = Batch {
        previous: position(8),
        position: position(9),
        writes: Arc::new(writes()),
    };
    encoded.add("batch", &batch);
    let full = WitnessState {
        id: DiskId(2),
        starts: 4,
        decided: record(),
        promise: number(),
        accepted: Some((number(), record())),
        candidate: true,
    };
    encoded.add("witness-state-full", &full);
    encoded.add("witness-state-least", &WitnessState::default());
}

fn add_status(encoded: &mut Encoded) {
    for role in [Role::Primary, Role::Replica, Role::Witness, Role::Joining] {
        encoded.add("role", &role);
    }
    let peer = PeerStatus {
        id: DiskId(2),
        position: position(8),
        silent_ms: 40,
    };
    let status = |peers: Vec<PeerStatus>| CoordinatorStatus {
        id: DiskId(1),
        role: Role::Primary,
        acting: true,
        record: record(),
        applied: position(9),
        synced: position(8),
        committed: 7,
        peers,
    };
    encoded.add("status-full", &status(vec![peer]));
    encoded.add("status-least", &status(Vec::new()));
}

fn proposal_messages() -> Vec<Message> {
    let (from, instance, number) = (DiskId(2), 8, number());
    let promised = |accepted| Message::Promised {
        from,
        instance,
        number,
        accepted,
        position: position(9),
    };
    vec![
        Message::Hello {
            member: member(3),
            epoch: 6,
        },
        Message::Decided { record: record() },
        Message::Prepare {
            base: record(),
            number,
        },
        promised(Some((number, record()))),
        promised(None),
        Message::Accept {
            base: record(),
            number,
            value: record(),
        },
        Message::Accepted {
            from,
            instance,
            number,
        },
        Message::Rejected {
            instance,
            promise: number,
        },
        Message::TermEnded { from, term: 5 },
    ]
}

fn replication_messages() -> Vec<Message> {
    let (from, epoch, term) = (DiskId(1), 7, 5);
    let keepalive_ack = |leaving| {
        Message::KeepaliveAck(KeepaliveAck {
            from,
            term,
            sent_ms: 1_234,
            position: position(9),
            leaving,
            recorded_epoch: 7,
        })
    };
    let snapshot_part = |last| {
        Message::SnapshotPart(SnapshotPart {
            from,
            epoch,
            term,
            snapshot: 2,
            index: 3,
            last,
            position: position(9),
            writes: writes(),
        })
    };
    vec![
        Message::Keepalive {
            record: record(),
            sent_ms: 1_234,
        },
        keepalive_ack(true),
        keepalive_ack(false),
        Message::Append {
            from,
            epoch,
            term,
            batch: Batch {
                previous: position(8),
                position: position(9),
                writes: Arc::new(writes()),
            },
        },
        Message::Synced {
            from,
            term,
            position: position(9),
        },
        snapshot_part(true),
        snapshot_part(false),
        Message::SnapshotAck {
            from,
            snapshot: 2,
            next: 4,
        },
    ]
}

#[test]
fn encoded_forms_are_as_recorded() {
    let mut encoded = Encoded::default();
    add_records(&mut encoded);
    add_status(&mut encoded);
    for message in proposal_messages().iter().chain(&replication_messages()) {
        encoded.add("message", message);
    }
    let recorded = include_str!("fixtures/encoded/messages_and_records.txt");
    for (encoded, recorded) in encoded.lines.lines().zip(recorded.lines()) {
        assert_eq!(encoded, recorded);
    }
    assert_eq!(encoded.lines.lines().count(), recorded.lines().count());
}

/// A machine of an earlier release does not send the epoch of the record on its disk.
#[test]
fn keepalive_ack_without_recorded_epoch_defaults_to_0() {
    let text = r#"{"Alive":{"from":1,"reign":5,"sent":9,"position":{"epoch":5,"sequence":9},"leaving":false,"later":1}}"#;
    let read: Message = serde_json::from_str(text).unwrap();
    let expected = Message::KeepaliveAck(KeepaliveAck {
        from: DiskId(1),
        term: 5,
        sent_ms: 9,
        position: position(9),
        leaving: false,
        recorded_epoch: 0,
    });
    assert_eq!(read, expected);
}
