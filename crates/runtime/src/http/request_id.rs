//! Ties a response to its request: each request carries a number, and its response must return it.
//!
//! Without it the next response on a kept connection would be taken for the one that is awaited, even where the peer has
//! answered an earlier request twice.

use ::http::header::{HeaderMap, HeaderName, HeaderValue};
use std::cell::Cell;

/// The header that carries the number, both ways. Peers of an earlier release do not return it.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("streamusher-call");

/// Numbers the requests of one client, and so those of each of its connections.
#[derive(Debug, Default)]
pub(super) struct RequestIds {
    last: Cell<u64>,
}

impl RequestIds {
    /// Gives a request the next number.
    pub(super) fn stamp(&self, request: &mut HeaderMap) -> HeaderValue {
        let next = self.last.get().wrapping_add(1);
        self.last.set(next);
        let id = HeaderValue::from(next);
        request.insert(REQUEST_ID_HEADER, id.clone());
        id
    }
}

/// Whether a response may be the one to the request with this number: it returns that number, or none.
pub(super) fn matches(response: &HeaderMap, id: &HeaderValue) -> bool {
    cfg!(feature = "mutant-call-id")
        || response
            .get(REQUEST_ID_HEADER)
            .is_none_or(|returned| returned == id)
}

/// Returns the number of a request with its response.
pub(super) fn return_id(id: Option<HeaderValue>, response: &mut HeaderMap) {
    if let Some(id) = id {
        response.insert(REQUEST_ID_HEADER, id);
    }
}
