//! The parts of a fleet.

use super::clients::Clients;
use super::environment::Environment;
use super::operators::Operators;
use crate::workers::SimulatedWorkers;

/// All parts of a fleet. They do not depend on each other, but share the environment.
pub(crate) struct FleetState {
    pub(crate) environment: Environment,
    pub(crate) clients: Clients,
    pub(crate) operators: Operators,
    pub(crate) workers: SimulatedWorkers,
}
