//! Scope of a plan: which capacity it may count as available.

/// Which capacity a plan may count as available.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PreemptionScope {
    /// Only capacity that is free now.
    FreeNow,
    /// Also capacity of runs that are expected to end soon. No run is stopped.
    EndingSoon {
        /// Maximum expected remaining time of these runs, in milliseconds.
        within_ms: f64,
    },
    /// Also capacity of less urgent runs, which are stopped.
    Preempting {
        /// Runs that are expected to end within this time, in milliseconds, are waited for instead of
        /// stopped.
        within_ms: f64,
        /// Whether members of gangs may be stopped.
        gang_members: bool,
    },
}

impl PreemptionScope {
    /// Maximum expected remaining time of runs that are waited for, in milliseconds; `None` if only free
    /// capacity counts.
    pub(crate) fn max_remaining_ms(self) -> Option<f64> {
        match self {
            PreemptionScope::FreeNow => None,
            PreemptionScope::EndingSoon { within_ms }
            | PreemptionScope::Preempting { within_ms, .. } => Some(within_ms),
        }
    }
}
