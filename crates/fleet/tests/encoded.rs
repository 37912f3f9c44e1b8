//! The encoded forms of this crate, held byte for byte: datagrams, status JSON, digests, and all that a fleet sends in a
//! simulated run. A changed byte is a new version of the datagram format, or a changed key of the operators' JSON.
//!
//! Datagrams are encoded by position (postcard), so the order of fields and variants is part of the form.

mod world;

use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_fleet::counts::{Counts, Delta, Holds};
use streamusher_fleet::frame::{Bad, Body, Frame, Sealer};
use streamusher_fleet::judge::{Fault, Verdict, Word};
use streamusher_fleet::members::{Member, Standing};
use streamusher_fleet::rights::{Ask, Budget, Grant, Terms};
use streamusher_fleet::show::{Held, Seen, Show};
use streamusher_fleet::units::{Key, Unit, Units, NAMES};
use streamusher_fleet::Life;
use world::{World, MS, SECOND};

const DATAGRAMS: &str = include_str!("fixtures/encoded/datagrams.txt");
const STATUS: &str = include_str!("fixtures/encoded/status.txt");

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

fn key(period: u32, tenant: &str) -> Key {
    Key {
        period,
        tenant: name(tenant),
    }
}

fn units() -> Units {
    Units([1, 2, 3, 4, 5, 6, 7, 8, 900, u64::MAX])
}

fn word(seq: u64, fault: Option<Fault>) -> Word {
    Word {
        worker: (name("worker-1"), 1_790_000_000_123),
        author: Life::new("b", 8),
        seq,
        fault,
        weight: 60,
        left_ms: 9_000,
    }
}

fn digests() -> Vec<(&'static str, Body)> {
    let holds = |lives| Holds {
        name: name("c"),
        upto: 6,
        mark: 0xdead_beef,
        lives,
    };
    let digest = |from, last, holds, answer| Body::Digest {
        from,
        last,
        holds,
        answer,
    };
    vec![
        ("digest_empty", digest(None, true, vec![], true)),
        (
            "digest",
            digest(
                Some(name("b")),
                false,
                vec![holds(vec![]), holds(vec![(7, 300), (9, 1)])],
                false,
            ),
        ),
    ]
}

fn bodies() -> Vec<(&'static str, Body)> {
    let mut all = vec![
        ("hello", Body::Hello),
        ("swim", Body::Swim(vec![1, 2, 255])),
    ];
    all.extend(digests());
    all.extend([
        (
            "rows_of_a_life",
            Body::Rows(vec![Delta::Life {
                life: Life::new("c", 7),
                after: 1,
                upto: 300,
                rows: vec![(key(3, "tenant-1"), 299, units())],
            }]),
        ),
        (
            "rows_of_a_base",
            Body::Rows(vec![Delta::Base {
                name: name("c"),
                first: 5,
                upto: 6,
                total: 1,
                rows: vec![(key(2, ""), units())],
            }]),
        ),
        ("have", Body::Have(1_000)),
        (
            "ask",
            Body::Ask(Ask {
                terms: 1,
                budget: 2,
                seq: 3,
                at: 4_000,
                keeps: 5,
                wants: 6,
            }),
        ),
        (
            "grant",
            Body::Grant(Grant {
                terms: 1,
                budget: 2,
                seq: 3,
                at: 4_000,
                units: 5,
                spare: 6,
            }),
        ),
        (
            "words",
            Body::Words(vec![
                word(1, None),
                word(2, Some(Fault::Slow)),
                word(3, Some(Fault::Failing)),
                word(4, Some(Fault::Cold)),
                word(5, Some(Fault::Full)),
            ]),
        ),
    ]);
    all
}

fn senders() -> [Member; 2] {
    let address = |text: &str| text.parse().expect("an address");
    let mut renewed = Member::new("a-6", 1_790_000_000_000_001, address("[2001:db8::1]:7000"));
    renewed.raised = 3;
    [Member::new("a", 7, address("10.0.0.1:7000")), renewed]
}

fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("it has a JSON form")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2)
        .map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).expect("hexadecimal"))
        .collect()
}

#[test]
fn encoded_forms_are_as_recorded() {
    let sealer = Sealer::new([7; 32]);
    let mut lines = String::new();
    for (i, from) in senders().into_iter().enumerate() {
        for (label, body) in bodies() {
            let from = from.clone();
            let sealed = sealer.seal(&Frame { from, body }).expect("it fits");
            lines += &format!("{label}_{i} {}\n", hex(&sealed));
        }
    }
    assert_eq!(lines, DATAGRAMS);
    let mut recorded = DATAGRAMS.lines();
    for from in senders() {
        for (label, body) in bodies() {
            let (_, text) = recorded
                .next()
                .expect("a line")
                .split_once(' ')
                .expect("two columns");
            let from = from.clone();
            assert_eq!(
                sealer.open(&bytes(text)),
                Ok(Frame { from, body }),
                "{label}"
            );
        }
    }
}

fn status(members: Vec<Seen>, budgets: Vec<Held>, bad: BTreeMap<String, u64>) -> Show {
    Show {
        name: "a".into(),
        life: 7,
        replaced: false,
        stale: true,
        thought_dead: 1,
        membership_changes: 2,
        members,
        budgets,
        seated: true,
        digest: "0123456789abcdef".into(),
        lives: 3,
        rows: 4,
        refused_late: 5,
        observations: 6,
        frames: 8,
        bad,
        sent_bytes: 9,
        sent_frames: 10,
    }
}

fn full_status() -> Show {
    let member = |standing, silent_ms| Seen {
        name: "b".into(),
        life: 8,
        standing,
        silent_ms,
        lag: 9,
    };
    let budget = Held {
        name: "tenant-1".into(),
        units: 10,
        own: 1,
        borrowed: 2,
        used: 3,
        lent: vec![("c/9".into(), 4)],
        from: vec![("b".into(), 2)],
    };
    let causes = [
        Bad::Cut,
        Bad::Foreign,
        Bad::Version(2),
        Bad::Spoilt,
        Bad::Unreadable,
        Bad::EarlierLife,
        Bad::Clock,
    ];
    status(
        vec![
            member(Standing::Alive, Some(11)),
            member(Standing::Suspect, None),
            member(Standing::Down, Some(0)),
        ],
        vec![budget],
        causes.iter().map(|bad| (bad.to_string(), 1)).collect(),
    )
}

fn terms_mark() -> u64 {
    Terms {
        seats: vec![name("a"), name("b")],
        budgets: vec![
            Budget {
                name: name("tenant-1"),
                units: 10,
            },
            Budget {
                name: name("tenant-2"),
                units: 7,
            },
        ],
        floor: 1,
        lease: 2_000_000,
        hold: 300_000,
        margin: 50_000,
    }
    .mark()
}

/// Counts of two incarnations of `a` and one of `b`, the first of `a` folded into its base, with its digest's mark.
fn folded_counts() -> Counts {
    let mut first = Counts::new(Life::new("a", 1));
    first.raise(key(1, "tenant-1"), &Units::one(Unit::Served, 5));
    let mut second = Counts::new(Life::new("a", 2));
    second.raise(key(2, "tenant-2"), &Units::one(Unit::Failed, 3));
    let mut other = Counts::new(Life::new("b", 9));
    other.raise(key(1, "tenant-1"), &Units::one(Unit::Attempts, 2));
    for delta in first.own_since(0).iter().chain(&second.own_since(0)) {
        other.merge(delta, 9);
    }
    assert_eq!(other.fold(0, 0, &[]), 1);
    other
}

#[test]
fn status_and_digests_are_as_recorded() {
    let counts = folded_counts();
    let tally = counts.tally();
    let verdict = Verdict {
        worker: name("worker-1"),
        fault: Fault::Failing,
        weight: 150,
        authors: 3,
    };
    let faults = [Fault::Slow, Fault::Failing, Fault::Cold, Fault::Full];
    let lines = [
        json(&status(vec![], vec![], BTreeMap::new())),
        json(&full_status()),
        json(&verdict),
        json(&faults),
        json(&word(1, None).worker),
        json(&NAMES),
        Life::new("a", 7).to_string(),
        format!("terms {:016x}", terms_mark()),
        format!("tally {} {}", tally.since, tally.digest),
        hex(&postcard::to_stdvec(&counts.digest(None, 9)).expect("encodable")),
    ];
    assert_eq!(lines.join("\n") + "\n", STATUS);
}

/// All datagrams of a fleet under load, in order: each decision and each random draw shows in them.
#[test]
fn datagrams_of_a_simulated_fleet_are_as_recorded() {
    let mut world = World::new(5, 1, 21);
    world.loss = 0.1;
    world.run(3 * SECOND, &[0], 1.0);
    world.part(&[1, 2]);
    world.run(2 * SECOND, &[1, 3], 2.0);
    world.cut.clear();
    world.kill(4);
    world.run(300 * MS, &[2], 0.5);
    world.begin(4);
    world.members[3].stopped_until = world.now + SECOND;
    world.run(15 * SECOND, &[4], 1.0);
    let status: Vec<String> = world
        .members
        .iter()
        .map(|member| json(&member.node.show(world.now)))
        .collect();
    assert_eq!(
        (
            world.sent_digest.finalize().to_hex()[..16].to_string(),
            blake3::hash(status.join("\n").as_bytes()).to_hex()[..16].to_string(),
            world.bytes,
            world.raised,
            world.answered,
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
