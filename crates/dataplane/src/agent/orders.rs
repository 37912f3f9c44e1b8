//! The primary's newest orders and the lease that came with them.

use std::collections::HashSet;
use streamusher_protocol::heartbeat::{StartCommand, StopCommand};
use streamusher_protocol::internal::AgentCommands;
use streamusher_protocol::task::TaskId;
use streamusher_protocol::Millis;

/// What became of orders that came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Taken {
    /// Of a lower epoch: nothing of them counts.
    Dropped,
    /// Older than those held: only their lease counts.
    LeaseOnly,
    /// They replace those held.
    Applied {
        /// A start that was ordered before is not any more: the primary waits to hear so.
        withdrew: bool,
    },
}

#[derive(Debug, Default)]
pub(super) struct OrdersBook {
    held: Option<AgentCommands>,
    lease_until: Millis,
    /// Starts are taken only from answers to syncs from this sequence on.
    starts_from: u64,
}

impl OrdersBook {
    pub(super) fn epoch(&self) -> u64 {
        self.held.as_ref().map_or(0, |orders| orders.epoch)
    }

    pub(super) fn revision(&self) -> u64 {
        self.held.as_ref().map_or(0, |orders| orders.revision)
    }

    /// The end of the lease on the agent's own clock.
    pub(super) fn lease_until(&self) -> Millis {
        self.lease_until
    }

    /// The worker that the primary means.
    pub(super) fn instance(&self) -> Option<&std::sync::Arc<str>> {
        self.held
            .as_ref()
            .and_then(|orders| orders.instance.as_ref())
    }

    /// Takes the answer to a sync that was sent at `sent_at`.
    pub(super) fn take(
        &mut self,
        sent_at: Millis,
        sequence: u64,
        mut orders: AgentCommands,
    ) -> Taken {
        if orders.epoch < self.epoch() && !cfg!(feature = "mutant-fence") {
            return Taken::Dropped;
        }
        self.lease_until = self
            .lease_until
            .max(sent_at.saturating_add(orders.lease_ms));
        if orders.epoch == self.epoch() && orders.revision < self.revision() {
            return Taken::LeaseOnly;
        }
        if sequence < self.starts_from {
            orders.start.clear();
        }
        let withdrew = self
            .held
            .as_ref()
            .is_some_and(|held| lacks_a_start(&held.start, &orders.start));
        self.held = Some(orders);
        Taken::Applied { withdrew }
    }

    /// Forgets the starts held, and takes none from answers to syncs before `sequence`: the primary may give those runs
    /// to others once it is told that the worker is gone.
    pub(super) fn forget_starts(&mut self, sequence: u64) {
        self.starts_from = sequence;
        if let Some(held) = &mut self.held {
            held.start.clear();
        }
    }

    /// Starts ordered of this worker.
    pub(super) fn starts(&self, instance: &str) -> &[StartCommand] {
        self.meant_for(instance).map_or(&[], |orders| &orders.start)
    }

    /// Stops ordered of this worker.
    pub(super) fn stops(&self, instance: &str) -> &[StopCommand] {
        self.meant_for(instance).map_or(&[], |orders| &orders.stop)
    }

    /// Ends of this worker that were taken note of.
    pub(super) fn last_seen(&self, instance: &str) -> Option<u64> {
        self.meant_for(instance)
            .map(|orders| orders.last_seen)
            .filter(|seen| *seen > 0)
    }

    fn meant_for(&self, instance: &str) -> Option<&AgentCommands> {
        self.held
            .as_ref()
            .filter(|orders| orders.instance.as_deref() == Some(instance))
    }
}

fn lacks_a_start(before: &[StartCommand], after: &[StartCommand]) -> bool {
    if before.is_empty() {
        return false;
    }
    let after: HashSet<(&TaskId, u32)> =
        after.iter().map(|start| (&start.task, start.run)).collect();
    before
        .iter()
        .any(|start| !after.contains(&(&start.task, start.run)))
}
