//! The clocks of a process: a steady one, and a time of day that no later step of the machine's clock changes.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use streamusher_protocol::{Millis, Now};

/// Both clocks at the first reading.
struct ClockStart {
    steady: Instant,
    unix_ms: Millis,
}

static START: OnceLock<ClockStart> = OnceLock::new();

/// Milliseconds since the process first read a clock. Never steps.
pub fn steady() -> Millis {
    steady_since(start())
}

/// Both clocks. The time of day is the machine's at the first reading plus the steady time since: later steps of the
/// machine's clock have no effect.
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
