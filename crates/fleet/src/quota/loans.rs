//! The loans of one quota, as one member knows them: what it has lent, and what it has borrowed.

use super::messages::{LeaseGrant, LeaseRequest};
use crate::incarnation::{Incarnation, Micros};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A grant whose units may still be in use at the borrower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OutstandingGrant {
    units: u64,
    /// When the units come back, on the lender's clock.
    returns_at: Micros,
}

/// What is lent to one incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Loan {
    /// The last request that was answered.
    pub(super) sequence: u64,
    grants: Vec<OutstandingGrant>,
}

impl Loan {
    /// Units that the borrower may have in use. Each grant stands for all it may use, so this is the largest.
    pub(super) fn outstanding(&self) -> u64 {
        self.grants
            .iter()
            .map(|grant| grant.units)
            .max()
            .unwrap_or(0)
    }

    /// The borrower uses no more than this from now on; earlier grants are void.
    pub(super) fn limit_to(&mut self, kept_units: u64) {
        for grant in &mut self.grants {
            grant.units = grant.units.min(kept_units);
        }
        self.grants.retain(|grant| grant.units > 0);
    }

    /// Notes a grant. A grant of nothing is noted if it is the only one: the request's sequence number must stay known
    /// for as long as the request may be repeated.
    pub(super) fn add_grant(&mut self, units: u64, returns_at: Micros) {
        if units > 0 || self.grants.is_empty() {
            self.grants.push(OutstandingGrant { units, returns_at });
        }
    }
}

/// What is borrowed from one member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct BorrowedUnits {
    pub(super) units: u64,
    pub(super) until: Micros,
    /// The last request, and when it was sent.
    pub(super) sequence: u64,
    pub(super) requested_at: Micros,
    pub(super) answered: bool,
    /// What the lender last said it could lend besides.
    pub(super) spare_units: Option<u64>,
}

impl BorrowedUnits {
    /// Whether a grant answers the last request, for the first time.
    pub(super) fn is_answered_by(&self, grant: &LeaseGrant) -> bool {
        self.sequence == grant.sequence && self.requested_at == grant.sent_at && !self.answered
    }
}

/// What is to be asked of one lender.
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
    /// What the data path would have in use if it could.
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

    /// The earliest end of what is borrowed; as late as can be if nothing is.
    pub(super) fn earliest_expiry(&self) -> Micros {
        self.borrowed
            .values()
            .filter(|borrowed| borrowed.units > 0)
            .map(|borrowed| borrowed.until)
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Drops grants whose time is over; returns how many units came back.
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

    /// Requests to lenders: to give units back, to renew loans that end soon, and to borrow more of the same lenders.
    /// `to_return` units go back, and `missing` is reduced by what is asked for.
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
            let ends_soon = borrowed.until.saturating_sub(now) < lease * 2 / 3;
            let since_request = now.saturating_sub(borrowed.requested_at);
            let awaits_answer = !borrowed.answered && since_request < lease / 6;
            if returned > 0 || ends_soon && !awaits_answer {
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

    /// Units that a member with this share may have to lend, as far as is known; 0 if it was asked a moment ago.
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
        // What a lender said holds for a while; then it may have more.
        if since_request > lease / 3 {
            return share;
        }
        borrowed.spare_units.unwrap_or(0)
    }

    /// Notes that a request was sent.
    pub(super) fn on_request_sent(&mut self, lender: &Arc<str>, request: &LeaseRequest) {
        let borrowed = self.borrowed.entry(lender.clone()).or_default();
        borrowed.sequence = request.sequence;
        borrowed.requested_at = request.sent_at;
        borrowed.answered = false;
    }
}
