//! How long a task that lasts rests before it is started again.

use streamusher_protocol::Millis;

/// Failures in a row after which a restart waits for the first time.
const FAILURES_WITHOUT_PAUSE: u32 = 1;
/// The first pause; doubled with each further failure.
const FIRST_PAUSE_MS: Millis = 100;
/// The longest pause: a task that lasts earns by being at work, so it is tried often.
const LONGEST_PAUSE_MS: Millis = 2_000;

/// How long a task that lasts waits before it is started again, after so many failures in a row.
pub(crate) fn restart_pause(failed: u32) -> Millis {
    if failed <= FAILURES_WITHOUT_PAUSE {
        return 0;
    }
    let doublings = (failed - FAILURES_WITHOUT_PAUSE - 1).min(8);
    (FIRST_PAUSE_MS << doublings).min(LONGEST_PAUSE_MS)
}
