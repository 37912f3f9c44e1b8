//! The encoded forms of this crate, byte for byte: datagrams, status JSON, digests, and all datagrams of a
//! simulated run. A changed byte requires a new version of the datagram format, or is a changed key of the
//! JSON for operators.
//!
//! Datagrams are encoded by position (postcard), so the order of fields and variants is part of the format.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod simulation;

use simulation::{Simulation, MS, SECOND};
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_fleet::datagram::{Datagram, DatagramBody, DatagramCodec, DatagramError};
use streamusher_fleet::membership::{Member, MemberHealth};
use streamusher_fleet::outlier::{Ejection, Observation, WorkerFault, WorkerIncarnation};
use streamusher_fleet::quota::{LeaseGrant, LeaseRequest, LoanStatus, Quota, QuotaTerms};
use streamusher_fleet::status::{FleetStatus, MemberStatus, QuotaStatus};
use streamusher_fleet::usage::{UsageKey, UsageMetric, UsageValues, METRIC_NAMES};
use streamusher_fleet::usage_counters::{
    BaseRow, Delta, IncarnationVersion, UsageCounters, UsageDigest, VersionSummary, VersionedRow,
};
use streamusher_fleet::Incarnation;

const DATAGRAMS: &str = include_str!("fixtures/encoded/datagrams.txt");
const STATUS: &str = include_str!("fixtures/encoded/status.txt");

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

fn key(period: u32, tenant: &str) -> UsageKey {
    UsageKey {
        period,
        tenant: name(tenant),
    }
}

fn values() -> UsageValues {
    UsageValues([1, 2, 3, 4, 5, 6, 7, 8, 900, u64::MAX])
}

fn observation(sequence: u64, fault: Option<WorkerFault>) -> Observation {
    Observation {
        worker: WorkerIncarnation {
            name: name("worker-1"),
            started_ms: 1_790_000_000_123,
        },
        observer: Incarnation::new("b", 8),
        sequence,
        fault,
        weight: 60,
        remaining_ms: 9_000,
    }
}

fn digests() -> Vec<(&'static str, DatagramBody)> {
    let summaries = |incarnations| VersionSummary {
        name: name("c"),
        compacted_up_to: 6,
        base_checksum: 0xdead_beef,
        incarnations,
    };
    let digest = |after, last, summaries, reply_wanted| {
        DatagramBody::UsageDigest(UsageDigest {
            after,
            last,
            summaries,
            reply_wanted,
        })
    };
    let version = |number, version| IncarnationVersion { number, version };
    vec![
        ("digest_empty", digest(None, true, vec![], true)),
        (
            "digest",
            digest(
                Some(name("b")),
                false,
                vec![
                    summaries(vec![]),
                    summaries(vec![version(7, 300), version(9, 1)]),
                ],
                false,
            ),
        ),
    ]
}

fn deltas() -> Vec<(&'static str, DatagramBody)> {
    let incarnation_delta = Delta::Incarnation {
        incarnation: Incarnation::new("c", 7),
        after: 1,
        up_to: 300,
        rows: vec![VersionedRow {
            key: key(3, "tenant-1"),
            version: 299,
            values: values(),
        }],
    };
    let base_delta = Delta::Base {
        name: name("c"),
        first_incarnation: 5,
        up_to: 6,
        total_rows: 1,
        rows: vec![BaseRow {
            key: key(2, ""),
            values: values(),
        }],
    };
    vec![
        (
            "rows_of_a_life",
            DatagramBody::UsageDeltas(vec![incarnation_delta]),
        ),
        (
            "rows_of_a_base",
            DatagramBody::UsageDeltas(vec![base_delta]),
        ),
    ]
}

fn leases() -> Vec<(&'static str, DatagramBody)> {
    let request = LeaseRequest {
        terms: 1,
        quota: 2,
        sequence: 3,
        sent_at: 4_000,
        kept_units: 5,
        wanted_units: 6,
    };
    let grant = LeaseGrant {
        terms: 1,
        quota: 2,
        sequence: 3,
        sent_at: 4_000,
        units: 5,
        spare_units: 6,
    };
    vec![
        ("ask", DatagramBody::LeaseRequest(request)),
        ("grant", DatagramBody::LeaseGrant(grant)),
    ]
}

/// Each variant, under its label in the fixture.
fn bodies() -> Vec<(&'static str, DatagramBody)> {
    let observations = vec![
        observation(1, None),
        observation(2, Some(WorkerFault::Slow)),
        observation(3, Some(WorkerFault::Failing)),
        observation(4, Some(WorkerFault::Cold)),
        observation(5, Some(WorkerFault::Full)),
    ];
    let mut all = vec![
        ("hello", DatagramBody::Hello),
        ("swim", DatagramBody::Membership(vec![1, 2, 255])),
    ];
    all.extend(digests());
    all.extend(deltas());
    all.push(("have", DatagramBody::UsageAcknowledged(1_000)));
    all.extend(leases());
    all.push(("words", DatagramBody::Observations(observations)));
    all
}

fn senders() -> [Member; 2] {
    let address = |text: &str| text.parse().expect("an address");
    let mut renewed = Member::new("a-6", 1_790_000_000_000_001, address("[2001:db8::1]:7000"));
    renewed.renewals = 3;
    [Member::new("a", 7, address("10.0.0.1:7000")), renewed]
}

fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("it has a JSON form")
}

fn hex(bytes: &[u8]) -> String {
    let pairs: Vec<String> = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    pairs.concat()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2)
        .map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).expect("hexadecimal"))
        .collect()
}

#[test]
fn encoded_forms_are_as_recorded() {
    let codec = DatagramCodec::new([7; 32]);
    let mut lines = Vec::new();
    for (i, sender) in senders().into_iter().enumerate() {
        for (label, body) in bodies() {
            let sender = sender.clone();
            let encoded = codec.encode(&Datagram { sender, body }).expect("it fits");
            lines.push(format!("{label}_{i} {}\n", hex(&encoded)));
        }
    }
    assert_eq!(lines.concat(), DATAGRAMS);
    let mut recorded = DATAGRAMS.lines();
    for sender in senders() {
        for (label, body) in bodies() {
            let (_, text) = recorded
                .next()
                .expect("a line")
                .split_once(' ')
                .expect("two columns");
            let sender = sender.clone();
            assert_eq!(
                codec.decode(&bytes(text)),
                Ok(Datagram { sender, body }),
                "{label}"
            );
        }
    }
}

fn status(
    members: Vec<MemberStatus>,
    quotas: Vec<QuotaStatus>,
    rejected_datagrams: BTreeMap<String, u64>,
) -> FleetStatus {
    FleetStatus {
        name: "a".into(),
        incarnation: 7,
        replaced: false,
        stale: true,
        declared_dead: 1,
        membership_changes: 2,
        members,
        quotas,
        share_received: true,
        digest: "0123456789abcdef".into(),
        incarnations: 3,
        rows: 4,
        rejected_late: 5,
        observations: 6,
        received_datagrams: 8,
        rejected_datagrams,
        sent_bytes: 9,
        sent_datagrams: 10,
    }
}

fn full_status() -> FleetStatus {
    let member = |health, silent_ms| MemberStatus {
        name: "b".into(),
        incarnation: 8,
        health,
        silent_ms,
        lag: 9,
    };
    let loan = |member: &str, units| LoanStatus {
        member: member.into(),
        units,
    };
    let quota = QuotaStatus {
        name: "tenant-1".into(),
        units: 10,
        own: 1,
        borrowed: 2,
        in_use: 3,
        lent: vec![loan("c/9", 4)],
        borrowed_from: vec![loan("b", 2)],
    };
    let causes = [
        DatagramError::Truncated,
        DatagramError::ForeignFleet,
        DatagramError::UnsupportedVersion(2),
        DatagramError::BadMac,
        DatagramError::Malformed,
        DatagramError::StaleIncarnation,
        DatagramError::ClockAhead,
    ];
    status(
        vec![
            member(MemberHealth::Alive, Some(11)),
            member(MemberHealth::Suspect, None),
            member(MemberHealth::Down, Some(0)),
        ],
        vec![quota],
        causes.iter().map(|error| (error.to_string(), 1)).collect(),
    )
}

fn terms_fingerprint() -> u64 {
    QuotaTerms {
        member_names: vec![name("a"), name("b")],
        quotas: vec![
            Quota {
                name: name("tenant-1"),
                units: 10,
            },
            Quota {
                name: name("tenant-2"),
                units: 7,
            },
        ],
        unlent_floor: 1,
        lease: 2_000_000,
        max_use: 300_000,
        margin: 50_000,
    }
    .fingerprint()
}

/// Counters of two incarnations of `a` and one of `b`; the first incarnation of `a` is compacted into its
/// base.
fn compacted_counters() -> UsageCounters {
    let mut first = UsageCounters::new(Incarnation::new("a", 1));
    first.increment(
        key(1, "tenant-1"),
        &UsageValues::single(UsageMetric::Served, 5),
    );
    let mut second = UsageCounters::new(Incarnation::new("a", 2));
    second.increment(
        key(2, "tenant-2"),
        &UsageValues::single(UsageMetric::Failed, 3),
    );
    let mut other = UsageCounters::new(Incarnation::new("b", 9));
    other.increment(
        key(1, "tenant-1"),
        &UsageValues::single(UsageMetric::Attempts, 2),
    );
    for delta in first
        .own_deltas_since(0)
        .iter()
        .chain(&second.own_deltas_since(0))
    {
        other.merge(delta, 9);
    }
    assert_eq!(other.compact(0, 0, &[]), 1);
    other
}

#[test]
fn status_and_digests_are_as_recorded() {
    let counters = compacted_counters();
    let totals = counters.totals();
    let ejection = Ejection {
        worker: name("worker-1"),
        fault: WorkerFault::Failing,
        weight: 150,
        observers: 3,
    };
    let faults = [
        WorkerFault::Slow,
        WorkerFault::Failing,
        WorkerFault::Cold,
        WorkerFault::Full,
    ];
    let lines = [
        json(&status(vec![], vec![], BTreeMap::new())),
        json(&full_status()),
        json(&ejection),
        json(&faults),
        json(&observation(1, None).worker),
        json(&METRIC_NAMES),
        Incarnation::new("a", 7).to_string(),
        format!("terms {:016x}", terms_fingerprint()),
        format!("tally {} {}", totals.since, totals.digest),
        hex(&postcard::to_stdvec(&counters.summaries(None, 9)).expect("encodable")),
    ];
    assert_eq!(lines.join("\n") + "\n", STATUS);
}

/// All datagrams of a fleet under load, in order: they reflect each decision and each random draw.
#[test]
fn datagrams_of_a_simulated_fleet_are_as_recorded() {
    let mut simulation = Simulation::new(5, 1, 21);
    simulation.loss = 0.1;
    simulation.run(3 * SECOND, &[0], 1.0);
    simulation.partition(&[1, 2]);
    simulation.run(2 * SECOND, &[1, 3], 2.0);
    simulation.slow_links.clear();
    simulation.crash(4);
    simulation.run(300 * MS, &[2], 0.5);
    simulation.restart(4);
    simulation.members[3].paused_until = simulation.now + SECOND;
    simulation.run(15 * SECOND, &[4], 1.0);
    let status: Vec<String> = simulation
        .members
        .iter()
        .map(|member| json(&member.node.status(simulation.now)))
        .collect();
    assert_eq!(
        (
            simulation.sent_digest.finalize().to_hex()[..16].to_string(),
            blake3::hash(status.join("\n").as_bytes()).to_hex()[..16].to_string(),
            simulation.sent_bytes,
            simulation.counted,
            simulation.answered,
        ),
        (
            "2894c9b8d81a5363".into(),
            "01b912df505f206f".into(),
            3_926_269,
            13_121,
            13_040
        )
    );
}
