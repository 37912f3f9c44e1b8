//! Time-outs and intervals of the relay tree. All processes must use the same values.

use streamusher_protocol::Millis;

/// Interval of the heartbeats to a child.
pub const HEARTBEAT_INTERVAL_MS: Millis = 200;

/// Time without any heartbeat after which a member searches for another sender: three intervals, so that one
/// heartbeat may be late.
pub const HEARTBEAT_TIMEOUT_MS: Millis = 600;

/// Time without a newer root heartbeat after which a member searches for another sender, because its current
/// sender is partitioned itself. Longer than [`HEARTBEAT_TIMEOUT_MS`], so that a member leaves the recovery
/// from faults further up the tree to its parent.
pub const ROOT_TIMEOUT_MS: Millis = 1_200;

/// Time within which an ancestor has to answer a request before the next one is tried.
pub const REQUEST_TIMEOUT_MS: Millis = 150;

/// First pause after all ancestors were tried without success; it doubles up to [`MAX_SEARCH_BACKOFF_MS`].
pub const MIN_SEARCH_BACKOFF_MS: Millis = 250;

/// Maximum pause between two rounds of requests: the interval at which members try the control machines while
/// there is no primary.
pub const MAX_SEARCH_BACKOFF_MS: Millis = 1_000;

/// Time within which an announced version may still arrive before it is requested.
pub const DELIVERY_GRACE_MS: Millis = 100;

/// Interval of requests for the same version: the transfer of a whole configuration takes time, and must not
/// be repeated.
pub const VERSION_RETRY_INTERVAL_MS: Millis = 500;

/// Time for which a requester remains a temporary child after its last request.
pub const TEMPORARY_CHILD_TIMEOUT_MS: Millis = 2_500;

/// Interval of the requests by which a member remains a temporary child.
pub const TEMPORARY_PARENT_RENEWAL_INTERVAL_MS: Millis = 1_000;

/// Interval at which a member renews its lease.
pub const LEASE_RENEWAL_INTERVAL_MS: Millis = 1_000;

/// Time without a renewal after which a member's lease expires and the member leaves the membership: three
/// renewal intervals, so that two renewals may be lost.
pub const LEASE_MS: Millis = 3_000;

/// Time that a new primary waits before its first membership, so that every member has renewed its lease and
/// the tree is not rebuilt for each of them: a renewal interval, and time to discover the primary.
pub const MEMBERSHIP_WARM_UP_MS: Millis = 1_500;

/// Minimum interval between two memberships, so that members that join or leave together cause one change.
pub const MEMBERSHIP_INTERVAL_MS: Millis = 250;
