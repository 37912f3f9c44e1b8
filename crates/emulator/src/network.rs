//! Simulated network between machines: delays, links blocked in one or both directions, and message loss.

use crate::random::{Random, Stream};
use std::collections::BTreeMap;
use streamusher_protocol::Millis;

/// Index of a machine within the fleet.
pub(crate) type MachineId = usize;

const MAX_JITTER_MS: Millis = 3;
const MIN_DELAY_MS: Millis = 1;

/// A unidirectional link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Link {
    pub(crate) sender: MachineId,
    pub(crate) receiver: MachineId,
}

/// Blocked links and message delays.
#[derive(Debug)]
pub(crate) struct Network {
    /// Number of current faults that block each link.
    blocked: BTreeMap<Link, u32>,
    /// Additional delay on all links of a machine.
    added_delay_ms: BTreeMap<MachineId, Millis>,
    /// Probability of losing a one-way message.
    pub(crate) loss_rate: f64,
    random: Random,
}

impl Network {
    /// Creates a network without faults.
    pub(crate) fn new(seed: u64) -> Network {
        Network {
            blocked: BTreeMap::new(),
            added_delay_ms: BTreeMap::new(),
            loss_rate: 0.0,
            random: Random::new(seed, Stream::Network),
        }
    }

    /// Blocks a link. Blocks are counted; each needs its own `unblock`.
    pub(crate) fn block(&mut self, link: Link) {
        *self.blocked.entry(link).or_default() += 1;
    }

    /// Removes one block of a link.
    pub(crate) fn unblock(&mut self, link: Link) {
        if let Some(count) = self.blocked.get_mut(&link) {
            *count -= 1;
            if *count == 0 {
                self.blocked.remove(&link);
            }
        }
    }

    /// Sets the additional delay on all links of a machine; 0 removes it.
    pub(crate) fn set_added_delay(&mut self, machine: MachineId, delay_ms: Millis) {
        self.added_delay_ms.insert(machine, delay_ms);
    }

    /// Whether messages pass from the sender to the receiver.
    pub(crate) fn is_open(&self, sender: MachineId, receiver: MachineId) -> bool {
        sender == receiver || !self.blocked.contains_key(&Link { sender, receiver })
    }

    /// Whether messages pass in both directions.
    pub(crate) fn is_open_both_ways(&self, one: MachineId, other: MachineId) -> bool {
        self.is_open(one, other) && self.is_open(other, one)
    }

    /// Draws the delay of a message; `None` if the link is blocked.
    pub(crate) fn draw_delay(&mut self, sender: MachineId, receiver: MachineId) -> Option<Millis> {
        if sender == receiver {
            return Some(0);
        }
        if !self.is_open(sender, receiver) {
            return None;
        }
        let added_ms = |machine: MachineId| self.added_delay_ms.get(&machine).copied().unwrap_or(0);
        let base_ms = MIN_DELAY_MS + added_ms(sender) + added_ms(receiver);
        Some(base_ms + self.random.between(0, MAX_JITTER_MS))
    }

    /// Draws whether a one-way message is lost although its link is open.
    pub(crate) fn draw_loss(&mut self) -> bool {
        self.loss_rate > 0.0 && self.random.chance(self.loss_rate)
    }
}
