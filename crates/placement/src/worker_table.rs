//! Table of all workers, by index and by identifier.

use crate::index::WorkerIndex;
use crate::worker::Worker;
use std::collections::HashMap;
use streamusher_protocol::unit::WorkerId;

/// Table of all workers. Indexes are dense and reused, which keeps lookups by index cheap.
#[derive(Debug, Default)]
pub(crate) struct WorkerTable {
    entries: Vec<Option<Worker>>,
    free_indexes: Vec<WorkerIndex>,
    by_id: HashMap<WorkerId, WorkerIndex>,
}

impl WorkerTable {
    pub(crate) fn index_of(&self, id: &str) -> Option<WorkerIndex> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn get(&self, index: WorkerIndex) -> Option<&Worker> {
        self.entries.get(index.0)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, index: WorkerIndex) -> Option<&mut Worker> {
        self.entries.get_mut(index.0)?.as_mut()
    }

    pub(crate) fn by_id(&self, id: &str) -> Option<&Worker> {
        self.get(self.index_of(id)?)
    }

    pub(crate) fn by_id_mut(&mut self, id: &str) -> Option<&mut Worker> {
        self.get_mut(self.index_of(id)?)
    }

    pub(crate) fn add(&mut self, worker: Worker) -> WorkerIndex {
        let next = WorkerIndex(self.entries.len());
        let index = self.free_indexes.pop().unwrap_or(next);
        self.by_id.insert(worker.info.id.clone(), index);
        match self.entries.get_mut(index.0) {
            Some(entry) => *entry = Some(worker),
            None => self.entries.push(Some(worker)),
        }
        index
    }

    pub(crate) fn remove(&mut self, index: WorkerIndex) -> Option<Worker> {
        let worker = self.entries.get_mut(index.0)?.take()?;
        self.by_id.remove(&worker.info.id);
        self.free_indexes.push(index);
        Some(worker)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (WorkerIndex, &Worker)> {
        let entries = self.entries.iter().enumerate();
        entries.filter_map(|(index, worker)| Some((WorkerIndex(index), worker.as_ref()?)))
    }
}
