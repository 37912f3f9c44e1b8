//! The operators' configuration: checking, versions, repeated orders; the relay tree that distributes it.
//!
//! - [`store`]: the primary's state machine, which takes or refuses changes and says what to write.
//! - [`error`]: why a change, a record or a file is refused, with the remedy.
//! - [`json`]: reading of JSON bodies, with the faulty field named.
//! - [`validation`]: what must hold between the fields of a configuration; shared by wire and file.
//! - [`mod@file`]: checking of a configuration file given on the command line.
//! - [`update`]: a configuration as text, and the result of an update on it.
//! - [`route_table`]: choice of the route by host and longest prefix.
//! - [`relay`]: how the newest configuration reaches every process of the data plane.
//! - [`applied_changes`]: stable names of orders, and the record of those that were taken.
//! - [`rejected_changes`]: orders that were refused before the version on which they build was current.
//!
//! Nothing here does I/O (but for [`file::check_file`], which reads its file) and nothing here knows the time.

pub mod applied_changes;
pub mod error;
pub mod file;
mod invalid_field;
pub mod json;
pub mod rejected_changes;
pub mod relay;
pub mod route_table;
pub mod store;
pub mod update;
pub mod validation;

pub use error::{ConfigurationError, RecordError};
pub use file::check_file;
pub use route_table::RouteTable;
pub use store::{ChangeOutcome, ConfigurationStore};
