//! Lease under which a worker may run tasks without contact to the control plane.

use streamusher_protocol::Millis;

/// Lease of a worker, in true time.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerLease {
    until: Millis,
    /// Whether a lease was granted whose expiry has not been handled yet.
    active: bool,
}

impl WorkerLease {
    /// Time until which the worker may run tasks.
    pub(crate) fn until(&self) -> Millis {
        self.until
    }

    /// Extends the lease. Returns whether it now lasts longer than before.
    pub(crate) fn extend(&mut self, now: Millis, until: Millis) -> bool {
        let is_longer = until > self.until && until > now;
        if is_longer {
            self.until = until;
            self.active = true;
        }
        is_longer
    }

    /// Ends the lease if it is over. Returns whether it has expired with this call.
    pub(crate) fn expire(&mut self, now: Millis) -> bool {
        let expires = self.active && self.until <= now;
        if expires {
            self.active = false;
        }
        expires
    }
}
