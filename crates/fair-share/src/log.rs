//! The newest version and which users the versions before it changed: what is needed to tell others of it.

use crate::debt::DecayedUsage;
use crate::ranking::FairShareRanking;
use crate::version::{RankingUpdate, RankingVersion};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Versions for which the changes are remembered: a node that lost more is told the whole.
const MOST_REMEMBERED: usize = 32;
/// Changed users remembered over all versions: beyond it the oldest are dropped, as the whole is then no longer.
const MOST_CHANGES: usize = 100_000;

/// The newest version with the changes that led to it.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    pub(crate) ranking: FairShareRanking,
    /// Versions before the newest, oldest first, each with the users that the version after it changed.
    changes: VecDeque<(RankingVersion, Vec<Arc<str>>)>,
    remembered: usize,
}

impl Log {
    pub(crate) fn new(ranking: FairShareRanking) -> Log {
        Log {
            ranking,
            changes: VecDeque::new(),
            remembered: 0,
        }
    }

    /// Goes on to a version that differs from the newest in these users.
    pub(crate) fn advance(&mut self, ranking: FairShareRanking, changed: Vec<Arc<str>>) {
        self.remembered += changed.len();
        self.changes.push_back((self.ranking.version(), changed));
        self.ranking = ranking;
        while self.changes.len() > MOST_REMEMBERED || self.remembered > MOST_CHANGES {
            let Some((_, dropped)) = self.changes.pop_front() else {
                break;
            };
            self.remembered -= dropped.len();
        }
    }

    /// What brings a node that holds `held` to the newest version.
    pub(crate) fn update_since(
        &self,
        held: Option<RankingVersion>,
        age_ms: Millis,
    ) -> RankingUpdate {
        let known = held.filter(|held| *held == self.ranking.version() || self.remembers(*held));
        let debts = match known {
            Some(held) => self.difference(held),
            None => self
                .ranking
                .debts()
                .iter()
                .map(|(user, debt)| (user.clone(), Some(debt.clone())))
                .collect(),
        };
        let (version, time) = (self.ranking.version(), self.ranking.time());
        RankingUpdate {
            base: known,
            version,
            time,
            age_ms,
            debts,
        }
    }

    fn remembers(&self, version: RankingVersion) -> bool {
        self.changes.iter().any(|(before, _)| *before == version)
    }

    fn difference(&self, held: RankingVersion) -> Vec<(Arc<str>, Option<DecayedUsage>)> {
        let after = self
            .changes
            .iter()
            .skip_while(|(before, _)| *before != held);
        let users: BTreeSet<&Arc<str>> = after.flat_map(|(_, changed)| changed).collect();
        users
            .into_iter()
            .map(|user| (user.clone(), self.ranking.debts().get(user).cloned()))
            .collect()
    }
}
