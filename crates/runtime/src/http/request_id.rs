//! Matches responses to requests: each request carries an ID in a header, and its response must return that
//! ID.
//!
//! Without the ID, a client would take the next response on a persistent connection for the one it awaits,
//! even if the peer had answered an earlier request twice.

use ::http::header::{HeaderMap, HeaderName, HeaderValue};
use std::cell::Cell;

/// The header that carries the request ID in requests and responses. Peers of an earlier release do not
/// return it.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("streamusher-call");

/// Generates request IDs that are unique within one client, and so within each of its connections.
#[derive(Debug, Default)]
pub(super) struct RequestIds {
    last: Cell<u64>,
}

impl RequestIds {
    /// Inserts the next ID into the request's headers and returns it.
    pub(super) fn insert_next(&self, request: &mut HeaderMap) -> HeaderValue {
        let next = self.last.get().wrapping_add(1);
        self.last.set(next);
        let id = HeaderValue::from(next);
        request.insert(REQUEST_ID_HEADER, id.clone());
        id
    }
}

/// Returns true if the response may belong to the request with this ID: it returns the same ID, or none at
/// all.
pub(super) fn may_be_response_to(response: &HeaderMap, id: &HeaderValue) -> bool {
    cfg!(feature = "mutant-call-id")
        || response
            .get(REQUEST_ID_HEADER)
            .is_none_or(|returned| returned == id)
}

/// Copies the ID of a request, if it has one, to its response.
pub(super) fn copy_id_to_response(id: Option<HeaderValue>, response: &mut HeaderMap) {
    if let Some(id) = id {
        response.insert(REQUEST_ID_HEADER, id);
    }
}
