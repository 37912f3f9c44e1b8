//! Bounds of a hold across two clocks: the agent grants it by its own clock, the worker counts it by another.
//!
//! The operators' documentation allows a steady clock to run 2% slow.

use streamusher_protocol::Millis;

/// Share of the remaining lease that is granted as a hold, in thousandths: a hold counted by a slow clock
/// still ends within the lease.
const GRANTED_THOUSANDTHS: Millis = 970;

/// Rate of the slowest clock that a worker may have, in thousandths.
const SLOWEST_CLOCK_THOUSANDTHS: Millis = 980;

/// Slack added to the end of a hold before the worker counts as gone.
const GONE_SLACK_MS: Millis = 50;

/// Number of half heartbeat intervals without a heartbeat before a worker may count as gone.
const SILENT_HALF_INTERVALS: Millis = 5;

/// Longest hold that may be granted when `lease_left_ms` of the lease remain.
pub(super) fn grantable_ms(lease_left_ms: Millis) -> Millis {
    lease_left_ms.saturating_mul(GRANTED_THOUSANDTHS) / 1_000
}

/// Longest time that a hold of `hold_ms` can last on the agent's clock, including slack.
pub(super) fn max_duration_ms(hold_ms: Millis) -> Millis {
    hold_ms
        .saturating_mul(1_000)
        .div_ceil(SLOWEST_CLOCK_THOUSANDTHS)
        .saturating_add(GONE_SLACK_MS)
}

/// Time without a heartbeat after which a worker may count as gone.
pub(super) fn silence_timeout_ms(heartbeat_ms: Millis) -> Millis {
    heartbeat_ms.saturating_mul(SILENT_HALF_INTERVALS) / 2
}
