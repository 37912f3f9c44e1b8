//! Entries of the endpoint list that discovery provides: one for each worker.

use super::{KindId, Micros, WorkerId, ZoneId};

/// State of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The worker accepts requests.
    #[default]
    Ready,
    /// The worker finishes its current requests and accepts no new ones.
    Draining,
    /// The worker has left.
    Gone,
}

/// Entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Identifier that this dispatcher assigned to the worker.
    pub worker: WorkerId,
    /// Whether the worker accepts requests.
    pub state: EndpointState,
    /// Start time of the worker's process; 0 if it started long ago. A new value means a new process, which
    /// has no state of the previous one.
    pub started_at_us: Micros,
    /// Zone that the worker runs in.
    pub zone: ZoneId,
    /// Cell that the worker runs in.
    pub cell: u32,
    /// Kind of machine that the worker runs on.
    pub kind: KindId,
    /// Weight of the worker; [`WeightMeaning`](super::WeightMeaning) defines how it is interpreted.
    pub weight: f64,
    /// Hash of the worker's address, identical at all dispatchers.
    pub hash: u64,
}
