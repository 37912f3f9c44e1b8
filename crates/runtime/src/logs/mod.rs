//! Logs: the `log` facade, written to standard error by logforth. A line below the level costs one comparison.
//!
//! Lines at `info` and above are for operators. Each call site that writes them is limited ([`rate_limit`]), and the newest
//! warning or error is kept for the status document ([`last_error`]). What libraries log below `warn` is not written.

mod last_error;
mod layout;
mod logger;
pub mod rate_limit;

pub use last_error::{last_error, LastError};
pub use layout::utc;
pub use logger::start;

/// The variable that sets the level: `off`, `error`, `warn`, `info`, `debug` or `trace`. The option `--log-level` takes
/// precedence.
pub const LEVEL_VARIABLE: &str = "STREAMUSHER_LOG";
