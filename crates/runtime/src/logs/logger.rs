//! The logger behind the `log` facade: filters lines by level and target, limits the rate of each call site,
//! and passes lines to logforth.

use super::layout::LineLayout;
use super::rate_limit::{CallSite, CallSiteLimiter};
use super::{last_error, LEVEL_VARIABLE};
use crate::clock;
use log::{LevelFilter, Log, Metadata, Record};
use logforth::record::Level;
use std::fmt::Arguments;
use std::sync::{Mutex, PoisonError};

/// The level if neither the option nor the variable sets one. At this level there is one line for each change
/// that operators watch; events of each run or request are logged at `debug`, because lines cost processor
/// time, which is priced.
const DEFAULT_LEVEL: LevelFilter = LevelFilter::Info;

/// Prefix of the log targets of this project.
const OWN_TARGET_PREFIX: &str = "streamusher";

/// Starts logging to standard error at `level`, or at the level of [`LEVEL_VARIABLE`] if `level` is `None`.
/// Further calls have no effect.
pub fn start(level: Option<LevelFilter>) {
    let variable = std::env::var(LEVEL_VARIABLE)
        .ok()
        .filter(|text| !text.is_empty());
    let variable_level = variable.as_deref().and_then(|text| text.parse().ok());
    let level = level.or(variable_level).unwrap_or(DEFAULT_LEVEL);
    if log::set_boxed_logger(Box::new(ProcessLogger::new())).is_err() {
        return;
    }
    log::set_max_level(level);
    if let (Some(text), None) = (variable, variable_level) {
        log::warn!("{LEVEL_VARIABLE} = {text:?}: write off, error, warn, info, debug or trace");
    }
}

struct ProcessLogger {
    output: logforth::core::Logger,
    call_sites: Mutex<CallSiteLimiter>,
}

impl ProcessLogger {
    fn new() -> ProcessLogger {
        let stderr = logforth::append::Stderr::default().with_layout(LineLayout);
        let output = logforth::core::builder()
            .dispatch(|dispatch| dispatch.append(stderr))
            .build();
        ProcessLogger {
            output,
            call_sites: Mutex::default(),
        }
    }

    /// Returns how many lines of the same call site were suppressed since its last written line, or `None` if
    /// this line is to be suppressed too.
    fn suppressed_before(&self, record: &Record<'_>) -> Option<u64> {
        if record.level() > log::Level::Info {
            return Some(0);
        }
        let call_site = CallSite {
            module: record.module_path_static().unwrap_or_default(),
            line: record.line().unwrap_or_default(),
        };
        let mut call_sites = self
            .call_sites
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        call_sites.allow(clock::steady(), call_site)
    }

    fn write(&self, record: &Record<'_>, text: Arguments<'_>) {
        let line = logforth::record::Record::builder()
            .level(to_logforth(record.level()))
            .target(record.target())
            .payload(text)
            .build();
        self.output.log(&line);
    }
}

impl Log for ProcessLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level() && is_own_line_or_warning(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        last_error::store_if_warning_or_error(record);
        match self.suppressed_before(record) {
            None => {}
            Some(0) => self.write(record, *record.args()),
            Some(count) => {
                let text = record.args();
                self.write(record, format_args!("{text} ({count} more since)"));
            }
        }
    }

    fn flush(&self) {
        self.output.flush();
    }
}

/// Returns true for lines of this project, and for warnings and errors of libraries.
fn is_own_line_or_warning(metadata: &Metadata<'_>) -> bool {
    metadata.level() <= log::Level::Warn || metadata.target().starts_with(OWN_TARGET_PREFIX)
}

fn to_logforth(level: log::Level) -> Level {
    match level {
        log::Level::Error => Level::Error,
        log::Level::Warn => Level::Warn,
        log::Level::Info => Level::Info,
        log::Level::Debug => Level::Debug,
        log::Level::Trace => Level::Trace,
    }
}
