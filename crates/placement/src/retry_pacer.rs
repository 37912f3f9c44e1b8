//! Rate limit on the retries of a service's pending units.

use streamusher_protocol::Millis;

/// Length of a window, in milliseconds.
const WINDOW_MS: Millis = 100;
/// Maximum number of retries per service and window.
const RETRIES_PER_WINDOW: u32 = 64;

/// Reserves a time for each retry, first come, first served, so that each window holds a bounded number of
/// them.
///
/// A primary with a backlog must not spend its processor time on retries: a unit that finds no capacity costs
/// more than one that starts, and capacity that becomes free is claimed by the units' copies anyway.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryPacer {
    /// Start of the last window in which a retry is reserved.
    window_at: Millis,
    retries: u32,
}

impl RetryPacer {
    /// Reserves the time of one more retry: now, or the start of the first window with remaining retries.
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
