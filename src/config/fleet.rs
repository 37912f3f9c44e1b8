//! The table `[fleet]` of the operators' file: what this dispatcher shares with others.

use super::address;
use super::operators::beside;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use streamusher_fleet::allowance::MAX_QUOTA_UNITS;
use streamusher_fleet::incarnation::is_valid_name;

/// The fleet's key; it is not to stand in a log.
#[derive(Clone)]
pub struct Secret(pub [u8; 32]);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("(secret)")
    }
}

/// The table, checked.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Where frames are heard (UDP).
    pub listen: SocketAddr,
    /// Where others reach it, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// Where some of the others are reached.
    pub join: Vec<SocketAddr>,
    /// The fleet's key.
    pub key: Secret,
    /// This member's name; the program's own, if none is given.
    pub name: Option<String>,
    /// Among whom the budgets are divided: the same list at each member.
    pub seats: Vec<String>,
    /// Units of each budget that a seat never lends.
    pub floor: u64,
    /// How long rights are lent for, in microseconds.
    pub lease_us: u64,
    /// Between two digests, in microseconds.
    pub gossip_interval_us: u64,
    /// Other members that hold the count of an answer before it goes out.
    pub copies: usize,
    /// How long an answer waits for them, in microseconds.
    pub max_hold_us: u64,
    /// The length of a period of the tally, in microseconds.
    pub period_us: u64,
    /// A member that is not heard for so long no longer holds up the folding of lives, in microseconds.
    pub forget_after_us: u64,
    /// Jobs in hand over the whole fleet, by tenant.
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
        let within =
            |key: &str, value: u64, least: u64, most: u64| match (least..=most).contains(&value) {
                true => Ok(value),
                false => Err(format!("{key}: must lie between {least} and {most}")),
            };
        let join = self
            .join
            .iter()
            .enumerate()
            .map(|(i, a)| address(&format!("join[{i}]"), a));
        for (i, seat) in self.seats.iter().enumerate() {
            if !is_valid_name(seat) || self.seats[..i].contains(seat) {
                return Err(format!("seats[{i}]: no name, or given twice: {seat:?}"));
            }
        }
        if let Some(name) = self.name.as_ref().filter(|n| !is_valid_name(n)) {
            return Err(format!(
                "name: 1 to 64 letters, digits, '-', '_' and '.': {name:?}"
            ));
        }
        if !self.limits.is_empty() && self.seats.is_empty() {
            return Err(
                "seats: missing, and there are limits: they are divided among the seats".into(),
            );
        }
        for (tenant, units) in &self.limits {
            within(&format!("limits.{tenant}"), *units, 1, MAX_QUOTA_UNITS)?;
            // The floors come to the budget at most: each is no more than the seat's part.
            let part = units / self.seats.len() as u64;
            if self.floor > part.max(1) {
                return Err(format!(
                    "floor: over a seat's part of limits.{tenant}, which is {part}"
                ));
            }
        }
        let key = streamusher_ledger::key::load(&beside(path, &self.key_file));
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
