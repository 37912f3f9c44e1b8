//! Which workers there are, from all sources together, and what each change means. No I/O, told the time.
//!
//! Sources are merged by precedence: the first that names a worker says what it is. A worker that no source names any
//! more drains, and is gone when its jobs must have ended. Invariants, asserted after each change: the generation
//! grows with every change and only then; a worker that no source names is never ready; a draining worker that comes
//! back at its address keeps its life, one at a new address begins a new one, and so is cold.

use crate::host::Host;
use imbl::OrdMap;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Microseconds, as a point in time or a span.
pub type Micros = u64;

/// What one change may do, and how long a drain lasts.
#[derive(Clone, Debug)]
pub struct Rules {
    /// From the last word that named a worker until it is gone: the longest deadline.
    pub drain_us: Micros,
    /// Part of a zone's ready workers that one change may drain; one worker always may be.
    pub most_drained: f64,
    /// A word may name nobody.
    pub empty: bool,
}

/// What a worker is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes work.
    Ready,
    /// It finishes what it has, since then.
    Draining(Micros),
}

/// A worker in a set.
#[derive(Clone, Debug, PartialEq)]
pub struct Seat {
    /// What its source last said.
    pub host: Arc<Host>,
    /// The source that says so.
    pub source: usize,
    /// What it is at.
    pub state: State,
    /// When this life of it began; 0 for those that were there from the start.
    pub since: Micros,
}

/// All workers at one moment. Cloning it costs next to nothing, and a clone never changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Set {
    /// Grows with every change.
    pub generation: u64,
    /// The workers by their names.
    pub seats: OrdMap<Arc<str>, Seat>,
}

/// Why a word was not taken; the set stays as it was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It names nobody.
    Empty,
    /// It would drain too many of a zone at once.
    TooMany {
        /// The zone.
        zone: String,
        /// How many it would drain.
        drained: usize,
        /// Of how many ready ones.
        of: usize,
    },
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refused::Empty => f.write_str("it names nobody"),
            Refused::TooMany { zone, drained, of } => {
                write!(
                    f,
                    "it would drain {drained} of {of} workers of {zone} at once"
                )
            }
        }
    }
}

/// One source's last good word.
#[derive(Clone, Debug, Default)]
struct Word {
    hosts: BTreeMap<Arc<str>, Arc<Host>>,
    /// Why the last attempt at another one failed.
    stale: Option<String>,
    heard: bool,
}

/// See the module's own page.
#[derive(Clone, Debug)]
pub struct Membership {
    rules: Rules,
    words: Vec<Word>,
    set: Set,
}

impl Membership {
    /// So many sources, the one that goes first first. None has said anything yet.
    pub fn new(rules: Rules, sources: usize) -> Membership {
        Membership {
            rules,
            words: vec![Word::default(); sources],
            set: Set::default(),
        }
    }

    /// The set in force.
    pub fn set(&self) -> &Set {
        &self.set
    }

    /// Why a source's last word is not its newest; none if it is.
    pub fn stale(&self, source: usize) -> Option<&str> {
        self.words[source].stale.as_deref()
    }

    /// A source has a new word: it is taken whole or not at all. `force` lets it drain any number. True if the set
    /// has changed.
    pub fn word(
        &mut self,
        now: Micros,
        source: usize,
        hosts: Vec<Host>,
        force: bool,
    ) -> Result<bool, Refused> {
        let hosts: BTreeMap<Arc<str>, Arc<Host>> = hosts
            .into_iter()
            .map(|h| (Arc::from(h.name.as_str()), Arc::new(h)))
            .collect();
        let refused = self.check(source, &hosts, force);
        let word = &mut self.words[source];
        if let Err(why) = refused {
            word.stale = Some(why.to_string());
            return Err(why);
        }
        // The first word of all is what was there before this process: none of them is cold.
        let born = if self.words.iter().any(|w| w.heard) {
            now
        } else {
            0
        };
        let word = &mut self.words[source];
        let old = std::mem::replace(
            word,
            Word {
                hosts,
                stale: None,
                heard: true,
            },
        )
        .hosts;
        let new = &self.words[source].hosts;
        // Only what differs is looked at: one change among thousands costs little.
        let differs = |name: &&Arc<str>| old.get(*name) != new.get(*name);
        let touched: Vec<Arc<str>> = old
            .keys()
            .chain(new.keys().filter(|n| !old.contains_key(*n)))
            .filter(differs)
            .cloned()
            .collect();
        Ok(self.settle(now, born, &touched))
    }

    /// A source could not be read, or its word was no good: its last one stays in force.
    pub fn failed(&mut self, source: usize, why: impl Into<String>) {
        self.words[source].stale = Some(why.into());
    }

    /// Drains that are over end. True if the set has changed.
    pub fn tick(&mut self, now: Micros) -> bool {
        let over = |seat: &Seat| match seat.state {
            State::Ready => false,
            State::Draining(since) => now >= since.saturating_add(self.rules.drain_us),
        };
        let gone: Vec<Arc<str>> = self
            .set
            .seats
            .iter()
            .filter(|(_, s)| over(s))
            .map(|(n, _)| n.clone())
            .collect();
        gone.iter()
            .for_each(|name| drop(self.set.seats.remove(name)));
        self.set.generation += u64::from(!gone.is_empty());
        !gone.is_empty()
    }

    /// When the next drain is over.
    pub fn next_due(&self) -> Option<Micros> {
        let ends = self.set.seats.values().filter_map(|seat| match seat.state {
            State::Ready => None,
            State::Draining(since) => Some(since.saturating_add(self.rules.drain_us)),
        });
        ends.min()
    }

    fn check(
        &self,
        source: usize,
        hosts: &BTreeMap<Arc<str>, Arc<Host>>,
        force: bool,
    ) -> Result<(), Refused> {
        if hosts.is_empty() && !self.rules.empty {
            return Err(Refused::Empty);
        }
        if force {
            return Ok(());
        }
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for (name, seat) in self
            .set
            .seats
            .iter()
            .filter(|(_, s)| s.state == State::Ready)
        {
            let (drained, of) = zones.entry(&seat.host.zone).or_default();
            *of += 1;
            let elsewhere = || {
                self.words
                    .iter()
                    .enumerate()
                    .any(|(n, w)| n != source && w.hosts.contains_key(name))
            };
            *drained += usize::from(!hosts.contains_key(name) && !elsewhere());
        }
        for (zone, (drained, of)) in zones {
            let most = ((of as f64 * self.rules.most_drained) as usize).max(1);
            if drained > most {
                return Err(Refused::TooMany {
                    zone: zone.into(),
                    drained,
                    of,
                });
            }
        }
        Ok(())
    }

    /// Brings these workers in line with what the sources say of them.
    fn settle(&mut self, now: Micros, born: Micros, names: &[Arc<str>]) -> bool {
        let mut changed = false;
        for name in names {
            let said = self
                .words
                .iter()
                .enumerate()
                .find_map(|(n, w)| Some((n, w.hosts.get(name)?.clone())));
            let seat = self.set.seats.get(name);
            let next = match (said, seat) {
                (Some((source, host)), None) => Seat {
                    host,
                    source,
                    state: State::Ready,
                    since: born,
                },
                (Some((source, host)), Some(seat)) => {
                    let since = if seat.host.addr == host.addr {
                        seat.since
                    } else {
                        now
                    };
                    Seat {
                        host,
                        source,
                        state: State::Ready,
                        since,
                    }
                }
                (None, Some(seat)) if seat.state == State::Ready => Seat {
                    state: State::Draining(now),
                    ..seat.clone()
                },
                (None, _) => continue,
            };
            if seat != Some(&next) {
                changed = true;
                self.set.seats.insert(name.clone(), next);
            }
        }
        self.set.generation += u64::from(changed);
        debug_assert!(
            self.is_sound(),
            "a worker is ready only where a source names it"
        );
        changed
    }

    /// Whether each worker is ready just where a source names it.
    pub fn is_sound(&self) -> bool {
        let named = |name: &Arc<str>| self.words.iter().any(|w| w.hosts.contains_key(name));
        let all = self.words.iter().flat_map(|w| w.hosts.keys());
        self.set
            .seats
            .iter()
            .all(|(name, seat)| (seat.state == State::Ready) == named(name))
            && all
                .into_iter()
                .all(|name| self.set.seats.contains_key(name))
    }
}
