//! The loans of one quota at one member, both lent and borrowed.

use super::messages::{LeaseGrant, LeaseRequest};
use crate::incarnation::{Incarnation, Micros};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A grant whose units may still be in use at the borrower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OutstandingGrant {
    units: u64,
    /// When the lender recovers the units, on the lender's clock.
    returns_at: Micros,
}

/// Units lent to one incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Loan {
    /// The sequence number of the last request that was answered.
    pub(super) sequence: u64,
    grants: Vec<OutstandingGrant>,
}

impl Loan {
    /// Units that the borrower may have in use. Each grant covers all units that the borrower may use, so the
    /// largest grant counts.
    pub(super) fn outstanding(&self) -> u64 {
        self.grants
            .iter()
            .map(|grant| grant.units)
            .max()
            .unwrap_or(0)
    }

    /// Caps the loan: the borrower uses at most `kept_units` from now on, and earlier grants are void.
    pub(super) fn limit_to(&mut self, kept_units: u64) {
        for grant in &mut self.grants {
            grant.units = grant.units.min(kept_units);
        }
        self.grants.retain(|grant| grant.units > 0);
    }

    /// Records a grant. A grant of 0 units is recorded if it is the only one: the request's sequence number
    /// must be remembered as long as the request may be repeated.
    pub(super) fn add_grant(&mut self, units: u64, returns_at: Micros) {
        if units > 0 || self.grants.is_empty() {
            self.grants.push(OutstandingGrant { units, returns_at });
        }
    }
}

/// Units borrowed from one member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct BorrowedUnits {
    pub(super) units: u64,
    pub(super) until: Micros,
    /// The sequence number of the last request.
    pub(super) sequence: u64,
    pub(super) requested_at: Micros,
    pub(super) answered: bool,
    /// Further units that the lender could lend, according to its last grant.
    pub(super) spare_units: Option<u64>,
}

impl BorrowedUnits {
    /// Whether a grant is the first answer to the last request.
    pub(super) fn is_answered_by(&self, grant: &LeaseGrant) -> bool {
        self.sequence == grant.sequence && self.requested_at == grant.sent_at && !self.answered
    }
}

/// The content of a request to one lender.
pub(super) struct RequestDraft {
    pub(super) lender: Arc<str>,
    pub(super) kept_units: u64,
    pub(super) wanted_units: u64,
}

/// The loans of one quota.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct QuotaLoans {
    pub(super) lent: BTreeMap<Incarnation, Loan>,
    pub(super) borrowed: BTreeMap<Arc<str>, BorrowedUnits>,
    /// The number of units that the data path would use if it had them.
    pub(super) wanted_units: u64,
}

impl QuotaLoans {
    /// Units lent.
    pub(super) fn lent_units(&self) -> u64 {
        self.lent.values().map(Loan::outstanding).sum()
    }

    /// Units borrowed.
    pub(super) fn borrowed_units(&self) -> u64 {
        self.borrowed.values().map(|borrowed| borrowed.units).sum()
    }

    /// The earliest expiry of the borrowed units; `Micros::MAX` if none are borrowed.
    pub(super) fn earliest_expiry(&self) -> Micros {
        self.borrowed
            .values()
            .filter(|borrowed| borrowed.units > 0)
            .map(|borrowed| borrowed.until)
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Drops grants that have ended; returns how many units were recovered.
    pub(super) fn recover_lent(&mut self, now: Micros) -> u64 {
        let before = self.lent_units();
        for loan in self.lent.values_mut() {
            loan.grants.retain(|grant| grant.returns_at > now);
        }
        self.lent.retain(|_, loan| !loan.grants.is_empty());
        before - self.lent_units()
    }

    /// Drops borrowed units that have expired; returns whether there were any.
    pub(super) fn expire_borrowed(&mut self, now: Micros) -> bool {
        let mut expired = false;
        for borrowed in self.borrowed.values_mut() {
            if borrowed.until <= now {
                expired |= borrowed.units > 0;
                borrowed.units = 0;
            }
        }
        expired
    }

    /// Requests to present lenders: to return units, to renew loans that expire soon, and to borrow more.
    /// `to_return` units are returned, and `missing` is reduced by the additional units requested.
    pub(super) fn renewals(
        &mut self,
        now: Micros,
        lease: Micros,
        mut to_return: u64,
        missing: &mut u64,
    ) -> Vec<RequestDraft> {
        let mut drafts = Vec::new();
        for (lender, borrowed) in &mut self.borrowed {
            if borrowed.units == 0 {
                continue;
            }
            let returned = borrowed.units.min(to_return);
            borrowed.units -= returned;
            to_return -= returned;
            let expires_soon = borrowed.until.saturating_sub(now) < lease * 2 / 3;
            let since_request = now.saturating_sub(borrowed.requested_at);
            let awaits_grant = !borrowed.answered && since_request < lease / 6;
            if returned > 0 || expires_soon && !awaits_grant {
                let more = (*missing).min(borrowed.spare_units.unwrap_or(0));
                *missing -= more;
                drafts.push(RequestDraft {
                    lender: lender.clone(),
                    kept_units: borrowed.units,
                    wanted_units: borrowed.units + more,
                });
            }
        }
        drafts
    }

    /// Estimated number of units that a member with this share can lend; 0 if it was asked within the last
    /// twelfth of a lease.
    pub(super) fn expected_spare(
        &self,
        now: Micros,
        lease: Micros,
        lender: &Arc<str>,
        share: u64,
    ) -> u64 {
        let Some(borrowed) = self.borrowed.get(lender) else {
            return share;
        };
        let since_request = now.saturating_sub(borrowed.requested_at);
        if since_request < lease / 12 {
            return 0;
        }
        // A lender's last report is used for a third of a lease; after that it may have more.
        if since_request > lease / 3 {
            return share;
        }
        borrowed.spare_units.unwrap_or(0)
    }

    /// Records that a request was sent.
    pub(super) fn on_request_sent(&mut self, lender: &Arc<str>, request: &LeaseRequest) {
        let borrowed = self.borrowed.entry(lender.clone()).or_default();
        borrowed.sequence = request.sequence;
        borrowed.requested_at = request.sent_at;
        borrowed.answered = false;
    }
}
