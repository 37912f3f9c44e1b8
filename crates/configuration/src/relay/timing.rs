//! Time-outs and intervals of the relay tree. All processes must agree on them.

use streamusher_protocol::Millis;

/// Interval of heartbeats to a child.
pub const HEARTBEAT_INTERVAL_MS: Millis = 200;

/// Without any heartbeat for so long, a member looks for another sender: three intervals, so that one heartbeat may be late.
pub const HEARTBEAT_TIMEOUT_MS: Millis = 600;

/// Without a newer heartbeat of the root for so long, a member looks for another sender: its own one is partitioned itself.
/// Longer than [`HEARTBEAT_TIMEOUT_MS`], so that a member leaves it to its parent to recover from what fails above.
pub const ROOT_TIMEOUT_MS: Millis = 1_200;

/// How long an ancestor may take to answer a request before the next one is tried.
pub const REQUEST_TIMEOUT_MS: Millis = 150;

/// First pause after all ancestors were tried in vain; it doubles up to [`MAX_SEARCH_BACKOFF_MS`].
pub const MIN_SEARCH_BACKOFF_MS: Millis = 250;

/// Longest pause between two rounds of requests: so often members try the control machines while there is no primary.
pub const MAX_SEARCH_BACKOFF_MS: Millis = 1_000;

/// How long a version that was announced may be on its way before it is requested.
pub const DELIVERY_GRACE_MS: Millis = 100;

/// Interval of requests for the same version: a whole configuration takes its time, and must not be sent twice.
pub const VERSION_RETRY_INTERVAL_MS: Millis = 500;

/// How long a requester stays a temporary child after its last request.
pub const TEMPORARY_CHILD_TIMEOUT_MS: Millis = 2_500;

/// Interval of the requests by which a member stays a temporary child.
pub const TEMPORARY_PARENT_RENEWAL_INTERVAL_MS: Millis = 1_000;

/// Interval at which a member renews its lease.
pub const LEASE_RENEWAL_INTERVAL_MS: Millis = 1_000;

/// A member whose lease was not renewed for so long leaves the membership: three renewals, so that two may be lost.
pub const LEASE_MS: Millis = 3_000;

/// A new primary waits so long before its first membership, so that every member has renewed its lease and the tree is not
/// rebuilt for each: a renewal interval, and time to discover the primary.
pub const MEMBERSHIP_WARM_UP_MS: Millis = 1_500;

/// Least interval between two memberships: members that come and go together make one change.
pub const MEMBERSHIP_INTERVAL_MS: Millis = 250;
