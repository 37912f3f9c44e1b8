//! Model check of quota leases: every order of requests, grants, losses, repetitions, acquisitions and ticks
//! of a small fleet, with one crash and one pause. The model's members are [`QuotaLeases`] values, so the
//! model and the program share the transitions.
#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_fleet::allowance::{Allowance, HeldUnits};
use streamusher_fleet::quota::{
    LeaseGrant, LeaseRequest, OutboundRequest, Quota, QuotaLeases, QuotaTerms,
};
use streamusher_fleet::{Incarnation, Micros};

const MEMBERS: usize = 3;
const QUOTAS: usize = 2;
/// A member sends no further request while this many messages are in flight.
const MAX_IN_FLIGHT: usize = 2;
/// Messages older than this are lost, which keeps the state space small.
const MESSAGE_LIFETIME: Micros = 3;
const QUOTA_NOT_EXCEEDED: &str = "no quota is exceeded";

/// An allowance without atomics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct PlainAllowance {
    in_use: u64,
    own: u64,
    borrowed: u64,
    borrowed_until: Micros,
}

impl Allowance for PlainAllowance {
    fn in_use(&self) -> u64 {
        self.in_use
    }

    fn held(&self) -> HeldUnits {
        HeldUnits {
            own: self.own,
            borrowed: self.borrowed,
        }
    }

    fn grow(&mut self, held: HeldUnits, borrowed_until: Micros) {
        assert!(held.own >= self.own && held.borrowed >= self.borrowed);
        self.own = held.own;
        self.borrowed = held.borrowed;
        self.borrowed_until = borrowed_until;
    }

    fn reclaim_own(&mut self, max_units: u64) -> u64 {
        let reclaimed = max_units.min(self.own.saturating_sub(self.in_use));
        self.own -= reclaimed;
        reclaimed
    }

    fn reclaim_borrowed(&mut self, max_units: u64) -> u64 {
        let reclaimed = max_units
            .min(self.borrowed)
            .min((self.own + self.borrowed).saturating_sub(self.in_use));
        self.borrowed -= reclaimed;
        reclaimed
    }

    fn expire_borrowed(&mut self, remaining: u64, borrowed_until: Micros) {
        self.borrowed = remaining;
        self.borrowed_until = borrowed_until;
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request(LeaseRequest),
    Grant(LeaseGrant),
}

impl Message {
    fn sent_at(&self) -> Micros {
        match self {
            Message::Request(request) => request.sent_at,
            Message::Grant(grant) => grant.sent_at,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct InFlight {
    from: usize,
    to: usize,
    sender: Incarnation,
    message: Message,
}

/// A job at a worker, which holds one unit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Job {
    /// The member that started the job; `None` if that incarnation has crashed.
    member: Option<usize>,
    quota: usize,
    ends_at: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    members: Vec<QuotaLeases<PlainAllowance>>,
    /// All running jobs, including those of crashed members.
    jobs: Vec<Job>,
    /// Messages stay in flight after delivery: each may be delivered late, repeatedly, or never.
    in_flight: BTreeSet<InFlight>,
    incarnations: Vec<u64>,
    paused: Option<usize>,
    crashes: u8,
    pauses: u8,
}

impl State {
    fn incarnation(&self, member: usize) -> Incarnation {
        Incarnation {
            name: name(member),
            number: self.incarnations[member],
        }
    }

    fn request(&mut self, from: usize, quota: usize, units: u64) {
        let others: Vec<Arc<str>> = (0..MEMBERS).filter(|i| *i != from).map(name).collect();
        let requests = self.members[from].request_units(self.now, quota, units, &others);
        for OutboundRequest { lender, request } in requests {
            let to = (0..MEMBERS).find(|i| name(*i) == lender);
            let in_flight = InFlight {
                from,
                to: to.expect("a member"),
                sender: self.incarnation(from),
                message: Message::Request(request),
            };
            self.in_flight.insert(in_flight);
        }
    }

    /// Returns `None` if the delivery has no effect.
    fn deliver(&mut self, delivered: InFlight) -> Option<()> {
        let InFlight { from, to, .. } = delivered;
        match delivered.message {
            Message::Request(request) => {
                let member = &mut self.members[to];
                let grant = member.on_lease_request(self.now, &delivered.sender, &request)?;
                let answer = InFlight {
                    from: to,
                    to: from,
                    sender: self.incarnation(to),
                    message: Message::Grant(grant),
                };
                self.in_flight.insert(answer);
            }
            // A grant is delivered to the current incarnation: its sequence numbers start again, and the
            // grant's send time belongs to another incarnation.
            Message::Grant(grant) => {
                self.members[to].on_lease_grant(self.now, &name(from), &grant);
            }
        }
        Some(())
    }

    fn tick(&mut self) {
        self.now += 1;
        let now = self.now;
        // Jobs end at the workers; a running member is notified.
        for job in self.jobs.iter().filter(|job| job.ends_at <= now) {
            if let Some(member) = job.member {
                self.members[member].allowances[job.quota].in_use -= 1;
            }
        }
        self.jobs.retain(|job| job.ends_at > now);
        for member in 0..MEMBERS {
            if self.paused != Some(member) {
                self.members[member].tick(now);
            }
        }
        self.in_flight
            .retain(|in_flight| in_flight.message.sent_at() + MESSAGE_LIFETIME > now);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Request {
        member: usize,
        quota: usize,
        units: u64,
    },
    Deliver(InFlight),
    Acquire {
        member: usize,
        quota: usize,
    },
    /// Time advances by one; running members read their clocks.
    Tick,
    Crash(usize),
    Pause(usize),
    Resume,
}

struct Fleet {
    terms: Arc<QuotaTerms>,
    until: Micros,
    /// Borrowed units do not expire at the borrower, which the model checker must detect. To reach the
    /// required depth, only one quota is modelled and no member crashes.
    without_lease: bool,
}

fn name(member: usize) -> Arc<str> {
    Arc::from(format!("m{member}"))
}

impl Fleet {
    fn new(until: Micros, without_lease: bool) -> Fleet {
        let quota = |name: &str, units| Quota {
            name: Arc::from(name),
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

    fn start_member(&self, member: usize, number: u64, now: Micros) -> QuotaLeases<PlainAllowance> {
        let local = Incarnation {
            name: name(member),
            number,
        };
        let allowances = vec![PlainAllowance::default(); QUOTAS];
        QuotaLeases::new(local, self.terms.clone(), allowances, now)
    }

    /// Member 2 has no share and borrows all units that it uses; member 1 only lends, and member 0 does both.
    fn requests_of(&self, member: usize) -> Vec<Step> {
        let request = |quota, units| Step::Request {
            member,
            quota,
            units,
        };
        match member {
            0 if !self.without_lease => vec![request(0, 2)],
            0 | 1 => vec![],
            _ if self.without_lease => vec![request(0, 2)],
            _ => vec![request(0, 0), request(0, 2), request(1, 1)],
        }
    }

    /// Returns `None` if no unit is available.
    fn acquire(&self, state: &mut State, member: usize, quota: usize) -> Option<()> {
        let allowance = &mut state.members[member].allowances[quota];
        let is_lease_valid = self.without_lease || state.now < allowance.borrowed_until;
        let borrowed = if is_lease_valid {
            allowance.borrowed
        } else {
            0
        };
        if allowance.in_use >= allowance.own + borrowed {
            return None;
        }
        allowance.in_use += 1;
        state.jobs.push(Job {
            member: Some(member),
            quota,
            ends_at: state.now + self.terms.max_use,
        });
        state.jobs.sort();
        Some(())
    }

    fn crash(&self, state: &mut State, member: usize) {
        state.crashes += 1;
        state.incarnations[member] += 1;
        state.members[member] = self.start_member(member, state.incarnations[member], state.now);
        for job in &mut state.jobs {
            if job.member == Some(member) {
                job.member = None;
            }
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        // As if all members had started long ago: they have received their shares.
        let now = self.terms.loan_recovery_time();
        let mut members: Vec<QuotaLeases<PlainAllowance>> =
            (0..MEMBERS).map(|i| self.start_member(i, 1, 0)).collect();
        for member in &mut members {
            member.tick(now);
        }
        vec![State {
            now,
            members,
            jobs: Vec::new(),
            in_flight: BTreeSet::new(),
            incarnations: vec![1; MEMBERS],
            paused: None,
            crashes: 0,
            pauses: 0,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        let is_running = |member: usize| state.paused != Some(member);
        if state.now < self.terms.loan_recovery_time() + self.until {
            steps.push(Step::Tick);
        }
        for member in (0..MEMBERS).filter(|member| is_running(*member)) {
            if state.in_flight.len() < MAX_IN_FLIGHT {
                steps.extend(self.requests_of(member));
            }
            let quotas = QUOTAS - usize::from(self.without_lease);
            steps.extend((0..quotas).map(|quota| Step::Acquire { member, quota }));
            if state.crashes == 0 && member != 1 && !self.without_lease {
                steps.push(Step::Crash(member));
            }
            if state.pauses == 0 && member == 2 {
                steps.push(Step::Pause(member));
            }
        }
        steps.extend(state.paused.map(|_| Step::Resume));
        let deliverable = state
            .in_flight
            .iter()
            .filter(|message| is_running(message.to));
        steps.extend(deliverable.cloned().map(Step::Deliver));
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Request {
                member,
                quota,
                units,
            } => state.request(member, quota, units),
            Step::Deliver(in_flight) => state.deliver(in_flight)?,
            Step::Acquire { member, quota } => self.acquire(&mut state, member, quota)?,
            Step::Tick => state.tick(),
            Step::Crash(member) => self.crash(&mut state, member),
            Step::Pause(member) => {
                state.pauses += 1;
                state.paused = Some(member);
            }
            // The member acquires units before it ticks: the expiry in the allowance has to prevent it.
            Step::Resume => state.paused = None,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(QUOTA_NOT_EXCEEDED, |fleet, state| {
                let in_use = |quota| state.jobs.iter().filter(|job| job.quota == quota).count();
                let quotas = fleet.terms.quotas.iter().enumerate();
                quotas
                    .into_iter()
                    .all(|(i, quota)| in_use(i) as u64 <= quota.units)
            }),
            Property::<Self>::sometimes(
                "a member without a share uses what it borrowed",
                |_, state| state.jobs.iter().any(|job| job.member == Some(2)),
            ),
            Property::<Self>::sometimes("all of a quota is used by one", |_, state| {
                let jobs = state.jobs.iter();
                jobs.filter(|job| job.member == Some(2) && job.quota == 0)
                    .count()
                    == 2
            }),
        ]
    }
}

fn depth() -> usize {
    std::env::var("STREAMUSHER_DEPTH").map_or(9, |depth| {
        depth.parse().expect("STREAMUSHER_DEPTH: not a number")
    })
}

#[test]
fn no_order_of_events_exceeds_a_quota() {
    let checker = Fleet::new(8, false)
        .checker()
        .threads(4)
        .target_max_depth(depth())
        .spawn_bfs()
        .join();
    println!(
        "{} states, {} of them unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

/// Checks the model itself: without lease expiry it finds a schedule that exceeds the quota.
#[test]
fn without_lease_expiry_the_model_finds_an_exceeded_quota() {
    let found = Fleet::new(8, true)
        .checker()
        .threads(4)
        .target_max_depth(14)
        .spawn_bfs()
        .join();
    assert!(found.discovery(QUOTA_NOT_EXCEEDED).is_some());
}

/// The largest time that a peer can send causes no panic, and the grant lends nothing.
#[test]
fn grant_sent_at_the_largest_time_is_ignored() {
    let fleet = Fleet::new(5, false);
    let mut leases = fleet.start_member(0, 1, 0);
    let grant = LeaseGrant {
        terms: leases.terms().fingerprint(),
        quota: 0,
        sequence: 1,
        sent_at: Micros::MAX,
        units: 2,
        spare_units: 0,
    };
    leases.on_lease_grant(1, &name(1), &grant);
    assert_eq!(leases.allowances[0].held().borrowed, 0);
}
