//! What the machine offers the process.

use serde::Deserialize;

/// Connections that a server may hold, however few descriptors there are.
const MIN_CONNECTIONS: u64 = 16;

/// What the machine offers the process.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    /// Share of one core.
    pub cpu_share: f64,
    /// Speed of the core, in multiples of the usual one.
    pub cores: f64,
    /// Memory above which the process is killed.
    pub memory_mb: f64,
    /// Descriptors, of which 200 are kept for files outside the data directory.
    pub max_fds: u64,
    /// Bandwidth of the machine's link.
    pub link_mbps: f64,
    /// Size of the disk; 0 without one.
    pub disk_mb: f64,
}

impl MachineLimits {
    /// Connections that a server may hold, where the process needs `reserved_descriptors` for other things.
    pub fn max_connections(&self, reserved_descriptors: u64) -> usize {
        let connections = self
            .max_fds
            .saturating_sub(reserved_descriptors)
            .max(MIN_CONNECTIONS);
        usize::try_from(connections).unwrap_or(usize::MAX)
    }
}

impl Default for MachineLimits {
    fn default() -> MachineLimits {
        MachineLimits {
            cpu_share: 1.0,
            cores: 1.0,
            memory_mb: 256.0,
            max_fds: 1_024,
            link_mbps: 1_000.0,
            disk_mb: 0.0,
        }
    }
}
