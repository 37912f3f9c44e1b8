//! Meters of what runs: which rate each user's runs take together, and up to when it is charged.

use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::task::RunId;
use streamusher_protocol::Millis;

/// Usage at one rate, in thousandths of a core, over a span of cluster time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsageSpan {
    pub(crate) rate: u64,
    pub(crate) from: Millis,
    pub(crate) until: Millis,
}

/// A run that is metered.
#[derive(Clone, Debug)]
pub(crate) struct MeteredRun {
    pub(crate) user: Arc<str>,
    pub(crate) rate: u64,
    pub(crate) started_at: Millis,
}

/// What a user's runs take together.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UserMeter {
    /// In thousandths of a core.
    pub(crate) rate: u64,
    /// Usage up to this cluster time is charged.
    pub(crate) charged_until: Millis,
}

/// All running runs. A user has a meter while its runs take anything.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunningUsage {
    runs: BTreeMap<RunId, MeteredRun>,
    meters: BTreeMap<Arc<str>, UserMeter>,
}

impl RunningUsage {
    pub(crate) fn contains(&self, run: &RunId) -> bool {
        self.runs.contains_key(run)
    }

    /// Adds a run; its user's usage must be charged up to its start.
    pub(crate) fn insert(&mut self, id: RunId, run: MeteredRun) {
        let meter = self.meters.entry(run.user.clone()).or_default();
        meter.charged_until = run.started_at;
        meter.rate = meter.rate.saturating_add(run.rate);
        self.runs.insert(id, run);
    }

    /// The user of a run.
    pub(crate) fn user_of(&self, run: &RunId) -> Option<Arc<str>> {
        Some(self.runs.get(run)?.user.clone())
    }

    /// Removes a run; its user's usage must be charged up to its end.
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

    /// Takes what a user's runs have used since they were last charged; none where that is nothing.
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

    /// A user's meter; an empty one where nothing of it runs.
    pub(crate) fn meter(&self, user: &str) -> UserMeter {
        self.meters.get(user).copied().unwrap_or_default()
    }

    pub(crate) fn is_running(&self, user: &str) -> bool {
        self.meters.contains_key(user)
    }

    /// Users of which something runs, in order.
    pub(crate) fn users(&self) -> impl Iterator<Item = &Arc<str>> {
        self.meters.keys()
    }
}
