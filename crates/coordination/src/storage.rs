//! Durable data of a member: the content of its disk at the start, and changes of it.

use crate::acceptor::WitnessState;
use crate::batch::LogPosition;
use std::sync::Arc;
use streamusher_protocol::store::Write;

/// The replicated state: a map from keys to JSON texts. Cloning takes O(1).
pub type StateMap = im::OrdMap<Arc<str>, Arc<str>>;

/// Content of a disk, as read at the start of the process.
#[derive(Clone, Debug, Default)]
pub struct DiskImage {
    /// Paxos state of the member; `None` if the disk is empty.
    pub witness: Option<WitnessState>,
    /// Position of `state` in the log.
    pub position: LogPosition,
    /// The replicated state at `position`.
    pub state: StateMap,
}

/// A change of the disk, which is written and synced atomically.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiskChange {
    /// The new witness state; `None` leaves it unchanged.
    pub witness: Option<WitnessState>,
    /// The new position; `None` leaves it unchanged.
    pub position: Option<LogPosition>,
    /// Writes to the replicated state, in order.
    pub writes: Vec<Write>,
    /// Whether the replicated state is cleared before `writes` are applied.
    pub replace_all: bool,
}
