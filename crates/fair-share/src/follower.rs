//! The newest version that reached a node.

use crate::log::Log;
use crate::ranking::{Debts, FairShareRanking};
use crate::settings::FairShareSettings;
use crate::version::{RankingUpdate, RankingVersion};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Steady clocks may differ by a 32nd: an age is counted longer by that.
const DRIFT_SHARE: Millis = 32;

/// What became of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// The node ranks by it from now on, or its age is known better.
    Yes,
    /// The node holds a newer version.
    Old,
    /// It builds on a version that the node does not hold: ask again and name the one held.
    OtherBase,
}

/// Ranks work at a node by the newest version that reached it; it may tell others in turn.
#[derive(Clone, Debug)]
pub struct RankingReplica {
    settings: Arc<FairShareSettings>,
    log: Option<Log>,
    /// Age of the version when it was told, at most, and the node's steady time then.
    told: (Millis, Millis),
}

impl RankingReplica {
    /// A node that has heard nothing.
    pub fn new(settings: FairShareSettings) -> RankingReplica {
        RankingReplica {
            settings: Arc::new(settings.clamped()),
            log: None,
            told: (0, 0),
        }
    }

    /// Takes an update that answers a question sent at the node's steady time `asked_at`. The time on the way is
    /// unknown, so the version is taken to be as old as if the answer had been sent at once.
    pub fn take(&mut self, asked_at: Millis, update: &RankingUpdate) -> Taken {
        let held = self.held();
        let is_old = held.is_some_and(|held| update.version < held);
        if is_old && !cfg!(feature = "mutant-version") {
            return Taken::Old;
        }
        if held == Some(update.version) {
            self.note_age(asked_at, update.age_ms);
            return Taken::Yes;
        }
        if update.base.is_some() && update.base != held && !cfg!(feature = "mutant-version") {
            return Taken::OtherBase;
        }
        self.adopt(update);
        self.told = (update.age_ms, asked_at);
        Taken::Yes
    }

    /// The version held, to be named when asking.
    pub fn held(&self) -> Option<RankingVersion> {
        self.log.as_ref().map(|log| log.ranking.version())
    }

    /// The order by the version held; none before the first one came. Also when it is too old: a node that hears
    /// nothing goes on with what it has.
    pub fn ranking(&self) -> Option<&FairShareRanking> {
        self.log.as_ref().map(|log| &log.ranking)
    }

    /// The version's age, in milliseconds, at most.
    pub fn age(&self, now: Millis) -> Millis {
        age_by(self.told, now)
    }

    /// Whether the version is older than it should be, or there is none: to be said with each decision.
    pub fn is_stale(&self, now: Millis) -> bool {
        self.log.is_none() || self.age(now) > self.settings.most_age_ms
    }

    /// What brings another node to the version held here.
    pub fn update_since(&self, now: Millis, held: Option<RankingVersion>) -> Option<RankingUpdate> {
        let log = self.log.as_ref()?;
        Some(log.update_since(held, self.age(now)))
    }

    /// The same version again: the lower of both ages holds.
    fn note_age(&mut self, asked_at: Millis, age_ms: Millis) {
        let at = asked_at.max(self.told.1);
        if age_by((age_ms, asked_at), at) < age_by(self.told, at) {
            self.told = (age_ms, asked_at);
        }
    }

    fn adopt(&mut self, update: &RankingUpdate) {
        let before = self.log.as_ref().filter(|_| update.base.is_some());
        let mut debts = before.map_or_else(Debts::new, |log| log.ranking.debts().clone());
        for (user, debt) in &update.debts {
            match debt {
                Some(debt) => debts.insert(user.clone(), debt.clone()),
                None => debts.remove(user),
            };
        }
        let ranking =
            FairShareRanking::new(self.settings.clone(), update.version, update.time, debts);
        let changed = update.debts.iter().map(|(user, _)| user.clone()).collect();
        match self.log.as_mut().filter(|_| update.base.is_some()) {
            Some(log) => log.advance(ranking, changed),
            None => self.log = Some(Log::new(ranking)),
        }
    }
}

fn age_by((age, since): (Millis, Millis), now: Millis) -> Millis {
    let passed = now.saturating_sub(since);
    let drift = passed / DRIFT_SHARE + u64::from(passed > 0);
    age.saturating_add(passed).saturating_add(drift)
}
