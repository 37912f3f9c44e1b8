//! Judgements on workers: who is believed, for how long, and how much of a zone.

use proptest::prelude::*;
use std::sync::Arc;
use streamusher_fleet::judge::*;
use streamusher_fleet::{Life, Micros};

const RULES: Rules = Rules {
    quorum: 3,
    most_part: 0.34,
};
const SECOND: Micros = 1_000_000;

fn worker(n: usize) -> Worker {
    (Arc::from(format!("w{n}")), 7)
}

fn workers(n: usize) -> Vec<(Worker, Arc<str>)> {
    (0..n)
        .map(|i| (worker(i), Arc::from(if i < n / 2 { "a" } else { "b" })))
        .collect()
}

fn member(n: usize, life: u64) -> Judgements {
    Judgements::new(Life::new(&format!("m{n}"), life))
}

/// Members 0 to `authors` find worker 0 failing; what member 9 then makes of it.
fn judged(authors: usize) -> (Judgements, Vec<Verdict>) {
    let mut all = member(9, 1);
    for n in 0..authors {
        let mut m = member(n, 1);
        m.observe(0, worker(0), Fault::Failing, 50, 10 * SECOND);
        all.hear(0, &m.words(0, 9));
    }
    let verdicts = all.verdicts(SECOND, RULES, &workers(8));
    (all, verdicts)
}

#[test]
fn few_authors_are_not_believed_and_none_counts_twice() {
    assert_eq!(judged(2).1, []);
    let (mut all, verdicts) = judged(3);
    assert_eq!(
        (verdicts.len(), verdicts[0].authors, verdicts[0].weight),
        (1, 3, 150)
    );
    // Two of them again, one by a new life: still three authors.
    for (n, life) in [(0, 1), (1, 2)] {
        let mut m = member(n, life);
        m.observe(0, worker(0), Fault::Failing, 50, 10 * SECOND);
        all.hear(SECOND, &m.words(0, 9));
    }
    assert_eq!(all.verdicts(SECOND, RULES, &workers(8))[0].authors, 3);
}

#[test]
fn it_ends_by_itself_and_own_evidence_goes_first() {
    let (mut all, _) = judged(4);
    assert_eq!(all.verdicts(9 * SECOND, RULES, &workers(8)).len(), 1);
    all.vindicate(9 * SECOND, worker(0), SECOND / 2);
    assert_eq!(
        all.verdicts(9 * SECOND, RULES, &workers(8)),
        [],
        "it has just served here"
    );
    assert_eq!(
        all.verdicts(9 * SECOND + SECOND / 2, RULES, &workers(8))
            .len(),
        1
    );
    assert_eq!(
        all.verdicts(10 * SECOND, RULES, &workers(8)),
        [],
        "the words have ended"
    );
    all.tick(10 * SECOND);
    assert!(all.is_empty());
    // A worker that begins again is another life, of which nothing was said.
    let begun = vec![((Arc::from("w0"), 8), Arc::from("a"))];
    assert_eq!(judged(4).0.verdicts(SECOND, RULES, &begun), []);
}

#[test]
fn a_word_that_is_repeated_does_not_last_longer_and_one_taken_back_ends() {
    let (mut one, mut other) = (member(1, 1), member(2, 1));
    one.observe(0, worker(0), Fault::Slow, 10, 2 * SECOND);
    let said = one.words(0, 9);
    other.hear(0, &said);
    other.hear(SECOND, &said);
    let rules = Rules {
        quorum: 1,
        most_part: 1.0,
    };
    assert_eq!(other.verdicts(2 * SECOND, rules, &workers(4)), []);
    one.vindicate(SECOND, worker(0), 0);
    other.hear(SECOND, &one.words(SECOND, 9));
    assert_eq!(other.verdicts(SECOND, rules, &workers(4)), []);
}

#[test]
fn all_together_shun_no_more_than_a_part_of_a_zone() {
    let mut all = member(9, 1);
    for n in 0..6 {
        let mut m = member(n, 1);
        (0..8).for_each(|w| m.observe(0, worker(w), Fault::Failing, 10 + w as u8, 10 * SECOND));
        all.hear(0, &m.words(0, 99));
    }
    let verdicts = all.verdicts(SECOND, RULES, &workers(8));
    let names: Vec<&str> = verdicts.iter().map(|v| &*v.worker).collect();
    assert_eq!(names, ["w7", "w3"], "one of four in each zone, the worst");
}

proptest! {
    /// In whatever order words come, and how often: the end is the same, and bounded.
    #[test]
    fn merging_is_the_same_in_any_order(
        said in proptest::collection::vec((0usize..5, 0usize..4, 1u8..100, 1u32..9_000), 1..40), seed in any::<u64>(),
    ) {
        let mut words: Vec<Word> = said.iter().enumerate().map(|(seq, &(author, w, weight, left_ms))| Word {
            worker: worker(w),
            author: Life::new(&format!("m{author}"), 1),
            seq: seq as u64,
            fault: (weight % 5 > 0).then_some(Fault::Full),
            weight,
            left_ms,
        }).collect();
        let (mut one, mut other) = (member(9, 1), member(9, 1));
        one.hear(0, &words);
        let n = words.len();
        (0..n).for_each(|i| words.swap(i, (seed as usize).wrapping_mul(i + 7) % n));
        other.hear(0, &words);
        other.hear(0, &words);
        let rules = Rules { quorum: 2, most_part: 1.0 };
        prop_assert_eq!(one.verdicts(1, rules, &workers(4)), other.verdicts(1, rules, &workers(4)));
        prop_assert_eq!(one.len(), other.len());
    }
}
