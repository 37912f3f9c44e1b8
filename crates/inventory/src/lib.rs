//! Inventories of workers in CSV as written by spreadsheets, and in the YAML, INI and JSON formats of
//! Ansible.
//!
//! [`read_inventory`] reads an inventory file and the variable files next to it. It returns either only valid
//! hosts, or [`Diagnostics`] with every error and its position. [`InventoryDiff`] compares two inventories,
//! [`write_inventory`] converts an inventory to another format, and [`membership`] merges the inventories of
//! several sources and drains workers that no source lists any longer.
//!
//! Only [`FileSystem`] performs I/O; all files are read through a [`FileSource`].
//!
//! ```
//! use std::{io, path::{Path, PathBuf}};
//! use streamusher_inventory::{read_inventory, FileSource, KnownNames};
//!
//! struct OneFile(&'static str);
//! impl FileSource for OneFile {
//!     fn read(&self, _: &Path) -> io::Result<Vec<u8>> {
//!         Ok(self.0.as_bytes().to_vec())
//!     }
//!     fn list(&self, _: &Path) -> io::Result<Vec<PathBuf>> {
//!         Ok(Vec::new())
//!     }
//! }
//!
//! let file = OneFile("name;building;ip\ncore-1;north-yard;10.1.0.18\ncore-2;;10.1.0.19\n");
//! let errors = read_inventory(&file, Path::new("workers.csv"), &KnownNames::default()).unwrap_err();
//! assert_eq!(errors.to_string(), "workers.csv:3:1: host core-2: zone: missing");
//! ```

mod ansible;
mod csv_reader;
mod diagnostics;
mod diff;
mod field;
mod field_positions;
mod file_system;
mod host;
mod host_check;
pub mod membership;
mod read;
mod render;
mod source_text;
mod write;

pub use ansible::{expand_host_range, HostRangeError};
pub use diagnostics::{Diagnostic, Diagnostics, MAX_DIAGNOSTICS};
pub use diff::InventoryDiff;
pub use file_system::FileSystem;
pub use host::{Host, KnownNames, DEFAULT_PORT, MAX_HOSTS};
pub use read::{read_inventory, FileSource, Inventory, MAX_FILE_BYTES};
pub use write::{write_inventory, OutputFormat};
