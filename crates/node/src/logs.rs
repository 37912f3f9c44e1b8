//! Logs: the `log` facade, written to standard error by logforth. A line below the level costs one comparison.

use log::{LevelFilter, Log, Metadata, Record};
use logforth::record::Level;
use std::cell::Cell;
use streamusher_protocol::Millis;

/// The variable that sets the level: `off`, `error`, `warn`, `info`, `debug` or `trace`.
pub const LEVEL_VARIABLE: &str = "STREAMUSHER_LOG";

/// The level without the variable. Lines cost processor time, which is priced: only what an operator must know.
const DEFAULT_LEVEL: LevelFilter = LevelFilter::Warn;

struct Bridge {
    logger: logforth::core::Logger,
}

impl Log for Bridge {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = logforth::record::Record::builder()
            .level(level_of(record.level()))
            .target(record.target())
            .payload(*record.args())
            .build();
        self.logger.log(&line);
    }

    fn flush(&self) {
        self.logger.flush();
    }
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

/// Sends the lines of this process to standard error, at the level of [`LEVEL_VARIABLE`]. Later calls change nothing.
pub fn start() {
    let wanted = std::env::var(LEVEL_VARIABLE).ok();
    let level = wanted.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_LEVEL);
    let to_stderr = logforth::append::Stderr::default();
    let logger = logforth::core::builder().dispatch(|dispatch| dispatch.append(to_stderr)).build();
    if log::set_boxed_logger(Box::new(Bridge { logger })).is_ok() {
        log::set_max_level(level);
    }
}

/// Bounds how often one kind of line is written, and counts those left out.
#[derive(Debug)]
pub struct RateBound {
    interval_ms: Millis,
    next_at: Cell<Millis>,
    left_out: Cell<u64>,
}

impl RateBound {
    /// At most one line in `interval_ms`.
    pub const fn new(interval_ms: Millis) -> RateBound {
        RateBound { interval_ms, next_at: Cell::new(0), left_out: Cell::new(0) }
    }

    /// Whether a line may be written at `now`, and how many were left out since the last one.
    pub fn allow(&self, now: Millis) -> Option<u64> {
        if now < self.next_at.get() {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.next_at.set(now.saturating_add(self.interval_ms));
        Some(self.left_out.replace(0))
    }
}
