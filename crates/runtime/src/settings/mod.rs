//! The settings file of a process, a TOML file that the platform writes. Unknown fields are ignored.
//!
//! ```
//! let file = r#"
//!     ip = "10.1.0.38"
//!     port_range = [7380, 7395]
//!     seeds = ["10.1.0.43:8144"]
//! "#;
//! let settings = streamusher_runtime::settings::parse(file, "settings.toml").unwrap();
//! assert_eq!(settings.internal_address(1).to_string(), "10.1.0.38:7381");
//! ```

mod deployment_limits;
mod error;
mod file;
mod machine_limits;
mod parsing;
mod process_settings;
mod time_span;
mod validation;

pub use deployment_limits::DeploymentLimits;
pub use error::SettingsError;
pub use file::{load, load_from, reload, DEFAULT_PATH, PATH_VARIABLE};
pub use machine_limits::MachineLimits;
pub use parsing::parse;
pub use process_settings::{FaultTolerance, ListenAddresses, ProcessSettings};
