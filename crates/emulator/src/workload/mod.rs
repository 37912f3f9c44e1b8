//! Workloads for experiments: the properties of a deployment's workers and the jobs that its clients submit.
//!
//! - `model`: worker groups, job classes and their size distributions.
//! - `draw`: draws random jobs of a class.
//! - [`presets`]: predefined workloads with different characteristics.

mod draw;
mod model;
pub mod presets;

pub(crate) use draw::{draw_job, queue_prefix};
pub use model::{Class, LogNormalSize, Traits, WorkerGroup, Workload};
