//! How workers and waiting units are referred to.

/// Index of a worker.
pub(crate) type Slot = u32;

/// Where a unit stands among all that wait: lower first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Key {
    pub priority: u32,
    /// Within the priority.
    pub order: u64,
    /// In the order of arrival.
    pub serial: u64,
}
