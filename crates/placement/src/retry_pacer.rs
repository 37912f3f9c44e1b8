//! Paces the retries of a service's pending units.

use streamusher_protocol::Millis;

/// Length of a window.
const WINDOW_MS: Millis = 100;
/// Retries of a service in one window.
const RETRIES_PER_WINDOW: u32 = 64;

/// Gives each retry a time, so that a window has a bounded number of them. Times are given first come, first served.
///
/// A primary with a backlog must not spend its processor on retries: a unit that finds no capacity costs more than one that
/// starts, and what becomes free is claimed by the units' copies.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryPacer {
    /// When the last window begins in which a retry has its time.
    window_at: Millis,
    retries: u32,
}

impl RetryPacer {
    /// The time of one more retry: now, or the beginning of the first window with fewer retries.
    pub(crate) fn reserve(&mut self, now: Millis) -> Millis {
        let window_ends_at = self.window_at.saturating_add(WINDOW_MS);
        if now >= window_ends_at {
            self.begin(now);
        } else if self.retries >= RETRIES_PER_WINDOW {
            self.begin(window_ends_at);
        }
        self.retries += 1;
        self.window_at.max(now)
    }

    fn begin(&mut self, window_at: Millis) {
        self.window_at = window_at;
        self.retries = 0;
    }
}
