//! State of workers and jobs that the decision module keeps. No decisions are made here; see `src/balance/`.

mod hash_ring;
mod job;
mod machine_kind;
mod moving_average;
mod observation;
mod rates;
mod timer;
mod worker;
mod worker_pools;

pub(crate) use job::{Attempt, EndedAttempt, Job};
pub(crate) use machine_kind::MachineKind;
pub(crate) use moving_average::{MovingAverage, SMOOTHING_FACTOR};
pub(crate) use observation::{decayed, Observation};
pub(crate) use rates::{RecentRates, RATE_TIME_CONSTANT_US};
pub(crate) use timer::Timer;
pub(crate) use worker::Worker;
pub(crate) use worker_pools::{PlacementGroup, PoolKey, WorkerPools};
