//! The state of one member, for operators. The JSON keys are those documented for operators.

use crate::membership::MemberHealth;
use crate::quota::LoanStatus;
use std::collections::BTreeMap;

/// Another member, as seen by this one.
#[derive(Clone, Debug, serde::Serialize)]
pub struct MemberStatus {
    /// The member's name.
    pub name: String,
    /// The number of the member's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The member's health according to the membership protocol.
    #[serde(rename = "standing")]
    pub health: MemberHealth,
    /// Milliseconds since the last datagram from the member; `None` if none was received.
    pub silent_ms: Option<u64>,
    /// Changes of the local usage counters that the member has not acknowledged.
    pub lag: u64,
}

/// The units of one quota at this member.
#[derive(Clone, Debug, serde::Serialize)]
pub struct QuotaStatus {
    /// The tenant's name.
    pub name: String,
    /// Units over the whole fleet.
    pub units: u64,
    /// Units of the own share that are not lent.
    pub own: u64,
    /// Units borrowed from other members.
    pub borrowed: u64,
    /// Units in use, own or borrowed.
    #[serde(rename = "used")]
    pub in_use: u64,
    /// Units lent, by the borrower's incarnation.
    pub lent: Vec<LoanStatus>,
    /// Units borrowed, by the lender's name.
    #[serde(rename = "from")]
    pub borrowed_from: Vec<LoanStatus>,
}

/// The state of one member.
#[derive(Clone, Debug, serde::Serialize)]
pub struct FleetStatus {
    /// The member's name.
    pub name: String,
    /// The number of the member's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// A later incarnation of the member's name has been seen.
    pub replaced: bool,
    /// The process was stopped, and since then it has received no datagram from other members and one lease
    /// has not passed.
    pub stale: bool,
    /// How often the member learned that it was declared dead.
    #[serde(rename = "thought_dead")]
    pub declared_dead: u64,
    /// Number of times that other members came up or went down.
    pub membership_changes: u64,
    /// The other members.
    pub members: Vec<MemberStatus>,
    /// The quotas, with the member's units of each.
    #[serde(rename = "budgets")]
    pub quotas: Vec<QuotaStatus>,
    /// The member has received its own share of the quotas.
    #[serde(rename = "seated")]
    pub share_received: bool,
    /// The digest of the usage totals; equal for members with equal rows.
    pub digest: String,
    /// Incarnations whose counters are not compacted.
    #[serde(rename = "lives")]
    pub incarnations: usize,
    /// Rows of usage counters, compacted or not.
    pub rows: usize,
    /// Deltas of incarnations that arrived after their compaction and were rejected.
    #[serde(rename = "refused_late")]
    pub rejected_late: u64,
    /// Observations of workers, by this member and by others.
    pub observations: usize,
    /// Datagrams received and accepted.
    #[serde(rename = "frames")]
    pub received_datagrams: u64,
    /// Datagrams rejected, by cause.
    #[serde(rename = "bad")]
    pub rejected_datagrams: BTreeMap<String, u64>,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams sent.
    #[serde(rename = "sent_frames")]
    pub sent_datagrams: u64,
}
