//! Keeps the most recent warning or error of the process for the status document.

use crate::clock;
use log::Record;
use serde::Serialize;
use std::sync::{Mutex, PoisonError};
use streamusher_protocol::Millis;

/// Maximum length of the stored text, in bytes.
const MAX_TEXT_BYTES: usize = 400;

static MOST_RECENT: Mutex<Option<StoredLine>> = Mutex::new(None);

struct StoredLine {
    written_at: Millis,
    level: &'static str,
    text: String,
}

/// The most recent warning or error of this process, as the status document shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LastError {
    /// Milliseconds since the line was logged.
    pub age_ms: Millis,
    /// Level of the line, `ERROR` or `WARN`.
    pub level: &'static str,
    /// Text of the line, truncated if it is long.
    pub text: String,
}

/// Returns the most recent warning or error of this process, or `None` if there has been none.
pub fn last_error() -> Option<LastError> {
    let most_recent = MOST_RECENT.lock().unwrap_or_else(PoisonError::into_inner);
    let line = most_recent.as_ref()?;
    let age_ms = clock::steady().saturating_sub(line.written_at);
    Some(LastError {
        age_ms,
        level: line.level,
        text: line.text.clone(),
    })
}

/// Stores a line if it is a warning or an error.
pub(super) fn store_if_warning_or_error(record: &Record<'_>) {
    if record.level() > log::Level::Warn {
        return;
    }
    let mut text = record.args().to_string();
    let end = text.floor_char_boundary(MAX_TEXT_BYTES);
    text.truncate(end);
    let line = StoredLine {
        written_at: clock::steady(),
        level: record.level().as_str(),
        text,
    };
    *MOST_RECENT.lock().unwrap_or_else(PoisonError::into_inner) = Some(line);
}
