//! What a primary knows of another member.

use crate::copy::OutgoingCopy;
use crate::times::{MOST_REPEAT_MS, REPEAT_MS, REPLICA_SILENCE_MS};
use crate::types::LogPosition;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// What a member says of itself with an acknowledgement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Acknowledged {
    /// The position that it has synced.
    pub position: LogPosition,
    /// It is about to end.
    pub leaving: bool,
    /// Epoch of the newest record on its disk.
    pub recorded: u64,
}

/// Another member, as the primary sees it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub address: Arc<str>,
    /// When its last acknowledgement came; the opening of the reign before the first.
    pub heard: Millis,
    /// Whether it has answered in this reign.
    pub answered: bool,
    /// When the newest keepalive that it acknowledged was sent.
    pub lease_from: Option<Millis>,
    /// What it has synced, once reported.
    pub position: Option<LogPosition>,
    /// The last batch sent.
    pub sent: u64,
    pub repeat_at: Millis,
    repeat_ms: Millis,
    /// Unacknowledged batches count from here at the earliest.
    pub excused_until: Millis,
    pub leaving: bool,
    /// Epoch of the newest record that is on its disk.
    pub recorded: u64,
    /// The newest record names it as a replica.
    pub is_replica: bool,
    /// It is not taken as a replica before.
    pub slow_until: Millis,
    /// It is being brought up to become a replica.
    pub learner: bool,
    pub copy: Option<OutgoingCopy>,
}

impl Peer {
    pub fn new(address: Arc<str>, now: Millis) -> Peer {
        Peer {
            address,
            heard: now,
            answered: false,
            lease_from: None,
            position: None,
            sent: 0,
            repeat_at: now,
            repeat_ms: REPEAT_MS,
            excused_until: now,
            leaving: false,
            recorded: 0,
            is_replica: false,
            slow_until: 0,
            learner: false,
            copy: None,
        }
    }

    pub fn responds(&self, now: Millis) -> bool {
        self.answered && now.saturating_sub(self.heard) < REPLICA_SILENCE_MS
    }

    /// The batch that it has synced last, where its state is that of this reign.
    pub fn acknowledged(&self, reign: u64) -> Option<u64> {
        let position = self.position.filter(|position| position.epoch == reign)?;
        Some(position.sequence)
    }

    /// Takes note of what it has synced; says whether that is news.
    pub fn report(&mut self, position: LogPosition, now: Millis) -> bool {
        if self.position.is_some_and(|known| known >= position) {
            return false;
        }
        self.position = Some(position);
        self.sent = self.sent.max(position.sequence);
        self.repeat_ms = REPEAT_MS;
        self.repeat_at = now + REPEAT_MS;
        true
    }

    /// Begins anew after the last acknowledged batch when the time for it has come.
    pub fn rewind(&mut self, now: Millis) {
        let Some(position) = self.position else {
            return;
        };
        if now < self.repeat_at || self.sent <= position.sequence {
            return;
        }
        self.sent = position.sequence;
        self.repeat_ms = (self.repeat_ms * 2).min(MOST_REPEAT_MS);
        self.repeat_at = now + self.repeat_ms;
    }

    /// The primary itself stood still for this long.
    pub fn excuse(&mut self, now: Millis, gap: Millis) {
        self.heard = (self.heard + gap).min(now);
        self.excused_until = now;
    }
}
