//! Two policies on the same days: what each earns, and the paired differences with their standard errors.

use crate::bounds::Bounds;
use crate::checker::Violation;
use crate::faults::{Core, Fault, Planned, Schedule};
use crate::fleet::setup::Setup;
use crate::fleet::Fleet;
use crate::random::Random;
use crate::workload::Workload;
use crate::worth::{account, Account};
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use streamusher_protocol::Millis;
use streamusher_scheduler::Policy;

/// Traffic begins once the fleet has come up, and lasts as long as the deployments' days.
const TRAFFIC_FROM_MS: Millis = 3_000;
const TRAFFIC_MS: Millis = 34_000;
/// Troubles come in this part of the traffic.
const TROUBLES_MS: Range<Millis> = 9_000..20_000;
/// Kinds of troubles of workers.
const TROUBLE_KINDS: usize = 5;
/// How long troubles of workers last.
const TROUBLE_MS: Millis = 6_000;

/// What befalls a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    Calm,
    /// Workers crash, fail what they start, stand still, turn slow, and leave.
    Workers,
    /// The same, and the primary is killed.
    Failover,
}

impl Trouble {
    /// All of them, with their names.
    pub const NAMED: [(&'static str, Trouble); 3] = [
        ("calm", Trouble::Calm),
        ("workers", Trouble::Workers),
        ("failover", Trouble::Failover),
    ];

    /// The trouble of a name.
    pub fn named(name: &str) -> Option<Trouble> {
        Trouble::NAMED
            .into_iter()
            .find(|(own, _)| *own == name)
            .map(|(_, trouble)| trouble)
    }

    fn schedule(self, seed: u64, workers: usize) -> Schedule {
        let mut random = Random::new(seed, 7);
        let mut faults = Vec::new();
        if self != Trouble::Calm {
            faults = worker_troubles(&mut random, workers);
        }
        if self == Trouble::Failover {
            let at = random.between(TROUBLES_MS.start, TROUBLES_MS.end);
            faults.push(Planned {
                at,
                fault: Fault::KillCore {
                    core: Core::Primary,
                    down_ms: 2_000,
                },
            });
        }
        faults.sort_by_key(|planned| planned.at);
        Schedule {
            faults,
            overlaps: false,
        }
    }
}

/// One trouble for each eighth of the workers, another kind each time, and each kind once at least.
fn worker_troubles(random: &mut Random, workers: usize) -> Vec<Planned> {
    let count = (workers / 8).max(TROUBLE_KINDS);
    let trouble = |(index, at, worker): (usize, Millis, usize)| {
        let fault = match index % TROUBLE_KINDS {
            0 => Fault::CrashWorker {
                worker,
                back_ms: Some(TROUBLE_MS),
            },
            1 => Fault::GreyWorker {
                worker,
                share: 1.0,
                for_ms: TROUBLE_MS,
            },
            2 => Fault::SlowWorker {
                worker,
                speed: 0.15,
                for_ms: TROUBLE_MS,
            },
            3 => Fault::SlowWorker {
                worker,
                speed: 0.0,
                for_ms: TROUBLE_MS,
            },
            _ => Fault::DrainWorker {
                worker,
                after_ms: 2_500,
                back_ms: TROUBLE_MS,
            },
        };
        Planned { at, fault }
    };
    let drawn: Vec<_> = (0..count)
        .map(|index| {
            (
                index,
                random.between(TROUBLES_MS.start, TROUBLES_MS.end),
                random.below(workers),
            )
        })
        .collect();
    drawn.into_iter().map(trouble).collect()
}

/// One day under one policy.
#[derive(Clone, Debug)]
pub struct Played {
    /// Its seed.
    pub seed: u64,
    /// What it earned.
    pub account: Account,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Runs started.
    pub starts: u64,
}

/// Plays the day of a seed under a policy.
pub fn play(workload: &Arc<Workload>, trouble: Trouble, policy: Policy, seed: u64) -> Played {
    let setup = Setup {
        policy,
        gates: 3,
        traffic_from: TRAFFIC_FROM_MS,
        traffic_until: TRAFFIC_FROM_MS + TRAFFIC_MS,
        bounds: Bounds::default(),
        ..Setup::small(seed)
    };
    let schedule = trouble.schedule(seed, workload.worker_count());
    let mut fleet = Fleet::with_workload(setup, schedule, workload.clone());
    let violations = fleet.run().to_vec();
    Played {
        seed,
        account: account(&fleet),
        violations,
        starts: fleet.checker.starts,
    }
}

/// Plays all days of the seeds under all policies; one list for each policy, in the order of the seeds.
pub fn play_all(
    workload: &Arc<Workload>,
    trouble: Trouble,
    policies: &[Policy],
    seeds: Range<u64>,
    threads: usize,
) -> Vec<Vec<Played>> {
    let days = (seeds.end - seeds.start) * policies.len() as u64;
    let next = AtomicU64::new(0);
    let played = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let day = next.fetch_add(1, Ordering::Relaxed);
                if day >= days {
                    break;
                }
                let policy = (day % policies.len() as u64) as usize;
                let seed = seeds.start + day / policies.len() as u64;
                let outcome = play(workload, trouble, policies[policy], seed);
                if let Ok(mut played) = played.lock() {
                    played.push((policy, outcome));
                }
            });
        }
    });
    let mut lists = vec![Vec::new(); policies.len()];
    for (policy, outcome) in played.into_inner().unwrap_or_default() {
        lists[policy].push(outcome);
    }
    lists
        .iter_mut()
        .for_each(|list| list.sort_by_key(|played| played.seed));
    lists
}

/// A mean with its standard error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// Its standard error; 0 for a single value.
    pub error: f64,
}

impl Estimate {
    /// Of some values.
    pub fn of(values: &[f64]) -> Estimate {
        let count = values.len().max(1) as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let error = if values.len() > 1 {
            (squares / (count - 1.0) / count).sqrt()
        } else {
            0.0
        };
        Estimate { mean, error }
    }

    /// Of the differences of pairs.
    pub fn of_pairs(before: &[f64], after: &[f64]) -> Estimate {
        let differences: Vec<f64> = before
            .iter()
            .zip(after)
            .map(|(before, after)| after - before)
            .collect();
        Estimate::of(&differences)
    }
}

impl std::fmt::Display for Estimate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:+.4} ± {:.4}", self.mean, self.error)
    }
}
