//! The clocks of a process: a monotonic clock, and a time of day that is unaffected by later steps of the
//! machine's clock.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use streamusher_protocol::{Millis, Now};

/// The values of both clocks when the process first read one of them.
struct ClockStart {
    steady: Instant,
    unix_ms: Millis,
}

static START: OnceLock<ClockStart> = OnceLock::new();

/// Returns the milliseconds since the process first read a clock. Monotonic: it never steps.
pub fn steady() -> Millis {
    steady_since(start())
}

/// Reads both clocks. The time of day is the machine's time of day at the first reading plus the monotonic
/// time elapsed since then, so later steps of the machine's clock have no effect.
pub fn now() -> Now {
    let start = start();
    let steady_ms = steady_since(start);
    Now {
        steady_ms,
        unix_ms: start.unix_ms.saturating_add(steady_ms),
    }
}

fn start() -> &'static ClockStart {
    START.get_or_init(|| ClockStart {
        steady: Instant::now(),
        unix_ms: millis(
            SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
        ),
    })
}

fn steady_since(start: &ClockStart) -> Millis {
    millis(start.steady.elapsed())
}

fn millis(duration: Duration) -> Millis {
    Millis::try_from(duration.as_millis()).unwrap_or(Millis::MAX)
}
