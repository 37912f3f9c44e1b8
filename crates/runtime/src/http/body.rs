//! Reading JSON bodies, with errors that name the field.

use serde::de::{DeserializeOwned, IgnoredAny};

/// The longest key that is shown in an error, in characters: bodies come from outside.
const MAX_KEY_CHARS: usize = 60;

/// Why a body is not what was expected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field}: {reason}: send JSON as the interface describes it")]
pub struct BodyError {
    /// The field, or `(body)` for the whole.
    pub field: String,
    /// What is wrong, with line and column.
    pub reason: String,
}

/// Reads a JSON body.
///
/// # Errors
/// The body is not JSON, or a field is missing or of another type. The error names the field.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, BodyError> {
    serde_json::from_slice(body).map_err(|error| body_error(body, &error))
}

fn body_error(body: &[u8], error: &serde_json::Error) -> BodyError {
    let reason = error.to_string();
    let field = if is_followed_by_other_bytes(body) {
        None
    } else {
        quoted_field(&reason).or_else(|| last_key_before(body, error))
    };
    BodyError {
        field: field.unwrap_or_else(|| "(body)".to_owned()),
        reason,
    }
}

/// Whether a whole JSON value stands at the beginning and something else behind it: then no field of it is wrong.
fn is_followed_by_other_bytes(body: &[u8]) -> bool {
    let mut values = serde_json::Deserializer::from_slice(body).into_iter::<IgnoredAny>();
    let has_value = matches!(values.next(), Some(Ok(_)));
    let rest = body.get(values.byte_offset()..).unwrap_or_default();
    has_value && !rest.iter().all(u8::is_ascii_whitespace)
}

/// The name in "missing field `NAME`".
fn quoted_field(reason: &str) -> Option<String> {
    let (_, rest) = reason.split_once("field `")?;
    let (name, _) = rest.split_once('`')?;
    Some(name.to_owned())
}

/// The last key that stands before the position of the error.
fn last_key_before(body: &[u8], error: &serde_json::Error) -> Option<String> {
    let line_start = start_of_line(body, error.line())?;
    let end = line_start.saturating_add(error.column()).min(body.len());
    let read = String::from_utf8_lossy(body.get(..end)?);
    let before_colon = &read[..read.rfind("\":")?];
    let key = &before_colon[before_colon.rfind('"')? + 1..];
    Some(key.chars().take(MAX_KEY_CHARS).collect())
}

/// The index of the first byte of a line, which is counted from 1.
fn start_of_line(body: &[u8], line: usize) -> Option<usize> {
    let lines_before = line.checked_sub(1)?;
    if lines_before == 0 {
        return Some(0);
    }
    let mut line_ends = body
        .iter()
        .enumerate()
        .filter(|(_, byte)| **byte == b'\n')
        .map(|(index, _)| index);
    Some(line_ends.nth(lines_before - 1)? + 1)
}
