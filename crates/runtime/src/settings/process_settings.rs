//! The settings of a process and their defaults.

use super::time_span::deserialize_millis;
use super::{DeploymentLimits, MachineLimits};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use streamusher_protocol::internal::{CoreAddress, CONTROL_PORT_OFFSET};
use streamusher_protocol::Millis;

/// The settings of a process, as its settings file gives them.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ProcessSettings {
    /// Name of the machine that the process runs on.
    #[serde(default)]
    pub node_name: Arc<str>,
    /// Role of the process, as the deploy file names it.
    #[serde(default)]
    pub role: Arc<str>,
    /// Class of the machine: `front`, `core` or `side`.
    #[serde(default)]
    pub machine_class: Arc<str>,
    /// External parties that may call this process: `front` (clients), `side` (the worker on its machine),
    /// `control` (workers and operators).
    #[serde(default)]
    pub serves: Vec<Arc<str>>,
    /// IP address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine.
    #[serde(default)]
    pub zone: Arc<str>,
    /// Region of the zone.
    #[serde(default)]
    pub region: Arc<str>,
    /// First and last port for messages between processes of the system.
    pub port_range: [u16; 2],
    /// Control addresses of up to three machines, used to join the cluster.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// True only for the very first start of the whole system, on empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the machine counts towards `fault_tolerance`.
    #[serde(default)]
    pub counts_for_quorum: bool,
    /// Directory for files; `None` on machines without a disk.
    #[serde(default, deserialize_with = "deserialize_optional_path")]
    pub data_dir: Option<PathBuf>,
    /// Interval between the heartbeats of a worker, in milliseconds.
    #[serde(
        default = "default_heartbeat_ms",
        deserialize_with = "deserialize_millis"
    )]
    pub heartbeat_ms: Millis,
    /// The parts of the operators' rules that are in force.
    #[serde(default)]
    pub contracts: Vec<Arc<str>>,
    /// How workers receive commands: `rpc` or `heartbeat`.
    #[serde(default)]
    pub commands: Arc<str>,
    /// Maps each zone to its region.
    #[serde(default)]
    pub zones: BTreeMap<Arc<str>, Arc<str>>,
    /// Addresses that the process listens on.
    #[serde(default)]
    pub listen: ListenAddresses,
    /// Resource limits that the machine sets for the process.
    #[serde(default)]
    pub limits: MachineLimits,
    /// Failures that the deployment tolerates at a time.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Time limits of the operators' rules.
    #[serde(default)]
    pub bounds: DeploymentLimits,
}

/// Addresses that a process listens on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ListenAddresses {
    /// Address for clients.
    #[serde(default)]
    pub front: Option<SocketAddr>,
    /// Address for the platform's readiness probe.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Address for workers and operators.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// Numbers of simultaneous failures under which all rules still hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// Number of machines that may fail, among those whose `counts_for_quorum` is true.
    pub machines: u32,
    /// Number of zones that may fail.
    pub zones: u32,
    /// Number of regions that may fail.
    pub regions: u32,
}

impl ProcessSettings {
    /// Returns this machine's address for messages between processes, on the port at `offset` from the start
    /// of the port range.
    pub fn internal_address(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_port(offset))
    }

    /// Returns the control and internal addresses of each seed. The internal port is derived from this
    /// machine's port range, because all machines use the same ports.
    pub fn core_addresses_of_seeds(&self) -> Vec<CoreAddress> {
        let port = self.internal_port(CONTROL_PORT_OFFSET);
        let core_address = |seed: &SocketAddr| CoreAddress {
            internal: SocketAddr::new(seed.ip(), port).to_string().into(),
            control: seed.to_string().into(),
        };
        self.seeds.iter().map(core_address).collect()
    }

    /// Returns true if the external party may call this process; see the field `serves`.
    pub fn serves(&self, party: &str) -> bool {
        self.serves.iter().any(|served| &**served == party)
    }

    fn internal_port(&self, offset: u16) -> u16 {
        self.port_range[0].saturating_add(offset)
    }
}

impl Default for ProcessSettings {
    /// Settings of a single process on the local machine, for tests.
    fn default() -> ProcessSettings {
        ProcessSettings {
            node_name: "node".into(),
            role: "".into(),
            machine_class: "".into(),
            serves: Vec::new(),
            ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
            zone: "".into(),
            region: "".into(),
            port_range: [7_300, 7_315],
            seeds: Vec::new(),
            bootstrap: false,
            counts_for_quorum: false,
            data_dir: None,
            heartbeat_ms: default_heartbeat_ms(),
            contracts: Vec::new(),
            commands: "heartbeat".into(),
            zones: BTreeMap::new(),
            listen: ListenAddresses::default(),
            limits: MachineLimits::default(),
            fault_tolerance: FaultTolerance::default(),
            bounds: DeploymentLimits::default(),
        }
    }
}

fn default_heartbeat_ms() -> Millis {
    1_500
}

/// Decodes a path; an empty string gives `None`.
fn deserialize_optional_path<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<PathBuf>, D::Error> {
    let text = Option::<String>::deserialize(deserializer)?;
    Ok(text.filter(|text| !text.is_empty()).map(PathBuf::from))
}
