//! The control plane: primary, replicas and witnesses on the core machines.
//!
//! - [`driver`]: the rule by which replies leave, joining replication and scheduler; pure.
//! - [`publication`], [`relay`]: which configurations may be told, and the root of the tree that tells them.
//! - [`ports`]: what the driver needs of both.
//! - [`store`], [`disk`]: what is kept on disk, and the thread that writes it.
//! - [`machine`]: the driver with its queues, shared by the servers.
//! - [`peers`], [`internal`], [`operators`]: messages between core machines, and both servers' answers.
//! - [`parameters`], [`options`], [`program`]: settings, command line, and the process.
//! - [`cluster_status`], [`show_disk`]: the operators' commands.

mod calls;
pub mod cluster_status;
pub mod disk;
pub mod driver;
mod early;
pub mod internal;
pub mod machine;
pub mod operators;
pub mod options;
pub mod parameters;
pub mod peers;
pub mod ports;
pub mod program;
pub mod publication;
pub mod relay;
pub mod share_debt_file;
pub mod show_disk;
pub mod store;
