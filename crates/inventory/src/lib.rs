#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! Rosters of workers from inventories: CSV as spreadsheets write it, and YAML, INI and JSON as Ansible keeps hosts
//! and groups. Either every host of a file is good, or every mistake in it is told, each with its place.
//!
//! Nothing here performs I/O but [`disk`]; what is read comes from a [`read::Source`].
//!
//! ```
//! use std::{io, path::{Path, PathBuf}};
//! use streamusher_inventory::{host::Known, read::{read, Source}};
//!
//! struct One(&'static str);
//! impl Source for One {
//!     fn read(&self, _: &Path) -> io::Result<Vec<u8>> {
//!         Ok(self.0.as_bytes().to_vec())
//!     }
//!     fn list(&self, _: &Path) -> io::Result<Vec<PathBuf>> {
//!         Ok(Vec::new())
//!     }
//! }
//!
//! let file = One("name;building;ip\ncore-1;north-yard;10.1.0.18\ncore-2;;10.1.0.19\n");
//! let why = read(&file, Path::new("workers.csv"), &Known::default()).unwrap_err();
//! assert_eq!(why.to_string(), "workers.csv:3:1: host core-2: zone: missing");
//! ```

pub mod ansible;
pub mod csv;
pub mod diff;
pub mod disk;
pub mod host;
pub mod membership;
pub mod problem;
pub mod read;
pub mod write;
