//! Settings of a dispatcher.

use super::class::DEFAULT_LATENCY_TARGET_US;
use super::{Class, Micros, ZoneId};

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within its share, over all dispatchers together; 0 where unknown.
    pub quota_rps: f64,
    /// Its share of the service.
    pub share: f64,
}

/// What a worker's listed weight stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// Nothing: weights are ignored.
    Off,
    /// Its size, exactly or roughly.
    Size,
    /// Its size, lowered by the requests that it holds; changes from list to list.
    Live,
}

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "abilities of a site, each independent of the others"
)]
pub struct Settings {
    /// How many dispatchers there are.
    pub dispatchers: u32,
    /// This dispatcher's zone.
    pub local_zone: ZoneId,
    /// Shortest time between two batches of events.
    pub batch_interval_us: Micros,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a request beyond its tenant's share, as a part of the usual value.
    pub over_share_value: f64,
    /// Value is counted per unit of work, not per request.
    pub value_by_work: bool,
    /// The endpoint list must be polled: it announces no changes.
    pub discovery_must_be_polled: bool,
    /// Load reports come only with the answers to probes, and probes may be sent.
    pub reports_only_on_probe: bool,
    /// Load reports count the jobs at the worker, those waiting or all.
    pub reports_count_jobs: bool,
    /// Workers notify the dispatcher when a job starts.
    pub notifies_start: bool,
    /// Time between progress notifications; 0 for none.
    pub progress_interval_us: Micros,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Two attempts of one request may be in flight together.
    pub may_duplicate: bool,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Attempts that share one connection.
    pub streams_per_connection: u32,
    /// An idle connection is closed after this long.
    pub connection_idle_timeout_us: Micros,
    /// Cost of a new connection, as a part of the value of a request.
    pub connection_cost: f64,
    /// The longest retry-after advice that clients honour; 0 where they get none.
    pub max_retry_after_us: Micros,
    /// How long after the client's deadline a final answer still counts.
    pub answer_slack_us: Micros,
    /// Longest time between two polls of the endpoint list, where it must be polled.
    pub max_discovery_interval_us: Micros,
    /// Workers also shed work that they had begun: a shed attempt may have run.
    pub shed_may_have_run: bool,
    /// A draining worker may be sent nothing any more this long after its drain was announced; the decisions send it
    /// nothing from the announcement on.
    pub drain_grace_us: Micros,
    /// Slow start: the least part of its capacity that a worker has when it starts, 0 to 1.
    pub start_capacity: f64,
    /// Slow start: the age at which a worker has its whole capacity.
    pub warm_up_us: Micros,
    /// Slow start: a worker that warms up is overloaded by this multiple of its present capacity,
    pub overload_multiple: f64,
    /// when that lasts this long.
    pub overload_tolerance_us: Micros,
    /// The meaning of the listed weights.
    pub weight_meaning: WeightMeaning,
}

impl Settings {
    /// The shortest latency target of any class: the time scale of the requests.
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
    /// One dispatcher with no classes, which may make one attempt per request and nothing else.
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
