//! Meters of running tasks: the total rate of each user's runs, and the time up to which it has been charged.

use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::task::RunId;
use streamusher_protocol::Millis;

/// Usage at a constant rate, in thousandths of a core, over a span of cluster time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsageSpan {
    pub(crate) rate: u64,
    pub(crate) from: Millis,
    pub(crate) until: Millis,
}

/// A run that is being metered. The rate is in thousandths of a core, the start a cluster time.
#[derive(Clone, Debug)]
pub(crate) struct MeteredRun {
    pub(crate) user: Arc<str>,
    pub(crate) rate: u64,
    pub(crate) started_at: Millis,
}

/// Meter of all runs of one user.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UserMeter {
    /// Total rate of the user's runs, in thousandths of a core.
    pub(crate) rate: u64,
    /// Cluster time up to which the usage has been charged.
    pub(crate) charged_until: Millis,
}

/// All active runs. A user's meter is removed when the total rate of its runs falls to zero.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunningUsage {
    runs: BTreeMap<RunId, MeteredRun>,
    meters: BTreeMap<Arc<str>, UserMeter>,
}

impl RunningUsage {
    pub(crate) fn contains(&self, run: &RunId) -> bool {
        self.runs.contains_key(run)
    }

    /// Adds a run. The user's usage must have been charged up to the start of the run.
    pub(crate) fn insert(&mut self, id: RunId, run: MeteredRun) {
        let meter = self.meters.entry(run.user.clone()).or_default();
        meter.charged_until = run.started_at;
        meter.rate = meter.rate.saturating_add(run.rate);
        self.runs.insert(id, run);
    }

    /// Returns the user of a run, if the run is known.
    pub(crate) fn user_of(&self, run: &RunId) -> Option<Arc<str>> {
        Some(self.runs.get(run)?.user.clone())
    }

    /// Removes a run. The user's usage must have been charged up to the end of the run.
    pub(crate) fn remove(&mut self, id: &RunId) -> Option<MeteredRun> {
        let run = self.runs.remove(id)?;
        if let Some(meter) = self.meters.get_mut(&run.user) {
            meter.rate = meter.rate.saturating_sub(run.rate);
            if meter.rate == 0 {
                self.meters.remove(&run.user);
            }
        }
        Some(run)
    }

    /// Takes the usage of a user's runs since they were last charged; `None` if there is none.
    pub(crate) fn take_uncharged(&mut self, user: &str, until: Millis) -> Option<UsageSpan> {
        let meter = self.meters.get_mut(user)?;
        let span = UsageSpan {
            rate: meter.rate,
            from: meter.charged_until,
            until,
        };
        meter.charged_until = until;
        (span.rate > 0 && span.from < until).then_some(span)
    }

    /// Returns a user's meter, or an empty one if the user has no runs.
    pub(crate) fn meter(&self, user: &str) -> UserMeter {
        self.meters.get(user).copied().unwrap_or_default()
    }

    pub(crate) fn is_running(&self, user: &str) -> bool {
        self.meters.contains_key(user)
    }

    /// Iterates over the users with running tasks, in order.
    pub(crate) fn users(&self) -> impl Iterator<Item = &Arc<str>> {
        self.meters.keys()
    }
}
