//! Rate limits of log lines, so that a storm of one kind costs little and hides no other kind.

use std::cell::Cell;
use std::collections::HashMap;
use streamusher_protocol::Millis;

/// Lines that one call site may write within [`CALL_SITE_WINDOW_MS`]: a burst of real changes passes, a storm does not.
const MAX_LINES_PER_CALL_SITE: u32 = 20;
/// The window in which a call site's lines are counted.
const CALL_SITE_WINDOW_MS: Millis = 10_000;

/// A place in the source that writes lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallSite {
    /// Path of its module.
    pub module: &'static str,
    /// Its line in the file.
    pub line: u32,
}

/// Limits the lines of each call site to a number in a window of time.
#[derive(Debug, Default)]
pub struct CallSiteLimiter {
    windows: HashMap<CallSite, Window>,
}

#[derive(Debug, Default)]
struct Window {
    ends_at: Millis,
    written: u32,
    suppressed: u64,
}

impl CallSiteLimiter {
    /// Whether a line of `call_site` may be written at `now`: if so, how many were suppressed since its last one.
    pub fn allow(&mut self, now: Millis, call_site: CallSite) -> Option<u64> {
        let window = self.windows.entry(call_site).or_default();
        if now >= window.ends_at {
            window.ends_at = now.saturating_add(CALL_SITE_WINDOW_MS);
            window.written = 0;
        }
        if window.written >= MAX_LINES_PER_CALL_SITE {
            window.suppressed = window.suppressed.saturating_add(1);
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}

/// Limits one kind of line to one in an interval, and counts those suppressed.
#[derive(Debug)]
pub struct RateLimiter {
    interval_ms: Millis,
    next_at: Cell<Millis>,
    suppressed: Cell<u64>,
}

impl RateLimiter {
    /// At most one line in `interval_ms`.
    pub const fn new(interval_ms: Millis) -> RateLimiter {
        RateLimiter {
            interval_ms,
            next_at: Cell::new(0),
            suppressed: Cell::new(0),
        }
    }

    /// Whether a line may be written at `now`: if so, how many were suppressed since the last one.
    pub fn allow(&self, now: Millis) -> Option<u64> {
        if now < self.next_at.get() {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.next_at.set(now.saturating_add(self.interval_ms));
        Some(self.suppressed.replace(0))
    }
}
