//! The disk of a control machine.

use streamusher_coordination::{DiskChange, DiskImage};
use streamusher_protocol::Millis;

/// A change that is not synced yet.
#[derive(Debug)]
pub(crate) struct PendingWrite {
    pub(crate) ticket: u64,
    pub(crate) change: DiskChange,
}

/// A disk and its faults. At most one change is under way.
#[derive(Debug, Default)]
pub(crate) struct Disk {
    /// What is synced.
    pub(crate) image: DiskImage,
    pub(crate) pending: Option<PendingWrite>,
    /// Added to each sync.
    pub(crate) added_sync_ms: Millis,
    /// Nothing is synced before this time.
    pub(crate) stalled_until: Millis,
    /// Every write is refused.
    pub(crate) full: bool,
}

impl Disk {
    /// Brings a change to the disk, as a whole.
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
