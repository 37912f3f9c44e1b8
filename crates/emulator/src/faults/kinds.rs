//! The kinds of faults, by what they strike. The table in `docs/design/troubles.md` says which promise each attacks.

use streamusher_protocol::Millis;

/// Which control machine is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlTarget {
    /// The one that is primary when the fault is injected.
    Primary,
    /// One by its place among those in use.
    Index(usize),
}

/// Takes processes of control machines down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ControlOutage {
    /// A process is killed; its disk stays as it was.
    Kill {
        /// The machine.
        target: ControlTarget,
        /// Time until it is started again.
        down_ms: Millis,
    },
    /// A machine loses power: what was not synced may be lost.
    PowerLoss {
        /// The machine.
        target: ControlTarget,
        /// Time until it is started again.
        down_ms: Millis,
    },
    /// A machine loses power and its disk.
    Wipe {
        /// The machine.
        target: ControlTarget,
        /// Time until it is started again.
        down_ms: Millis,
    },
    /// All processes of the control plane are killed.
    KillAll {
        /// Time until they are started again.
        down_ms: Millis,
    },
    /// All control machines lose power.
    PowerLossAll {
        /// Time until they are started again.
        down_ms: Millis,
        /// The one that loses its disk too.
        wipe: Option<ControlTarget>,
    },
    /// All machines of the fleet lose power.
    PowerLossEverywhere {
        /// Time until they are started again.
        down_ms: Millis,
        /// The control machine that loses its disk too.
        wipe: Option<ControlTarget>,
    },
    /// A machine leaves for good, and another one joins at a new address.
    Replace {
        /// The machine that leaves.
        target: ControlTarget,
        /// Time until the new one joins.
        after_ms: Millis,
    },
    /// The machines are told to leave and are started again, one after the other.
    RollingRestart {
        /// From the start of one to the leaving of the next.
        gap_ms: Millis,
    },
}

/// Disturbs control machines that go on running.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ControlDegradation {
    /// A machine freezes and wakes.
    Freeze {
        /// The machine.
        target: ControlTarget,
        /// How long.
        for_ms: Millis,
    },
    /// A machine is cut off from the other control machines.
    Isolate {
        /// The machine.
        target: ControlTarget,
        /// Only messages from it are blocked, those to it pass.
        one_way: bool,
        /// How long.
        for_ms: Millis,
    },
    /// A machine is cut off from everybody.
    IsolateFromAll {
        /// The machine.
        target: ControlTarget,
        /// How long.
        for_ms: Millis,
    },
    /// The control plane is split into two halves, the primary in the smaller one; all other machines reach both.
    Partition {
        /// How long.
        for_ms: Millis,
    },
    /// A machine's disk takes longer.
    SlowDisk {
        /// The machine.
        target: ControlTarget,
        /// Added to each sync.
        by_ms: Millis,
        /// How long.
        for_ms: Millis,
    },
    /// A machine's disk hangs.
    StallDisk {
        /// The machine.
        target: ControlTarget,
        /// How long.
        for_ms: Millis,
    },
    /// A machine's disk refuses writes.
    FullDisk {
        /// The machine.
        target: ControlTarget,
        /// How long.
        for_ms: Millis,
    },
    /// A machine's time of day jumps, and back.
    StepClock {
        /// The machine.
        target: ControlTarget,
        /// How far.
        by_ms: i64,
        /// Time until it jumps back.
        for_ms: Millis,
    },
    /// Some messages between control machines are lost.
    DropMessages {
        /// Share of the messages.
        share: f64,
        /// How long.
        for_ms: Millis,
    },
    /// All links of a machine are slow.
    SlowLinks {
        /// The machine.
        target: ControlTarget,
        /// Added to each message.
        by_ms: Millis,
        /// How long.
        for_ms: Millis,
    },
}

/// Strikes gates, agents, or all processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DataPlaneFault {
    /// A gate's process is killed.
    KillGate {
        /// Its place among the gates.
        gate: usize,
        /// Time until it is started again.
        down_ms: Millis,
    },
    /// A gate freezes.
    FreezeGate {
        /// Its place among the gates.
        gate: usize,
        /// How long.
        for_ms: Millis,
    },
    /// A gate is cut off from the control plane.
    IsolateGate {
        /// Its place among the gates.
        gate: usize,
        /// How long.
        for_ms: Millis,
    },
    /// An agent's process is killed.
    KillAgent {
        /// The agent's worker.
        worker: usize,
        /// Time until it is started again.
        down_ms: Millis,
    },
    /// An agent freezes.
    FreezeAgent {
        /// The agent's worker.
        worker: usize,
        /// How long.
        for_ms: Millis,
    },
    /// A worker's machine is cut off from the control plane; the worker goes on.
    IsolateAgent {
        /// The agent's worker.
        worker: usize,
        /// Only messages from it are blocked, those to it pass.
        one_way: bool,
        /// How long.
        for_ms: Millis,
    },
    /// All processes of the fleet are killed at once.
    KillEverything {
        /// Time until they are started again.
        down_ms: Millis,
    },
    /// Many processes go at the same moment.
    TakeManyDown {
        /// Which.
        targets: ManyTargets,
        /// Whether their machines lose power, so that nobody is told; else the processes are killed.
        power_loss: bool,
        /// Time until they are started again.
        down_ms: Millis,
    },
}

/// Processes that go at once, by role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ManyTargets {
    /// Of the gates.
    pub gates: Portion,
    /// Of the agents.
    pub agents: Portion,
    /// Of the control machines, the primary first.
    pub control_machines: Portion,
}

/// How many of several machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Portion {
    /// None of them.
    None,
    /// One of them.
    One,
    /// Half of them, rounded down.
    Half,
    /// All of them.
    All,
}

impl Portion {
    /// How many of `count`.
    pub fn of(self, count: usize) -> usize {
        match self {
            Portion::None => 0,
            Portion::One => count.min(1),
            Portion::Half => count / 2,
            Portion::All => count,
        }
    }
}

/// Strikes a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerFault {
    /// It crashes.
    Crash {
        /// The worker.
        worker: usize,
        /// Time until it comes back; none if it does not.
        back_ms: Option<Millis>,
    },
    /// It works at another speed.
    Slow {
        /// The worker.
        worker: usize,
        /// Factor on its speed; 0 makes no progress.
        speed: f64,
        /// How long.
        for_ms: Millis,
    },
    /// It fails some of the runs that it starts.
    FailRuns {
        /// The worker.
        worker: usize,
        /// Share of the runs.
        share: f64,
        /// How long.
        for_ms: Millis,
    },
    /// It drains and leaves; another incarnation of it comes later.
    Drain {
        /// The worker.
        worker: usize,
        /// Time until it leaves.
        after_ms: Millis,
        /// From its leaving until it comes back.
        back_ms: Millis,
    },
}

/// What clients do beside the ordinary traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientAction {
    /// They submit many jobs at once.
    SubmitBurst {
        /// How many.
        jobs: usize,
    },
    /// They submit jobs that can never succeed.
    SubmitHopeless {
        /// How many.
        jobs: usize,
    },
    /// They cancel jobs that are not over.
    Cancel {
        /// How many.
        jobs: usize,
    },
}

/// What operators do, and what happens to their requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OperatorAction {
    /// An operator changes the configuration.
    Change,
    /// Two operators change the same version.
    Race,
    /// An operator makes one change after another.
    ChangeSeries {
        /// How many.
        count: usize,
        /// From one to the next.
        gap_ms: Millis,
    },
    /// An operator sends a change and, without waiting for its response, one that builds on it.
    ChangeChain,
    /// Copies of operators' requests are delayed on their way, and arrive all the same.
    DelayRequestCopies {
        /// The longest delay.
        max_delay_ms: Millis,
        /// How long this lasts.
        for_ms: Millis,
    },
    /// An operator sends an invalid change.
    InvalidChange,
    /// Responses to operators are lost on their way.
    LoseResponses {
        /// How long.
        for_ms: Millis,
    },
}
