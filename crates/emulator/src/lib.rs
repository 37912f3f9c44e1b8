//! The whole cluster scheduler in one process and in virtual time: the real state machines of every role, with stand-ins for
//! workers, clients, operators, network, disks and clocks, faults from a seed, and a checker of the deployment's rules.
//!
//! It finds faults of the protocols that tests of single parts do not reach, and repeats them from their seeds. A simulation
//! takes well under a second, has no threads or sockets, and draws all that is left to chance from its seed: it gives the same
//! result on every machine.
//!
//! - [`fleet`]: the machines with the real state machines, and all stand-ins joined: [`fleet::Fleet`].
//! - [`faults`]: faults, and schedules of them.
//! - [`checker`]: the rules.
//! - [`limits`]: limits of the deployment.
//! - [`scenario`]: fleets and faults drawn from seeds, for the search for broken rules.
//! - [`workload`], [`value`], [`experiment`]: what clients submit, what it earns, and policies compared by that.
//! - [`submitted_jobs`]: the jobs of a simulation.
//! - [`lost_value`]: where a benchmark run lost its value, by the log lines of jobs that missed their objectives. This part
//!   takes no part in simulations.
//! - `workers`, `network`, `clock`, `event_queue`, `random`: stand-ins, virtual time and repeatable chance.
//!
//! # Example
//!
//! The primary is killed six seconds after the start. No rule may be broken:
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
