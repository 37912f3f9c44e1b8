//! The primary's debts: what runs, what it has cost, and the versions made of it.

use crate::clock::AgreedClock;
use crate::debt::DecayedUsage;
use crate::log::Log;
use crate::ranking::{delay_ms, Debts, FairShareRanking};
use crate::record::{self, VersionRecord};
use crate::settings::FairShareSettings;
use crate::version::{RankingUpdate, RankingVersion};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::store::Write;
use streamusher_protocol::task::RunId;
use streamusher_protocol::Millis;

/// A debt below one core-second that delays by less than a millisecond is dropped once it has faded for a half-life
/// without new use: not earlier, or small uses would never add up.
const DROPPED_BELOW_CORE_MS: u64 = 1_000;
/// Users that are looked at for dropping, for each version: bounded work, and all within some versions.
const LOOKED_AT: usize = 2_000;

/// What a run that has ended costs its user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageCharge {
    /// All of its time: it did what the user asked, or failed.
    Used,
    /// Its first milliseconds: the work that a checkpoint kept.
    Kept(Millis),
    /// Nothing: the system threw its work away.
    ThrownAway,
}

/// A user's debt as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UserUsage {
    /// The user.
    pub user: Arc<str>,
    /// Its debt in the newest version, in core-milliseconds.
    pub debt_core_ms: u64,
    /// How far its units are put back, in milliseconds.
    pub delay_ms: Millis,
    /// Its debt now, with what has accrued since that version.
    pub present_core_ms: u64,
    /// What it uses now, in thousandths of a core.
    pub rate_millicores: u64,
    /// The version.
    pub version: RankingVersion,
}

#[derive(Clone, Debug)]
struct Running {
    user: Arc<str>,
    rate: u64,
    from: Millis,
}

/// What a user's runs take together, charged up to `since`.
#[derive(Clone, Copy, Debug, Default)]
struct Meter {
    rate: u64,
    since: Millis,
}

/// The primary's state machine of the debts.
#[derive(Clone, Debug)]
pub struct FairShareAccounts {
    settings: Arc<FairShareSettings>,
    epoch: u64,
    clock: AgreedClock,
    debts: Debts,
    runs: BTreeMap<RunId, Running>,
    meters: BTreeMap<Arc<str>, Meter>,
    /// Users whose debt differs from the newest version.
    changed: BTreeSet<Arc<str>>,
    log: Log,
    /// Where the search for faded debts goes on.
    looked_at: Option<Arc<str>>,
    damaged: Vec<Arc<str>>,
}

impl FairShareAccounts {
    /// Nobody owes anything; the agreed time is 0 at the steady time `now`.
    pub fn new(settings: FairShareSettings, epoch: u64, now: Millis) -> FairShareAccounts {
        FairShareAccounts::recover(settings, epoch, now, [])
    }

    /// A new primary's book, from the replicated records: others than its own are passed over. It goes on from the
    /// newest committed version; tell it with [`FairShareAccounts::on_run_started`] of all that runs.
    pub fn recover(
        settings: FairShareSettings,
        epoch: u64,
        now: Millis,
        records: impl IntoIterator<Item = (Arc<str>, Arc<str>)>,
    ) -> FairShareAccounts {
        let settings = settings.clamped();
        let found = record::read(records);
        let written = if found.version.half_life_ms > 0 {
            found.version.half_life_ms
        } else {
            settings.half_life_ms
        };
        let latest = found
            .debts
            .iter()
            .filter_map(|(_, debt)| debt.latest())
            .max();
        // Where the version's record is lost, the latest use tells the time, to a half-life.
        let known = found.version.half_life_ms > 0;
        let time = if known {
            found.version.time
        } else {
            latest.unwrap_or(0).saturating_mul(written)
        };
        let carried = |(user, debt): (Arc<str>, DecayedUsage)| {
            let debt = if written == settings.half_life_ms {
                debt
            } else {
                DecayedUsage::of_value(debt.at(written, time), settings.half_life_ms, time)
            };
            (user, debt)
        };
        let debts: Debts = found.debts.into_iter().map(carried).collect();
        let changed = if written == settings.half_life_ms {
            BTreeSet::new()
        } else {
            debts.keys().cloned().collect()
        };
        let settings = Arc::new(settings);
        let ranking =
            FairShareRanking::new(settings.clone(), found.version.version, time, debts.clone());
        FairShareAccounts {
            settings,
            epoch,
            clock: AgreedClock::continue_from(time, now),
            debts,
            runs: BTreeMap::new(),
            meters: BTreeMap::new(),
            changed,
            log: Log::new(ranking),
            looked_at: None,
            damaged: found.damaged,
        }
    }

    /// A run takes its room from now on. Told again of the same run, nothing changes.
    pub fn on_run_started(
        &mut self,
        now: Millis,
        user: &Arc<str>,
        run: RunId,
        resources: &Resources,
    ) {
        if self.runs.contains_key(&run) {
            return;
        }
        let from = self.clock.at(now);
        let rate = self.settings.rate_of(resources);
        self.settle(user, from);
        let meter = self.meters.entry(user.clone()).or_default();
        meter.since = from;
        meter.rate = meter.rate.saturating_add(rate);
        self.runs.insert(
            run,
            Running {
                user: user.clone(),
                rate,
                from,
            },
        );
    }

    /// A run gives its room back. One that is not known changes nothing.
    pub fn on_run_finished(&mut self, now: Millis, run: &RunId, charge: UsageCharge) {
        let Some(Running { user, rate, from }) = self.runs.remove(run) else {
            return;
        };
        let until = self.clock.at(now);
        self.settle(&user, until);
        if let Some(meter) = self.meters.get_mut(&user) {
            meter.rate = meter.rate.saturating_sub(rate);
            if meter.rate == 0 {
                self.meters.remove(&user);
            }
        }
        let kept_until = match charge {
            UsageCharge::Used => until,
            UsageCharge::Kept(span) => from.saturating_add(span).min(until),
            UsageCharge::ThrownAway => from,
        };
        if kept_until < until {
            self.refund(&user, rate, kept_until, until);
        }
    }

    /// Makes a new version where one is due: all that has accrued is charged, and the changes are to be replicated in
    /// one batch. Empty where none is due.
    pub fn advance(&mut self, now: Millis) -> Vec<Write> {
        let time = self.clock.at(now);
        let age = time.saturating_sub(self.log.ranking.time());
        if age < self.settings.version_every_ms {
            return Vec::new();
        }
        let is_changed = !self.meters.is_empty() || !self.changed.is_empty();
        let is_aging = !self.debts.is_empty() && age >= self.settings.most_age_ms / 2;
        if !is_changed && !is_aging {
            return Vec::new();
        }
        let users: Vec<Arc<str>> = self.meters.keys().cloned().collect();
        users.iter().for_each(|user| self.settle(user, time));
        self.drop_faded(time);
        self.drop_surplus(time);
        self.make_version(time)
    }

    /// The order by the newest version.
    pub fn ranking(&self) -> &FairShareRanking {
        &self.log.ranking
    }

    /// The newest version.
    pub fn version(&self) -> RankingVersion {
        self.log.ranking.version()
    }

    /// Age of the newest version, in milliseconds.
    pub fn age(&self, now: Millis) -> Millis {
        self.clock.read(now).saturating_sub(self.log.ranking.time())
    }

    /// The agreed time.
    pub fn agreed_time(&self, now: Millis) -> Millis {
        self.clock.read(now)
    }

    /// Where a unit stands by the newest version: see [`FairShareRanking::order_key`].
    pub fn order_key(&self, user: &str, priority: u32, submitted_at: Millis) -> u64 {
        self.log.ranking.order_key(user, priority, submitted_at)
    }

    /// What brings a node that holds a version, or none, to the newest one.
    pub fn update_since(&self, now: Millis, held: Option<RankingVersion>) -> RankingUpdate {
        self.log.update_since(held, self.age(now))
    }

    /// A user's debt, for operators.
    pub fn show(&self, now: Millis, user: &Arc<str>) -> UserUsage {
        let time = self.clock.read(now);
        let ranking = &self.log.ranking;
        let mut present = self.debts.get(user).cloned().unwrap_or_default();
        let meter = self.meters.get(user).copied().unwrap_or_default();
        present.add(self.settings.half_life_ms, meter.rate, meter.since, time);
        let debt_core_ms = ranking.debt(user);
        UserUsage {
            user: user.clone(),
            debt_core_ms,
            delay_ms: delay_ms(&self.settings, user, debt_core_ms),
            present_core_ms: present.at(self.settings.half_life_ms, time),
            rate_millicores: meter.rate,
            version: ranking.version(),
        }
    }

    /// Every user that owes something or runs something.
    pub fn users(&self) -> impl Iterator<Item = &Arc<str>> {
        let running = self
            .meters
            .keys()
            .filter(|user| !self.debts.contains_key(*user));
        self.debts.keys().chain(running)
    }

    /// Users whose record could not be read; they began anew.
    pub fn damaged(&self) -> &[Arc<str>] {
        &self.damaged
    }

    /// The settings.
    pub fn settings(&self) -> &FairShareSettings {
        &self.settings
    }

    /// Charges what a user's runs have taken up to `until`.
    fn settle(&mut self, user: &Arc<str>, until: Millis) {
        let Some(meter) = self.meters.get_mut(user) else {
            return;
        };
        let (rate, from) = (meter.rate, meter.since);
        meter.since = until;
        if rate == 0 || from >= until {
            return;
        }
        let half_life = self.settings.half_life_ms;
        let debt = self.debts.entry(user.clone()).or_default();
        debt.add(half_life, rate, from, until);
        debt.forget(half_life, until);
        self.changed.insert(user.clone());
    }

    fn refund(&mut self, user: &Arc<str>, rate: u64, from: Millis, until: Millis) {
        let Some(debt) = self.debts.get_mut(user) else {
            return;
        };
        debt.take_back(self.settings.half_life_ms, rate, from, until);
        self.changed.insert(user.clone());
    }

    /// Drops debts that have faded, among the next users in order.
    fn drop_faded(&mut self, time: Millis) {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self.looked_at.take().map_or(Unbounded, Excluded);
        let next: Vec<Arc<str>> = self
            .debts
            .range((after, Unbounded))
            .take(LOOKED_AT)
            .map(|(user, _)| user.clone())
            .collect();
        if next.len() == LOOKED_AT {
            self.looked_at = next.last().cloned();
        }
        for user in next {
            if self.has_faded(&user, time) {
                self.drop_user(user);
            }
        }
    }

    fn has_faded(&self, user: &Arc<str>, time: Millis) -> bool {
        let half_life = self.settings.half_life_ms;
        let Some(debt) = self
            .debts
            .get(user)
            .filter(|_| !self.meters.contains_key(user))
        else {
            return false;
        };
        if debt
            .latest()
            .is_some_and(|latest| latest.saturating_add(1) >= time / half_life)
        {
            return false;
        }
        let owed = debt.at(half_life, time);
        owed < DROPPED_BELOW_CORE_MS && delay_ms(&self.settings, user, owed) == 0
    }

    /// Drops the least debts beyond the largest number of users.
    fn drop_surplus(&mut self, time: Millis) {
        let surplus = self.debts.len().saturating_sub(self.settings.most_users);
        if surplus == 0 {
            return;
        }
        let half_life = self.settings.half_life_ms;
        let mut users: Vec<(u64, Arc<str>)> = self
            .debts
            .iter()
            .map(|(user, debt)| (debt.at(half_life, time), user.clone()))
            .collect();
        users.select_nth_unstable(surplus - 1);
        users
            .into_iter()
            .take(surplus)
            .for_each(|(_, user)| self.drop_user(user));
    }

    fn drop_user(&mut self, user: Arc<str>) {
        self.debts.remove(&user);
        self.changed.insert(user);
    }

    fn make_version(&mut self, time: Millis) -> Vec<Write> {
        let version = RankingVersion {
            epoch: self.epoch,
            number: self.version().number.saturating_add(1),
        };
        let changed: Vec<Arc<str>> = std::mem::take(&mut self.changed).into_iter().collect();
        let mut writes: Vec<Write> = changed
            .iter()
            .map(|user| record::user_write(user, self.debts.get(user)))
            .collect();
        let half_life_ms = self.settings.half_life_ms;
        writes.push(record::version_write(&VersionRecord {
            version,
            time,
            half_life_ms,
        }));
        let ranking =
            FairShareRanking::new(self.settings.clone(), version, time, self.debts.clone());
        self.log.advance(ranking, changed);
        writes
    }
}
