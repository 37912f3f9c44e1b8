//! Attributes the value lost in a benchmark run to causes. The report of the run is combined with the log
//! lines of the jobs that missed their objectives; the rows of the resulting table add up to the total loss.
//!
//! - `report`: the benchmark report, and the request classes of the deployment's site file.
//! - `missed`: parser of the log lines.
//! - `table`: lost value by cause.

mod missed;
mod report;
mod table;

pub use missed::{parse_missed_objectives, MissedObjective};
pub use report::{JobShape, Report, RequestClass, RequestGroup, ScorePart, ScorePrice};
pub use table::{LossCause, LostValue};
