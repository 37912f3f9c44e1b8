//! What speaks against workers, in the replicated state: a new primary need not learn it anew.
//!
//! Placement charges a worker for what fails or stands still there, and the charge fades within seconds. One that matters is
//! written once a second at most, and again when it has changed by a quarter.

use crate::scheduler::Scheduler;
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_placement::Mechanism;
use streamusher_protocol::store::Write;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Keys of the replicated state begin so; the worker's id follows, the value is the charge in tenths of a task.
pub(crate) const PREFIX: &str = "judgement/";

/// Between two looks at all charges.
const LOOK_EVERY_MS: Millis = 1_000;
/// Charges from here on are written, in tenths of a task: half of what makes a worker run one task at a time.
const LEAST_WRITTEN: u32 = 15;
/// Below this a written one is removed.
const LEAST_KEPT: u32 = 10;
/// A charge is written again when it has changed by this part.
const CHANGED_PART: u32 = 4;
/// Workers that a new primary has not heard for so long are forgotten.
const HEARD_WITHIN_MS: Millis = 10_000;

/// What is written.
#[derive(Default)]
pub(crate) struct Judgements {
    written: BTreeMap<WorkerId, u32>,
    next_look: Millis,
    /// Until then a worker that is not known may still call.
    settled_at: Millis,
}

impl Judgements {
    /// What a former primary has written.
    pub(crate) fn recover(
        now: Millis,
        records: impl Iterator<Item = (Arc<str>, Arc<str>)>,
    ) -> Judgements {
        let read = |(key, value): (Arc<str>, Arc<str>)| {
            let worker: WorkerId = key.strip_prefix(PREFIX)?.into();
            Some((worker, value.parse().ok()?))
        };
        let written = records.filter_map(read).collect();
        Judgements {
            written,
            next_look: now,
            settled_at: now + HEARD_WITHIN_MS,
        }
    }

    /// Each worker with what speaks against it, in tasks.
    pub(crate) fn charges(&self) -> impl Iterator<Item = (&WorkerId, f64)> {
        self.written
            .iter()
            .map(|(worker, tenths)| (worker, f64::from(*tenths) / 10.0))
    }

    /// A worker is gone for good.
    pub(crate) fn forget(&mut self, worker: &WorkerId) -> Option<Write> {
        self.written
            .remove(worker)
            .map(|_| Write::remove(format!("{PREFIX}{worker}")))
    }

    fn changes(&mut self, now: Millis, charges: &BTreeMap<WorkerId, u32>) -> Vec<Write> {
        let mut writes = Vec::new();
        let is_settled = now >= self.settled_at;
        self.written.retain(|worker, _| {
            let charge = charges.get(worker).copied();
            let keeps = charge.map_or(!is_settled, |charge| charge >= LEAST_KEPT);
            if !keeps {
                writes.push(Write::remove(format!("{PREFIX}{worker}")));
            }
            keeps
        });
        for (worker, charge) in charges
            .iter()
            .filter(|(_, charge)| **charge >= LEAST_WRITTEN)
        {
            let before = self.written.get(worker).copied().unwrap_or(0);
            if before.abs_diff(*charge) * CHANGED_PART > before {
                self.written.insert(worker.clone(), *charge);
                writes.push(Write::set(format!("{PREFIX}{worker}"), charge.to_string()));
            }
        }
        writes
    }
}

impl Scheduler {
    /// Writes what has come to speak against workers, and removes what has faded.
    pub(crate) fn watch_judgements(&mut self, now: Millis) {
        if now < self.judgements.next_look
            || !self
                .settings
                .policy
                .is_enabled(Mechanism::PenaltyInheritance)
        {
            return;
        }
        self.judgements.next_look = now + LOOK_EVERY_MS;
        let charges = self.placement.penalties(now);
        let tenths =
            charges.map(|(worker, charge)| (worker.clone(), (charge * 10.0).round() as u32));
        let tenths = tenths.filter(|(_, tenths)| *tenths > 0).collect();
        let writes = self.judgements.changes(now, &tenths);
        self.write(writes);
    }
}
