//! Configurations that operators have sent, and which of them may be in effect.

use crate::submitted_jobs::SubmittedJobs;
use std::sync::Arc;
use streamusher_protocol::config::{Configuration, Route};
use streamusher_protocol::task::JobId;
use streamusher_protocol::Millis;

/// Time from a worker's observation of the effect of a version until no process may use an older version.
const ROLLBACK_SLACK_MS: Millis = 250;

/// A configuration change as sent by an operator.
#[derive(Clone, Debug)]
pub(crate) struct SentChange {
    /// Version on which the change is based.
    pub(crate) base: u64,
    /// Resulting configuration; `None` if it is invalid.
    pub(crate) result: Option<Arc<Configuration>>,
}

/// A change and its responses.
#[derive(Clone, Debug)]
pub(super) struct ChangeRecord {
    pub(super) change: SentChange,
    pub(super) sent_at: Millis,
    pub(super) acknowledged_at: Option<Millis>,
    pub(super) rejected: bool,
    /// Whether the missing acknowledgement was already reported.
    pub(super) late: bool,
}

impl ChangeRecord {
    /// Returns the configuration unless it is certainly not in effect.
    fn candidate(&self) -> Option<&Arc<Configuration>> {
        let result = self.change.result.as_ref()?;
        (self.acknowledged_at.is_some() || !self.rejected).then_some(result)
    }

    fn version(&self) -> u64 {
        let result = self.change.result.as_ref();
        result.map_or(0, |result| result.version)
    }
}

/// A version whose effect a worker has observed.
#[derive(Clone, Copy, Debug)]
struct ObservedVersion {
    observed_at: Millis,
    version: u64,
}

/// Whether a route belongs to a queue.
pub(super) fn is_of_queue(route: &Route, host: &str, prefix: &str) -> bool {
    &*route.host == host && &*route.path_prefix == prefix
}

/// Whether a configuration contains a queue.
pub(super) fn has_queue(configuration: &Configuration, host: &str, prefix: &str) -> bool {
    let mut routes = configuration.routes.iter();
    routes.any(|route| is_of_queue(route, host, prefix))
}

/// All changes that were sent.
#[derive(Debug, Default)]
pub(super) struct Configurations {
    pub(super) changes: Vec<ChangeRecord>,
    observed: Vec<ObservedVersion>,
}

impl Configurations {
    /// Configurations that are, were or may come into effect.
    pub(super) fn candidates(&self) -> impl Iterator<Item = &Arc<Configuration>> {
        self.changes.iter().filter_map(ChangeRecord::candidate)
    }

    fn routes<'a>(&'a self, host: &'a str, prefix: &'a str) -> impl Iterator<Item = &'a Route> {
        let routes = self
            .candidates()
            .flat_map(|configuration| configuration.routes.iter());
        routes.filter(move |route| is_of_queue(route, host, prefix))
    }

    /// Whether a service may run tasks of a queue.
    pub(super) fn may_run(&self, host: &str, prefix: &str, service: &str) -> bool {
        let mut routes = self.routes(host, prefix);
        routes.any(|route| &*route.service == service)
    }

    /// Maximum number of attempts that the tasks of a job may have.
    pub(super) fn max_attempts(&self, submitted_jobs: &SubmittedJobs, job: &JobId) -> u32 {
        let Some(job) = submitted_jobs.job(job) else {
            return u32::MAX;
        };
        let attempts = self
            .routes(&job.host, &job.prefix)
            .map(|route| route.max_attempts);
        attempts.max().unwrap_or(u32::MAX)
    }

    /// Minimum number of attempts that tasks of a queue may have.
    pub(super) fn min_attempts(&self, host: &str, prefix: &str) -> u32 {
        let attempts = self.routes(host, prefix).map(|route| route.max_attempts);
        attempts.min().unwrap_or(0)
    }

    /// Service of a queue in the newest acknowledged configuration, unless a newer one may be in effect.
    pub(super) fn newest_service(&self, host: &str, prefix: &str) -> Option<Arc<str>> {
        let candidates = self
            .changes
            .iter()
            .filter(|change| change.candidate().is_some());
        let newest = candidates.max_by_key(|change| change.version())?;
        newest.acknowledged_at?;
        let mut routes = newest.change.result.as_ref()?.routes.iter();
        let route = routes.find(|route| is_of_queue(route, host, prefix))?;
        Some(route.service.clone())
    }

    /// Newest version acknowledged by a time.
    pub(super) fn newest_acknowledged(&self, by: Millis) -> Option<u64> {
        let is_acknowledged = |change: &&ChangeRecord| {
            change
                .acknowledged_at
                .is_some_and(|acknowledged_at| acknowledged_at <= by)
        };
        let acknowledged = self.changes.iter().filter(is_acknowledged);
        acknowledged.map(ChangeRecord::version).max()
    }

    /// Records that a worker received work of a queue, which shows that a version is in effect that allows
    /// this.
    pub(super) fn on_queue_served(&mut self, now: Millis, host: &str, prefix: &str, service: &str) {
        let allows = |configuration: &&Arc<Configuration>| {
            let mut routes = configuration.routes.iter();
            routes.any(|route| is_of_queue(route, host, prefix) && &*route.service == service)
        };
        let allowing = self.candidates().filter(allows);
        let oldest = allowing.map(|configuration| configuration.version).min();
        let known = self.observed.last().map_or(0, |observed| observed.version);
        if let Some(version) = oldest.filter(|version| *version > known) {
            self.observed.push(ObservedVersion {
                observed_at: now,
                version,
            });
        }
    }

    /// Oldest version by which a request sent at this time may be handled.
    pub(super) fn oldest_allowed(&self, sent_at: Millis, apply_ms: Millis) -> u64 {
        let applied_by = sent_at.saturating_sub(apply_ms);
        let acknowledged = self.newest_acknowledged(applied_by).unwrap_or(0);
        let is_settled =
            |observed: &&ObservedVersion| observed.observed_at + ROLLBACK_SLACK_MS < sent_at;
        let settled = self.observed.iter().filter(is_settled);
        let observed = settled.map(|observed| observed.version).max();
        acknowledged.max(observed.unwrap_or(0))
    }
}
