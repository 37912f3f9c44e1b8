//! Time and identifiers.

/// Microseconds: a point in time or a duration.
pub type Micros = u64;

/// A worker, numbered from 0 in the order in which this dispatcher's endpoint lists first named it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerId(pub u32);

impl WorkerId {
    /// Index of the worker in a list that is ordered by worker number.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// A request, as numbered by the embedder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// A request class: index in [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub u32);

impl ClassId {
    /// Index of the class in the settings.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// A tenant: index in [`Settings::tenants`](super::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub u32);

impl TenantId {
    /// Index of the tenant in the settings.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// A zone, as numbered by the embedder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u32);

/// A kind of machine, as numbered by the embedder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub u32);
