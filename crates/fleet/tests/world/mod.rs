//! A fleet in virtual time: members, a network that loses, delays, repeats and parts, and members that are killed, stopped
//! and begun again. After each millisecond no budget may be exceeded.
#![allow(dead_code)]

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use streamusher_fleet::allowance::QuotaAllowance;
use streamusher_fleet::node::{FleetNode, FleetSettings};
use streamusher_fleet::outbox::OutboundDatagram;
use streamusher_fleet::quota::{Quota, QuotaTerms};
use streamusher_fleet::usage::{UsageKey, UsageMetric, UsageValues};
use streamusher_fleet::{Incarnation, Micros};

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
pub const WALL: Micros = 1_790_000_000 * SECOND;
pub const UNITS: u64 = 240;

pub struct Member {
    pub node: FleetNode,
    pub allowances: Vec<Arc<QuotaAllowance>>,
    pub stopped_until: Micros,
    pub dead: bool,
    /// Jobs in hand: budget and end.
    pub jobs: VecDeque<(Micros, usize)>,
    /// Versions whose answers wait, with their units.
    pub held: VecDeque<(u64, u64)>,
    pub clock: f64,
    pub waiting: Vec<Vec<u8>>,
}

/// When it arrives, its number, from whom and to whom, and what it is.
type Travelling = (Micros, u64, usize, usize, Vec<u8>);

pub struct World {
    pub rng: Pcg64,
    pub now: Micros,
    pub members: Vec<Member>,
    pub terms: Arc<QuotaTerms>,
    pub copies: usize,
    pub frames: BinaryHeap<Reverse<Travelling>>,
    pub number: u64,
    pub loss: f64,
    pub delay: Micros,
    /// By sender and receiver: a link that is cut, or slow by so much.
    pub cut: BTreeMap<(usize, usize), Micros>,
    pub answered: u64,
    pub raised: u64,
    pub in_use_of_the_dead: Vec<(Micros, usize)>,
    pub bytes: u64,
    /// Over all datagrams sent, with their senders and receivers.
    pub sent_digest: blake3::Hasher,
    pub most_used: u64,
}

pub fn addr(i: usize) -> SocketAddr {
    format!("10.0.{}.{}:7000", i / 200, i % 200 + 1)
        .parse()
        .expect("an address")
}

pub fn terms(n: usize) -> Arc<QuotaTerms> {
    Arc::new(QuotaTerms {
        member_names: (0..n).map(|i| Arc::from(format!("m{i}"))).collect(),
        quotas: vec![
            Quota {
                name: Arc::from("t0"),
                units: UNITS,
            },
            Quota {
                name: Arc::from("t1"),
                units: 7,
            },
        ],
        unlent_floor: 1,
        lease: SECOND,
        max_use: 300 * MS,
        margin: 50 * MS,
    })
}

impl World {
    pub fn new(n: usize, copies: usize, seed: u64) -> World {
        let mut world = World {
            rng: Pcg64::seed_from_u64(seed),
            now: 1_000 * SECOND,
            members: Vec::new(),
            terms: terms(n),
            copies,
            frames: BinaryHeap::new(),
            number: 0,
            loss: 0.0,
            delay: 2 * MS,
            cut: BTreeMap::new(),
            answered: 0,
            raised: 0,
            in_use_of_the_dead: Vec::new(),
            bytes: 0,
            sent_digest: blake3::Hasher::new(),
            most_used: 0,
        };
        for i in 0..n {
            let member = world.incarnation(i);
            world.members.push(member);
        }
        world
    }

    pub fn incarnation(&mut self, i: usize) -> Member {
        let allowances: Vec<Arc<QuotaAllowance>> = (0..2).map(|_| Arc::default()).collect();
        let settings = FleetSettings {
            local: Incarnation::new(&format!("m{i}"), WALL + self.now),
            address: addr(i),
            join_addresses: vec![addr(0), addr(1)],
            key: [9; 32],
            seed: self.rng.next_u64(),
            gossip_interval: 100 * MS,
            required_copies: self.copies,
            terms: self.terms.clone(),
            forget_after: 600 * SECOND,
            period: 3_600 * SECOND,
        };
        // Clocks of members run at different speeds and from different moments.
        let clock = 1.0 + self.rng.random_range(-4e-4..4e-4);
        let node = FleetNode::new(
            settings,
            allowances.clone(),
            (self.now as f64 * clock) as Micros,
            WALL + self.now,
        );
        Member {
            node,
            allowances,
            stopped_until: 0,
            dead: false,
            jobs: VecDeque::new(),
            held: VecDeque::new(),
            clock,
            waiting: Vec::new(),
        }
    }

    pub fn kill(&mut self, i: usize) {
        // The jobs of a killed life run on at the workers until their time is up.
        let left = std::mem::take(&mut self.members[i].jobs);
        self.in_use_of_the_dead.extend(left);
        self.members[i].dead = true;
    }

    pub fn begin(&mut self, i: usize) {
        let member = self.incarnation(i);
        self.members[i] = member;
    }

    pub fn post(&mut self, i: usize) {
        for OutboundDatagram { to, bytes } in self.members[i].node.take_outbound() {
            let to = (0..self.members.len())
                .find(|j| addr(*j) == to)
                .expect("a member's address");
            self.bytes += bytes.len() as u64;
            self.sent_digest.update(&[i as u8, to as u8]).update(&bytes);
            let slow = match self.cut.get(&(i, to)) {
                Some(&Micros::MAX) => continue,
                Some(slow) => *slow,
                None => 0,
            };
            for _ in 0..1 + u32::from(self.rng.random_bool(self.loss / 2.0)) {
                if !self.rng.random_bool(self.loss) {
                    let at = self.now + slow + self.rng.random_range(100..=self.delay);
                    self.number += 1;
                    self.frames
                        .push(Reverse((at, self.number, i, to, bytes.clone())));
                }
            }
        }
    }

    /// A millisecond passes; `load` jobs of budget 0 come to each of `at`.
    pub fn step(&mut self, at: &[usize], load: f64) {
        self.now += MS;
        while self.frames.peek().is_some_and(|f| f.0 .0 <= self.now) {
            let Reverse((_, _, _, to, bytes)) = self.frames.pop().expect("just seen");
            let m = &mut self.members[to];
            if !m.dead && m.waiting.len() < 500 {
                m.waiting.push(bytes);
            }
        }
        for i in 0..self.members.len() {
            let (now, hold) = (self.now, self.terms.max_use);
            let m = &mut self.members[i];
            // Jobs end at the workers whether their dispatcher runs or not.
            if m.dead || now < m.stopped_until {
                continue;
            }
            let own = (now as f64 * m.clock) as Micros;
            while m.jobs.front().is_some_and(|j| j.0 <= now) {
                let (_, quota) = m.jobs.pop_front().expect("just seen");
                m.allowances[quota].release();
            }
            // Traffic that waited while it was stopped comes before anything else.
            let arrivals = if at.contains(&i) {
                load.floor() as u64 + u64::from(self.rng.random_bool(load.fract()))
            } else {
                0
            };
            for _ in 0..arrivals {
                if m.allowances[0].try_acquire(own) {
                    m.jobs.push_back((now + hold * 9 / 10, 0));
                    let key = UsageKey {
                        period: m.node.period(WALL + now),
                        tenant: Arc::from("t0"),
                    };
                    let mut units = UsageValues::single(UsageMetric::Served, 1);
                    units.add(&UsageValues::single(UsageMetric::Attempts, 1));
                    let version = m.node.increment(key, &units);
                    m.held.push_back((version, 1));
                    self.raised += 1;
                }
            }
            for bytes in std::mem::take(&mut m.waiting) {
                m.node.receive(own, WALL + now, &bytes);
            }
            if own >= m.node.next_deadline() || arrivals > 0 {
                m.node.tick(own, WALL + now);
                m.node.send_own_usage(own);
            }
            let safe = m.node.replicated_version();
            while m.held.front().is_some_and(|h| h.0 <= safe) {
                self.answered += m.held.pop_front().expect("just seen").1;
            }
            self.post(i);
        }
        self.in_use_of_the_dead.retain(|j| j.0 > self.now);
        let used = self.used();
        self.most_used = self.most_used.max(used);
        assert!(
            used <= UNITS,
            "{used} of {UNITS} in use at {} ms",
            self.now / MS
        );
    }

    /// Units of budget 0 in use in truth: jobs that have not ended at the workers.
    pub fn used(&self) -> u64 {
        let running =
            |jobs: &VecDeque<(Micros, usize)>| jobs.iter().filter(|j| j.0 > self.now).count();
        let all: usize = self
            .members
            .iter()
            .filter(|m| !m.dead)
            .map(|m| running(&m.jobs))
            .sum();
        (all + self.in_use_of_the_dead.len()) as u64
    }

    pub fn run(&mut self, time: Micros, at: &[usize], load: f64) {
        let until = self.now + time;
        while self.now < until {
            self.step(at, load);
        }
    }

    /// A member spends as often as it can at this moment, and up to so often; how often it could.
    pub fn burst(&mut self, i: usize, n: u64) -> u64 {
        let (now, hold) = (self.now, self.terms.max_use);
        let m = &mut self.members[i];
        while m.jobs.front().is_some_and(|j| j.0 <= now) {
            let (_, quota) = m.jobs.pop_front().expect("just seen");
            m.allowances[quota].release();
        }
        let own = (now as f64 * m.clock) as Micros;
        let spent = (0..n).filter(|_| m.allowances[0].try_acquire(own)).count() as u64;
        m.jobs.extend((0..spent).map(|_| (now + hold * 9 / 10, 0)));
        spent
    }

    pub fn part(&mut self, one: &[usize]) {
        for i in 0..self.members.len() {
            for j in 0..self.members.len() {
                if one.contains(&i) != one.contains(&j) {
                    self.cut.insert((i, j), Micros::MAX);
                }
            }
        }
    }

    /// Quiet until all tallies are one; how long it took.
    pub fn settle(&mut self) -> Micros {
        let from = self.now;
        loop {
            self.run(20 * MS, &[], 0.0);
            let live: Vec<&Member> = self.members.iter().filter(|m| !m.dead).collect();
            let digests: Vec<String> = live.iter().map(|m| m.node.totals().digest).collect();
            if digests.windows(2).all(|d| d[0] == d[1]) && live.iter().all(|m| m.held.is_empty()) {
                return self.now - from;
            }
            assert!(self.now - from < 120 * SECOND, "no one tally: {digests:?}");
        }
    }

    pub fn served(&self, i: usize) -> u64 {
        self.members[i]
            .node
            .totals()
            .rows
            .values()
            .map(|total| total.values.get(UsageMetric::Served))
            .sum()
    }
}
