//! What a member finds on its disk at the start, and how it changes the disk.

use crate::acceptor::WitnessState;
use crate::batch::LogPosition;
use std::sync::Arc;
use streamusher_protocol::store::Write;

/// The replicated state: keys to JSON texts. A clone takes O(1).
pub type StateMap = im::OrdMap<Arc<str>, Arc<str>>;

/// The content of a disk, as it is found at the start.
#[derive(Clone, Debug, Default)]
pub struct DiskImage {
    /// What the member has voted; none if the disk is empty.
    pub witness: Option<WitnessState>,
    /// Position of `state` in the log.
    pub position: LogPosition,
    /// The replicated state.
    pub state: StateMap,
}

/// A change of the disk; made and synced as a whole, or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiskChange {
    /// Replaces the state of the witness.
    pub witness: Option<WitnessState>,
    /// Replaces the position.
    pub position: Option<LogPosition>,
    /// Changes of the replicated state, in order.
    pub writes: Vec<Write>,
    /// Whether the replicated state is cleared before `writes`.
    pub replace_all: bool,
}
