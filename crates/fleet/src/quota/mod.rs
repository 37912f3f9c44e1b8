//! Quotas over the whole fleet, as leases on units: the escrow of bounded counters (Balegas and others:
//! Extending eventually consistent cloud databases for enforcing numeric invariants, section 3), extended by
//! an expiry of each loan.
//!
//! The units of a quota are divided among the members listed in the settings, which are the same at each
//! member: a member owns its **share** permanently, and no other member can create units. A member lends
//! units that it does not need; a loan expires by itself. Therefore no agreement is needed, and no side of a
//! partition can use units that the other side may use.
//!
//! | member | may use | bound |
//! | --- | --- | --- |
//! | a listed member | its share less what it has lent; it never lends its last units (`unlent_floor`) | until its process ends |
//! | a borrower | what was granted | until its own clock shows `lease` after it *sent the request* |
//! | the lender, after a loan | what it lent | once its own clock shows `lease`, drift, `max_use` and `margin` after it *granted* |
//! | a new incarnation | nothing at first | until that same time has passed after its start, as its predecessor may have lent |
//!
//! A unit stays in use for `max_use` at most, so one acquired at the end of a lease is free again when the
//! lender recovers the loan. The borrower sent its request before the lender granted it, and clocks drift by
//! less than the bound: the borrower's time ends first, however long the datagrams took.
//!
//! Invariant, asserted in `tests/simulated_fleet.rs` and model checked in `tests/quota_model.rs`: the units
//! in use at all incarnations together never exceed the quota. No tolerance is added.

mod loans;
mod messages;
mod terms;

pub use messages::{LeaseGrant, LeaseRequest, OutboundRequest};
pub use terms::{Quota, QuotaTerms};

use crate::allowance::{Allowance, HeldUnits};
use crate::incarnation::{Incarnation, Micros};
use loans::{QuotaLoans, RequestDraft};
use std::cmp::Reverse;
use std::sync::Arc;

/// Maximum number of requests to new lenders for one quota in one round.
const REQUESTS_PER_ROUND: usize = 4;

/// Units on loan with one member, for operators. In JSON a pair.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(into = "(String, u64)")]
pub struct LoanStatus {
    /// The borrower's incarnation, or the lender's name.
    pub member: String,
    /// The number of units on loan.
    pub units: u64,
}

impl From<LoanStatus> for (String, u64) {
    fn from(status: LoanStatus) -> Self {
        (status.member, status.units)
    }
}

/// The leases of all quotas at one incarnation, with an allowance for each.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaLeases<A> {
    local: Incarnation,
    terms: Arc<QuotaTerms>,
    fingerprint: u64,
    started_at: Micros,
    share_received: bool,
    sequence: u64,
    loans: Vec<QuotaLoans>,
    /// The stores from which units are acquired, by the quota's index.
    pub allowances: Vec<A>,
}

impl<A: Allowance> QuotaLeases<A> {
    /// Creates the leases of an incarnation that starts now, with empty allowances.
    pub fn new(
        local: Incarnation,
        terms: Arc<QuotaTerms>,
        allowances: Vec<A>,
        now: Micros,
    ) -> QuotaLeases<A> {
        debug_assert_eq!(allowances.len(), terms.quotas.len());
        QuotaLeases {
            local,
            fingerprint: terms.fingerprint(),
            started_at: now,
            share_received: false,
            sequence: 0,
            loans: vec![QuotaLoans::default(); terms.quotas.len()],
            terms,
            allowances,
        }
    }

    /// Advances to the current time: the own share is received once no loan of an earlier incarnation can be
    /// outstanding, lent units are recovered, and borrowed units expire.
    pub fn tick(&mut self, now: Micros) {
        if !self.share_received && now >= self.started_at + self.terms.loan_recovery_time() {
            self.share_received = true;
            self.receive_share();
        }
        for (loans, allowance) in self.loans.iter_mut().zip(&mut self.allowances) {
            let recovered = loans.recover_lent(now);
            if recovered > 0 {
                add_own(allowance, recovered, loans.earliest_expiry());
            }
            if loans.expire_borrowed(now) {
                allowance.expire_borrowed(loans.borrowed_units(), loans.earliest_expiry());
            }
        }
    }

    fn receive_share(&mut self) {
        for (quota, allowance) in self.allowances.iter_mut().enumerate() {
            let share = self.terms.share(&self.local.name, quota);
            add_own(allowance, share, self.loans[quota].earliest_expiry());
        }
    }

    /// Takes the number of units of a quota that the data path would use, and the names of the other live
    /// members. Returns units that are not needed, and builds requests for missing ones. The caller calls
    /// this at regular intervals; each call makes a few requests at most.
    pub fn request_units(
        &mut self,
        now: Micros,
        quota: usize,
        wanted_units: u64,
        others: &[Arc<str>],
    ) -> Vec<OutboundRequest> {
        self.tick(now);
        let lease = self.terms.lease;
        let loans = &mut self.loans[quota];
        let allowance = &mut self.allowances[quota];
        loans.wanted_units = wanted_units;
        let held = allowance.held();
        let mut missing = wanted_units.saturating_sub(held.total());
        let to_return = reclaim_excess(allowance, held, wanted_units);
        let mut drafts = loans.renewals(now, lease, to_return, &mut missing);
        let new_drafts = self.requests_to_new_lenders(now, quota, missing, others, &drafts);
        drafts.extend(new_drafts);
        let requests = self.number_requests(now, quota, drafts);
        debug_assert!(self.loans[quota].borrowed_units() >= self.allowances[quota].held().borrowed);
        requests
    }

    /// Requests to members to which `drafts` has no request, those with the most spare units first.
    fn requests_to_new_lenders(
        &self,
        now: Micros,
        quota: usize,
        mut missing: u64,
        others: &[Arc<str>],
        drafts: &[RequestDraft],
    ) -> Vec<RequestDraft> {
        if missing == 0 {
            return Vec::new();
        }
        let loans = &self.loans[quota];
        let mut lenders: Vec<(u64, &Arc<str>)> = Vec::new();
        for name in others {
            let lender_share = self.terms.share(name, quota);
            if lender_share == 0 || drafts.iter().any(|draft| draft.lender == *name) {
                continue;
            }
            let spare = loans.expected_spare(now, self.terms.lease, name, lender_share);
            if spare > 0 {
                lenders.push((spare, name));
            }
        }
        lenders.sort_by_key(|lender| Reverse(*lender));
        let mut requests = Vec::new();
        for (spare, name) in lenders.into_iter().take(REQUESTS_PER_ROUND) {
            let kept_units = loans
                .borrowed
                .get(name)
                .map_or(0, |borrowed| borrowed.units);
            requests.push(RequestDraft {
                lender: name.clone(),
                kept_units,
                wanted_units: kept_units + missing.min(spare),
            });
            missing = missing.saturating_sub(spare);
        }
        requests
    }

    fn number_requests(
        &mut self,
        now: Micros,
        quota: usize,
        drafts: Vec<RequestDraft>,
    ) -> Vec<OutboundRequest> {
        let mut requests = Vec::new();
        for draft in drafts {
            self.sequence += 1;
            #[expect(
                clippy::cast_possible_truncation,
                reason = "far fewer tenants have quotas"
            )]
            let request = LeaseRequest {
                terms: self.fingerprint,
                quota: quota as u16,
                sequence: self.sequence,
                sent_at: now,
                kept_units: draft.kept_units,
                wanted_units: draft.wanted_units,
            };
            self.loans[quota].on_request_sent(&draft.lender, &request);
            requests.push(OutboundRequest {
                lender: draft.lender,
                request,
            });
        }
        requests
    }

    /// Handles a request of another incarnation and returns the grant. Returns `None` for a request with
    /// other terms, and for one that is already answered or older: its answer is void or in flight.
    pub fn on_lease_request(
        &mut self,
        now: Micros,
        borrower: &Incarnation,
        request: &LeaseRequest,
    ) -> Option<LeaseGrant> {
        self.tick(now);
        let quota = self.quota_index(request.terms, request.quota)?;
        if borrower.name == self.local.name {
            return None;
        }
        let share = self.terms.share(&self.local.name, quota);
        let returns_at = now + self.terms.loan_recovery_time();
        let loans = &mut self.loans[quota];
        let allowance = &mut self.allowances[quota];
        let borrowed_until = loans.earliest_expiry();
        let needed = loans.wanted_units.max(self.terms.unlent_floor.min(share));
        let loan = loans.lent.entry(borrower.clone()).or_default();
        if request.sequence <= loan.sequence {
            return None;
        }
        loan.sequence = request.sequence;
        // From this request on the borrower uses no more than it keeps. Kept units beyond the granted ones do
        // not come from this lender.
        let before = loan.outstanding();
        loan.limit_to(request.kept_units);
        let kept = loan.outstanding();
        if before > kept {
            add_own(allowance, before - kept, borrowed_until);
        }
        let units = units_to_grant(allowance, kept, needed, request.wanted_units);
        loan.add_grant(units, returns_at);
        Some(LeaseGrant {
            terms: self.fingerprint,
            quota: request.quota,
            sequence: request.sequence,
            sent_at: request.sent_at,
            units,
            spare_units: allowance.held().own.saturating_sub(needed),
        })
    }

    /// Handles a lender's grant. Only the first grant for the last request is applied, and only if it has not
    /// expired in flight.
    pub fn on_lease_grant(&mut self, now: Micros, lender: &Arc<str>, grant: &LeaseGrant) {
        self.tick(now);
        let Some(quota) = self.quota_index(grant.terms, grant.quota) else {
            return;
        };
        let until = grant.sent_at.saturating_add(self.terms.lease);
        let units = grant.units.min(self.terms.quotas[quota].units);
        let loans = &mut self.loans[quota];
        let allowance = &mut self.allowances[quota];
        let Some(borrowed) = loans.borrowed.get_mut(lender) else {
            return;
        };
        if !borrowed.is_answered_by(grant) || until <= now {
            return;
        }
        borrowed.answered = true;
        borrowed.spare_units = Some(grant.spare_units);
        let mut held = allowance.held();
        if units >= borrowed.units {
            borrowed.units = units;
            borrowed.until = until;
            held.borrowed = held.borrowed.max(loans.borrowed_units());
        } else {
            // The renewed loan is smaller: units of the rest that are in use expire with the earlier lease.
            borrowed.units -= allowance.reclaim_borrowed(borrowed.units - units);
            if borrowed.units == units {
                borrowed.until = until;
            }
            held = allowance.held();
        }
        allowance.grow(held, loans.earliest_expiry());
    }

    /// The index of a quota that a message refers to, if the message has the same terms.
    fn quota_index(&self, fingerprint: u64, quota: u16) -> Option<usize> {
        let index = usize::from(quota);
        (fingerprint == self.fingerprint && index < self.loans.len()).then_some(index)
    }

    /// Units of a quota that are lent, by the borrower's incarnation.
    pub fn lent(&self, quota: usize) -> Vec<LoanStatus> {
        let loans = self.loans[quota].lent.iter();
        loans
            .map(|(borrower, loan)| LoanStatus {
                member: borrower.to_string(),
                units: loan.outstanding(),
            })
            .filter(|status| status.units > 0)
            .collect()
    }

    /// Units of a quota that are borrowed, by the lender's name.
    pub fn borrowed(&self, quota: usize) -> Vec<LoanStatus> {
        let loans = self.loans[quota].borrowed.iter();
        loans
            .map(|(lender, borrowed)| LoanStatus {
                member: lender.to_string(),
                units: borrowed.units,
            })
            .filter(|status| status.units > 0)
            .collect()
    }

    /// Whether the member has received its own share.
    pub fn share_received(&self) -> bool {
        self.share_received
    }

    /// The terms common to all members.
    pub fn terms(&self) -> &QuotaTerms {
        &self.terms
    }
}

fn add_own(allowance: &mut impl Allowance, units: u64, borrowed_until: Micros) {
    let held = allowance.held();
    let grown = HeldUnits {
        own: held.own + units,
        borrowed: held.borrowed,
    };
    allowance.grow(grown, borrowed_until);
}

/// Removes borrowed units that are to be returned; returns how many. A quarter more than `wanted_units`, plus
/// one, is kept, so that units do not oscillate between members.
fn reclaim_excess(allowance: &mut impl Allowance, held: HeldUnits, wanted_units: u64) -> u64 {
    let kept = wanted_units + wanted_units / 4 + 1;
    let excess = held.total().saturating_sub(kept).min(held.borrowed);
    if excess == 0 {
        return 0;
    }
    allowance.reclaim_borrowed(excess)
}

/// The total number of units to grant to a borrower that keeps `kept` units of this lender and wants
/// `wanted`; additional units are taken from the allowance. The lender itself needs `needed` units: if it has
/// fewer, the grant is reduced.
fn units_to_grant(allowance: &mut impl Allowance, kept: u64, needed: u64, wanted: u64) -> u64 {
    let own = allowance.held().own;
    if own < needed {
        return kept.saturating_sub(needed - own).min(wanted);
    }
    let more = wanted.saturating_sub(kept).min(own - needed);
    kept.min(wanted) + allowance.reclaim_own(more)
}
