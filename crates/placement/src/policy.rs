//! Which mechanisms take part in decisions: all of them in production, all but some in an experiment.

use std::fmt;

/// A mechanism that can be switched off to measure its worth. Its name on command lines is older than that of the variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// A unit has copies in more queues than that of its best worker.
    QueueCopies,
    /// Failures, stalls and rejections count against a worker.
    Penalties,
    /// A worker with a high penalty runs one task at a time, or none.
    Probation,
    /// Slow workers rank lower, by their run times and progress reports.
    RelativeSpeed,
    /// Small tasks go to the fullest worker while large ones are expected.
    Packing,
    /// Workers on another rack than the unit's data rank lower.
    DataLocality,
    /// Capacity is kept free of work that can wait, for work that cannot.
    Headroom,
    /// Capacity is reserved for a gang or a large task as runs end.
    Reservations,
    /// Less urgent runs are stopped for more urgent units.
    Preemption,
    /// A gang that asks for one rack is fitted into one.
    RackLocality,
    /// A task avoids the workers on which a run of it failed or stalled.
    Avoidance,
    /// What has waited long takes workers and capacity that it may not take at first.
    WaitEscalation,
    /// A hedged task gets a speculative second run when its run is in doubt.
    Hedging,
    /// A run without progress is stopped and started elsewhere.
    StallDetection,
    /// Runs are moved away from a worker that leaves before they can end.
    Migration,
    /// A new primary takes over the penalties that the former one has learnt.
    PenaltyInheritance,
}

impl Mechanism {
    /// All mechanisms, in the order of experiment tables.
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

    /// The mechanism with a name on command lines; see [`Mechanism::name`].
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

/// The mechanisms that are in use; by default all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    /// One bit for each mechanism that is switched off.
    disabled: u32,
}

impl Policy {
    /// The same policy without a mechanism.
    #[must_use]
    pub const fn without(self, mechanism: Mechanism) -> Policy {
        Policy {
            disabled: self.disabled | mechanism.bit(),
        }
    }

    /// No mechanism at all: first fit in the order of the queue, as a baseline to measure against. Without
    /// [`Mechanism::WaitEscalation`] units may wait for longer than the rules allow.
    #[must_use]
    pub fn first_fit() -> Policy {
        Mechanism::ALL
            .into_iter()
            .fold(Policy::default(), Policy::without)
    }

    /// Whether a mechanism is in use.
    pub const fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.disabled & mechanism.bit() == 0
    }
}
