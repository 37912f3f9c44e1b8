//! The state of one member, for operators. The JSON keys are those of the operators' pages.

use crate::membership::MemberHealth;
use crate::quota::LoanStatus;
use std::collections::BTreeMap;

/// Another member, as this one sees it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// The number of its incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Whether it answers.
    #[serde(rename = "standing")]
    pub health: MemberHealth,
    /// For how long nothing was received from it; none if nothing ever was.
    pub silent_ms: Option<u64>,
    /// Changes of own usage counters that it is not known to hold.
    pub lag: u64,
}

/// The units of one quota at this member.
#[derive(Clone, Debug, serde::Serialize)]
pub struct QuotaStatus {
    /// The tenant.
    pub name: String,
    /// Units over the whole fleet.
    pub units: u64,
    /// Units of the own share, without those lent.
    pub own: u64,
    /// Units borrowed.
    pub borrowed: u64,
    /// Units in use.
    #[serde(rename = "used")]
    pub in_use: u64,
    /// Units lent, by incarnation.
    pub lent: Vec<LoanStatus>,
    /// Units borrowed, by member.
    #[serde(rename = "from")]
    pub borrowed_from: Vec<LoanStatus>,
}

/// One member's state.
#[derive(Clone, Debug, serde::Serialize)]
pub struct FleetStatus {
    /// Its name.
    pub name: String,
    /// The number of its incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// A later incarnation of its name is there.
    pub replaced: bool,
    /// It was stopped, and has not received anything of the others since.
    pub stale: bool,
    /// How often it learned that it was declared dead.
    #[serde(rename = "thought_dead")]
    pub declared_dead: u64,
    /// Members that it saw come up or go down.
    pub membership_changes: u64,
    /// The others.
    pub members: Vec<MemberStatus>,
    /// The quotas.
    #[serde(rename = "budgets")]
    pub quotas: Vec<QuotaStatus>,
    /// Its own share of the quotas has come in.
    #[serde(rename = "seated")]
    pub share_received: bool,
    /// The digest of the usage totals.
    pub digest: String,
    /// Incarnations whose counters are not compacted.
    #[serde(rename = "lives")]
    pub incarnations: usize,
    /// Rows of usage counters.
    pub rows: usize,
    /// Deltas of compacted incarnations that came late and were rejected.
    #[serde(rename = "refused_late")]
    pub rejected_late: u64,
    /// Observations of workers, its own and others'.
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
