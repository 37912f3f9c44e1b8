//! Fault schedules.

use super::kinds::{
    ClientAction, ControlDegradation, ControlOutage, DataPlaneFault, OperatorAction, WorkerFault,
};
use std::fmt;
use streamusher_protocol::Millis;

/// A fault, or a client or operator action that is scheduled like one.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Takes processes of control machines down.
    Outage(ControlOutage),
    /// Disturbs control machines that keep running.
    Degradation(ControlDegradation),
    /// Affects gates, agents, or all processes.
    DataPlane(DataPlaneFault),
    /// Affects a worker.
    Worker(WorkerFault),
    /// An action of clients.
    Client(ClientAction),
    /// An action of operators, or a fault that affects their requests.
    Operator(OperatorAction),
    /// Injects the fault right after the next acknowledged change. Where the fault targets the primary, it
    /// affects the machine that acknowledged the change.
    AfterAcknowledgement(Box<Fault>),
}

impl Fault {
    /// Defers the fault until right after the next acknowledged change.
    #[must_use]
    pub fn after_acknowledgement(self) -> Fault {
        Fault::AfterAcknowledgement(Box::new(self))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Outage(fault) => write!(f, "{fault:?}"),
            Fault::Degradation(fault) => write!(f, "{fault:?}"),
            Fault::DataPlane(fault) => write!(f, "{fault:?}"),
            Fault::Worker(fault) => write!(f, "{fault:?}"),
            Fault::Client(action) => write!(f, "{action:?}"),
            Fault::Operator(action) => write!(f, "{action:?}"),
            Fault::AfterAcknowledgement(fault) => write!(f, "AfterAcknowledgement({fault})"),
        }
    }
}

impl From<ControlOutage> for Fault {
    fn from(fault: ControlOutage) -> Fault {
        Fault::Outage(fault)
    }
}

impl From<ControlDegradation> for Fault {
    fn from(fault: ControlDegradation) -> Fault {
        Fault::Degradation(fault)
    }
}

impl From<DataPlaneFault> for Fault {
    fn from(fault: DataPlaneFault) -> Fault {
        Fault::DataPlane(fault)
    }
}

impl From<WorkerFault> for Fault {
    fn from(fault: WorkerFault) -> Fault {
        Fault::Worker(fault)
    }
}

impl From<ClientAction> for Fault {
    fn from(action: ClientAction) -> Fault {
        Fault::Client(action)
    }
}

impl From<OperatorAction> for Fault {
    fn from(action: OperatorAction) -> Fault {
        Fault::Operator(action)
    }
}

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// Time of the injection, in true time.
    pub due: Millis,
    /// The fault to inject.
    pub fault: Fault,
}

/// All faults of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultSchedule {
    /// Faults sorted by time.
    pub faults: Vec<PlannedFault>,
    /// Whether more machines may be lost at once than the fleet tolerates, though no more disks. Service may
    /// be unavailable then.
    pub allows_overlaps: bool,
}

impl fmt::Display for FaultSchedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for planned in &self.faults {
            writeln!(f, "{:>6} ms {}", planned.due, planned.fault)?;
        }
        Ok(())
    }
}

/// The fleet and the time span for which a schedule is drawn.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleScope {
    /// Number of control machines.
    pub control_machines: usize,
    /// Number of gates.
    pub gates: usize,
    /// Number of workers.
    pub workers: usize,
    /// Earliest time of a fault.
    pub starts_at: Millis,
    /// Latest end of a fault.
    pub ends_at: Millis,
    /// Time for which a machine that has returned still counts as lost.
    pub catch_up_ms: Millis,
}

impl FaultSchedule {
    /// Adds a fault that is injected at `due`.
    #[must_use]
    pub fn with(mut self, due: Millis, fault: impl Into<Fault>) -> FaultSchedule {
        let fault = fault.into();
        self.faults.push(PlannedFault { due, fault });
        self.sort();
        self
    }

    /// Allows more machines to be lost at once than the fleet tolerates.
    #[must_use]
    pub fn with_overlaps(self) -> FaultSchedule {
        FaultSchedule {
            allows_overlaps: true,
            ..self
        }
    }

    /// Whether the schedule contains a jump of a wall clock.
    pub(crate) fn steps_clocks(&self) -> bool {
        let steps = |planned: &PlannedFault| {
            matches!(
                planned.fault,
                Fault::Degradation(ControlDegradation::StepClock { .. })
            )
        };
        self.faults.iter().any(steps)
    }

    pub(crate) fn sort(&mut self) {
        self.faults.sort_by_key(|planned| planned.due);
    }
}
