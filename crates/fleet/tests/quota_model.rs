//! The rights, model checked: every order of calls, grants, losses, repetitions, spendings and ticks of a small fleet,
//! with one crash and one pause. The model's members are [`Rights`] themselves: model and program share the transitions.

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_fleet::allowance::{Allowance, HeldUnits};
use streamusher_fleet::quota::{
    LeaseGrant, LeaseRequest, OutboundRequest, Quota, QuotaLeases, QuotaTerms,
};
use streamusher_fleet::{Incarnation, Micros};

/// A purse without atomics, which knows its clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Plain {
    used: u64,
    own: u64,
    borrowed: u64,
    until: Micros,
}

impl Allowance for Plain {
    fn in_use(&self) -> u64 {
        self.used
    }
    fn held(&self) -> HeldUnits {
        HeldUnits {
            own: self.own,
            borrowed: self.borrowed,
        }
    }
    fn grow(&mut self, held: HeldUnits, until: Micros) {
        assert!(held.own >= self.own && held.borrowed >= self.borrowed);
        (self.own, self.borrowed, self.until) = (held.own, held.borrowed, until);
    }
    fn reclaim_own(&mut self, most: u64) -> u64 {
        let taken = most.min(self.own.saturating_sub(self.used));
        self.own -= taken;
        taken
    }
    fn reclaim_borrowed(&mut self, most: u64) -> u64 {
        let taken = most
            .min(self.borrowed)
            .min((self.own + self.borrowed).saturating_sub(self.used));
        self.borrowed -= taken;
        taken
    }
    fn expire_borrowed(&mut self, left: u64, until: Micros) {
        (self.borrowed, self.until) = (left, until);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Frame {
    LeaseRequest(LeaseRequest),
    LeaseGrant(LeaseGrant),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    members: Vec<QuotaLeases<Plain>>,
    /// Jobs in hand at the workers, whoever lives: member, budget, end. One of a life that is gone has none.
    jobs: Vec<(Option<usize>, usize, Micros)>,
    /// Frames on their way stay there: each may come late, again, or never.
    frames: BTreeSet<(usize, usize, Incarnation, Frame)>,
    incarnations: Vec<u64>,
    paused: Option<usize>,
    crashes: u8,
    pauses: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Want(usize, usize, u64),
    Deliver(usize, usize, Incarnation, Frame),
    Spend(usize, usize),
    /// The time goes on by one; members that run look at their clocks.
    Tick,
    Crash(usize),
    Pause(usize),
    Wake,
}

struct Fleet {
    terms: Arc<QuotaTerms>,
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
        let quota = |n: &str, units| Quota {
            name: Arc::from(n),
            units,
        };
        let terms = QuotaTerms {
            member_names: vec![name(0), name(1)],
            quotas: vec![quota("t0", 2), quota("t1", 1)],
            unlent_floor: 0,
            lease: 2,
            max_use: 1,
            margin: 1,
        };
        Fleet {
            terms: Arc::new(terms),
            until,
            without_lease,
        }
    }

    fn incarnation(&self, i: usize, number: u64, now: Micros) -> QuotaLeases<Plain> {
        QuotaLeases::new(
            Incarnation {
                name: name(i),
                number,
            },
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
        let mut members: Vec<QuotaLeases<Plain>> =
            (0..3).map(|i| self.incarnation(i, 1, 0)).collect();
        let now = self.terms.loan_recovery_time();
        members.iter_mut().for_each(|m| m.tick(now));
        let (jobs, frames) = (Vec::new(), BTreeSet::new());
        vec![State {
            now,
            members,
            jobs,
            frames,
            incarnations: vec![1; 3],
            paused: None,
            crashes: 0,
            pauses: 0,
        }]
    }

    fn actions(&self, s: &State, outbox: &mut Vec<Step>) {
        let runs = |i: &usize| s.paused != Some(*i);
        if s.now < self.terms.loan_recovery_time() + self.until {
            outbox.push(Step::Tick);
        }
        for i in (0..3).filter(runs) {
            // Member 2 has no seat, all it spends is borrowed; member 1 only lends, and member 0 does both.
            if s.frames.len() < 2 {
                outbox.extend(match i {
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
            outbox.extend((0..2 - usize::from(self.without_lease)).map(|b| Step::Spend(i, b)));
            if s.crashes == 0 && i != 1 && !self.without_lease {
                outbox.push(Step::Crash(i));
            }
            if s.pauses == 0 && i == 2 {
                outbox.push(Step::Pause(i));
            }
        }
        outbox.extend(s.paused.map(|_| Step::Wake));
        let there = |(_, to, _, _): &&(usize, usize, Incarnation, Frame)| runs(to);
        outbox.extend(
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
            Step::Want(i, quota, n) => {
                let incarnation = Incarnation {
                    name: name(i),
                    number: s.incarnations[i],
                };
                for outbound in s.members[i].request_units(s.now, quota, n, &others(i)) {
                    let OutboundRequest { lender, request } = outbound;
                    let to = (0..3).find(|j| name(*j) == lender).expect("a member");
                    s.frames
                        .insert((i, to, incarnation.clone(), Frame::LeaseRequest(request)));
                }
            }
            Step::Deliver(from, to, incarnation, frame) => match frame {
                Frame::LeaseRequest(request) => {
                    let grant = s.members[to].on_lease_request(s.now, &incarnation, &request)?;
                    let own = Incarnation {
                        name: name(to),
                        number: s.incarnations[to],
                    };
                    s.frames.insert((to, from, own, Frame::LeaseGrant(grant)));
                }
                // A grant goes to the life that lives now: its calls count anew, and the time on it is another's.
                Frame::LeaseGrant(grant) => {
                    s.members[to].on_lease_grant(s.now, &name(from), &grant)
                }
            },
            Step::Spend(i, quota) => {
                let now = s.now;
                let allowance = &mut s.members[i].allowances[quota];
                let live = self.without_lease || now < allowance.until;
                if allowance.used >= allowance.own + if live { allowance.borrowed } else { 0 } {
                    return None;
                }
                allowance.used += 1;
                s.jobs.push((Some(i), quota, now + self.terms.max_use));
                s.jobs.sort();
            }
            Step::Tick => {
                s.now += 1;
                let now = s.now;
                // Jobs end at the workers; a member that runs hears of it.
                for (i, quota, _) in s.jobs.iter().filter(|j| j.2 <= now) {
                    if let Some(i) = i {
                        s.members[*i].allowances[*quota].used -= 1;
                    }
                }
                s.jobs.retain(|j| j.2 > now);
                for i in (0..3).filter(|i| s.paused != Some(*i)) {
                    s.members[i].tick(now);
                }
                // Frames older than three steps are lost, to keep the space small.
                s.frames.retain(|f| match &f.3 {
                    Frame::LeaseRequest(a) => a.sent_at + 3 > now,
                    Frame::LeaseGrant(g) => g.sent_at + 3 > now,
                });
            }
            Step::Crash(i) => {
                s.crashes += 1;
                s.incarnations[i] += 1;
                s.members[i] = self.incarnation(i, s.incarnations[i], s.now);
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
                (0..2).all(|b| used(b) <= fleet.terms.quotas[b].units)
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
