//! Ties an answer to its call: each call carries a number, and its answer must bear the same one. Without it, what comes next
//! on a kept connection would be taken for the answer, also where the peer had answered the call before it twice.

use ::http::header::{HeaderMap, HeaderName, HeaderValue};
use std::cell::Cell;

/// The header that carries the number, both ways. Peers of an earlier release do not return it.
pub const CALL_ID: HeaderName = HeaderName::from_static("streamusher-call");

/// Numbers the calls of one client, and so of each of its connections.
#[derive(Debug, Default)]
pub(super) struct CallIds {
    last: Cell<u64>,
}

impl CallIds {
    /// Gives a call the next number.
    pub(super) fn stamp(&self, call: &mut HeaderMap) -> HeaderValue {
        let next = self.last.get().wrapping_add(1);
        self.last.set(next);
        let id = HeaderValue::from(next);
        call.insert(CALL_ID, id.clone());
        id
    }
}

/// Whether an answer is not that of another call.
pub(super) fn belongs(answer: &HeaderMap, id: &HeaderValue) -> bool {
    cfg!(feature = "mutant-call-id") || answer.get(CALL_ID).is_none_or(|returned| returned == id)
}

/// Returns the number of a call with its answer.
pub(super) fn return_id(id: Option<HeaderValue>, answer: &mut HeaderMap) {
    if let Some(id) = id {
        answer.insert(CALL_ID, id);
    }
}
