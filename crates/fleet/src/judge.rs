//! Judgements on core workers: what members say of one worker's life, merged so that nobody counts twice, few cannot have a
//! worker shunned, and all of them together no more than a part of a zone.
//!
//! An observation ends by itself; only its author makes it again. The author's own evidence goes before what is heard:
//! a worker that has just served this member is good here, whatever the others say.

use crate::life::{Life, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What is wrong with a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// It takes longer than others of its kind.
    Slow,
    /// Attempts fail there.
    Failing,
    /// It has just started.
    Cold,
    /// It turns work away.
    Full,
}

/// One life of a worker: its name in discovery, and when it started, in Unix milliseconds.
pub type Worker = (Arc<str>, u64);

/// One member's observation, as it goes over the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// Of whom.
    pub worker: Worker,
    /// Whose.
    pub author: Life,
    /// Counts the author's words: a later one of the same worker stands for the earlier.
    pub seq: u64,
    /// What; none takes an earlier word back.
    pub fault: Option<Fault>,
    /// How sure the author is, 1 to 100.
    pub weight: u8,
    /// It holds for so much longer, in milliseconds.
    pub left_ms: u32,
}

/// When members together are believed.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// At least so many authors.
    pub quorum: usize,
    /// At most this part of a zone's workers is shunned.
    pub most_part: f64,
}

/// What all that is heard comes to for one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Of whom.
    pub worker: Arc<str>,
    /// The fault that weighs most.
    pub fault: Fault,
    /// The sum of its authors' weights.
    pub weight: u32,
    /// How many they are.
    pub authors: usize,
}

#[derive(Clone, Debug)]
struct Kept {
    no: u64,
    seq: u64,
    fault: Option<Fault>,
    weight: u8,
    until: Micros,
}

/// The longest time that an observation holds, whatever its author says.
pub const LONGEST: Micros = 30_000_000;
/// Observations kept at most; beyond it those that end first go.
pub const MOST: usize = 4_096;

/// All observations that one member knows.
#[derive(Clone, Debug)]
pub struct Judgements {
    me: Life,
    seq: u64,
    /// By worker, then by author's name: no author counts twice, not even by two lives.
    words: BTreeMap<Worker, BTreeMap<Arc<str>, Kept>>,
    kept: usize,
    /// Workers that served this member itself, and until when that goes before what is heard.
    good: BTreeMap<Worker, Micros>,
    cursor: Option<(Worker, Arc<str>)>,
}

impl Judgements {
    /// Nothing yet.
    pub fn new(me: Life) -> Judgements {
        Judgements { me, seq: 0, words: BTreeMap::new(), kept: 0, good: BTreeMap::new(), cursor: None }
    }

    /// This member's own observation, for so long.
    pub fn observe(&mut self, now: Micros, worker: Worker, fault: Fault, weight: u8, time: Micros) {
        self.good.remove(&worker);
        self.say(now, worker, Some(fault), weight, time);
    }

    /// The worker has served this member: its own word, if it had one, is taken back, and others' are not heeded for so
    /// long.
    pub fn vindicate(&mut self, now: Micros, worker: Worker, time: Micros) {
        let mine = self.words.get(&worker).and_then(|w| w.get(&self.me.name));
        if mine.is_some_and(|m| m.fault.is_some() && m.until > now) {
            self.say(now, worker.clone(), None, 1, LONGEST);
        }
        self.good.insert(worker, now.saturating_add(time));
    }

    fn say(&mut self, now: Micros, worker: Worker, fault: Option<Fault>, weight: u8, time: Micros) {
        self.seq += 1;
        let until = now.saturating_add(time.min(LONGEST));
        let kept = Kept { no: self.me.no, seq: self.seq, fault, weight: weight.clamp(1, 100), until };
        self.keep(worker, self.me.name.clone(), kept);
    }

    /// Others' words. Those about itself as an author are not taken: only a life makes its own.
    pub fn hear(&mut self, now: Micros, words: &[Word]) {
        let me = self.me.name.clone();
        for w in words.iter().filter(|w| w.author.name != me && w.left_ms > 0) {
            let left = (Micros::from(w.left_ms) * 1_000).min(LONGEST);
            let kept = Kept {
                no: w.author.no,
                seq: w.seq,
                fault: w.fault,
                weight: w.weight.clamp(1, 100),
                until: now.saturating_add(left),
            };
            self.keep(w.worker.clone(), w.author.name.clone(), kept);
        }
    }

    /// The later word of one author stands; the same word again does not last longer.
    fn keep(&mut self, worker: Worker, author: Arc<str>, new: Kept) {
        let by_author = self.words.entry(worker).or_default();
        match by_author.get_mut(&author) {
            Some(old) if (old.no, old.seq) < (new.no, new.seq) => *old = new,
            Some(_) => {}
            None => {
                by_author.insert(author, new);
                self.kept += 1;
            }
        }
    }

    /// Drops what has ended, and what is too much.
    pub fn tick(&mut self, now: Micros) {
        self.good.retain(|_, until| *until > now);
        self.words.retain(|_, by| {
            by.retain(|_, k| k.until > now);
            !by.is_empty()
        });
        self.kept = self.words.values().map(BTreeMap::len).sum();
        if self.kept > MOST {
            let mut ends: Vec<Micros> =
                self.words.values().flat_map(|by| by.values().map(|k| k.until)).collect();
            ends.sort_unstable_by(|a, b| b.cmp(a));
            let least = ends[MOST];
            self.words.retain(|_, by| {
                by.retain(|_, k| k.until > least);
                !by.is_empty()
            });
            self.kept = self.words.values().map(BTreeMap::len).sum();
        }
    }

    /// Some words for another member, others each time.
    pub fn words(&mut self, now: Micros, most: usize) -> Vec<Word> {
        let word = |worker: &Worker, author: &Arc<str>, k: &Kept| Word {
            worker: worker.clone(),
            author: Life { name: author.clone(), no: k.no },
            seq: k.seq,
            fault: k.fault,
            weight: k.weight,
            left_ms: (k.until.saturating_sub(now) / 1_000) as u32,
        };
        let all = || self.words.iter().flat_map(|(w, by)| by.iter().map(move |(a, k)| (w, a, k)));
        let behind = |w: &Worker, a: &Arc<str>| self.cursor.as_ref().is_some_and(|c| (w, a) <= (&c.0, &c.1));
        let first = all().filter(|(w, a, _)| !behind(w, a));
        let then = all().filter(|(w, a, _)| behind(w, a));
        let chosen: Vec<Word> = first.chain(then).take(most).map(|(w, a, k)| word(w, a, k)).collect();
        self.cursor = chosen.last().map(|w| (w.worker.clone(), w.author.name.clone()));
        chosen
    }

    /// What all that is heard comes to, for these workers and their zones: the worst first, and of each zone no more than
    /// the rules allow. A worker that has served this member lately is not among them; its own evidence counts alone as
    /// little as anybody's.
    pub fn verdicts(&self, now: Micros, rules: Rules, workers: &[(Worker, Arc<str>)]) -> Vec<Verdict> {
        let mut found: Vec<(Verdict, &Arc<str>)> = Vec::new();
        let mut sizes: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        for (worker, zone) in workers {
            *sizes.entry(zone).or_default() += 1;
            if self.good.get(worker).is_some_and(|until| *until > now) {
                continue;
            }
            let mut faults: BTreeMap<Fault, (u32, usize)> = BTreeMap::new();
            for k in self.words.get(worker).into_iter().flat_map(BTreeMap::values).filter(|k| k.until > now) {
                let Some(fault) = k.fault else { continue };
                let sum = faults.entry(fault).or_default();
                *sum = (sum.0 + u32::from(k.weight), sum.1 + 1);
            }
            let worst = faults.into_iter().max_by_key(|(_, sum)| *sum);
            if let Some((fault, (weight, authors))) = worst.filter(|w| w.1 .1 >= rules.quorum.max(1)) {
                found.push((Verdict { worker: worker.0.clone(), fault, weight, authors }, zone));
            }
        }
        found.sort_by(|(a, _), (b, _)| b.weight.cmp(&a.weight).then_with(|| a.worker.cmp(&b.worker)));
        let mut taken: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        found.retain(|(_, zone)| {
            let most = (sizes[zone] as f64 * rules.most_part) as usize;
            let n = taken.entry(zone).or_default();
            *n += 1;
            *n <= most
        });
        found.into_iter().map(|(verdict, _)| verdict).collect()
    }

    /// Observations held.
    pub fn len(&self) -> usize {
        self.kept
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.kept == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const RULES: Rules = Rules { quorum: 3, most_part: 0.34 };
    const SECOND: Micros = 1_000_000;

    fn worker(n: usize) -> Worker {
        (Arc::from(format!("w{n}")), 7)
    }

    fn workers(n: usize) -> Vec<(Worker, Arc<str>)> {
        (0..n).map(|i| (worker(i), Arc::from(if i < n / 2 { "a" } else { "b" }))).collect()
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
        assert_eq!((verdicts.len(), verdicts[0].authors, verdicts[0].weight), (1, 3, 150));
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
        assert_eq!(all.verdicts(9 * SECOND, RULES, &workers(8)), [], "it has just served here");
        assert_eq!(all.verdicts(9 * SECOND + SECOND / 2, RULES, &workers(8)).len(), 1);
        assert_eq!(all.verdicts(10 * SECOND, RULES, &workers(8)), [], "the words have ended");
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
        let rules = Rules { quorum: 1, most_part: 1.0 };
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
}
