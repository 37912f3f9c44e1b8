//! Search for an ancestor that is connected to the root, by requests to one ancestor after the other.

use super::message::RelayPeer;
use super::timing::{MAX_SEARCH_BACKOFF_MS, MIN_SEARCH_BACKOFF_MS, REQUEST_TIMEOUT_MS};
use streamusher_protocol::Millis;

/// State of a search in progress.
#[derive(Clone, Debug)]
pub(super) struct AncestorSearch {
    /// Index of the ancestor that is tried next; past the last ancestor if a pause is next.
    next_index: usize,
    due_at: Millis,
    backoff_ms: Millis,
}

impl AncestorSearch {
    /// Starts a search at `now`, with the ancestor at `first_index`.
    pub(super) fn new(first_index: usize, now: Millis) -> AncestorSearch {
        AncestorSearch {
            next_index: first_index,
            due_at: now,
            backoff_ms: MIN_SEARCH_BACKOFF_MS,
        }
    }

    /// Returns when [`AncestorSearch::take_due`] has to be called next.
    pub(super) fn due_at(&self) -> Millis {
        self.due_at
    }

    /// Returns the ancestor to which a request has to be sent now. The last ancestor is followed by a pause,
    /// which doubles from round to round, and then by the parent again.
    pub(super) fn take_due(&mut self, now: Millis, ancestors: &[RelayPeer]) -> Option<RelayPeer> {
        if now < self.due_at {
            return None;
        }
        if let Some(ancestor) = ancestors.get(self.next_index) {
            self.next_index += 1;
            self.due_at = now + REQUEST_TIMEOUT_MS;
            return Some(ancestor.clone());
        }
        self.next_index = 0;
        self.due_at = now + self.backoff_ms;
        self.backoff_ms = MAX_SEARCH_BACKOFF_MS.min(self.backoff_ms * 2);
        None
    }
}
