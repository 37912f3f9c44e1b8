//! Request classes: how often a request may run, its value, and its placement.

use super::{Endpoint, KindId, Micros, ZoneId};

/// Latency target of a class without a configured one.
pub(super) const DEFAULT_LATENCY_TARGET_US: Micros = 100_000;

/// Group of workers within which repeats of a request are recognised by its idempotency key and dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers of the fleet.
    All,
    /// Workers of the same zone.
    Zone,
    /// Workers of the same cell.
    Cell,
}

/// How often a request of a class may take effect, and so whether and where it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// Safe to retry at any worker.
    Idempotent,
    /// Workers drop repeats by the idempotency key: within the scope, and during a window that begins with
    /// the first attempt that may have run.
    IdempotentByKey {
        /// Workers that drop each other's repeats.
        scope: DeduplicationScope,
        /// How long the workers remember a key.
        window_us: Micros,
    },
    /// Must never run twice, so an attempt that may have run is not retried.
    AtMostOnce,
}

/// Settings shared by all requests of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Whether and where its requests may be retried.
    pub repeatability: Repeatability,
    /// An answer within this time, plus the stretch, earns the full value.
    pub latency_target_us: Micros,
    /// Multiple of the request's own running time that is added to the latency target.
    pub latency_target_stretch: f64,
    /// Longest time that the client waits.
    pub deadline_us: Micros,
    /// Value of an answer within the latency target.
    pub value: f64,
    /// Share of the value that a late answer still earns, 0 to 1.
    pub late_value_share: f64,
    /// The only kind of machine that can run the class; `None` if every kind can.
    pub required_kind: Option<KindId>,
    /// Placement: kinds of machine that any attempt may be sent to; `None` permits all.
    pub permitted_kinds: Option<Vec<KindId>>,
    /// Placement: zones that any attempt may be sent to; `None` permits all.
    pub permitted_zones: Option<Vec<ZoneId>>,
    /// Priority in a worker's queue, for workers whose queue has priorities.
    pub priority: i64,
}

impl Class {
    /// Whether placement rules exclude some workers.
    pub fn is_constrained(&self) -> bool {
        self.required_kind.is_some()
            || self.permitted_kinds.is_some()
            || self.permitted_zones.is_some()
    }

    /// Whether placement permits the endpoint, regardless of its state.
    pub fn permits(&self, endpoint: &Endpoint) -> bool {
        self.required_kind.is_none_or(|kind| kind == endpoint.kind)
            && self
                .permitted_kinds
                .as_ref()
                .is_none_or(|kinds| kinds.contains(&endpoint.kind))
            && self
                .permitted_zones
                .as_ref()
                .is_none_or(|zones| zones.contains(&endpoint.zone))
    }
}

impl Default for Class {
    fn default() -> Self {
        Class {
            repeatability: Repeatability::Idempotent,
            latency_target_us: DEFAULT_LATENCY_TARGET_US,
            latency_target_stretch: 0.0,
            deadline_us: 1_000_000,
            value: 1.0,
            late_value_share: 0.0,
            required_kind: None,
            permitted_kinds: None,
            permitted_zones: None,
            priority: 0,
        }
    }
}
