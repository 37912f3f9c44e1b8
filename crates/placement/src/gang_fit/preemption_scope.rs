//! How far a plan may go for capacity.

/// How far a plan may go for capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PreemptionScope {
    /// Capacity that is free now.
    FreeNow,
    /// Also that of runs that are expected to end soon. Nothing is stopped.
    EndingSoon {
        /// How soon, in milliseconds.
        within_ms: f64,
    },
    /// Also that of less urgent runs, by stopping them.
    Preempting {
        /// What is expected to end within this time by itself is not stopped, in milliseconds.
        within_ms: f64,
        /// Whether members of gangs may be stopped.
        gang_members: bool,
    },
}

impl PreemptionScope {
    /// Runs that are expected to end within this time are waited for, in milliseconds; none where only free capacity counts.
    pub(crate) fn waits_for_ms(self) -> Option<f64> {
        match self {
            PreemptionScope::FreeNow => None,
            PreemptionScope::EndingSoon { within_ms }
            | PreemptionScope::Preempting { within_ms, .. } => Some(within_ms),
        }
    }
}
