//! How workers and pending units are referred to within this package.

/// Index of a worker in the [`WorkerTable`](crate::worker_table::WorkerTable); reused when its worker is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct WorkerIndex(pub(crate) usize);

/// Identifies a pending unit by its place in the queue's order: the least key comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct QueueKey {
    /// 0 is the most urgent.
    pub(crate) priority: u32,
    /// The order within the priority, as the caller gave it.
    pub(crate) order: u64,
    /// Breaks ties in the order of arrival, and makes the key unique.
    pub(crate) serial: u64,
}
