//! Where a benchmark run lost its value: its report and the log lines of the jobs that missed their objectives, joined to a
//! table by cause whose rows add up to what was lost.
//!
//! - `report`: the report, and the classes of the deployment's site file.
//! - `missed`: the log lines.
//! - `table`: the table.

mod missed;
mod report;
mod table;

pub use missed::{parse_missed_objectives, MissedObjective};
pub use report::{JobShape, Report, RequestClass, RequestGroup, ScorePart, ScorePrice};
pub use table::{LossCause, LostValue};
