//! Bounds of a hold across two clocks: the agent grants it by its own, the worker counts it by another.
//!
//! The operators' pages allow a steady clock to run 2% slow.

use streamusher_protocol::Millis;

/// Share of the remaining lease that is granted, in thousandths: a hold counted by a slow clock ends within the lease.
const GRANTED_THOUSANDTHS: Millis = 970;

/// Rate of the slowest worker's clock, in thousandths.
const SLOWEST_CLOCK_THOUSANDTHS: Millis = 980;

/// Added to the end of a hold before the worker counts as gone.
const GONE_SLACK_MS: Millis = 50;

/// Heartbeat intervals, in halves, without a heartbeat before a worker may count as gone.
const SILENT_HALF_INTERVALS: Millis = 5;

/// What may be granted when `lease_left_ms` of the lease is left.
pub(super) fn grantable_ms(lease_left_ms: Millis) -> Millis {
    lease_left_ms.saturating_mul(GRANTED_THOUSANDTHS) / 1_000
}

/// The longest time that a hold of `hold_ms` lasts on the agent's clock, with slack.
pub(super) fn max_duration_ms(hold_ms: Millis) -> Millis {
    hold_ms
        .saturating_mul(1_000)
        .div_ceil(SLOWEST_CLOCK_THOUSANDTHS)
        .saturating_add(GONE_SLACK_MS)
}

/// How long a worker must have been silent before it may count as gone.
pub(super) fn silence_timeout_ms(heartbeat_ms: Millis) -> Millis {
    heartbeat_ms.saturating_mul(SILENT_HALF_INTERVALS) / 2
}
