//! Workers' penalties in the replicated state, so that a new primary inherits them.
//!
//! Placement adds a penalty to a worker's rank for each run that fails or stalls there, and the penalty
//! decays within seconds. A penalty above a threshold is written at most once per second, and again when it
//! has changed by a quarter. The stored value is the penalty in tenths of a task.

use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Prefix of the replicated keys that store a penalty. The worker's identifier follows the prefix.
pub(crate) const KEY_PREFIX: &str = "judgement/";

/// Interval between two comparisons of stored and current penalties.
const UPDATE_INTERVAL_MS: Millis = 1_000;
/// Penalties from this value on are written. It is half of the penalty that limits a worker to one task at a
/// time.
const MIN_WRITTEN_TENTHS: u32 = 15;
/// Stored penalties below this value are removed.
const MIN_RETAINED_TENTHS: u32 = 10;
/// A penalty is written again if it has changed by more than the stored value divided by this.
const MIN_CHANGE_DIVISOR: u32 = 4;
/// Time after which a new primary removes stored penalties of workers that have not been reported to it.
const RECOVERY_GRACE_MS: Millis = 10_000;

/// The penalties that the replicated state holds.
#[derive(Default)]
pub(crate) struct PenaltyStore {
    stored_tenths: BTreeMap<WorkerId, u32>,
    next_update_at: Millis,
    /// End of the time during which penalties of workers that are not reported yet are kept.
    grace_ends_at: Millis,
}

impl PenaltyStore {
    /// Reads the stored penalties of the former primary. Unreadable records are ignored.
    pub(crate) fn recover(
        now: Millis,
        records: impl Iterator<Item = (Arc<str>, Arc<str>)>,
    ) -> PenaltyStore {
        let parse = |(key, value): (Arc<str>, Arc<str>)| {
            let worker: WorkerId = key.strip_prefix(KEY_PREFIX)?.into();
            Some((worker, value.parse().ok()?))
        };
        PenaltyStore {
            stored_tenths: records.filter_map(parse).collect(),
            next_update_at: now,
            grace_ends_at: now + RECOVERY_GRACE_MS,
        }
    }

    /// Iterates over the stored penalties, in tasks.
    pub(crate) fn penalties(&self) -> impl Iterator<Item = (&WorkerId, f64)> {
        self.stored_tenths
            .iter()
            .map(|(worker, tenths)| (worker, f64::from(*tenths) / 10.0))
    }

    /// Removes the penalty of a worker that is being removed, and returns the write.
    pub(crate) fn remove(&mut self, worker: &WorkerId) -> Option<Write> {
        self.stored_tenths.remove(worker).map(|_| removal(worker))
    }

    /// Whether [`PenaltyStore::update`] is due.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        now >= self.next_update_at
    }

    /// Updates the stored penalties to the current ones, in tasks, and returns the writes.
    pub(crate) fn update<'a>(
        &mut self,
        now: Millis,
        penalties: impl Iterator<Item = (&'a WorkerId, f64)>,
    ) -> Vec<Write> {
        self.next_update_at = now + UPDATE_INTERVAL_MS;
        let current_tenths: BTreeMap<&WorkerId, u32> = penalties
            .map(|(worker, penalty)| (worker, to_tenths(penalty)))
            .filter(|(_, tenths)| *tenths > 0)
            .collect();
        let mut writes = self.remove_decayed(now, &current_tenths);
        for (worker, tenths) in current_tenths {
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

    fn remove_decayed(&mut self, now: Millis, current: &BTreeMap<&WorkerId, u32>) -> Vec<Write> {
        let within_grace_period = now < self.grace_ends_at;
        let mut writes = Vec::new();
        self.stored_tenths.retain(|worker, _| {
            let keep = current
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
    reason = "`as` saturates, and a penalty is only a few tasks"
)]
fn to_tenths(penalty: f64) -> u32 {
    (penalty * 10.0).round() as u32
}

fn removal(worker: &WorkerId) -> Write {
    Write::remove(format!("{KEY_PREFIX}{worker}"))
}
