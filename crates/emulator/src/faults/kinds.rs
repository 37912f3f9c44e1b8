//! The kinds of faults, grouped by the component that they affect. The table in `docs/design/troubles.md`
//! lists the guarantee that each one attacks.

use streamusher_protocol::Millis;

/// Selects a control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlTarget {
    /// The machine that is primary when the fault is injected.
    Primary,
    /// The machine at this index among the control machines in use.
    Index(usize),
}

/// Takes control machine processes down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ControlOutage {
    /// Kills a process; its disk keeps its state.
    Kill {
        /// The affected machine.
        target: ControlTarget,
        /// Time until the restart.
        down_ms: Millis,
    },
    /// A machine loses power: data that was not synced may be lost.
    PowerLoss {
        /// The affected machine.
        target: ControlTarget,
        /// Time until the restart.
        down_ms: Millis,
    },
    /// A machine loses power and its disk.
    Wipe {
        /// The affected machine.
        target: ControlTarget,
        /// Time until the restart.
        down_ms: Millis,
    },
    /// All processes of the control plane are killed.
    KillAll {
        /// Time until the restart.
        down_ms: Millis,
    },
    /// All control machines lose power.
    PowerLossAll {
        /// Time until the restart.
        down_ms: Millis,
        /// The control machine that also loses its disk.
        wipe: Option<ControlTarget>,
    },
    /// All machines of the fleet lose power.
    PowerLossEverywhere {
        /// Time until the restart.
        down_ms: Millis,
        /// The control machine that also loses its disk.
        wipe: Option<ControlTarget>,
    },
    /// A machine leaves permanently, and another one joins at a new address.
    Replace {
        /// The machine that leaves.
        target: ControlTarget,
        /// Time until the new machine joins.
        after_ms: Millis,
    },
    /// Each machine is asked to leave and is restarted, one after the other.
    RollingRestart {
        /// Time from the start of one machine until the next one is asked to leave.
        gap_ms: Millis,
    },
}

/// Disturbs control machines that keep running.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ControlDegradation {
    /// The process of a machine is suspended and resumes later.
    Freeze {
        /// The affected machine.
        target: ControlTarget,
        /// Duration of the fault.
        for_ms: Millis,
    },
    /// A machine is isolated from the other control machines.
    Isolate {
        /// The affected machine.
        target: ControlTarget,
        /// Only messages from the machine are blocked; messages to it pass.
        one_way: bool,
        /// Duration of the fault.
        for_ms: Millis,
    },
    /// A machine is isolated from all other machines.
    IsolateFromAll {
        /// The affected machine.
        target: ControlTarget,
        /// Duration of the fault.
        for_ms: Millis,
    },
    /// The control plane is partitioned into two halves, with the primary in the smaller one; all other
    /// machines reach both.
    Partition {
        /// Duration of the fault.
        for_ms: Millis,
    },
    /// Disk syncs of a machine take longer.
    SlowDisk {
        /// The affected machine.
        target: ControlTarget,
        /// Delay added to each sync.
        by_ms: Millis,
        /// Duration of the fault.
        for_ms: Millis,
    },
    /// The disk of a machine stops completing syncs.
    StallDisk {
        /// The affected machine.
        target: ControlTarget,
        /// Duration of the fault.
        for_ms: Millis,
    },
    /// The disk of a machine rejects writes.
    FullDisk {
        /// The affected machine.
        target: ControlTarget,
        /// Duration of the fault.
        for_ms: Millis,
    },
    /// The wall clock of a machine jumps, and later jumps back.
    StepClock {
        /// The affected machine.
        target: ControlTarget,
        /// Size of the jump; negative moves the clock back.
        by_ms: i64,
        /// Time until it jumps back.
        for_ms: Millis,
    },
    /// A share of the messages between control machines is lost.
    DropMessages {
        /// Share of the messages that is lost, from 0 to 1.
        share: f64,
        /// Duration of the fault.
        for_ms: Millis,
    },
    /// All links of a machine have added latency.
    SlowLinks {
        /// The affected machine.
        target: ControlTarget,
        /// Latency added to each message.
        by_ms: Millis,
        /// Duration of the fault.
        for_ms: Millis,
    },
}

/// Affects gates, agents, or all processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DataPlaneFault {
    /// Kills the process of a gate.
    KillGate {
        /// Index among the gates.
        gate: usize,
        /// Time until the restart.
        down_ms: Millis,
    },
    /// The process of a gate is suspended and resumes later.
    FreezeGate {
        /// Index among the gates.
        gate: usize,
        /// Duration of the fault.
        for_ms: Millis,
    },
    /// A gate is isolated from the control plane.
    IsolateGate {
        /// Index among the gates.
        gate: usize,
        /// Duration of the fault.
        for_ms: Millis,
    },
    /// Kills the process of an agent.
    KillAgent {
        /// Index of the agent's worker.
        worker: usize,
        /// Time until the restart.
        down_ms: Millis,
    },
    /// The process of an agent is suspended and resumes later.
    FreezeAgent {
        /// Index of the agent's worker.
        worker: usize,
        /// Duration of the fault.
        for_ms: Millis,
    },
    /// The machine of a worker is isolated from the control plane; the worker keeps running.
    IsolateAgent {
        /// Index of the agent's worker.
        worker: usize,
        /// Only messages from the machine are blocked; messages to it pass.
        one_way: bool,
        /// Duration of the fault.
        for_ms: Millis,
    },
    /// All processes of the fleet are killed at once.
    KillEverything {
        /// Time until the restart.
        down_ms: Millis,
    },
    /// Takes many processes down at the same moment.
    TakeManyDown {
        /// The processes that go down, by role.
        targets: ManyTargets,
        /// Whether the machines lose power, so that no other machine is notified; otherwise the processes are
        /// killed.
        power_loss: bool,
        /// Time until the restart.
        down_ms: Millis,
    },
}

/// Processes that go down at the same moment, by role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ManyTargets {
    /// Portion of the gates.
    pub gates: Portion,
    /// Portion of the agents.
    pub agents: Portion,
    /// Portion of the control machines; the primary is selected first.
    pub control_machines: Portion,
}

/// Portion of a group of machines.
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
    /// Number of machines that the portion covers out of `count`.
    pub fn of(self, count: usize) -> usize {
        match self {
            Portion::None => 0,
            Portion::One => count.min(1),
            Portion::Half => count / 2,
            Portion::All => count,
        }
    }
}

/// Affects a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerFault {
    /// The worker crashes.
    Crash {
        /// Index of the worker.
        worker: usize,
        /// Time until the worker restarts; `None` if it stays down.
        back_ms: Option<Millis>,
    },
    /// The worker runs at another speed.
    Slow {
        /// Index of the worker.
        worker: usize,
        /// Factor on the worker's speed; 0 stops all progress.
        speed: f64,
        /// Duration of the fault.
        for_ms: Millis,
    },
    /// The worker fails a share of the runs that it starts.
    FailRuns {
        /// Index of the worker.
        worker: usize,
        /// Share of the runs that fail, from 0 to 1.
        share: f64,
        /// Duration of the fault.
        for_ms: Millis,
    },
    /// The worker drains and leaves; a new incarnation of it joins later.
    Drain {
        /// Index of the worker.
        worker: usize,
        /// Time until the worker leaves.
        after_ms: Millis,
        /// Time from the worker's leaving until its new incarnation joins.
        back_ms: Millis,
    },
}

/// Actions of clients in addition to the regular traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientAction {
    /// Clients submit many jobs at once.
    SubmitBurst {
        /// Number of jobs.
        jobs: usize,
    },
    /// Clients submit jobs that can never succeed.
    SubmitHopeless {
        /// Number of jobs.
        jobs: usize,
    },
    /// Clients cancel jobs that are not finished.
    Cancel {
        /// Number of jobs.
        jobs: usize,
    },
}

/// Actions of operators, and faults that affect their requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OperatorAction {
    /// An operator changes the configuration.
    Change,
    /// Two operators change the same version concurrently.
    Race,
    /// An operator makes a series of changes.
    ChangeSeries {
        /// Number of changes.
        count: usize,
        /// Time from one change to the next.
        gap_ms: Millis,
    },
    /// An operator sends a change and, without waiting for the response, another change that builds on it.
    ChangeChain,
    /// Copies of operator requests are delayed in the network and still arrive.
    DelayRequestCopies {
        /// The longest delay.
        max_delay_ms: Millis,
        /// How long this lasts.
        for_ms: Millis,
    },
    /// An operator sends an invalid change.
    InvalidChange,
    /// Responses to operators are lost in the network.
    LoseResponses {
        /// Duration of the fault.
        for_ms: Millis,
    },
}
