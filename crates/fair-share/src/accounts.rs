//! The primary's accounts of all users: the usage of their runs, and the ranking versions derived from it.

use crate::cluster_clock::ClusterClock;
use crate::decayed_usage::DecayedUsage;
use crate::ranking::{delay_ms, FairShareRanking, UsageByUser};
use crate::running_usage::{MeteredRun, RunningUsage, UsageSpan};
use crate::settings::FairShareSettings;
use crate::stored_state::{self, StoredState, VersionRecord};
use crate::version::{RankingUpdate, RankingVersion};
use crate::version_history::VersionHistory;
use serde::Serialize;
use std::collections::BTreeSet;
use std::ops::Bound::{Excluded, Unbounded};
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::store::Write;
use streamusher_protocol::task::RunId;
use streamusher_protocol::Millis;

/// A user whose usage is below one core-second and causes a delay of less than a millisecond is dropped once
/// that usage has decayed for a half-life without new use. Dropping users earlier would prevent small uses
/// from adding up.
const MIN_KEPT_CORE_MS: u64 = 1_000;
/// Users that are checked for removal with each version. This bounds the work, and all users are checked
/// within a few versions.
const USERS_CHECKED_PER_VERSION: usize = 2_000;

/// The part of a finished run's usage that its user is charged for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageCharge {
    /// All of it: the run did what the user asked for, or failed.
    Full,
    /// The first milliseconds of the run: the work that a checkpoint preserved.
    UpTo(Millis),
    /// Nothing: the system wasted the run's work.
    Nothing,
}

/// A user's usage, for operators. The JSON keys are an interface for operator tools.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UserUsage {
    /// Name of the user.
    pub user: Arc<str>,
    /// Usage in the newest version, in core-milliseconds.
    #[serde(rename = "debt_core_ms")]
    pub ranked_core_ms: u64,
    /// Delay of the user's units in the order, in milliseconds.
    pub delay_ms: Millis,
    /// Current usage, including what has accrued since the newest version, in core-milliseconds.
    pub present_core_ms: u64,
    /// Rate at which the user's runs are currently charged, in thousandths of a core.
    pub rate_millicores: u64,
    /// The newest version.
    pub version: RankingVersion,
}

/// The primary's state machine of users' usage.
///
/// Takes the steady time of the process as an argument. A time that is earlier than a previous one does not
/// turn the clock back. Everything that must be replicated is returned as writes; a version is valid once
/// they are committed.
#[derive(Clone, Debug)]
pub struct FairShareAccounts {
    settings: Arc<FairShareSettings>,
    epoch: u64,
    clock: ClusterClock,
    usage_by_user: UsageByUser,
    running: RunningUsage,
    /// Users whose usage differs from the newest version.
    changed: BTreeSet<Arc<str>>,
    history: VersionHistory,
    /// Last user that was checked for removal; `None` at the beginning of a pass.
    last_checked: Option<Arc<str>>,
    unreadable_users: Vec<Arc<str>>,
}

impl FairShareAccounts {
    /// Creates accounts without usage. The cluster time is 0 at the steady time `now`.
    pub fn new(settings: FairShareSettings, epoch: u64, now: Millis) -> FairShareAccounts {
        FairShareAccounts::recover(settings, epoch, now, [])
    }

    /// Restores a new primary's accounts from the replicated records; records of other components are
    /// ignored. The accounts continue from the newest committed version. The caller must call
    /// [`FairShareAccounts::on_run_started`] for every active run.
    pub fn recover(
        settings: FairShareSettings,
        epoch: u64,
        now: Millis,
        records: impl IntoIterator<Item = (Arc<str>, Arc<str>)>,
    ) -> FairShareAccounts {
        let settings = Arc::new(settings.clamped());
        let stored = StoredState::read(records);
        let half_life = stored.half_life_ms().unwrap_or(settings.half_life_ms);
        let time = recovered_time(&stored, half_life);
        let is_half_life_unchanged = half_life == settings.half_life_ms;
        let convert = |usage: DecayedUsage| {
            if is_half_life_unchanged {
                return usage;
            }
            DecayedUsage::from_value(usage.value_at(half_life, time), settings.half_life_ms, time)
        };
        let usage_by_user: UsageByUser = stored
            .users
            .into_iter()
            .map(|(user, usage)| (user, convert(usage)))
            .collect();
        let changed = if is_half_life_unchanged {
            BTreeSet::new()
        } else {
            usage_by_user.keys().cloned().collect()
        };
        let version = stored.version.version;
        let ranking = FairShareRanking::new(settings.clone(), version, time, usage_by_user.clone());
        FairShareAccounts {
            settings,
            epoch,
            clock: ClusterClock::continue_from(time, now),
            usage_by_user,
            running: RunningUsage::default(),
            changed,
            history: VersionHistory::new(ranking),
            last_checked: None,
            unreadable_users: stored.unreadable,
        }
    }

    /// Starts charging a run that has been allocated its resources. A repeated call for the same run has no
    /// effect.
    pub fn on_run_started(
        &mut self,
        now: Millis,
        user: &Arc<str>,
        run: RunId,
        resources: &Resources,
    ) {
        if self.running.contains(&run) {
            return;
        }
        let started_at = self.clock.advance_to(now);
        self.charge_running(user, started_at);
        let metered = MeteredRun {
            user: user.clone(),
            rate: self.settings.rate_of(resources),
            started_at,
        };
        self.running.insert(run, metered);
    }

    /// Stops charging a run whose resources are released. A call for an unknown run has no effect.
    pub fn on_run_finished(&mut self, now: Millis, run: &RunId, charge: UsageCharge) {
        let Some(user) = self.running.user_of(run) else {
            return;
        };
        let finished_at = self.clock.advance_to(now);
        self.charge_running(&user, finished_at);
        let Some(run) = self.running.remove(run) else {
            return;
        };
        let charged_until = match charge {
            UsageCharge::Full => finished_at,
            UsageCharge::UpTo(span) => run.started_at.saturating_add(span).min(finished_at),
            UsageCharge::Nothing => run.started_at,
        };
        if charged_until < finished_at {
            let wasted = UsageSpan {
                rate: run.rate,
                from: charged_until,
                until: finished_at,
            };
            self.refund(&user, wasted);
        }
    }

    /// Creates a new version if one is due: charges all accrued usage and returns the changes, to be
    /// replicated in one batch. Returns nothing if no version is due.
    pub fn publish_if_due(&mut self, now: Millis) -> Vec<Write> {
        let time = self.clock.advance_to(now);
        let age = time.saturating_sub(self.ranking().created_at());
        if age < self.settings.version_interval_ms {
            return Vec::new();
        }
        let has_changed = self.running.users().next().is_some() || !self.changed.is_empty();
        let needs_refresh = !self.usage_by_user.is_empty() && age >= self.settings.max_age_ms / 2;
        if !has_changed && !needs_refresh {
            return Vec::new();
        }
        let users: Vec<Arc<str>> = self.running.users().cloned().collect();
        for user in &users {
            self.charge_running(user, time);
        }
        self.drop_decayed_users(time);
        self.drop_excess_users(time);
        self.create_version(time)
    }

    /// Returns the order by the newest version.
    pub fn ranking(&self) -> &FairShareRanking {
        self.history.newest()
    }

    /// Returns the newest version.
    pub fn version(&self) -> RankingVersion {
        self.ranking().version()
    }

    /// Age of the newest version, in milliseconds.
    pub fn age_ms(&self, now: Millis) -> Millis {
        self.cluster_time(now)
            .saturating_sub(self.ranking().created_at())
    }

    /// Cluster time at the steady time `now`, in milliseconds.
    pub fn cluster_time(&self, now: Millis) -> Millis {
        self.clock.read(now)
    }

    /// Order key of a unit by the newest version; see [`FairShareRanking::order_key`].
    pub fn order_key(&self, user: &str, priority: u32, submitted_at: Millis) -> u64 {
        self.ranking().order_key(user, priority, submitted_at)
    }

    /// Returns the update that brings a node from the version it holds, if any, to the newest one.
    pub fn update_since(&self, now: Millis, held: Option<RankingVersion>) -> RankingUpdate {
        self.history.update_since(held, self.age_ms(now))
    }

    /// Returns a user's usage, for operators.
    pub fn usage_of(&self, now: Millis, user: &Arc<str>) -> UserUsage {
        let time = self.cluster_time(now);
        let half_life = self.settings.half_life_ms;
        let mut current = self.usage_by_user.get(user).cloned().unwrap_or_default();
        let meter = self.running.meter(user);
        current.add(half_life, meter.rate, meter.charged_until, time);
        let ranked_core_ms = self.ranking().usage_core_ms(user);
        UserUsage {
            user: user.clone(),
            ranked_core_ms,
            delay_ms: delay_ms(&self.settings, user, ranked_core_ms),
            present_core_ms: current.value_at(half_life, time),
            rate_millicores: meter.rate,
            version: self.version(),
        }
    }

    /// Iterates over all users with usage or running tasks.
    pub fn users(&self) -> impl Iterator<Item = &Arc<str>> {
        let only_running = self
            .running
            .users()
            .filter(|user| !self.usage_by_user.contains_key(*user));
        self.usage_by_user.keys().chain(only_running)
    }

    /// Users whose record could not be read. They started without usage.
    pub fn unreadable_users(&self) -> &[Arc<str>] {
        &self.unreadable_users
    }

    /// Returns the settings, with times limited to the supported ranges.
    pub fn settings(&self) -> &FairShareSettings {
        &self.settings
    }

    /// Charges the usage of a user's runs up to `until`.
    fn charge_running(&mut self, user: &Arc<str>, until: Millis) {
        let Some(span) = self.running.take_uncharged(user, until) else {
            return;
        };
        let half_life = self.settings.half_life_ms;
        let usage = self.usage_by_user.entry(user.clone()).or_default();
        usage.add(half_life, span.rate, span.from, span.until);
        usage.discard_expired(half_life, until);
        self.changed.insert(user.clone());
    }

    fn refund(&mut self, user: &Arc<str>, wasted: UsageSpan) {
        let Some(usage) = self.usage_by_user.get_mut(user) else {
            return;
        };
        let half_life = self.settings.half_life_ms;
        usage.subtract(half_life, wasted.rate, wasted.from, wasted.until);
        self.changed.insert(user.clone());
    }

    /// Checks the next users in order, and drops those whose usage has decayed.
    fn drop_decayed_users(&mut self, time: Millis) {
        let after_last = self.last_checked.take().map_or(Unbounded, Excluded);
        let next: Vec<Arc<str>> = self
            .usage_by_user
            .range((after_last, Unbounded))
            .take(USERS_CHECKED_PER_VERSION)
            .map(|(user, _)| user.clone())
            .collect();
        if next.len() == USERS_CHECKED_PER_VERSION {
            self.last_checked = next.last().cloned();
        }
        for user in next {
            if self.has_decayed(&user, time) {
                self.drop_user(user);
            }
        }
    }

    fn has_decayed(&self, user: &Arc<str>, time: Millis) -> bool {
        if self.running.is_running(user) {
            return false;
        }
        let Some(usage) = self.usage_by_user.get(user) else {
            return false;
        };
        let half_life = self.settings.half_life_ms;
        let is_recent = usage
            .latest_half_life()
            .is_some_and(|latest| latest.saturating_add(1) >= time / half_life);
        if is_recent {
            return false;
        }
        let core_ms = usage.value_at(half_life, time);
        core_ms < MIN_KEPT_CORE_MS && delay_ms(&self.settings, user, core_ms) == 0
    }

    /// Drops the users with the least usage that exceed the maximum number of users.
    fn drop_excess_users(&mut self, time: Millis) {
        let excess = self
            .usage_by_user
            .len()
            .saturating_sub(self.settings.max_users);
        if excess == 0 {
            return;
        }
        let half_life = self.settings.half_life_ms;
        let mut users: Vec<(u64, Arc<str>)> = self
            .usage_by_user
            .iter()
            .map(|(user, usage)| (usage.value_at(half_life, time), user.clone()))
            .collect();
        users.select_nth_unstable(excess - 1);
        for (_, user) in users.into_iter().take(excess) {
            self.drop_user(user);
        }
    }

    fn drop_user(&mut self, user: Arc<str>) {
        self.usage_by_user.remove(&user);
        self.changed.insert(user);
    }

    fn create_version(&mut self, time: Millis) -> Vec<Write> {
        let version = RankingVersion {
            epoch: self.epoch,
            number: self.version().number.saturating_add(1),
        };
        let changed: Vec<Arc<str>> = std::mem::take(&mut self.changed).into_iter().collect();
        let mut writes: Vec<Write> = changed
            .iter()
            .map(|user| stored_state::user_write(user, self.usage_by_user.get(user)))
            .collect();
        writes.push(stored_state::version_write(&VersionRecord {
            version,
            created_at: time,
            half_life_ms: self.settings.half_life_ms,
        }));
        let ranking = FairShareRanking::new(
            self.settings.clone(),
            version,
            time,
            self.usage_by_user.clone(),
        );
        self.history.push(ranking, changed);
        writes
    }
}

/// Cluster time to continue from. If the version's record is lost, the latest usage determines it to within a
/// half-life.
fn recovered_time(stored: &StoredState, half_life: Millis) -> Millis {
    if stored.half_life_ms().is_some() {
        return stored.version.created_at;
    }
    let latest_half_life = stored
        .users
        .iter()
        .filter_map(|(_, usage)| usage.latest_half_life())
        .max();
    latest_half_life.unwrap_or(0).saturating_mul(half_life)
}
