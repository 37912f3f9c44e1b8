//! Fault profiles of experiments.

use crate::faults::{
    ControlOutage, ControlTarget, Fault, FaultSchedule, PlannedFault, WorkerFault,
};
use crate::random::{Random, Stream};
use std::fmt;
use std::ops::Range;
use std::str::FromStr;
use streamusher_protocol::Millis;

/// Time range in which faults begin.
const FAULTS_BEGIN_MS: Range<Millis> = 9_000..20_000;
/// Duration of worker faults.
const WORKER_FAULT_MS: Millis = 6_000;
/// Number of kinds of worker faults.
const WORKER_FAULT_KINDS: usize = 5;
/// One fault is drawn per this many workers.
const WORKERS_PER_FAULT: usize = 8;
const PRIMARY_DOWN_MS: Millis = 2_000;
const DRAIN_MS: Millis = 2_500;
const SLOW_SPEED: f64 = 0.15;

/// Set of faults to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultProfile {
    /// No faults.
    Calm,
    /// Worker faults: crashes, failing runs, no progress, slowness and draining.
    Workers,
    /// Worker faults, and a kill of the primary.
    Failover,
}

/// Error for a name that belongs to no fault profile.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown fault profile {name}")]
pub struct UnknownFaultProfile {
    /// The unknown name.
    pub name: String,
}

impl FaultProfile {
    /// All profiles.
    pub const ALL: [FaultProfile; 3] = [
        FaultProfile::Calm,
        FaultProfile::Workers,
        FaultProfile::Failover,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            FaultProfile::Calm => "calm",
            FaultProfile::Workers => "workers",
            FaultProfile::Failover => "failover",
        }
    }

    /// Draws the faults of a seed for a fleet with this number of workers.
    pub(crate) fn draw_schedule(self, seed: u64, workers: usize) -> FaultSchedule {
        let mut random = Random::new(seed, Stream::Faults);
        let mut schedule = FaultSchedule::default();
        if self != FaultProfile::Calm {
            schedule.faults = draw_worker_faults(&mut random, workers);
        }
        if self == FaultProfile::Failover {
            let kill = ControlOutage::Kill {
                target: ControlTarget::Primary,
                down_ms: PRIMARY_DOWN_MS,
            };
            schedule.faults.push(PlannedFault {
                due: draw_due(&mut random),
                fault: kill.into(),
            });
        }
        schedule.sort();
        schedule
    }
}

impl fmt::Display for FaultProfile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for FaultProfile {
    type Err = UnknownFaultProfile;

    fn from_str(name: &str) -> Result<FaultProfile, UnknownFaultProfile> {
        let profile = FaultProfile::ALL
            .into_iter()
            .find(|profile| profile.name() == name);
        profile.ok_or_else(|| UnknownFaultProfile { name: name.into() })
    }
}

fn draw_due(random: &mut Random) -> Millis {
    random.between(FAULTS_BEGIN_MS.start, FAULTS_BEGIN_MS.end)
}

/// Draws one fault per eight workers, but at least one of each kind. The kinds alternate.
fn draw_worker_faults(random: &mut Random, workers: usize) -> Vec<PlannedFault> {
    let count = (workers / WORKERS_PER_FAULT).max(WORKER_FAULT_KINDS);
    let mut faults = Vec::new();
    for index in 0..count {
        let due = draw_due(random);
        let worker = random.below(workers);
        let fault = worker_fault(index % WORKER_FAULT_KINDS, worker);
        faults.push(PlannedFault { due, fault });
    }
    faults
}

fn worker_fault(kind: usize, worker: usize) -> Fault {
    let fault = match kind {
        0 => WorkerFault::Crash {
            worker,
            back_ms: Some(WORKER_FAULT_MS),
        },
        1 => WorkerFault::FailRuns {
            worker,
            share: 1.0,
            for_ms: WORKER_FAULT_MS,
        },
        2 => WorkerFault::Slow {
            worker,
            speed: SLOW_SPEED,
            for_ms: WORKER_FAULT_MS,
        },
        3 => WorkerFault::Slow {
            worker,
            speed: 0.0,
            for_ms: WORKER_FAULT_MS,
        },
        _ => WorkerFault::Drain {
            worker,
            after_ms: DRAIN_MS,
            back_ms: WORKER_FAULT_MS,
        },
    };
    fault.into()
}
