//! Tenants' rights to have operations in hand: one is taken as an operation arrives, and given back as it is answered.
//! The decisions are told how much is free, and refuse what has none.

use super::Core;
use crate::interface::Micros;
use std::rc::Rc;

/// Where rights come from. None of its calls may block or call the core.
pub trait Quotas {
    /// Takes one for an operation of this tenant.
    fn take(&self, now: Micros, tenant: Option<&str>) -> Taken;
    /// One of this budget is given back.
    fn give_back(&self, budget: usize);
}

/// What became of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    /// The tenant has no quota.
    Unbound,
    /// One was taken.
    One {
        /// Of this budget.
        budget: usize,
        /// The part of this member's rights that was free before, above 0.
        free: f64,
    },
    /// There is none.
    None,
}

impl Taken {
    /// The free part, for the decisions.
    pub(super) fn free(self) -> Option<f64> {
        match self {
            Taken::Unbound => None,
            Taken::One { free, .. } => Some(free),
            Taken::None => Some(0.0),
        }
    }

    pub(super) fn right(self, quotas: Option<&Rc<dyn Quotas>>) -> Option<Right> {
        match (self, quotas) {
            (Taken::One { budget, .. }, Some(quotas)) => Some(Right(quotas.clone(), budget)),
            _ => None,
        }
    }
}

/// A right in use; dropping it gives it back.
pub struct Right(Rc<dyn Quotas>, usize);

impl Drop for Right {
    fn drop(&mut self) {
        self.0.give_back(self.1);
    }
}

impl Core {
    /// Has tenants' rights asked for from now on.
    pub fn attach_quotas(&mut self, quotas: Rc<dyn Quotas>) {
        self.quotas = Some(quotas);
    }
}
