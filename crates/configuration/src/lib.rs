//! The operators' configuration: checking, versions, repeated orders; the relay tree that distributes it.
//!
//! - [`store`]: the primary's state machine, which takes or refuses changes and says what to write.
//! - [`error`]: why a change, a record or a file is refused, with the remedy.
//! - [`wire`]: reading of JSON bodies, with the faulty field named.
//! - [`checks`]: what must hold between the fields of a configuration; shared by wire and file.
//! - [`mod@file`]: checking of a configuration file given on the command line.
//! - [`document`]: a configuration as text, and the result of an update on it.
//! - [`routes`]: choice of the route by host and longest prefix.
//! - [`relay`]: how the newest configuration reaches every process of the data plane.
//! - [`order`]: stable names of orders, and the record of those that were taken.
//! - [`refusal`]: orders that were refused before the version on which they build was current.
//!
//! Nothing here does I/O (but for [`file::check_file`], which reads its file) and nothing here knows the time.

pub mod checks;
pub mod document;
pub mod error;
mod fault;
pub mod file;
pub mod order;
pub mod refusal;
pub mod relay;
pub mod routes;
pub mod store;
pub mod wire;

pub use error::{ConfigurationError, RecordError};
pub use file::check_file;
pub use routes::RouteTable;
pub use store::{ChangeOutcome, ConfigurationStore};
