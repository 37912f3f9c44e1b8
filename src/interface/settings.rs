//! Settings of a dispatcher, which the embedder provides.

use super::class::DEFAULT_LATENCY_TARGET_US;
use super::{Class, Micros, ZoneId};

/// A tenant, to which a share of the service is assigned.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within the tenant's share, over all dispatchers together; 0 if unknown.
    pub quota_rps: f64,
    /// Share of the service that the tenant is entitled to.
    pub share: f64,
}

/// How the weights in the endpoint list are interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// Weights are ignored.
    Off,
    /// The weight is the size of the worker, exactly or approximately.
    Size,
    /// The weight is the size of the worker, reduced by its current requests; it changes from list to list.
    Live,
}

/// Configuration of one dispatcher and of the site that it runs in.
#[derive(Clone, Debug)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "capabilities of a site, each independent of the others"
)]
pub struct Settings {
    /// Number of dispatchers in the fleet.
    pub dispatchers: u32,
    /// Zone that this dispatcher runs in.
    pub local_zone: ZoneId,
    /// Minimum time between two batches of events.
    pub batch_interval_us: Micros,
    /// Request classes; [`ClassId`](super::ClassId) is the index.
    pub classes: Vec<Class>,
    /// Tenants, which may be empty; [`TenantId`](super::TenantId) is the index.
    pub tenants: Vec<Tenant>,
    /// Value of a request beyond its tenant's share, as a fraction of its normal value.
    pub over_share_value: f64,
    /// Whether value is counted per unit of work instead of per request.
    pub value_by_work: bool,
    /// Whether the endpoint list has to be polled because changes are not announced.
    pub discovery_must_be_polled: bool,
    /// Whether load reports arrive only in answers to probes, and probes may be sent.
    pub reports_only_on_probe: bool,
    /// Whether load reports count the jobs at the worker, either the queued ones or all.
    pub reports_count_jobs: bool,
    /// Whether workers notify the dispatcher when a job starts.
    pub notifies_start: bool,
    /// Time between progress notifications; 0 if there are none.
    pub progress_interval_us: Micros,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether two attempts of one request may be in flight at the same time.
    pub may_duplicate: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Number of attempts that can share one connection.
    pub streams_per_connection: u32,
    /// Time after which an idle connection is closed.
    pub connection_idle_timeout_us: Micros,
    /// Cost of a new connection, as a fraction of the value of a request.
    pub connection_cost: f64,
    /// Longest retry-after advice that clients follow; 0 if they receive none.
    pub max_retry_after_us: Micros,
    /// Time after the client's deadline during which a final answer still counts.
    pub answer_slack_us: Micros,
    /// Maximum time between two polls of an endpoint list that has to be polled.
    pub max_discovery_interval_us: Micros,
    /// Whether workers also shed requests that they have started: a shed attempt may have run.
    pub shed_may_have_run: bool,
    /// Time after the announcement of a worker's drain from which nothing may be sent to it. The decisions
    /// send it nothing from the announcement on.
    pub drain_grace_us: Micros,
    /// Slow start: share of its capacity that a worker has when it starts, 0 to 1.
    pub start_capacity: f64,
    /// Slow start: age at which a worker reaches its full capacity.
    pub warm_up_us: Micros,
    /// Slow start: a worker that is warming up is overloaded at this multiple of its present capacity if the
    /// load lasts for `overload_tolerance_us`.
    pub overload_multiple: f64,
    /// Slow start: time above `overload_multiple` after which a worker that is warming up counts as
    /// overloaded.
    pub overload_tolerance_us: Micros,
    /// How the weights in the endpoint list are interpreted.
    pub weight_meaning: WeightMeaning,
}

impl Settings {
    /// The shortest latency target of all classes, at least 1: the time scale of the requests.
    pub fn shortest_latency_target_us(&self) -> Micros {
        self.classes
            .iter()
            .map(|class| class.latency_target_us)
            .min()
            .unwrap_or(DEFAULT_LATENCY_TARGET_US)
            .max(1)
    }
}

impl Default for Settings {
    /// One dispatcher without classes, limited to one attempt per request and without optional capabilities.
    fn default() -> Self {
        Settings {
            dispatchers: 1,
            local_zone: ZoneId(0),
            batch_interval_us: 1_000,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_value: 1.0,
            value_by_work: false,
            discovery_must_be_polled: false,
            reports_only_on_probe: false,
            reports_count_jobs: false,
            notifies_start: false,
            progress_interval_us: 0,
            may_cancel: false,
            may_duplicate: false,
            max_attempts: 1,
            streams_per_connection: 1,
            connection_idle_timeout_us: 15_000_000,
            connection_cost: 0.0,
            max_retry_after_us: 0,
            answer_slack_us: 0,
            max_discovery_interval_us: 10_000_000,
            shed_may_have_run: false,
            drain_grace_us: 0,
            start_capacity: 0.1,
            warm_up_us: 10_000_000,
            overload_multiple: 2.0,
            overload_tolerance_us: 1_000_000,
            weight_meaning: WeightMeaning::Off,
        }
    }
}
