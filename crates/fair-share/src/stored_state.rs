//! Replicated form of the accounts: a record for each user, and one for the newest version.

use crate::decayed_usage::DecayedUsage;
use crate::version::RankingVersion;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// Prefix of the keys of users' records. The user's name follows the prefix.
const USER_KEY_PREFIX: &str = "debt/";
/// Key of the newest version's record.
const VERSION_KEY: &str = "debt-version";

/// Record of the newest version, and of what is needed to read users' records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionRecord {
    pub(crate) version: RankingVersion,
    /// Cluster time at which the version was created.
    #[serde(rename = "time")]
    pub(crate) created_at: Millis,
    /// Half-life that the users' records are based on; 0 if there is no version.
    pub(crate) half_life_ms: Millis,
}

pub(crate) fn version_write(record: &VersionRecord) -> Write {
    let value = serde_json::to_string(record).unwrap_or_default();
    Write::set(VERSION_KEY, value)
}

/// Returns the write of a user's record, or its removal if there is no usage.
pub(crate) fn user_write(user: &str, usage: Option<&DecayedUsage>) -> Write {
    let key = format!("{USER_KEY_PREFIX}{user}");
    match usage {
        Some(usage) => Write::set(key, serde_json::to_string(usage).unwrap_or_default()),
        None => Write::remove(key),
    }
}

/// The readable part of the replicated records.
#[derive(Debug, Default)]
pub(crate) struct StoredState {
    pub(crate) version: VersionRecord,
    pub(crate) users: Vec<(Arc<str>, DecayedUsage)>,
    /// Users whose record is unreadable, or the version's key if the version's record is.
    pub(crate) unreadable: Vec<Arc<str>>,
}

impl StoredState {
    /// Reads records; other keys are ignored. An unreadable record is not an error: its key is listed, and
    /// its user starts without usage.
    pub(crate) fn read(records: impl IntoIterator<Item = (Arc<str>, Arc<str>)>) -> StoredState {
        let mut state = StoredState::default();
        for (key, value) in records {
            if &*key == VERSION_KEY {
                match serde_json::from_str(&value) {
                    Ok(version) => state.version = version,
                    Err(_) => state.unreadable.push(key),
                }
            } else if let Some(user) = key.strip_prefix(USER_KEY_PREFIX) {
                match serde_json::from_str(&value) {
                    Ok(usage) => state.users.push((user.into(), usage)),
                    Err(_) => state.unreadable.push(user.into()),
                }
            }
        }
        state
    }

    /// Half-life that the users' records are based on, if there is a version.
    pub(crate) fn half_life_ms(&self) -> Option<Millis> {
        Some(self.version.half_life_ms).filter(|half_life| *half_life > 0)
    }
}
