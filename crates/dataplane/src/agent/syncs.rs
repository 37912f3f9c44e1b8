//! When the agent calls the primary: one call always waits there, news makes a second one.

use streamusher_protocol::Millis;

/// Least time between two syncs: each waits for a commit of some 13 ms anyway.
const LEAST_INTERVAL_MS: Millis = 15;

/// Syncs under way at once: the one that waits, the one that ends it, and one whose answer was lost.
const MOST_UNDER_WAY: usize = 3;

/// Waiting before a retry, doubled up to the longest.
const FIRST_BACKOFF_MS: Millis = 50;
const LONGEST_BACKOFF_MS: Millis = 200;

#[derive(Debug, Default)]
pub(super) struct Syncs {
    /// Sequence of the newest sync; 0 before the first.
    newest: u64,
    /// Sequence and time of sending.
    under_way: Vec<(u64, Millis)>,
    last_sent_at: Option<Millis>,
    news: bool,
    failures: u32,
    retry_at: Millis,
}

impl Syncs {
    /// Something must be told now.
    pub(super) fn note_news(&mut self) {
        self.news = true;
    }

    /// The sequence that the next sync will have.
    pub(super) fn next_sequence(&self) -> u64 {
        self.newest + 1
    }

    pub(super) fn count(&self) -> u64 {
        self.newest
    }

    pub(super) fn under_way(&self) -> usize {
        self.under_way.len()
    }

    /// When the next sync is due; none while the one under way waits and there is no news.
    pub(super) fn due_at(&self) -> Option<Millis> {
        let waits = self
            .under_way
            .iter()
            .any(|(sequence, _)| *sequence == self.newest);
        if self.under_way.len() >= MOST_UNDER_WAY || (waits && !self.news) {
            return None;
        }
        let paced = self
            .last_sent_at
            .map_or(0, |at| at.saturating_add(LEAST_INTERVAL_MS));
        Some(paced.max(self.retry_at))
    }

    /// Begins a sync and gives its sequence.
    pub(super) fn begin(&mut self, now: Millis) -> u64 {
        self.newest += 1;
        self.news = false;
        self.last_sent_at = Some(now);
        self.under_way.push((self.newest, now));
        self.newest
    }

    /// A sync was answered; gives when it was sent, or none if it is not under way.
    pub(super) fn answered(&mut self, sequence: u64) -> Option<Millis> {
        let sent_at = self.end(sequence)?;
        self.failures = 0;
        self.retry_at = 0;
        Some(sent_at)
    }

    /// A sync failed: what it told is told again soon, unless a newer one does already.
    pub(super) fn failed(&mut self, now: Millis, sequence: u64) {
        if self.end(sequence).is_none() || sequence != self.newest {
            return;
        }
        let backoff = FIRST_BACKOFF_MS
            .saturating_mul(1 << self.failures.min(8))
            .min(LONGEST_BACKOFF_MS);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now.saturating_add(backoff);
        self.news = true;
    }

    fn end(&mut self, sequence: u64) -> Option<Millis> {
        let place = self
            .under_way
            .iter()
            .position(|(under_way, _)| *under_way == sequence)?;
        Some(self.under_way.swap_remove(place).1)
    }
}
