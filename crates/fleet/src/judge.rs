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
        Judgements {
            me,
            seq: 0,
            words: BTreeMap::new(),
            kept: 0,
            good: BTreeMap::new(),
            cursor: None,
        }
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
        let kept = Kept {
            no: self.me.no,
            seq: self.seq,
            fault,
            weight: weight.clamp(1, 100),
            until,
        };
        self.keep(worker, self.me.name.clone(), kept);
    }

    /// Others' words. Those about itself as an author are not taken: only a life makes its own.
    pub fn hear(&mut self, now: Micros, words: &[Word]) {
        let me = self.me.name.clone();
        for w in words
            .iter()
            .filter(|w| w.author.name != me && w.left_ms > 0)
        {
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
            let mut ends: Vec<Micros> = self
                .words
                .values()
                .flat_map(|by| by.values().map(|k| k.until))
                .collect();
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
            author: Life {
                name: author.clone(),
                no: k.no,
            },
            seq: k.seq,
            fault: k.fault,
            weight: k.weight,
            left_ms: (k.until.saturating_sub(now) / 1_000) as u32,
        };
        let all = || {
            self.words
                .iter()
                .flat_map(|(w, by)| by.iter().map(move |(a, k)| (w, a, k)))
        };
        let behind =
            |w: &Worker, a: &Arc<str>| self.cursor.as_ref().is_some_and(|c| (w, a) <= (&c.0, &c.1));
        let first = all().filter(|(w, a, _)| !behind(w, a));
        let then = all().filter(|(w, a, _)| behind(w, a));
        let chosen: Vec<Word> = first
            .chain(then)
            .take(most)
            .map(|(w, a, k)| word(w, a, k))
            .collect();
        self.cursor = chosen
            .last()
            .map(|w| (w.worker.clone(), w.author.name.clone()));
        chosen
    }

    /// What all that is heard comes to, for these workers and their zones: the worst first, and of each zone no more than
    /// the rules allow. A worker that has served this member lately is not among them; its own evidence counts alone as
    /// little as anybody's.
    pub fn verdicts(
        &self,
        now: Micros,
        rules: Rules,
        workers: &[(Worker, Arc<str>)],
    ) -> Vec<Verdict> {
        let mut found: Vec<(Verdict, &Arc<str>)> = Vec::new();
        let mut sizes: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        for (worker, zone) in workers {
            *sizes.entry(zone).or_default() += 1;
            if self.good.get(worker).is_some_and(|until| *until > now) {
                continue;
            }
            let mut faults: BTreeMap<Fault, (u32, usize)> = BTreeMap::new();
            for k in self
                .words
                .get(worker)
                .into_iter()
                .flat_map(BTreeMap::values)
                .filter(|k| k.until > now)
            {
                let Some(fault) = k.fault else { continue };
                let sum = faults.entry(fault).or_default();
                *sum = (sum.0 + u32::from(k.weight), sum.1 + 1);
            }
            let worst = faults.into_iter().max_by_key(|(_, sum)| *sum);
            if let Some((fault, (weight, authors))) =
                worst.filter(|w| w.1 .1 >= rules.quorum.max(1))
            {
                found.push((
                    Verdict {
                        worker: worker.0.clone(),
                        fault,
                        weight,
                        authors,
                    },
                    zone,
                ));
            }
        }
        found.sort_by(|(a, _), (b, _)| {
            b.weight
                .cmp(&a.weight)
                .then_with(|| a.worker.cmp(&b.worker))
        });
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
