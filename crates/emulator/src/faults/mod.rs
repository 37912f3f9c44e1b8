//! Faults and fault schedules, which are written by hand for a test or drawn from a seed.
//!
//! - `kinds`: the kinds of faults.
//! - `schedule`: faults and the times at which they are injected.
//! - `draw`, `draw_control`, `draw_agents`: schedules drawn from a seed.

mod draw;
mod draw_agents;
mod draw_control;
mod kinds;
mod schedule;

pub use kinds::{
    ClientAction, ControlDegradation, ControlOutage, ControlTarget, DataPlaneFault, ManyTargets,
    OperatorAction, Portion, WorkerFault,
};
pub use schedule::{Fault, FaultSchedule, PlannedFault, ScheduleScope};

pub use draw::draw_schedule;
pub use draw_agents::draw_schedule_with_agent_faults;
pub use draw_control::draw_schedule_with_control_faults;
