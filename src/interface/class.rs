//! Request classes: how a request may be repeated, what it is worth, and where it may run.

use super::{Endpoint, KindId, Micros, ZoneId};

/// Latency target of a class that has no other.
pub(super) const DEFAULT_LATENCY_TARGET_US: Micros = 100_000;

/// The workers that recognise each other's repeats of a request by its idempotency key, and drop them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// How often a request of a class may take effect, and so how it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// Safe to repeat at any worker.
    Idempotent,
    /// Workers drop repeats by the idempotency key: inside the scope, for the window that begins with the first attempt
    /// that may have run.
    IdempotentByKey {
        /// The workers that drop each other's repeats.
        scope: DeduplicationScope,
        /// How long they remember a key.
        window_us: Micros,
    },
    /// Must never run twice.
    AtMostOnce,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// How its requests may be repeated.
    pub repeatability: Repeatability,
    /// An answer within this time, plus the stretch, earns the whole value.
    pub latency_target_us: Micros,
    /// The latency target grows by this multiple of the request's own running time.
    pub latency_target_stretch: f64,
    /// How long the client waits at most.
    pub deadline_us: Micros,
    /// Value of an answer in time.
    pub value: f64,
    /// Part of the value that a late answer still earns, 0 to 1.
    pub late_value_share: f64,
    /// The only kind of machine that runs it, if there is one.
    pub required_kind: Option<KindId>,
    /// Placement: the only kinds of machine that it may be sent to, on any attempt; `None` permits all.
    pub permitted_kinds: Option<Vec<KindId>>,
    /// Placement: the only zones that it may be sent to, on any attempt; `None` permits all.
    pub permitted_zones: Option<Vec<ZoneId>>,
    /// Priority in a worker's queue, where the queue has priorities.
    pub priority: i64,
}

impl Class {
    /// Whether placement excludes some workers.
    pub fn is_constrained(&self) -> bool {
        self.required_kind.is_some()
            || self.permitted_kinds.is_some()
            || self.permitted_zones.is_some()
    }

    /// Whether placement permits the endpoint, whatever state it is in.
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
