//! Emulates the whole cluster scheduler in one process and in virtual time. The emulator runs the real state
//! machines of every role against simulated workers, clients, operators, network, disks and clocks, injects
//! faults drawn from a seed, and checks the rules of the deployment.
//!
//! It finds protocol errors that tests of single components do not reach, and reproduces them from their
//! seeds. A simulation takes well under a second, uses no threads or sockets, and draws every random choice
//! from its seed, so that it gives the same result on every machine.
//!
//! - [`fleet`]: the machines with their real state machines, and the simulated environment: [`fleet::Fleet`].
//! - [`faults`]: faults and schedules of faults.
//! - [`checker`]: the rules of the deployment.
//! - [`limits`]: time limits and other limits of the deployment.
//! - [`scenario`]: fleets and faults drawn from seeds, to search for violations of rules.
//! - [`workload`], [`value`], [`experiment`]: the jobs that clients submit, the value that they earn, and
//!   comparisons of policies by this value.
//! - [`submitted_jobs`]: the jobs of a simulation.
//! - [`lost_value`]: attribution of a benchmark run's lost value to causes, based on the log lines of jobs
//!   that missed their objectives. Not used in simulations.
//! - `workers`, `network`, `clock`, `event_queue`, `random`: simulated workers and network, virtual time and
//!   reproducible random numbers.
//!
//! # Example
//!
//! Kills the primary six seconds after the start. No rule may be violated:
//!
//! ```
//! use streamusher_emulator::faults::{ControlOutage, ControlTarget, FaultSchedule};
//! use streamusher_emulator::fleet::settings::FleetSettings;
//! use streamusher_emulator::fleet::Fleet;
//!
//! let kill = ControlOutage::Kill {
//!     target: ControlTarget::Primary,
//!     down_ms: 1_000,
//! };
//! let schedule = FaultSchedule::default().with(6_000, kill);
//! let mut fleet = Fleet::new(FleetSettings::small(1), schedule);
//!
//! assert!(fleet.simulate().is_empty());
//! assert_eq!(fleet.checker().open_jobs(), Vec::new());
//! ```

mod cast;
pub mod checker;
mod clock;
pub mod cpu_quota;
mod event_queue;
pub mod experiment;
pub mod faults;
pub mod fleet;
pub mod limits;
pub mod lost_value;
mod network;
mod random;
pub mod scenario;
pub mod submitted_jobs;
pub mod value;
mod workers;
pub mod workload;
