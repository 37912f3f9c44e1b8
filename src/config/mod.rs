//! The one place where configuration is read, checked and given its defaults. Messages name the faulty key.
//!
//! The platform's configuration is the JSON file that `NODE_CONFIG` names; `NODE_NAME`, `NODE_LISTEN` and
//! `NODE_DISCOVERY` go before its `name`, `listen` and `discovery`. On SIGHUP the file is read again, and its
//! `discovery` goes first. What else there is stands in the operators' file, TOML: see [`operators`]. The DRMAA front
//! may have a file of its own, which is that file's table.

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

/// Everything that the program is told at its start.
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where front sockets are accepted.
    pub listen: SocketAddr,
    /// Where discovery answers; none, where all workers stand in the inventory.
    pub discovery: Option<SocketAddr>,
    /// Where operators call (`readyz`, `telemetry`); none, where nobody does.
    pub mgmt: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// What it may use.
    pub limits: Limits,
    /// The pool config as it was last known.
    pub(crate) initial_list: List,
    pub(crate) setup: PlatformSettings,
    /// The DRMAA front and its workers, where they are wanted.
    pub drmaa: Option<DrmaaConfig>,
    /// Whose operations are taken, where that matters.
    pub tenants: Option<operators::TenantsConfig>,
    /// Where use is booked, if it is.
    pub ledger: Option<operators::LedgerConfig>,
    /// What is shared with other dispatchers, if anything is.
    pub fleet: Option<fleet::FleetConfig>,
}

/// What the program may use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
    /// Memory in MB.
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

/// Descriptors that are always taken or must stay free: standard streams, the event loop, signals, listeners,
/// discovery, operators' calls, and a new connection on its way in or out.
const RESERVED_DESCRIPTORS: usize = 24 + crate::net::mgmt::CALLERS;

impl Limits {
    /// So many sixteenths of the descriptors that are not taken by files, listeners and the event loop. Front
    /// sockets and their reserve, connections to workers, job sessions and cancels have all of them.
    fn share(&self, sixteenths: usize) -> usize {
        ((self.sockets - RESERVED_DESCRIPTORS) * sixteenths / 16).max(2)
    }

    /// Bytes of clients' bodies that may be in hand at once. Each may be held a second time while it is written to
    /// a worker; half of the memory stays for all else.
    pub(crate) fn body_bytes(&self) -> usize {
        (self.memory_mb << 20) / 4
    }

    /// Front sockets that are accepted although all others are busy: workers' call-backs end what they wait for.
    pub fn front_reserve(&self) -> usize {
        self.share(1)
    }

    /// Front sockets at most, beside the reserve.
    pub fn front_sockets(&self) -> usize {
        self.share(7)
    }

    /// Front sockets that clients may keep between requests. Clients hold a third of the descriptors at most, and
    /// must be able to open more.
    pub fn idle_front_sockets(&self) -> usize {
        self.share(2)
    }

    /// Job sessions of the DRMAA front at most.
    pub fn sessions(&self) -> usize {
        self.share(1)
    }

    /// Connections to workers at most.
    pub fn worker_sockets(&self) -> usize {
        self.share(6)
    }

    /// Connections beside these that cancels may open while all others are in use: the last sixteenth.
    pub fn cancel_reserve(&self) -> usize {
        self.share(1)
    }
}

/// The DRMAA front and its workers.
#[derive(Clone, Debug)]
pub struct DrmaaConfig {
    /// Where job sessions are accepted; none, where only workers are driven.
    pub listen: Option<SocketAddr>,
    /// Jobs known at once, done ones included.
    pub max_jobs: usize,
    /// How long a job's information is kept after its end, in seconds.
    pub keep_s: f64,
    /// The workers to be driven.
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
    /// Reads all of it. `env` looks up a variable of the environment; `drmaa` names the file of that front.
    pub fn load(
        env: impl Fn(&str) -> Option<String>,
        drmaa: Option<&Path>,
    ) -> Result<Config, String> {
        let path =
            env("NODE_CONFIG").ok_or("NODE_CONFIG: not set; it names the configuration file")?;
        let text = std::fs::read(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
        let mut config = Config::parse(&text, env)?;
        let known = config.known_names();
        config.drmaa = drmaa
            .map(|file| DrmaaConfig::load(file, &known))
            .transpose()?;
        Ok(config)
    }

    /// The zones and machine kinds that the settings list.
    pub fn known_names(&self) -> KnownNames {
        KnownNames {
            zones: self.setup.zones.clone(),
            kinds: self.setup.kinds.clone(),
        }
    }

    /// The platform's part, from the text of its file.
    pub fn parse(text: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let file: ConfigFile = keyed(&mut serde_json::Deserializer::from_slice(text))?;
        let or = |key: &str, value: String| env(key).filter(|v| !v.is_empty()).unwrap_or(value);
        let discovery = or("NODE_DISCOVERY", file.discovery);
        let mgmt = or("NODE_MGMT", file.mgmt);
        let setup = file.settings.ok_or("settings: missing")?;
        check(&setup)?;
        if file.limits.sockets < 64 {
            return Err("limits.sockets: at least 64 are needed".into());
        }
        if !(16..=1 << 20).contains(&file.limits.memory_mb) {
            return Err("limits.memory_mb: at least 16 are needed, at most 1048576".into());
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

/// What a new configuration changes in a program that runs.
pub struct Reload {
    /// Where discovery answers from now on; none, where all workers stand in the inventory.
    pub discovery: Option<SocketAddr>,
    pub(crate) setup: PlatformSettings,
}

impl Reload {
    /// Reads the file that `NODE_CONFIG` names once more, and checks all of it. Its `discovery` goes before
    /// `NODE_DISCOVERY`, which still says what was true at the start.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Reload, String> {
        let told_at_start = env("NODE_DISCOVERY");
        let config = Config::load(|key| env(key).filter(|_| key != "NODE_DISCOVERY"), None)?;
        let told_at_start = told_at_start.filter(|a| !a.is_empty());
        let discovery = match (config.discovery, told_at_start) {
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
    /// Reads the file of the DRMAA front and the inventory that it names, beside it.
    pub fn load(path: &Path, known: &KnownNames) -> Result<DrmaaConfig, String> {
        let file: operators::DrmaaFile = operators::decode(path)?;
        file.check(path, known)
            .map_err(|e| format!("{}: {e}", path.display()))
    }
}

/// The settings alone, from their text.
pub(crate) fn settings(text: &[u8]) -> Result<PlatformSettings, String> {
    let setup = keyed(&mut serde_json::Deserializer::from_slice(text))?;
    check(&setup)?;
    Ok(setup)
}

/// Decodes with the path of the key that does not fit.
fn keyed<'de, T: DeserializeOwned, D>(d: D) -> Result<T, String>
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

/// What no type says. The decisions divide by some of these and index by others.
fn check(s: &PlatformSettings) -> Result<(), String> {
    let bad = |key: &str, why: &str| Err(format!("settings.{key}: {why}"));
    if s.request_classes.is_empty() {
        return bad("requestClasses", "no class");
    }
    for (i, c) in s.request_classes.iter().enumerate() {
        if c.name.is_empty() || s.request_classes[..i].iter().any(|d| d.name == c.name) {
            return bad(&format!("requestClasses[{i}].name"), "empty or given twice");
        }
        if c.deadline_us == 0 {
            return bad(
                &format!("requestClasses[{i}].deadlineUs"),
                "must be above 0",
            );
        }
        if !["free", "guarded", "single_shot"].contains(&c.semantics.as_str()) {
            return bad(
                &format!("requestClasses[{i}].semantics"),
                "neither free, guarded nor single_shot",
            );
        }
    }
    if s.my_zone.is_empty() {
        return bad("myZone", "missing");
    }
    if s.limits.max_attempts == 0 {
        return bad("limits.maxAttempts", "must be above 0");
    }
    Ok(())
}
