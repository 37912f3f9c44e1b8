//! Requests that clients send to a dispatcher.

use super::{ClassId, JobId, Micros, TenantId};

/// A client's request, as the embedder passes it to the decisions.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Number that the embedder assigned to the request.
    pub job: JobId,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant that the request belongs to; `None` if there are no tenants or the tenant is unknown.
    pub tenant: Option<TenantId>,
    /// Free share of the tenant's fleet-wide quota at this dispatcher, 0 to 1; `None` if the tenant has no
    /// quota. At 0 the request exceeds the quota.
    pub free_quota_share: Option<f64>,
    /// Remaining time that the client waits.
    pub expires_in_us: Micros,
    /// Expected work on a standard core; `None` if the client gave no hint.
    pub expected_work_us: Option<Micros>,
    /// Slots that the request occupies at a worker.
    pub slots: f64,
    /// Hash of the name of the request's subject (a data set, say), identical at all dispatchers. Requests
    /// with the same subject preferably go to the same few workers.
    pub affinity_key: Option<u64>,
}
