//! Counts by (life, period, tenant, unit) that converge at every member: a delta-state grow-only counter in the sense of
//! Almeida, Shoker and Baquero, carried by the reconciliation of Scuttlebutt (van Renesse and others).
//!
//! Only a life itself raises its counts. Each change of a life gets the next version of that life, and each row keeps
//! the version that changed it last; so whoever holds a life up to version v lacks just the rows above v. Rows are
//! merged by the larger value, unit by unit: in any order, any number of times, with the same end.
//!
//! **Folding.** All lives of a name but the newest are gone for good. Once every member that is not forgotten has told
//! that it holds such a life up to the same version as this one, nobody can hold more: the life's rows are final and go
//! into the name's base, one sum, with the number of the last life folded. Invariant, asserted: no row of a life
//! stands beside a base that holds it, so none counts twice. A base is a join of its own: the larger number wins, and
//! of equal ones the larger sums, which are sums over the same lives; a member that missed the folding drops its rows
//! of those lives as it takes the base, and rows of folded lives that others still send are refused.

use crate::life::{Life, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

pub use crate::units::{Key, Rows, Unit, Units, NAMES, UNITS};

#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    version: u64,
    pub(crate) rows: BTreeMap<Key, (u64, Units)>,
}

/// The sum of a name's lives up to a number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Base {
    upto: u64,
    pub(crate) rows: Rows,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Named {
    pub(crate) base: Base,
    pub(crate) lives: BTreeMap<u64, Held>,
    /// The number of the earliest life ever heard of.
    pub(crate) first: u64,
    /// A base on its way here, in parts.
    coming: Option<(u64, u64, Rows)>,
}

/// What one member holds of one name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holds {
    /// The name.
    pub name: Arc<str>,
    /// The last life folded.
    pub upto: u64,
    /// A mark of the base's sums: of one number they may differ for a while.
    pub mark: u32,
    /// Lives in detail, and their versions.
    pub lives: Vec<(u64, u64)>,
}

/// Rows for another member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delta {
    /// All rows of a life that changed after one version, up to another.
    Life {
        /// Whose.
        life: Life,
        /// Useful to one who holds the life up to here or further.
        after: u64,
        /// The version that is then held.
        upto: u64,
        /// The rows, each with the version that changed it last.
        rows: Vec<(Key, u64, Units)>,
    },
    /// A part of a name's base.
    Base {
        /// Whose.
        name: Arc<str>,
        /// The earliest life ever heard of.
        first: u64,
        /// The last life folded.
        upto: u64,
        /// Rows of the whole base.
        total: u64,
        /// These of them.
        rows: Vec<(Key, Units)>,
    },
}

/// Most rows in one [`Delta`]: with names and sums they fit one frame.
const ROWS: usize = 4;
/// Most lives of one name in a [`Holds`]; the rest go with a later one, as folding frees the earliest first.
const LIVES: usize = 24;
/// Periods kept behind the newest one seen.
const PERIODS: u32 = 64;

/// All counts that one member holds.
#[derive(Clone, Debug)]
pub struct Counts {
    pub(crate) me: Life,
    pub(crate) names: BTreeMap<Arc<str>, Named>,
    /// By superseded life: which members told that they hold it, and up to which version.
    confirmed: BTreeMap<(Arc<str>, u64), BTreeMap<Arc<str>, u64>>,
    /// By superseded life: when this member first looked at it as such.
    superseded: BTreeMap<(Arc<str>, u64), Micros>,
    newest_period: u32,
    /// Rows of folded lives that came late and were refused.
    pub refused_late: u64,
}

impl Counts {
    /// Nothing yet, for this life.
    pub fn new(me: Life) -> Counts {
        let mut counts = Counts {
            me: me.clone(),
            names: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            superseded: BTreeMap::new(),
            newest_period: 0,
            refused_late: 0,
        };
        let own = counts.names.entry(me.name.clone()).or_default();
        own.first = me.no;
        own.lives.insert(me.no, Held::default());
        counts
    }

    /// Raises own counts; the version that holds it.
    pub fn raise(&mut self, key: Key, units: &Units) -> u64 {
        self.newest_period = self.newest_period.max(key.period);
        let me = self.me.clone();
        let held = self
            .names
            .entry(me.name)
            .or_default()
            .lives
            .entry(me.no)
            .or_default();
        held.version += 1;
        let row = held.rows.entry(key).or_default();
        row.0 = held.version;
        row.1.add(units);
        held.version
    }

    /// The version of own counts.
    pub fn version(&self) -> u64 {
        self.holds_of(&self.me)
    }

    /// Up to which version a life is held: all of it, if it is folded.
    pub fn holds_of(&self, life: &Life) -> u64 {
        let Some(named) = self.names.get(&life.name) else {
            return 0;
        };
        if life.no <= named.base.upto {
            return u64::MAX;
        }
        named.lives.get(&life.no).map_or(0, |h| h.version)
    }

    /// The newest life of a name that has counted anything.
    pub fn newest(&self, name: &str) -> Option<u64> {
        let named = self.names.get(name)?;
        named
            .lives
            .keys()
            .next_back()
            .copied()
            .or((named.base.upto > 0).then_some(named.base.upto))
    }

    /// What is held of the names in an interval (after `from`, as many as `most`): the digest that others answer to.
    pub fn digest(&self, from: Option<&Arc<str>>, most: usize) -> Vec<Holds> {
        use std::ops::Bound::*;
        let range = (from.map_or(Unbounded, |f| Excluded(f.clone())), Unbounded);
        let holds = |(name, named): (&Arc<str>, &Named)| Holds {
            name: name.clone(),
            upto: named.base.upto,
            mark: mark(&named.base.rows),
            lives: named
                .lives
                .iter()
                .take(LIVES)
                .map(|(no, h)| (*no, h.version))
                .collect(),
        };
        self.names
            .range::<Arc<str>, _>(range)
            .take(most)
            .map(holds)
            .collect()
    }

    /// What one lacks who holds that, of the names between `from` and the last one listed (of all further ones, if
    /// `last`): at most `most` parts. Notes, besides, what `teller` has confirmed.
    pub fn lacks(
        &mut self,
        teller: &Arc<str>,
        from: Option<&Arc<str>>,
        theirs: &[Holds],
        last: bool,
        most: usize,
    ) -> Vec<Delta> {
        self.confirm(teller, theirs);
        let by_name: BTreeMap<&Arc<str>, &Holds> = theirs.iter().map(|h| (&h.name, h)).collect();
        let mut out = Vec::new();
        let upto = theirs.last().map(|h| h.name.clone());
        for (name, named) in &self.names {
            if from.is_some_and(|f| name <= f) || !last && upto.as_ref().is_none_or(|u| name > u) {
                continue;
            }
            let held = by_name.get(name);
            let (base, base_mark) = held.map_or((0, 0), |h| (h.upto, h.mark));
            let newer = named.base.upto > base;
            if newer || named.base.upto == base && base > 0 && mark(&named.base.rows) != base_mark {
                base_parts(name, named, &mut out);
            }
            for (no, mine) in &named.lives {
                let version = held
                    .and_then(|h| h.lives.iter().find(|l| l.0 == *no))
                    .map_or(0, |l| l.1);
                if *no > base && mine.version > version {
                    life_parts(
                        &Life {
                            name: name.clone(),
                            no: *no,
                        },
                        mine,
                        version,
                        &mut out,
                    );
                }
            }
            if out.len() >= most {
                break;
            }
        }
        out.truncate(most); // parts are in the order of versions: what is cut goes with the next answer
        out
    }

    /// What changed of own counts after a version.
    pub fn own_since(&self, version: u64) -> Vec<Delta> {
        let mut out = Vec::new();
        if let Some(held) = self
            .names
            .get(&self.me.name)
            .and_then(|n| n.lives.get(&self.me.no))
        {
            life_parts(&self.me, held, version, &mut out);
        }
        out
    }

    /// Takes rows from another member; whether anything changed. `newest_period` bounds what a member with a wrong
    /// clock can do to others.
    pub fn merge(&mut self, delta: &Delta, newest_period: u32) -> bool {
        match delta {
            Delta::Life {
                life,
                after,
                upto,
                rows,
            } => self.merge_life(life, *after, *upto, rows, newest_period),
            Delta::Base {
                name,
                first,
                upto,
                total,
                rows,
            } => self.merge_base(name, *first, *upto, *total, rows, newest_period),
        }
    }

    fn merge_life(
        &mut self,
        life: &Life,
        after: u64,
        upto: u64,
        rows: &[(Key, u64, Units)],
        newest: u32,
    ) -> bool {
        if *life == self.me {
            return false; // only this life raises its counts
        }
        let named = self.names.entry(life.name.clone()).or_default();
        if life.no <= named.base.upto && !cfg!(feature = "mutant-fold") {
            self.refused_late += 1;
            return false;
        }
        named.first = if named.first == 0 {
            life.no
        } else {
            named.first.min(life.no)
        };
        let held = named.lives.entry(life.no).or_default();
        let mut changed = false;
        for (key, version, units) in rows.iter().filter(|(k, _, _)| k.period <= newest) {
            self.newest_period = self.newest_period.max(key.period);
            let row = held.rows.entry(key.clone()).or_default();
            row.0 = row.0.max(*version);
            changed |= row.1.join(units);
        }
        if after <= held.version && upto > held.version {
            held.version = upto;
            changed = true;
        }
        changed
    }

    fn merge_base(
        &mut self,
        name: &Arc<str>,
        first: u64,
        upto: u64,
        total: u64,
        rows: &[(Key, Units)],
        newest: u32,
    ) -> bool {
        if *name == self.me.name && upto >= self.me.no {
            return false; // nobody folds a life that lives
        }
        let named = self.names.entry(name.clone()).or_default();
        if upto < named.base.upto {
            return false;
        }
        named.first = if named.first == 0 {
            first
        } else {
            named.first.min(first)
        };
        let coming = match &mut named.coming {
            Some(c) if c.0 == upto && c.1 == total => c,
            other => other.insert((upto, total, Rows::new())),
        };
        for (key, units) in rows.iter().filter(|(k, _)| k.period <= newest) {
            coming.2.entry(key.clone()).or_default().join(units);
        }
        if (coming.2.len() as u64) < total {
            return false;
        }
        let (_, _, mut sums) = named.coming.take().expect("just there");
        // Own sums over the same lives: never more than what those lives counted, so neither is the join.
        let mut own = named.base.rows.clone();
        let later = named.lives.split_off(&(upto + 1));
        for held in std::mem::replace(&mut named.lives, later).into_values() {
            held.rows
                .iter()
                .for_each(|(key, (_, units))| own.entry(key.clone()).or_default().add(units));
        }
        for (key, units) in &own {
            sums.entry(key.clone()).or_default().join(units);
        }
        let changed = named.base.upto != upto || named.base.rows != sums;
        named.base = Base { upto, rows: sums };
        debug_assert!(named.lives.keys().all(|no| *no > named.base.upto));
        self.confirmed.retain(|(n, no), _| n != name || *no > upto);
        self.superseded.retain(|(n, no), _| n != name || *no > upto);
        changed
    }

    fn confirm(&mut self, teller: &Arc<str>, theirs: &[Holds]) {
        for holds in theirs {
            let Some(named) = self.names.get(&holds.name) else {
                continue;
            };
            let Some(newest) = named.lives.keys().next_back().copied() else {
                continue;
            };
            for no in named.lives.keys().filter(|no| **no < newest) {
                let version = match holds.lives.iter().find(|l| l.0 == *no) {
                    _ if holds.upto >= *no => u64::MAX,
                    Some((_, version)) => *version,
                    None => 0,
                };
                let told = self.confirmed.entry((holds.name.clone(), *no)).or_default();
                told.insert(teller.clone(), version);
            }
        }
    }

    /// Folds the earliest lives of each name that are final: superseded for `settle`, in which the last frames about
    /// them arrive, and confirmed at one version by every one of `others`, the members that are not forgotten. How many
    /// were folded.
    pub fn fold(&mut self, now: Micros, settle: Micros, others: &[Arc<str>]) -> usize {
        let mut folded = 0;
        for (name, named) in &mut self.names {
            let gone = named.lives.len().saturating_sub(1);
            for no in named.lives.keys().take(gone) {
                self.superseded.entry((name.clone(), *no)).or_insert(now);
            }
            while named.lives.len() > 1 {
                let (no, held) = named.lives.iter().next().expect("more than one");
                let no = *no;
                let since = self
                    .superseded
                    .get(&(name.clone(), no))
                    .copied()
                    .unwrap_or(now);
                if now.saturating_sub(since) < settle {
                    break;
                }
                let told = self.confirmed.get(&(name.clone(), no));
                let same = |m: &Arc<str>| {
                    // A member whose own life it is holds nothing of before: its word counts as any other's.
                    told.and_then(|t| t.get(m))
                        .is_some_and(|v| *v == held.version || *v == u64::MAX)
                };
                if !others.iter().all(same) {
                    break;
                }
                let held = named.lives.remove(&no).expect("it was first");
                for (key, (_, units)) in held.rows {
                    named.base.rows.entry(key).or_default().add(&units);
                }
                named.base.upto = no;
                self.confirmed.remove(&(name.clone(), no));
                self.superseded.remove(&(name.clone(), no));
                folded += 1;
            }
            debug_assert!(named.lives.keys().all(|no| *no > named.base.upto));
        }
        folded
    }

    /// Drops periods far behind the newest one.
    pub fn forget_old_periods(&mut self) {
        let least = self.newest_period.saturating_sub(PERIODS);
        for named in self.names.values_mut() {
            named.base.rows.retain(|key, _| key.period >= least);
            named
                .lives
                .values_mut()
                .for_each(|h| h.rows.retain(|key, _| key.period >= least));
        }
    }

    /// Lives held in detail, and rows in all.
    pub fn size(&self) -> (usize, usize) {
        let rows =
            |n: &Named| n.base.rows.len() + n.lives.values().map(|h| h.rows.len()).sum::<usize>();
        (
            self.names.values().map(|n| n.lives.len()).sum(),
            self.names.values().map(rows).sum(),
        )
    }
}

fn mark(rows: &Rows) -> u32 {
    let mut hash = blake3::Hasher::new();
    for (key, units) in rows {
        hash.update(&key.period.to_le_bytes())
            .update(key.tenant.as_bytes())
            .update(&[0]);
        for n in units.0 {
            hash.update(&n.to_le_bytes());
        }
    }
    u32::from_le_bytes(
        hash.finalize().as_bytes()[..4]
            .try_into()
            .expect("four bytes"),
    )
}

fn base_parts(name: &Arc<str>, named: &Named, out: &mut Vec<Delta>) {
    let (first, upto, total) = (named.first, named.base.upto, named.base.rows.len() as u64);
    let rows: Vec<(Key, Units)> = named
        .base
        .rows
        .iter()
        .map(|(k, u)| (k.clone(), *u))
        .collect();
    let mut parts = rows.chunks(ROWS).map(<[_]>::to_vec).collect::<Vec<_>>();
    if parts.is_empty() {
        parts.push(Vec::new());
    }
    out.extend(parts.into_iter().map(|rows| Delta::Base {
        name: name.clone(),
        first,
        upto,
        total,
        rows,
    }));
}

fn life_parts(life: &Life, held: &Held, version: u64, out: &mut Vec<Delta>) {
    let mut rows: Vec<(u64, &Key, &Units)> = held
        .rows
        .iter()
        .filter(|(_, r)| r.0 > version)
        .map(|(k, r)| (r.0, k, &r.1))
        .collect();
    rows.sort_by_key(|r| r.0);
    let mut after = version;
    let mut chunks = rows.chunks(ROWS).peekable();
    while let Some(chunk) = chunks.next() {
        // Versions are of one row each, so a part leads up to that of its last row. Rows that overtook others may be of
        // later versions than the one held: they lead no further.
        let upto = match chunks.peek() {
            Some(_) => chunk.last().expect("not empty").0.min(held.version),
            None => held.version,
        };
        let rows = chunk
            .iter()
            .map(|(v, k, u)| ((*k).clone(), *v, **u))
            .collect();
        out.push(Delta::Life {
            life: life.clone(),
            after,
            upto,
            rows,
        });
        after = upto;
    }
    if rows.is_empty() && held.version > version {
        out.push(Delta::Life {
            life: life.clone(),
            after,
            upto: held.version,
            rows: Vec::new(),
        });
    }
}
