//! Workers' penalties in the replicated state: a new primary need not learn them anew.
//!
//! Placement adds a penalty to a worker's rank for each run that fails or stalls there, and the penalty decays within
//! seconds. One that matters is written once a second at most, and again when it has changed by a quarter. The stored
//! value is the penalty in tenths of a task.

use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Keys of the replicated state that hold a penalty; the worker's identifier follows.
pub(crate) const KEY_PREFIX: &str = "judgement/";

/// Between two comparisons of stored and present penalties.
const UPDATE_INTERVAL_MS: Millis = 1_000;
/// Penalties from here on are written: half of what makes a worker run one task at a time.
const MIN_WRITTEN_TENTHS: u32 = 15;
/// Below this a stored one is removed.
const MIN_RETAINED_TENTHS: u32 = 10;
/// A penalty is written again when it has changed by this part.
const MIN_CHANGE_DIVISOR: u32 = 4;
/// Penalties of workers that a new primary has not heard for so long are removed.
const RECOVERY_GRACE_MS: Millis = 10_000;

/// The penalties that the replicated state holds.
#[derive(Default)]
pub(crate) struct PenaltyStore {
    stored_tenths: BTreeMap<WorkerId, u32>,
    next_update_at: Millis,
    /// Until then a worker that is not known may still be reported.
    grace_ends_at: Millis,
}

impl PenaltyStore {
    /// The penalties of a former primary; records that cannot be read are ignored.
    pub(crate) fn recover(
        now: Millis,
        records: impl Iterator<Item = (Arc<str>, Arc<str>)>,
    ) -> PenaltyStore {
        let read = |(key, value): (Arc<str>, Arc<str>)| {
            let worker: WorkerId = key.strip_prefix(KEY_PREFIX)?.into();
            Some((worker, value.parse().ok()?))
        };
        PenaltyStore {
            stored_tenths: records.filter_map(read).collect(),
            next_update_at: now,
            grace_ends_at: now + RECOVERY_GRACE_MS,
        }
    }

    /// The stored penalties, in tasks.
    pub(crate) fn penalties(&self) -> impl Iterator<Item = (&WorkerId, f64)> {
        self.stored_tenths
            .iter()
            .map(|(worker, tenths)| (worker, f64::from(*tenths) / 10.0))
    }

    /// Removes the penalty of a worker that is removed.
    pub(crate) fn remove(&mut self, worker: &WorkerId) -> Option<Write> {
        self.stored_tenths.remove(worker).map(|_| removal(worker))
    }

    /// Whether [`PenaltyStore::update`] is due.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        now >= self.next_update_at
    }

    /// Follows the present penalties, in tasks; returns the writes.
    pub(crate) fn update<'a>(
        &mut self,
        now: Millis,
        penalties: impl Iterator<Item = (&'a WorkerId, f64)>,
    ) -> Vec<Write> {
        self.next_update_at = now + UPDATE_INTERVAL_MS;
        let present_tenths: BTreeMap<&WorkerId, u32> = penalties
            .map(|(worker, penalty)| (worker, to_tenths(penalty)))
            .filter(|(_, tenths)| *tenths > 0)
            .collect();
        let mut writes = self.remove_decayed(now, &present_tenths);
        for (worker, tenths) in present_tenths {
            let stored = self.stored_tenths.get(worker).copied().unwrap_or(0);
            let has_changed = stored.abs_diff(tenths) * MIN_CHANGE_DIVISOR > stored;
            if tenths >= MIN_WRITTEN_TENTHS && has_changed {
                self.stored_tenths.insert(worker.clone(), tenths);
                let key = format!("{KEY_PREFIX}{worker}");
                writes.push(Write::set(key, tenths.to_string()));
            }
        }
        writes
    }

    fn remove_decayed(&mut self, now: Millis, present: &BTreeMap<&WorkerId, u32>) -> Vec<Write> {
        let within_grace_period = now < self.grace_ends_at;
        let mut writes = Vec::new();
        self.stored_tenths.retain(|worker, _| {
            let keep = present
                .get(worker)
                .map_or(within_grace_period, |tenths| *tenths >= MIN_RETAINED_TENTHS);
            if !keep {
                writes.push(removal(worker));
            }
            keep
        });
        writes
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "`as` saturates, and penalties are some tasks"
)]
fn to_tenths(penalty: f64) -> u32 {
    (penalty * 10.0).round() as u32
}

fn removal(worker: &WorkerId) -> Write {
    Write::remove(format!("{KEY_PREFIX}{worker}"))
}
