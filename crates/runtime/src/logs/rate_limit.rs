//! Rate limits for log lines, so that a flood of one kind of line costs little and does not hide other kinds.

use std::cell::Cell;
use std::collections::HashMap;
use streamusher_protocol::Millis;

/// Maximum number of lines per call site within [`CALL_SITE_WINDOW_MS`]. It admits a burst of real changes
/// and stops a flood.
const MAX_LINES_PER_CALL_SITE: u32 = 20;
/// Length of the window in which the lines of a call site are counted.
const CALL_SITE_WINDOW_MS: Millis = 10_000;

/// A place in the source that writes log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallSite {
    /// Path of the module that contains the call site.
    pub module: &'static str,
    /// Line number within the source file.
    pub line: u32,
}

/// Limits the number of lines that each call site writes per window of time.
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
    /// Returns `None` if a line of `call_site` must be suppressed at `now`. Otherwise returns how many lines
    /// of the call site were suppressed since the last one that was written.
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

/// Limits one kind of line to one per interval, and counts the suppressed lines.
#[derive(Debug)]
pub struct RateLimiter {
    interval_ms: Millis,
    next_at: Cell<Millis>,
    suppressed: Cell<u64>,
}

impl RateLimiter {
    /// Creates a limiter that permits one line per `interval_ms`.
    pub const fn new(interval_ms: Millis) -> RateLimiter {
        RateLimiter {
            interval_ms,
            next_at: Cell::new(0),
            suppressed: Cell::new(0),
        }
    }

    /// Returns `None` if a line must be suppressed at `now`. Otherwise returns how many were suppressed since
    /// the last one that was written.
    pub fn allow(&self, now: Millis) -> Option<u64> {
        if now < self.next_at.get() {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.next_at.set(now.saturating_add(self.interval_ms));
        Some(self.suppressed.replace(0))
    }
}
