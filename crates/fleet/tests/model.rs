//! The rights, model checked: every order of calls, grants, losses, repetitions, spendings and ticks of a small fleet,
//! with one crash and one pause. The model's members are [`Rights`] themselves: model and program share the transitions.

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_fleet::rights::{Ask, Budget, Grant, Pocket, Rights, Terms};
use streamusher_fleet::{Life, Micros};

/// A purse without atomics, which knows its clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Plain {
    used: u64,
    own: u64,
    borrowed: u64,
    until: Micros,
}

impl Pocket for Plain {
    fn used(&self) -> u64 {
        self.used
    }
    fn rights(&self) -> (u64, u64) {
        (self.own, self.borrowed)
    }
    fn grow(&mut self, own: u64, borrowed: u64, until: Micros) {
        assert!(own >= self.own && borrowed >= self.borrowed);
        (self.own, self.borrowed, self.until) = (own, borrowed, until);
    }
    fn take_own(&mut self, most: u64) -> u64 {
        let taken = most.min(self.own.saturating_sub(self.used));
        self.own -= taken;
        taken
    }
    fn take_borrowed(&mut self, most: u64) -> u64 {
        let taken = most
            .min(self.borrowed)
            .min((self.own + self.borrowed).saturating_sub(self.used));
        self.borrowed -= taken;
        taken
    }
    fn end_borrowed(&mut self, left: u64, until: Micros) {
        (self.borrowed, self.until) = (left, until);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Frame {
    Ask(Ask),
    Grant(Grant),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    members: Vec<Rights<Plain>>,
    /// Jobs in hand at the workers, whoever lives: member, budget, end. One of a life that is gone has none.
    jobs: Vec<(Option<usize>, usize, Micros)>,
    /// Frames on their way stay there: each may come late, again, or never.
    frames: BTreeSet<(usize, usize, Life, Frame)>,
    lives: Vec<u64>,
    paused: Option<usize>,
    crashes: u8,
    pauses: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Want(usize, usize, u64),
    Deliver(usize, usize, Life, Frame),
    Spend(usize, usize),
    /// The time goes on by one; members that run look at their clocks.
    Tick,
    Crash(usize),
    Pause(usize),
    Wake,
}

struct Fleet {
    terms: Arc<Terms>,
    until: Micros,
    /// The borrower's lease is not looked at: this must be found. To go deep enough one budget is looked at alone, and
    /// nobody crashes.
    without_lease: bool,
}

fn name(i: usize) -> Arc<str> {
    Arc::from(format!("m{i}"))
}

impl Fleet {
    fn new(until: Micros, without_lease: bool) -> Fleet {
        let budget = |n: &str, units| Budget {
            name: Arc::from(n),
            units,
        };
        let terms = Terms {
            seats: vec![name(0), name(1)],
            budgets: vec![budget("t0", 2), budget("t1", 1)],
            floor: 0,
            lease: 2,
            hold: 1,
            margin: 1,
        };
        Fleet {
            terms: Arc::new(terms),
            until,
            without_lease,
        }
    }

    fn life(&self, i: usize, no: u64, now: Micros) -> Rights<Plain> {
        Rights::new(
            Life { name: name(i), no },
            self.terms.clone(),
            vec![Plain::default(); 2],
            now,
        )
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        // As if all had started long ago: the parts are in.
        let mut members: Vec<Rights<Plain>> = (0..3).map(|i| self.life(i, 1, 0)).collect();
        let now = self.terms.away();
        members.iter_mut().for_each(|m| m.tick(now));
        let (jobs, frames) = (Vec::new(), BTreeSet::new());
        vec![State {
            now,
            members,
            jobs,
            frames,
            lives: vec![1; 3],
            paused: None,
            crashes: 0,
            pauses: 0,
        }]
    }

    fn actions(&self, s: &State, out: &mut Vec<Step>) {
        let runs = |i: &usize| s.paused != Some(*i);
        if s.now < self.terms.away() + self.until {
            out.push(Step::Tick);
        }
        for i in (0..3).filter(runs) {
            // Member 2 has no seat, all it spends is borrowed; member 1 only lends, and member 0 does both.
            if s.frames.len() < 2 {
                out.extend(match i {
                    0 if !self.without_lease => vec![Step::Want(0, 0, 2)],
                    0 | 1 => vec![],
                    _ if self.without_lease => vec![Step::Want(2, 0, 2)],
                    _ => vec![
                        Step::Want(2, 0, 0),
                        Step::Want(2, 0, 2),
                        Step::Want(2, 1, 1),
                    ],
                });
            }
            out.extend((0..2 - usize::from(self.without_lease)).map(|b| Step::Spend(i, b)));
            if s.crashes == 0 && i != 1 && !self.without_lease {
                out.push(Step::Crash(i));
            }
            if s.pauses == 0 && i == 2 {
                out.push(Step::Pause(i));
            }
        }
        out.extend(s.paused.map(|_| Step::Wake));
        let there = |(_, to, _, _): &&(usize, usize, Life, Frame)| runs(to);
        out.extend(
            s.frames
                .iter()
                .filter(there)
                .cloned()
                .map(|(a, b, l, f)| Step::Deliver(a, b, l, f)),
        );
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        let others = |i: usize| -> Vec<Arc<str>> { (0..3).filter(|j| *j != i).map(name).collect() };
        match step {
            Step::Want(i, budget, n) => {
                let life = Life {
                    name: name(i),
                    no: s.lives[i],
                };
                for (to, ask) in s.members[i].want(s.now, budget, n, &others(i)) {
                    let to = (0..3).find(|j| name(*j) == to).expect("a member");
                    s.frames.insert((i, to, life.clone(), Frame::Ask(ask)));
                }
            }
            Step::Deliver(from, to, life, frame) => match frame {
                Frame::Ask(ask) => {
                    let grant = s.members[to].asked(s.now, &life, &ask)?;
                    let own = Life {
                        name: name(to),
                        no: s.lives[to],
                    };
                    s.frames.insert((to, from, own, Frame::Grant(grant)));
                }
                // A grant goes to the life that lives now: its calls count anew, and the time on it is another's.
                Frame::Grant(grant) => s.members[to].granted(s.now, &name(from), &grant),
            },
            Step::Spend(i, budget) => {
                let now = s.now;
                let pocket = &mut s.members[i].pockets[budget];
                let live = self.without_lease || now < pocket.until;
                if pocket.used >= pocket.own + if live { pocket.borrowed } else { 0 } {
                    return None;
                }
                pocket.used += 1;
                s.jobs.push((Some(i), budget, now + self.terms.hold));
                s.jobs.sort();
            }
            Step::Tick => {
                s.now += 1;
                let now = s.now;
                // Jobs end at the workers; a member that runs hears of it.
                for (i, budget, _) in s.jobs.iter().filter(|j| j.2 <= now) {
                    if let Some(i) = i {
                        s.members[*i].pockets[*budget].used -= 1;
                    }
                }
                s.jobs.retain(|j| j.2 > now);
                for i in (0..3).filter(|i| s.paused != Some(*i)) {
                    s.members[i].tick(now);
                }
                // Frames older than three steps are lost, to keep the space small.
                s.frames.retain(|f| match &f.3 {
                    Frame::Ask(a) => a.at + 3 > now,
                    Frame::Grant(g) => g.at + 3 > now,
                });
            }
            Step::Crash(i) => {
                s.crashes += 1;
                s.lives[i] += 1;
                s.members[i] = self.life(i, s.lives[i], s.now);
                s.jobs
                    .iter_mut()
                    .filter(|j| j.0 == Some(i))
                    .for_each(|j| j.0 = None);
            }
            Step::Pause(i) => {
                s.pauses += 1;
                s.paused = Some(i);
            }
            // It spends before it looks at anything: the purse's own clock has to hold.
            Step::Wake => s.paused = None,
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no budget is exceeded", |fleet, s| {
                let used = |b: usize| s.jobs.iter().filter(|j| j.1 == b).count() as u64;
                (0..2).all(|b| used(b) <= fleet.terms.budgets[b].units)
            }),
            Property::<Self>::sometimes(
                "a member without a seat spends what it borrowed",
                |_, s| s.jobs.iter().any(|j| j.0 == Some(2)),
            ),
            Property::<Self>::sometimes("all of a budget is spent by one", |_, s| {
                s.jobs.iter().filter(|j| j.0 == Some(2) && j.1 == 0).count() == 2
            }),
        ]
    }
}

fn depth() -> usize {
    std::env::var("STREAMUSHER_DEPTH")
        .map_or(9, |v| v.parse().expect("STREAMUSHER_DEPTH: not a number"))
}

#[test]
fn no_order_of_events_exceeds_a_budget() {
    let checker = Fleet::new(8, false)
        .checker()
        .threads(4)
        .target_max_depth(depth())
        .spawn_bfs()
        .join();
    println!(
        "{} states, {} of them different",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

/// A test for the test: without the lease the model finds the schedule that overspends.
#[test]
fn without_the_lease_the_model_finds_the_fault() {
    let found = Fleet::new(8, true)
        .checker()
        .threads(4)
        .target_max_depth(14)
        .spawn_bfs()
        .join();
    assert!(found.discovery("no budget is exceeded").is_some());
}
