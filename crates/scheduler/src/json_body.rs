//! JSON bodies of responses to clients and operators.

use serde::Serialize;
use std::sync::Arc;

/// The body of an error.
#[derive(Serialize)]
pub(crate) struct ErrorBody<'a> {
    /// What is wrong.
    pub(crate) error: &'a str,
    /// The current version of the configuration, where the request named another one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) version: Option<u64>,
}

/// The JSON text of a body.
pub(crate) fn to_json(body: &impl Serialize) -> Arc<str> {
    serde_json::to_string(body).unwrap_or_default().into()
}
