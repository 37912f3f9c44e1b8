//! Keyed operations that may have run, retained so that a repeat does not run again.

use super::{Answer, Core};
use crate::interface::{JobId, Micros};

/// Maximum total size of the results retained for repeats of keyed operations, in bytes.
pub(super) const MAX_RETAINED_BYTES: usize = 8 << 20;
/// Number of retained keyed operations at which expired ones are evicted.
const EVICTION_MIN_KEYS: usize = 16_384;

/// A keyed operation that runs or may have run: a repeat of it must not run again within the window.
pub(super) struct KeyedOperation {
    pub(super) job: JobId,
    pub(super) until: Micros,
    pub(super) answer: Option<Answer>,
}

impl Core {
    /// Marks an operation as answered. A keyed one that may have run is retained for its window.
    pub(super) fn close(&mut self, now: Micros, job: JobId, answer: Answer) {
        let Some(open) = self.operations.get_mut(&job) else {
            return;
        };
        open.answered = true;
        open.quota_permit = None;
        self.unanswered -= 1;
        let Some(key) = open.operation.idempotency_key.clone() else {
            return;
        };
        let key = (open.operation.class.0, key);
        let Some(keyed) = self
            .keyed_operations
            .get_mut(&key)
            .filter(|k| k.job == job && k.answer.is_none())
        else {
            return;
        };
        let Some(first) = open.steps.iter().find(|s| !s.ended || s.may_have_run) else {
            self.keyed_operations.remove(&key);
            return;
        };
        // The window runs from the first attempt that may have run, and an attempt may run on for as long as
        // its client would have waited.
        let window = self.site.deduplication_windows[key.0 as usize];
        keyed.until = first.sent_at.saturating_add(window).max(now);
        let served = matches!(&answer, Answer::Served(r) if self.retained_bytes + r.len() <= MAX_RETAINED_BYTES);
        let answer = if served {
            answer
        } else {
            Answer::Failed { late: false }
        };
        if let Answer::Served(result) = &answer {
            self.retained_bytes += result.len();
        }
        keyed.answer = Some(answer);
    }

    /// Bounds the retained keyed operations: evicts those past their window once many are retained, or once
    /// the results take half of [`MAX_RETAINED_BYTES`].
    pub(super) fn evict_expired_keys(&mut self, now: Micros) {
        if self.keyed_operations.len() < EVICTION_MIN_KEYS
            && self.retained_bytes < MAX_RETAINED_BYTES / 2
        {
            return;
        }
        self.keyed_operations.retain(|_, k| now < k.until);
        let size = |k: &KeyedOperation| {
            if let Some(Answer::Served(r)) = &k.answer {
                r.len()
            } else {
                0
            }
        };
        self.retained_bytes = self.keyed_operations.values().map(size).sum();
    }
}
