//! Decodes JSON request bodies, with errors that name the invalid field.

use serde::de::{DeserializeOwned, IgnoredAny};

/// Maximum length, in characters, of a key quoted in an error. Bodies come from outside and may hold keys of
/// any length.
const MAX_KEY_CHARS: usize = 60;

/// A request body that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field}: {reason}: send JSON as the interface describes it")]
pub struct BodyError {
    /// Name of the invalid field, or `(body)` if the error concerns the whole body.
    pub field: String,
    /// Message of the JSON decoder, with line and column.
    pub reason: String,
}

/// Decodes a JSON body.
///
/// # Errors
/// Returns an error that names the field if the body is not valid JSON, or if a field is missing or has the
/// wrong type.
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

/// Returns true if the body starts with a complete JSON value that other bytes follow. In that case no field
/// of the value is at fault.
fn is_followed_by_other_bytes(body: &[u8]) -> bool {
    let mut values = serde_json::Deserializer::from_slice(body).into_iter::<IgnoredAny>();
    let has_value = matches!(values.next(), Some(Ok(_)));
    let rest = body.get(values.byte_offset()..).unwrap_or_default();
    has_value && !rest.iter().all(u8::is_ascii_whitespace)
}

/// Extracts the name from a message of the form "missing field `NAME`".
fn quoted_field(reason: &str) -> Option<String> {
    let (_, rest) = reason.split_once("field `")?;
    let (name, _) = rest.split_once('`')?;
    Some(name.to_owned())
}

/// Returns the last key that precedes the position of the error.
fn last_key_before(body: &[u8], error: &serde_json::Error) -> Option<String> {
    let line_start = start_of_line(body, error.line())?;
    let end = line_start.saturating_add(error.column()).min(body.len());
    let read = String::from_utf8_lossy(body.get(..end)?);
    let before_colon = &read[..read.rfind("\":")?];
    let key = &before_colon[before_colon.rfind('"')? + 1..];
    Some(key.chars().take(MAX_KEY_CHARS).collect())
}

/// Returns the index of the first byte of `line`. Line numbers start at 1.
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
