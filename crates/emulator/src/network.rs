//! The network between emulated machines: delays, blocked links in one direction or both, and message loss.

use crate::random::{Random, Stream};
use std::collections::BTreeMap;
use streamusher_protocol::Millis;

/// Index of a machine within the fleet.
pub(crate) type MachineId = usize;

const MAX_JITTER_MS: Millis = 3;
const MIN_DELAY_MS: Millis = 1;

/// A link in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Link {
    pub(crate) sender: MachineId,
    pub(crate) receiver: MachineId,
}

/// Which links are blocked, and how long messages take.
#[derive(Debug)]
pub(crate) struct Network {
    /// How many faults block a link at present.
    blocked: BTreeMap<Link, u32>,
    /// Added delay on all links of a machine.
    added_delay_ms: BTreeMap<MachineId, Millis>,
    /// Share of the one-way messages that are lost.
    pub(crate) loss_rate: f64,
    random: Random,
}

impl Network {
    /// A network without faults.
    pub(crate) fn new(seed: u64) -> Network {
        Network {
            blocked: BTreeMap::new(),
            added_delay_ms: BTreeMap::new(),
            loss_rate: 0.0,
            random: Random::new(seed, Stream::Network),
        }
    }

    /// Blocks a link. Each block is to be taken back by itself.
    pub(crate) fn block(&mut self, link: Link) {
        *self.blocked.entry(link).or_default() += 1;
    }

    /// Takes one block of a link back.
    pub(crate) fn unblock(&mut self, link: Link) {
        if let Some(count) = self.blocked.get_mut(&link) {
            *count -= 1;
            if *count == 0 {
                self.blocked.remove(&link);
            }
        }
    }

    /// Adds a delay to all links of a machine; 0 takes it back.
    pub(crate) fn set_added_delay(&mut self, machine: MachineId, delay_ms: Millis) {
        self.added_delay_ms.insert(machine, delay_ms);
    }

    /// Whether messages pass in this direction.
    pub(crate) fn is_open(&self, sender: MachineId, receiver: MachineId) -> bool {
        sender == receiver || !self.blocked.contains_key(&Link { sender, receiver })
    }

    /// Whether messages pass in both directions.
    pub(crate) fn is_open_both_ways(&self, one: MachineId, other: MachineId) -> bool {
        self.is_open(one, other) && self.is_open(other, one)
    }

    /// How long a message takes; none where the link is blocked.
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

    /// Whether a one-way message is lost although its link is open.
    pub(crate) fn draw_loss(&mut self) -> bool {
        self.loss_rate > 0.0 && self.random.chance(self.loss_rate)
    }
}
