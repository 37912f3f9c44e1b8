//! Fleets in virtual time: members, a network that loses, delays, repeats and parts, and members that are killed,
//! stopped and begun again. After each step no budget is exceeded; once it is quiet all tallies are one, and exact.
//!
//! `STREAMUSHER_SEED` and `STREAMUSHER_ROUNDS` make it another run, or a longer one; a failing seed is printed.

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use streamusher_fleet::counts::Counts;
use streamusher_fleet::node::{Node, Setup};
use streamusher_fleet::purse::Purse;
use streamusher_fleet::rights::{Budget, Terms};
use streamusher_fleet::units::{Key, Unit, Units};
use streamusher_fleet::{Life, Micros};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const WALL: Micros = 1_790_000_000 * SECOND;
const UNITS: u64 = 240;

struct Member {
    node: Node,
    purses: Vec<Arc<Purse>>,
    stopped_until: Micros,
    dead: bool,
    /// Jobs in hand: budget and end.
    jobs: VecDeque<(Micros, usize)>,
    /// Versions whose answers wait, with their units.
    held: VecDeque<(u64, u64)>,
    clock: f64,
    waiting: Vec<Vec<u8>>,
}

/// When it arrives, its number, from whom and to whom, and what it is.
type Travelling = (Micros, u64, usize, usize, Vec<u8>);

struct World {
    rng: Pcg64,
    now: Micros,
    members: Vec<Member>,
    terms: Arc<Terms>,
    copies: usize,
    frames: BinaryHeap<Reverse<Travelling>>,
    no: u64,
    loss: f64,
    delay: Micros,
    /// By sender and receiver: a link that is cut, or slow by so much.
    cut: BTreeMap<(usize, usize), Micros>,
    answered: u64,
    raised: u64,
    in_use_of_the_dead: Vec<(Micros, usize)>,
    bytes: u64,
    most_used: u64,
}

fn addr(i: usize) -> SocketAddr {
    format!("10.0.{}.{}:7000", i / 200, i % 200 + 1).parse().expect("an address")
}

fn terms(n: usize) -> Arc<Terms> {
    Arc::new(Terms {
        seats: (0..n).map(|i| Arc::from(format!("m{i}"))).collect(),
        budgets: vec![
            Budget { name: Arc::from("t0"), units: UNITS },
            Budget { name: Arc::from("t1"), units: 7 },
        ],
        floor: 1,
        lease: SECOND,
        hold: 300 * MS,
        margin: 50 * MS,
    })
}

impl World {
    fn new(n: usize, copies: usize, seed: u64) -> World {
        let mut world = World {
            rng: Pcg64::seed_from_u64(seed),
            now: 1_000 * SECOND,
            members: Vec::new(),
            terms: terms(n),
            copies,
            frames: BinaryHeap::new(),
            no: 0,
            loss: 0.0,
            delay: 2 * MS,
            cut: BTreeMap::new(),
            answered: 0,
            raised: 0,
            in_use_of_the_dead: Vec::new(),
            bytes: 0,
            most_used: 0,
        };
        for i in 0..n {
            let member = world.life(i);
            world.members.push(member);
        }
        world
    }

    fn life(&mut self, i: usize) -> Member {
        let purses: Vec<Arc<Purse>> = (0..2).map(|_| Arc::default()).collect();
        let setup = Setup {
            me: Life::new(&format!("m{i}"), WALL + self.now),
            addr: addr(i),
            join: vec![addr(0), addr(1)],
            key: [9; 32],
            seed: self.rng.next_u64(),
            gossip: 100 * MS,
            copies: self.copies,
            terms: self.terms.clone(),
            forget: 600 * SECOND,
            period: 3_600 * SECOND,
        };
        // Clocks of members run at different speeds and from different moments.
        let clock = 1.0 + self.rng.random_range(-4e-4..4e-4);
        let node = Node::new(setup, purses.clone(), (self.now as f64 * clock) as Micros, WALL + self.now);
        Member {
            node,
            purses,
            stopped_until: 0,
            dead: false,
            jobs: VecDeque::new(),
            held: VecDeque::new(),
            clock,
            waiting: Vec::new(),
        }
    }

    fn kill(&mut self, i: usize) {
        // The jobs of a killed life run on at the workers until their time is up.
        let left = std::mem::take(&mut self.members[i].jobs);
        self.in_use_of_the_dead.extend(left);
        self.members[i].dead = true;
    }

    fn begin(&mut self, i: usize) {
        let member = self.life(i);
        self.members[i] = member;
    }

    fn post(&mut self, i: usize) {
        for (to, bytes) in self.members[i].node.take_out() {
            let to = (0..self.members.len()).find(|j| addr(*j) == to).expect("a member's address");
            self.bytes += bytes.len() as u64;
            let slow = match self.cut.get(&(i, to)) {
                Some(&Micros::MAX) => continue,
                Some(slow) => *slow,
                None => 0,
            };
            for _ in 0..1 + u32::from(self.rng.random_bool(self.loss / 2.0)) {
                if !self.rng.random_bool(self.loss) {
                    let at = self.now + slow + self.rng.random_range(100..=self.delay);
                    self.no += 1;
                    self.frames.push(Reverse((at, self.no, i, to, bytes.clone())));
                }
            }
        }
    }

    /// A millisecond passes; `load` jobs of budget 0 come to each of `at`.
    fn step(&mut self, at: &[usize], load: f64) {
        self.now += MS;
        while self.frames.peek().is_some_and(|f| f.0 .0 <= self.now) {
            let Reverse((_, _, _, to, bytes)) = self.frames.pop().expect("just seen");
            let m = &mut self.members[to];
            if !m.dead && m.waiting.len() < 500 {
                m.waiting.push(bytes);
            }
        }
        for i in 0..self.members.len() {
            let (now, hold) = (self.now, self.terms.hold);
            let m = &mut self.members[i];
            // Jobs end at the workers whether their dispatcher runs or not.
            if m.dead || now < m.stopped_until {
                continue;
            }
            let own = (now as f64 * m.clock) as Micros;
            while m.jobs.front().is_some_and(|j| j.0 <= now) {
                let (_, budget) = m.jobs.pop_front().expect("just seen");
                m.purses[budget].give_back();
            }
            // Traffic that waited while it was stopped comes before anything else.
            let arrivals = if at.contains(&i) {
                load.floor() as u64 + u64::from(self.rng.random_bool(load.fract()))
            } else {
                0
            };
            for _ in 0..arrivals {
                if m.purses[0].spend(own) {
                    m.jobs.push_back((now + hold * 9 / 10, 0));
                    let key = Key { period: m.node.period(WALL + now), tenant: Arc::from("t0") };
                    let mut units = Units::one(Unit::Served, 1);
                    units.add(&Units::one(Unit::Attempts, 1));
                    let version = m.node.raise(key, &units);
                    m.held.push_back((version, 1));
                    self.raised += 1;
                }
            }
            for bytes in std::mem::take(&mut m.waiting) {
                m.node.receive(own, WALL + now, &bytes);
            }
            if own >= m.node.next_due() || arrivals > 0 {
                m.node.tick(own, WALL + now);
                m.node.flush(own);
            }
            let safe = m.node.safe();
            while m.held.front().is_some_and(|h| h.0 <= safe) {
                self.answered += m.held.pop_front().expect("just seen").1;
            }
            self.post(i);
        }
        self.in_use_of_the_dead.retain(|j| j.0 > self.now);
        let used = self.used();
        self.most_used = self.most_used.max(used);
        assert!(used <= UNITS, "{used} of {UNITS} in use at {} ms", self.now / MS);
    }

    /// Units of budget 0 in use in truth: jobs that have not ended at the workers.
    fn used(&self) -> u64 {
        let running = |jobs: &VecDeque<(Micros, usize)>| jobs.iter().filter(|j| j.0 > self.now).count();
        let all: usize = self.members.iter().filter(|m| !m.dead).map(|m| running(&m.jobs)).sum();
        (all + self.in_use_of_the_dead.len()) as u64
    }

    fn run(&mut self, time: Micros, at: &[usize], load: f64) {
        let until = self.now + time;
        while self.now < until {
            self.step(at, load);
        }
    }

    /// A member spends as often as it can at this moment, and up to so often; how often it could.
    fn burst(&mut self, i: usize, n: u64) -> u64 {
        let (now, hold) = (self.now, self.terms.hold);
        let m = &mut self.members[i];
        while m.jobs.front().is_some_and(|j| j.0 <= now) {
            let (_, budget) = m.jobs.pop_front().expect("just seen");
            m.purses[budget].give_back();
        }
        let own = (now as f64 * m.clock) as Micros;
        let spent = (0..n).filter(|_| m.purses[0].spend(own)).count() as u64;
        m.jobs.extend((0..spent).map(|_| (now + hold * 9 / 10, 0)));
        spent
    }

    fn part(&mut self, one: &[usize]) {
        for i in 0..self.members.len() {
            for j in 0..self.members.len() {
                if one.contains(&i) != one.contains(&j) {
                    self.cut.insert((i, j), Micros::MAX);
                }
            }
        }
    }

    /// Quiet until all tallies are one; how long it took.
    fn settle(&mut self) -> Micros {
        let from = self.now;
        loop {
            self.run(20 * MS, &[], 0.0);
            let live: Vec<&Member> = self.members.iter().filter(|m| !m.dead).collect();
            let digests: Vec<String> = live.iter().map(|m| m.node.tally().digest).collect();
            if digests.windows(2).all(|d| d[0] == d[1]) && live.iter().all(|m| m.held.is_empty()) {
                return self.now - from;
            }
            assert!(self.now - from < 120 * SECOND, "no one tally: {digests:?}");
        }
    }

    fn served(&self, i: usize) -> u64 {
        self.members[i].node.tally().rows.values().map(|(u, _)| u.get(Unit::Served)).sum()
    }
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |v| v.parse().unwrap_or_else(|_| panic!("{name}: not a number: {v}")))
}

/// Rights flow to where the demand is: one of twelve members with all the traffic.
#[test]
fn one_member_with_all_the_traffic_gets_nine_tenths_of_the_budget_in_two_seconds() {
    let mut world = World::new(12, 0, 5);
    world.run(3 * SECOND, &[], 0.0);
    let before: u64 = world.bytes;
    world.run(2 * SECOND, &[3], 3.0);
    assert!(world.used() >= UNITS * 9 / 10, "{} of {UNITS}", world.used());
    let storm = (world.bytes - before) / 12 / 2;
    assert!(storm < 40_000, "{storm} bytes a second for each member");
    // And on, when the traffic moves.
    world.run(4 * SECOND, &[8], 3.0);
    assert!(world.used() >= UNITS * 9 / 10, "{} of {UNITS}", world.used());
}

/// A half that hears nothing serves what it holds, then its own; afterwards there is one tally.
#[test]
fn a_partition_keeps_the_budget_and_serves_the_floor() {
    let mut world = World::new(6, 1, 6);
    world.run(3 * SECOND, &[0, 1, 2, 3, 4, 5], 1.0);
    world.part(&[0, 1]);
    world.run(5 * SECOND, &[0, 1, 2, 3, 4, 5], 1.0);
    let floor: u64 = (0..2).map(|i| world.members[i].purses[0].used()).sum();
    assert!(floor >= 2, "the smaller part still serves: {floor}");
    world.run(15 * SECOND, &[0, 1, 2, 3, 4, 5], 1.0);
    world.cut.clear();
    let took = world.settle();
    assert!((0..6).all(|i| world.served(i) == world.raised), "{} raised", world.raised);
    assert!(took < 20 * SECOND, "{took}");
}

/// Stopped past its lease with traffic waiting: it has nothing to spend until it has heard the others.
#[test]
fn a_member_that_wakes_spends_nothing_on_stale_rights() {
    let mut world = World::new(4, 0, 7);
    world.run(3 * SECOND, &[], 0.0);
    world.run(2 * SECOND, &[2], 3.0);
    assert!(world.members[2].purses[0].rights().1 > 0, "it has borrowed");
    world.members[2].stopped_until = world.now + 5 * SECOND;
    // The others take what comes back to them.
    world.run(5 * SECOND - MS, &[0, 1, 3], 3.0);
    // It wakes: its jobs have ended, and a burst that waited in its sockets comes before anything that was said to it.
    let spent = world.burst(2, 300);
    assert_eq!(spent, 0, "it spends before it has looked round");
    assert!(world.used() <= UNITS, "{}", world.used());
    world.run(3 * SECOND, &[0, 1, 2, 3], 2.0);
    assert!(world.members[2].purses[0].used() > 0, "then it serves again");
}

/// A member that nobody hears takes work and is killed: what its clients were answered is in the tally.
#[test]
fn answers_wait_for_their_copies() {
    let mut world = World::new(4, 2, 12);
    world.run(3 * SECOND, &[0], 0.5);
    world.part(&[0]);
    world.run(300 * MS, &[0], 0.5);
    world.kill(0);
    world.cut.clear();
    let (answered, raised) = (world.answered, world.raised);
    assert!(answered > 500 && raised > answered, "{answered} answered of {raised}");
    world.settle();
    assert!(world.served(1) >= answered, "{} in the tally, {answered} answered", world.served(1));
}

/// A life that had lent and one that had borrowed are killed at once; both begin again.
#[test]
fn rights_of_killed_lives_come_back_after_their_time() {
    let mut world = World::new(4, 0, 8);
    world.run(3 * SECOND, &[], 0.0);
    world.run(2 * SECOND, &[1], 3.0);
    world.kill(1);
    world.kill(0);
    world.run(200 * MS, &[2], 3.0);
    world.begin(0);
    world.begin(1);
    world.run(500 * MS, &[0, 1, 2], 2.0);
    assert_eq!(world.members[0].purses[0].rights().0, 0, "its earlier life may have lent all it had");
    world.run(5 * SECOND, &[2], 3.0);
    assert!(world.used() >= UNITS * 9 / 10, "all is back: {}", world.used());
}

/// A hears B, B does not hear A: the members stay as they are.
#[test]
fn a_one_way_cut_does_not_flap() {
    let mut world = World::new(5, 0, 9);
    world.run(5 * SECOND, &[], 0.0);
    let before: Vec<u64> = world.members.iter().map(|m| m.node.show(0).membership_changes).collect();
    world.cut.insert((0, 1), Micros::MAX);
    world.run(60 * SECOND, &[], 0.0);
    for (m, before) in world.members.iter().zip(before) {
        let changes = m.node.show(0).membership_changes - before;
        assert!(changes <= 2, "{changes} changes in a minute");
    }
}

/// One slow link does not slow the others down.
#[test]
fn a_slow_member_does_not_slow_the_rest() {
    let mut world = World::new(8, 1, 10);
    world.run(3 * SECOND, &[], 0.0);
    for i in 0..7 {
        world.cut.insert((i, 7), 3 * SECOND);
        world.cut.insert((7, i), 3 * SECOND);
    }
    world.run(3 * SECOND, &[0, 1, 2], 0.5);
    world.run(2 * SECOND, &[], 0.0);
    let digests: Vec<String> = (0..7).map(|i| world.members[i].node.tally().digest).collect();
    assert!(digests.windows(2).all(|d| d[0] == d[1]), "{digests:?}");
    world.cut.clear();
    world.settle();
    assert_eq!(world.served(7), world.raised);
}

/// Restarts without end: lives are folded, memory stays bounded, and nothing counts twice; also for a member that
/// was away while they were folded and comes back with the rows of before.
#[test]
fn folded_lives_count_once_for_one_that_missed_the_folding() {
    let mut world = World::new(4, 2, 11);
    world.run(3 * SECOND, &[0, 1, 2, 3], 0.2);
    world.part(&[3]);
    for round in 0..60 {
        world.run(700 * MS, &[0, 1, 2], 0.2);
        world.settle_answers();
        let i = round % 3;
        world.kill(i);
        world.begin(i);
        // The one that is away is forgotten here, as it would be after ten minutes.
        world.members.iter_mut().take(3).for_each(|m| m.node.forget_now("m3"));
    }
    world.run(30 * SECOND, &[0, 1, 2], 0.1);
    let (lives, rows) = (world.members[0].node.show(0).lives, world.members[0].node.show(0).rows);
    assert!(lives <= 8 && rows <= 16, "{lives} lives, {rows} rows after 60 restarts");
    world.cut.clear();
    world.settle();
    for i in 0..4 {
        assert!(
            world.served(i) >= world.answered && world.served(i) <= world.raised,
            "{} {} {}",
            world.served(i),
            world.answered,
            world.raised
        );
    }
}

impl World {
    fn settle_answers(&mut self) {
        for _ in 0..5_000 {
            if self.members.iter().enumerate().all(|(i, m)| i == 3 || m.dead || m.held.is_empty()) {
                return;
            }
            self.step(&[], 0.0);
        }
        panic!("answers are held for good");
    }
}

/// Rows of a life come late, after all its members have folded it: they count for nothing, as the sum holds them.
#[test]
fn rows_of_a_folded_life_that_come_late_count_once() {
    let name = |n: &str| -> Arc<str> { Arc::from(n) };
    let key = Key { period: 1, tenant: name("t0") };
    let mut first = Counts::new(Life::new("a", 1));
    first.raise(key.clone(), &Units::one(Unit::Served, 5));
    let late = first.own_since(0);
    let mut b = Counts::new(Life::new("b", 1));
    late.iter().for_each(|d| {
        b.merge(d, 9);
    });
    let mut second = Counts::new(Life::new("a", 2));
    second.raise(key.clone(), &Units::one(Unit::Served, 3));
    second.own_since(0).iter().for_each(|d| {
        b.merge(d, 9);
    });
    // The new life hears of its first from b, and tells it so.
    let theirs = second.digest(None, 9);
    b.lacks(&name("a"), None, &theirs, true, 9).iter().for_each(|d| {
        second.merge(d, 9);
    });
    let theirs = second.digest(None, 9);
    b.lacks(&name("a"), None, &theirs, true, 9);
    assert_eq!(b.fold(0, 0, &[name("a")]), 1, "final: superseded, and held by all to the same version");
    late.iter().for_each(|d| {
        b.merge(d, 9);
    });
    assert_eq!(b.tally().rows[&key].0.get(Unit::Served), 8);
    assert_eq!(b.refused_late, 1);
}

/// Random faults from seeds: no budget is ever exceeded, and what was answered is in the one tally at the end.
#[test]
fn random_faults_from_seeds() {
    let (seed, rounds) = (number("STREAMUSHER_SEED", 1), number("STREAMUSHER_ROUNDS", 6));
    for seed in seed..seed + rounds {
        println!("seed {seed}");
        let mut world = World::new(5, 1, seed);
        world.run(2 * SECOND, &[], 0.0);
        let mut rng = Pcg64::seed_from_u64(seed ^ 0xfa17);
        for _ in 0..25 {
            let at: Vec<usize> = (0..5).filter(|_| rng.random_bool(0.5)).collect();
            match rng.random_range(0..7) {
                0 => {
                    // One at a time, as copies = 1 bears, and given time to spread.
                    let i = rng.random_range(0..5);
                    if !world.members[i].dead {
                        world.kill(i);
                        world.run(rng.random_range(10..600) * MS, &at, 1.0);
                        world.begin(i);
                    }
                }
                1 => {
                    let i = rng.random_range(0..5);
                    world.members[i].stopped_until = world.now + rng.random_range(100..4_000) * MS;
                }
                2 => world.part(&[rng.random_range(0..5), rng.random_range(0..5)]),
                3 => drop(world.cut.insert((rng.random_range(0..5), rng.random_range(0..5)), Micros::MAX)),
                4 => (world.loss, world.delay) = (rng.random_range(0.0..0.3), rng.random_range(2..200) * MS),
                _ => {
                    world.cut.clear();
                    (world.loss, world.delay) = (0.0, 2 * MS);
                }
            }
            world.run(rng.random_range(50..1_500) * MS, &at, rng.random_range(0.0..2.0));
            // Heal before the next kill, as the copies of two kills at once are one too few.
            world.cut.clear();
            (world.loss, world.delay) = (0.0, 2 * MS);
            world.members.iter_mut().for_each(|m| m.stopped_until = m.stopped_until.min(world.now + 10 * MS));
            world.run(1_500 * MS, &at, 0.2);
        }
        world.settle();
        for i in 0..5 {
            let served = world.served(i);
            assert!(
                served >= world.answered && served <= world.raised,
                "seed {seed}: {served}, {} answered",
                world.answered
            );
        }
        assert!(world.answered > 100, "seed {seed}: {}", world.answered);
    }
}
