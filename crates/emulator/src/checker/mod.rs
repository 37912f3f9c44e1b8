//! Checks the rules of the deployment against what workers, clients and operators see.
//!
//! - [`tasks`]: starts and ends of runs.
//! - [`jobs`]: what clients are answered about their jobs.
//! - [`idle`]: jobs with nothing running although there is room.
//! - [`configuration`]: what operators and clients are answered by which configuration.

pub mod configuration;
pub mod idle;
pub mod jobs;
pub mod tasks;

use crate::bounds::Bounds;
use crate::plant::worker::WorkerKind;
use crate::plant::WorkerIndex;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::Millis;

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// One task twice at once, or started again after it was done.
    Twice,
    /// A worker filled beyond its capacity.
    Limit,
    /// Started before its turn.
    Order,
    /// Started where it may not run.
    Route,
    /// Started after its last attempt.
    Budget,
    /// A gang's member waited in vain.
    Gang,
    /// Started what nobody wants.
    Unasked,
    /// Started although the job was refused.
    Refused,
    /// Started on a worker that drains.
    Drain,
    /// Shown as succeeded although it has not.
    Mixed,
    /// Something acknowledged is no longer known, or stands still.
    Lost,
    /// Handled by a wrong configuration.
    Config,
    /// A proper order is not acknowledged in calm.
    Acks,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format!("{self:?}").to_uppercase())
    }
}

/// One breach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When it was noticed, in true time.
    pub at: Millis,
    /// The rule.
    pub rule: Rule,
    /// What happened.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>6} ms {}: {}", self.at, self.rule, self.text)
    }
}

/// A worker at the moment of an observation.
#[derive(Clone, Copy, Debug)]
pub struct WorkerView<'a> {
    /// Which one.
    pub index: WorkerIndex,
    /// Its life.
    pub life: u32,
    /// What it is.
    pub kind: &'a WorkerKind,
    /// What runs there takes now.
    pub used: Resources,
    /// Whether its machine is in touch.
    pub in_touch: bool,
}

/// What is known of a day, and what was broken in it.
pub struct Checker {
    pub(crate) bounds: Bounds,
    pub(crate) tasks: BTreeMap<TaskId, tasks::TaskRecord>,
    pub(crate) ends: BTreeMap<(WorkerIndex, u32, u64), (TaskId, usize)>,
    pub(crate) drains: BTreeMap<(WorkerIndex, u32), Millis>,
    pub(crate) jobs: BTreeMap<JobId, jobs::JobRecord>,
    pub(crate) configuration: configuration::Configurations,
    /// Cancelled tasks that were reported as still running.
    pub(crate) overdue: BTreeSet<TaskId>,
    /// Whether times of day jump in this day.
    pub clocks_jump: bool,
    violations: Vec<Violation>,
    /// Starts seen.
    pub starts: u64,
}

impl Checker {
    /// Nothing seen yet.
    pub fn new(bounds: Bounds) -> Checker {
        Checker {
            bounds,
            tasks: BTreeMap::new(),
            ends: BTreeMap::new(),
            drains: BTreeMap::new(),
            jobs: BTreeMap::new(),
            configuration: configuration::Configurations::default(),
            overdue: BTreeSet::new(),
            clocks_jump: false,
            violations: Vec::new(),
            starts: 0,
        }
    }

    /// All breaches so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    pub(crate) fn breach(&mut self, at: Millis, rule: Rule, text: String) {
        self.violations.push(Violation { at, rule, text });
    }
}
