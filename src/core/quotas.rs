//! Quotas of tenants on open operations: a permit is acquired when an operation arrives and released when it
//! is answered. The balancer receives the free share and rejects operations where it is zero.

use super::Core;
use crate::interface::Micros;
use std::rc::Rc;

/// Grants quota permits. No method may block or call the core.
pub trait Quotas {
    /// Acquires a permit for an operation of this tenant.
    fn acquire(&self, now: Micros, tenant: Option<&str>) -> QuotaGrant;
    /// Releases a permit of this budget.
    fn release(&self, budget: usize);
}

/// The result of acquiring a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaGrant {
    /// The tenant has no quota.
    Unlimited,
    /// A permit was acquired.
    Granted {
        /// The budget that the permit counts against.
        budget: usize,
        /// The share of this fleet member's permits that was free before, above 0.
        free: f64,
    },
    /// No permit is free.
    Exhausted,
}

impl QuotaGrant {
    /// The free share of the quota for the balancer; `None` without a quota.
    pub(super) fn free(self) -> Option<f64> {
        match self {
            QuotaGrant::Unlimited => None,
            QuotaGrant::Granted { free, .. } => Some(free),
            QuotaGrant::Exhausted => Some(0.0),
        }
    }

    pub(super) fn into_permit(self, quotas: Option<&Rc<dyn Quotas>>) -> Option<QuotaPermit> {
        match (self, quotas) {
            (QuotaGrant::Granted { budget, .. }, Some(quotas)) => {
                Some(QuotaPermit(quotas.clone(), budget))
            }
            _ => None,
        }
    }
}

/// A permit in use, released when dropped.
pub struct QuotaPermit(Rc<dyn Quotas>, usize);

impl Drop for QuotaPermit {
    fn drop(&mut self) {
        self.0.release(self.1);
    }
}

impl Core {
    /// Acquires quota permits for new operations from now on.
    pub fn attach_quotas(&mut self, quotas: Rc<dyn Quotas>) {
        self.quotas = Some(quotas);
    }
}
