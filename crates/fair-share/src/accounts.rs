//! The primary's accounts of all users: what their runs use, and the ranking versions made of it.

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

/// Usage below one core-second that delays by less than a millisecond is dropped once it has decayed for a half-life
/// without new use: not earlier, or small uses would never add up.
const MIN_KEPT_CORE_MS: u64 = 1_000;
/// Users that are checked for being dropped, for each version: bounded work, and all within some versions.
const USERS_CHECKED_PER_VERSION: usize = 2_000;

/// Which part of a finished run's usage its user is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageCharge {
    /// All of it: the run did what the user asked, or failed.
    Full,
    /// Its first milliseconds: the work that a checkpoint kept.
    UpTo(Millis),
    /// Nothing: the system wasted its work.
    Nothing,
}

/// A user's usage as operators see it. The JSON keys are an interface of operators' tools.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UserUsage {
    /// The user.
    pub user: Arc<str>,
    /// Its usage in the newest version, in core-milliseconds.
    #[serde(rename = "debt_core_ms")]
    pub ranked_core_ms: u64,
    /// How far its units are delayed in the order, in milliseconds.
    pub delay_ms: Millis,
    /// Its usage now, with what has accrued since that version, in core-milliseconds.
    pub present_core_ms: u64,
    /// What its runs take now, in thousandths of a core.
    pub rate_millicores: u64,
    /// The newest version.
    pub version: RankingVersion,
}

/// The primary's state machine of users' usage.
///
/// Takes the steady time of the process as an argument, which may come late: time never goes back. All that it wants
/// replicated is returned as writes; a version counts once they are committed.
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
    /// The last user that was checked for being dropped; none at the beginning of a pass.
    last_checked: Option<Arc<str>>,
    unreadable_users: Vec<Arc<str>>,
}

impl FairShareAccounts {
    /// Accounts without usage; the cluster time is 0 at the steady time `now`.
    pub fn new(settings: FairShareSettings, epoch: u64, now: Millis) -> FairShareAccounts {
        FairShareAccounts::recover(settings, epoch, now, [])
    }

    /// A new primary's accounts, from the replicated records; records of others are ignored. They continue from the
    /// newest committed version; call [`FairShareAccounts::on_run_started`] for all that runs.
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
        let carry_over = |usage: DecayedUsage| {
            if is_half_life_unchanged {
                return usage;
            }
            DecayedUsage::from_value(usage.value_at(half_life, time), settings.half_life_ms, time)
        };
        let usage_by_user: UsageByUser = stored
            .users
            .into_iter()
            .map(|(user, usage)| (user, carry_over(usage)))
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

    /// A run has been allocated its resources. A repeated call for the same run changes nothing.
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

    /// A run's resources are released. One that is not known changes nothing.
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

    /// Makes a new version where one is due: all that has accrued is charged, and the changes are to be replicated in
    /// one batch. Empty where none is due.
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
        self.drop_decayed(time);
        self.drop_surplus(time);
        self.create_version(time)
    }

    /// The order by the newest version.
    pub fn ranking(&self) -> &FairShareRanking {
        self.history.newest()
    }

    /// The newest version.
    pub fn version(&self) -> RankingVersion {
        self.ranking().version()
    }

    /// Age of the newest version, in milliseconds.
    pub fn age_ms(&self, now: Millis) -> Millis {
        self.cluster_time(now)
            .saturating_sub(self.ranking().created_at())
    }

    /// The cluster time, in milliseconds.
    pub fn cluster_time(&self, now: Millis) -> Millis {
        self.clock.read(now)
    }

    /// The place of a unit by the newest version: see [`FairShareRanking::order_key`].
    pub fn order_key(&self, user: &str, priority: u32, submitted_at: Millis) -> u64 {
        self.ranking().order_key(user, priority, submitted_at)
    }

    /// What brings a node that holds a version, or none, to the newest one.
    pub fn update_since(&self, now: Millis, held: Option<RankingVersion>) -> RankingUpdate {
        self.history.update_since(held, self.age_ms(now))
    }

    /// A user's usage, for operators.
    pub fn usage_of(&self, now: Millis, user: &Arc<str>) -> UserUsage {
        let time = self.cluster_time(now);
        let half_life = self.settings.half_life_ms;
        let mut present = self.usage_by_user.get(user).cloned().unwrap_or_default();
        let meter = self.running.meter(user);
        present.add(half_life, meter.rate, meter.charged_until, time);
        let ranked_core_ms = self.ranking().usage_core_ms(user);
        UserUsage {
            user: user.clone(),
            ranked_core_ms,
            delay_ms: delay_ms(&self.settings, user, ranked_core_ms),
            present_core_ms: present.value_at(half_life, time),
            rate_millicores: meter.rate,
            version: self.version(),
        }
    }

    /// Every user that has used or runs something.
    pub fn users(&self) -> impl Iterator<Item = &Arc<str>> {
        let only_running = self
            .running
            .users()
            .filter(|user| !self.usage_by_user.contains_key(*user));
        self.usage_by_user.keys().chain(only_running)
    }

    /// Users whose record could not be read; they started without usage.
    pub fn unreadable_users(&self) -> &[Arc<str>] {
        &self.unreadable_users
    }

    /// The settings.
    pub fn settings(&self) -> &FairShareSettings {
        &self.settings
    }

    /// Charges what a user's runs have used up to `until`.
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

    /// Drops users whose usage has decayed, among the next ones in order.
    fn drop_decayed(&mut self, time: Millis) {
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

    /// Drops the users with the least usage beyond the largest number of users.
    fn drop_surplus(&mut self, time: Millis) {
        let surplus = self
            .usage_by_user
            .len()
            .saturating_sub(self.settings.max_users);
        if surplus == 0 {
            return;
        }
        let half_life = self.settings.half_life_ms;
        let mut users: Vec<(u64, Arc<str>)> = self
            .usage_by_user
            .iter()
            .map(|(user, usage)| (usage.value_at(half_life, time), user.clone()))
            .collect();
        users.select_nth_unstable(surplus - 1);
        for (_, user) in users.into_iter().take(surplus) {
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

/// The cluster time to continue from. Where the version's record is lost, the latest usage tells it, to a half-life.
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
