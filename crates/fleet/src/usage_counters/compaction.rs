//! Tracks which superseded incarnations are final, so that their rows can be compacted.

use super::delta::VersionSummary;
use crate::incarnation::{Incarnation, Micros};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Conditions for compaction.
pub(super) struct CompactionRule<'a> {
    pub(super) now: Micros,
    /// Time after an incarnation was superseded within which the last datagrams about it arrive.
    pub(super) delay: Micros,
    /// Other members, each of which must have acknowledged all changes held locally.
    pub(super) others: &'a [Arc<str>],
}

/// Acknowledgements and supersession times of superseded incarnations.
#[derive(Clone, Debug, Default)]
pub(super) struct CompactionTracker {
    /// The versions that members reported, by incarnation and member. `u64::MAX`: the member has compacted
    /// the incarnation.
    acknowledged: BTreeMap<Incarnation, BTreeMap<Arc<str>, u64>>,
    /// When this member first saw that an incarnation was superseded.
    superseded_at: BTreeMap<Incarnation, Micros>,
}

impl CompactionTracker {
    /// Records the version of a superseded incarnation that a peer holds.
    pub(super) fn on_summary(&mut self, peer: &Arc<str>, summary: &VersionSummary, number: u64) {
        let version = if summary.compacted_up_to >= number {
            u64::MAX
        } else {
            summary
                .incarnations
                .iter()
                .find(|held| held.number == number)
                .map_or(0, |held| held.version)
        };
        let incarnation = Incarnation {
            name: summary.name.clone(),
            number,
        };
        self.acknowledged
            .entry(incarnation)
            .or_default()
            .insert(peer.clone(), version);
    }

    /// Records that a newer incarnation of the name is known.
    pub(super) fn on_superseded(&mut self, incarnation: Incarnation, now: Micros) {
        self.superseded_at.entry(incarnation).or_insert(now);
    }

    /// Whether no member can hold more of a superseded incarnation than this member, which holds `version`.
    pub(super) fn is_final(
        &self,
        incarnation: &Incarnation,
        version: u64,
        rule: &CompactionRule<'_>,
    ) -> bool {
        let superseded_at = self.superseded_at.get(incarnation).copied();
        let since = superseded_at.unwrap_or(rule.now);
        if rule.now.saturating_sub(since) < rule.delay {
            return false;
        }
        let acknowledged = self.acknowledged.get(incarnation);
        rule.others.iter().all(|member| {
            acknowledged
                .and_then(|versions| versions.get(member))
                .is_some_and(|held| *held == version || *held == u64::MAX)
        })
    }

    /// Drops the state of an incarnation that was compacted.
    pub(super) fn forget(&mut self, incarnation: &Incarnation) {
        self.acknowledged.remove(incarnation);
        self.superseded_at.remove(incarnation);
    }

    /// Drops the state of a name's incarnations up to a number.
    pub(super) fn forget_up_to(&mut self, name: &Arc<str>, up_to: u64) {
        let is_later =
            |incarnation: &Incarnation| incarnation.name != *name || incarnation.number > up_to;
        self.acknowledged
            .retain(|incarnation, _| is_later(incarnation));
        self.superseded_at
            .retain(|incarnation, _| is_later(incarnation));
    }
}
