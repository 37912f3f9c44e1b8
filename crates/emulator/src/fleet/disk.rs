//! The disk of a control machine.

use streamusher_coordination::{DiskChange, DiskImage};
use streamusher_protocol::Millis;

/// A change that is not synced yet.
#[derive(Debug)]
pub(crate) struct PendingWrite {
    pub(crate) ticket: u64,
    pub(crate) change: DiskChange,
}

/// A disk and its faults. At most one change is in flight.
#[derive(Debug, Default)]
pub(crate) struct Disk {
    /// Synced content of the disk.
    pub(crate) image: DiskImage,
    pub(crate) pending: Option<PendingWrite>,
    /// Delay added to each sync by a fault.
    pub(crate) added_sync_ms: Millis,
    /// True time before which no sync completes.
    pub(crate) stalled_until: Millis,
    /// Whether the disk rejects every write.
    pub(crate) full: bool,
}

impl Disk {
    /// Applies a change to the disk atomically.
    pub(crate) fn apply(&mut self, change: &DiskChange) {
        if let Some(witness) = &change.witness {
            self.image.witness = Some(witness.clone());
        }
        if let Some(position) = change.position {
            self.image.position = position;
        }
        if change.replace_all {
            self.image.state.clear();
        }
        for write in &change.writes {
            match &write.value {
                Some(value) => self.image.state.insert(write.key.clone(), value.clone()),
                None => self.image.state.remove(&write.key),
            };
        }
    }
}
