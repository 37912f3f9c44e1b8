//! JSON bodies of responses to clients and operators.

use serde::Serialize;
use std::sync::Arc;

/// Body of an error response.
#[derive(Serialize)]
pub(crate) struct ErrorBody<'a> {
    /// Description of the error.
    pub(crate) error: &'a str,
    /// Current version of the configuration, if the request named a different one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) version: Option<u64>,
}

/// Encodes a response body as JSON.
pub(crate) fn to_json(body: &impl Serialize) -> Arc<str> {
    serde_json::to_string(body).unwrap_or_default().into()
}
