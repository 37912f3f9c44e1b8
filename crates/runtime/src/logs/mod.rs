//! Logging through the `log` facade; logforth writes the lines to standard error. A line below the level
//! costs one comparison.
//!
//! Lines at `info` and above are for operators. [`rate_limit`] limits each call site that writes them, and
//! [`last_error()`] keeps the most recent warning or error for the status document. Lines of libraries below
//! `warn` are discarded.

mod last_error;
mod layout;
mod logger;
pub mod rate_limit;

pub use last_error::{last_error, LastError};
pub use layout::utc;
pub use logger::start;

/// The environment variable that sets the log level: `off`, `error`, `warn`, `info`, `debug` or `trace`. The
/// option `--log-level` takes precedence.
pub const LEVEL_VARIABLE: &str = "STREAMUSHER_LOG";
