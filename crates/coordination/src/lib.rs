//! Epochs, witnesses, leases and primary-backup replication as pure state machines.

mod coordinator;
pub mod message;
pub mod types;

pub use coordinator::Coordinator;
pub use message::{Batch, Message};
pub use types::*;
