//! The clocks of a process: a steady one, and a time of day that no later step of the machine's clock changes.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use streamusher_protocol::{Millis, Now};

struct Start {
    steady: Instant,
    unix: Millis,
}

static START: OnceLock<Start> = OnceLock::new();

/// Milliseconds since the process first asked for the time; never steps.
pub fn steady() -> Millis {
    elapsed(start())
}

/// Both clocks. The time of day is the machine's at the first reading plus the steady time since: a machine's clock that
/// is stepped later does not matter.
pub fn now() -> Now {
    let start = start();
    let steady_ms = elapsed(start);
    Now {
        steady_ms,
        unix_ms: start.unix.saturating_add(steady_ms),
    }
}

fn start() -> &'static Start {
    START.get_or_init(|| Start {
        steady: Instant::now(),
        unix: time_of_day(),
    })
}

fn elapsed(start: &Start) -> Millis {
    start.steady.elapsed().as_millis() as Millis
}

fn time_of_day() -> Millis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as Millis)
}
