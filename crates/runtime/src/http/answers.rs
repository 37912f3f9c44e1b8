//! Answers as they are usually made, and bodies as they are usually read.

use super::Response;
use ::http::header::{HeaderValue, CONTENT_TYPE};
use ::http::StatusCode;
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Why a body is not what was expected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field}: {reason}: send JSON as the interface describes it")]
pub struct BodyError {
    /// The field, or `(body)` for the whole.
    pub field: String,
    /// What is wrong, with line and column.
    pub reason: String,
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Response {
    let mut answer = Response::new(Bytes::new());
    *answer.status_mut() = status;
    answer
}

/// A plain text.
pub fn text(status: StatusCode, body: impl Into<String>) -> Response {
    with_body(
        status,
        "text/plain; charset=utf-8",
        Bytes::from(body.into()),
    )
}

/// A value as JSON; 500 if it can't be written as such.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => with_body(status, "application/json", Bytes::from(body)),
        Err(error) => text(
            StatusCode::INTERNAL_SERVER_ERROR,
            format!("the answer is not JSON: {error}\n"),
        ),
    }
}

fn with_body(status: StatusCode, kind: &'static str, body: Bytes) -> Response {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}

/// Reads a JSON body.
///
/// # Errors
/// The body is not JSON, or a field is missing or of another type; the error names the field.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, BodyError> {
    serde_json::from_slice(body).map_err(|error| body_error(body, &error))
}

fn body_error(body: &[u8], error: &serde_json::Error) -> BodyError {
    let reason = error.to_string();
    let quoted = quoted_name(&reason);
    let field = quoted
        .or_else(|| last_key_before(body, error))
        .unwrap_or_else(|| "(body)".to_owned());
    BodyError { field, reason }
}

/// The name in "missing field `NAME`".
fn quoted_name(reason: &str) -> Option<String> {
    let rest = reason.split_once("field `")?.1;
    Some(rest.split_once('`')?.0.to_owned())
}

/// The last key that stands before the place of the error.
fn last_key_before(body: &[u8], error: &serde_json::Error) -> Option<String> {
    let line_start = match error.line().checked_sub(1)? {
        0 => 0,
        lines => {
            body.iter()
                .enumerate()
                .filter(|(_, byte)| **byte == b'\n')
                .nth(lines - 1)?
                .0
                + 1
        }
    };
    let read = body.get(..line_start.saturating_add(error.column()).min(body.len()))?;
    let read = String::from_utf8_lossy(read);
    let before_colon = &read[..read.rfind("\":")?];
    let key = &before_colon[before_colon.rfind('"')? + 1..];
    Some(key.chars().take(MOST_KEY_CHARS).collect())
}

/// A key is shown in an error up to here: bodies come from outside.
const MOST_KEY_CHARS: usize = 60;
