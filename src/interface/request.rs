//! A request that a dispatcher has to serve.

use super::{ClassId, JobId, Micros, TenantId};

/// A request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its number.
    pub job: JobId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// The part of its tenant's fleet-wide quota that is free at this dispatcher, 0 to 1; `None` where the tenant has
    /// no quota. At 0 the request exceeds the quota.
    pub free_quota_share: Option<f64>,
    /// The client waits this much longer.
    pub expires_in_us: Micros,
    /// Expected work on a standard core, where the client gave a hint.
    pub expected_work_us: Option<Micros>,
    /// Slots that it takes at a worker.
    pub slots: f64,
    /// A hash of the name of its subject (a data set, say), the same at every dispatcher: requests of one subject are
    /// sent to the same few workers by preference.
    pub affinity_key: Option<u64>,
}
