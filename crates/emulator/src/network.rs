//! The network between emulated machines: delay, cuts in one direction or both, and loss.

use crate::random::Random;
use std::collections::BTreeMap;
use streamusher_protocol::Millis;

/// Index of a machine.
pub type MachineId = usize;

/// Which ways are shut, and how long messages take.
#[derive(Debug)]
pub struct Network {
    /// Ways that are shut, by how many cuts.
    cuts: BTreeMap<(MachineId, MachineId), u32>,
    /// Added delay on all ways of a machine.
    slow: BTreeMap<MachineId, Millis>,
    /// Share of one-way messages lost.
    pub loss: f64,
    /// The longest ordinary delay.
    pub jitter_ms: Millis,
    random: Random,
}

impl Network {
    /// A whole network.
    pub fn new(seed: u64) -> Network {
        Network {
            cuts: BTreeMap::new(),
            slow: BTreeMap::new(),
            loss: 0.0,
            jitter_ms: 3,
            random: Random::new(seed, 2),
        }
    }

    /// Shuts a way in one direction.
    pub fn cut(&mut self, from: MachineId, to: MachineId) {
        *self.cuts.entry((from, to)).or_default() += 1;
    }

    /// Takes one cut of a way back.
    pub fn join(&mut self, from: MachineId, to: MachineId) {
        if let Some(count) = self.cuts.get_mut(&(from, to)) {
            *count -= 1;
            if *count == 0 {
                self.cuts.remove(&(from, to));
            }
        }
    }

    /// Adds delay to all ways of a machine; 0 takes it back.
    pub fn set_slow(&mut self, machine: MachineId, delay: Millis) {
        self.slow.insert(machine, delay);
    }

    /// Whether a way is open.
    pub fn is_open(&self, from: MachineId, to: MachineId) -> bool {
        from == to || !self.cuts.contains_key(&(from, to))
    }

    /// How long a message takes; none where the way is shut.
    pub fn delay(&mut self, from: MachineId, to: MachineId) -> Option<Millis> {
        if from == to {
            return Some(0);
        }
        if !self.is_open(from, to) {
            return None;
        }
        let added = |m: &MachineId| self.slow.get(m).copied().unwrap_or(0);
        let base = 1 + added(&from) + added(&to);
        Some(base + self.random.between(0, self.jitter_ms))
    }

    /// Whether a one-way message is lost although the way is open.
    pub fn loses(&mut self) -> bool {
        self.loss > 0.0 && self.random.chance(self.loss)
    }
}
