//! A day of a primary, a relay that loses, delays, repeats and swaps, and nodes that start work.

use super::{apply, cores, records, run, State};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use streamusher_fair_share::bounds::largest_inversion_ms;
use streamusher_fair_share::{
    FairShareAccounts, FairShareSettings, RankingReplica, RankingUpdate, RankingVersion,
    UsageCharge,
};

const STEP_MS: u64 = 100;
const DAY_MS: u64 = 90_000;
const NODES: usize = 4;
const USERS: u64 = 6;
/// Of the whole cluster.
const MOST_CORES: u64 = 60;
/// Both sides round their keys to milliseconds.
const ROUNDING_MS: f64 = 2.0;

/// A use as the oracle sees it, in agreed time.
struct Use {
    user: usize,
    cores: u64,
    from: u64,
    /// None: it still runs.
    to: Option<u64>,
    /// When it was decided that the user does not pay for it.
    refunded_at: Option<u64>,
}

struct Unit {
    user: usize,
    cores: u64,
    came: u64,
    lasts: u64,
}

struct Running {
    number: u64,
    ends: u64,
    record: usize,
}

struct Node {
    follower: RankingReplica,
    /// Its steady clock minus the simulation's time, and by how many thousandths it is slow.
    offset: u64,
    slow: u64,
    free: u64,
    runs: Vec<Running>,
    cut_until: u64,
    asks_at: u64,
}

impl Node {
    fn clock(&self, now: u64) -> u64 {
        self.offset + now - now * self.slow / 1_000
    }
}

struct Letter {
    to: usize,
    asked_at: u64,
    update: RankingUpdate,
}

/// One seeded day.
pub struct Simulation {
    seed: u64,
    rng: Pcg32,
    settings: FairShareSettings,
    now: u64,
    /// The primary's book and the origin of its steady clock; none while there is no primary.
    book: Option<(FairShareAccounts, u64)>,
    returns_at: u64,
    epoch: u64,
    state: State,
    agreed: u64,
    nodes: Vec<Node>,
    waiting: Vec<Unit>,
    uses: Vec<Use>,
    letters: BTreeMap<(u64, u64), Letter>,
    sent: u64,
    run_number: u64,
    /// Agreed time of each version, and its keys as the first node that used it had them.
    told: BTreeMap<RankingVersion, (u64, Vec<u64>)>,
    pub starts: u64,
    pub stale_starts: u64,
    pub failovers: u64,
    pub inversions_within_bound: u64,
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let mut rng = Pcg32::seed_from_u64(seed);
        let half_life = rng.random_range(10..60) * 1_000;
        let settings = FairShareSettings {
            most_delay_ms: rng.random_range(5_000..60_000),
            half_delay_core_s: rng.random_range(50..600),
            largest_rate_cores: MOST_CORES,
            ..FairShareSettings::with_half_life(half_life)
        };
        let node = |rng: &mut Pcg32| Node {
            follower: RankingReplica::new(settings.clone()),
            offset: rng.random_range(0..1_000_000),
            slow: rng.random_range(0..20),
            free: MOST_CORES / NODES as u64,
            runs: Vec::new(),
            cut_until: 0,
            asks_at: rng.random_range(0..1_000),
        };
        let nodes = (0..NODES).map(|_| node(&mut rng)).collect();
        let origin = rng.random_range(0..1_000_000);
        let book = FairShareAccounts::new(settings.clone(), 1, origin);
        Simulation {
            seed,
            rng,
            settings,
            now: 0,
            book: Some((book, origin)),
            returns_at: 0,
            epoch: 1,
            state: State::new(),
            agreed: 0,
            nodes,
            waiting: Vec::new(),
            uses: Vec::new(),
            letters: BTreeMap::new(),
            sent: 0,
            run_number: 0,
            told: BTreeMap::new(),
            starts: 0,
            stale_starts: 0,
            failovers: 0,
            inversions_within_bound: 0,
        }
    }

    pub fn run(&mut self) {
        while self.now < DAY_MS {
            self.now += STEP_MS;
            self.primary();
            self.clients();
            self.relay();
            (0..NODES).for_each(|node| self.end_runs(node));
            (0..NODES).for_each(|node| self.start_work(node));
        }
    }

    fn primary(&mut self) {
        if self.book.is_none() && self.now >= self.returns_at {
            self.take_over();
        }
        let Some((book, origin)) = self.book.as_mut() else {
            return;
        };
        // A steady clock read late is no harm.
        let clock = *origin + self.now - self.rng.random_range(0..3) * 40;
        let writes = book.advance(clock);
        apply(&mut self.state, writes);
        self.agreed = book.agreed_time(*origin + self.now);
        self.told
            .entry(book.version())
            .or_insert((book.ranking().time(), Vec::new()));
        if self.rng.random_range(0..300) == 0 {
            self.fail();
        }
    }

    /// The primary dies. What it charged after its newest committed version is told to nobody.
    fn fail(&mut self) {
        self.book = None;
        self.failovers += 1;
        self.returns_at = self.now + self.rng.random_range(0..4_000);
        let time = self.committed_time();
        self.agreed = time;
        for used in &mut self.uses {
            used.from = used.from.min(time);
            used.to = used.to.map(|to| to.min(time));
            if used.refunded_at.is_some_and(|at| at >= time) {
                used.refunded_at = None;
            }
        }
    }

    fn committed_time(&self) -> u64 {
        let next = FairShareAccounts::recover(self.settings.clone(), 0, 0, records(&self.state));
        next.agreed_time(0)
    }

    /// A new primary on another machine: its steady clock has another origin, and what runs is told to it anew.
    fn take_over(&mut self) {
        self.epoch += 1;
        let origin = self.rng.random_range(0..1_000_000);
        let clock = origin + self.now;
        let mut book = FairShareAccounts::recover(
            self.settings.clone(),
            self.epoch,
            clock,
            records(&self.state),
        );
        let time = self.agreed;
        for running in self.nodes.iter_mut().flat_map(|node| &mut node.runs) {
            // What the former primary charged stays charged; the new one begins at the version's time.
            let former = &mut self.uses[running.record];
            former.to = Some(time);
            let (user, cores_taken) = (former.user, former.cores);
            running.record = self.uses.len();
            self.uses.push(Use {
                user,
                cores: cores_taken,
                from: time,
                to: None,
                refunded_at: None,
            });
            book.on_run_started(clock, &name(user), run(running.number), &cores(cores_taken));
        }
        self.book = Some((book, origin));
    }

    fn clients(&mut self) {
        // The first users bring most of the work.
        let busy = self.rng.random_range(0..10) < 3;
        if busy {
            let user = self
                .rng
                .random_range(0..USERS)
                .min(self.rng.random_range(0..USERS)) as usize;
            let cores = self.rng.random_range(1..8);
            let lasts = self.rng.random_range(200..12_000);
            self.waiting.push(Unit {
                user,
                cores,
                came: self.now,
                lasts,
            });
        }
        if self.waiting.len() > 30 {
            let index = self.rng.random_range(0..self.waiting.len());
            self.waiting.swap_remove(index);
        }
    }

    /// Each node asks the primary or another node; answers come late, twice, in another order or never.
    fn relay(&mut self) {
        for index in 0..NODES {
            if self.rng.random_range(0..400) == 0 {
                self.nodes[index].cut_until = self.now + self.rng.random_range(0..15_000);
            }
            let node = &self.nodes[index];
            if self.now < node.asks_at || self.now < node.cut_until {
                continue;
            }
            self.nodes[index].asks_at = self.now + self.rng.random_range(100..900);
            self.ask(index);
        }
        while let Some(letter) = self
            .letters
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let letter = letter.remove();
            let node = &mut self.nodes[letter.to];
            if self.now >= node.cut_until {
                node.follower.take(letter.asked_at, &letter.update);
            }
        }
    }

    fn ask(&mut self, index: usize) {
        let asked_at = self.nodes[index].clock(self.now);
        let held = self.nodes[index].follower.held();
        let from = self.rng.random_range(0..NODES * 2);
        let update = if from < NODES && from != index {
            let other = &self.nodes[from];
            other.follower.update_since(other.clock(self.now), held)
        } else {
            self.book
                .as_ref()
                .map(|(book, origin)| book.update_since(origin + self.now, held))
        };
        let Some(update) = update else { return };
        for _ in 0..self.rng.random_range(0..3) {
            let at = self.now + self.rng.random_range(0..1_500);
            self.sent += 1;
            let letter = Letter {
                to: index,
                asked_at,
                update: update.clone(),
            };
            self.letters.insert((at, self.sent), letter);
        }
    }

    fn end_runs(&mut self, index: usize) {
        let mut going = std::mem::take(&mut self.nodes[index].runs);
        // Now and then the system stops a run and throws its work away.
        let stopped = self.rng.random_range(0..200) == 0;
        let mut kept = Vec::new();
        for (place, running) in going.drain(..).enumerate() {
            let thrown_away = stopped && place == 0;
            if running.ends > self.now && !thrown_away {
                kept.push(running);
                continue;
            }
            self.nodes[index].free += self.uses[running.record].cores;
            self.note_end(&running, thrown_away);
        }
        self.nodes[index].runs = kept;
    }

    fn note_end(&mut self, running: &Running, thrown_away: bool) {
        let agreed = self.agreed;
        let used = &mut self.uses[running.record];
        used.to = Some(agreed.max(used.from));
        let Some((book, origin)) = self.book.as_mut() else {
            return;
        };
        let charge = if thrown_away {
            UsageCharge::ThrownAway
        } else {
            UsageCharge::Used
        };
        book.on_run_finished(*origin + self.now, &run(running.number), charge);
        if thrown_away {
            used.refunded_at = Some(agreed);
        }
    }

    fn start_work(&mut self, index: usize) {
        loop {
            let node = &self.nodes[index];
            let Some(ranking) = node.follower.ranking() else {
                return;
            };
            let key = |unit: &Unit| ranking.order_key(&name(unit.user), 1, unit.came);
            let first = (0..self.waiting.len()).min_by_key(|at| (key(&self.waiting[*at]), *at));
            let Some(first) = first.filter(|at| self.waiting[*at].cores <= node.free) else {
                return;
            };
            self.check_version(index);
            self.check_order(index, first);
            self.begin(index, first);
        }
    }

    fn begin(&mut self, index: usize, at: usize) {
        let unit = self.waiting.remove(at);
        self.starts += 1;
        self.run_number += 1;
        let record = self.uses.len();
        let (user, cores_taken) = (unit.user, unit.cores);
        self.uses.push(Use {
            user,
            cores: cores_taken,
            from: self.agreed,
            to: None,
            refunded_at: None,
        });
        let running = Running {
            number: self.run_number,
            ends: self.now + unit.lasts,
            record,
        };
        if let Some((book, origin)) = self.book.as_mut() {
            book.on_run_started(
                *origin + self.now,
                &name(user),
                run(running.number),
                &cores(cores_taken),
            );
        }
        let node = &mut self.nodes[index];
        node.free -= cores_taken;
        node.runs.push(running);
    }

    /// The version named is one that the primary made, its keys are the same at every node, and its age is no lie.
    fn check_version(&mut self, index: usize) {
        let node = &self.nodes[index];
        let ranking = node.follower.ranking().expect("a version");
        let keys: Vec<u64> = (0..USERS)
            .map(|user| ranking.order_key(&name(user as usize), 1, 0))
            .collect();
        let version = ranking.version();
        let (time, known) = self
            .told
            .get_mut(&version)
            .expect("a version that was made");
        assert_eq!(
            *time,
            ranking.time(),
            "seed {} at {}: time of {version:?}",
            self.seed,
            self.now
        );
        if known.is_empty() {
            known.clone_from(&keys);
        }
        assert_eq!(
            *known, keys,
            "seed {} at {}: {version:?} differs between nodes",
            self.seed, self.now
        );
        let age = node.follower.age(node.clock(self.now));
        let true_age = self.agreed.saturating_sub(*time);
        assert!(
            age >= true_age,
            "seed {} at {}: age {age}, in truth {true_age}",
            self.seed,
            self.now
        );
        if node.follower.is_stale(node.clock(self.now)) {
            self.stale_starts += 1;
        } else {
            assert!(true_age <= self.settings.most_age_ms);
        }
    }

    /// By the oracle: nothing that waits should have gone before the started unit by more than the bound.
    fn check_order(&mut self, index: usize, started: usize) {
        let node = &self.nodes[index];
        let version_time = node.follower.ranking().expect("a version").time();
        let age = node.follower.age(node.clock(self.now));
        let at_version: Vec<f64> = (0..USERS)
            .map(|user| self.delay(user as usize, version_time, version_time))
            .collect();
        let at_start: Vec<f64> = (0..USERS)
            .map(|user| self.delay(user as usize, self.agreed, version_time))
            .collect();
        let bound = largest_inversion_ms(&self.settings, age) as f64;
        let one = &self.waiting[started];
        for other in &self.waiting {
            let apart = |delays: &[f64]| {
                one.came as f64 + delays[one.user] - other.came as f64 - delays[other.user]
            };
            let by_version = apart(&at_version);
            let place = format!("seed {} at {}", self.seed, self.now);
            assert!(
                by_version <= ROUNDING_MS,
                "{place}: not the order of its version, by {by_version} ms"
            );
            let inverted = apart(&at_start);
            assert!(
                inverted <= bound,
                "{place}: inversion of {inverted} ms, age {age}, bound {bound}"
            );
            self.inversions_within_bound += u64::from(inverted > 0.0);
        }
    }

    /// A user's delay by all use up to an agreed time. What was given back counts from the version that holds it.
    fn delay(&self, user: usize, time: u64, version_time: u64) -> f64 {
        let half_life = self.settings.half_life_ms as f64;
        let mut debt = 0.0;
        for used in self
            .uses
            .iter()
            .filter(|used| used.user == user && used.from < time)
        {
            let from = used
                .refunded_at
                .filter(|at| *at < version_time)
                .map_or(used.from, |at| at.min(time));
            let from = from.max(used.from);
            let to = used.to.unwrap_or(time).min(time);
            let left = |at: u64| (-((time - at) as f64) / half_life).exp2();
            if from < to {
                debt += used.cores as f64 * half_life / std::f64::consts::LN_2
                    * (left(to) - left(from));
            }
        }
        let half = self.settings.half_delay_core_s as f64 * 1_000.0;
        self.settings.most_delay_ms as f64 * debt / (debt + half)
    }
}

fn name(user: usize) -> std::sync::Arc<str> {
    super::user(&format!("user-{user}"))
}
