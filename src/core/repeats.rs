//! Keyed operations that may have run: what is remembered of them, so that a repeat does not run again.

use super::{Answer, Core};
use crate::interface::{JobId, Micros};

/// Most results kept for repeats of keyed operations, in bytes.
pub(super) const KEPT_BYTES: usize = 8 << 20;
/// Most keyed operations remembered.
const KEPT_KEYS: usize = 16_384;

/// A keyed operation that may have run, or runs: a repeat of it must not run again inside the window.
pub(super) struct Kept {
    pub(super) job: JobId,
    pub(super) until: Micros,
    pub(super) answer: Option<Answer>,
}

impl Core {
    /// Nothing more is owed for an operation. A keyed one that may have run stays known for its window.
    pub(super) fn close(&mut self, now: Micros, job: JobId, answer: Answer) {
        let Some(entered) = self.operations.get_mut(&job) else {
            return;
        };
        entered.answered = true;
        entered.right = None;
        self.owed -= 1;
        let Some(key) = entered.operation.idempotency_key.clone() else {
            return;
        };
        let key = (entered.operation.class.0, key);
        let Some(kept) = self
            .kept
            .get_mut(&key)
            .filter(|k| k.job == job && k.answer.is_none())
        else {
            return;
        };
        let Some(first) = entered.steps.iter().find(|s| !s.ended || s.ran) else {
            self.kept.remove(&key);
            return;
        };
        // The window runs from the first attempt that may have run, and one may run on as long as its client
        // would have waited.
        let window = self.site.windows[key.0 as usize];
        kept.until = first.sent.saturating_add(window).max(now);
        let served =
            matches!(&answer, Answer::Served(r) if self.kept_bytes + r.len() <= KEPT_BYTES);
        let answer = if served {
            answer
        } else {
            Answer::Failed { late: false }
        };
        if let Answer::Served(result) = &answer {
            self.kept_bytes += result.len();
        }
        kept.answer = Some(answer);
    }

    /// Bounds what is remembered of keyed operations: those past their window, looked at when many are kept.
    pub(super) fn forget_old_keys(&mut self, now: Micros) {
        if self.kept.len() < KEPT_KEYS && self.kept_bytes < KEPT_BYTES / 2 {
            return;
        }
        self.kept.retain(|_, k| now < k.until);
        let size = |k: &Kept| {
            if let Some(Answer::Served(r)) = &k.answer {
                r.len()
            } else {
                0
            }
        };
        self.kept_bytes = self.kept.values().map(size).sum();
    }
}
