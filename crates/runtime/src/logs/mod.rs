//! Logs: the `log` facade, written to standard error by logforth. A line below the level costs one comparison.
//!
//! Lines at `info` and above are for operators: each place that writes them is bounded ([`bound`]), and the newest warning
//! or error is kept for the status. What libraries say below `warn` is not written.

pub mod bound;
pub mod layout;

pub use bound::RateBound;

use crate::clock;
use bound::SiteBounds;
use log::{LevelFilter, Log, Metadata, Record};
use logforth::record::Level;
use serde::Serialize;
use std::sync::{Mutex, PoisonError};
use streamusher_protocol::Millis;

/// The variable that sets the level: `off`, `error`, `warn`, `info`, `debug` or `trace`. The option `--log-level` goes
/// before it.
pub const LEVEL_VARIABLE: &str = "STREAMUSHER_LOG";

/// The level without option and variable: one line for each change of what operators watch. What happens for each run
/// or call is at `debug`, as lines cost processor time, which is priced.
const DEFAULT_LEVEL: LevelFilter = LevelFilter::Info;

/// How the targets of the project's own lines begin.
const OWN_TARGETS: &str = "streamusher";

/// The longest text of a kept error, in bytes.
const MOST_KEPT_BYTES: usize = 400;

static KEPT: Mutex<Option<Kept>> = Mutex::new(None);

struct Kept {
    at: Millis,
    level: &'static str,
    text: String,
}

/// The newest warning or error of this process, for the status.
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
    let kept = KEPT.lock().unwrap_or_else(PoisonError::into_inner);
    let kept = kept.as_ref()?;
    let age_ms = clock::steady().saturating_sub(kept.at);
    Some(LastError {
        age_ms,
        level: kept.level,
        text: kept.text.clone(),
    })
}

struct Bridge {
    logger: logforth::core::Logger,
    bounds: Mutex<SiteBounds>,
}

impl Log for Bridge {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level() && is_wanted(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        keep(record);
        match self.left_out(record) {
            None => {}
            Some(0) => self.write(record, *record.args()),
            Some(count) => self.write(
                record,
                format_args!("{} ({count} more since)", record.args()),
            ),
        }
    }

    fn flush(&self) {
        self.logger.flush();
    }
}

impl Bridge {
    /// How many lines of the same place were left out before this one; none where it is left out as well.
    fn left_out(&self, record: &Record<'_>) -> Option<u64> {
        if record.level() > log::Level::Info {
            return Some(0);
        }
        let site = (
            record.module_path_static().unwrap_or_default(),
            record.line().unwrap_or_default(),
        );
        let mut bounds = self.bounds.lock().unwrap_or_else(PoisonError::into_inner);
        bounds.allow(clock::steady(), site)
    }

    fn write(&self, record: &Record<'_>, text: std::fmt::Arguments<'_>) {
        let line = logforth::record::Record::builder()
            .level(level_of(record.level()))
            .target(record.target())
            .payload(text)
            .build();
        self.logger.log(&line);
    }
}

/// Whether a line is ours, or a library's of some weight.
fn is_wanted(metadata: &Metadata<'_>) -> bool {
    metadata.level() <= log::Level::Warn || metadata.target().starts_with(OWN_TARGETS)
}

fn keep(record: &Record<'_>) {
    if record.level() > log::Level::Warn {
        return;
    }
    let mut text = record.args().to_string();
    let end = text.floor_char_boundary(MOST_KEPT_BYTES);
    text.truncate(end);
    let kept = Kept {
        at: clock::steady(),
        level: record.level().as_str(),
        text,
    };
    *KEPT.lock().unwrap_or_else(PoisonError::into_inner) = Some(kept);
}

fn level_of(level: log::Level) -> Level {
    match level {
        log::Level::Error => Level::Error,
        log::Level::Warn => Level::Warn,
        log::Level::Info => Level::Info,
        log::Level::Debug => Level::Debug,
        log::Level::Trace => Level::Trace,
    }
}

/// Sends the lines of this process to standard error, at `level` or else at that of [`LEVEL_VARIABLE`]. Later calls change
/// nothing.
pub fn start(level: Option<LevelFilter>) {
    let variable = std::env::var(LEVEL_VARIABLE)
        .ok()
        .filter(|text| !text.is_empty());
    let of_variable = variable.as_deref().and_then(|text| text.parse().ok());
    let level = level.or(of_variable).unwrap_or(DEFAULT_LEVEL);
    let to_stderr = logforth::append::Stderr::default().with_layout(layout::LineLayout);
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(to_stderr))
        .build();
    let bridge = Bridge {
        logger,
        bounds: Mutex::default(),
    };
    if log::set_boxed_logger(Box::new(bridge)).is_err() {
        return;
    }
    log::set_max_level(level);
    if let (Some(text), None) = (variable, of_variable) {
        log::warn!("{LEVEL_VARIABLE} = {text:?}: write off, error, warn, info, debug or trace");
    }
}
