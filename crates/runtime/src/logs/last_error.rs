//! The newest warning or error of the process, for the status document.

use crate::clock;
use log::Record;
use serde::Serialize;
use std::sync::{Mutex, PoisonError};
use streamusher_protocol::Millis;

/// The longest text that is kept, in bytes.
const MAX_TEXT_BYTES: usize = 400;

static NEWEST: Mutex<Option<KeptLine>> = Mutex::new(None);

struct KeptLine {
    written_at: Millis,
    level: &'static str,
    text: String,
}

/// The newest warning or error of this process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LastError {
    /// Milliseconds since it was written.
    pub age_ms: Millis,
    /// `ERROR` or `WARN`.
    pub level: &'static str,
    /// The line, cut where it is long.
    pub text: String,
}

/// The newest warning or error of this process.
pub fn last_error() -> Option<LastError> {
    let newest = NEWEST.lock().unwrap_or_else(PoisonError::into_inner);
    let line = newest.as_ref()?;
    let age_ms = clock::steady().saturating_sub(line.written_at);
    Some(LastError {
        age_ms,
        level: line.level,
        text: line.text.clone(),
    })
}

/// Keeps a line if it is a warning or an error.
pub(super) fn keep(record: &Record<'_>) {
    if record.level() > log::Level::Warn {
        return;
    }
    let mut text = record.args().to_string();
    let end = text.floor_char_boundary(MAX_TEXT_BYTES);
    text.truncate(end);
    let line = KeptLine {
        written_at: clock::steady(),
        level: record.level().as_str(),
        text,
    };
    *NEWEST.lock().unwrap_or_else(PoisonError::into_inner) = Some(line);
}
