//! Adds machines, and starts and ends their processes.

use super::discovery;
use super::disk::Disk;
use super::environment::Environment;
use super::event::Event;
use super::machine::{Machine, Role, TICK_MS};
use super::process::{AgentProcess, ControlProcess, GateProcess, Process};
use super::rpc;
use crate::clock::MachineClock;
use crate::network::MachineId;
use streamusher_coordination::CoordinatorSettings;
use streamusher_dataplane::agent::AgentSettings;
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::Millis;
use streamusher_scheduler::{SchedulerLimits, SchedulerSettings};

/// Largest error of a wall clock, in either direction.
const MAX_UNIX_ERROR_MS: u64 = 20;
/// Smallest and largest reading of a steady clock at the start.
const STEADY_OFFSET_MS: (Millis, Millis) = (1_000, 1_000_000);
/// Largest delay of a tick.
const MAX_TICK_DELAY_MS: Millis = 3;
/// Probability that a write in flight is on the disk after its process has ended.
const UNSYNCED_WRITE_KEPT_PROBABILITY: f64 = 0.5;

/// The way in which a process ends abruptly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessEnd {
    /// The process is killed: its connections break.
    Killed,
    /// The machine loses power: no peer is notified.
    PowerLost,
}

/// Adds a machine whose process is not running yet. `index` is the index among the machines of its role.
pub(crate) fn add_machine(env: &mut Environment, role: Role, index: usize) -> MachineId {
    let id = env.machines.len();
    let unix_error_ms = draw_unix_error(env);
    let clock = MachineClock {
        steady_offset_ms: env.random.between(STEADY_OFFSET_MS.0, STEADY_OFFSET_MS.1),
        unix_error_ms,
    };
    env.machines.add(Machine {
        id,
        role,
        name: format!("{}-{index}", role.name()).into(),
        address: CoreAddress {
            internal: format!("10.0.0.{id}:7000").into(),
            control: format!("10.0.0.{id}:8000").into(),
        },
        clock,
        process: None,
        unix_error_at_start_ms: unix_error_ms,
        boot: 0,
        frozen_until: None,
        cpu_quota: env.settings.cpu_quota,
        removed: false,
        disk: Disk::default(),
        bootstrap: role == Role::Control && index < env.settings.control_machines,
    });
    id
}

fn draw_unix_error(env: &mut Environment) -> i64 {
    let drawn_ms = env.random.between(0, 2 * MAX_UNIX_ERROR_MS);
    let from_zero_ms = 0_i64.saturating_add_unsigned(drawn_ms);
    from_zero_ms.saturating_sub_unsigned(MAX_UNIX_ERROR_MS)
}

/// Starts the process of a machine, unless it is running or the machine was removed.
pub(crate) fn start_process(env: &mut Environment, machine: MachineId) {
    let state = &mut env.machines[machine];
    if state.removed || state.process.is_some() {
        return;
    }
    state.boot += 1;
    state.unix_error_at_start_ms = state.clock.unix_error_ms;
    let boot = state.boot;
    let role = state.role;
    env.trace(|| format!("start {}", env.machines[machine].name));
    let process = match role {
        Role::Control => Process::Control(Box::new(new_control(env, machine))),
        Role::Gate => Process::Gate(Box::new(GateProcess::new(discovery::new_discovery(env)))),
        Role::Agent => Process::Agent(Box::new(new_agent(env, machine))),
    };
    env.machines[machine].process = Some(process);
    env.schedule_in(0, Event::Tick { machine, boot });
}

fn new_control(env: &mut Environment, machine: MachineId) -> ControlProcess {
    let now = env.clocks(machine);
    let random_seed = env.random.next_u64();
    let state = &env.machines[machine];
    let replication = CoordinatorSettings {
        address: state.address.clone(),
        bootstrap: state.bootstrap && state.boot == 1,
        seeds: discovery::seeds(env),
        tolerance: env.settings.tolerance,
        lease_ms: env.settings.lease_ms,
        random_seed,
    };
    let scheduler = SchedulerSettings {
        limits: scheduler_limits(env),
        random_seed,
        fair_share: None,
        policy: env.settings.policy,
    };
    ControlProcess::new(scheduler, replication, state.disk.image.clone(), now)
}

fn scheduler_limits(env: &Environment) -> SchedulerLimits {
    let limits = &env.settings.limits;
    SchedulerLimits {
        max_lease_ms: limits.hold_max_ms,
        max_stop_ms: limits.stop_ms,
        gang_timeout_ms: limits.gang_ms,
        status_retention_ms: limits.status_ms,
        remote_slowdown: limits.far_x,
        checkpoint_restore_ms: limits.restore_ms,
    }
}

fn new_agent(env: &mut Environment, machine: MachineId) -> AgentProcess {
    let boot = env.random.next_u64();
    let limits = &env.settings.limits;
    let settings = AgentSettings {
        name: env.machines[machine].name.clone(),
        boot,
        hold_max_ms: limits.hold_max_ms,
        heartbeat_ms: limits.heartbeat_ms,
    };
    let now = env.clocks(machine).steady_ms;
    AgentProcess::new(settings, discovery::new_discovery(env), now)
}

/// Schedules the next tick of a process.
pub(crate) fn schedule_tick(env: &mut Environment, machine: MachineId, boot: u64) {
    let delay_ms = TICK_MS + env.random.between(0, MAX_TICK_DELAY_MS);
    env.schedule_in(delay_ms, Event::Tick { machine, boot });
}

/// Ends the process of a machine abruptly. A write that is not synced may be lost.
pub(crate) fn end_process(env: &mut Environment, machine: MachineId, end: ProcessEnd) {
    let state = &mut env.machines[machine];
    if state.process.take().is_none() {
        return;
    }
    state.frozen_until = None;
    let pending = state.disk.pending.take();
    env.trace(|| format!("end {} ({end:?})", env.machines[machine].name));
    if let Some(pending) = pending {
        if env.random.chance(UNSYNCED_WRITE_KEPT_PROBABILITY) {
            env.machines[machine].disk.apply(&pending.change);
        }
    }
    rpc::abandon_calls_of(env, machine);
    if end == ProcessEnd::Killed {
        rpc::break_calls_to(env, machine);
    }
}
