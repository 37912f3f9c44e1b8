//! Schedule of the agent's syncs with the primary.
//!
//! A sync is a long poll: the primary always holds one. A change at the worker triggers a second one, which
//! ends the first.

use std::sync::Arc;
use streamusher_protocol::Millis;

/// Shortest time between two syncs: each waits for a commit of about 13 ms in any case.
const MIN_SYNC_INTERVAL_MS: Millis = 15;

/// Maximum number of syncs in flight: the one that the primary holds, the one that ends it, and one whose
/// response was lost.
const MAX_SYNCS_IN_FLIGHT: usize = 3;

/// Backoff after a failed sync; it doubles with each further failure, up to the maximum.
const INITIAL_BACKOFF_MS: Millis = 50;
const MAX_BACKOFF_MS: Millis = 200;

/// Exponent at which doubling stops, far above the one at which the maximum applies.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// A sync without a response.
#[derive(Clone, Debug)]
pub(super) struct InFlightSync {
    sequence: u64,
    /// Time at which the sync was sent.
    pub(super) sent_at: Millis,
    /// Instance id of the worker that the sync reports.
    pub(super) reported_instance: Option<Arc<str>>,
}

/// The syncs in flight, and when the next one is due.
#[derive(Debug, Default)]
pub(super) struct SyncSchedule {
    /// Sequence number of the newest sync; 0 before the first.
    newest_sequence: u64,
    in_flight: Vec<InFlightSync>,
    last_sent_at: Option<Millis>,
    is_sync_requested: bool,
    /// Whether the primary has answered a sync, and none has failed since.
    is_in_contact: bool,
    consecutive_failures: u32,
    retry_at: Millis,
}

impl SyncSchedule {
    /// Requests a sync as soon as the schedule allows, because the primary must receive a change immediately.
    pub(super) fn request_sync(&mut self) {
        self.is_sync_requested = true;
    }

    /// Sequence number of the next sync.
    pub(super) fn next_sequence(&self) -> u64 {
        self.newest_sequence + 1
    }

    /// Number of syncs sent since the agent started.
    pub(super) fn sent_count(&self) -> u64 {
        self.newest_sequence
    }

    pub(super) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Time at which the next sync is due. `None` while the maximum number is in flight, or while the newest
    /// sync is in flight and none was requested.
    pub(super) fn next_sync_at(&self) -> Option<Millis> {
        let is_full = self.in_flight.len() >= MAX_SYNCS_IN_FLIGHT;
        let newest_is_in_flight = self.position_of(self.newest_sequence).is_some();
        if is_full || (newest_is_in_flight && !self.is_sync_requested) {
            return None;
        }
        let earliest_at = self
            .last_sent_at
            .map_or(0, |at| at.saturating_add(MIN_SYNC_INTERVAL_MS));
        Some(earliest_at.max(self.retry_at))
    }

    /// Records a new sync as in flight and returns its sequence number. `reported_instance` is the id
    /// of the worker that it reports.
    pub(super) fn begin(&mut self, now: Millis, reported_instance: Option<Arc<str>>) -> u64 {
        self.newest_sequence += 1;
        self.is_sync_requested = false;
        self.last_sent_at = Some(now);
        self.in_flight.push(InFlightSync {
            sequence: self.newest_sequence,
            sent_at: now,
            reported_instance,
        });
        self.newest_sequence
    }

    /// Records the response to a sync and returns the sync; `None` if it is not in flight.
    pub(super) fn on_response(&mut self, sequence: u64) -> Option<InFlightSync> {
        let sync = self.remove(sequence)?;
        self.is_in_contact = true;
        self.consecutive_failures = 0;
        self.retry_at = 0;
        Some(sync)
    }

    /// Whether the primary has answered a sync, and none has failed since.
    pub(super) fn is_in_contact(&self) -> bool {
        self.is_in_contact
    }

    /// Records that a sync failed. Its report is sent again after a backoff, unless a newer sync already
    /// carries it.
    pub(super) fn on_failed(&mut self, now: Millis, sequence: u64) {
        if self.remove(sequence).is_none() || sequence != self.newest_sequence {
            return;
        }
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff_ms = INITIAL_BACKOFF_MS
            .saturating_mul(1 << doublings)
            .min(MAX_BACKOFF_MS);
        self.is_in_contact = false;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.retry_at = now.saturating_add(backoff_ms);
        self.is_sync_requested = true;
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
