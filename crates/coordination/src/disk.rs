//! The disk as the state machine sees it: one change at a time, later ones merged, and effects that wait for them.

use crate::events::Output;
use crate::message::Message;
use crate::times::{DISK_RETRY_MS, SLOW_SYNCS, SLOW_SYNC_MS, STUCK_SYNC_MS};
use crate::types::{DiskChange, LogPosition, WitnessState};
use std::collections::VecDeque;
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// What happens when all changes so far are synced.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// The machine may speak.
    Started,
    /// A message goes out.
    Send { to: Arc<str>, message: Message },
    /// The reign of this epoch is opened.
    Open { epoch: u64 },
    /// The primary is told what is synced.
    Acknowledge,
    /// The record of this epoch is on the disk.
    Recorded { epoch: u64 },
}

#[derive(Clone, Debug)]
struct Flight {
    ticket: u64,
    mark: u64,
    change: DiskChange,
    since: Millis,
}

/// Changes on their way to the disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct DiskQueue {
    flight: Option<Flight>,
    waiting: Option<DiskChange>,
    last_ticket: u64,
    mark: u64,
    durable: u64,
    retry_at: Millis,
    failing_since: Option<Millis>,
    slow: u32,
    /// How long the last sync took.
    last_sync: Millis,
    effects: VecDeque<(u64, Effect)>,
}

impl DiskQueue {
    pub fn put_witness(&mut self, witness: &WitnessState) {
        self.put(DiskChange {
            witness: Some(witness.clone()),
            ..DiskChange::default()
        });
    }

    pub fn put_writes(&mut self, position: LogPosition, writes: &[Write]) {
        self.put(DiskChange {
            position: Some(position),
            writes: writes.to_vec(),
            ..DiskChange::default()
        });
    }

    pub fn put_copy(&mut self, position: LogPosition, writes: Vec<Write>) {
        self.put(DiskChange {
            position: Some(position),
            writes,
            replace_all: true,
            witness: None,
        });
    }

    fn put(&mut self, change: DiskChange) {
        self.mark += 1;
        match &mut self.waiting {
            Some(waiting) => merge(waiting, change),
            None => self.waiting = Some(change),
        }
    }

    /// `effect` comes when all that was put so far is synced.
    pub fn then(&mut self, effect: Effect) {
        self.effects.push_back((self.mark, effect));
    }

    /// The next effect that waits no longer.
    pub fn ready(&mut self) -> Option<Effect> {
        let (mark, _) = self.effects.front()?;
        if *mark > self.durable && !cfg!(feature = "mutant-unsynced") {
            return None;
        }
        self.effects.pop_front().map(|(_, effect)| effect)
    }

    /// Hands the next change to the disk, if it is free.
    pub fn flush(&mut self, now: Millis) -> Option<Output> {
        if self.flight.is_some() || now < self.retry_at {
            return None;
        }
        let change = self.waiting.take()?;
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.flight = Some(Flight {
            ticket,
            mark: self.mark,
            change: change.clone(),
            since: now,
        });
        Some(Output::Persist { ticket, change })
    }

    /// A change is synced; returns the position that it made.
    pub fn persisted(&mut self, now: Millis, ticket: u64) -> Option<LogPosition> {
        let flight = self.flight.take_if(|flight| flight.ticket == ticket)?;
        self.durable = flight.mark;
        self.failing_since = None;
        let took = now.saturating_sub(flight.since);
        self.last_sync = took;
        self.slow = if took > SLOW_SYNC_MS {
            self.slow + 1
        } else {
            0
        };
        if took > STUCK_SYNC_MS {
            self.slow = SLOW_SYNCS;
        }
        flight.change.position
    }

    /// A change was not made, or perhaps it was: it is made again, before all others.
    pub fn failed(&mut self, now: Millis, ticket: u64) {
        let Some(flight) = self.flight.take_if(|flight| flight.ticket == ticket) else {
            return;
        };
        let mut change = flight.change;
        if let Some(waiting) = self.waiting.take() {
            merge(&mut change, waiting);
        }
        self.waiting = Some(change);
        self.retry_at = now + DISK_RETRY_MS;
        self.failing_since.get_or_insert(now);
    }

    /// How long a sync takes now: the last one, or the present one where that already takes longer.
    pub fn sync_time(&self, now: Millis) -> Millis {
        let present = self
            .flight
            .as_ref()
            .map_or(0, |flight| now.saturating_sub(flight.since));
        present.max(self.last_sync)
    }

    /// Whether the disk is too slow for a primary.
    pub fn in_trouble(&self, now: Millis) -> bool {
        let stuck = |since: Millis| now.saturating_sub(since) > STUCK_SYNC_MS;
        let in_flight = self
            .flight
            .as_ref()
            .is_some_and(|flight| stuck(flight.since));
        in_flight || self.failing_since.is_some_and(stuck) || self.slow >= SLOW_SYNCS
    }

    /// After a standstill of the process: the time is not the disk's fault.
    pub fn excuse(&mut self, now: Millis) {
        if let Some(flight) = &mut self.flight {
            flight.since = now;
        }
    }
}

fn merge(first: &mut DiskChange, second: DiskChange) {
    if second.replace_all {
        first.writes.clear();
        first.replace_all = true;
    }
    first.writes.extend(second.writes);
    first.witness = second.witness.or(first.witness.take());
    first.position = second.position.or(first.position);
}
