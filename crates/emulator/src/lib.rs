//! The whole scheduler in one process and in virtual time: the real state machines of every role, with stand-ins for
//! workers, clients, operators, network, disks and clocks, faults from a seed, and a checker of the deployment's rules.
//!
//! - [`plant`]: the application's workers.
//! - [`catalog`]: what clients hand in.
//! - [`checker`]: the rules.
//! - [`network`], [`clock`]: what machines are connected by and go by.
//! - [`queue`], [`random`]: virtual time and repeatable chance.
//! - [`bounds`]: bounds of the deployment.
//! - [`faults`]: troubles of a day, drawn from a seed.
//! - [`fleet`]: the machines with the real state machines, and all stand-ins joined.
//! - [`search`]: days drawn from seeds.
//! - [`losses`]: where a bench's play lost its worth, by the lines of jobs that missed their objective.
//! - [`workload`], [`worth`], [`experiment`]: what clients hand in, what it earns, and two policies played on the same days.

pub mod bounds;
pub mod catalog;
pub mod checker;
pub mod clock;
pub mod experiment;
pub mod faults;
pub mod fleet;
pub mod losses;
pub mod network;
pub mod plant;
pub mod queue;
pub mod random;
pub mod search;
pub mod workload;
pub mod worth;
