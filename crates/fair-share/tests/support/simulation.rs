//! Simulates a primary, a relay that loses, delays, duplicates and reorders messages, and nodes that start
//! units.

use super::{apply, cores, records, run, State};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use streamusher_fair_share::max_inversion_ms;
use streamusher_fair_share::{
    FairShareAccounts, FairShareSettings, RankingReplica, RankingUpdate, RankingVersion,
    UsageCharge,
};

const STEP_MS: u64 = 100;
const SIMULATION_MS: u64 = 90_000;
const NODES: usize = 4;
const USERS: u64 = 6;
/// Number of cores of the whole cluster.
const MAX_CORES: u64 = 60;
/// Both keys are rounded to milliseconds.
const ROUNDING_MS: f64 = 2.0;

/// Usage as the oracle records it, in cluster time.
struct Usage {
    user: usize,
    cores: u64,
    from: u64,
    /// `None` while the run continues.
    to: Option<u64>,
    /// Time of the refund, if the usage was refunded.
    refunded_at: Option<u64>,
}

struct Unit {
    user: usize,
    cores: u64,
    submitted_at: u64,
    duration: u64,
}

struct Running {
    number: u64,
    ends_at: u64,
    usage: usize,
}

struct Node {
    replica: RankingReplica,
    /// Offset of the node's steady clock from the simulation's time.
    clock_offset: u64,
    /// How slow the node's clock is, in thousandths.
    clock_lag: u64,
    free_cores: u64,
    runs: Vec<Running>,
    partitioned_until: u64,
    next_request_at: u64,
}

impl Node {
    fn clock(&self, now: u64) -> u64 {
        self.clock_offset + now - now * self.clock_lag / 1_000
    }
}

struct Message {
    to: usize,
    requested_at: u64,
    update: RankingUpdate,
}

/// One simulation, determined by its seed.
pub(crate) struct Simulation {
    seed: u64,
    rng: Pcg32,
    settings: FairShareSettings,
    now: u64,
    /// The primary's accounts and the origin of its steady clock; `None` while there is no primary.
    primary: Option<(FairShareAccounts, u64)>,
    next_primary_starts_at: u64,
    epoch: u64,
    state: State,
    cluster_time: u64,
    nodes: Vec<Node>,
    pending: Vec<Unit>,
    usages: Vec<Usage>,
    messages: BTreeMap<(u64, u64), Message>,
    messages_sent: u64,
    run_number: u64,
    /// Cluster time of each version, and its keys as computed by the first node that used it.
    published: BTreeMap<RankingVersion, (u64, Vec<u64>)>,
    pub(crate) starts: u64,
    pub(crate) stale_starts: u64,
    pub(crate) failovers: u64,
    pub(crate) inversions_within_bound: u64,
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Simulation {
        let mut rng = Pcg32::seed_from_u64(seed);
        let half_life = rng.random_range(10..60) * 1_000;
        let settings = FairShareSettings {
            max_delay_ms: rng.random_range(5_000..60_000),
            half_delay_core_s: rng.random_range(50..600),
            max_rate_cores: MAX_CORES,
            ..FairShareSettings::with_half_life(half_life)
        };
        let node = |rng: &mut Pcg32| Node {
            replica: RankingReplica::new(settings.clone()),
            clock_offset: rng.random_range(0..1_000_000),
            clock_lag: rng.random_range(0..20),
            free_cores: MAX_CORES / NODES as u64,
            runs: Vec::new(),
            partitioned_until: 0,
            next_request_at: rng.random_range(0..1_000),
        };
        let nodes = (0..NODES).map(|_| node(&mut rng)).collect();
        let origin = rng.random_range(0..1_000_000);
        let accounts = FairShareAccounts::new(settings.clone(), 1, origin);
        Simulation {
            seed,
            rng,
            settings,
            now: 0,
            primary: Some((accounts, origin)),
            next_primary_starts_at: 0,
            epoch: 1,
            state: State::new(),
            cluster_time: 0,
            nodes,
            pending: Vec::new(),
            usages: Vec::new(),
            messages: BTreeMap::new(),
            messages_sent: 0,
            run_number: 0,
            published: BTreeMap::new(),
            starts: 0,
            stale_starts: 0,
            failovers: 0,
            inversions_within_bound: 0,
        }
    }

    pub(crate) fn run(&mut self) {
        while self.now < SIMULATION_MS {
            self.now += STEP_MS;
            self.step_primary();
            self.step_clients();
            self.step_relay();
            (0..NODES).for_each(|node| self.finish_runs(node));
            (0..NODES).for_each(|node| self.start_units(node));
        }
    }

    fn step_primary(&mut self) {
        if self.primary.is_none() && self.now >= self.next_primary_starts_at {
            self.take_over();
        }
        let Some((accounts, origin)) = self.primary.as_mut() else {
            return;
        };
        // A steady clock may be read late.
        let clock = *origin + self.now - self.rng.random_range(0..3) * 40;
        let writes = accounts.publish_if_due(clock);
        apply(&mut self.state, writes);
        self.cluster_time = accounts.cluster_time(*origin + self.now);
        self.published
            .entry(accounts.version())
            .or_insert((accounts.ranking().created_at(), Vec::new()));
        if self.rng.random_range(0..300) == 0 {
            self.fail_primary();
        }
    }

    /// Fails the primary. What it charged after its newest committed version is lost.
    fn fail_primary(&mut self) {
        self.primary = None;
        self.failovers += 1;
        self.next_primary_starts_at = self.now + self.rng.random_range(0..4_000);
        let time = self.committed_time();
        self.cluster_time = time;
        for used in &mut self.usages {
            used.from = used.from.min(time);
            used.to = used.to.map(|to| to.min(time));
            if used.refunded_at.is_some_and(|at| at >= time) {
                used.refunded_at = None;
            }
        }
    }

    fn committed_time(&self) -> u64 {
        let next = FairShareAccounts::recover(self.settings.clone(), 0, 0, records(&self.state));
        next.cluster_time(0)
    }

    /// Starts a new primary on another machine. Its steady clock has a different origin, and it relearns
    /// which runs are active.
    fn take_over(&mut self) {
        self.epoch += 1;
        let origin = self.rng.random_range(0..1_000_000);
        let clock = origin + self.now;
        let mut accounts = FairShareAccounts::recover(
            self.settings.clone(),
            self.epoch,
            clock,
            records(&self.state),
        );
        let time = self.cluster_time;
        for running in self.nodes.iter_mut().flat_map(|node| &mut node.runs) {
            // Charges of the former primary remain. The new one continues at the time of the committed
            // version.
            let former = &mut self.usages[running.usage];
            former.to = Some(time);
            let (user, cores_taken) = (former.user, former.cores);
            running.usage = self.usages.len();
            self.usages.push(Usage {
                user,
                cores: cores_taken,
                from: time,
                to: None,
                refunded_at: None,
            });
            accounts.on_run_started(clock, &name(user), run(running.number), &cores(cores_taken));
        }
        self.primary = Some((accounts, origin));
    }

    fn step_clients(&mut self) {
        // Users with low numbers submit most of the work.
        let submits_work = self.rng.random_range(0..10) < 3;
        if submits_work {
            let user = self
                .rng
                .random_range(0..USERS)
                .min(self.rng.random_range(0..USERS));
            let user = user_index(user);
            let cores = self.rng.random_range(1..8);
            let duration = self.rng.random_range(200..12_000);
            self.pending.push(Unit {
                user,
                cores,
                submitted_at: self.now,
                duration,
            });
        }
        if self.pending.len() > 30 {
            let index = self.rng.random_range(0..self.pending.len());
            self.pending.swap_remove(index);
        }
    }

    /// Lets each node request updates from the primary or another node. Updates arrive late, twice, out of
    /// order or never.
    fn step_relay(&mut self) {
        for index in 0..NODES {
            if self.rng.random_range(0..400) == 0 {
                self.nodes[index].partitioned_until = self.now + self.rng.random_range(0..15_000);
            }
            let node = &self.nodes[index];
            if self.now < node.next_request_at || self.now < node.partitioned_until {
                continue;
            }
            self.nodes[index].next_request_at = self.now + self.rng.random_range(100..900);
            self.request_update(index);
        }
        while let Some(message) = self
            .messages
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let message = message.remove();
            let node = &mut self.nodes[message.to];
            if self.now >= node.partitioned_until {
                node.replica.apply(message.requested_at, &message.update);
            }
        }
    }

    fn request_update(&mut self, index: usize) {
        let requested_at = self.nodes[index].clock(self.now);
        let held = self.nodes[index].replica.version();
        let from = self.rng.random_range(0..NODES * 2);
        let update = if from < NODES && from != index {
            let other = &self.nodes[from];
            other.replica.update_since(other.clock(self.now), held)
        } else {
            self.primary
                .as_ref()
                .map(|(accounts, origin)| accounts.update_since(origin + self.now, held))
        };
        let Some(update) = update else { return };
        for _ in 0..self.rng.random_range(0..3) {
            let at = self.now + self.rng.random_range(0..1_500);
            self.messages_sent += 1;
            let message = Message {
                to: index,
                requested_at,
                update: update.clone(),
            };
            self.messages.insert((at, self.messages_sent), message);
        }
    }

    fn finish_runs(&mut self, index: usize) {
        let mut runs = std::mem::take(&mut self.nodes[index].runs);
        // The system occasionally stops a run and wastes its work.
        let stopped = self.rng.random_range(0..200) == 0;
        let mut kept = Vec::new();
        for (position, running) in runs.drain(..).enumerate() {
            let is_wasted = stopped && position == 0;
            if running.ends_at > self.now && !is_wasted {
                kept.push(running);
                continue;
            }
            self.nodes[index].free_cores += self.usages[running.usage].cores;
            self.finish_run(&running, is_wasted);
        }
        self.nodes[index].runs = kept;
    }

    fn finish_run(&mut self, running: &Running, is_wasted: bool) {
        let cluster_time = self.cluster_time;
        let used = &mut self.usages[running.usage];
        used.to = Some(cluster_time.max(used.from));
        let Some((accounts, origin)) = self.primary.as_mut() else {
            return;
        };
        let charge = if is_wasted {
            UsageCharge::Nothing
        } else {
            UsageCharge::Full
        };
        accounts.on_run_finished(*origin + self.now, &run(running.number), charge);
        if is_wasted {
            used.refunded_at = Some(cluster_time);
        }
    }

    fn start_units(&mut self, index: usize) {
        loop {
            let node = &self.nodes[index];
            let Some(ranking) = node.replica.ranking() else {
                return;
            };
            let key = |unit: &Unit| ranking.order_key(&name(unit.user), 1, unit.submitted_at);
            let first = (0..self.pending.len()).min_by_key(|at| (key(&self.pending[*at]), *at));
            let Some(first) = first.filter(|at| self.pending[*at].cores <= node.free_cores) else {
                return;
            };
            self.check_version(index);
            self.check_order(index, first);
            self.start_unit(index, first);
        }
    }

    fn start_unit(&mut self, index: usize, at: usize) {
        let unit = self.pending.remove(at);
        self.starts += 1;
        self.run_number += 1;
        let usage = self.usages.len();
        let (user, cores_taken) = (unit.user, unit.cores);
        self.usages.push(Usage {
            user,
            cores: cores_taken,
            from: self.cluster_time,
            to: None,
            refunded_at: None,
        });
        let running = Running {
            number: self.run_number,
            ends_at: self.now + unit.duration,
            usage,
        };
        if let Some((accounts, origin)) = self.primary.as_mut() {
            accounts.on_run_started(
                *origin + self.now,
                &name(user),
                run(running.number),
                &cores(cores_taken),
            );
        }
        let node = &mut self.nodes[index];
        node.free_cores -= cores_taken;
        node.runs.push(running);
    }

    /// Checks that the primary created the version, that its keys are the same at every node, and that its
    /// age is an upper bound.
    fn check_version(&mut self, index: usize) {
        let node = &self.nodes[index];
        let ranking = node.replica.ranking().expect("a version");
        let keys: Vec<u64> = (0..USERS)
            .map(|user| ranking.order_key(&name(user_index(user)), 1, 0))
            .collect();
        let version = ranking.version();
        let (time, recorded_keys) = self
            .published
            .get_mut(&version)
            .expect("a version that the primary created");
        assert_eq!(
            *time,
            ranking.created_at(),
            "seed {} at {}: time of {version:?}",
            self.seed,
            self.now
        );
        if recorded_keys.is_empty() {
            recorded_keys.clone_from(&keys);
        }
        assert_eq!(
            *recorded_keys, keys,
            "seed {} at {}: {version:?} differs between nodes",
            self.seed, self.now
        );
        let age = node.replica.age_ms(node.clock(self.now));
        let true_age = self.cluster_time.saturating_sub(*time);
        assert!(
            age >= true_age,
            "seed {} at {}: age bound {age} is below the true age {true_age}",
            self.seed,
            self.now
        );
        if node.replica.is_stale(node.clock(self.now)) {
            self.stale_starts += 1;
        } else {
            assert!(true_age <= self.settings.max_age_ms);
        }
    }

    /// Checks with the oracle that no pending unit should have started before the started one by more than
    /// the bound.
    fn check_order(&mut self, index: usize, started: usize) {
        let node = &self.nodes[index];
        let version_time = node.replica.ranking().expect("a version").created_at();
        let age = node.replica.age_ms(node.clock(self.now));
        let at_version: Vec<f64> = (0..USERS)
            .map(|user| self.delay(user_index(user), version_time, version_time))
            .collect();
        let at_start: Vec<f64> = (0..USERS)
            .map(|user| self.delay(user_index(user), self.cluster_time, version_time))
            .collect();
        let bound = max_inversion_ms(&self.settings, age) as f64;
        let started_unit = &self.pending[started];
        for other in &self.pending {
            let key_difference = |delays: &[f64]| {
                started_unit.submitted_at as f64 + delays[started_unit.user]
                    - other.submitted_at as f64
                    - delays[other.user]
            };
            let by_version = key_difference(&at_version);
            let context = format!("seed {} at {}", self.seed, self.now);
            assert!(
                by_version <= ROUNDING_MS,
                "{context}: the order deviates from the version's by {by_version} ms"
            );
            let inversion_ms = key_difference(&at_start);
            assert!(
                inversion_ms <= bound,
                "{context}: inversion of {inversion_ms} ms, age {age}, bound {bound}"
            );
            self.inversions_within_bound += u64::from(inversion_ms > 0.0);
        }
    }

    /// A user's delay by all usage up to a cluster time. A refund counts from the first version that contains
    /// it.
    fn delay(&self, user: usize, time: u64, version_time: u64) -> f64 {
        let half_life = self.settings.half_life_ms as f64;
        let mut usage = 0.0;
        for used in self
            .usages
            .iter()
            .filter(|used| used.user == user && used.from < time)
        {
            let from = used
                .refunded_at
                .filter(|at| *at < version_time)
                .map_or(used.from, |at| at.min(time));
            let from = from.max(used.from);
            let to = used.to.unwrap_or(time).min(time);
            let fraction_left = |at: u64| (-((time - at) as f64) / half_life).exp2();
            if from < to {
                usage += used.cores as f64 * half_life / std::f64::consts::LN_2
                    * (fraction_left(to) - fraction_left(from));
            }
        }
        let half = self.settings.half_delay_core_s as f64 * 1_000.0;
        self.settings.max_delay_ms as f64 * usage / (usage + half)
    }
}

fn name(user: usize) -> std::sync::Arc<str> {
    super::user(&format!("user-{user}"))
}

fn user_index(user: u64) -> usize {
    usize::try_from(user).expect("a small number")
}
