//! Internal references to workers and pending units.

/// Index of a worker in the [`WorkerTable`](crate::worker_table::WorkerTable); reused after its worker is
/// removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct WorkerIndex(pub(crate) usize);

/// Key of a pending unit, ordered by its position in the queue: the smallest key comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct QueueKey {
    /// Priority of the unit; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Order within the priority, as set by the caller.
    pub(crate) order: u64,
    /// Sequence number of arrival: breaks ties and makes the key unique.
    pub(crate) serial: u64,
}
