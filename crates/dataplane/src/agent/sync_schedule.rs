//! When the agent syncs with the primary.
//!
//! A sync is a long poll: one always waits at the primary. News about the worker makes a second one, which ends the first.

use streamusher_protocol::Millis;

/// Shortest time between two syncs: each waits for a commit of about 13 ms anyway.
const MIN_SYNC_INTERVAL_MS: Millis = 15;

/// Syncs in flight at once: the one that waits, the one that ends it, and one whose response was lost.
const MAX_SYNCS_IN_FLIGHT: usize = 3;

/// Backoff after a failed sync, doubled with each further failure up to the maximum.
const INITIAL_BACKOFF_MS: Millis = 50;
const MAX_BACKOFF_MS: Millis = 200;

/// Exponent at which doubling ends, far above the maximum.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

#[derive(Clone, Copy, Debug)]
struct InFlightSync {
    sequence: u64,
    sent_at: Millis,
}

/// The syncs in flight, and when the next one is due.
#[derive(Debug, Default)]
pub(super) struct SyncSchedule {
    /// Sequence of the newest sync; 0 before the first.
    newest: u64,
    in_flight: Vec<InFlightSync>,
    last_sent_at: Option<Millis>,
    has_news: bool,
    consecutive_failures: u32,
    retry_at: Millis,
}

impl SyncSchedule {
    /// There is something that the primary must learn now.
    pub(super) fn request_sync(&mut self) {
        self.has_news = true;
    }

    /// The sequence that the next sync will have.
    pub(super) fn next_sequence(&self) -> u64 {
        self.newest + 1
    }

    /// Syncs since the start.
    pub(super) fn sent_count(&self) -> u64 {
        self.newest
    }

    pub(super) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// When the next sync is due; none while the newest one waits at the primary and there is no news.
    pub(super) fn next_sync_at(&self) -> Option<Millis> {
        let is_full = self.in_flight.len() >= MAX_SYNCS_IN_FLIGHT;
        let newest_waits = self.position_of(self.newest).is_some();
        if is_full || (newest_waits && !self.has_news) {
            return None;
        }
        let paced = self
            .last_sent_at
            .map_or(0, |at| at.saturating_add(MIN_SYNC_INTERVAL_MS));
        Some(paced.max(self.retry_at))
    }

    /// Begins a sync and gives its sequence.
    pub(super) fn begin(&mut self, now: Millis) -> u64 {
        self.newest += 1;
        self.has_news = false;
        self.last_sent_at = Some(now);
        self.in_flight.push(InFlightSync {
            sequence: self.newest,
            sent_at: now,
        });
        self.newest
    }

    /// A sync got its response. Gives when it was sent; none where it is not in flight.
    pub(super) fn on_response(&mut self, sequence: u64) -> Option<Millis> {
        let sync = self.remove(sequence)?;
        self.consecutive_failures = 0;
        self.retry_at = 0;
        Some(sync.sent_at)
    }

    /// A sync failed. Its report is sent again after a backoff, unless a newer sync carries it already.
    pub(super) fn on_failed(&mut self, now: Millis, sequence: u64) {
        if self.remove(sequence).is_none() || sequence != self.newest {
            return;
        }
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff_ms = INITIAL_BACKOFF_MS
            .saturating_mul(1 << doublings)
            .min(MAX_BACKOFF_MS);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.retry_at = now.saturating_add(backoff_ms);
        self.has_news = true;
    }

    fn remove(&mut self, sequence: u64) -> Option<InFlightSync> {
        let position = self.position_of(sequence)?;
        Some(self.in_flight.swap_remove(position))
    }

    fn position_of(&self, sequence: u64) -> Option<usize> {
        self.in_flight
            .iter()
            .position(|sync| sync.sequence == sequence)
    }
}
