//! The replicated form: a record for each user, and one for the newest version.

use crate::decayed_usage::DecayedUsage;
use crate::version::RankingVersion;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// Keys of users' records; the user's name follows.
const USER_KEY_PREFIX: &str = "debt/";
/// Key of the newest version's record.
const VERSION_KEY: &str = "debt-version";

/// The newest version, and what is needed to read users' records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionRecord {
    pub(crate) version: RankingVersion,
    /// The cluster time at which it was made.
    #[serde(rename = "time")]
    pub(crate) created_at: Millis,
    /// Users' records count by this half-life; 0 where there is no version.
    pub(crate) half_life_ms: Millis,
}

pub(crate) fn version_write(record: &VersionRecord) -> Write {
    let value = serde_json::to_string(record).unwrap_or_default();
    Write::set(VERSION_KEY, value)
}

/// The write of a user's record; of none, its removal.
pub(crate) fn user_write(user: &str, usage: Option<&DecayedUsage>) -> Write {
    let key = format!("{USER_KEY_PREFIX}{user}");
    match usage {
        Some(usage) => Write::set(key, serde_json::to_string(usage).unwrap_or_default()),
        None => Write::remove(key),
    }
}

/// The replicated records, as far as they can be read.
#[derive(Debug, Default)]
pub(crate) struct StoredState {
    pub(crate) version: VersionRecord,
    pub(crate) users: Vec<(Arc<str>, DecayedUsage)>,
    /// Users, or the version's key, whose record cannot be read.
    pub(crate) unreadable: Vec<Arc<str>>,
}

impl StoredState {
    /// Reads records; other keys are ignored. A record that cannot be read is listed, never an error: its user only
    /// starts without usage.
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

    /// The half-life by which users' records count, where there is a version.
    pub(crate) fn half_life_ms(&self) -> Option<Millis> {
        Some(self.version.half_life_ms).filter(|half_life| *half_life > 0)
    }
}
