//! The newest version, and which users each of the versions before it changed: what is needed to send a difference.

use crate::ranking::FairShareRanking;
use crate::version::{RankingUpdate, RankingVersion, UsageChange};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Versions of which the changes are remembered: a node that lost more is sent the whole.
const MAX_VERSIONS: usize = 32;
/// Changed users that are remembered over all versions: beyond it the oldest versions are dropped, as the whole is then
/// no longer than the difference.
const MAX_CHANGED_USERS: usize = 100_000;

/// A version that was succeeded, and what its successor changed.
#[derive(Clone, Debug)]
struct FormerVersion {
    version: RankingVersion,
    /// Users whose usage differs in the next version.
    changed_after: Vec<Arc<str>>,
}

/// The newest ranking with the changes that led to it.
#[derive(Clone, Debug)]
pub(crate) struct VersionHistory {
    newest: FairShareRanking,
    /// Oldest first.
    former: VecDeque<FormerVersion>,
    /// Number of changed users over all former versions.
    changed_users: usize,
}

impl VersionHistory {
    /// A history that begins with this ranking.
    pub(crate) fn new(ranking: FairShareRanking) -> VersionHistory {
        VersionHistory {
            newest: ranking,
            former: VecDeque::new(),
            changed_users: 0,
        }
    }

    /// The newest ranking.
    pub(crate) fn newest(&self) -> &FairShareRanking {
        &self.newest
    }

    /// Adds a ranking that differs from the newest in these users.
    pub(crate) fn push(&mut self, ranking: FairShareRanking, changed: Vec<Arc<str>>) {
        self.changed_users += changed.len();
        self.former.push_back(FormerVersion {
            version: self.newest.version(),
            changed_after: changed,
        });
        self.newest = ranking;
        while self.former.len() > MAX_VERSIONS || self.changed_users > MAX_CHANGED_USERS {
            let Some(dropped) = self.former.pop_front() else {
                break;
            };
            self.changed_users -= dropped.changed_after.len();
        }
    }

    /// What brings a node that holds `held` to the newest version.
    pub(crate) fn update_since(
        &self,
        held: Option<RankingVersion>,
        age_ms: Millis,
    ) -> RankingUpdate {
        let base = held.filter(|held| *held == self.newest.version() || self.contains(*held));
        let changes = match base {
            Some(base) => self.changes_since(base),
            None => self.all_users(),
        };
        RankingUpdate {
            base,
            version: self.newest.version(),
            created_at: self.newest.created_at(),
            age_ms,
            changes,
        }
    }

    fn contains(&self, version: RankingVersion) -> bool {
        self.former.iter().any(|former| former.version == version)
    }

    fn all_users(&self) -> Vec<UsageChange> {
        self.newest
            .usage_by_user()
            .iter()
            .map(|(user, usage)| UsageChange {
                user: user.clone(),
                usage: Some(usage.clone()),
            })
            .collect()
    }

    fn changes_since(&self, held: RankingVersion) -> Vec<UsageChange> {
        let users: BTreeSet<&Arc<str>> = self
            .former
            .iter()
            .skip_while(|former| former.version != held)
            .flat_map(|former| &former.changed_after)
            .collect();
        let usage_by_user = self.newest.usage_by_user();
        users
            .into_iter()
            .map(|user| UsageChange {
                user: user.clone(),
                usage: usage_by_user.get(user).cloned(),
            })
            .collect()
    }
}
