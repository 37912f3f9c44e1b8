//! The newest version, and the users that each earlier version changed, from which differences between
//! versions are built.

use crate::ranking::FairShareRanking;
use crate::version::{RankingUpdate, RankingVersion, UsageChange};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Maximum number of versions whose changes are kept. A node that is further behind is sent the complete
/// version.
const MAX_VERSIONS: usize = 32;
/// Maximum number of changed users that are kept over all versions. Beyond it the oldest versions are
/// dropped, because the complete version is then no longer than the difference.
const MAX_CHANGED_USERS: usize = 100_000;

/// An earlier version, and the changes made by the version after it.
#[derive(Clone, Debug)]
struct FormerVersion {
    version: RankingVersion,
    /// Users whose usage differs in the next version.
    changed_after: Vec<Arc<str>>,
}

/// The newest ranking, and the changes that led to it.
#[derive(Clone, Debug)]
pub(crate) struct VersionHistory {
    newest: FairShareRanking,
    /// Ordered from the oldest to the newest.
    former: VecDeque<FormerVersion>,
    /// Number of changed users over all former versions.
    changed_users: usize,
}

impl VersionHistory {
    /// Creates a history that starts with this ranking.
    pub(crate) fn new(ranking: FairShareRanking) -> VersionHistory {
        VersionHistory {
            newest: ranking,
            former: VecDeque::new(),
            changed_users: 0,
        }
    }

    /// Returns the newest ranking.
    pub(crate) fn newest(&self) -> &FairShareRanking {
        &self.newest
    }

    /// Adds a ranking that differs from the newest one in the given users.
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

    /// Returns the update that brings a node from the version `held`, if any, to the newest one.
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
