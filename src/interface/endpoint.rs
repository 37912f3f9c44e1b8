//! The endpoint list of discovery: one entry for each worker.

use super::{KindId, Micros, WorkerId, ZoneId};

/// State of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts requests.
    #[default]
    Ready,
    /// It finishes what it has and accepts nothing more.
    Draining,
    /// It is gone.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its state.
    pub state: EndpointState,
    /// When its process last started; 0 for long ago. A new value means a new process, which remembers nothing.
    pub started_at_us: Micros,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: u32,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its weight; [`WeightMeaning`](super::WeightMeaning) tells what that stands for.
    pub weight: f64,
    /// A hash of its address, the same at every dispatcher.
    pub hash: u64,
}
