//! Policy: which mechanisms take part in decisions. Production uses all of them; an experiment switches some
//! off.

use std::fmt;

/// A mechanism that can be switched off to measure its benefit. Its name on command lines predates the name
/// of the variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// A unit is queued at more workers than the best-ranked one.
    QueueCopies,
    /// Failures, stalls and rejections raise a worker's penalty.
    Penalties,
    /// A worker with a high penalty runs one task at a time, or none.
    Probation,
    /// Slow workers rank lower, according to their run times and progress reports.
    RelativeSpeed,
    /// Small tasks go to the most loaded worker while large ones are expected.
    Packing,
    /// Workers on other racks than the unit's data rank lower.
    DataLocality,
    /// Capacity is kept free of deferrable work for work that cannot wait.
    Headroom,
    /// Capacity is reserved for a gang or a large task as runs end.
    Reservations,
    /// Less urgent runs are stopped for more urgent units.
    Preemption,
    /// A gang that requests a single rack is placed on one.
    RackLocality,
    /// A task avoids the workers on which one of its runs failed or stalled.
    Avoidance,
    /// A unit that has waited long may use workers and capacity that are closed to it at first.
    WaitEscalation,
    /// A hedged task gets a speculative second run when its first run is in doubt.
    Hedging,
    /// A run without progress is stopped and started elsewhere.
    StallDetection,
    /// Runs are moved off a worker that leaves before they can finish.
    Migration,
    /// A new primary takes over the penalties learned by the former one.
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

    /// Looks up a mechanism by its name on command lines; see [`Mechanism::name`].
    pub fn from_name(name: &str) -> Option<Mechanism> {
        Mechanism::ALL
            .into_iter()
            .find(|mechanism| mechanism.name() == name)
    }

    /// Name on command lines and in experiment tables.
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

/// The enabled mechanisms; all of them by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    /// One bit for each disabled mechanism.
    disabled: u32,
}

impl Policy {
    /// Returns this policy with a mechanism disabled.
    #[must_use]
    pub const fn without(self, mechanism: Mechanism) -> Policy {
        Policy {
            disabled: self.disabled | mechanism.bit(),
        }
    }

    /// Disables every mechanism: first fit in queue order, as a baseline for measurements. Without
    /// [`Mechanism::WaitEscalation`] units may wait longer than the rules allow.
    #[must_use]
    pub fn first_fit() -> Policy {
        Mechanism::ALL
            .into_iter()
            .fold(Policy::default(), Policy::without)
    }

    /// Whether a mechanism is enabled.
    pub const fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.disabled & mechanism.bit() == 0
    }
}
