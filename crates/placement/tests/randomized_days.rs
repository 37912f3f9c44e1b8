//! Seeded random scenarios, called days, with every kind of event. Each decision and each tick is checked
//! against an independent record.
//!
//! `PLACEMENT_SEEDS` sets the number of days that are simulated, and `PLACEMENT_FIRST` the first seed; a
//! failing day prints its seed.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{gang, resources, unit, Cluster, STOP_MS, TICK_MS};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use streamusher_placement::WorkerInfo;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::unit::{Unit, UnitId, WorkerId};
use streamusher_protocol::Millis;

const SEEDS: u64 = 12;
const DAY_MS: Millis = 16_000;
/// Maximum time after the last arrival in which everything still pending must be completed.
const DRAIN_MS: Millis = 600_000;
/// Interval at which waits are checked.
const CHECK_INTERVAL_MS: Millis = 5 * TICK_MS;
/// A unit must not wait this long while twice its demand is free in a service that is half free.
const MAX_WAIT_MS: Millis = 3_000;

/// Planned end time and outcome of a run.
struct PlannedEnd {
    ends_at: Millis,
    outcome: RunEnd,
}

struct Day {
    cluster: Cluster,
    random: Pcg32,
    last_unit: u64,
    /// Planned end of each run, by itself or by a stop.
    ends: BTreeMap<(TaskId, WorkerId), PlannedEnd>,
    /// Time since which a pending unit has had twice its demand free in a service that is half free.
    has_capacity_since: BTreeMap<UnitId, Millis>,
    load: f64,
    failing: bool,
    last_worker: u64,
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the fraction of a millisecond is cut off"
)]
fn whole_ms(ms: f64) -> Millis {
    ms as Millis
}

impl Day {
    fn new(seed: u64) -> Day {
        let mut random = Pcg32::seed_from_u64(seed);
        let load = random.random_range(0.2..1.6);
        let failing = random.random_bool(0.3);
        let cluster = Cluster::new(seed, []);
        let has_capacity_since = BTreeMap::new();
        let mut day = Day {
            cluster,
            random,
            last_unit: 0,
            ends: BTreeMap::new(),
            has_capacity_since,
            load,
            failing,
            last_worker: 0,
        };
        let count = if day.random.random_bool(0.1) {
            90
        } else {
            day.random.random_range(2..14)
        };
        (0..count).for_each(|_| day.add_worker());
        day
    }

    fn add_worker(&mut self) {
        self.last_worker += 1;
        let size = [8_000, 16_000, 16_000, 32_000][self.random.random_range(0..4)];
        let rack = format!("r{}", self.random.random_range(0..4));
        let kind = if self.random.random_bool(0.5) {
            "a"
        } else {
            "b"
        };
        let gpu = if size == 32_000 { 8 } else { 0 };
        self.cluster.update_worker(WorkerInfo {
            id: format!("w{}", self.last_worker).into(),
            service: if self.random.random_bool(0.8) {
                "s".into()
            } else {
                "t".into()
            },
            zone: "z".into(),
            labels: vec![kind.into(), rack.into()],
            capacity: resources(size, size * 2, gpu),
            schedulable: true,
        });
    }

    fn enqueue_random_unit(&mut self) {
        self.last_unit += 1;
        let random = &mut self.random;
        let priority = random.random_range(0..3);
        let cpu = [240, 240, 500, 500, 800, 800, 2_800, 2_800, 15_000][random.random_range(0..9)];
        let mut new = if random.random_bool(0.15) {
            gang(self.last_unit, random.random_range(1..5), cpu, priority)
        } else {
            unit(self.last_unit, cpu, priority)
        };
        new.resources = resources(
            cpu,
            random.random_range(0..cpu * 2 + 1),
            u64::from(random.random_bool(0.1)),
        );
        new.service = if random.random_bool(0.8) {
            "s".into()
        } else {
            "t".into()
        };
        new.estimated_ms = [0, 300, 700, 3_000, 6_000][random.random_range(0..5)];
        new.checkpoints = random.random_bool(0.5);
        new.long_running = random.random_bool(0.03);
        new.same_rack = random.random_bool(0.5);
        new.anti_affinity = [0, 0, 0, 1, 2][random.random_range(0..5)];
        new.node_selector = random.random_bool(0.15).then(|| "a".into());
        new.affinity = random.random_bool(0.3).then(|| "r1".into());
        self.cluster.enqueue(new);
    }

    fn place(&mut self) {
        for (task, worker) in self.cluster.place() {
            let entry = &self.cluster.runs[&(task.clone(), worker.clone())];
            self.has_capacity_since.remove(&entry.unit.id);
            let nominal_run_ms = if entry.unit.long_running {
                8_000
            } else {
                entry.unit.estimated_ms.max(200)
            };
            let run_ms = whole_ms(nominal_run_ms as f64 * self.random.random_range(0.3..2.0));
            let fails = self.failing && &*worker == "w1" || self.random.random_bool(0.03);
            let outcome = if fails { RunEnd::Failed } else { RunEnd::Done };
            let end = PlannedEnd {
                ends_at: self.cluster.now + run_ms,
                outcome,
            };
            self.ends.insert((task, worker), end);
        }
        for task in std::mem::take(&mut self.cluster.preempted) {
            let stopped_at = self.cluster.now + self.random.random_range(1..=STOP_MS);
            let run = self.ends.iter_mut().find(|((other, _), _)| *other == task);
            *run.expect("a preempted task is running").1 = PlannedEnd {
                ends_at: stopped_at,
                outcome: RunEnd::Stopped,
            };
        }
    }

    fn finish_due_runs(&mut self) {
        let now = self.cluster.now;
        let due = self.ends.iter().filter(|(_, end)| end.ends_at <= now);
        let due: Vec<_> = due.map(|(key, end)| (key.clone(), end.outcome)).collect();
        for ((task, worker), outcome) in due {
            if self.ends.remove(&(task.clone(), worker.clone())).is_none() {
                continue;
            }
            let unit = self.cluster.runs[&(task.clone(), worker.clone())]
                .unit
                .clone();
            if outcome == RunEnd::Failed && self.random.random_bool(0.3) {
                self.cluster.report_stall(&worker);
                self.cluster.finish(&task, &worker, RunEnd::Stopped);
            } else {
                self.cluster.finish(&task, &worker, outcome);
            }
            if outcome != RunEnd::Done {
                self.reenqueue(unit, &worker);
            }
        }
    }

    /// Handles a unit that did not succeed: ends the runs of its other members and enqueues it again.
    fn reenqueue(&mut self, mut unit: Unit, worker: &WorkerId) {
        let members = self
            .ends
            .keys()
            .filter(|(task, _)| unit.tasks.contains(task));
        for (task, other) in members.cloned().collect::<Vec<_>>() {
            self.ends.remove(&(task.clone(), other.clone()));
            self.cluster.finish(&task, &other, RunEnd::GangBroken);
        }
        unit.avoid.push(worker.clone());
        self.cluster.enqueue(unit);
    }

    fn remove_random_worker(&mut self) {
        let ids: Vec<WorkerId> = self.cluster.workers.keys().cloned().collect();
        let id = ids[self.random.random_range(0..ids.len())].clone();
        let on_worker = self
            .cluster
            .runs
            .iter()
            .filter(|((_, worker), _)| *worker == id);
        let units: BTreeMap<UnitId, Unit> = on_worker
            .map(|(_, entry)| (entry.unit.id.clone(), entry.unit.clone()))
            .collect();
        self.ends.retain(|(_, worker), _| *worker != id);
        self.cluster.remove_worker(&id);
        for unit in units.into_values() {
            self.reenqueue(unit, &id);
        }
        self.add_worker();
    }

    fn toggle_schedulable(&mut self) {
        let ids: Vec<WorkerId> = self.cluster.workers.keys().cloned().collect();
        let id = &ids[self.random.random_range(0..ids.len())];
        let info = self.cluster.workers[id].clone();
        self.cluster.update_worker(WorkerInfo {
            schedulable: !info.schedulable,
            ..info
        });
    }

    fn report_progress(&mut self) {
        let now = self.cluster.now;
        for ((task, worker), end) in &self.ends {
            let since = self.cluster.runs[&(task.clone(), worker.clone())].started_at;
            let done = 100.0 * (now - since) as f64 / (end.ends_at - since).max(1) as f64;
            self.cluster
                .placement
                .update_progress(now, task, worker, done);
        }
    }

    fn withdraw_first_pending(&mut self) {
        let first = self.cluster.pending.keys().next().cloned();
        if let Some(id) = first {
            self.cluster.withdraw(&id);
        }
    }

    fn generate_events(&mut self) {
        let arrivals = self.load * self.cluster.workers.len() as f64 / 10.0;
        let mut remaining_arrivals = arrivals;
        while remaining_arrivals > 0.0 {
            if self.random.random_bool(remaining_arrivals.min(1.0)) {
                self.enqueue_random_unit();
            }
            remaining_arrivals -= 1.0;
        }
        for (chance, event) in [
            (0.003, Day::remove_random_worker as fn(&mut Day)),
            (0.003, Day::toggle_schedulable),
            (0.003, Day::add_worker),
            (0.01, Day::withdraw_first_pending),
            (0.1, Day::report_progress),
        ] {
            if self.random.random_bool(chance) {
                event(self);
            }
        }
    }

    /// Asserts that no unit waits too long while twice its demand is free and its service is half free.
    fn check_waits(&mut self) {
        if !self.cluster.now.is_multiple_of(CHECK_INTERVAL_MS) {
            return;
        }
        let used: BTreeMap<WorkerId, Resources> = self
            .cluster
            .workers
            .keys()
            .map(|id| (id.clone(), self.cluster.used(id)))
            .collect();
        let is_half_free_by_service: BTreeMap<&str, bool> = ["s", "t"]
            .into_iter()
            .map(|service| (service, self.is_half_free(service, &used)))
            .collect();
        let has_capacity = |unit: &Unit| {
            is_half_free_by_service[&*unit.service] && self.has_twice_its_demand_free(unit, &used)
        };
        let pending = self
            .cluster
            .pending
            .iter()
            .filter(|(_, unit)| has_capacity(unit));
        let waiting_with_capacity: Vec<UnitId> = pending.map(|(id, _)| id.clone()).collect();
        self.has_capacity_since
            .retain(|id, _| waiting_with_capacity.contains(id));
        for id in waiting_with_capacity {
            let since = *self
                .has_capacity_since
                .entry(id.clone())
                .or_insert(self.cluster.now);
            let waited = self.cluster.now - since;
            assert!(
                waited < MAX_WAIT_MS,
                "{:?} still waits although capacity is free",
                self.cluster.pending[&id]
            );
        }
    }

    fn is_half_free(&self, service: &str, used: &BTreeMap<WorkerId, Resources>) -> bool {
        let service_workers = self
            .cluster
            .workers
            .values()
            .filter(|info| info.schedulable && &*info.service == service);
        let sums = service_workers.fold(
            (Resources::default(), Resources::default()),
            |(all, taken), info| {
                (
                    all.saturating_add(&info.capacity),
                    taken.saturating_add(&used[&info.id]),
                )
            },
        );
        sums.0.covers(&sums.1.saturating_add(&sums.1))
    }

    fn has_twice_its_demand_free(&self, unit: &Unit, used: &BTreeMap<WorkerId, Resources>) -> bool {
        let members = self.cluster.workers.values().map(|info| {
            let fits = info.schedulable
                && info.service == unit.service
                && unit
                    .node_selector
                    .as_ref()
                    .is_none_or(|label| info.labels.contains(label));
            if !fits {
                return 0;
            }
            let free = info.capacity.saturating_sub(&used[&info.id]);
            let members_by =
                |free: u64, requested: u64| free.checked_div(requested).unwrap_or(u64::MAX);
            let by_capacity = members_by(free.cpu, unit.resources.cpu)
                .min(members_by(free.mem_mb, unit.resources.mem_mb))
                .min(members_by(free.gpu, unit.resources.gpu));
            match unit.anti_affinity {
                0 => by_capacity / 2,
                limit => {
                    let left = limit.saturating_sub(self.cluster.count_of(&unit.id.step, &info.id));
                    (by_capacity / 2).min(u64::from(left))
                }
            }
        });
        members.fold(0, u64::saturating_add) >= unit.tasks.len() as u64
    }

    fn simulate(&mut self) {
        while self.cluster.now < DAY_MS {
            self.cluster.now += TICK_MS;
            self.finish_due_runs();
            self.generate_events();
            self.place();
            self.check_waits();
        }
        self.failing = false;
        let workers: Vec<WorkerInfo> = self.cluster.workers.values().cloned().collect();
        for info in workers {
            self.cluster.update_worker(WorkerInfo {
                schedulable: true,
                ..info
            });
        }
        while self.cluster.now < DAY_MS + DRAIN_MS
            && !(self.ends.is_empty() && self.nothing_can_start())
        {
            self.cluster.now += TICK_MS;
            self.finish_due_runs();
            self.place();
            self.check_waits();
        }
        self.check_end();
    }

    fn nothing_can_start(&self) -> bool {
        let no_usage: BTreeMap<WorkerId, Resources> = self
            .cluster
            .workers
            .keys()
            .map(|id| (id.clone(), Resources::default()))
            .collect();
        !self
            .cluster
            .pending
            .values()
            .any(|unit| self.has_twice_its_demand_free(unit, &no_usage))
    }

    fn check_end(&self) {
        assert!(
            self.ends.is_empty() && self.nothing_can_start(),
            "{} units are still pending",
            self.cluster.pending.len()
        );
        assert_eq!(
            self.cluster.placement.pending_count(),
            self.cluster.pending.len()
        );
        for status in self.cluster.placement.workers() {
            assert_eq!(
                (status.used, status.runs),
                (Resources::default(), 0),
                "{:?}",
                status.info.id
            );
        }
    }
}

#[test]
fn invariants_hold_on_days_with_all_events() {
    let seeds = std::env::var("PLACEMENT_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEEDS);
    let first = std::env::var("PLACEMENT_FIRST")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    for seed in first..first + seeds {
        let result = std::panic::catch_unwind(|| Day::new(seed).simulate());
        if let Err(cause) = result {
            eprintln!("the simulated day with seed {seed} failed");
            std::panic::resume_unwind(cause);
        }
    }
}
