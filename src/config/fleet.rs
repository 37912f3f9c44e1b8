//! The table `[fleet]` of the operators' file: what this dispatcher shares with other dispatchers.

use super::address;
use super::operators::relative_to;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use streamusher_fleet::allowance::MAX_QUOTA_UNITS;
use streamusher_fleet::incarnation::is_valid_name;

/// The fleet's key. Its `Debug` output hides the bytes, so that the key is not logged.
#[derive(Clone)]
pub struct Secret(pub [u8; 32]);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("(secret)")
    }
}

/// The table `[fleet]` after validation.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// UDP address on which frames are received.
    pub listen: SocketAddr,
    /// Address that other members send to, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Addresses of some other members, contacted to join the fleet.
    pub join: Vec<SocketAddr>,
    /// Key shared by all members.
    pub key: Secret,
    /// Name of this member; the program's own name if absent.
    pub name: Option<String>,
    /// Names of the members among which the budgets are divided; the list is the same at each member.
    pub seats: Vec<String>,
    /// Units of each budget that a seat never lends.
    pub floor: u64,
    /// Duration for which budget units are lent, in microseconds.
    pub lease_us: u64,
    /// Interval between two digests, in microseconds.
    pub gossip_interval_us: u64,
    /// Number of other members that must hold the count of an answer before the answer is sent.
    pub copies: usize,
    /// Maximum time that an answer waits for these copies, in microseconds.
    pub max_hold_us: u64,
    /// Length of an accounting period of the usage tally, in microseconds.
    pub period_us: u64,
    /// Time without a message after which a member no longer delays the compaction of incarnations, in
    /// microseconds.
    pub forget_after_us: u64,
    /// Maximum number of jobs in flight over the whole fleet, by tenant.
    pub limits: BTreeMap<String, u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetFile {
    listen: String,
    advertise: Option<String>,
    #[serde(default)]
    join: Vec<String>,
    key_file: PathBuf,
    name: Option<String>,
    #[serde(default)]
    seats: Vec<String>,
    #[serde(default = "one")]
    floor: u64,
    #[serde(default = "lease_ms")]
    lease_ms: u64,
    #[serde(default = "gossip_ms")]
    gossip_ms: u64,
    #[serde(default)]
    copies: usize,
    #[serde(default = "hold_ms")]
    hold_ms: u64,
    #[serde(default = "hour")]
    period: Period,
    #[serde(default = "forget_s")]
    forget_s: u64,
    #[serde(default)]
    limits: BTreeMap<String, u64>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Period {
    Hour,
    Day,
}

fn one() -> u64 {
    1
}

fn lease_ms() -> u64 {
    2_000
}

fn gossip_ms() -> u64 {
    200
}

fn hold_ms() -> u64 {
    250
}

fn hour() -> Period {
    Period::Hour
}

fn forget_s() -> u64 {
    600
}

impl FleetFile {
    pub(super) fn check(self, path: &Path) -> Result<FleetConfig, String> {
        let within = |key: &str, value: u64, min: u64, max: u64| match (min..=max).contains(&value)
        {
            true => Ok(value),
            false => Err(format!("{key}: must lie between {min} and {max}")),
        };
        let join = self
            .join
            .iter()
            .enumerate()
            .map(|(i, a)| address(&format!("join[{i}]"), a));
        for (i, seat) in self.seats.iter().enumerate() {
            if !is_valid_name(seat) || self.seats[..i].contains(seat) {
                return Err(format!(
                    "seats[{i}]: not a valid name, or listed twice: {seat:?}"
                ));
            }
        }
        if let Some(name) = self.name.as_ref().filter(|n| !is_valid_name(n)) {
            return Err(format!(
                "name: must consist of 1 to 64 letters, digits, '-', '_' and '.': {name:?}"
            ));
        }
        if !self.limits.is_empty() && self.seats.is_empty() {
            return Err("seats: missing; the limits are divided among the seats".into());
        }
        for (tenant, units) in &self.limits {
            within(&format!("limits.{tenant}"), *units, 1, MAX_QUOTA_UNITS)?;
            // The sum of the floors stays within the budget: each floor is at most the seat's share.
            let share = units / self.seats.len() as u64;
            if self.floor > share.max(1) {
                return Err(format!(
                    "floor: exceeds a seat's share of limits.{tenant}, which is {share}"
                ));
            }
        }
        let key = streamusher_ledger::key::load(&relative_to(path, &self.key_file));
        let key = key.map_err(|e| format!("key_file: {e}"))?;
        Ok(FleetConfig {
            listen: address("listen", &self.listen)?,
            advertise: self
                .advertise
                .as_deref()
                .map(|a| address("advertise", a))
                .transpose()?,
            join: join.collect::<Result<_, _>>()?,
            key: Secret(key),
            name: self.name,
            seats: self.seats,
            floor: self.floor,
            lease_us: within("lease_ms", self.lease_ms, 100, 600_000)? * 1_000,
            gossip_interval_us: within("gossip_ms", self.gossip_ms, 20, 60_000)? * 1_000,
            copies: within("copies", self.copies as u64, 0, 16)? as usize,
            max_hold_us: within("hold_ms", self.hold_ms, 1, 10_000)? * 1_000,
            period_us: match self.period {
                Period::Hour => 3_600,
                Period::Day => 86_400,
            } * 1_000_000,
            forget_after_us: within("forget_s", self.forget_s, 10, 31 * 86_400)? * 1_000_000,
            limits: self.limits,
        })
    }
}
