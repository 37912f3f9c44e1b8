//! Which mechanisms take part in decisions: all of them in service, all but some in an experiment.

use std::fmt;

/// A mechanism that can be left out to see what it is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Copies of a unit in more queues than that of its best worker.
    Copies,
    /// Failures, standstills and refusals count against a worker.
    Charges,
    /// A worker with many charges runs one task at a time, or none.
    Trial,
    /// A worker's own speed, by its runs' times and reports.
    Speed,
    /// Small tasks go to the fullest worker while large ones are expected.
    Packing,
    /// A worker away from the data's rack ranks lower.
    Distance,
    /// Room is kept free for more urgent work.
    Headroom,
    /// Room is kept for a gang or a large task as runs end.
    Reservations,
    /// Less urgent runs are stopped for more urgent units.
    Preemption,
    /// A gang that wants one rack looks for one.
    Racks,
    /// Workers at which a run failed or stood still are avoided by its task.
    Avoidance,
    /// What has waited long takes workers and room that it would not take at first.
    Patience,
    /// A second copy of a hedged task whose run is in doubt.
    Hedging,
    /// A run without progress is moved.
    Standstill,
    /// Runs are moved from a worker that leaves before they can end.
    Moves,
    /// A new primary inherits what speaks against workers.
    Judgements,
}

impl Mechanism {
    /// All of them.
    pub const ALL: [Mechanism; 16] = [
        Mechanism::Copies,
        Mechanism::Charges,
        Mechanism::Trial,
        Mechanism::Speed,
        Mechanism::Packing,
        Mechanism::Distance,
        Mechanism::Headroom,
        Mechanism::Reservations,
        Mechanism::Preemption,
        Mechanism::Racks,
        Mechanism::Avoidance,
        Mechanism::Patience,
        Mechanism::Hedging,
        Mechanism::Standstill,
        Mechanism::Moves,
        Mechanism::Judgements,
    ];

    /// The mechanism of a name, as [`fmt::Display`] writes it.
    pub fn named(name: &str) -> Option<Mechanism> {
        Mechanism::ALL
            .into_iter()
            .find(|mechanism| mechanism.to_string() == name)
    }

    const fn bit(self) -> u32 {
        1 << self as u32
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", format!("{self:?}").to_lowercase())
    }
}

/// The mechanisms that are in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    off: u32,
}

impl Policy {
    /// The same policy without a mechanism.
    #[must_use]
    pub const fn without(self, mechanism: Mechanism) -> Policy {
        Policy {
            off: self.off | mechanism.bit(),
        }
    }

    /// First room that fits, in the order of the queue, as something to measure against. Without [`Mechanism::Patience`] units
    /// may wait for longer than the rules allow.
    #[must_use]
    pub fn simplest() -> Policy {
        Mechanism::ALL
            .into_iter()
            .fold(Policy::default(), Policy::without)
    }

    /// Whether a mechanism is in use.
    pub const fn has(self, mechanism: Mechanism) -> bool {
        self.off & mechanism.bit() == 0
    }
}
