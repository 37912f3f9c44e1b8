//! Resource limits that the machine sets for the process.

use serde::Deserialize;

/// Minimum number of connections that a server may hold, regardless of how few file descriptors are
/// available.
const MIN_CONNECTIONS: u64 = 16;

/// Resource limits that the machine sets for the process.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    /// Share of one core that the process may use.
    pub cpu_share: f64,
    /// Speed of the core, as a multiple of the usual speed.
    pub cores: f64,
    /// Memory in megabytes above which the process is killed.
    pub memory_mb: f64,
    /// Maximum number of file descriptors, of which 200 are reserved for files outside the data directory.
    pub max_fds: u64,
    /// Bandwidth of the machine's network link, in megabits per second.
    pub link_mbps: f64,
    /// Size of the disk in megabytes; 0 if the machine has no disk.
    pub disk_mb: f64,
}

impl MachineLimits {
    /// Returns the maximum number of connections for a server, given that the process reserves
    /// `reserved_descriptors` file descriptors for other purposes.
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
