//! The replicated state of one member: the map in memory, its position in the log, and the recent batches.

use crate::batch::{Batch, LogPosition};
use crate::disk::DiskQueue;
use crate::log_cache::LogCache;
use crate::storage::StateMap;
use streamusher_protocol::store::Write;

/// The replicated state in memory. The disk lags behind: `synced` is never above `applied`.
#[derive(Clone, Debug)]
pub(crate) struct ReplicatedState {
    map: StateMap,
    applied: LogPosition,
    synced: LogPosition,
    log_cache: LogCache,
}

impl ReplicatedState {
    /// Creates the state from the content of the disk.
    pub(crate) fn new(map: StateMap, position: LogPosition) -> ReplicatedState {
        ReplicatedState {
            map,
            applied: position,
            synced: position,
            log_cache: LogCache::default(),
        }
    }

    /// All keys and values of the state in memory.
    pub(crate) fn map(&self) -> &StateMap {
        &self.map
    }

    /// Position of the state in memory.
    pub(crate) fn applied(&self) -> LogPosition {
        self.applied
    }

    /// Position of the state on disk.
    pub(crate) fn synced(&self) -> LogPosition {
        self.synced
    }

    /// The newest applied batches.
    pub(crate) fn log_cache(&self) -> &LogCache {
        &self.log_cache
    }

    /// Records that the disk has synced the state up to this position.
    pub(crate) fn on_synced(&mut self, position: LogPosition) {
        self.synced = position;
    }

    /// Applies the next batch in memory and queues it for the disk. At most `max_cache_bytes` of recent
    /// batches are kept.
    pub(crate) fn apply(&mut self, batch: Batch, disk: &mut DiskQueue, max_cache_bytes: usize) {
        for write in batch.writes.iter() {
            apply_write(&mut self.map, write);
        }
        self.applied = batch.position;
        disk.put_writes(batch.position, &batch.writes);
        self.log_cache.push(batch, max_cache_bytes);
    }

    /// Replaces the state with a snapshot: immediately in memory, and on disk with a single change.
    pub(crate) fn install_snapshot(
        &mut self,
        position: LogPosition,
        writes: Vec<Write>,
        disk: &mut DiskQueue,
    ) {
        log::info!(
            "installed snapshot in memory: {} keys, position {position:?}",
            writes.len()
        );
        let mut map = StateMap::new();
        for write in &writes {
            apply_write(&mut map, write);
        }
        self.map = map;
        self.applied = position;
        self.log_cache.clear();
        disk.put_snapshot(position, writes);
    }
}

fn apply_write(map: &mut StateMap, write: &Write) {
    match &write.value {
        Some(value) => map.insert(write.key.clone(), value.clone()),
        None => map.remove(&write.key),
    };
}
