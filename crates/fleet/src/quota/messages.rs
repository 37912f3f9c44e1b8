//! The messages of quota leases. They are encoded by position: the order of fields is part of the datagram format.

use crate::incarnation::Micros;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A borrower asks a lender for units.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The fingerprint of the borrower's [`QuotaTerms`](super::QuotaTerms).
    pub terms: u64,
    /// The quota's index.
    pub quota: u16,
    /// Increases with each request of the borrower: a grant for an earlier one is void.
    pub sequence: u64,
    /// On the borrower's clock; returned with the grant.
    pub sent_at: Micros,
    /// Units of this lender that the borrower keeps: it uses no more than these until the grant comes.
    pub kept_units: u64,
    /// Units that it would have from this lender in all.
    pub wanted_units: u64,
}

/// A lender's answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// As in the request.
    pub terms: u64,
    /// As in the request.
    pub quota: u16,
    /// As in the request.
    pub sequence: u64,
    /// As in the request.
    pub sent_at: Micros,
    /// Units that the borrower may use in all, until the lease's length after it sent the request.
    pub units: u64,
    /// Units that the lender could lend besides.
    pub spare_units: u64,
}

/// A request, and to whom it is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundRequest {
    /// The lender's name.
    pub lender: Arc<str>,
    /// The request.
    pub request: LeaseRequest,
}
