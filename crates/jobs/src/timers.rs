//! What the record has to do at a later time, in order of time.

use std::collections::BTreeSet;
use streamusher_protocol::task::JobId;
use streamusher_protocol::unit::UnitId;
use streamusher_protocol::{Millis, Now};

/// Three lists of times; the first entry of each is the next.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    /// Next iteration of a job, by time of day.
    releases: BTreeSet<(Millis, JobId)>,
    /// Ends of pauses before a restart, by the steady clock.
    pauses: BTreeSet<(Millis, UnitId)>,
    /// When ended jobs are dropped, by the steady clock.
    expiries: BTreeSet<(Millis, JobId)>,
}

impl Timers {
    /// Plans a job's next iteration for a time of day.
    pub fn release_at(&mut self, unix: Millis, job: &JobId) {
        self.releases.insert((unix, job.clone()));
    }

    /// Plans the end of a unit's pause.
    pub fn resume_at(&mut self, steady: Millis, unit: UnitId) {
        self.pauses.insert((steady, unit));
    }

    /// Plans that an ended job is dropped.
    pub fn expire_at(&mut self, steady: Millis, job: &JobId) {
        self.expiries.insert((steady, job.clone()));
    }

    /// Takes the next job with an iteration that is due.
    pub fn due_release(&mut self, now: Now) -> Option<JobId> {
        take_due(&mut self.releases, now.unix_ms).map(|(_, job)| job)
    }

    /// Takes the next unit with a pause that is over, and the time for which that was planned.
    pub fn due_resume(&mut self, now: Now) -> Option<(Millis, UnitId)> {
        take_due(&mut self.pauses, now.steady_ms)
    }

    /// Takes the next job to drop.
    pub fn due_expiry(&mut self, now: Now) -> Option<JobId> {
        take_due(&mut self.expiries, now.steady_ms).map(|(_, job)| job)
    }

    /// How long nothing is due, in milliseconds from `now`.
    pub fn next_in(&self, now: Now) -> Option<Millis> {
        let release = self
            .releases
            .first()
            .map(|(at, _)| at.saturating_sub(now.unix_ms));
        let pause = self
            .pauses
            .first()
            .map(|(at, _)| at.saturating_sub(now.steady_ms));
        let expiry = self
            .expiries
            .first()
            .map(|(at, _)| at.saturating_sub(now.steady_ms));
        [release, pause, expiry].into_iter().flatten().min()
    }
}

fn take_due<T: Ord>(planned: &mut BTreeSet<(Millis, T)>, now: Millis) -> Option<(Millis, T)> {
    if planned.first()?.0 > now {
        return None;
    }
    planned.pop_first()
}
