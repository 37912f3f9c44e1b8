//! Queue of disk changes: one change is in flight at a time, later changes are merged, and effects wait until
//! the changes before them are synced.
//!
//! Invariant: a message reports only state that the member has synced. An effect, such as the response to a
//! prepare request, is queued behind the changes that it depends on and is released when they are synced.

use crate::acceptor::WitnessState;
use crate::batch::LogPosition;
use crate::events::Output;
use crate::limits::UNFIT_DISK_SLOW_SYNCS;
use crate::message::Message;
use crate::storage::DiskChange;
use crate::timing::{DISK_RETRY_INTERVAL_MS, SLOW_SYNC_MS, SYNC_TIMEOUT_MS};
use std::collections::VecDeque;
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// An action to carry out when all changes queued before it are synced.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// The start of the process is recorded on disk: the member may send messages.
    Started,
    /// Sends a message.
    Send { to: Arc<str>, message: Message },
    /// The record that elected this member is synced: its term begins.
    BeginTerm { epoch: u64 },
    /// Sends the synced position to the primary.
    Acknowledge,
    /// The record of this epoch is synced.
    RecordSynced { epoch: u64 },
}

/// An effect, and the number of the change that must be synced before it.
#[derive(Clone, Debug)]
struct WaitingEffect {
    after_change: u64,
    effect: Effect,
}

/// The change that the caller is writing and syncing.
#[derive(Clone, Debug)]
struct InFlightChange {
    ticket: u64,
    last_change: u64,
    change: DiskChange,
    since_ms: Millis,
}

/// Disk changes that are in flight or queued, and the effects that wait for them.
#[derive(Clone, Debug, Default)]
pub(crate) struct DiskQueue {
    in_flight: Option<InFlightChange>,
    /// All changes that wait to be written, merged into one.
    queued: Option<DiskChange>,
    last_ticket: u64,
    /// Number of the newest change.
    last_change: u64,
    /// Number of the newest change that is synced.
    synced_change: u64,
    retry_at_ms: Millis,
    failing_since_ms: Option<Millis>,
    consecutive_slow_syncs: u32,
    last_sync_ms: Millis,
    effects: VecDeque<WaitingEffect>,
}

impl DiskQueue {
    /// Queues a replacement of the witness state.
    pub(crate) fn put_witness(&mut self, witness: &WitnessState) {
        self.put(DiskChange {
            witness: Some(witness.clone()),
            ..DiskChange::default()
        });
    }

    /// Queues the writes of a batch, after which the state is at this position.
    pub(crate) fn put_writes(&mut self, position: LogPosition, writes: &[Write]) {
        self.put(DiskChange {
            position: Some(position),
            writes: writes.to_vec(),
            ..DiskChange::default()
        });
    }

    /// Queues a replacement of the whole replicated state.
    pub(crate) fn put_snapshot(&mut self, position: LogPosition, writes: Vec<Write>) {
        self.put(DiskChange {
            position: Some(position),
            writes,
            replace_all: true,
            witness: None,
        });
    }

    fn put(&mut self, change: DiskChange) {
        self.last_change += 1;
        match &mut self.queued {
            Some(queued) => merge(queued, change),
            None => self.queued = Some(change),
        }
    }

    /// Queues an effect that is carried out when all changes queued so far are synced.
    pub(crate) fn queue_effect(&mut self, effect: Effect) {
        self.effects.push_back(WaitingEffect {
            after_change: self.last_change,
            effect,
        });
    }

    /// Removes and returns the next effect whose changes are synced.
    pub(crate) fn take_ready_effect(&mut self) -> Option<Effect> {
        let waiting = self.effects.front()?;
        let is_synced = waiting.after_change <= self.synced_change;
        if !is_synced && !cfg!(feature = "mutant-unsynced") {
            return None;
        }
        self.effects.pop_front().map(|waiting| waiting.effect)
    }

    /// Starts the next change, if none is in flight and no retry delay is pending.
    pub(crate) fn flush(&mut self, now_ms: Millis) -> Option<Output> {
        if self.in_flight.is_some() || now_ms < self.retry_at_ms {
            return None;
        }
        let change = self.queued.take()?;
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.in_flight = Some(InFlightChange {
            ticket,
            last_change: self.last_change,
            change: change.clone(),
            since_ms: now_ms,
        });
        Some(Output::Persist { ticket, change })
    }

    /// Records that the change with this ticket is synced. Returns the position that the change has set, if
    /// it has set one.
    pub(crate) fn on_persisted(&mut self, now_ms: Millis, ticket: u64) -> Option<LogPosition> {
        let synced = self.take_in_flight(ticket)?;
        self.synced_change = synced.last_change;
        self.failing_since_ms = None;
        self.record_sync_time(now_ms.saturating_sub(synced.since_ms));
        synced.change.position
    }

    fn record_sync_time(&mut self, took_ms: Millis) {
        self.last_sync_ms = took_ms;
        if took_ms > SYNC_TIMEOUT_MS {
            self.consecutive_slow_syncs = UNFIT_DISK_SLOW_SYNCS;
        } else if took_ms > SLOW_SYNC_MS {
            self.consecutive_slow_syncs += 1;
        } else {
            self.consecutive_slow_syncs = 0;
        }
    }

    /// Handles a failed change with this ticket. The change may or may not have reached the disk, so it is
    /// queued again before all others.
    pub(crate) fn on_persist_failed(&mut self, now_ms: Millis, ticket: u64) {
        let Some(failed) = self.take_in_flight(ticket) else {
            return;
        };
        let mut change = failed.change;
        if let Some(queued) = self.queued.take() {
            merge(&mut change, queued);
        }
        self.queued = Some(change);
        self.retry_at_ms = now_ms + DISK_RETRY_INTERVAL_MS;
        self.failing_since_ms.get_or_insert(now_ms);
    }

    fn take_in_flight(&mut self, ticket: u64) -> Option<InFlightChange> {
        self.in_flight.take_if(|change| change.ticket == ticket)
    }

    /// Duration of a sync: that of the last sync, or of the one in flight if it already takes longer.
    pub(crate) fn sync_time_ms(&self, now_ms: Millis) -> Millis {
        let current_ms = self
            .in_flight
            .as_ref()
            .map_or(0, |change| now_ms.saturating_sub(change.since_ms));
        current_ms.max(self.last_sync_ms)
    }

    /// Whether the disk is too slow or fails too long for a primary.
    pub(crate) fn is_unfit_for_primary(&self, now_ms: Millis) -> bool {
        let exceeds_timeout = |since_ms: Millis| now_ms.saturating_sub(since_ms) > SYNC_TIMEOUT_MS;
        let is_stuck = self
            .in_flight
            .as_ref()
            .is_some_and(|change| exceeds_timeout(change.since_ms));
        let is_failing = self.failing_since_ms.is_some_and(exceeds_timeout);
        is_stuck || is_failing || self.consecutive_slow_syncs >= UNFIT_DISK_SLOW_SYNCS
    }

    /// Handles a stall of this process: the time of the stall does not count as sync time.
    pub(crate) fn on_process_stalled(&mut self, now_ms: Millis) {
        if let Some(change) = &mut self.in_flight {
            change.since_ms = now_ms;
        }
    }
}

/// Appends the second change to the first one.
fn merge(first: &mut DiskChange, second: DiskChange) {
    if second.replace_all {
        first.writes.clear();
        first.replace_all = true;
    }
    first.writes.extend(second.writes);
    first.witness = second.witness.or(first.witness.take());
    first.position = second.position.or(first.position);
}
