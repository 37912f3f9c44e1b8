//! Tenants' rights to have operations in hand: one is taken as an operation arrives, and given back as it is answered.
//! The decisions are told how much is free, and refuse what has none.

use super::Core;
use crate::interface::Micros;
use std::rc::Rc;

/// Where rights come from. None of its calls may block or call the core.
pub trait Quotas {
    /// Takes one for an operation of this tenant.
    fn acquire(&self, now: Micros, tenant: Option<&str>) -> QuotaGrant;
    /// One of this budget is given back.
    fn release(&self, budget: usize);
}

/// What became of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaGrant {
    /// The tenant has no quota.
    Unlimited,
    /// One was taken.
    Granted {
        /// Of this budget.
        budget: usize,
        /// The part of this member's rights that was free before, above 0.
        free: f64,
    },
    /// There is none.
    Exhausted,
}

impl QuotaGrant {
    /// The free part, for the decisions.
    pub(super) fn free(self) -> Option<f64> {
        match self {
            QuotaGrant::Unlimited => None,
            QuotaGrant::Granted { free, .. } => Some(free),
            QuotaGrant::Exhausted => Some(0.0),
        }
    }

    pub(super) fn right(self, quotas: Option<&Rc<dyn Quotas>>) -> Option<QuotaPermit> {
        match (self, quotas) {
            (QuotaGrant::Granted { budget, .. }, Some(quotas)) => {
                Some(QuotaPermit(quotas.clone(), budget))
            }
            _ => None,
        }
    }
}

/// A right in use; dropping it gives it back.
pub struct QuotaPermit(Rc<dyn Quotas>, usize);

impl Drop for QuotaPermit {
    fn drop(&mut self) {
        self.0.release(self.1);
    }
}

impl Core {
    /// Has tenants' rights asked for from now on.
    pub fn attach_quotas(&mut self, quotas: Rc<dyn Quotas>) {
        self.quotas = Some(quotas);
    }
}
