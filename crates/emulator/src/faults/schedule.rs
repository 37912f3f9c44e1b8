//! A schedule of faults.

use super::kinds::{
    ClientAction, ControlDegradation, ControlOutage, DataPlaneFault, OperatorAction, WorkerFault,
};
use std::fmt;
use streamusher_protocol::Millis;

/// A fault, or another event that is planned like one.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Processes of control machines go down.
    Outage(ControlOutage),
    /// Control machines that go on running are disturbed.
    Degradation(ControlDegradation),
    /// Gates and agents.
    DataPlane(DataPlaneFault),
    /// Workers.
    Worker(WorkerFault),
    /// Clients.
    Client(ClientAction),
    /// Operators.
    Operator(OperatorAction),
    /// This happens right after the next acknowledged change, to the machine that acknowledged it where the fault strikes
    /// the primary.
    AfterAcknowledgement(Box<Fault>),
}

impl Fault {
    /// The same, right after the next acknowledged change.
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

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it is injected, in true time.
    pub due: Millis,
    /// The fault.
    pub fault: Fault,
}

/// All faults of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultSchedule {
    /// In the order of their times.
    pub faults: Vec<PlannedFault>,
    /// More machines may be lost at once than is tolerated, without more lost disks: service may rest then.
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

/// The fleet and the span of time that a schedule is drawn for.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleScope {
    /// Control machines.
    pub control_machines: usize,
    /// Gates.
    pub gates: usize,
    /// Workers.
    pub workers: usize,
    /// The first fault.
    pub starts_at: Millis,
    /// The end of the last fault.
    pub ends_at: Millis,
    /// For how long a machine that returned counts as lost.
    pub catch_up_ms: Millis,
}

impl FaultSchedule {
    /// Adds a fault at a time.
    #[must_use]
    pub fn with(mut self, due: Millis, fault: impl Into<Fault>) -> FaultSchedule {
        let fault = fault.into();
        self.faults.push(PlannedFault { due, fault });
        self.sort();
        self
    }

    /// The same, where more machines may be lost at once than is tolerated.
    #[must_use]
    pub fn with_overlaps(self) -> FaultSchedule {
        FaultSchedule {
            allows_overlaps: true,
            ..self
        }
    }

    /// Whether some time of day jumps.
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
