//! Rule LEASE: a worker's lease ends no later than the one that the primary counts for it. The primary gives
//! the worker's runs to other workers once the lease that it counts has expired, so a longer one lets a task
//! run twice at the same time.

use super::state::Checker;
use super::violation::Rule;
use streamusher_protocol::Millis;

impl Checker {
    /// Handles the extension of a worker's lease. Both ends are in true time.
    pub(crate) fn on_lease_extended(
        &mut self,
        now: Millis,
        instance: &str,
        until: Millis,
        counted_until: Millis,
    ) {
        if until > counted_until {
            let text = format!(
                "worker {instance} may run tasks until {until} ms, but the primary counts its lease until \
                 {counted_until} ms"
            );
            self.report(now, Rule::Lease, text);
        }
    }
}
