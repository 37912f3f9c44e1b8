//! A fleet in virtual time: members, a network that loses, delays, repeats and partitions, and members that
//! crash, pause and restart. Each simulated millisecond asserts that no quota is exceeded.
#![allow(dead_code, reason = "each test file uses a part of it")]

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use streamusher_fleet::allowance::QuotaAllowance;
use streamusher_fleet::node::FleetNode;
use streamusher_fleet::outbox::OutboundDatagram;
use streamusher_fleet::quota::{Quota, QuotaTerms};
use streamusher_fleet::settings::FleetSettings;
use streamusher_fleet::usage::{UsageKey, UsageMetric, UsageValues};
use streamusher_fleet::{Incarnation, Micros};

pub(crate) const MS: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;
/// Unix time at the start of the simulated clock.
pub(crate) const UNIX_START: Micros = 1_790_000_000 * SECOND;
/// Units of quota 0, which is under load.
pub(crate) const UNITS: u64 = 240;
/// Datagrams buffered for a paused member; further ones are lost.
const SOCKET_BUFFER: usize = 500;
/// The longest time within which the totals must converge.
const CONVERGENCE_TIMEOUT: Micros = 120 * SECOND;

/// A job at a worker, which holds one unit.
pub(crate) struct Job {
    pub(crate) ends_at: Micros,
    pub(crate) quota: usize,
}

/// Answers held until their usage count is replicated.
pub(crate) struct HeldAnswers {
    pub(crate) version: u64,
    pub(crate) count: u64,
}

pub(crate) struct SimulatedMember {
    pub(crate) node: FleetNode,
    pub(crate) allowances: Vec<Arc<QuotaAllowance>>,
    pub(crate) paused_until: Micros,
    pub(crate) crashed: bool,
    pub(crate) jobs: VecDeque<Job>,
    pub(crate) held_answers: VecDeque<HeldAnswers>,
    /// Rate of the member's clock relative to the simulated clock.
    pub(crate) clock_rate: f64,
    /// Datagrams in the member's socket buffer.
    pub(crate) received: Vec<Vec<u8>>,
}

impl SimulatedMember {
    /// The time on the member's own clock.
    fn local_time(&self, now: Micros) -> Micros {
        scaled(now, self.clock_rate)
    }

    /// Ends jobs that are due.
    fn end_jobs(&mut self, now: Micros) {
        while self.jobs.front().is_some_and(|job| job.ends_at <= now) {
            let job = self.jobs.pop_front().expect("just seen");
            self.allowances[job.quota].release();
        }
    }

    /// Counts a served request; returns the version that includes it.
    fn count_served(&mut self, unix_time: Micros) -> u64 {
        let key = UsageKey {
            period: self.node.period(unix_time),
            tenant: Arc::from("t0"),
        };
        let mut values = UsageValues::single(UsageMetric::Served, 1);
        values.add(&UsageValues::single(UsageMetric::Attempts, 1));
        self.node.increment(key, &values)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "simulated times are far below 2^53"
)]
fn scaled(time: Micros, rate: f64) -> Micros {
    (time as f64 * rate) as Micros
}

/// A datagram in flight. Ordered by arrival time, then by number.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    arrives_at: Micros,
    number: u64,
    to: usize,
    bytes: Vec<u8>,
}

pub(crate) struct Simulation {
    pub(crate) rng: Pcg64,
    pub(crate) now: Micros,
    pub(crate) members: Vec<SimulatedMember>,
    terms: Arc<QuotaTerms>,
    required_copies: usize,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    last_datagram: u64,
    /// The fraction of datagrams that are lost.
    pub(crate) loss: f64,
    /// The longest transmission delay of a datagram.
    pub(crate) delay: Micros,
    /// Extra delay of a link, by sender and receiver; [`Micros::MAX`] if the link is cut.
    pub(crate) slow_links: BTreeMap<(usize, usize), Micros>,
    /// Requests whose answers were released.
    pub(crate) answered: u64,
    /// Requests that were counted.
    pub(crate) counted: u64,
    jobs_of_crashed: Vec<Job>,
    pub(crate) sent_bytes: u64,
    /// Hash over all datagrams sent, with their senders and receivers.
    pub(crate) sent_digest: blake3::Hasher,
}

fn address(member: usize) -> SocketAddr {
    format!("10.0.{}.{}:7000", member / 200, member % 200 + 1)
        .parse()
        .expect("an address")
}

fn terms(members: usize) -> Arc<QuotaTerms> {
    let quota = |name, units| Quota {
        name: Arc::from(name),
        units,
    };
    Arc::new(QuotaTerms {
        member_names: (0..members).map(|i| Arc::from(format!("m{i}"))).collect(),
        quotas: vec![quota("t0", UNITS), quota("t1", 7)],
        unlent_floor: 1,
        lease: SECOND,
        max_use: 300 * MS,
        margin: 50 * MS,
    })
}

impl Simulation {
    pub(crate) fn new(members: usize, required_copies: usize, seed: u64) -> Simulation {
        let mut simulation = Simulation {
            rng: Pcg64::seed_from_u64(seed),
            now: 1_000 * SECOND,
            members: Vec::new(),
            terms: terms(members),
            required_copies,
            in_flight: BinaryHeap::new(),
            last_datagram: 0,
            loss: 0.0,
            delay: 2 * MS,
            slow_links: BTreeMap::new(),
            answered: 0,
            counted: 0,
            jobs_of_crashed: Vec::new(),
            sent_bytes: 0,
            sent_digest: blake3::Hasher::new(),
        };
        for i in 0..members {
            let member = simulation.start_member(i);
            simulation.members.push(member);
        }
        simulation
    }

    fn start_member(&mut self, index: usize) -> SimulatedMember {
        let allowances: Vec<Arc<QuotaAllowance>> = (0..2).map(|_| Arc::default()).collect();
        let unix_time = UNIX_START + self.now;
        let settings = FleetSettings {
            local: Incarnation::new(&format!("m{index}"), unix_time),
            address: address(index),
            join_addresses: vec![address(0), address(1)],
            key: [9; 32],
            seed: self.rng.next_u64(),
            gossip_interval: 100 * MS,
            required_copies: self.required_copies,
            terms: self.terms.clone(),
            forget_after: 600 * SECOND,
            period: 3_600 * SECOND,
        };
        // The clocks of the members run at different rates and show different times.
        let clock_rate = 1.0 + self.rng.random_range(-4e-4..4e-4);
        let local_time = scaled(self.now, clock_rate);
        SimulatedMember {
            node: FleetNode::new(settings, allowances.clone(), local_time, unix_time),
            allowances,
            paused_until: 0,
            crashed: false,
            jobs: VecDeque::new(),
            held_answers: VecDeque::new(),
            clock_rate,
            received: Vec::new(),
        }
    }

    pub(crate) fn crash(&mut self, index: usize) {
        // The jobs of a crashed member continue at the workers until they end.
        let jobs = std::mem::take(&mut self.members[index].jobs);
        self.jobs_of_crashed.extend(jobs);
        self.members[index].crashed = true;
    }

    pub(crate) fn restart(&mut self, index: usize) {
        let member = self.start_member(index);
        self.members[index] = member;
    }

    fn send_outbound(&mut self, from: usize) {
        for OutboundDatagram { to, bytes } in self.members[from].node.take_outbound() {
            let to = (0..self.members.len())
                .find(|member| address(*member) == to)
                .expect("a member's address");
            self.sent_bytes += bytes.len() as u64;
            let link = [from, to].map(|member| u8::try_from(member % 256).expect("a byte"));
            self.sent_digest.update(&link).update(&bytes);
            let extra_delay = match self.slow_links.get(&(from, to)) {
                Some(&Micros::MAX) => continue,
                Some(delay) => *delay,
                None => 0,
            };
            for _ in 0..=u32::from(self.rng.random_bool(self.loss / 2.0)) {
                if !self.rng.random_bool(self.loss) {
                    let transmission_delay = self.rng.random_range(100..=self.delay);
                    self.last_datagram += 1;
                    self.in_flight.push(Reverse(InFlight {
                        arrives_at: self.now + extra_delay + transmission_delay,
                        number: self.last_datagram,
                        to,
                        bytes: bytes.clone(),
                    }));
                }
            }
        }
    }

    /// Advances the time by one millisecond; `load` jobs of quota 0 arrive at each of the members in
    /// `loaded`.
    pub(crate) fn step(&mut self, loaded: &[usize], load: f64) {
        self.now += MS;
        self.deliver();
        for index in 0..self.members.len() {
            // Jobs end at the workers whether the dispatcher runs or not.
            let member = &self.members[index];
            if !member.crashed && self.now >= member.paused_until {
                self.step_member(index, loaded.contains(&index), load);
                self.send_outbound(index);
            }
        }
        let now = self.now;
        self.jobs_of_crashed.retain(|job| job.ends_at > now);
        let used = self.used();
        assert!(
            used <= UNITS,
            "{used} of {UNITS} in use at {} ms",
            self.now / MS
        );
    }

    fn deliver(&mut self) {
        while let Some(Reverse(first)) = self.in_flight.peek() {
            if first.arrives_at > self.now {
                break;
            }
            let Reverse(datagram) = self.in_flight.pop().expect("just seen");
            let member = &mut self.members[datagram.to];
            if !member.crashed && member.received.len() < SOCKET_BUFFER {
                member.received.push(datagram.bytes);
            }
        }
    }

    fn step_member(&mut self, index: usize, is_loaded: bool, load: f64) {
        let now = self.now;
        let unix_time = UNIX_START + now;
        let max_use = self.terms.max_use;
        let member = &mut self.members[index];
        let local_time = member.local_time(now);
        member.end_jobs(now);
        // Requests that waited during a pause are handled before anything else.
        let arrivals = if is_loaded {
            scaled(1, load.floor()) + u64::from(self.rng.random_bool(load.fract()))
        } else {
            0
        };
        for _ in 0..arrivals {
            if member.allowances[0].try_acquire(local_time) {
                member.jobs.push_back(Job {
                    ends_at: now + max_use * 9 / 10,
                    quota: 0,
                });
                let version = member.count_served(unix_time);
                member
                    .held_answers
                    .push_back(HeldAnswers { version, count: 1 });
                self.counted += 1;
            }
        }
        for bytes in std::mem::take(&mut member.received) {
            member.node.receive(local_time, unix_time, &bytes);
        }
        if local_time >= member.node.next_deadline() || arrivals > 0 {
            member.node.tick(local_time, unix_time);
            member.node.send_own_usage(local_time);
        }
        let replicated = member.node.replicated_version();
        while let Some(answers) = member.held_answers.front() {
            if answers.version > replicated {
                break;
            }
            self.answered += answers.count;
            member.held_answers.pop_front();
        }
    }

    /// Units of quota 0 that are actually in use: jobs that have not ended at the workers.
    pub(crate) fn used(&self) -> u64 {
        let running: usize = self
            .members
            .iter()
            .filter(|member| !member.crashed)
            .map(|member| {
                let jobs = member.jobs.iter();
                jobs.filter(|job| job.ends_at > self.now).count()
            })
            .sum();
        (running + self.jobs_of_crashed.len()) as u64
    }

    pub(crate) fn run(&mut self, time: Micros, loaded: &[usize], load: f64) {
        let until = self.now + time;
        while self.now < until {
            self.step(loaded, load);
        }
    }

    /// A member acquires as many units as it can at once, at most `limit`; returns how many.
    pub(crate) fn burst(&mut self, index: usize, limit: u64) -> u64 {
        let now = self.now;
        let max_use = self.terms.max_use;
        let member = &mut self.members[index];
        member.end_jobs(now);
        let local_time = member.local_time(now);
        let mut acquired = 0;
        for _ in 0..limit {
            if member.allowances[0].try_acquire(local_time) {
                acquired += 1;
                member.jobs.push_back(Job {
                    ends_at: now + max_use * 9 / 10,
                    quota: 0,
                });
            }
        }
        acquired
    }

    /// Cuts all links between the members in `side` and the others.
    pub(crate) fn partition(&mut self, side: &[usize]) {
        for from in 0..self.members.len() {
            for to in 0..self.members.len() {
                if side.contains(&from) != side.contains(&to) {
                    self.slow_links.insert((from, to), Micros::MAX);
                }
            }
        }
    }

    /// Runs without load until all members have the same totals and no held answers; returns the simulated
    /// time needed.
    pub(crate) fn run_until_converged(&mut self) -> Micros {
        let start = self.now;
        loop {
            self.run(20 * MS, &[], 0.0);
            let running: Vec<&SimulatedMember> = self
                .members
                .iter()
                .filter(|member| !member.crashed)
                .collect();
            let digests: Vec<String> = running
                .iter()
                .map(|member| member.node.totals().digest)
                .collect();
            let same = digests.windows(2).all(|pair| pair[0] == pair[1]);
            if same && running.iter().all(|m| m.held_answers.is_empty()) {
                return self.now - start;
            }
            assert!(
                self.now - start < CONVERGENCE_TIMEOUT,
                "totals differ: {digests:?}"
            );
        }
    }

    /// Number of served requests in the totals of a member.
    pub(crate) fn served(&self, index: usize) -> u64 {
        self.members[index]
            .node
            .totals()
            .rows
            .values()
            .map(|total| total.values.get(UsageMetric::Served))
            .sum()
    }
}
