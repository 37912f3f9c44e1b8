//! The settings of a process.

use super::time_span::deserialize_millis;
use super::{DeploymentLimits, MachineLimits};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use streamusher_protocol::internal::{CoreAddress, CONTROL_PORT_OFFSET};
use streamusher_protocol::Millis;

/// The settings of a process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ProcessSettings {
    /// Name of the machine.
    #[serde(default)]
    pub node_name: Arc<str>,
    /// The role, as the deploy file names it.
    #[serde(default)]
    pub role: Arc<str>,
    /// `front`, `core` or `side`.
    #[serde(default)]
    pub machine_class: Arc<str>,
    /// Which outside parties may call this process: `front` (clients), `side` (the worker on its machine), `control`
    /// (workers and operators).
    #[serde(default)]
    pub serves: Vec<Arc<str>>,
    /// The machine's address.
    pub ip: IpAddr,
    /// The machine's zone.
    #[serde(default)]
    pub zone: Arc<str>,
    /// The zone's region.
    #[serde(default)]
    pub region: Arc<str>,
    /// First and last port for messages between processes of the system.
    pub port_range: [u16; 2],
    /// Control addresses of up to three machines, to join the cluster by.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the very first start of the whole system, on empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the machine counts in `fault_tolerance`.
    #[serde(default)]
    pub counts_for_quorum: bool,
    /// Directory for files; none on machines without a disk.
    #[serde(default, deserialize_with = "deserialize_optional_path")]
    pub data_dir: Option<PathBuf>,
    /// Interval of the workers' heartbeats.
    #[serde(
        default = "default_heartbeat_ms",
        deserialize_with = "deserialize_millis"
    )]
    pub heartbeat_ms: Millis,
    /// Parts of the operators' rules that are in force.
    #[serde(default)]
    pub contracts: Vec<Arc<str>>,
    /// How workers receive commands: `rpc` or `heartbeat`.
    #[serde(default)]
    pub commands: Arc<str>,
    /// Region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<Arc<str>, Arc<str>>,
    /// Addresses to listen at.
    #[serde(default)]
    pub listen: ListenAddresses,
    /// What the machine offers the process.
    #[serde(default)]
    pub limits: MachineLimits,
    /// What may be lost at a time.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Time limits of the rules.
    #[serde(default)]
    pub bounds: DeploymentLimits,
}

/// Addresses to listen at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ListenAddresses {
    /// For clients.
    #[serde(default)]
    pub front: Option<SocketAddr>,
    /// For the platform's readiness probe.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// For workers and operators.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// What may be lost at a time while all rules are kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// Machines whose `counts_for_quorum` is true.
    pub machines: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

impl ProcessSettings {
    /// The address of this machine for messages between processes, at `offset` above the first port of the range.
    pub fn internal_address(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_port(offset))
    }

    /// Each seed as a control machine, with its control address and its internal one. Ports are alike on all machines.
    pub fn core_addresses_of_seeds(&self) -> Vec<CoreAddress> {
        let port = self.internal_port(CONTROL_PORT_OFFSET);
        let core_address = |seed: &SocketAddr| CoreAddress {
            internal: SocketAddr::new(seed.ip(), port).to_string().into(),
            control: seed.to_string().into(),
        };
        self.seeds.iter().map(core_address).collect()
    }

    /// Whether an outside party may call this process.
    pub fn serves(&self, party: &str) -> bool {
        self.serves.iter().any(|served| &**served == party)
    }

    fn internal_port(&self, offset: u16) -> u16 {
        self.port_range[0].saturating_add(offset)
    }
}

impl Default for ProcessSettings {
    /// Settings of a lone process on the local machine, for tests.
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

/// A path; none for an empty text.
fn deserialize_optional_path<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<PathBuf>, D::Error> {
    let text = Option::<String>::deserialize(deserializer)?;
    Ok(text.filter(|text| !text.is_empty()).map(PathBuf::from))
}
