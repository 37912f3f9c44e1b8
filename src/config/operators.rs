//! The operators' file: a table for each optional subsystem. A subsystem without a table is off.

pub use super::fleet::FleetConfig;
use super::fleet::FleetFile;
use super::{address, decode_with_path, one_line, Config, DrmaaConfig};
use crate::core::tenants::Tenants;
use crate::net::http::UNIQUE_HEADERS;
use crate::servers;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use streamusher_inventory::KnownNames;
use streamusher_ledger::gate::OnFailure;
use streamusher_ledger::period::Span;
use streamusher_ledger::store::Settle;

/// The contents of the operators' file, checked.
#[derive(Clone, Debug, Default)]
pub struct OperatorsConfig {
    /// The DRMAA front and its workers.
    pub drmaa: Option<DrmaaConfig>,
    /// The tenants whose operations are accepted.
    pub tenants: Option<TenantsConfig>,
    /// The ledger in which usage is recorded.
    pub ledger: Option<LedgerConfig>,
    /// What is shared with other dispatchers.
    pub fleet: Option<FleetConfig>,
}

/// The table `[tenants]`, checked.
#[derive(Clone, Debug)]
pub struct TenantsConfig {
    /// The HTTP header that names an operation's tenant.
    pub header: String,
    /// The listed and renamed tenants, and the tenant for all others, if any.
    pub tenants: Tenants,
}

/// The table `[ledger]`, checked.
#[derive(Clone, Debug)]
pub struct LedgerConfig {
    /// Folder of the ledger.
    pub dir: PathBuf,
    /// Name of this instance in exports; the program's own name if absent.
    pub instance: Option<String>,
    /// Length of an accounting period.
    pub period: Span,
    /// Seconds after its end at which a period is closed.
    pub lateness_s: u64,
    /// How new work is treated while no usage can be recorded.
    pub on_failure: OnFailure,
    /// How doubtful entries are settled when their period is closed.
    pub doubts: DoubtPolicy,
    /// Maximum time that an answer waits for the disk, in milliseconds.
    pub hold_ms: u64,
    /// Maximum size of the store's file in MB; 0 for no limit.
    pub max_mb: u64,
    key_file: Option<PathBuf>,
}

/// How doubtful entries are settled when their period is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DoubtPolicy {
    /// Left for the operators to settle.
    Hold,
    /// Settled as served.
    Bill,
    /// Settled as not served.
    Waive,
}

impl DoubtPolicy {
    /// The settlement to apply automatically; none if the operators settle.
    pub fn settlement(self) -> Option<Settle> {
        match self {
            DoubtPolicy::Hold => None,
            DoubtPolicy::Bill => Some(Settle::Bill),
            DoubtPolicy::Waive => Some(Settle::Waive),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorsFile {
    drmaa: Option<DrmaaFile>,
    tenants: Option<TenantsFile>,
    ledger: Option<LedgerFile>,
    fleet: Option<FleetFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DrmaaFile {
    listen: Option<String>,
    inventory: Option<String>,
    #[serde(default = "max_jobs")]
    max_jobs: usize,
    #[serde(default = "keep_s")]
    keep_s: f64,
}

fn max_jobs() -> usize {
    2_048
}

fn keep_s() -> f64 {
    60.0
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Unlisted {
    Refuse,
    Book,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TenantsFile {
    #[serde(default = "header")]
    header: String,
    #[serde(default = "refuse")]
    unlisted: Unlisted,
    #[serde(default = "unassigned")]
    default: String,
    #[serde(default)]
    list: Vec<String>,
    #[serde(default)]
    renamed: BTreeMap<String, String>,
}

fn header() -> String {
    "X-Tenant".into()
}

fn refuse() -> Unlisted {
    Unlisted::Refuse
}

fn unassigned() -> String {
    "unassigned".into()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LedgerFile {
    dir: PathBuf,
    instance: Option<String>,
    #[serde(default = "month")]
    period: Span,
    #[serde(default = "lateness_s")]
    lateness_s: u64,
    #[serde(default = "refuse_work")]
    on_failure: OnFailure,
    #[serde(default = "hold")]
    doubts: DoubtPolicy,
    #[serde(default = "hold_ms")]
    hold_ms: u64,
    #[serde(default)]
    max_mb: u64,
    key_file: Option<PathBuf>,
}

fn month() -> Span {
    Span::Month
}

fn lateness_s() -> u64 {
    300
}

fn refuse_work() -> OnFailure {
    OnFailure::Refuse
}

fn hold() -> DoubtPolicy {
    DoubtPolicy::Hold
}

/// Longer than most disk syncs take on a working disk, so that few results are withheld.
fn hold_ms() -> u64 {
    3_000
}

/// Decodes a TOML file; error messages name the file and the key.
pub(super) fn decode<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, String> {
    let file_name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{file_name}: {e}"))?;
    let file = toml::Deserializer::parse(&text)
        .map_err(|e| e.to_string())
        .and_then(decode_with_path);
    file.map_err(|e| format!("{file_name}: {}", one_line(&e)))
}

impl OperatorsConfig {
    /// Reads the operators' file and the files that it names, relative to its folder.
    pub fn load(path: &Path, known: &KnownNames) -> Result<OperatorsConfig, String> {
        let file: OperatorsFile = decode(path)?;
        let at = |table: &str, e: String| format!("{}: {table}.{e}", path.display());
        Ok(OperatorsConfig {
            drmaa: file
                .drmaa
                .map(|d| d.check(path, known))
                .transpose()
                .map_err(|e| at("drmaa", e))?,
            tenants: file
                .tenants
                .map(TenantsFile::check)
                .transpose()
                .map_err(|e| at("tenants", e))?,
            ledger: file
                .ledger
                .map(|l| l.check(path))
                .transpose()
                .map_err(|e| at("ledger", e))?,
            fleet: file
                .fleet
                .map(|f| f.check(path))
                .transpose()
                .map_err(|e| at("fleet", e))?,
        })
    }

    /// Sets the optional subsystems of `config`.
    pub fn apply_to(self, config: &mut Config) {
        config.drmaa = self.drmaa;
        config.tenants = self.tenants;
        config.ledger = self.ledger;
        config.fleet = self.fleet;
    }
}

pub(super) fn relative_to(path: &Path, name: &Path) -> PathBuf {
    path.parent().unwrap_or(Path::new(".")).join(name)
}

impl DrmaaFile {
    pub(super) fn check(self, path: &Path, known: &KnownNames) -> Result<DrmaaConfig, String> {
        let listen = self.listen.map(|l| address("listen", &l)).transpose()?;
        if self.max_jobs == 0 {
            return Err("max_jobs: must be above 0".into());
        }
        if !(0.0..=86_400.0).contains(&self.keep_s) {
            return Err("keep_s: must lie between 0 and 86400".into());
        }
        let workers = self
            .inventory
            .as_ref()
            .map(|n| servers::load(&relative_to(path, Path::new(n)), known));
        let workers = workers
            .transpose()
            .map_err(|e| format!("inventory: {e}"))?
            .unwrap_or_default();
        Ok(DrmaaConfig {
            listen,
            max_jobs: self.max_jobs,
            keep_s: self.keep_s,
            workers,
        })
    }
}

impl TenantsFile {
    fn check(self) -> Result<TenantsConfig, String> {
        let is_token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
        // Headers that already have another meaning.
        let reserved = UNIQUE_HEADERS
            .iter()
            .chain(&["host", "connection"])
            .any(|t| t.eq_ignore_ascii_case(&self.header));
        if self.header.is_empty() || !self.header.bytes().all(is_token) || reserved {
            return Err(format!(
                "header: not the name of a free header: {:?}",
                self.header
            ));
        }
        let rest = matches!(self.unlisted, Unlisted::Book).then_some(self.default.as_str());
        let renamed: Vec<(String, String)> = self.renamed.into_iter().collect();
        let tenants = Tenants::new(&self.list, &renamed, rest).map_err(|e| format!("list: {e}"))?;
        Ok(TenantsConfig {
            header: self.header,
            tenants,
        })
    }
}

/// Checks the name of an instance, which is used in file names.
pub(crate) fn check_instance(name: &str) -> Result<(), String> {
    let is_permitted = |b: u8| b.is_ascii_alphanumeric() || b"-.".contains(&b);
    match !name.is_empty()
        && name.len() <= 64
        && !name.starts_with('.')
        && name.bytes().all(is_permitted)
    {
        true => Ok(()),
        false => Err(format!(
            "ledger.instance: letters, digits, '-' and '.' alone, 64 at most: {name:?}"
        )),
    }
}

impl LedgerFile {
    fn check(self, path: &Path) -> Result<LedgerConfig, String> {
        if let Some(name) = &self.instance {
            check_instance(name).map_err(|e| e.trim_start_matches("ledger.").to_string())?;
        }
        if !(10..=31 * 86_400).contains(&self.lateness_s) {
            return Err("lateness_s: must lie between 10 and 2678400".into());
        }
        if !(1..=10_000).contains(&self.hold_ms) {
            return Err("hold_ms: must lie between 1 and 10000".into());
        }
        Ok(LedgerConfig {
            dir: relative_to(path, &self.dir),
            instance: self.instance,
            period: self.period,
            lateness_s: self.lateness_s,
            on_failure: self.on_failure,
            doubts: self.doubts,
            hold_ms: self.hold_ms,
            max_mb: self.max_mb,
            key_file: self.key_file.map(|k| relative_to(path, &k)),
        })
    }
}

impl LedgerConfig {
    /// The key for MACs and for hashes of idempotency keys. Without a configured file the key is `ledger.key`
    /// in the ledger's folder, and `make` creates it there if it does not exist, as at the first start.
    pub fn key(&self, make: bool) -> Result<[u8; 32], String> {
        let path = self
            .key_file
            .clone()
            .unwrap_or_else(|| self.dir.join("ledger.key"));
        if make && self.key_file.is_none() && !path.exists() {
            streamusher_ledger::key::create(&path).map_err(|error| error.to_string())?;
        }
        streamusher_ledger::key::load(&path).map_err(|error| error.to_string())
    }
}
