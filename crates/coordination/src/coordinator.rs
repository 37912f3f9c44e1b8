//! The state machine of one core machine (signatures only as yet).

use crate::types::*;
use streamusher_protocol::internal::ClusterView;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// Epochs, leases and replication of one core machine.
pub struct Coordinator {
    image: DiskImage,
    appended: u64,
}

impl Coordinator {
    /// Starts from what is on disk.
    pub fn new(_settings: Settings, image: DiskImage, _now: Millis) -> Coordinator {
        Coordinator { image, appended: 0 }
    }

    /// Takes an input and says what is to be done.
    pub fn handle(&mut self, _now: Millis, _input: Input) -> Vec<Output> {
        Vec::new()
    }

    /// Appends writes; only while primary. Returns the append's sequence, which rises by 1.
    pub fn append(&mut self, _now: Millis, _writes: Vec<Write>) -> (u64, Vec<Output>) {
        self.appended += 1;
        (self.appended, Vec::new())
    }

    /// Whether this is the primary with a valid lease: replies may be released.
    pub fn may_act(&self, _now: Millis) -> bool {
        false
    }

    /// Sequence of the newest append.
    pub fn appended(&self) -> u64 {
        self.appended
    }

    /// Sequence up to which appends are committed.
    pub fn committed(&self) -> u64 {
        0
    }

    /// The state that a new primary recovers from; O(1).
    pub fn state(&self) -> StateMap {
        self.image.state.clone()
    }

    /// What this machine knows of the control plane.
    pub fn view(&self, _now: Millis) -> ClusterView {
        ClusterView::default()
    }

    /// The newest epoch known.
    pub fn epoch(&self) -> u64 {
        0
    }

    /// Status for operators.
    pub fn status(&self, _now: Millis) -> Status {
        Status {
            id: DiskId::default(),
            role: Role::Joining,
            acting: false,
            record: Default::default(),
            applied: self.image.position,
            synced: self.image.position,
            committed: 0,
            peers: Vec::new(),
        }
    }

    /// After [`Input::Leave`]: no longer primary, nothing outstanding.
    pub fn may_leave(&self) -> bool {
        true
    }
}
