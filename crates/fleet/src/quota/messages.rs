//! The messages of quota leases. They are encoded by position: the order of fields is part of the datagram format.

use crate::incarnation::Micros;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A borrower's request for units of one lender.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The fingerprint of the borrower's [`QuotaTerms`](super::QuotaTerms).
    pub terms: u64,
    /// The quota's index in the terms.
    pub quota: u16,
    /// Increases with each request of the borrower: a grant for an earlier request is void.
    pub sequence: u64,
    /// When the request was sent, on the borrower's clock; the grant returns it.
    pub sent_at: Micros,
    /// Units of this lender that the borrower keeps: it uses no more than these until it receives the grant.
    pub kept_units: u64,
    /// Total number of units that the borrower wants from this lender.
    pub wanted_units: u64,
}

/// A lender's answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The fingerprint from the request.
    pub terms: u64,
    /// The quota's index from the request.
    pub quota: u16,
    /// The sequence number from the request.
    pub sequence: u64,
    /// The send time from the request, on the borrower's clock.
    pub sent_at: Micros,
    /// Total number of units that the borrower may use, for the length of the lease after it sent the
    /// request.
    pub units: u64,
    /// Further units that the lender could lend.
    pub spare_units: u64,
}

/// A request and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundRequest {
    /// The lender's name.
    pub lender: Arc<str>,
    /// The request.
    pub request: LeaseRequest,
}
