//! The replicated form: a record for each user, and one for the newest version.

use crate::debt::DecayedUsage;
use crate::version::RankingVersion;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// Before a user's name.
pub(crate) const USER_PREFIX: &str = "debt/";
/// Key of the newest version.
pub(crate) const VERSION_KEY: &str = "debt-version";

/// The newest version and its agreed time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionRecord {
    pub(crate) version: RankingVersion,
    pub(crate) time: Millis,
    /// The debts count by this half-life; those of another cannot be read.
    pub(crate) half_life_ms: Millis,
}

pub(crate) fn version_write(record: &VersionRecord) -> Write {
    Write::set(
        VERSION_KEY,
        serde_json::to_string(record).unwrap_or_default(),
    )
}

pub(crate) fn user_write(user: &str, debt: Option<&DecayedUsage>) -> Write {
    let key = format!("{USER_PREFIX}{user}");
    match debt {
        Some(debt) => Write::set(key, serde_json::to_string(debt).unwrap_or_default()),
        None => Write::remove(key),
    }
}

/// What could be read.
#[derive(Debug, Default)]
pub(crate) struct Read {
    pub(crate) version: VersionRecord,
    pub(crate) debts: Vec<(Arc<str>, DecayedUsage)>,
    /// Users whose record is not readable.
    pub(crate) damaged: Vec<Arc<str>>,
}

/// Reads records; other keys are passed over. A record that cannot be read is listed, never an error: a debt that is
/// lost only makes its user a newcomer.
pub(crate) fn read(records: impl IntoIterator<Item = (Arc<str>, Arc<str>)>) -> Read {
    let mut found = Read::default();
    for (key, value) in records {
        if &*key == VERSION_KEY {
            match serde_json::from_str(&value) {
                Ok(version) => found.version = version,
                Err(_) => found.damaged.push(key),
            }
        } else if let Some(user) = key.strip_prefix(USER_PREFIX) {
            match serde_json::from_str::<DecayedUsage>(&value) {
                Ok(debt) => found.debts.push((user.into(), debt)),
                Err(_) => found.damaged.push(user.into()),
            }
        }
    }
    found
}
