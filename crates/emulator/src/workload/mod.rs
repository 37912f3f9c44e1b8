//! Workloads for experiments: what a deployment's workers are like, and which jobs its clients submit.
//!
//! - `model`: workers, classes of jobs, and their sizes.
//! - `draw`: draws jobs of a class.
//! - [`presets`]: workloads that differ from each other.

mod draw;
mod model;
pub mod presets;

pub(crate) use draw::{draw_job, queue_prefix};
pub use model::{Class, LogNormalSize, Traits, WorkerGroup, Workload};
