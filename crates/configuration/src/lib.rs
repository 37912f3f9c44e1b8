//! The operators' configuration: validation, versions, idempotent changes, and the relay tree that distributes it.
//!
//! The primary holds the configuration in a [`ConfigurationStore`]. An operator either replaces it whole or updates named
//! items of it, and names the version on which the change builds (optimistic concurrency: one change wins a base version).
//! The store decides whether a change is applied, and returns what has to be written to the replicated state for that, with
//! records by which a repeated change gets the same answer after a failover. Once committed, the configuration goes down
//! the relay tree ([`relay`]) to every process of the data plane.
//!
//! The crate does no I/O (but for [`check_file`], which reads its file) and takes the current time as an argument.
//!
//! ```
//! use streamusher_configuration::{ChangeOutcome, ConfigurationStore};
//!
//! let mut store = ConfigurationStore::new();
//! let first = r#"{"version": 1, "services": [{"name": "scans"}]}"#;
//! let ChangeOutcome::Applied { version, writes } = store.replace(0, first) else {
//!     panic!("a first configuration builds on version 0");
//! };
//! // The new configuration, and the record by which a repetition is recognized: to be committed as one batch.
//! assert_eq!((version, writes.len()), (1, 2));
//!
//! // The answer was lost and the operator sends the change again.
//! assert_eq!(store.replace(0, first), ChangeOutcome::AlreadyApplied { version: 1 });
//!
//! // An update of named items.
//! let update = r#"{"version": 2, "remove": {"services": ["scans"]}}"#;
//! assert!(matches!(store.update(1, update), ChangeOutcome::Applied { version: 2, .. }));
//!
//! // Another change on version 1 comes too late.
//! let late = store.update(1, r#"{"version": 3}"#);
//! assert!(matches!(late, ChangeOutcome::VersionConflict { current_version: 2, .. }));
//! ```

mod applied_changes;
mod change_id;
mod error;
mod file;
mod invalid_field;
mod json;
mod published;
mod rejected_changes;
pub mod relay;
mod route_table;
mod store;
mod update;
mod validation;

pub use applied_changes::MAX_APPLIED_CHANGES;
pub use change_id::{ChangeId, ChangeKind, APPLIED_KEY_PREFIX, REJECTED_KEY_PREFIX};
pub use error::{ConfigurationError, RecordError};
pub use file::check_file;
pub use published::{PublishedConfiguration, PublishedUpdate};
pub use rejected_changes::MAX_REJECTED_CHANGES;
pub use route_table::{normalized_host, RouteMatch, RouteTable};
pub use store::{ChangeOutcome, ConfigurationStore, CURRENT_KEY};
pub use update::apply_update;
pub use validation::MAX_EXACT_NUMBER;
