//! The operators' configuration: validation, versions, idempotent changes, and the relay tree that distributes it.
//!
//! The primary holds the configuration in a [`ConfigurationStore`]. An operator either replaces the whole
//! configuration or updates named items, and states the base version of the change (optimistic concurrency:
//! only one change succeeds on a base version). The store decides whether a change is applied, and returns
//! the writes to the replicated state. They include records by which a repeated change gets the same answer
//! after a failover. Once committed, the configuration is distributed to every process of the data plane
//! through the relay tree ([`relay`]).
//!
//! The crate performs no I/O, except that [`check_file`] reads its file, and takes the current time as an
//! argument.
//!
//! ```
//! use streamusher_configuration::{ChangeOutcome, ConfigurationStore};
//!
//! let mut store = ConfigurationStore::new();
//! let first = r#"{"version": 1, "services": [{"name": "scans"}]}"#;
//! let ChangeOutcome::Applied { version, writes } = store.replace(0, first) else {
//!     panic!("the first configuration is based on version 0");
//! };
//! // The new configuration and the record that identifies a repeated change, to be committed as one batch.
//! assert_eq!((version, writes.len()), (1, 2));
//!
//! // The response was lost and the operator sends the change again.
//! assert_eq!(store.replace(0, first), ChangeOutcome::AlreadyApplied { version: 1 });
//!
//! // An update of named items.
//! let update = r#"{"version": 2, "remove": {"services": ["scans"]}}"#;
//! assert!(matches!(store.update(1, update), ChangeOutcome::Applied { version: 2, .. }));
//!
//! // Another change based on version 1 conflicts with the update.
//! let conflicting = store.update(1, r#"{"version": 3}"#);
//! assert!(matches!(conflicting, ChangeOutcome::VersionConflict { current_version: 2, .. }));
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
