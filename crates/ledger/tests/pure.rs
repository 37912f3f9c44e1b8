//! Tests of the modules that need no disk: periods, ranges, block encoding, the gate and merging.

mod common;

use common::*;
use proptest::prelude::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use streamusher_ledger::entry::{pack, Answer, DamagedRow, Row, RowReader};
use streamusher_ledger::gate::{BookingDecision, Gate, OnFailure};
use streamusher_ledger::marks::Ranges;
use streamusher_ledger::period::{Period, Span};
use streamusher_ledger::reconcile::{Merged, Part};
use streamusher_ledger::sums::Usage;

#[rstest]
#[case::month("2026-12", 1_796_083_200, "2027-01")]
#[case::leap_february("2028-02", 1_832_976_000, "2028-03")]
#[case::day("2026-12-31", 1_798_675_200, "2027-01-01")]
#[case::hour("2026-12-31T23", 1_798_758_000, "2027-01-01T00")]
fn period_parses_its_name_and_yields_start_and_successor(
    #[case] name: &str,
    #[case] start: i64,
    #[case] next: &str,
) {
    let period: Period = name.parse().unwrap();
    assert_eq!(
        (period.start_s(), period.next().to_string().as_str()),
        (start, next)
    );
    assert_eq!(
        Period::of(period.span(), period.end_us() - 1),
        period,
        "the last microsecond belongs to the period"
    );
    assert_eq!(
        Period::of(period.span(), period.end_us()),
        period.next(),
        "the end belongs to the next period"
    );
}

#[rstest]
#[case("2026-13")]
#[case("2026-12-32")]
#[case("2026-12-01T24")]
#[case("1969-12")]
#[case("2026-1-1")]
#[case("")]
fn invalid_period_name_is_rejected(#[case] name: &str) {
    let why = name.parse::<Period>().unwrap_err().to_string();
    assert!(why.starts_with("not a period"), "{why}");
}

fn rows() -> impl Strategy<Value = Vec<Row>> {
    let row = (
        1u64..50,
        any::<u32>(),
        0u32..4,
        "[0-9a-f]{1,20}|[ -~]{1,40}",
        any::<Option<[u8; 16]>>(),
        any::<bool>(),
    );
    prop::collection::vec(row, 1..40).prop_map(|all| {
        let mut seq = 0;
        all.into_iter()
            .map(|(step, n, answer, operation, key, joined)| {
                seq += step;
                let answer =
                    [Answer::Served, Answer::Busy, Answer::Failed, Answer::Gone][answer as usize];
                let (tenant, class, slots_milli) = (n, n % 5, n);
                let (run_us, wasted_us, attempts) = (u64::from(n) * 3, u64::from(n), n % 5);
                // Times may decrease, because the system clock may step back.
                let time_us = DECEMBER.wrapping_add_signed(i64::from(n as i32));
                Row {
                    seq,
                    time_us,
                    tenant,
                    class,
                    answer,
                    joined,
                    slots_milli,
                    run_us,
                    wasted_us,
                    attempts,
                    operation,
                    key,
                }
            })
            .collect()
    })
}

fn block(rows: &[Row]) -> (Vec<u8>, Vec<usize>) {
    let (mut bytes, mut ends, mut before) = (Vec::new(), Vec::new(), (rows[0].seq, DECEMBER));
    for row in rows {
        pack(row, before, &mut bytes);
        ends.push(bytes.len());
        before = (row.seq, row.time_us);
    }
    (bytes, ends)
}

proptest! {
    #[test]
    fn encoded_block_decodes_to_its_rows(rows in rows()) {
        let (bytes, _) = block(&rows);
        let read: Result<Vec<Row>, DamagedRow> = RowReader::new(&bytes, (rows[0].seq, DECEMBER)).collect();
        prop_assert_eq!(read, Ok(rows));
    }

    #[test]
    fn flipped_bit_is_attributed_to_its_row(rows in rows(), at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let (mut bytes, ends) = block(&rows);
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let changed = ends.iter().position(|end| at < *end).unwrap();
        let bad = RowReader::new(&bytes, (rows[0].seq, DECEMBER)).find_map(Result::err);
        prop_assert_eq!(bad, Some(DamagedRow(changed as u64)));
    }

    #[test]
    fn ranges_equal_the_set_of_added_numbers(numbers in prop::collection::vec((1u64..80, 0u64..6), 0..40)) {
        let (mut ranges, mut set) = (Ranges::default(), BTreeSet::new());
        for (first, more) in numbers {
            ranges.add_range(first, first + more);
            set.extend(first..=first + more);
        }
        prop_assert!((0..90).all(|n| ranges.contains(n) == set.contains(&n)));
        let listed: Vec<(u64, u64)> = ranges.iter().collect();
        prop_assert!(listed.windows(2).all(|w| w[0].1 + 1 < w[1].0), "ranges are adjacent or overlap: {listed:?}");
        let gaps: BTreeSet<u64> = ranges.gaps(1).into_iter().flat_map(|(a, b)| a..=b).collect();
        let missing: BTreeSet<u64> = (1..set.last().copied().unwrap_or(1)).filter(|n| !set.contains(n)).collect();
        prop_assert_eq!(gaps, missing);
    }

    #[test]
    fn merging_is_commutative_idempotent_and_associative(picks in prop::collection::vec((0u8..3, 0u8..3, 0u8..2), 0..12), cut in any::<prop::sample::Index>()) {
        let parts: Vec<Part> = picks.iter().map(|&(i, p, id)| part(i, p, id)).collect();
        let merge = |parts: &mut dyn Iterator<Item = &Part>| {
            let mut all = Merged::default();
            parts.for_each(|p| all.add(p.clone()));
            all
        };
        let forward = merge(&mut parts.iter());
        prop_assert_eq!(&merge(&mut parts.iter().rev()), &forward, "commutative");
        prop_assert_eq!(&merge(&mut parts.iter().chain(&parts)), &forward, "idempotent");
        let (a, b) = parts.split_at(if parts.is_empty() { 0 } else { cut.index(parts.len()) });
        let mut merged_halves = merge(&mut a.iter());
        merged_halves.merge(merge(&mut b.iter()));
        prop_assert_eq!(&merged_halves, &forward, "associative");
        // Conflicting periods are not billed.
        let counted: BTreeSet<(u8, u8)> = picks.iter().map(|p| (p.0, p.1)).collect();
        let alone = counted.iter().filter(|&&(i, p)| !(picks.contains(&(i, p, 0)) && picks.contains(&(i, p, 1))));
        let served: u64 = forward.bill(str::to_string).unwrap().values().map(|u| u.served).sum();
        prop_assert_eq!(served, alone.count() as u64);
    }

    #[test]
    fn gate_holds_each_answer_at_most_until_its_deadline(steps in prop::collection::vec((0u8..4, 1u64..3_000), 1..200)) {
        let mut gate = Gate::new(OnFailure::Refuse, 2_000, 8);
        let (mut now, mut held_until) = (0u64, BTreeMap::<u64, u64>::new());
        let mut numbers = 0;
        for (action, elapsed) in steps {
            now += elapsed;
            let due: Vec<u64> = held_until.iter().filter(|(_, until)| **until <= now).map(|(n, _)| *n).collect();
            for seq in due {
                held_until.remove(&seq);
                prop_assert!(gate.on_overdue(seq), "a held entry is not durable");
                prop_assert!(!gate.accepts_work(), "no new work is accepted while the disk does not keep up");
            }
            match action {
                0 | 1 => {
                    numbers += 1;
                    match gate.book(now, now + 1_000) {
                        BookingDecision::Hold { seq, until } => {
                            prop_assert_eq!(seq, numbers, "sequence numbers ascend without gaps");
                            prop_assert!(until <= now + 1_000);
                            prop_assert!(until > now || !gate.is_trusted());
                            held_until.insert(seq, until);
                        }
                        BookingDecision::Unbooked => {}
                    }
                }
                2 => gate.on_failed(),
                _ => {
                    let first = held_until.keys().next().copied();
                    if let Some(seq) = first {
                        held_until.remove(&seq);
                    }
                }
            }
        }
    }
}

fn part(instance: u8, period: u8, id: u8) -> Part {
    let sums = Usage {
        served: 1,
        ..Usage::default()
    };
    Part {
        instance: format!("n{instance}"),
        period: Period::of(Span::Hour, DECEMBER + u64::from(period) * HOUR),
        id: id.to_string(),
        seal: String::new(),
        before: String::new(),
        entries: 1,
        lines: BTreeMap::from([(("hydrology".into(), "depth-log".into()), sums)]),
        numbers: BTreeMap::new(),
        doubts: Vec::new(),
        settles: Vec::new(),
    }
}

#[test]
fn gate_trusts_the_disk_again_once_entries_become_durable() {
    let mut gate = Gate::new(OnFailure::Refuse, 2_000, 3);
    gate.on_failed();
    assert!(!gate.accepts_work() && !gate.releases_unbooked());
    assert_eq!(
        gate.book(10, 9_000),
        BookingDecision::Hold {
            seq: 1,
            until: 2_010
        },
        "a result that must not be released unbooked waits for the disk"
    );
    assert!(gate.on_overdue(1));
    gate.on_durable(1, 1);
    assert!(gate.accepts_work() && !gate.on_overdue(1));
    assert_eq!(gate.late, 1);
}

#[test]
fn releasable_answers_do_not_wait_for_a_failing_disk() {
    let mut gate = Gate::new(OnFailure::ServeUnbilled, 2_000, 3);
    assert_eq!(
        gate.book(0, 9_000),
        BookingDecision::Hold {
            seq: 1,
            until: 2_000
        }
    );
    gate.on_failed();
    assert!(gate.accepts_work() && gate.releases_unbooked() && !gate.is_trusted());
    assert_eq!(
        gate.book(10, 9_000),
        BookingDecision::Hold { seq: 2, until: 10 },
        "answers do not wait while the disk fails"
    );
    assert!(gate.on_overdue(2));
    assert_eq!(
        gate.book(20, 9_000),
        BookingDecision::Hold { seq: 3, until: 20 }
    );
    assert_eq!(
        gate.book(30, 9_000),
        BookingDecision::Unbooked,
        "the limit of waiting entries is reached"
    );
    gate.on_durable(3, 3);
    assert!(gate.is_trusted() && !gate.on_overdue(3));
    assert_eq!(
        gate.book(40, 9_000),
        BookingDecision::Hold {
            seq: 5,
            until: 2_040
        },
        "the unbooked answer leaves a gap in the numbers"
    );
    assert_eq!((gate.late, gate.unbooked), (1, 1));
}

#[test]
fn overflow_of_totals_is_an_error() {
    let mut most = Usage {
        slot_us: u128::MAX,
        ..Usage::default()
    };
    assert!(most
        .add(&Usage {
            slot_us: 1,
            ..Usage::default()
        })
        .is_err());
    assert!(most.billed_slot_us().is_err());
}
