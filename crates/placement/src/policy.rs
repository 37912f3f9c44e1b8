//! Which mechanisms take part in decisions: all of them in service, all but some in an experiment.

use std::fmt;

/// A mechanism that can be left out to see what it is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Copies of a unit in more queues than that of its best worker.
    QueueCopies,
    /// Failures, standstills and refusals count against a worker.
    Penalties,
    /// A worker with many charges runs one task at a time, or none.
    Probation,
    /// A worker's own speed, by its runs' times and reports.
    RelativeSpeed,
    /// Small tasks go to the fullest worker while large ones are expected.
    Packing,
    /// A worker away from the data's rack ranks lower.
    DataLocality,
    /// Room is kept free for more urgent work.
    Headroom,
    /// Room is kept for a gang or a large task as runs end.
    Reservations,
    /// Less urgent runs are stopped for more urgent units.
    Preemption,
    /// A gang that wants one rack looks for one.
    RackLocality,
    /// Workers at which a run failed or stood still are avoided by its task.
    Avoidance,
    /// What has waited long takes workers and room that it would not take at first.
    WaitEscalation,
    /// A second copy of a hedged task whose run is in doubt.
    Hedging,
    /// A run without progress is moved.
    StallDetection,
    /// Runs are moved from a worker that leaves before they can end.
    Migration,
    /// A new primary inherits what speaks against workers.
    PenaltyInheritance,
}

impl Mechanism {
    /// All of them.
    pub const ALL: [Mechanism; 16] = [
        Mechanism::QueueCopies,
        Mechanism::Penalties,
        Mechanism::Probation,
        Mechanism::RelativeSpeed,
        Mechanism::Packing,
        Mechanism::DataLocality,
        Mechanism::Headroom,
        Mechanism::Reservations,
        Mechanism::Preemption,
        Mechanism::RackLocality,
        Mechanism::Avoidance,
        Mechanism::WaitEscalation,
        Mechanism::Hedging,
        Mechanism::StallDetection,
        Mechanism::Migration,
        Mechanism::PenaltyInheritance,
    ];

    /// The mechanism of a name, as [`fmt::Display`] writes it.
    pub fn from_name(name: &str) -> Option<Mechanism> {
        Mechanism::ALL
            .into_iter()
            .find(|mechanism| mechanism.name() == name)
    }

    /// The name of this mechanism on command lines and in experiment tables.
    pub const fn name(self) -> &'static str {
        match self {
            Mechanism::QueueCopies => "copies",
            Mechanism::Penalties => "charges",
            Mechanism::Probation => "trial",
            Mechanism::RelativeSpeed => "speed",
            Mechanism::Packing => "packing",
            Mechanism::DataLocality => "distance",
            Mechanism::Headroom => "headroom",
            Mechanism::Reservations => "reservations",
            Mechanism::Preemption => "preemption",
            Mechanism::RackLocality => "racks",
            Mechanism::Avoidance => "avoidance",
            Mechanism::WaitEscalation => "patience",
            Mechanism::Hedging => "hedging",
            Mechanism::StallDetection => "standstill",
            Mechanism::Migration => "moves",
            Mechanism::PenaltyInheritance => "judgements",
        }
    }

    const fn bit(self) -> u32 {
        1 << self as u32
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
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
    pub fn first_fit() -> Policy {
        Mechanism::ALL
            .into_iter()
            .fold(Policy::default(), Policy::without)
    }

    /// Whether a mechanism is in use.
    pub const fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.off & mechanism.bit() == 0
    }
}
