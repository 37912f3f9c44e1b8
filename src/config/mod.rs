//! Reads and validates all configuration and applies its defaults. Error messages name the faulty key.
//!
//! The platform's configuration is the JSON file that `NODE_CONFIG` names; `NODE_NAME`, `NODE_LISTEN` and
//! `NODE_DISCOVERY` override its `name`, `listen` and `discovery`. On SIGHUP the file is read again, and its
//! `discovery` then takes precedence. All other settings are in the operators' file, in TOML: see
//! [`operators`]. The DRMAA front may have its own file, with the contents of the table `[drmaa]`.

pub mod fleet;
pub mod operators;

use crate::core::PoolMember;
use crate::net::discovery::List;
use crate::settings::PlatformSettings;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use streamusher_inventory::KnownNames;

/// The configuration of the program at its start.
pub struct Config {
    /// Name of this dispatcher.
    pub name: String,
    /// Address on which the front accepts connections.
    pub listen: SocketAddr,
    /// Address of the discovery service; none if all workers are in the inventory.
    pub discovery: Option<SocketAddr>,
    /// Address for the operators' calls (`readyz`, `telemetry`); none disables them.
    pub mgmt: Option<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// The last known pool configuration, used at the start.
    pub(crate) initial_list: List,
    pub(crate) setup: PlatformSettings,
    /// The DRMAA front and its workers, if enabled.
    pub drmaa: Option<DrmaaConfig>,
    /// The tenants whose operations are accepted, if tenants are distinguished.
    pub tenants: Option<operators::TenantsConfig>,
    /// The ledger in which usage is recorded, if enabled.
    pub ledger: Option<operators::LedgerConfig>,
    /// What is shared with other dispatchers, if enabled.
    pub fleet: Option<fleet::FleetConfig>,
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum number of file descriptors.
    pub sockets: usize,
    /// Maximum memory in MB.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: 1_024,
            memory_mb: 192,
        }
    }
}

/// File descriptors that are always in use or must stay free: standard streams, the event loop, signals,
/// listeners, discovery, operators' calls, and a new connection being accepted or opened.
const RESERVED_DESCRIPTORS: usize = 24 + crate::net::mgmt::MAX_OPERATOR_CONNECTIONS;

impl Limits {
    /// A share, in sixteenths, of the descriptors that are not reserved for files, listeners and the event
    /// loop. Front sockets and their reserve, connections to workers, job sessions and cancellations together
    /// use all sixteen.
    fn share(&self, sixteenths: usize) -> usize {
        ((self.sockets - RESERVED_DESCRIPTORS) * sixteenths / 16).max(2)
    }

    /// Maximum total size of the client bodies in flight, in bytes. Each body may be held a second time while
    /// it is written to a worker; half of the memory is left for everything else.
    pub(crate) fn body_bytes(&self) -> usize {
        (self.memory_mb << 20) / 4
    }

    /// Front sockets accepted although all others are busy: call-backs from workers end the operations that
    /// the others wait for.
    pub fn front_reserve(&self) -> usize {
        self.share(1)
    }

    /// Maximum number of front sockets, without the reserve.
    pub fn front_sockets(&self) -> usize {
        self.share(7)
    }

    /// Maximum number of front sockets that clients may keep open between requests. Clients hold at most a
    /// third of the descriptors, and must be able to open more.
    pub fn idle_front_sockets(&self) -> usize {
        self.share(2)
    }

    /// Maximum number of job sessions of the DRMAA front.
    pub fn sessions(&self) -> usize {
        self.share(1)
    }

    /// Maximum number of connections to workers.
    pub fn worker_sockets(&self) -> usize {
        self.share(6)
    }

    /// Additional connections that cancellations may open while all others are in use: the last sixteenth.
    pub fn cancel_reserve(&self) -> usize {
        self.share(1)
    }
}

/// Configuration of the DRMAA front and its workers.
#[derive(Clone, Debug)]
pub struct DrmaaConfig {
    /// Address on which job sessions are accepted; none if only the worker driver is used.
    pub listen: Option<SocketAddr>,
    /// Maximum number of jobs stored, including ended ones.
    pub max_jobs: usize,
    /// How long a job's information is kept after its end, in seconds.
    pub keep_s: f64,
    /// Workers that the DRMAA driver uses.
    pub workers: Vec<PoolMember>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ConfigFile {
    name: String,
    listen: String,
    discovery: String,
    mgmt: String,
    seed: String,
    limits: Limits,
    known: List,
    settings: Option<PlatformSettings>,
}

impl Config {
    /// Reads the whole configuration. `env` looks up an environment variable; `drmaa` is the path of the
    /// DRMAA front's file.
    pub fn load(
        env: impl Fn(&str) -> Option<String>,
        drmaa: Option<&Path>,
    ) -> Result<Config, String> {
        let path = env("NODE_CONFIG")
            .ok_or("NODE_CONFIG: not set; set it to the path of the configuration file")?;
        let text = std::fs::read(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
        let mut config = Config::parse(&text, env)?;
        let known = config.known_names();
        config.drmaa = drmaa
            .map(|file| DrmaaConfig::load(file, &known))
            .transpose()?;
        Ok(config)
    }

    /// The zones and machine kinds listed in the settings.
    pub fn known_names(&self) -> KnownNames {
        KnownNames {
            zones: self.setup.zones.clone(),
            kinds: self.setup.kinds.clone(),
        }
    }

    /// Parses the platform's configuration from the text of its file.
    pub fn parse(text: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let file: ConfigFile = decode_with_path(&mut serde_json::Deserializer::from_slice(text))?;
        let or = |key: &str, value: String| env(key).filter(|v| !v.is_empty()).unwrap_or(value);
        let discovery = or("NODE_DISCOVERY", file.discovery);
        let mgmt = or("NODE_MGMT", file.mgmt);
        let setup = file.settings.ok_or("settings: missing")?;
        check(&setup)?;
        if file.limits.sockets < 64 {
            return Err("limits.sockets: must be at least 64".into());
        }
        if !(16..=1 << 20).contains(&file.limits.memory_mb) {
            return Err("limits.memory_mb: must lie between 16 and 1048576".into());
        }
        Ok(Config {
            name: or("NODE_NAME", file.name),
            listen: address("listen", &or("NODE_LISTEN", file.listen))?,
            discovery: (!discovery.is_empty())
                .then(|| address("discovery", &discovery))
                .transpose()?,
            mgmt: (!mgmt.is_empty())
                .then(|| address("mgmt", &mgmt))
                .transpose()?,
            seed: match file.seed.as_str() {
                "" => 1,
                hex => u64::from_str_radix(hex, 16)
                    .map_err(|_| format!("seed: not a hex number: {hex}"))?,
            },
            limits: file.limits,
            initial_list: file.known,
            setup,
            drmaa: None,
            tenants: None,
            ledger: None,
            fleet: None,
        })
    }
}

/// The parts of a new configuration that a running program applies.
pub struct Reload {
    /// New address of the discovery service; none if all workers are in the inventory.
    pub discovery: Option<SocketAddr>,
    pub(crate) setup: PlatformSettings,
}

impl Reload {
    /// Reads the file that `NODE_CONFIG` names again and validates all of it. Its `discovery` overrides
    /// `NODE_DISCOVERY`, which still has the value from the start of the process.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Reload, String> {
        let initial_discovery = env("NODE_DISCOVERY");
        let config = Config::load(|key| env(key).filter(|_| key != "NODE_DISCOVERY"), None)?;
        let initial_discovery = initial_discovery.filter(|a| !a.is_empty());
        let discovery = match (config.discovery, initial_discovery) {
            (Some(addr), _) => Some(addr),
            (None, Some(addr)) => Some(address("NODE_DISCOVERY", &addr)?),
            (None, None) => None,
        };
        Ok(Reload {
            discovery,
            setup: config.setup,
        })
    }
}

impl DrmaaConfig {
    /// Reads the DRMAA front's file and the inventory that it names, relative to the file's folder.
    pub fn load(path: &Path, known: &KnownNames) -> Result<DrmaaConfig, String> {
        let file: operators::DrmaaFile = operators::decode(path)?;
        file.check(path, known)
            .map_err(|e| format!("{}: {e}", path.display()))
    }
}

/// Parses and validates the settings alone.
pub(crate) fn settings(text: &[u8]) -> Result<PlatformSettings, String> {
    let setup = decode_with_path(&mut serde_json::Deserializer::from_slice(text))?;
    check(&setup)?;
    Ok(setup)
}

/// Decodes a value; the error names the path of the key that is invalid.
fn decode_with_path<'de, T: DeserializeOwned, D>(d: D) -> Result<T, String>
where
    D: serde::Deserializer<'de>,
{
    serde_path_to_error::deserialize(d).map_err(|e| {
        let (path, inner) = (e.path().to_string(), one_line(&e.inner().to_string()));
        if path == "." {
            inner
        } else {
            format!("{path}: {inner}")
        }
    })
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

pub(crate) fn address(key: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("{key}: not an address and port: {text:?}"))
}

/// Validates constraints that the types cannot express. The balancer divides by some of these values and uses others as
/// indexes.
fn check(settings: &PlatformSettings) -> Result<(), String> {
    let invalid = |key: &str, why: &str| Err(format!("settings.{key}: {why}"));
    if settings.request_classes.is_empty() {
        return invalid("requestClasses", "must list at least one class");
    }
    for (i, class) in settings.request_classes.iter().enumerate() {
        if class.name.is_empty()
            || settings.request_classes[..i]
                .iter()
                .any(|d| d.name == class.name)
        {
            return invalid(
                &format!("requestClasses[{i}].name"),
                "must be neither empty nor repeated",
            );
        }
        if class.deadline_us == 0 {
            return invalid(
                &format!("requestClasses[{i}].deadlineUs"),
                "must be above 0",
            );
        }
        if !["free", "guarded", "single_shot"].contains(&class.semantics.as_str()) {
            return invalid(
                &format!("requestClasses[{i}].semantics"),
                "must be free, guarded or single_shot",
            );
        }
    }
    if settings.my_zone.is_empty() {
        return invalid("myZone", "missing");
    }
    if settings.limits.max_attempts == 0 {
        return invalid("limits.maxAttempts", "must be above 0");
    }
    Ok(())
}
